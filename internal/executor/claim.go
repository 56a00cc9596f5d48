package executor

import (
	"context"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/explainer"
	"github.com/dragonflycroft/dragonflycroft/internal/follower"
	"github.com/dragonflycroft/dragonflycroft/internal/identifier"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/transitioner"
)

// CopyRemote ends a remote run with the answer of its request, which another entry host owns.
func (r *Run) CopyRemote() {
	defer r.release()
	host, owner, _ := identifier.Parse(r.ID, r.req.Workspace)
	r.follow(r.ID, host, owner)
}

// claimKey binds the key to this request at the pool's scheduler. It returns true when the request has ended, for example with
// the answer of an earlier request with the same key.
func (r *Run) claimKey() bool {
	if r.req.NeedsLedger() {
		// The ledger is authoritative for orders; the scheduler's index is only in memory and must not override it.
		return false
	}
	c := indexer.Claim{Workspace: r.req.Workspace, Key: r.req.Key, Digest: r.req.Digest, RequestID: r.ID}
	for attempt := 0; ; attempt++ {
		l, err := r.session.Claim(r.ctx, c)
		if err == nil {
			if l.RequestID == r.ID {
				return false
			}
			if r.attachToClaim(l) {
				return true
			}
		}
		if r.endedBeforeRetry(attempt) {
			// The scheduler may have recorded the claim although its response was lost.
			r.session.Cancelled(r.ID)
			return true
		}
	}
}

// endedBeforeRetry waits before the next attempt to claim. It ends the request and returns true if the run is cancelled, the
// answer has no reader or the caller's deadline has passed.
func (r *Run) endedBeforeRetry(attempt int) bool {
	var end answerer.End
	switch {
	case !r.backOff(attempt):
		end = explainer.NotRun(r.cancelReason(), "the request did not run")
	case r.Answer.Readers() == 0:
		end = explainer.NotRun("caller_gone", "the caller left while the request waited")
	case !r.req.Deadline.IsZero() && !time.Now().Before(r.req.Deadline):
		end = explainer.NotRun("deadline", "the caller's deadline passed while the request waited")
	default:
		return false
	}
	r.finish(transitioner.GiveUp, end)
	return true
}

// attachToClaim ends this request with the answer of the request that holds the key. It returns false when the claim should be
// repeated, because the other request was not dispatched and its host is lost.
func (r *Run) attachToClaim(l indexer.Location) (ended bool) {
	if l.Digest != "" && l.Digest != r.req.Digest {
		r.finish(transitioner.Refuse, explainer.KeyReused(l.RequestID))
		return true
	}
	if l.HostLost && l.State == indexer.StateWaiting {
		return false
	}
	host, owner, ok := identifier.Parse(l.RequestID, r.req.Workspace)
	if !ok {
		r.finish(transitioner.LoseOutcome, explainer.NotFound())
		return true
	}
	r.follow(l.RequestID, host, owner)
	return true
}

// endedByLedger ends a request whose key belongs to an order in the ledger, without waiting for an endpoint. It returns false
// if the ledger has no such order or did not answer.
func (r *Run) endedByLedger() bool {
	if !r.req.NeedsLedger() {
		return false
	}
	record, ok := r.order.LookUp(r.ctx, r.order.Intent.Key)
	if !ok {
		return false
	}
	r.attachToRecord(record)
	return true
}

// attachToRecord ends a request whose key belongs to an earlier order with the result of that order.
func (r *Run) attachToRecord(record recorder.Record) {
	if record.Digest != r.req.Digest {
		r.finish(transitioner.Refuse, explainer.KeyReused(record.RequestID))
		return
	}
	switch {
	case r.finishFromRecord(record):
	case record.Phase == recorder.PhaseIntended:
		host, _, _ := identifier.Parse(record.RequestID, record.Key.Workspace)
		r.follow(record.RequestID, host, record.Owner)
	default:
		r.finish(transitioner.LoseOutcome, explainer.OrderUnknown())
	}
}

// finishFromRecord ends the request with the outcome in the ledger. It returns false when the ledger has no answer to return.
func (r *Run) finishFromRecord(record recorder.Record) bool {
	end, ok := explainer.Recorded(record)
	if ok {
		r.Answer.AdoptIdentity(record.RequestID, answerer.KindService, "", r.Answer.Meta().Created)
		r.finish(transitioner.Done, end)
	}
	return ok
}

// follow ends the run with the answer of request id, which the given host owns.
func (r *Run) follow(id, host, owner string) {
	r.fire(transitioner.Follow)
	service := r.req.Kind == answerer.KindService
	key := recorder.Key{Workspace: r.req.Workspace, Value: id}
	if service {
		key = r.order.Intent.Key
	}
	f := &follower.Follower{
		RequestID: id, Workspace: r.req.Workspace, Host: host, Owner: owner, Self: r.env.Owner,
		Order: r.order, OrderKey: key, Service: service, Answer: r.Answer,
		Transport: r.env.Transport, Hosts: r.env.Hosts, Endpoints: r.env.Endpoints, Locate: r.locate,
		Limits: r.env.Timeouts.Resume, SearchTimeout: r.env.Timeouts.Search,
	}
	ending := f.Follow(r.ctx)
	switch {
	case ending.Copied:
		end := *r.Answer.End()
		r.finish(triggerOf(end.Outcome), end)
	case ending.Engine != nil:
		r.finishCopy(ending.Engine, id, ending.Result)
	case ending.Record != nil && r.finishFromRecord(*ending.Record):
	default:
		r.finish(transitioner.LoseOutcome, explainer.NotFound())
	}
}

func triggerOf(outcome answerer.Outcome) transitioner.Trigger {
	switch outcome {
	case answerer.Done:
		return transitioner.Done
	case answerer.NotRun:
		return transitioner.GiveUp
	case answerer.Refused:
		return transitioner.Refuse
	}
	return transitioner.LoseOutcome
}

// locate queries the schedulers of all pools for the location of a request and skips those that do not answer.
func (r *Run) locate(ctx context.Context, id string) []indexer.Location {
	var locations []indexer.Location
	for _, s := range r.env.Sessions() {
		if l, err := s.Locate(ctx, id); err == nil {
			locations = append(locations, l)
		}
	}
	return locations
}
