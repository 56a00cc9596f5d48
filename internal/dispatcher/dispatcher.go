// Package dispatcher manages the requests that one entry host owns. Only the owner dispatches a request; it also stores the
// answer. The package also fetches answers from other entry hosts.
package dispatcher

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/attacher"
	"github.com/dragonflycroft/dragonflycroft/internal/committer"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/executor"
	"github.com/dragonflycroft/dragonflycroft/internal/follower"
	"github.com/dragonflycroft/dragonflycroft/internal/identifier"
	"github.com/dragonflycroft/dragonflycroft/internal/sender"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const sweepInterval = time.Second

var (
	countAccepted = expvar.NewInt("dispatcher_accepted")
	countAttached = expvar.NewInt("dispatcher_attached")
)

// KeyReusedError reports an idempotency key that is already bound to a request with another method, path or body.
type KeyReusedError struct{ Key, RequestID string }

// Error implements error.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("the Idempotency-Key %q belongs to request %s, which has another method, path or body", e.Key, e.RequestID)
}

// NotFoundError reports a request ID that was not issued to the workspace, or whose answer is no longer stored.
type NotFoundError struct{ RequestID string }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("request %q is not known here, or its answer is no longer kept", e.RequestID)
}

// UnknownPoolError reports a pool for which this host has no session, because the request was routed with another configuration
// version than the one that the sessions follow.
type UnknownPoolError struct{ Pool string }

// Error implements error.
func (e *UnknownPoolError) Error() string {
	return fmt.Sprintf("this entry host does not know the pool %q yet", e.Pool)
}

// Dispatcher manages the requests that one entry host owns. Set the exported fields before Start.
type Dispatcher struct {
	HostID      string
	Incarnation uint64
	Zone        string
	Transport   *transporter.Transport
	// Session returns the session of a pool, Sessions the sessions of all pools.
	Session   func(pool string) (executor.Session, bool)
	Sessions  func() []executor.Session
	Endpoints sender.Endpoints
	Ledger    committer.Ledger
	Hosts     follower.Hosts
	Store     *answerer.Store
	Timeouts  executor.Timeouts

	seq    atomic.Uint64
	env    *executor.Environment
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	closed bool
	runs   map[string]*executor.Run
}

// Owner returns the owner name of this host, which includes its incarnation.
func (d *Dispatcher) Owner() string { return identifier.Owner(d.HostID, d.Incarnation) }

// Start registers the handler through which other entry hosts read answers, and starts the expiry of stored answers. Call it
// before Accept and Fetch.
func (d *Dispatcher) Start(ctx context.Context) {
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.runs = make(map[string]*executor.Run)
	d.env = &executor.Environment{
		Owner: d.Owner(), Zone: d.Zone, Transport: d.Transport, Sessions: d.Sessions, Endpoints: d.Endpoints, Ledger: d.Ledger,
		Hosts: d.Hosts, Store: d.Store, Timeouts: d.Timeouts.WithDefaults(), Go: d.background,
	}
	d.Transport.HandleStream(attacher.Method, func(ctx context.Context, _ transporter.Peer, s *transporter.Stream) error {
		countAttached.Add(1)
		return attacher.Serve(ctx, s, d.localAnswer)
	})
	d.wg.Go(d.sweep)
}

// localAnswer returns the stored answer of a request for another entry host, or nil if this host has none for the workspace.
func (d *Dispatcher) localAnswer(id, workspace string) *answerer.Answer {
	a := d.Store.Get(id)
	if a == nil || a.Meta().Workspace != workspace || a.Meta().RequestID != id {
		return nil
	}
	return a
}

func (d *Dispatcher) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.Store.Sweep()
		}
	}
}

// background runs fn in a goroutine that Close waits for. It returns false if the dispatcher is closed.
func (d *Dispatcher) background(fn func(ctx context.Context)) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.wg.Go(func() { fn(d.ctx) })
	return true
}

// Drain blocks until every accepted request has finished or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) error { return d.Store.WaitIdle(ctx) }

// Close cancels all requests and waits for their goroutines. It returns the IDs and states of the requests that were unfinished.
func (d *Dispatcher) Close() []string {
	d.mu.Lock()
	d.closed = true
	unfinished := make([]string, 0, len(d.runs))
	for id, r := range d.runs {
		if r.Answer.End() == nil {
			unfinished = append(unfinished, id+" "+string(r.State()))
		}
	}
	slices.Sort(unfinished)
	d.mu.Unlock()
	d.cancel(executor.ErrStopped)
	d.wg.Wait()
	return unfinished
}

// NewID returns a new request ID of this host for a workspace.
func (d *Dispatcher) NewID(workspace string) string {
	return identifier.New(d.Owner(), d.seq.Add(1), workspace)
}

// Accept starts a request and returns its answer with a first reader. If its key is bound to an earlier request, it returns that
// request's answer instead. After an error the request was not started and its Release is not called.
func (d *Dispatcher) Accept(req describer.Request) (*answerer.Answer, *answerer.Reader, error) {
	session, ok := d.Session(req.Pool)
	if !ok {
		return nil, nil, &UnknownPoolError{Pool: req.Pool}
	}
	r := executor.New(d.ctx, d.env, d.NewID(req.Workspace), req, session)
	existing, added := d.Store.Add(r.Answer)
	if !added {
		if m := existing.Meta(); m.Digest != req.Digest {
			return nil, nil, &KeyReusedError{Key: req.Key, RequestID: m.RequestID}
		}
		if req.Release != nil {
			req.Release()
		}
		countAttached.Add(1)
		return existing, existing.NewReader(0), nil
	}
	countAccepted.Add(1)
	reader := r.Answer.NewReader(0)
	d.launch(r, r.Execute)
	return r.Answer, reader, nil
}

// Fetch returns the answer of a request of a workspace, whichever entry host owns it, with a reader that starts at chunk from.
func (d *Dispatcher) Fetch(workspace, id string, from int) (*answerer.Answer, *answerer.Reader, error) {
	_, owner, ok := identifier.Parse(id, workspace)
	if !ok {
		return nil, nil, &NotFoundError{RequestID: id}
	}
	if a := d.Store.Get(id); a != nil {
		return a, a.NewReader(from), nil
	}
	if owner == d.Owner() {
		return nil, nil, &NotFoundError{RequestID: id}
	}
	r := executor.NewRemote(d.ctx, d.env, id, workspace)
	existing, added := d.Store.Add(r.Answer)
	if !added {
		return existing, existing.NewReader(from), nil
	}
	reader := r.Answer.NewReader(from)
	klog.Infof("dispatcher: fetch request=%s owner=%s workspace=%s", id, owner, workspace)
	d.launch(r, r.CopyRemote)
	return r.Answer, reader, nil
}

// launch runs fn for r in a goroutine, or ends r if the dispatcher is closed.
func (d *Dispatcher) launch(r *executor.Run, fn func()) {
	d.mu.Lock()
	if !d.closed {
		d.runs[r.ID] = r
		d.wg.Go(func() {
			fn()
			d.mu.Lock()
			defer d.mu.Unlock()
			delete(d.runs, r.ID)
		})
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	r.Abandon()
}
