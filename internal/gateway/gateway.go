// Package gateway is the entry of a host that forwards requests by an ingress table: it accepts requests, checks key and
// allotment, waits for an endpoint, sends the request there and returns the endpoint's own answer.
package gateway

import (
	"context"
	"errors"
	"expvar"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/observer"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

const (
	// defaultMaxHeaderBytes, defaultMaxBodyBytes and defaultIdleTimeout hold where a table names no limits.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultIdleTimeout    = 15 * time.Second
	// headerTimeout bounds the reading of a request head.
	headerTimeout = 3 * time.Second
	// longestIdle bounds an idle connection whatever the table says.
	longestIdle = 5 * time.Minute
	// sweepInterval is the time between two searches for kept connections that are no longer needed.
	sweepInterval = time.Second
	// closePoll is the time between two looks at the connections that are still open while the gateway closes.
	closePoll = 10 * time.Millisecond
	// unknownRetry is the time after which a caller may return to a host that has no confirmed table.
	unknownRetry = 500 * time.Millisecond
)

// Metrics of the gateway. The histograms have a label KIND/TIER of the rule.
var (
	countRequests   = expvar.NewMap("gateway_requests")
	countSends      = expvar.NewMap("gateway_sends")
	countDials      = expvar.NewInt("gateway_endpoint_connects")
	waitTimes       = observer.NewHistogram("gateway_wait_ms")
	firstEventTimes = observer.NewHistogram("gateway_first_event_ms")
	answerTimes     = observer.NewHistogram("gateway_answer_ms")
)

// Headers names the headers of the installation. A name that is empty is not used.
type Headers struct {
	// RequestID identifies one attempt of a caller; endpoints repeat it.
	RequestID string
	// Deadline is the time that the caller waits, in milliseconds.
	Deadline string
	// Tokens holds the prompt tokens and the largest number of answer tokens, Expected an estimate of the latter.
	Tokens   string
	Expected string
	// Parts lists the parts of the prompt as ID:TOKENS; the last one belongs to the session.
	Parts string
	// Workspace tells the endpoint who asks.
	Workspace string
	// Instance names the endpoint that may run the request.
	Instance string
	// NotRun marks an endpoint's answer to a request that it did not run.
	NotRun string
	// Signature marks an endpoint's own answer.
	Signature string
	// InstanceID names the endpoint in its answer to a health check.
	InstanceID string
	// Load holds running and waiting requests, places, and how long work takes at this moment in percent of the usual time.
	Load string
	// Leaving marks the answers of an endpoint that leaves.
	Leaving string
	// LastEvent is the id of the last event that a resumed stream has.
	LastEvent string
	// KeyScheme precedes the API key in the Authorization header.
	KeyScheme string
	// Internal are further headers that only the system may set.
	Internal []string
}

// Placer finds a place for a request.
type Placer interface {
	// Acquire waits for an endpoint. It returns an *admitter.RefusedError, or the error of ctx.
	Acquire(ctx context.Context, ask admitter.Ask) (*admitter.Grant, error)
	// Checks reports whether the allotments of requests for a pool are checked where they are placed.
	Checks(pool string) bool
}

// alone is a Placer that knows no other hosts.
type alone struct{ *admitter.Admitter }

// Checks implements Placer.
func (alone) Checks(string) bool { return false }

// Notice is what an endpoint has said of itself to this host.
type Notice struct {
	Endpoint string
	// Leaving is true if it leaves, and Returned if it had said so and has started again.
	Leaving, Returned bool
	// Speed is how long work takes at this moment in percent of the usual time; 0 if it was not stated.
	Speed float64
	// Hold is the time for which it wants nothing from this host.
	Hold time.Duration
}

// Gateway forwards requests. Set the exported fields before Run.
type Gateway struct {
	// Listener takes callers' connections.
	Listener net.Listener
	Headers  Headers
	// Table returns the table that this host acts on. It is fresh while the host is sure that no newer one is in force.
	Table func() (index *router.Index, fresh bool)
	// Admitter knows the endpoints and what this host has in progress there.
	Admitter *admitter.Admitter
	// Placer chooses endpoints; nil means the Admitter.
	Placer Placer
	// Notice is told what endpoints say of themselves; it may be nil.
	Notice func(Notice)
	// Client sends requests to endpoints.
	Client *exchanger.Client
	// RepeatLimit bounds the requests that are sent once more.
	RepeatLimit allotter.RepeatLimit
	// AllotmentWindow is the time over which allotments are added up; 0 means the default.
	AllotmentWindow time.Duration

	server  *http.Server
	mu      sync.Mutex
	allots  *allotter.Allotter
	repeats map[string]*allotter.Repeats
	crashes *crashwatcher.Watcher
	// confirming are the endpoints whose crash is being confirmed.
	confirming map[string]bool
	// doubted are the endpoints whose leaving was confirmed last, by the time of that check.
	doubted  map[string]time.Time
	confirms sync.WaitGroup
	opened   chan struct{}
	openOnce sync.Once
	guard    *guardListener
	stopping atomic.Bool
	closed   atomic.Bool
	active   atomic.Int64
}

// Init prepares the state that Run and the callers of other methods use.
func (g *Gateway) Init() {
	if g.Placer == nil {
		g.Placer = alone{g.Admitter}
	}
	if g.Notice == nil {
		g.Notice = func(Notice) {}
	}
	g.Client.OnDial = func(string) { countDials.Add(1) }
	g.allots = allotter.New(time.Now(), g.AllotmentWindow)
	g.repeats = map[string]*allotter.Repeats{}
	g.crashes = crashwatcher.New(time.Now(), rand.Float64())
	g.confirming, g.doubted = map[string]bool{}, map[string]time.Time{}
	g.opened = make(chan struct{})
	g.guard = &guardListener{Listener: g.Listener, open: map[*guardConn]struct{}{}}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(g.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       longestIdle,
		MaxHeaderBytes:    maxRecorded,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:          log.New(errorLog{}, "", 0),
	}
}

// errorLog takes the lines of the HTTP library, which reports each connection that ends early.
type errorLog struct{}

// Write implements io.Writer.
func (errorLog) Write(line []byte) (int, error) {
	klog.V(2).Infof("gateway: http %s", line)
	return len(line), nil
}

// Run serves until Close.
func (g *Gateway) Run(ctx context.Context) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		tick := time.NewTicker(sweepInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-tick.C:
				g.sweep()
			}
		}
	}()
	err := g.server.Serve(g.guard)
	if errors.Is(err, http.ErrServerClosed) || g.closed.Load() {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

func (g *Gateway) sweep() {
	g.guard.endIdle(g.limits().IdleTimeout)
	addrs := map[string]bool{}
	g.Admitter.View(func(b *balancer.Balancer) {
		for _, e := range b.Endpoints() {
			addrs[e.Addr] = true
		}
	})
	g.Client.Sweep(func(addr string) bool { return addrs[addr] })
	g.checkDoubtful(time.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Sweep(time.Now())
}

// limits returns the bounds on what callers send, from the table in force where it names them.
func (g *Gateway) limits() router.Limits {
	l := router.Limits{}
	if index, _ := g.Table(); index != nil {
		l = index.Table().Limits
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultMaxBodyBytes
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Drain asks callers to leave: every further response closes its connection. New requests are still served.
func (g *Gateway) Drain() { g.stopping.Store(true) }

// Close takes no new connections, ends those without a request, waits for the requests in progress until ctx ends and closes
// the rest.
func (g *Gateway) Close(ctx context.Context) error {
	g.stopping.Store(true)
	g.closed.Store(true)
	err := g.Listener.Close()
	g.guard.leave()
	tick := time.NewTicker(closePoll)
	defer tick.Stop()
	for g.guard.remaining() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
			klog.InfoS("gateway: requests cut off at the end of a stop", "active", g.active.Load(), "connections", g.guard.remaining())
		case <-tick.C:
		}
	}
	err = errors.Join(err, g.server.Close())
	g.confirms.Wait()
	return errors.Join(err, g.Client.Close())
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// SetTable applies the limits of a table.
func (g *Gateway) SetTable(x *router.Index) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allots.SetLimits(time.Now(), LimitsOf(x.Table()))
}

// LimitsOf returns the allotments of a table.
func LimitsOf(t *router.Table) map[string]allotter.Limit {
	limits := map[string]allotter.Limit{}
	for _, w := range t.Workspaces {
		if w.Rate > 0 {
			limits[w.Name] = allotter.Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	return limits
}

// Open lets the requests go on that wait for the first table. Call it once Table returns one and its endpoints are set.
func (g *Gateway) Open() { g.openOnce.Do(func() { close(g.opened) }) }

// Used returns the units of allotments that this host has admitted.
func (g *Gateway) Used() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allots.Used()
}

// UseWindows returns the windows of the allotments as far as this host knows them.
func (g *Gateway) UseWindows() map[string][]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allots.Windows(time.Now())
}

// LearnUse takes the windows of the allotments as a peer knows them.
func (g *Gateway) LearnUse(history map[string][]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allots.Learn(time.Now(), history)
}

// HeardUse takes what a peer has admitted, which may stand for several hosts. Afresh is true if its totals do not hold what was
// used between the last ones and these.
func (g *Gateway) HeardUse(process string, age time.Duration, used map[string]float64, hosts int, afresh bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if afresh {
		g.allots.KeepAssumed(time.Now(), process)
	}
	g.allots.Heard(time.Now(), process, age, used)
	g.allots.SetHosts(process, hosts)
}

// Admit takes units from the allotment of a workspace, or returns when to try again.
func (g *Gateway) Admit(workspace string, units float64) (ok bool, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allots.Take(time.Now(), workspace, units)
}

// sent counts a first send to a pool.
func (g *Gateway) sent(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(pool).Sent(g.allots.Peers() + 1)
}

// mayRepeat takes one repeat from the budget of a pool.
func (g *Gateway) mayRepeat(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(pool).Take(time.Now(), g.allots.Peers()+1)
}

func (g *Gateway) budget(pool string) *allotter.Repeats {
	b := g.repeats[pool]
	if b == nil {
		b = allotter.NewRepeats(time.Now(), g.RepeatLimit, g.allots.Peers()+1)
		g.repeats[pool] = b
	}
	return b
}
