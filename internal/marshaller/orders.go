package marshaller

import (
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// KeyProto returns the message form of a key.
func KeyProto(k recorder.Key) *controllerpb.Key {
	return &controllerpb.Key{Workspace: k.Workspace, Value: k.Value}
}

// KeyOf reads the message form of a key.
func KeyOf(p *controllerpb.Key) recorder.Key {
	return recorder.Key{Workspace: p.GetWorkspace(), Value: p.GetValue()}
}

// IntentProto returns the message form of an intent.
func IntentProto(in recorder.Intent) *controllerpb.IntendOrder {
	return &controllerpb.IntendOrder{
		Key: KeyProto(in.Key), Digest: in.Digest, RequestId: in.RequestID, Owner: in.Owner,
		Endpoint: in.Endpoint, Attempt: in.Attempt,
	}
}

// IntentOf reads the message form of an intent.
func IntentOf(p *controllerpb.IntendOrder) recorder.Intent {
	return recorder.Intent{
		Key: KeyOf(p.GetKey()), Digest: p.GetDigest(), RequestID: p.GetRequestId(), Owner: p.GetOwner(),
		Endpoint: p.GetEndpoint(), Attempt: p.GetAttempt(),
	}
}

// OutcomeProto returns the message form of an outcome.
func OutcomeProto(o recorder.Outcome) *controllerpb.Outcome {
	return &controllerpb.Outcome{
		Outcome: o.Outcome, Status: int32(o.Status), Header: o.Header, Body: o.Body, Truncated: o.Truncated,
	}
}

// OutcomeOf reads the message form of an outcome.
func OutcomeOf(p *controllerpb.Outcome) recorder.Outcome {
	return recorder.Outcome{
		Outcome: p.GetOutcome(), Status: int(p.GetStatus()), Header: p.GetHeader(), Body: p.GetBody(), Truncated: p.GetTruncated(),
	}
}

// OrderProto returns the message form of a record.
func OrderProto(r recorder.Record) *controllerpb.Order {
	o := &controllerpb.Order{
		Intent: IntentProto(r.Intent), Phase: string(r.Phase), Granted: r.Granted,
		RecordedUnixMs: r.RecordedUnixMS, ChangedMs: r.ChangedMS,
	}
	if r.Outcome != nil {
		o.Outcome = OutcomeProto(*r.Outcome)
	}
	return o
}

// OrderOf reads the message form of a record.
func OrderOf(p *controllerpb.Order) recorder.Record {
	r := recorder.Record{
		Intent: IntentOf(p.GetIntent()), Phase: recorder.Phase(p.GetPhase()), Granted: p.GetGranted(),
		RecordedUnixMS: p.GetRecordedUnixMs(), ChangedMS: p.GetChangedMs(),
	}
	if p.GetOutcome() != nil {
		out := OutcomeOf(p.GetOutcome())
		r.Outcome = &out
	}
	return r
}
