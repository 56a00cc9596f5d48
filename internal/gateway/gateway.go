// Package gateway is the HTTP reverse proxy of an entry host. It accepts requests, matches them against the routing table, checks
// API key and allotment, waits for an endpoint, forwards the request to it and returns the endpoint's response.
package gateway

import (
	"context"
	"errors"
	"expvar"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/connlimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/observer"
	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

const (
	// defaultMaxHeaderBytes, defaultMaxBodyBytes and defaultIdleTimeout apply if the table sets no limits.
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultIdleTimeout    = 15 * time.Second
	// headerTimeout is the longest time for reading a request head.
	headerTimeout = 3 * time.Second
	// maxIdleTimeout is the longest time that a connection may be idle, whatever limit the table sets.
	maxIdleTimeout = 5 * time.Minute
	// sweepInterval is the time between two periodic cleanups, such as of idle connections.
	sweepInterval = time.Second
	// closePollInterval is the time between two checks for open connections while the gateway closes.
	closePollInterval = 10 * time.Millisecond
	// refuseReserve is the time before the end of a stop at which the requests that wait for an endpoint are refused.
	refuseReserve = 250 * time.Millisecond
	// answerReserve is the time before the end of a stop at which the requests that are at endpoints get a failure.
	answerReserve = 150 * time.Millisecond
	// noTableRetryAfter is the retry delay sent by a host that has no confirmed table.
	noTableRetryAfter = 500 * time.Millisecond
)

// Metrics of the gateway. The histograms are labeled with KIND/TIER of the rule.
var (
	requestCounts   = expvar.NewMap("gateway_requests")
	sendCounts      = expvar.NewMap("gateway_sends")
	limitChanges    = expvar.NewMap("gateway_endpoint_limits")
	interruptedRuns = expvar.NewMap("gateway_interrupted_runs")
	silences        = expvar.NewMap("gateway_endpoint_silences")
	dialCount       = expvar.NewInt("gateway_endpoint_connects")
	waitTimes       = observer.NewHistogram("gateway_wait_ms")
	firstEventTimes = observer.NewHistogram("gateway_first_event_ms")
	responseTimes   = observer.NewHistogram("gateway_answer_ms")
)

// Headers holds the names of the HTTP headers of a deployment. An empty name disables the header.
type Headers struct {
	// RequestID identifies one attempt of a caller; endpoints echo it.
	RequestID string
	// Deadline holds the time that the caller waits for the response, in milliseconds.
	Deadline string
	// Tokens holds the number of prompt tokens and the maximum number of output tokens, separated by a comma. ExpectedOutput
	// holds an estimate of the latter.
	Tokens         string
	ExpectedOutput string
	// PromptParts lists the prefix segments of the prompt as ID:TOKENS; the last one belongs to the session.
	PromptParts string
	// Workspace holds the workspace of the caller, for the endpoint.
	Workspace string
	// Instance holds the ID of the only endpoint that may run the request.
	Instance string
	// NotRun marks an endpoint's response to a request that it did not run.
	NotRun string
	// Signature marks a response that the endpoint itself has generated.
	Signature string
	// InstanceID holds the ID of the endpoint in its response to a health check.
	InstanceID string
	// Load holds the running requests, the waiting requests, the slots, and the current duration of work in percent of the usual
	// duration, separated by commas.
	Load string
	// Leaving marks the responses of an endpoint that is draining.
	Leaving string
	// Limit holds the number of requests per second, as a decimal number, that an endpoint takes from all hosts together.
	Limit string
	// Brittle holds the number of requests per second that an endpoint can reject without failing.
	Brittle string
	// LastEventID holds the ID of the last event that the caller of a resumed stream has received.
	LastEventID string
	// Resumes holds the ID of the request that brought the first event of a stream which the caller takes up again.
	Resumes string
	// KeyScheme is the scheme before the API key in the Authorization header.
	KeyScheme string
	// Internal lists further headers that only the system may set; they are removed from callers' requests.
	Internal []string
}

// Placer chooses endpoints for requests.
type Placer interface {
	// Acquire waits for an endpoint. It returns an *admitter.RefusedError, or the error of ctx.
	Acquire(ctx context.Context, req admitter.Request) (*admitter.Grant, error)
	// Checks reports whether the placer checks the allotments of requests for a pool.
	Checks(pool string) bool
}

// localPlacer is a Placer that uses only the Admitter of this host.
type localPlacer struct{ *admitter.Admitter }

// Checks implements Placer.
func (localPlacer) Checks(string) bool { return false }

// errStopping is the cause of the end of a wait for an endpoint when the host stops, and stopping the reason of the refusal.
var errStopping = eris.New("host stops")

const stopping admitter.Reason = "stopping"

// stoppingPlacer is a Placer that refuses the requests that wait when stopped ends.
type stoppingPlacer struct {
	Placer
	stopped context.Context
}

// Acquire implements Placer.
func (p stoppingPlacer) Acquire(ctx context.Context, req admitter.Request) (*admitter.Grant, error) {
	began := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(p.stopped, func() { cancel(errStopping) })
	defer stop()
	grant, err := p.Placer.Acquire(ctx, req)
	if err != nil && errors.Is(err, context.Canceled) && errors.Is(context.Cause(ctx), errStopping) {
		return nil, &admitter.RefusedError{Reason: stopping, Waited: time.Since(began), RetryAfter: noTableRetryAfter}
	}
	return grant, err
}

// EndpointStatus is the status of an endpoint, as the endpoint reported it to this host.
type EndpointStatus struct {
	Endpoint string
	// Leaving is true if the endpoint is draining, and Returned if it was draining and has restarted.
	Leaving, Returned bool
	// Speed is the current duration of work in percent of the usual duration; 0 if it was not reported.
	Speed float64
	// RetryAfter is the time for which the endpoint asked this host to send no requests.
	RetryAfter time.Duration
	// Brittle is true if the endpoint says that it fails if it must reject many requests.
	Brittle bool
	// LimitChanged is true if the endpoint states another limit than before, and Limit is that limit in requests per second from all
	// hosts together; 0 means none.
	LimitChanged bool
	Limit        float64
}

// Gateway forwards requests. Set the exported fields, then call Init before any other method.
type Gateway struct {
	// Listener accepts the callers' connections.
	Listener net.Listener
	Headers  Headers
	// Table returns the routing table of this host, or nil before the first one. Current is true while this host can rule out
	// that a newer table is in force.
	Table func() (index *router.Index, current bool)
	// Admitter holds the endpoints and the runs of this host.
	Admitter *admitter.Admitter
	// Placer chooses endpoints; the default is the Admitter.
	Placer Placer
	// Origins remembers the versions of streams for all hosts; the default remembers those of this host.
	Origins Origins
	// OnEndpointStatus is called with each status that an endpoint reports; it may be nil.
	OnEndpointStatus func(EndpointStatus)
	// Clients bounds what callers' connections take; nil means no bound.
	Clients *connlimiter.Limiter
	// Zone is the availability zone of this host; empty if it is not known.
	Zone string
	// Client opens connections to endpoints.
	Client *exchanger.Client
	// Sender sends requests to endpoints; the default sends them by Client.
	Sender Sender
	// SelfReport describes how endpoints report their start.
	SelfReport SelfReport
	// RetryLimit limits the retries per pool.
	RetryLimit ratelimiter.RetryLimit
	// AllotmentWindow is the length of the sliding window of the allotments; 0 means the default.
	AllotmentWindow time.Duration

	server       *http.Server
	mu           sync.Mutex
	allotments   *ratelimiter.Limiter
	retryBudgets map[string]*ratelimiter.RetryBudget
	crashWatcher *crashwatcher.Watcher
	// confirmingCrash holds the IDs of the endpoints with a crash check in progress.
	confirmingCrash map[string]bool
	// startTimes are the times at which endpoints have started, as they reported last, by ID.
	startTimes map[string]time.Time
	// endpointLimits are the known limits of endpoints, in requests per second by ID.
	endpointLimits map[string]float64
	// brittleReportedAt holds the time at which a brittle endpoint was reported last, by ID.
	brittleReportedAt map[string]time.Time
	// healthCheckedAt holds the time of the last health check of draining endpoints, by endpoint ID.
	healthCheckedAt map[string]time.Time
	checks          sync.WaitGroup
	tableReady      chan struct{}
	tableReadyOnce  sync.Once
	tracker         *trackingListener
	stopWaiting     context.CancelFunc
	// sendsEnded ends shortly before the end of a stop, when endSends is called.
	sendsEnded context.Context
	endSends   context.CancelFunc
	stopEnd    stopEnd
	sendTimes  sendTimes
	draining   atomic.Bool
	closed     atomic.Bool
	active     atomic.Int64
}

// Init prepares the state that Run and the other methods use.
func (g *Gateway) Init() {
	if g.Placer == nil {
		g.Placer = localPlacer{g.Admitter}
	}
	if g.Origins == nil {
		g.Origins = &localOrigins{}
	}
	stopped, stopWaiting := context.WithCancel(context.Background())
	g.Placer, g.stopWaiting = stoppingPlacer{Placer: g.Placer, stopped: stopped}, stopWaiting
	g.sendsEnded, g.endSends = context.WithCancel(context.Background())
	if g.OnEndpointStatus == nil {
		g.OnEndpointStatus = func(EndpointStatus) {}
	}
	if g.Sender == nil {
		g.Sender = directSender{g.Client}
	}
	g.Client.OnDial = func(string) { dialCount.Add(1) }
	g.allotments = ratelimiter.New(time.Now(), g.AllotmentWindow)
	g.retryBudgets = map[string]*ratelimiter.RetryBudget{}
	g.crashWatcher = crashwatcher.New(time.Now(), rand.Float64())
	g.brittleReportedAt = map[string]time.Time{}
	g.startTimes = map[string]time.Time{}
	g.confirmingCrash, g.healthCheckedAt, g.endpointLimits = map[string]bool{}, map[string]time.Time{}, map[string]float64{}
	g.tableReady = make(chan struct{})
	callers := g.Listener
	if g.Clients != nil {
		callers = g.Clients.Listen(g.Listener)
	}
	g.tracker = &trackingListener{Listener: callers, conns: map[*trackedConn]struct{}{}}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(g.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       maxIdleTimeout,
		MaxHeaderBytes:    maxRecordedHead,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:          log.New(errorLog{}, "", 0),
	}
}

// errorLog logs the error lines of net/http at a low level, because it reports each connection that ends early.
type errorLog struct{}

// Write implements io.Writer.
func (errorLog) Write(line []byte) (int, error) {
	klog.V(2).Infof("gateway: http %s", line)
	return len(line), nil
}

// Run serves callers until Close is called.
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
	err := g.server.Serve(g.tracker)
	if errors.Is(err, http.ErrServerClosed) || g.closed.Load() {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

func (g *Gateway) sweep() {
	g.tracker.closeIdle(g.limits().IdleTimeout)
	addrs, ids := map[string]bool{}, map[string]bool{}
	g.Admitter.View(func(b *balancer.Balancer) {
		for _, e := range b.Endpoints() {
			addrs[e.Addr], ids[e.ID] = true, true
		}
	})
	g.Client.CloseIdle(func(addr string) bool { return addrs[addr] })
	g.checkDrainingEndpoints(time.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashWatcher.Sweep(time.Now())
	maps.DeleteFunc(g.startTimes, func(id string, _ time.Time) bool { return !ids[id] })
	maps.DeleteFunc(g.brittleReportedAt, func(_ string, at time.Time) bool { return time.Since(at) > time.Minute })
}

// limits returns the limits for callers' connections and requests: those of the table, or the defaults.
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

// Drain makes callers reconnect elsewhere: every further response closes its connection. New requests are still served if they can be
// finished before end, at which Close will close the remaining connections; the zero time means that this is not known yet.
func (g *Gateway) Drain(end time.Time) {
	g.stopEnd.set(end)
	g.draining.Store(true)
}

// Close stops accepting connections, closes idle ones, waits for the requests in progress until ctx ends and then closes the
// remaining connections. The requests that still wait for an endpoint shortly before that are refused.
func (g *Gateway) Close(ctx context.Context) error {
	g.draining.Store(true)
	g.closed.Store(true)
	err := g.Listener.Close()
	g.tracker.drain()
	defer g.stopWaiting()
	defer g.endSends()
	if end, limited := ctx.Deadline(); limited {
		g.stopEnd.set(end)
		refuse := time.AfterFunc(max(0, time.Until(end)-refuseReserve), g.stopWaiting)
		defer refuse.Stop()
		fail := time.AfterFunc(max(0, time.Until(end)-answerReserve), g.endSends)
		defer fail.Stop()
	}
	tick := time.NewTicker(closePollInterval)
	defer tick.Stop()
	for g.tracker.openConns() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
			klog.InfoS("gateway: requests cut off at the end of a stop", "active", g.active.Load(), "connections", g.tracker.openConns())
		case <-tick.C:
		}
	}
	err = errors.Join(err, g.server.Close())
	g.checks.Wait()
	return errors.Join(err, g.Client.Close())
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// SetTable applies the allotments of a table.
func (g *Gateway) SetTable(x *router.Index) {
	g.sendTimes.retain(x.Table())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allotments.SetLimits(time.Now(), LimitsOf(x.Table()))
}

// ReleaseWaiting releases the requests that wait for the first table. Call it once Table returns one and its endpoints are set.
func (g *Gateway) ReleaseWaiting() { g.tableReadyOnce.Do(func() { close(g.tableReady) }) }

// recordFirstSend adds the first send of a request to the retry budget of its pool.
func (g *Gateway) recordFirstSend(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(pool).RecordRequest(g.allotments.PeerHosts() + 1)
}

// takeRetry takes one retry from the budget of a pool. It returns false if the budget is exhausted.
func (g *Gateway) takeRetry(pool string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget(pool).Take(time.Now(), g.allotments.PeerHosts()+1)
}

// returnRetry returns a retry that was not used.
func (g *Gateway) returnRetry(pool string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(pool).Return(g.allotments.PeerHosts() + 1)
}

func (g *Gateway) retryBudget(pool string) *ratelimiter.RetryBudget {
	b := g.retryBudgets[pool]
	if b == nil {
		b = ratelimiter.NewRetryBudget(time.Now(), g.RetryLimit, g.allotments.PeerHosts()+1)
		g.retryBudgets[pool] = b
	}
	return b
}
