// Package admitter holds requests until an endpoint can begin them, the most urgent first.
package admitter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

const (
	// rateWindow is the time over which grants are counted to predict waits.
	rateWindow = 2 * time.Second
	// minRetryAfter keeps a refused caller from returning before anything can have changed.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds what a caller is asked to wait.
	maxRetryAfter = 5 * time.Second
	// scanInterval is the time between two searches of a queue of which the first has found nothing, and maxMisses the number of
	// requests that a search finds nothing for. They bound the work of a long queue beside an endpoint that suits few.
	scanInterval = 3 * time.Millisecond
	maxMisses    = 24
	// floodPause is the time without a refusal that ends a flood.
	floodPause = time.Second
	// spread is the part by which retry times vary, so that refused callers do not return at one moment.
	spread = 0.5
)

// Ask is a request that wants an endpoint.
type Ask struct {
	Pool string
	Work balancer.Work
	// Tier is the urgency; 0 is the most urgent.
	Tier int
	// Patience bounds the wait.
	Patience time.Duration
	// Except are the endpoints that are left out, by id. It must not change while the request waits.
	Except map[string]bool
	// Workspace and Units are what the request takes from an allotment, where the one who places checks that; Units is 0 if it
	// has been taken before.
	Workspace string
	Units     float64
}

func (a Ask) excepts(id string) bool { return a.Except[id] }

// Reason tells why a request was refused.
type Reason string

// The reasons of a RefusedError.
const (
	// NoEndpoint means that the pool has no endpoint that takes work.
	NoEndpoint Reason = "no_endpoint"
	// Crowded means that the predicted wait is longer than the request can wait.
	Crowded Reason = "crowded"
	// Waited means that the request waited for as long as it can.
	Waited Reason = "waited"
	// Allotment means that the allotment of the workspace is used up.
	Allotment Reason = "allotment"
)

// RefusedError reports a request that was given no endpoint.
type RefusedError struct {
	Reason     Reason
	Waited     time.Duration
	RetryAfter time.Duration
	// Queue is the number of requests that wait for the pool, and Taken of Places those that run.
	Queue         int
	Taken, Places int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s after %v (queue %d, %d of %d places taken)", e.Reason, e.Waited, e.Queue, e.Taken, e.Places)
}

type ticket struct {
	ask     Ask
	seq     uint64
	granted chan *Grant
}

// Admitter serializes the use of a balancer and keeps the queue of its pools.
type Admitter struct {
	mu       sync.Mutex
	balancer *balancer.Balancer
	waiting  map[string][]*ticket
	seq      uint64
	grants   map[string][]time.Time
	// scanned is when the queue of a pool was searched last without a grant, and due are the pools that are searched again soon.
	scanned map[string]time.Time
	due     map[string]bool
	floods  map[string]flood
}

// flood is a time in which a pool refuses requests.
type flood struct{ since, last time.Time }

// New returns an admitter that owns a balancer.
func New(b *balancer.Balancer) *Admitter {
	return &Admitter{
		balancer: b, waiting: map[string][]*ticket{}, grants: map[string][]time.Time{}, floods: map[string]flood{},
		scanned: map[string]time.Time{}, due: map[string]bool{},
	}
}

// Grant is the right to send a request to an endpoint. End or Refuse must be called once.
type Grant struct {
	Choice balancer.Choice
	// Queued is the number of requests that waited for the pool at the moment of the grant.
	Queued int

	admitter *Admitter
	run      *balancer.Run
	watch    Watcher
}

// Outcome tells how a run has ended.
type Outcome int

// The outcomes of a run.
const (
	// Answered means that the endpoint has answered.
	Answered Outcome = iota
	// Failed means that the endpoint failed the request, broke its answer off or was silent.
	Failed
	// NotRun means that the endpoint did not begin the request, or that its caller left.
	NotRun
	// Replaced means that another endpoint answered at the address.
	Replaced
	// Unreachable means that nothing could be sent.
	Unreachable
	// Abandoned means that the caller left; the request may have run.
	Abandoned
)

// Watcher is told of a run that was placed by another host. Its methods must not block.
type Watcher interface {
	FirstEvent()
	// Ended is told the time between two events in milliseconds, or 0 if it is not known.
	Ended(o Outcome, pace float64)
}

// Event counts an event of the stream.
func (g *Grant) Event(now time.Time) {
	g.admitter.mu.Lock()
	defer g.admitter.mu.Unlock()
	if !g.run.Event(now) {
		return
	}
	if g.watch != nil {
		g.watch.FirstEvent()
	}
	g.admitter.dispatch(now, g.Choice.Endpoint.Pool)
}

// End counts the end of the run; failed tells whether the endpoint failed it.
func (g *Grant) End(now time.Time, failed bool) {
	o := Answered
	if failed {
		o = Failed
	}
	g.Conclude(now, o, g.run.Pace())
}

// Refuse counts a request that the endpoint did not begin; replaced tells that another endpoint answers at its address.
func (g *Grant) Refuse(now time.Time, replaced bool) {
	o := NotRun
	if replaced {
		o = Replaced
	}
	g.Conclude(now, o, 0)
}

// Abandon counts a request whose caller left.
func (g *Grant) Abandon(now time.Time) { g.Conclude(now, Abandoned, 0) }

// Unreachable counts a request of which nothing could be sent.
func (g *Grant) Unreachable(now time.Time) { g.Conclude(now, Unreachable, 0) }

// Conclude counts the end of a run with the pace that was measured.
func (g *Grant) Conclude(now time.Time, o Outcome, pace float64) {
	a := g.admitter
	a.mu.Lock()
	defer a.mu.Unlock()
	switch o {
	case Answered, Failed:
		a.balancer.EndPaced(now, g.run, o == Failed, pace)
	case NotRun, Replaced, Abandoned:
		a.balancer.Refuse(now, g.run, o == Replaced)
	case Unreachable:
		a.balancer.Unreachable(now, g.run)
	}
	if g.watch != nil {
		g.watch.Ended(o, pace)
		g.watch = nil
	}
	a.dispatch(now, g.Choice.Endpoint.Pool)
}

// Adopt counts a run that another host has placed. It returns false if the endpoint is not known, or has turned this host away.
func (a *Admitter) Adopt(now time.Time, c balancer.Choice, w balancer.Work, watch Watcher) (*Grant, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.balancer.Admits(now, c.Endpoint.ID) {
		return nil, false
	}
	c.Endpoint, _ = a.balancer.Endpoint(c.Endpoint.ID)
	return &Grant{Choice: c, admitter: a, run: a.balancer.Start(c, w), watch: watch}, true
}

// Watch names who is told of the run from now on.
func (g *Grant) Watch(w Watcher) {
	g.admitter.mu.Lock()
	defer g.admitter.mu.Unlock()
	g.watch = w
}

// Room reports whether a pool could begin a request at once, and how many of its requests wait.
func (a *Admitter) Room(now time.Time, pool string) (free, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancer.Free(now, pool), len(a.waiting[pool])
}

// Acquire waits for an endpoint. It returns a *RefusedError, or the error of ctx.
func (a *Admitter) Acquire(ctx context.Context, ask Ask) (*Grant, error) {
	started := time.Now()
	t, grant, err := a.enter(started, ask)
	if grant != nil || err != nil {
		return grant, err
	}
	timer := time.NewTimer(ask.Patience)
	defer timer.Stop()
	select {
	case g := <-t.granted:
		return g, nil
	case <-timer.C:
		err = a.refusal(ask, Waited, time.Since(started))
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(t)
	select {
	case g := <-t.granted:
		// The grant came at the same moment.
		return g, nil
	default:
		return nil, err
	}
}

func (a *Admitter) enter(now time.Time, ask Ask) (*ticket, *Grant, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.balancer.Usable(ask.Pool, ask.excepts) {
		return nil, nil, a.refusalLocked(ask, NoEndpoint, 0)
	}
	a.seq++
	t := &ticket{ask: ask, seq: a.seq, granted: make(chan *Grant, 1)}
	queue := a.waiting[ask.Pool]
	at, _ := slices.BinarySearchFunc(queue, t, func(x, y *ticket) int {
		if x.ask.Tier != y.ask.Tier {
			return x.ask.Tier - y.ask.Tier
		}
		if c := x.ask.Work.SizeClass() - y.ask.Work.SizeClass(); c != 0 {
			return c
		}
		// A caller that returns after a refusal has less time left than a new one, and goes first.
		if c := x.ask.Work.Deadline.Compare(y.ask.Work.Deadline); c != 0 {
			return c
		}
		if x.seq < y.seq {
			return -1
		}
		return 1
	})
	a.waiting[ask.Pool] = slices.Insert(queue, at, t)
	if now.Sub(a.scanned[ask.Pool]) < scanInterval {
		// Those that wait found nothing a moment ago.
		a.try(now, t)
	} else {
		a.dispatch(now, ask.Pool)
	}
	select {
	case g := <-t.granted:
		return nil, g, nil
	default:
	}
	if wait := a.predict(now, ask.Pool, at+1); wait > ask.Patience {
		a.remove(t)
		return nil, nil, a.refusalLocked(ask, Crowded, 0)
	}
	return t, nil, nil
}

// predict returns the time until as many requests of a pool will have been granted an endpoint.
func (a *Admitter) predict(now time.Time, pool string, ahead int) time.Duration {
	times := a.recent(now, pool)
	if len(times) < 4 {
		return 0
	}
	span := max(now.Sub(times[0]), rateWindow/4)
	return time.Duration(float64(ahead) / float64(len(times)) * float64(span))
}

func (a *Admitter) recent(now time.Time, pool string) []time.Time {
	times := a.grants[pool]
	for len(times) > 0 && now.Sub(times[0]) > rateWindow {
		times = times[1:]
	}
	a.grants[pool] = times
	return times
}

func (a *Admitter) refusal(ask Ask, reason Reason, waited time.Duration) *RefusedError {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusalLocked(ask, reason, waited)
}

func (a *Admitter) refusalLocked(ask Ask, reason Reason, waited time.Duration) *RefusedError {
	queue := len(a.waiting[ask.Pool])
	wait := max(a.predict(time.Now(), ask.Pool, queue+1), a.floodLeft(time.Now(), ask.Pool))
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += time.Duration(spread * rand.Float64() * float64(wait))
	taken, places := a.balancer.Places(ask.Pool)
	return &RefusedError{Reason: reason, Waited: waited, RetryAfter: wait, Queue: queue, Taken: taken, Places: places}
}

// floodLeft notes a refusal and predicts how long the pool will go on refusing: about as long as it has done so already. A
// caller that returns earlier would be refused again.
func (a *Admitter) floodLeft(now time.Time, pool string) time.Duration {
	f := a.floods[pool]
	if now.Sub(f.last) > floodPause {
		f.since = now
	}
	f.last = now
	a.floods[pool] = f
	return now.Sub(f.since)
}

func (a *Admitter) remove(t *ticket) {
	queue := a.waiting[t.ask.Pool]
	if at := slices.Index(queue, t); at >= 0 {
		a.waiting[t.ask.Pool] = slices.Delete(queue, at, at+1)
	}
}

// dispatch grants endpoints to waiting requests in order. A request that finds no endpoint does not hold back later ones that
// fit, such as those with a smaller prompt.
func (a *Admitter) dispatch(now time.Time, pool string) {
	queue := a.waiting[pool]
	if len(queue) == 0 || !a.balancer.Open(now, pool) {
		return
	}
	if now.Sub(a.scanned[pool]) < scanInterval {
		a.dispatchSoon(pool)
		return
	}
	left, misses := queue[:0], 0
	for i, t := range queue {
		choice, ok := a.balancer.Pick(now, pool, t.ask.Work, t.ask.excepts)
		if ok {
			a.grant(now, t, choice, len(left)+len(queue)-i-1)
		} else {
			left = append(left, t)
			misses++
		}
		if misses == maxMisses || ok && !a.balancer.Open(now, pool) {
			left = append(left, queue[i+1:]...)
			break
		}
	}
	if len(left) == len(queue) {
		a.scanned[pool] = now
	}
	clear(queue[len(left):])
	a.waiting[pool] = left
}

// dispatchSoon searches the queue of a pool again after a moment. The caller holds the lock.
func (a *Admitter) dispatchSoon(pool string) {
	if a.due[pool] {
		return
	}
	a.due[pool] = true
	time.AfterFunc(scanInterval, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.due[pool] = false
		a.dispatch(time.Now(), pool)
	})
}

// try grants one waiting request its endpoint if there is one.
func (a *Admitter) try(now time.Time, t *ticket) {
	if choice, ok := a.balancer.Pick(now, t.ask.Pool, t.ask.Work, t.ask.excepts); ok {
		a.remove(t)
		a.grant(now, t, choice, len(a.waiting[t.ask.Pool]))
	}
}

func (a *Admitter) grant(now time.Time, t *ticket, choice balancer.Choice, queued int) {
	pool := t.ask.Pool
	a.grants[pool] = append(a.recent(now, pool), now)
	t.granted <- &Grant{Choice: choice, Queued: queued, admitter: a, run: a.balancer.Start(choice, t.ask.Work)}
}

// Update changes the balancer and grants what its new state allows.
func (a *Admitter) Update(change func(b *balancer.Balancer)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a.balancer)
	now := time.Now()
	for pool := range a.waiting {
		a.dispatch(now, pool)
	}
}

// View reads the balancer.
func (a *Admitter) View(read func(b *balancer.Balancer)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	read(a.balancer)
}
