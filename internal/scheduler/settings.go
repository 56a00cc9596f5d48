package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/limiter"
	"github.com/dragonflycroft/dragonflycroft/internal/queuer"
	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

const (
	// defaultFloodWait is the wait from which a tier without a first-token target may count as flooded.
	defaultFloodWait = 2 * time.Second
	// ageWait is the wait after which work of a tier gets a small part of the service whatever else waits.
	ageWait = 20 * time.Second
	// defaultGapTarget applies when no tier has one.
	defaultGapTarget = 46 * time.Millisecond
	// urgentSpan times the strictest first-token target makes a tier urgent. Headroom shared with patient tiers would not
	// be there when the strictest tier needs it.
	urgentSpan = 1.5
)

// tier is a configured tier with its waiting and running requests.
type tier struct {
	configurer.Tier
	urgent bool // its first-token target is about the strictest of all
	// firstTook is the mean time from dispatch to first token, in seconds.
	firstTook float64
	waiting   int
	active    int // granted or running
	ages      *ranker.Heap[*request]
}

func lessAge(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.seq, b.seq)) < 0
}

// configure applies a configuration version; an older one than the last is ignored.
func (s *Scheduler) configure(e Configure) {
	if e.Config == nil || (s.config != nil && e.Version < s.version) {
		return
	}
	queued := s.sortedRequests(func(r *request) bool { return r.state == waiting })
	for _, r := range queued {
		s.dequeue(r)
	}
	s.config, s.version, s.limits = e.Config, e.Version, e.Config.Limits
	s.pool = configurer.Pool{Name: s.opts.Pool, Kind: configurer.KindModel}
	for _, p := range e.Config.Pools {
		if p.Name == s.opts.Pool {
			s.pool = p
		}
	}
	s.configureTiers(e.Config.Tiers)
	s.configureWorkspaces(e.Config.Workspaces)
	s.configureEndpoints()
	if ms := s.limits.QuarantineMS; ms > 0 {
		s.quarantine.SetHold(time.Duration(ms) * time.Millisecond)
	} else {
		s.quarantine.SetHold(defaultQuarantine)
	}
	for _, r := range queued {
		s.enqueue(r)
	}
}

func (s *Scheduler) configureTiers(tiers []configurer.Tier) {
	old := s.byTier
	s.tiers, s.byTier = nil, make(map[string]*tier)
	var shares []queuer.TierShare
	for _, t := range tiers {
		n := &tier{Tier: t, ages: ranker.New(lessAge)}
		if o := old[t.Name]; o != nil {
			n.firstTook = o.firstTook
		}
		s.tiers = append(s.tiers, n)
		s.byTier[t.Name] = n
		wait := defaultFloodWait
		if t.FirstTokenTargetMS > 0 {
			wait = time.Duration(t.FirstTokenTargetMS) * time.Millisecond
		}
		shares = append(shares, queuer.TierShare{Order: t.Order, Share: t.Share, FloodWait: wait, AgeWait: ageWait})
	}
	slices.SortStableFunc(s.tiers, func(a, b *tier) int { return cmp.Compare(a.Order, b.Order) })
	strictest := s.targets().FirstToken.Milliseconds()
	for _, t := range s.tiers {
		t.urgent = t.FirstTokenTargetMS > 0 && float64(t.FirstTokenTargetMS) <= urgentSpan*float64(strictest)
	}
	s.shares = queuer.NewShares(shares, s.shares)
	for _, r := range s.sortedRequests(func(r *request) bool { return r.endpoint != nil }) {
		if r.tier = s.tierOf(r.d.Tier); r.tier != nil {
			r.tier.active++
		}
	}
}

func (s *Scheduler) configureWorkspaces(list []configurer.Workspace) {
	known := make(map[string]limiter.WorkspaceLimits)
	s.weights = make(map[string]float64)
	for _, w := range list {
		s.weights[w.Name] = w.Weight
		s.accounts.SetWeight(w.Name, w.Weight)
		known[w.Name] = limiter.WorkspaceLimits{
			PerSecond: w.Limits.RequestsPerSecond, Burst: w.Limits.Burst,
			MaxWaiting: w.Limits.MaxWaiting, MaxRunning: w.Limits.MaxRunning,
		}
		s.workspace(w.Name)
	}
	for name, w := range s.workspaces {
		w.SetLimits(known[name])
		s.park(name, w.Full())
	}
}

// tierOf returns the tier of a name. Unknown names count as the lowest tier, so that an old configuration cannot raise
// a request.
func (s *Scheduler) tierOf(name string) *tier {
	if t := s.byTier[name]; t != nil {
		return t
	}
	if len(s.tiers) == 0 {
		return nil
	}
	return s.tiers[len(s.tiers)-1]
}

func (s *Scheduler) lowest() int {
	if len(s.tiers) == 0 {
		return 0
	}
	return s.tiers[len(s.tiers)-1].Order
}

func (s *Scheduler) workspace(name string) *limiter.Workspace {
	w := s.workspaces[name]
	if w == nil {
		w = limiter.NewWorkspace(limiter.WorkspaceLimits{})
		s.workspaces[name] = w
	}
	return w
}

func (s *Scheduler) weight(workspace string) float64 {
	if w := s.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// targets are the strictest times of all tiers, since work of any tier may share an endpoint.
func (s *Scheduler) targets() limiter.Targets {
	t := limiter.Targets{Gap: defaultGapTarget}
	gap := 0
	first := 0
	for _, n := range s.tiers {
		if ms := n.TokenGapTargetMS; ms > 0 && (gap == 0 || ms < gap) {
			gap = ms
		}
		if ms := n.FirstTokenTargetMS; ms > 0 && (first == 0 || ms < first) {
			first = ms
		}
	}
	if gap > 0 {
		t.Gap = time.Duration(gap) * time.Millisecond
	}
	t.FirstToken = time.Duration(first) * time.Millisecond
	return t
}

func (s *Scheduler) service() bool { return s.pool.Kind == configurer.KindService }

func (s *Scheduler) maxWaiting() int {
	if s.limits.MaxWaiting > 0 {
		return s.limits.MaxWaiting
	}
	return defaultMaxWaiting
}
