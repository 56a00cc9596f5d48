// Package dispatcher owns the requests of one entry host: it alone may dispatch them, and it keeps their answers.
package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/attacher"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

var (
	countAccepted   = expvar.NewInt("dispatcher_accepted")
	countDispatched = expvar.NewInt("dispatcher_dispatched")
	countOutcomes   = expvar.NewMap("dispatcher_outcomes")
	countDeclines   = expvar.NewMap("dispatcher_declines")
	countResumes    = expvar.NewInt("dispatcher_resumes")
	countRejected   = expvar.NewInt("dispatcher_chunks_rejected")
	countFollowed   = expvar.NewInt("dispatcher_followed")
	countAdopted    = expvar.NewInt("dispatcher_adopted")
	countAttached   = expvar.NewInt("dispatcher_attached")
	countIntents    = expvar.NewMap("dispatcher_intents")
)

// Session is the entry host's session with the scheduler of a pool.
type Session interface {
	Submit(d scheduler.Descriptor, cb granter.Callbacks)
	Started(id, endpoint string)
	Declined(id, endpoint string, reason scheduler.DeclineReason)
	Progress(id string, outputTokens int)
	Finished(f scheduler.Finished)
	Cancelled(id string)
	EndpointFailed(endpoint string, cause scheduler.FailureCause, ids ...string)
	Claim(ctx context.Context, c granter.Claim) (granter.Location, error)
	Locate(ctx context.Context, id string) (granter.Location, error)
}

// Endpoints reaches the endpoints of the configuration by name.
type Endpoints interface {
	Engine(name string) (connector.Engine, bool)
	Service(name string) (connector.Service, bool)
	// Engines returns the names of all model engines.
	Engines() []string
}

// Ledger records non-idempotent orders by quorum commit.
type Ledger interface {
	Intend(ctx context.Context, o recorder.Intent) (recorder.Record, error)
	Conclude(ctx context.Context, key recorder.Key, owner string, out recorder.Outcome) error
	Withdraw(ctx context.Context, key recorder.Key, owner string) error
	// Order returns an order, and false when the ledger does not hold it.
	Order(ctx context.Context, key recorder.Key) (recorder.Record, bool, error)
}

// Hosts gives the peer addresses of entry hosts.
type Hosts interface {
	Addr(hostID string) (string, bool)
}

// Times are the time limits of requests; zero fields take the defaults.
type Times struct {
	// Total bounds a run from dispatch to its end.
	Total time.Duration
	// Linger is how long a run without a reader continues, so that its caller can fetch the answer.
	Linger time.Duration
	// Ledger bounds one commit of the ledger.
	Ledger time.Duration
	// ResumeBackoff is the first delay between attempts to resume a stream; it doubles up to MaxResumeBackoff.
	ResumeBackoff    time.Duration
	MaxResumeBackoff time.Duration
	// ResumeAttempts bounds the attempts without a new chunk.
	ResumeAttempts int
	// Search bounds the search for a run whose entry host is lost; it outlasts a change of holder.
	Search time.Duration
}

func (t Times) withDefaults() Times {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&t.Total, 15*time.Minute)
	set(&t.Linger, 30*time.Second)
	set(&t.Ledger, 2*time.Second)
	set(&t.ResumeBackoff, 20*time.Millisecond)
	set(&t.MaxResumeBackoff, time.Second)
	set(&t.Search, 4*time.Second)
	if t.ResumeAttempts <= 0 {
		t.ResumeAttempts = 8
	}
	return t
}

// Request is an accepted request of a caller.
type Request struct {
	Kind                                          string
	Pool, Workspace, Caller, Tier, Model, Adapter string
	Key                                           string
	Digest                                        string
	Idempotent                                    bool
	Call                                          connector.Call
	PromptTokens, MaxOutputTokens                 int
	PrefixBlocks                                  []uint64
	// Deadline is the caller's own; the zero time means none.
	Deadline time.Time
	// Release is called once when the body is no longer needed; it may be nil.
	Release func()
}

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

// Dispatcher owns the requests of one entry host. Set the exported fields before Start.
type Dispatcher struct {
	HostID      string
	Incarnation uint64
	Zone        string
	Transport   *transporter.Transport
	// Session returns the session of a pool.
	Session   func(pool string) (Session, bool)
	Pools     func() []string
	Endpoints Endpoints
	Ledger    Ledger
	Hosts     Hosts
	Store     *answerer.Store
	Times     Times

	seq    atomic.Uint64
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	closed bool
	runs   map[string]*run
}

// Owner names this host and its incarnation.
func (d *Dispatcher) Owner() string { return OwnerOf(d.HostID, d.Incarnation) }

// OwnerOf names a host and its incarnation.
func OwnerOf(host string, incarnation uint64) string {
	return host + "." + strconv.FormatUint(incarnation, 10)
}

// Start registers the handler of attachments. Call it before the transport runs.
func (d *Dispatcher) Start(ctx context.Context) {
	d.ctx, d.cancel = context.WithCancelCause(ctx)
	d.runs = make(map[string]*run)
	d.Times = d.Times.withDefaults()
	d.Transport.HandleStream(attacher.Method, func(ctx context.Context, _ transporter.Peer, s *transporter.Stream) error {
		countAttached.Add(1)
		return attacher.Serve(ctx, s, func(id, workspace string) *answerer.Answer {
			a := d.Store.Get(id)
			if a == nil || a.Meta().Workspace != workspace || a.Meta().RequestID != id {
				return nil
			}
			return a
		})
	})
	d.wg.Go(d.sweep)
}

func (d *Dispatcher) sweep() {
	ticker := time.NewTicker(time.Second)
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

// Drain blocks until every accepted request has finished.
func (d *Dispatcher) Drain(ctx context.Context) error { return d.Store.WaitIdle(ctx) }

// Close ends all requests and waits. It returns the ids and states of the requests that were cut off.
func (d *Dispatcher) Close() []string {
	d.mu.Lock()
	d.closed = true
	cut := make([]string, 0, len(d.runs))
	for id, r := range d.runs {
		if r.answer.End() == nil {
			cut = append(cut, id+" "+string(r.machine.State()))
		}
	}
	slices.Sort(cut)
	d.mu.Unlock()
	d.cancel(&cancelError{reason: reasonStopped})
	d.wg.Wait()
	return cut
}

// NewID returns an id for a request that is refused before it is accepted.
func (d *Dispatcher) NewID(workspace string) string { return d.newID(workspace) }

// newID names the owner and ties the id to a workspace: no other workspace can fetch the answer by guessing an id.
func (d *Dispatcher) newID(workspace string) string {
	id := d.Owner() + "." + strconv.FormatUint(d.seq.Add(1), 10)
	return id + "-" + tagOf(id, workspace)
}

func tagOf(id, workspace string) string {
	sum := sha256.Sum256([]byte(id + "\x00" + workspace))
	return hex.EncodeToString(sum[:6])
}

// parseID returns the owner in a request id of a workspace.
func parseID(id, workspace string) (host, owner string, err error) {
	base, tag, ok := strings.Cut(id, "-")
	if i := strings.LastIndexByte(id, '-'); i >= 0 {
		base, tag = id[:i], id[i+1:]
	}
	last := strings.LastIndexByte(base, '.')
	if !ok || last < 0 || tag != tagOf(base, workspace) {
		return "", "", &NotFoundError{RequestID: id}
	}
	owner = base[:last]
	dot := strings.LastIndexByte(owner, '.')
	if dot < 0 {
		return "", "", &NotFoundError{RequestID: id}
	}
	return owner[:dot], owner, nil
}

// Accept takes over a request and returns its answer with a first reader. A repeated key attaches to the earlier request.
// On an error the request is not taken over and Release is not called.
func (d *Dispatcher) Accept(req Request) (*answerer.Answer, *answerer.Reader, error) {
	session, ok := d.Session(req.Pool)
	if !ok {
		return nil, nil, &NotFoundError{RequestID: req.Pool}
	}
	r := d.newRun(d.newID(req.Workspace), req, session)
	r.answer = answerer.New(answerer.Meta{
		RequestID: r.id, Workspace: req.Workspace, Key: req.Key, Digest: req.Digest,
		Kind: req.Kind, Model: req.Model, Pool: req.Pool, Created: time.Now(),
	}, r.readersChanged)
	existing, added := d.Store.Add(r.answer)
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
	reader := r.answer.Read(0)
	if !d.launch(r, r.drive) {
		r.finish(triggerGiveUp, answerer.End{Outcome: answerer.NotRun, Reason: reasonStopped, Message: "the entry host is stopping"})
		r.release()
	}
	return r.answer, reader, nil
}

// Fetch returns the answer of a request of a workspace, whichever entry host owns it, with a reader from a chunk index on.
func (d *Dispatcher) Fetch(workspace, id string, from int) (*answerer.Answer, *answerer.Reader, error) {
	host, owner, err := parseID(id, workspace)
	if err != nil {
		return nil, nil, err
	}
	if a := d.Store.Get(id); a != nil {
		return a, a.Read(from), nil
	}
	if owner == d.Owner() {
		return nil, nil, &NotFoundError{RequestID: id}
	}
	r := d.newRun(id, Request{Workspace: workspace}, nil)
	r.foreign = true
	r.answer = answerer.New(answerer.Meta{RequestID: id, Workspace: workspace, Created: time.Now()}, r.readersChanged)
	existing, added := d.Store.Add(r.answer)
	if !added {
		return existing, existing.Read(from), nil
	}
	reader := r.answer.Read(from)
	klog.Infof("dispatcher: fetch request=%s owner=%s workspace=%s", id, owner, workspace)
	launched := d.launch(r, func() {
		defer r.release()
		r.follow(id, host, owner)
	})
	if !launched {
		r.finish(triggerLose, answerer.End{Outcome: answerer.Unknown, Reason: reasonStopped, Message: "the entry host is stopping"})
		r.release()
	}
	return r.answer, reader, nil
}

func (d *Dispatcher) newRun(id string, req Request, session Session) *run {
	r := &run{
		d:        d,
		id:       id,
		req:      req,
		session:  session,
		machine:  newMachine(needsLedger(req)),
		grants:   make(chan grant, 1),
		refusals: make(chan refusal, 1),
		left:     make(chan struct{}, 1),
	}
	r.ctx, r.cancel = context.WithCancelCause(d.ctx)
	return r
}

// launch runs fn for r unless the dispatcher is closed.
func (d *Dispatcher) launch(r *run, fn func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.runs[r.id] = r
	d.wg.Go(func() {
		fn()
		d.mu.Lock()
		delete(d.runs, r.id)
		d.mu.Unlock()
	})
	return true
}

func needsLedger(req Request) bool { return req.Kind == answerer.KindService && !req.Idempotent }
