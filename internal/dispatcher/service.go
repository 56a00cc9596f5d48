package dispatcher

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

const (
	// maxLedgerFailures bounds the grants spent on a ledger that does not commit.
	maxLedgerFailures = 3
	// ledgerRetryTime bounds the background attempts to conclude or withdraw an order.
	ledgerRetryTime  = time.Minute
	ledgerRetryDelay = 200 * time.Millisecond
)

// call dispatches a call of a plain service. It returns false when nothing was sent and the request waits on.
func (r *run) call(g grant) bool {
	var service connector.Service
	known := func() (ok bool) {
		service, ok = r.d.Endpoints.Service(g.endpoint)
		return ok
	}
	if !r.endpointKnown(g, known) {
		return r.decline(g, scheduler.DeclineExpired)
	}
	stop := time.AfterFunc(r.d.Times.Total, func() { r.cancelRun("time_limit") })
	defer stop.Stop()
	sent := false
	call := r.req.Call
	call.RequestID = r.id
	response, err := service.Do(dialContext{r.ctx, g.deadline}, call, r.sending(g.endpoint, &sent))
	if !sent {
		return r.unsent(g, err)
	}
	finished := scheduler.Finished{RequestID: r.id, Outcome: scheduler.OutcomeDone}
	end := answerer.End{Outcome: answerer.Done, Response: response}
	trig := triggerDone
	if err != nil {
		finished.Outcome, trig = scheduler.OutcomeInterrupted, triggerLose
		end = answerer.End{
			Outcome: answerer.Unknown, Reason: "endpoint_lost",
			Message: "the endpoint was lost during the call; it may have run and is not repeated",
		}
		if cause, ok := failureOf(err); ok {
			r.session.EndpointFailed(g.endpoint, cause, r.id)
		}
	}
	r.session.Finished(finished)
	if needsLedger(r.req) {
		r.conclude(end)
	}
	r.finish(trig, end)
	return true
}

func failureOf(err error) (scheduler.FailureCause, bool) {
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		switch interrupted.Cause {
		case connector.CauseReset:
			return scheduler.FailureReset, true
		case connector.CauseSilent:
			return scheduler.FailureSilent, true
		}
	}
	return "", false
}

func (r *run) ledgerKey() recorder.Key {
	value := r.req.Key
	if value == "" {
		value = r.id
	}
	return recorder.Key{Workspace: r.req.Workspace, Value: value}
}

// intend commits the intent of a non-idempotent order. It returns proceed when this request may be dispatched under g, and
// otherwise whether the request has ended.
func (r *run) intend(g grant) (proceed, ended bool) {
	if r.intended != "" && r.intended != g.endpoint {
		ctx, cancel := context.WithTimeout(r.ctx, r.d.Times.Ledger)
		err := r.d.Ledger.Withdraw(ctx, r.ledgerKey(), r.d.Owner())
		cancel()
		if err != nil {
			return false, r.ledgerFailed(g, err)
		}
		r.intended, r.committed = "", false
	}
	if !r.committed {
		record, err := r.commitIntent(g)
		if err != nil {
			return false, r.ledgerFailed(g, err)
		}
		// An intent under this request's id is its own, also when the answer to an earlier attempt was lost: this request has
		// written no byte, so that it may be dispatched.
		own := record.RequestID == r.id && record.Phase == recorder.PhaseIntended
		if !record.Granted && !own {
			r.intended = ""
			r.session.Declined(r.id, g.endpoint, scheduler.DeclineGone)
			r.attachRecord(record)
			return false, true
		}
		r.committed = true
	}
	countIntents.Add("committed", 1)
	r.fire(triggerIntend)
	return true, false
}

// recorded ends a request whose key belongs to an order in the ledger, without waiting for an endpoint.
func (r *run) recorded() bool {
	if !needsLedger(r.req) {
		return false
	}
	record, ok := r.lookUp(r.ledgerKey())
	if !ok {
		return false
	}
	r.attachRecord(record)
	return true
}

// lookUp reads an order of the ledger. A failure counts as an unknown order, since the intent decides later.
func (r *run) lookUp(key recorder.Key) (recorder.Record, bool) {
	ctx, cancel := context.WithTimeout(r.ctx, r.d.Times.Ledger)
	defer cancel()
	record, ok, err := r.d.Ledger.Order(ctx, key)
	return record, ok && err == nil
}

func (r *run) commitIntent(g grant) (recorder.Record, error) {
	ctx, cancel := context.WithTimeout(r.ctx, r.d.Times.Ledger)
	defer cancel()
	r.intended = g.endpoint
	return r.d.Ledger.Intend(ctx, recorder.Intent{
		Key: r.ledgerKey(), Digest: r.req.Digest, RequestID: r.id, Owner: r.d.Owner(), Endpoint: g.endpoint,
	})
}

// ledgerFailed gives the grant back; the request waits for another one unless the ledger failed too often.
func (r *run) ledgerFailed(g grant, err error) bool {
	var mismatch *recorder.DigestMismatchError
	if errors.As(err, &mismatch) {
		r.intended = ""
		r.session.Declined(r.id, g.endpoint, scheduler.DeclineGone)
		r.finish(triggerRefuse, keyReusedEnd("an earlier order"))
		return true
	}
	var full *recorder.LedgerFullError
	if errors.As(err, &full) {
		r.intended = ""
		r.session.Declined(r.id, g.endpoint, scheduler.DeclineGone)
		return r.giveUp("ledger_full", "the ledger of orders is full; the order was not sent")
	}
	countIntents.Add("failed", 1)
	klog.Warningf("dispatcher: ledger failed request=%s reason=%q", r.id, err)
	r.ledgerFailures++
	if r.ledgerFailures >= maxLedgerFailures {
		r.session.Declined(r.id, g.endpoint, scheduler.DeclineGone)
		return r.giveUp("ledger_unavailable", "the order could not be recorded and was not sent")
	}
	return r.decline(g, scheduler.DeclineExpired)
}

// attachRecord answers a request whose key belongs to an earlier order.
func (r *run) attachRecord(record recorder.Record) {
	countIntents.Add("attached", 1)
	if record.Digest != r.req.Digest {
		r.finish(triggerRefuse, keyReusedEnd(record.RequestID))
		return
	}
	switch {
	case r.finishRecorded(record):
	case record.Phase == recorder.PhaseIntended:
		host, _, _ := parseID(record.RequestID, record.Key.Workspace)
		r.follow(record.RequestID, host, record.Owner)
	default:
		r.finish(triggerLose, answerer.End{
			Outcome: answerer.Unknown, Reason: "order_unknown",
			Message: "an order with this key may have run; its result is not known and it is not repeated",
		})
	}
}

// finishRecorded answers with the outcome in the ledger. It returns false when the ledger has no answer.
func (r *run) finishRecorded(record recorder.Record) bool {
	if record.Outcome == nil || record.Outcome.Outcome != recorder.OutcomeDone {
		return false
	}
	end := answerer.End{Outcome: answerer.Done, Response: &connector.Response{
		Status: record.Outcome.Status, Header: record.Outcome.Header, Body: record.Outcome.Body,
	}}
	if record.Outcome.Truncated {
		end.Reason, end.Message = "answer_not_kept", "the order was done; its answer was too large to be kept"
	}
	r.answer.Follow(record.RequestID, answerer.KindService, "", r.answer.Meta().Created)
	r.finish(triggerDone, end)
	return true
}

func keyReusedEnd(id string) answerer.End {
	return answerer.End{
		Outcome: answerer.Refused, Reason: "key_reused",
		Message: "the Idempotency-Key belongs to another request with another method, path or body: " + id,
	}
}

// conclude commits the result of an order. The caller is answered at once when the first attempt succeeds; later attempts
// continue in the background, and until one succeeds a repeated key is attached to this host or answered as unknown.
func (r *run) conclude(end answerer.End) {
	out := recorder.Outcome{Outcome: string(end.Outcome)}
	if end.Response != nil {
		out.Status, out.Header, out.Body = end.Response.Status, end.Response.Header, end.Response.Body
	}
	key, owner, d := r.ledgerKey(), r.d.Owner(), r.d
	r.retryLedger("conclude", func(ctx context.Context) error { return d.Ledger.Conclude(ctx, key, owner, out) })
}

// withdraw removes the intent of an order of which no byte was written.
func (r *run) withdraw() {
	if r.intended == "" {
		return
	}
	r.intended, r.committed = "", false
	key, owner, d := r.ledgerKey(), r.d.Owner(), r.d
	r.retryLedger("withdraw", func(ctx context.Context) error { return d.Ledger.Withdraw(ctx, key, owner) })
}

func (r *run) retryLedger(verb string, commit func(ctx context.Context) error) {
	attempt := func(parent context.Context) error {
		ctx, cancel := context.WithTimeout(parent, r.d.Times.Ledger)
		defer cancel()
		return commit(ctx)
	}
	err := attempt(context.WithoutCancel(r.ctx))
	if err == nil || final(err) {
		return
	}
	klog.Warningf("dispatcher: cannot %s order request=%s reason=%q", verb, r.id, err)
	d, id := r.d, r.id
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(d.ctx, ledgerRetryTime)
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				klog.Errorf("dispatcher: gave up to %s order request=%s", verb, id)
				return
			case <-time.After(ledgerRetryDelay):
			}
			if err := attempt(ctx); err == nil || final(err) {
				return
			}
		}
	})
}

// final reports whether the ledger has decided, so that another attempt cannot succeed.
func final(err error) bool {
	var (
		owner     *recorder.NotOwnerError
		unknown   *recorder.UnknownOrderError
		concluded *recorder.ConcludedError
	)
	return errors.As(err, &owner) || errors.As(err, &unknown) || errors.As(err, &concluded)
}
