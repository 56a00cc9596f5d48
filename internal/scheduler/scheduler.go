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
	// grantExpiryMargin is added to the TTL before an unconfirmed grant expires. It covers a Started message that is in
	// flight when the TTL ends at the entry host.
	grantExpiryMargin = 250 * time.Millisecond
	// lengthQuantile of the output length is booked for a request. It suffices for about two answers in three; the booking
	// of a longer one is raised while it runs.
	lengthQuantile = 0.65
	// longLengthQuantile of the output length must fit in the time left until the caller's deadline.
	longLengthQuantile = 0.9
	// poolSmoothing is the weight of a new sample in the exponential moving averages over the pool.
	poolSmoothing     = 0.02
	defaultQuarantine = 10 * time.Minute
	defaultMaxWaiting = 50_000
	// accountSweepInterval is the time between removals of unused fair-queueing accounts.
	accountSweepInterval = 30 * time.Second
	// outlierCheckInterval is the time between checks for stalled and slow endpoints.
	outlierCheckInterval = time.Second
)

// Options configure a Scheduler.
type Options struct {
	// Pool is the name of the pool in the configuration.
	Pool string
	// Epoch is the fencing epoch under which this scheduler holds the pool. With Seed it seeds the random generator.
	Epoch, Seed uint64
	// GrantTTL is how long an entry host may use a grant; 0 means one second.
	GrantTTL time.Duration
	// Hosts are the entry hosts expected to report their runs. Once all have synced, warm-up ends, even if grants of the
	// previous holder have not expired yet. It may be empty.
	Hosts []string
	// HostListTimeout is the maximum time for which grants are withheld until the first host list arrives; 0 means that there is
	// no list. A new holder has no record of leaving endpoints, and must not send work to one that left long ago.
	HostListTimeout time.Duration
}

// Scheduler places the requests of one pool. It is a deterministic state machine: equal events at equal times give equal
// actions. It is not safe for concurrent use.
type Scheduler struct {
	opts             Options
	rng              *rand.Rand
	now              time.Duration
	started          bool
	hostListReceived bool
	hostListDeadline time.Duration
	actions          []Action

	config        *configurer.Config
	configVersion uint64
	pool          configurer.Pool
	tiers         []*tier // sorted by order
	tierByName    map[string]*tier
	limits        configurer.Limits

	syncedHosts map[string]bool // entry hosts that have sent HostSynced
	// allRunsKnown is true once every run granted by a previous holder has been reported or must have ended.
	allRunsKnown   bool
	requests       map[string]*request
	nextSeq        uint64
	waitingCount   int
	waitingTokens  int // estimated tokens of all waiting requests
	incompleteRuns []incompleteRun
	fingerprints   *grouper.Groups[*request] // keyed by fingerprint

	table           *tracker.Table
	endpoints       map[string]*endpoint
	classes         []*class
	classByKey      map[*tracker.Class]*class
	prefixes        *placer.PrefixIndex
	placer          placer.Placer
	pinnedEndpoints []*endpoint // endpoints with pinned requests
	isolatedCount   int         // endpoints reserved for a suspect request or running one

	accounts       *queuer.Accounts
	shares         *queuer.Shares
	workspaces     map[string]*limiter.Workspace
	weights        map[string]float64
	outputLengths  *estimator.LengthPredictor
	tokenGap       float64 // mean seconds between output tokens over the pool
	shedCandidates *shedder.Candidates[*request]
	quarantine     *quarantiner.Quarantine
	timers         *timekeeper.Timers

	gate             *gatekeeper.Gate
	nextOutlierCheck time.Duration
	nextAccountSweep time.Duration
}

// New returns a scheduler without state. Until the entry hosts have reported their runs or all grants of a previous holder
// have expired, endpoints accept a small amount of urgent work only.
func New(o Options) *Scheduler {
	if o.GrantTTL <= 0 {
		o.GrantTTL = defaultGrantTTL
	}
	s := &Scheduler{
		opts:           o,
		rng:            rand.New(rand.NewPCG(o.Seed, o.Epoch)),
		tierByName:     make(map[string]*tier),
		syncedHosts:    make(map[string]bool),
		requests:       make(map[string]*request),
		fingerprints:   grouper.New[*request](),
		endpoints:      make(map[string]*endpoint),
		classByKey:     make(map[*tracker.Class]*class),
		table:          tracker.New(),
		prefixes:       placer.NewPrefixIndex(),
		accounts:       queuer.NewAccounts(),
		shares:         queuer.NewShares(nil, nil),
		workspaces:     make(map[string]*limiter.Workspace),
		weights:        make(map[string]float64),
		outputLengths:  estimator.NewLengthPredictor(),
		shedCandidates: shedder.NewCandidates[*request](),
		quarantine:     quarantiner.New(defaultQuarantine),
		timers:         timekeeper.New(),
		gate:           gatekeeper.New(),
	}
	s.placer = placer.Placer{Table: s.table, Prefixes: s.prefixes}
	return s
}

// Step applies one event and returns the resulting actions. The clock is monotonic: a now before that of an earlier call
// is replaced by the latest one.
func (s *Scheduler) Step(now time.Duration, ev Event) []Action {
	if !s.started {
		s.started, s.now, s.hostListDeadline = true, now, now+s.opts.HostListTimeout
		s.timers.At(now+s.opts.GrantTTL+grantExpiryMargin, func() {
			s.table.EndWarmup(s.now)
			s.allRunsKnown = s.allRunsKnown || len(s.opts.Hosts) == 0
		})
		// A host that never reports may have runs for as long as the runs of a lost host are counted.
		s.timers.At(now+orphanTimeout, func() { s.allRunsKnown = true })
	}
	s.now = max(s.now, now)
	s.actions = nil
	s.table.Advance(s.now)
	s.timers.Run(s.now)
	s.apply(ev)
	s.runPeriodicChecks()
	s.shedRequests(ev)
	if !s.awaitingHostList() {
		s.dispatch()
	}
	return s.actions
}

// awaitingHostList reports whether grants are withheld until the first host list arrives. The wait is bounded, so that an
// unreadable platform list does not block all work.
func (s *Scheduler) awaitingHostList() bool { return s.now < s.hostListDeadline && !s.hostListReceived }

func (s *Scheduler) apply(ev Event) {
	switch e := ev.(type) {
	case Configure:
		s.configure(e)
	case HostSynced:
		s.syncHost(e)
	case HostLost:
		s.handleHostLost(e.Host)
	case Submit:
		s.submit(e)
	case Started:
		s.recordStarted(e)
	case Declined:
		s.recordDeclined(e)
	case Progress:
		s.recordProgress(e)
	case Finished:
		s.recordFinished(e)
	case Cancelled:
		s.cancel(e.RequestID)
	case EndpointFailed:
		s.recordEndpointFailure(e)
	case LoadReported:
		s.table.ApplyLoadReport(s.now, e.Age, e.Endpoint, e.Running, e.Waiting)
	case CacheChanged:
		if s.table.Get(e.Endpoint) != nil {
			s.prefixes.ApplyEvent(e.Endpoint, e.Seq, e.Added, e.Removed)
		}
	case HostsListed:
		s.hostListReceived = true
		s.applyHostList(e)
	case TiersClosed:
		s.gate.SetLevel(s.now, e.Below, s.lowestOrder())
	case ShedPermitted:
		s.gate.AddPermit(s.now, e.Tier, e.Duration)
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) emitDecision(verb string, r *request, endpoint, reason string) {
	s.emit(Decision{
		Verb: verb, RequestID: r.id, Tier: r.desc.Tier, Workspace: r.desc.Workspace, Endpoint: endpoint, Reason: reason,
	})
}
