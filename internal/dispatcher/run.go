package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// maxConnectDeclines bounds how many endpoints in a row are tried for one request.
const maxConnectDeclines = 8

// endpointPoll is how often the resolver is asked for an endpoint that this host does not know yet.
const endpointPoll = 10 * time.Millisecond

// reasonStopped ends requests with their entry host. Their runs go on, so that another entry host can deliver the answers.
const reasonStopped = "stopped"

type grant struct {
	endpoint string
	deadline time.Time
}

type refusal struct {
	reason     scheduler.RefuseReason
	retryAfter time.Duration
}

// cancelError is the cause of a cancelled run.
type cancelError struct{ reason string }

// Error implements error.
func (e *cancelError) Error() string { return "cancelled: " + e.reason }

// run is one request in progress. Its goroutine is the only one that dispatches it.
type run struct {
	d        *Dispatcher
	id       string
	req      Request
	answer   *answerer.Answer
	session  Session
	machine  *machine
	ctx      context.Context
	cancel   context.CancelCauseFunc
	grants   chan grant
	refusals chan refusal
	left     chan struct{}
	// foreign is true when the request is owned by another host and only its answer is copied here.
	foreign         bool
	submitted       time.Time
	connectDeclines int
	ledgerFailures  int
	// intended is the endpoint named by an intent that is or may be in the ledger.
	intended string
	// committed is true when that intent is known to be in the ledger and granted to this request.
	committed bool
	released  sync.Once

	mu     sync.Mutex
	linger *time.Timer
}

func (r *run) fire(t trigger) {
	if err := r.machine.Fire(t); err != nil {
		klog.Errorf("dispatcher: refused transition request=%s state=%s trigger=%s reason=%q", r.id, r.machine.State(), t, err)
	}
}

func (r *run) release() {
	r.released.Do(func() {
		r.req.Call.Body = nil
		if r.req.Release != nil {
			r.req.Release()
		}
	})
}

// drive takes the request from received to its end.
func (r *run) drive() {
	defer r.release()
	if r.req.Key != "" && (r.recorded() || r.claim()) {
		return
	}
	r.answer.Settle()
	r.fire(triggerSubmit)
	r.submitted = time.Now()
	r.session.Submit(r.descriptor(), granter.Callbacks{
		Grant: func(endpoint string, deadline time.Time) {
			select {
			case r.grants <- grant{endpoint: endpoint, deadline: deadline}:
			default:
			}
		},
		Refuse: func(reason scheduler.RefuseReason, retryAfter time.Duration) {
			select {
			case r.refusals <- refusal{reason: reason, retryAfter: retryAfter}:
			default:
			}
		},
		CancelRun: r.cancelRun,
	})
	for !r.await() {
	}
}

func (r *run) descriptor() scheduler.Descriptor {
	var remaining time.Duration
	if !r.req.Deadline.IsZero() {
		remaining = max(time.Millisecond, time.Until(r.req.Deadline))
	}
	return scheduler.Descriptor{
		RequestID:       r.id,
		Workspace:       r.req.Workspace,
		Caller:          r.req.Caller,
		Tier:            r.req.Tier,
		Kind:            r.req.Kind,
		Model:           r.req.Model,
		Adapter:         r.req.Adapter,
		PromptTokens:    r.req.PromptTokens,
		MaxOutputTokens: r.req.MaxOutputTokens,
		PrefixBlocks:    r.req.PrefixBlocks,
		Fingerprint:     r.req.Digest,
		IdempotencyKey:  r.req.Key,
		Idempotent:      r.req.Idempotent,
		Zone:            r.d.Zone,
		Remaining:       remaining,
	}
}

// await handles the next event of a waiting request. It returns true when the request has ended.
func (r *run) await() bool {
	var deadline <-chan time.Time
	if !r.req.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(r.req.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case g := <-r.grants:
		return r.use(g)
	case f := <-r.refusals:
		r.refuse(f)
		return true
	case <-deadline:
		return r.giveUp("deadline", "the caller's deadline passed while the request waited")
	case <-r.left:
		if r.answer.Readers() > 0 {
			return false
		}
		return r.giveUp("caller_gone", "the caller left while the request waited")
	case <-r.ctx.Done():
		return r.giveUp(r.cancelReason(), "the request was ended while it waited")
	}
}

// use dispatches a granted request, or gives the grant back. It returns true when the request has ended.
func (r *run) use(g grant) bool {
	r.fire(triggerGrant)
	if needsLedger(r.req) {
		proceed, ended := r.intend(g)
		if !proceed {
			return ended
		}
	}
	if !time.Now().Before(g.deadline) {
		return r.decline(g, scheduler.DeclineExpired)
	}
	klog.V(1).Infof("dispatcher: dispatch request=%s tier=%s workspace=%s endpoint=%s reason=%q",
		r.id, r.req.Tier, r.req.Workspace, g.endpoint, "granted")
	if r.req.Kind == answerer.KindService {
		return r.call(g)
	}
	return r.chat(g)
}

// decline gives a grant back; the request waits on.
func (r *run) decline(g grant, reason scheduler.DeclineReason) bool {
	countDeclines.Add(string(reason), 1)
	if reason == scheduler.DeclineConnect {
		r.connectDeclines++
	}
	r.fire(triggerDecline)
	r.session.Declined(r.id, g.endpoint, reason)
	if r.connectDeclines >= maxConnectDeclines {
		return r.giveUp("unreachable", "no endpoint that was granted could be reached")
	}
	return false
}

// endpointKnown waits until this host knows a granted endpoint: the holder may act on a newer configuration than this host.
func (r *run) endpointKnown(g grant, known func() bool) bool {
	ticker := time.NewTicker(endpointPoll)
	defer ticker.Stop()
	for !known() {
		select {
		case <-r.ctx.Done():
			return false
		case <-ticker.C:
		}
		if !time.Now().Before(g.deadline) {
			return false
		}
	}
	return true
}

// giveUp ends a request that was never dispatched.
func (r *run) giveUp(reason, message string) bool {
	r.session.Cancelled(r.id)
	r.withdraw()
	r.finish(triggerGiveUp, answerer.End{Outcome: answerer.NotRun, Reason: reason, Message: message})
	return true
}

func (r *run) refuse(f refusal) {
	r.withdraw()
	end := answerer.End{Outcome: answerer.Refused, Reason: string(f.reason), RetryAfter: f.retryAfter}
	trig := triggerRefuse
	switch f.reason {
	case scheduler.RefuseOverload:
		end.Message = "the system is out of room for this tier; the request did not run"
	case scheduler.RefusePatience:
		end.Message = "the request waited longer than its tier allows; it did not run"
	case scheduler.RefuseLimit:
		end.Message = "a limit set by the operators was reached; the request did not run"
	case scheduler.RefuseQuarantine:
		end.Outcome, trig = answerer.NotRun, triggerGiveUp
		end.Message = "this request is quarantined because endpoints failed while it ran; it did not run"
	case scheduler.RefuseUnserved:
		end.Message = "no endpoint serves this model or adapter; the request did not run"
	default:
		end.Message = "the request was refused and did not run"
	}
	r.finish(trig, end)
}

// finish ends the request and releases all who wait for its answer.
func (r *run) finish(t trigger, end answerer.End) {
	r.fire(t)
	r.answer.Finish(end)
	end = *r.answer.End()
	countOutcomes.Add(string(end.Outcome), 1)
	retain := answerer.RetainByKey
	switch {
	case r.foreign && end.Outcome == answerer.Unknown:
		retain = answerer.RetainNone
	case end.Outcome == answerer.NotRun || end.Outcome == answerer.Refused:
		retain = answerer.RetainByID
	}
	r.d.Store.Ended(r.id, r.answer, retain)
	r.mu.Lock()
	if r.linger != nil {
		r.linger.Stop()
	}
	r.mu.Unlock()
	chunks, bytes := r.answer.Len()
	klog.Infof("dispatcher: finished request=%s tier=%s workspace=%s state=%s outcome=%s reason=%q chunks=%d bytes=%d",
		r.id, r.req.Tier, r.req.Workspace, r.machine.State(), end.Outcome, end.Reason, chunks, bytes)
}

// cancelRun ends a dispatched run.
func (r *run) cancelRun(reason string) { r.cancel(&cancelError{reason: reason}) }

// readersChanged reacts to the first and the last reader of the answer.
func (r *run) readersChanged() {
	if r.answer.Readers() > 0 {
		r.mu.Lock()
		if r.linger != nil {
			r.linger.Stop()
			r.linger = nil
		}
		r.mu.Unlock()
		return
	}
	select {
	case r.left <- struct{}{}:
	default:
	}
	if r.req.Kind == answerer.KindService && !r.foreign {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.linger == nil && r.answer.End() == nil {
		r.linger = time.AfterFunc(r.d.Times.Linger, func() {
			if r.answer.Readers() == 0 {
				r.cancelRun("caller_gone")
			}
		})
	}
}

func (r *run) cancelReason() string {
	var c *cancelError
	if errors.As(context.Cause(r.ctx), &c) {
		return c.reason
	}
	return reasonStopped
}

// pause waits for a jittered back-off. It returns false when the run was cancelled.
func (r *run) pause(attempt int) bool {
	backoff := min(r.d.Times.MaxResumeBackoff, r.d.Times.ResumeBackoff<<min(attempt, 10))
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// dialContext bounds the connect of a dispatch by the deadline of its grant; the exchange itself is not bounded by it.
type dialContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c dialContext) Deadline() (time.Time, bool) { return c.deadline, true }
