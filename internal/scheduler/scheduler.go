package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/estimator"
	"github.com/dragonflycroft/dragonflycroft/internal/gatekeeper"
	"github.com/dragonflycroft/dragonflycroft/internal/grouper"
	"github.com/dragonflycroft/dragonflycroft/internal/limiter"
	"github.com/dragonflycroft/dragonflycroft/internal/placer"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
	"github.com/dragonflycroft/dragonflycroft/internal/queuer"
	"github.com/dragonflycroft/dragonflycroft/internal/shedder"
	"github.com/dragonflycroft/dragonflycroft/internal/timekeeper"
	"github.com/dragonflycroft/dragonflycroft/internal/tracker"
)

const (
	defaultGrantTTL = time.Second
	// grantMargin is the delay after the TTL at which an unconfirmed grant is given up. It covers a Started message
	// that is under way when the entry host's own deadline passes.
	grantMargin = 250 * time.Millisecond
	// lengthQuantile books enough for two answers in three; longer ones are booked again while they run.
	lengthQuantile = 0.65
	// longQuantile of the output must be possible in the time that a caller has left.
	longQuantile = 0.9
	// poolGain weighs one measurement in the averages over the pool.
	poolGain          = 0.02
	defaultQuarantine = 10 * time.Minute
	defaultMaxWaiting = 50_000
	// sweepInterval is the time between removals of accounts that are no longer in use.
	sweepInterval = 30 * time.Second
	// reviewInterval is the time between reviews of the endpoints' progress.
	reviewInterval = time.Second
)

// Options configure a Scheduler.
type Options struct {
	// Pool is the name of the pool in the configuration.
	Pool string
	// Epoch is the fencing number under which this scheduler was given the pool.
	Epoch, Seed uint64
	// GrantTTL is the time for which a grant may be used; 0 means one second.
	GrantTTL time.Duration
	// Hosts are the entry hosts expected to report their runs. When all have synced, endpoints are used fully before
	// the grants of an earlier holder have expired. It may be empty.
	Hosts []string
	// ListWait is how long grants wait for the first host list; 0 means that there is no list. A new holder does not know
	// which endpoints are leaving, and an endpoint that has left for long must not receive work from it.
	ListWait time.Duration
}

// Scheduler decides for one pool. It is a pure state machine: equal events at equal times give equal actions. It is not
// safe for concurrent use.
type Scheduler struct {
	opts    Options
	rng     *rand.Rand
	now     time.Duration
	began   bool
	listed  bool
	listBy  time.Duration
	actions []Action

	config  *configurer.Config
	version uint64
	pool    configurer.Pool
	tiers   []*tier // by order
	byTier  map[string]*tier
	limits  configurer.Limits

	synced map[string]bool // entry hosts that have reported
	// accounted is true once no run of an earlier holder can be unknown.
	accounted bool
	requests  map[string]*request
	nextSeq   uint64
	waiting   int
	wanted    int // tokens of waiting requests
	ended     []endedRun
	prints    *grouper.Groups[*request] // by fingerprint

	table      *tracker.Table
	endpoints  map[string]*endpoint
	classes    []*class
	classByKey map[*tracker.Class]*class
	prefixes   *placer.Prefixes
	placer     placer.Placer
	pinned     []*endpoint // with requests that wait for them
	alone      int         // endpoints reserved for suspects or running one

	accounts   *queuer.Accounts
	shares     *queuer.Shares
	workspaces map[string]*limiter.Workspace
	weights    map[string]float64
	lengths    *estimator.Lengths
	gap        float64 // seconds between tokens, over the pool
	book       *shedder.Book[*request]
	quarantine *quarantiner.Quarantine
	timers     *timekeeper.Timers

	gate       *gatekeeper.Gate
	nextReview time.Duration
	nextSweep  time.Duration
}

// New returns a scheduler without any knowledge. Until entry hosts have reported their runs, endpoints count as busy.
func New(o Options) *Scheduler {
	if o.GrantTTL <= 0 {
		o.GrantTTL = defaultGrantTTL
	}
	s := &Scheduler{
		opts:       o,
		rng:        rand.New(rand.NewPCG(o.Seed, o.Epoch)),
		byTier:     make(map[string]*tier),
		synced:     make(map[string]bool),
		requests:   make(map[string]*request),
		prints:     grouper.New[*request](),
		endpoints:  make(map[string]*endpoint),
		classByKey: make(map[*tracker.Class]*class),
		table:      tracker.New(),
		prefixes:   placer.NewPrefixes(),
		accounts:   queuer.NewAccounts(),
		shares:     queuer.NewShares(nil, nil),
		workspaces: make(map[string]*limiter.Workspace),
		weights:    make(map[string]float64),
		lengths:    estimator.NewLengths(),
		book:       shedder.NewBook[*request](),
		quarantine: quarantiner.New(defaultQuarantine),
		timers:     timekeeper.New(),
		gate:       gatekeeper.New(),
	}
	s.placer = placer.Placer{Table: s.table, Prefixes: s.prefixes}
	return s
}

// Step applies one event and returns the actions that follow. Time must not go backwards; an earlier now counts as the
// latest one.
func (s *Scheduler) Step(now time.Duration, ev Event) []Action {
	if !s.began {
		s.began, s.now, s.listBy = true, now, now+s.opts.ListWait
		s.timers.At(now+s.opts.GrantTTL+grantMargin, func() {
			s.table.EndWarmup(s.now)
			s.accounted = s.accounted || len(s.opts.Hosts) == 0
		})
		// Runs of a host that never reports stay possible for as long as those of a lost host are counted.
		s.timers.At(now+orphanTime, func() { s.accounted = true })
	}
	s.now = max(s.now, now)
	s.actions = nil
	s.table.Advance(s.now)
	s.timers.Run(s.now)
	s.apply(ev)
	s.review()
	s.shed(ev)
	if !s.awaitsList() {
		s.dispatch()
	}
	return s.actions
}

// awaitsList reports whether grants still wait for the first host list. The wait is bounded, so that a platform list that
// cannot be read does not stop all work.
func (s *Scheduler) awaitsList() bool { return s.now < s.listBy && !s.listed }

func (s *Scheduler) apply(ev Event) {
	switch e := ev.(type) {
	case Configure:
		s.configure(e)
	case HostSynced:
		s.syncHost(e)
	case HostLost:
		s.loseHost(e.Host)
	case Submit:
		s.submit(e)
	case Started:
		s.start(e)
	case Declined:
		s.decline(e)
	case Progress:
		s.progress(e)
	case Finished:
		s.finish(e)
	case Cancelled:
		s.cancel(e.RequestID)
	case EndpointFailed:
		s.failEndpoint(e)
	case LoadReported:
		s.table.Report(s.now, e.Age, e.Endpoint, e.Running, e.Waiting)
	case CacheChanged:
		if s.table.Get(e.Endpoint) != nil {
			s.prefixes.Change(e.Endpoint, e.Seq, e.Added, e.Removed)
		}
	case HostsListed:
		s.listed = true
		s.listHosts(e)
	case TiersClosed:
		s.gate.Close(s.now, e.Below, s.lowest())
	case ShedPermitted:
		s.gate.Permit(s.now, e.Tier, e.For)
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) decide(verb string, r *request, endpoint, reason string) {
	s.emit(Decision{
		Verb: verb, RequestID: r.id, Tier: r.d.Tier, Workspace: r.d.Workspace, Endpoint: endpoint, Reason: reason,
	})
}
