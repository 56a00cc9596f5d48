// Package executor runs one request of an entry host from its acceptance to its end.
package executor

import (
	"context"
	"errors"
	"expvar"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/committer"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/explainer"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/transitioner"
)

const (
	// maxConnectDeclines bounds the grants of one request that are declined because the endpoint cannot be reached.
	maxConnectDeclines = 8
)

// reasonStopped is the reason for requests that end because their entry host stops. Their runs continue at the endpoints, so
// that another entry host can deliver the answers.
const reasonStopped = "stopped"

// ErrStopped is the cause with which a stopping host cancels the context of its runs.
var ErrStopped error = &cancelError{reason: reasonStopped}

var (
	countDispatched = expvar.NewInt("executor_dispatched")
	countOutcomes   = expvar.NewMap("executor_outcomes")
	countDeclines   = expvar.NewMap("executor_declines")
)

type grant struct {
	endpoint string
	deadline time.Time
}

type refusal struct {
	reason     scheduler.RefuseReason
	retryAfter time.Duration
}

// cancelError is the cause with which the context of a run is cancelled.
type cancelError struct {
	reason string
	// byScheduler is true when the scheduler cancelled the run.
	byScheduler bool
}

// Error implements error.
func (e *cancelError) Error() string { return "cancelled: " + e.reason }

// Run is one request in progress. Only the goroutine of Execute dispatches it.
type Run struct {
	ID     string
	Answer *answerer.Answer

	env         *Environment
	req         describer.Request
	session     Session
	order       *committer.Order
	machine     *transitioner.Machine
	ctx         context.Context
	cancel      context.CancelCauseFunc
	grants      chan grant
	refusals    chan refusal
	readersGone chan struct{}
	// remote is true when another host owns the request and this host only copies its answer.
	remote          bool
	connectDeclines int
	ledgerFailures  int
	released        sync.Once

	mu          sync.Mutex
	lingerTimer *time.Timer
}

// New returns a run for a request that this host owns.
func New(ctx context.Context, env *Environment, id string, req describer.Request, session Session) *Run {
	r := newRun(ctx, env, id, req)
	r.session = session
	r.Answer = answerer.New(answerer.Meta{
		RequestID: id, Workspace: req.Workspace, Key: req.Key, Digest: req.Digest,
		Kind: req.Kind, Model: req.Model, Pool: req.Pool, Created: time.Now(),
	}, r.readersChanged)
	return r
}

// NewRemote returns a run that copies the answer of a request that another host owns.
func NewRemote(ctx context.Context, env *Environment, id, workspace string) *Run {
	r := newRun(ctx, env, id, describer.Request{Workspace: workspace})
	r.remote = true
	r.Answer = answerer.New(answerer.Meta{RequestID: id, Workspace: workspace, Created: time.Now()}, r.readersChanged)
	return r
}

func newRun(ctx context.Context, env *Environment, id string, req describer.Request) *Run {
	r := &Run{
		ID:          id,
		env:         env,
		req:         req,
		machine:     transitioner.New(req.NeedsLedger()),
		grants:      make(chan grant, 1),
		refusals:    make(chan refusal, 1),
		readersGone: make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	key := req.Key
	if key == "" {
		key = id
	}
	r.order = &committer.Order{
		Ledger: env.Ledger, Timeout: env.Timeouts.Ledger, Go: env.Go,
		Intent: recorder.Intent{
			Key: recorder.Key{Workspace: req.Workspace, Value: key}, Digest: req.Digest, RequestID: id, Owner: env.Owner,
		},
	}
	return r
}

// State returns the current state of the request.
func (r *Run) State() transitioner.State { return r.machine.State() }

// Abandon ends a request that was accepted while the host was stopping.
func (r *Run) Abandon() {
	defer r.release()
	end := explainer.NotRun(reasonStopped, "the entry host is stopping")
	if r.remote {
		end.Outcome = answerer.Unknown
		r.finish(transitioner.LoseOutcome, end)
		return
	}
	r.finish(transitioner.GiveUp, end)
}

func (r *Run) fire(t transitioner.Trigger) {
	if err := r.machine.Fire(t); err != nil {
		klog.Errorf("executor: invalid state transition request=%s state=%s trigger=%s reason=%q", r.ID, r.State(), t, err)
	}
}

func (r *Run) release() {
	r.released.Do(func() {
		r.req.Call.Body = nil
		if r.req.Release != nil {
			r.req.Release()
		}
	})
}

// Execute runs the request until it has ended.
func (r *Run) Execute() {
	defer r.release()
	if r.req.Key != "" && (r.endedByLedger() || r.claimKey()) {
		return
	}
	r.Answer.FinalizeIdentity()
	r.fire(transitioner.Submit)
	r.session.Submit(r.req.Describe(r.ID, r.env.Zone), granter.Callbacks{
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
		CancelRun: func(reason string) {
			r.cancel(&cancelError{reason: strings.ReplaceAll(reason, " ", "_"), byScheduler: true})
		},
	})
	for !r.handleNext() {
	}
}

// handleNext handles the next event of a waiting request. It returns true when the request has ended.
func (r *Run) handleNext() bool {
	var deadline <-chan time.Time
	if !r.req.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(r.req.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case g := <-r.grants:
		return r.dispatch(g)
	case f := <-r.refusals:
		r.refuse(f)
		return true
	case <-deadline:
		return r.giveUp("deadline", "the caller's deadline passed while the request waited")
	case <-r.readersGone:
		if r.Answer.Readers() > 0 {
			return false
		}
		return r.giveUp("caller_gone", "the caller left while the request waited")
	case <-r.ctx.Done():
		return r.giveUp(r.cancelReason(), "the request was ended while it waited")
	}
}

// decline returns a grant unused, and the request goes back to waiting. It returns true if the request has ended instead,
// because maxConnectDeclines is reached.
func (r *Run) decline(g grant, reason scheduler.DeclineReason) bool {
	countDeclines.Add(string(reason), 1)
	if reason == scheduler.DeclineConnect {
		r.connectDeclines++
	}
	r.fire(transitioner.Decline)
	r.session.Declined(r.ID, g.endpoint, reason)
	if r.connectDeclines >= maxConnectDeclines {
		return r.giveUp("unreachable", "no endpoint that was granted could be reached")
	}
	return false
}

// giveUp ends a request that was never dispatched, and returns true.
func (r *Run) giveUp(reason, message string) bool {
	r.session.Cancelled(r.ID)
	r.order.Withdraw(r.ctx)
	r.finish(transitioner.GiveUp, explainer.NotRun(reason, message))
	return true
}

func (r *Run) refuse(f refusal) {
	r.order.Withdraw(r.ctx)
	end := explainer.Refused(f.reason, f.retryAfter)
	r.finish(triggerOf(end.Outcome), end)
}

// finish ends the request with end and sets how long its answer is retained.
func (r *Run) finish(t transitioner.Trigger, end answerer.End) {
	r.fire(t)
	r.Answer.Finish(end)
	end = *r.Answer.End()
	countOutcomes.Add(string(end.Outcome), 1)
	retain := answerer.RetainByKey
	switch {
	case r.remote && end.Outcome == answerer.Unknown:
		retain = answerer.RetainNone
	case end.Outcome == answerer.NotRun || end.Outcome == answerer.Refused:
		retain = answerer.RetainByID
	}
	r.env.Store.MarkEnded(r.ID, r.Answer, retain)
	r.mu.Lock()
	if r.lingerTimer != nil {
		r.lingerTimer.Stop()
	}
	r.mu.Unlock()
	chunks, bytes := r.Answer.Len()
	klog.Infof("executor: finished request=%s tier=%s workspace=%s state=%s outcome=%s reason=%q chunks=%d bytes=%d",
		r.ID, r.req.Tier, r.req.Workspace, r.State(), end.Outcome, end.Reason, chunks, bytes)
}

// cancelRun cancels the context of the run with a reason.
func (r *Run) cancelRun(reason string) { r.cancel(&cancelError{reason: reason}) }

func (r *Run) cancelReason() string {
	reason, _ := r.cancelCause()
	return reason
}

func (r *Run) cancelCause() (reason string, byScheduler bool) {
	var c *cancelError
	if errors.As(context.Cause(r.ctx), &c) {
		return c.reason, c.byScheduler
	}
	return reasonStopped, false
}

// readersChanged is called when the first reader of the answer arrives or the last one leaves. A run without readers is cancelled
// after Timeouts.Linger, unless it is a call to a plain service that this host owns.
func (r *Run) readersChanged() {
	if r.Answer.Readers() > 0 {
		r.mu.Lock()
		if r.lingerTimer != nil {
			r.lingerTimer.Stop()
			r.lingerTimer = nil
		}
		r.mu.Unlock()
		return
	}
	select {
	case r.readersGone <- struct{}{}:
	default:
	}
	if r.req.Kind == answerer.KindService && !r.remote {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lingerTimer == nil && r.Answer.End() == nil {
		r.lingerTimer = time.AfterFunc(r.env.Timeouts.Linger, func() {
			if r.Answer.Readers() == 0 {
				r.cancelRun("caller_gone")
			}
		})
	}
}

// backOff waits for a jittered back-off. It returns false when the run is cancelled.
func (r *Run) backOff(attempt int) bool { return r.env.Timeouts.Resume.WaitBackoff(r.ctx, attempt) }
