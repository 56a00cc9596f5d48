// Package executor takes one request of an entry host from its arrival to its end.
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
	"github.com/dragonflycroft/dragonflycroft/internal/booker"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/explainer"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/transitioner"
)

const (
	// maxConnectDeclines bounds how many endpoints in a row are tried for one request.
	maxConnectDeclines = 8
)

// reasonStopped ends requests with their entry host. Their runs go on, so that another entry host can deliver the answers.
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

// cancelError is the cause of a cancelled run.
type cancelError struct {
	reason string
	// byScheduler is true when the scheduler ended the run.
	byScheduler bool
}

// Error implements error.
func (e *cancelError) Error() string { return "cancelled: " + e.reason }

// Run is one request in progress. Its goroutine is the only one that dispatches it.
type Run struct {
	ID     string
	Answer *answerer.Answer

	env      *Environment
	req      describer.Request
	session  Session
	order    *booker.Order
	machine  *transitioner.Machine
	ctx      context.Context
	cancel   context.CancelCauseFunc
	grants   chan grant
	refusals chan refusal
	left     chan struct{}
	// foreign is true when the request is owned by another host and only its answer is copied here.
	foreign         bool
	connectDeclines int
	ledgerFailures  int
	released        sync.Once

	mu     sync.Mutex
	linger *time.Timer
}

// New returns the run of a request that this host owns.
func New(ctx context.Context, env *Environment, id string, req describer.Request, session Session) *Run {
	r := newRun(ctx, env, id, req)
	r.session = session
	r.Answer = answerer.New(answerer.Meta{
		RequestID: id, Workspace: req.Workspace, Key: req.Key, Digest: req.Digest,
		Kind: req.Kind, Model: req.Model, Pool: req.Pool, Created: time.Now(),
	}, r.readersChanged)
	return r
}

// NewForeign returns a run that copies the answer of a request of another host.
func NewForeign(ctx context.Context, env *Environment, id, workspace string) *Run {
	r := newRun(ctx, env, id, describer.Request{Workspace: workspace})
	r.foreign = true
	r.Answer = answerer.New(answerer.Meta{RequestID: id, Workspace: workspace, Created: time.Now()}, r.readersChanged)
	return r
}

func newRun(ctx context.Context, env *Environment, id string, req describer.Request) *Run {
	r := &Run{
		ID:       id,
		env:      env,
		req:      req,
		machine:  transitioner.New(req.NeedsLedger()),
		grants:   make(chan grant, 1),
		refusals: make(chan refusal, 1),
		left:     make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	key := req.Key
	if key == "" {
		key = id
	}
	r.order = &booker.Order{
		Ledger: env.Ledger, Timeout: env.Times.Ledger, Go: env.Go,
		Intent: recorder.Intent{
			Key: recorder.Key{Workspace: req.Workspace, Value: key}, Digest: req.Digest, RequestID: id, Owner: env.Owner,
		},
	}
	return r
}

// State returns the progress of the request.
func (r *Run) State() transitioner.State { return r.machine.State() }

// Abandon ends a request that was accepted while the host stops.
func (r *Run) Abandon() {
	defer r.release()
	end := explainer.NotRun(reasonStopped, "the entry host is stopping")
	if r.foreign {
		end.Outcome = answerer.Unknown
		r.finish(transitioner.Lose, end)
		return
	}
	r.finish(transitioner.GiveUp, end)
}

func (r *Run) fire(t transitioner.Trigger) {
	if err := r.machine.Fire(t); err != nil {
		klog.Errorf("executor: refused transition request=%s state=%s trigger=%s reason=%q", r.ID, r.State(), t, err)
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

// Drive takes the request from received to its end.
func (r *Run) Drive() {
	defer r.release()
	if r.req.Key != "" && (r.recorded() || r.claim()) {
		return
	}
	r.Answer.Settle()
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
	for !r.await() {
	}
}

// await handles the next event of a waiting request. It returns true when the request has ended.
func (r *Run) await() bool {
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
		if r.Answer.Readers() > 0 {
			return false
		}
		return r.giveUp("caller_gone", "the caller left while the request waited")
	case <-r.ctx.Done():
		return r.giveUp(r.cancelReason(), "the request was ended while it waited")
	}
}

// decline gives a grant back; the request waits on.
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

// giveUp ends a request that was never dispatched.
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

// finish ends the request and releases all who wait for its answer.
func (r *Run) finish(t transitioner.Trigger, end answerer.End) {
	r.fire(t)
	r.Answer.Finish(end)
	end = *r.Answer.End()
	countOutcomes.Add(string(end.Outcome), 1)
	retain := answerer.RetainByKey
	switch {
	case r.foreign && end.Outcome == answerer.Unknown:
		retain = answerer.RetainNone
	case end.Outcome == answerer.NotRun || end.Outcome == answerer.Refused:
		retain = answerer.RetainByID
	}
	r.env.Store.Ended(r.ID, r.Answer, retain)
	r.mu.Lock()
	if r.linger != nil {
		r.linger.Stop()
	}
	r.mu.Unlock()
	chunks, bytes := r.Answer.Len()
	klog.Infof("executor: finished request=%s tier=%s workspace=%s state=%s outcome=%s reason=%q chunks=%d bytes=%d",
		r.ID, r.req.Tier, r.req.Workspace, r.State(), end.Outcome, end.Reason, chunks, bytes)
}

// cancelRun ends a dispatched run.
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

// readersChanged reacts to the first and the last reader of the answer.
func (r *Run) readersChanged() {
	if r.Answer.Readers() > 0 {
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
	if r.linger == nil && r.Answer.End() == nil {
		r.linger = time.AfterFunc(r.env.Times.Linger, func() {
			if r.Answer.Readers() == 0 {
				r.cancelRun("caller_gone")
			}
		})
	}
}

// pause waits for a jittered back-off. It returns false when the run was cancelled.
func (r *Run) pause(attempt int) bool { return r.env.Times.Resume.Pause(r.ctx, attempt) }
