package executor

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/explainer"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/resumer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/sender"
	"github.com/dragonflycroft/dragonflycroft/internal/transitioner"
)

const (
	// cancelTimeout bounds the request that cancels a run at its endpoint.
	cancelTimeout = 2 * time.Second
	// maxLedgerFailures bounds the grants of one request that are used up because the ledger does not commit its intent.
	maxLedgerFailures = 3
)

// dispatch dispatches a granted request or returns the grant unused. It returns true when the request has ended.
func (r *Run) dispatch(g grant) bool {
	r.fire(transitioner.Grant)
	if r.req.NeedsLedger() {
		proceed, ended := r.intend(g)
		if !proceed {
			return ended
		}
	}
	if !time.Now().Before(g.deadline) {
		return r.decline(g, scheduler.DeclineExpired)
	}
	klog.V(1).Infof("executor: dispatch request=%s tier=%s workspace=%s endpoint=%s reason=%q",
		r.ID, r.req.Tier, r.req.Workspace, g.endpoint, "granted")
	if r.req.Kind == answerer.KindService {
		return r.dispatchCall(g)
	}
	return r.dispatchChat(g)
}

// intend commits the intent of an order to the ledger. If proceed is true, the request may be dispatched under g; otherwise
// ended reports whether the request has ended.
func (r *Run) intend(g grant) (proceed, ended bool) {
	granted, earlier, err := r.order.Intend(r.ctx, g.endpoint)
	var mismatch *recorder.DigestMismatchError
	var full *recorder.LedgerFullError
	switch {
	case granted:
		r.fire(transitioner.Intend)
		return true, false
	case err == nil:
		r.session.Declined(r.ID, g.endpoint, scheduler.DeclineGone)
		r.attachToRecord(earlier)
		return false, true
	case errors.As(err, &mismatch):
		r.session.Declined(r.ID, g.endpoint, scheduler.DeclineGone)
		r.finish(transitioner.Refuse, explainer.KeyReused("an earlier order"))
		return false, true
	case errors.As(err, &full):
		r.session.Declined(r.ID, g.endpoint, scheduler.DeclineGone)
		return false, r.giveUp("ledger_full", "the ledger of orders is full; the order was not sent")
	}
	if r.ledgerFailures++; r.ledgerFailures >= maxLedgerFailures {
		r.session.Declined(r.ID, g.endpoint, scheduler.DeclineGone)
		return false, r.giveUp("ledger_unavailable", "the order could not be recorded and was not sent")
	}
	return false, r.decline(g, scheduler.DeclineExpired)
}

// sender returns a sender for one dispatch under a grant.
func (r *Run) sender(g grant) *sender.Sender {
	return &sender.Sender{Endpoint: g.endpoint, Deadline: g.deadline, Endpoints: r.env.Endpoints, OnSent: func() {
		r.fire(transitioner.Dispatch)
		countDispatched.Add(1)
		r.session.Started(r.ID, g.endpoint)
	}}
}

// dispatchChat dispatches a chat request. It returns false when nothing was sent and the request goes back to waiting.
func (r *Run) dispatchChat(g grant) bool {
	stop := time.AfterFunc(r.env.Timeouts.Total, func() { r.cancelRun("time_limit") })
	defer stop.Stop()
	call := r.req.Call
	call.RequestID = r.ID
	engine, stream, err := r.sender(g).Chat(r.ctx, call)
	var unsent *sender.UnsentError
	if errors.As(err, &unsent) {
		return r.decline(g, unsent.Reason)
	}
	r.release()
	copier := &resumer.Resumer{
		RequestID: r.ID, Endpoint: g.endpoint, Engine: engine, Answer: r.Answer, Limits: r.env.Timeouts.Resume,
		Reporter: r.session, OnFirstChunk: func() { r.fire(transitioner.Stream) },
	}
	res := copier.Copy(r.ctx, stream, err)
	finished := scheduler.Finished{RequestID: r.ID, Outcome: r.finishCopy(engine, r.ID, res)}
	finished.OutputTokens, _ = r.Answer.Len()
	if u := res.Usage; u != nil {
		finished.PromptTokens, finished.CachedTokens, finished.OutputTokens = u.PromptTokens, u.CachedTokens, u.OutputTokens
	}
	r.session.Finished(finished)
	return true
}

// finishCopy ends the request, cancels the run at the endpoint if it may still be active, and returns the outcome of the run.
func (r *Run) finishCopy(engine connector.Engine, id string, res resumer.Result) string {
	switch {
	case res.Done:
		r.finish(transitioner.Done, answerer.End{Outcome: answerer.Done, Usage: res.Usage})
		return scheduler.OutcomeDone
	case res.Rejected:
		r.finish(transitioner.Fail, explainer.Rejected(res.Err))
		return scheduler.OutcomeFailed
	case res.Canceled:
		reason, byScheduler := r.cancelCause()
		if res.Reason != "" {
			reason, byScheduler = res.Reason, false
		}
		r.finish(transitioner.Fail, explainer.Ended(reason, byScheduler))
		if reason != reasonStopped {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
			_ = engine.Cancel(ctx, id)
			cancel()
		}
		return scheduler.OutcomeCanceled
	}
	r.finish(transitioner.LoseOutcome, explainer.Lost(res.Reason))
	return scheduler.OutcomeInterrupted
}

// dispatchCall dispatches a call to a plain service. It returns false when nothing was sent and the request goes back to waiting.
func (r *Run) dispatchCall(g grant) bool {
	stop := time.AfterFunc(r.env.Timeouts.Total, func() { r.cancelRun("time_limit") })
	defer stop.Stop()
	call := r.req.Call
	call.RequestID = r.ID
	response, err := r.sender(g).Call(r.ctx, call)
	var unsent *sender.UnsentError
	if errors.As(err, &unsent) {
		return r.decline(g, unsent.Reason)
	}
	finished := scheduler.Finished{RequestID: r.ID, Outcome: scheduler.OutcomeDone}
	end := answerer.End{Outcome: answerer.Done, Response: response}
	out := recorder.Outcome{Outcome: recorder.OutcomeDone}
	trigger := transitioner.Done
	if err != nil {
		finished.Outcome, out.Outcome = scheduler.OutcomeInterrupted, recorder.OutcomeUnknown
		trigger, end = transitioner.LoseOutcome, explainer.Lost("endpoint_lost")
		if cause, ok := sender.FailureCause(err); ok {
			r.session.EndpointFailed(g.endpoint, cause, r.ID)
		}
	} else {
		out.Status, out.Header, out.Body = response.Status, response.Header, response.Body
	}
	r.session.Finished(finished)
	if r.req.NeedsLedger() {
		r.order.Conclude(r.ctx, out)
	}
	r.finish(trigger, end)
	return true
}
