// Package admitter queues requests until an endpoint has a free slot and grants endpoints in order of urgency.
package admitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/returnwatcher"
)

const (
	// grantRateWindow is the time over which grants are counted to predict waiting times.
	grantRateWindow = 2 * time.Second
	// minRecentGrants is the number of grants in that time from which on waiting times are predicted.
	minRecentGrants = 4
	// minRetryAfter is the shortest retry delay that is returned; an earlier retry would find the same state.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the upper limit of the retry delay, before jitter.
	maxRetryAfter = 5 * time.Second
	// scanInterval is the minimum time between a queue scan without a grant and the next scan, and maxScanFailures the number of
	// unplaceable requests of one kind after which a scan skips the others of it. They limit the cost of a long queue whose free endpoint fits few requests.
	scanInterval    = 3 * time.Millisecond
	maxScanFailures = 24
	// retryJitter is the largest fraction added to a retry delay at random, so that refused callers do not retry simultaneously.
	retryJitter = 0.5
)

// Request describes a request that needs an endpoint.
type Request struct {
	Pool string
	Work balancer.Work
	// Tier is the priority; 0 is the most urgent.
	Tier int
	// Patience is the longest time that the request may wait in the queue.
	Patience time.Duration
	// Except holds the IDs of the endpoints that must not be chosen. It must not change while the request waits.
	Except map[string]bool
	// Workspace and Units are the allotment charge of the request, for placers that check allotments; Units is 0 if the request
	// has already been charged.
	Workspace string
	Units     float64
	// Fingerprint is equal for attempts of a caller at the same request; 0 if it is unknown.
	Fingerprint uint64
}

func (r Request) excluded(id string) bool { return r.Except[id] }

// Reason is the cause of a refusal.
type Reason string

// The reasons of a RefusedError.
const (
	// NoEndpoint means that no endpoint of the pool accepts work.
	NoEndpoint Reason = "no_endpoint"
	// WaitTooLong means that the predicted wait is longer than the request may wait.
	WaitTooLong Reason = "crowded"
	// Waited means that the request waited for its maximum time without a grant.
	Waited Reason = "waited"
	// AllotmentExhausted means that the allotment of the workspace is exhausted.
	AllotmentExhausted Reason = "allotment"
)

// RefusedError reports that a request was granted no endpoint.
type RefusedError struct {
	Reason     Reason
	Waited     time.Duration
	RetryAfter time.Duration
	// QueueLength is the number of requests waiting for the pool. Taken of its Places slots are in use.
	QueueLength   int
	Taken, Places int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s after %v (queue %d, %d of %d slots in use)", e.Reason, e.Waited, e.QueueLength, e.Taken, e.Places)
}

type waiter struct {
	req     Request
	seq     uint64
	granted chan *Grant
	// underserved is true if too few requests of its size were granted an endpoint when it arrived.
	underserved bool
	// returned is true if the request comes back after a refusal.
	returned bool
}

// Admitter serializes access to a balancer and maintains a queue for each pool. It is safe for concurrent use.
type Admitter struct {
	mu         sync.Mutex
	balancer   *balancer.Balancer
	queues     map[string]*queue
	seq        uint64
	grantTimes map[string][]time.Time
	// lastScan is the time of the last scan of a pool's queue without a grant, and scanDue the time of the next scheduled one.
	lastScan  map[string]time.Time
	scanDue   map[string]time.Time
	overloads map[string]overload
	// tierOverloads are the overloads of the tiers of each pool.
	tierOverloads map[shareKey]overload
	shares        map[shareKey]*tierShares
	// returns holds the refused requests of each pool.
	returns map[string]*returnwatcher.Watcher
}

// New returns an Admitter that owns b, which must not be used directly afterwards.
func New(b *balancer.Balancer) *Admitter {
	return &Admitter{
		balancer: b, queues: map[string]*queue{}, grantTimes: map[string][]time.Time{}, overloads: map[string]overload{},
		lastScan: map[string]time.Time{}, scanDue: map[string]time.Time{}, shares: map[shareKey]*tierShares{},
		returns: map[string]*returnwatcher.Watcher{}, tierOverloads: map[shareKey]overload{},
	}
}

// Grant is the permission to send a request to an endpoint. Exactly one of the methods that end its run must be called, once.
type Grant struct {
	Choice balancer.Choice
	// QueueLength is the number of requests that were waiting for the pool at the time of the grant.
	QueueLength int
	// VersionDisputed is true if this host and the coordinator that placed the request list different software versions of the
	// endpoint, so that it is not known which version begins the stream.
	VersionDisputed bool

	admitter *Admitter
	run      *balancer.Run
	observer RunObserver
}

// Outcome is the result of a run.
type Outcome int

// The outcomes of a run.
const (
	// Answered means that the endpoint sent a complete response.
	Answered Outcome = iota
	// Failed means that the endpoint failed the request, cut off its response or timed out.
	Failed
	// NotRun means that the endpoint did not start the request, or that the caller disconnected.
	NotRun
	// Replaced means that another endpoint responded at the address.
	Replaced
	// Unreachable means that no byte of the request could be sent.
	Unreachable
	// Abandoned means that the caller disconnected; the request may have run.
	Abandoned
	// Rejected means that the endpoint rejected the request for want of room.
	Rejected
)

// RunObserver receives the events of a run that was placed by another host. Its methods are called with the Admitter's lock held
// and must not block.
type RunObserver interface {
	FirstEvent()
	// Ended receives the outcome and the time between two events in milliseconds, or 0 if it is unknown.
	Ended(o Outcome, pace float64)
}

// RecordEvent records an event of the response stream.
func (g *Grant) RecordEvent(now time.Time) {
	g.admitter.mu.Lock()
	defer g.admitter.mu.Unlock()
	if !g.run.RecordEvent(now) {
		return
	}
	if g.observer != nil {
		g.observer.FirstEvent()
	}
	g.admitter.dispatch(now, g.Choice.Endpoint.Pool)
}

// End records the end of the run; failed is true if the endpoint failed it.
func (g *Grant) End(now time.Time, failed bool) {
	o := Answered
	if failed {
		o = Failed
	}
	g.EndWithOutcome(now, o, g.run.Pace())
}

// EndRefused records that the endpoint did not start the request; replaced is true if another endpoint responds at its address.
func (g *Grant) EndRefused(now time.Time, replaced bool) {
	o := NotRun
	if replaced {
		o = Replaced
	}
	g.EndWithOutcome(now, o, 0)
}

// EndAbandoned ends the run of a request whose caller disconnected.
func (g *Grant) EndAbandoned(now time.Time) { g.EndWithOutcome(now, Abandoned, 0) }

// EndUnreachable ends the run of a request of which no byte could be sent.
func (g *Grant) EndUnreachable(now time.Time) { g.EndWithOutcome(now, Unreachable, 0) }

// EndRejected ends the run of a request that the endpoint rejected for want of room.
func (g *Grant) EndRejected(now time.Time) { g.EndWithOutcome(now, Rejected, 0) }

// EndWithOutcome records the outcome of a run and the measured time between two events in milliseconds; 0 if it is unknown.
func (g *Grant) EndWithOutcome(now time.Time, o Outcome, pace float64) {
	a := g.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	switch o {
	case Answered, Failed:
		a.balancer.EndWithPace(now, g.run, o == Failed, pace)
	case NotRun, Replaced, Abandoned:
		a.balancer.EndRefused(now, g.run, o == Replaced)
	case Unreachable:
		a.balancer.EndUnreachable(now, g.run)
	case Rejected:
		a.balancer.EndRejected(now, g.run)
	}
	if g.observer != nil {
		g.observer.Ended(o, pace)
		g.observer = nil
	}
	a.dispatch(now, g.Choice.Endpoint.Pool)
}

// AddRemoteRun records a run that another host has placed at an endpoint with the version that it lists. It returns false if the
// endpoint is unknown, does not accept requests from this host at the moment, or may not take the work by its version here.
func (a *Admitter) AddRemoteRun(now time.Time, c balancer.Choice, w balancer.Work, observer RunObserver) (*Grant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.balancer.Admits(now, c.Endpoint.ID, w) {
		return nil, false
	}
	listed := c.Endpoint.Version
	c.Endpoint, _ = a.balancer.Endpoint(c.Endpoint.ID)
	disputed := c.Endpoint.Version != listed
	return &Grant{Choice: c, VersionDisputed: disputed, admitter: a, run: a.balancer.Start(c, w), observer: observer}, true
}

// SetObserver sets the receiver of the run's events from now on.
func (g *Grant) SetObserver(w RunObserver) {
	g.admitter.mu.Lock()
	defer g.admitter.mu.Unlock()
	g.observer = w
}

// Room returns the number of requests that a pool could start at once, and the number of requests that wait for it, without those
// that are bound to a version: they wait beside free places of others.
func (a *Admitter) Room(now time.Time, pool string) (free, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.queues[pool]; q != nil {
		waiting = len(q.unbound)
	}
	return a.balancer.FreePlaces(now, pool), waiting
}

// Rate returns the number of requests for a pool that were granted an endpoint per second; 0 if there were too few for an estimate.
func (a *Admitter) Rate(now time.Time, pool string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grantRate(now, pool)
}

// Refusing reports whether requests for a pool were refused in the last moment.
func (a *Admitter) Refusing(now time.Time, pool string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.overloads[pool].last) < overloadGap
}

// PredictWait returns the expected time until a request would be granted an endpoint if it were queued now.
func (a *Admitter) PredictWait(now time.Time, req Request) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	position := 1
	if q := a.queues[req.Pool]; q != nil {
		position = q.position(&waiter{req: req, seq: a.seq + 1, underserved: a.tierShares(req).isUnderserved(now, req.Work.SizeClass())})
	}
	return a.predictWait(now, req.Pool, position)
}

// Acquire waits until an endpoint is granted. Otherwise it returns a *RefusedError, or the error of ctx.
func (a *Admitter) Acquire(ctx context.Context, req Request) (*Grant, error) {
	started := time.Now()
	w, grant, err := a.enqueue(started, req)
	if grant != nil || err != nil {
		return grant, err
	}
	timer := time.NewTimer(w.req.Patience)
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return g, nil
	case <-timer.C:
		err = a.refusal(req, Waited, time.Since(started))
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(w)
	select {
	case g := <-w.granted:
		// The grant was issued before the waiter was removed.
		return g, nil
	default:
	}
	if ctx.Err() == nil {
		a.recordShare(time.Now(), req, false)
	}
	return nil, err
}

func (a *Admitter) enqueue(now time.Time, req Request) (*waiter, *Grant, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.balancer.Usable(now, req.Pool, req.Work, req.excluded) {
		return nil, nil, a.refusalLocked(req, NoEndpoint, 0)
	}
	a.seq++
	w := &waiter{
		req: req, seq: a.seq, granted: make(chan *Grant, 1), underserved: a.tierShares(req).isUnderserved(now, req.Work.SizeClass()),
		returned: a.returnsOf(req.Pool).TakeReturn(now, req.Fingerprint),
	}
	if a.queues[req.Pool] == nil {
		a.queues[req.Pool] = &queue{}
	}
	a.limitWait(now, w)
	if w.returned {
		countReturned.Add(1)
	}
	position := a.queues[req.Pool].insert(w)
	if now.Sub(a.lastScan[req.Pool]) < scanInterval {
		// A scan less than scanInterval ago placed none of the other waiting requests.
		a.tryGrant(now, w)
	} else {
		a.dispatch(now, req.Pool)
	}
	select {
	case g := <-w.granted:
		return nil, g, nil
	default:
	}
	if wait := a.predictWait(now, req.Pool, position); wait > w.req.Patience {
		a.remove(w)
		a.recordShare(now, req, false)
		return nil, nil, a.refusalLocked(req, WaitTooLong, 0)
	}
	return w, nil, nil
}

// predictWait returns the expected time until the request at a queue position, counted from 1, is granted an endpoint. It returns
// 0 if there are too few recent grants for an estimate.
func (a *Admitter) predictWait(now time.Time, pool string, position int) time.Duration {
	rate := a.grantRate(now, pool)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(position) / rate * float64(time.Second))
}

// grantRate returns the number of recent grants per second, or 0 if there are too few for an estimate.
func (a *Admitter) grantRate(now time.Time, pool string) float64 {
	times := a.recentGrants(now, pool)
	if len(times) < minRecentGrants {
		return 0
	}
	return float64(len(times)) / max(now.Sub(times[0]), grantRateWindow/4).Seconds()
}

func (a *Admitter) recentGrants(now time.Time, pool string) []time.Time {
	times := a.grantTimes[pool]
	for len(times) > 0 && now.Sub(times[0]) > grantRateWindow {
		times = times[1:]
	}
	a.grantTimes[pool] = times
	return times
}

func (a *Admitter) refusal(req Request, reason Reason, waited time.Duration) *RefusedError {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusalLocked(req, reason, waited)
}

func (a *Admitter) refusalLocked(req Request, reason Reason, waited time.Duration) *RefusedError {
	queue := a.queues[req.Pool].len()
	wait := max(a.predictWait(time.Now(), req.Pool, queue+1), a.recordRefusal(time.Now(), req))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += time.Duration(retryJitter * rand.Float64() * float64(wait))
	taken, places := a.balancer.Places(req.Pool)
	return &RefusedError{Reason: reason, Waited: waited, RetryAfter: wait, QueueLength: queue, Taken: taken, Places: places}
}

// returnsOf returns the refused requests of a pool. The caller holds the lock.
func (a *Admitter) returnsOf(pool string) *returnwatcher.Watcher {
	if a.returns[pool] == nil {
		a.returns[pool] = &returnwatcher.Watcher{}
	}
	return a.returns[pool]
}

func (a *Admitter) remove(w *waiter) {
	list := a.queues[w.req.Pool].list(w)
	if at := slices.Index(*list, w); at >= 0 {
		*list = slices.Delete(*list, at, at+1)
	}
}

// tryGrant grants an endpoint to one waiting request if one can take it. The caller holds the lock.
func (a *Admitter) tryGrant(now time.Time, w *waiter) {
	if choice, ok := a.balancer.Pick(now, w.req.Pool, w.req.Work, w.req.excluded); ok {
		a.remove(w)
		a.grant(now, w, choice, a.queues[w.req.Pool].len())
	}
}

func (a *Admitter) grant(now time.Time, w *waiter, choice balancer.Choice, queued int) {
	pool := w.req.Pool
	a.grantTimes[pool] = append(a.recentGrants(now, pool), now)
	a.recordShare(now, w.req, true)
	w.granted <- &Grant{Choice: choice, QueueLength: queued, admitter: a, run: a.balancer.Place(now, choice, w.req.Work)}
}

// Update calls change with the balancer while holding the lock, then dispatches the queues of all pools.
func (a *Admitter) Update(change func(b *balancer.Balancer)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a.balancer)
	now := time.Now()
	for pool := range a.queues {
		a.dispatch(now, pool)
	}
}

// View calls read with the balancer while holding the lock. It must not change the balancer.
func (a *Admitter) View(read func(b *balancer.Balancer)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	read(a.balancer)
}
