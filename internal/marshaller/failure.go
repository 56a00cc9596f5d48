package marshaller

import (
	"errors"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// Failure codes on the wire and in the replicated log.
const (
	codeStaleVersion   = "stale_version"
	codePatchID        = "patch_id"
	codeInvalid        = "invalid"
	codeStaleEpoch     = "stale_epoch"
	codeStaleTerm      = "stale_term"
	codeMalformed      = "malformed"
	codeDigestMismatch = "digest_mismatch"
	codeLedgerFull     = "ledger_full"
	codeNotOwner       = "not_owner"
	codeUnknownOrder   = "unknown_order"
	codeConcluded      = "concluded"
	codeInvalidIntent  = "invalid_intent"
	codeWithdrawn      = "withdrawn"
	codeRolloutRunning = "rollout_running"
	codeStaleRollout   = "stale_rollout"
)

// EncodeFailure returns the protobuf message of an error. An error of another type than those of this package, configurer and
// recorder gets the code of a malformed command.
func EncodeFailure(err error) *controllerpb.Failure {
	f := &controllerpb.Failure{Code: codeMalformed, Message: err.Error()}
	var (
		stale     *StaleVersionError
		patchID   *PatchIDError
		invalid   *configurer.InvalidError
		epoch     *StaleEpochError
		term      *StaleTermError
		mismatch  *recorder.DigestMismatchError
		full      *recorder.LedgerFullError
		owner     *recorder.NotOwnerError
		unknown   *recorder.UnknownOrderError
		concluded *recorder.ConcludedError
		intent    *recorder.InvalidIntentError
		withdrawn *recorder.WithdrawnError
		running   *RolloutRunningError
		rollout   *StaleRolloutError
	)
	switch {
	case errors.As(err, &stale):
		f.Code, f.Base, f.Current = codeStaleVersion, stale.Base, stale.Current
	case errors.As(err, &patchID):
		f.Code, f.Id, f.Message = codePatchID, patchID.ID, patchID.Reason
	case errors.As(err, &invalid):
		f.Code, f.Message = codeInvalid, ""
		for _, p := range invalid.Problems {
			f.Problems = append(f.Problems, &controllerpb.Problem{Path: p.Path, Message: p.Message})
		}
	case errors.As(err, &epoch):
		f.Code, f.Base, f.Current = codeStaleEpoch, epoch.Previous, epoch.Current
	case errors.As(err, &term):
		f.Code, f.Base, f.Current = codeStaleTerm, term.Term, term.Current
	case errors.As(err, &mismatch):
		f.Code, f.Key = codeDigestMismatch, KeyToProto(mismatch.Key)
	case errors.As(err, &full):
		f.Code, f.Orders, f.Bytes = codeLedgerFull, int64(full.Orders), full.Bytes
	case errors.As(err, &owner):
		f.Code, f.Key, f.Owner, f.Asked = codeNotOwner, KeyToProto(owner.Key), owner.Owner, owner.RequestedBy
	case errors.As(err, &unknown):
		f.Code, f.Key = codeUnknownOrder, KeyToProto(unknown.Key)
	case errors.As(err, &concluded):
		f.Code, f.Key = codeConcluded, KeyToProto(concluded.Key)
	case errors.As(err, &intent):
		f.Code, f.Message = codeInvalidIntent, intent.Reason
	case errors.As(err, &withdrawn):
		f.Code, f.Key = codeWithdrawn, KeyToProto(withdrawn.Key)
	case errors.As(err, &running):
		f.Code, f.Id, f.Asked = codeRolloutRunning, running.Pool, running.Version
	case errors.As(err, &rollout):
		f.Code, f.Base, f.Current = codeStaleRollout, rollout.Revision, rollout.Current
	}
	return f
}

// DecodeFailure returns the typed error of a failure, or nil if it has no code. An unknown code yields a
// *MalformedCommandError.
func DecodeFailure(f *controllerpb.Failure) error {
	switch f.GetCode() {
	case "":
		return nil
	case codeStaleVersion:
		return &StaleVersionError{Base: f.GetBase(), Current: f.GetCurrent()}
	case codePatchID:
		return &PatchIDError{ID: f.GetId(), Reason: f.GetMessage()}
	case codeInvalid:
		e := &configurer.InvalidError{}
		for _, p := range f.GetProblems() {
			e.Problems = append(e.Problems, configurer.Problem{Path: p.GetPath(), Message: p.GetMessage()})
		}
		return e
	case codeStaleEpoch:
		return &StaleEpochError{Previous: f.GetBase(), Current: f.GetCurrent()}
	case codeStaleTerm:
		return &StaleTermError{Term: f.GetBase(), Current: f.GetCurrent()}
	case codeDigestMismatch:
		return &recorder.DigestMismatchError{Key: KeyFromProto(f.GetKey())}
	case codeLedgerFull:
		return &recorder.LedgerFullError{Orders: int(f.GetOrders()), Bytes: f.GetBytes()}
	case codeNotOwner:
		return &recorder.NotOwnerError{Key: KeyFromProto(f.GetKey()), Owner: f.GetOwner(), RequestedBy: f.GetAsked()}
	case codeUnknownOrder:
		return &recorder.UnknownOrderError{Key: KeyFromProto(f.GetKey())}
	case codeConcluded:
		return &recorder.ConcludedError{Key: KeyFromProto(f.GetKey())}
	case codeInvalidIntent:
		return &recorder.InvalidIntentError{Reason: f.GetMessage()}
	case codeWithdrawn:
		return &recorder.WithdrawnError{Key: KeyFromProto(f.GetKey())}
	case codeRolloutRunning:
		return &RolloutRunningError{Pool: f.GetId(), Version: f.GetAsked()}
	case codeStaleRollout:
		return &StaleRolloutError{Revision: f.GetBase(), Current: f.GetCurrent()}
	default:
		return &MalformedCommandError{Reason: f.GetMessage()}
	}
}
