// Package dispatcher owns the requests of one entry host: it alone may dispatch them, and it keeps their answers.
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
	"github.com/dragonflycroft/dragonflycroft/internal/booker"
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

// KeyReusedError refuses an idempotency key that belongs to a request with another body.
type KeyReusedError struct{ Key, RequestID string }

// Error implements error.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("the Idempotency-Key %q belongs to request %s, which has another method, path or body", e.Key, e.RequestID)
}

// NotFoundError reports a request id that this system cannot have given to the workspace, or that is no longer held.
type NotFoundError struct{ RequestID string }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("request %q is not known here, or its answer is no longer kept", e.RequestID)
}

// UnknownPoolError reports a pool that this host has no session for: its configuration is newer or older than the request's.
type UnknownPoolError struct{ Pool string }

// Error implements error.
func (e *UnknownPoolError) Error() string {
	return fmt.Sprintf("this entry host does not know the pool %q yet", e.Pool)
}

// Dispatcher owns the requests of one entry host. Set the exported fields before Start.
type Dispatcher struct {
	HostID      string
	Incarnation uint64
	Zone        string
	Transport   *transporter.Transport
	// Session returns the session of a pool, Sessions those of all pools.
	Session   func(pool string) (executor.Session, bool)
	Sessions  func() []executor.Session
	Endpoints sender.Endpoints
	Ledger    booker.Ledger
	Hosts     follower.Hosts
	Store     *answerer.Store
	Times     executor.Times

	seq    atomic.Uint64
	env    *executor.Environment
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	closed bool
	runs   map[string]*executor.Run
}

// Owner names this host and its incarnation.
func (d *Dispatcher) Owner() string { return identifier.Owner(d.HostID, d.Incarnation) }

// Start registers the handler of attachments. Call it before requests arrive.
func (d *Dispatcher) Start(ctx context.Context) {
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.runs = make(map[string]*executor.Run)
	d.env = &executor.Environment{
		Owner: d.Owner(), Zone: d.Zone, Transport: d.Transport, Sessions: d.Sessions, Endpoints: d.Endpoints, Ledger: d.Ledger,
		Hosts: d.Hosts, Store: d.Store, Times: d.Times.WithDefaults(), Go: d.background,
	}
	d.Transport.HandleStream(attacher.Method, func(ctx context.Context, _ transporter.Peer, s *transporter.Stream) error {
		countAttached.Add(1)
		return attacher.Serve(ctx, s, d.owned)
	})
	d.wg.Go(d.sweep)
}

// owned returns an answer for another entry host.
func (d *Dispatcher) owned(id, workspace string) *answerer.Answer {
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

// background runs fn unless the dispatcher is closed; Close waits for it.
func (d *Dispatcher) background(fn func(ctx context.Context)) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.wg.Go(func() { fn(d.ctx) })
	return true
}

// Drain blocks until every accepted request has finished.
func (d *Dispatcher) Drain(ctx context.Context) error { return d.Store.WaitIdle(ctx) }

// Close ends all requests and waits. It returns the ids and states of the requests that were cut off.
func (d *Dispatcher) Close() []string {
	d.mu.Lock()
	d.closed = true
	cut := make([]string, 0, len(d.runs))
	for id, r := range d.runs {
		if r.Answer.End() == nil {
			cut = append(cut, id+" "+string(r.State()))
		}
	}
	slices.Sort(cut)
	d.mu.Unlock()
	d.cancel(executor.ErrStopped)
	d.wg.Wait()
	return cut
}

// NewID returns the next request id of this host for a workspace.
func (d *Dispatcher) NewID(workspace string) string {
	return identifier.New(d.Owner(), d.seq.Add(1), workspace)
}

// Accept takes over a request and returns its answer with a first reader. A repeated key attaches to the earlier request.
// On an error the request is not taken over and Release is not called.
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
		return existing, existing.Read(0), nil
	}
	countAccepted.Add(1)
	reader := r.Answer.Read(0)
	d.launch(r, r.Drive)
	return r.Answer, reader, nil
}

// Fetch returns the answer of a request of a workspace, whichever entry host owns it, with a reader from a chunk index on.
func (d *Dispatcher) Fetch(workspace, id string, from int) (*answerer.Answer, *answerer.Reader, error) {
	_, owner, ok := identifier.Parse(id, workspace)
	if !ok {
		return nil, nil, &NotFoundError{RequestID: id}
	}
	if a := d.Store.Get(id); a != nil {
		return a, a.Read(from), nil
	}
	if owner == d.Owner() {
		return nil, nil, &NotFoundError{RequestID: id}
	}
	r := executor.NewForeign(d.ctx, d.env, id, workspace)
	existing, added := d.Store.Add(r.Answer)
	if !added {
		return existing, existing.Read(from), nil
	}
	reader := r.Answer.Read(from)
	klog.Infof("dispatcher: fetch request=%s owner=%s workspace=%s", id, owner, workspace)
	d.launch(r, r.Copy)
	return r.Answer, reader, nil
}

// launch runs fn for r, or ends r when the dispatcher is closed.
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
