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
	// defaultFloodWait is the queueing delay from which a tier without a first-token target may count as flooded.
	defaultFloodWait = 2 * time.Second
	// agingWait is the queueing delay from which a tier gets a small share of the service regardless of other tiers.
	agingWait = 20 * time.Second
	// defaultTokenGapTarget applies when no tier has a token-gap target.
	defaultTokenGapTarget = 46 * time.Millisecond
	// urgentTargetRatio limits the urgent tiers to those whose first-token target is at most this multiple of the
	// strictest one. Headroom shared with less urgent tiers would be occupied when the strictest tier needs it.
	urgentTargetRatio = 1.5
)

// tier is a configured tier with its waiting and running requests.
type tier struct {
	configurer.Tier
	urgent bool // within urgentTargetRatio of the strictest first-token target
	// meanFirstToken is the moving average of the time from dispatch to first token, in seconds.
	meanFirstToken float64
	waiting        int
	active         int // granted or running requests
	byArrival      *ranker.Heap[*request]
}

func arrivedEarlier(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.seq, b.seq)) < 0
}

// configure applies a configuration; one with a lower version than the current one is ignored.
func (s *Scheduler) configure(e Configure) {
	if e.Config == nil || (s.config != nil && e.Version < s.configVersion) {
		return
	}
	queued := s.sortedRequests(func(r *request) bool { return r.state == waiting })
	for _, r := range queued {
		s.dequeue(r)
	}
	s.config, s.configVersion, s.limits = e.Config, e.Version, e.Config.Limits
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
		s.quarantine.SetFirstRefusal(time.Duration(ms) * time.Millisecond)
	} else {
		s.quarantine.SetFirstRefusal(defaultQuarantine)
	}
	for _, r := range queued {
		s.enqueue(r)
	}
}

func (s *Scheduler) configureTiers(tiers []configurer.Tier) {
	old := s.tierByName
	s.tiers, s.tierByName = nil, make(map[string]*tier)
	var shares []queuer.TierShare
	for _, t := range tiers {
		n := &tier{Tier: t, byArrival: ranker.New(arrivedEarlier)}
		if o := old[t.Name]; o != nil {
			n.meanFirstToken = o.meanFirstToken
		}
		s.tiers = append(s.tiers, n)
		s.tierByName[t.Name] = n
		wait := defaultFloodWait
		if t.FirstTokenTargetMS > 0 {
			wait = time.Duration(t.FirstTokenTargetMS) * time.Millisecond
		}
		shares = append(shares, queuer.TierShare{Order: t.Order, Share: t.Share, FloodWait: wait, AgeWait: agingWait})
	}
	slices.SortStableFunc(s.tiers, func(a, b *tier) int { return cmp.Compare(a.Order, b.Order) })
	strictest := s.latencyTargets().FirstToken.Milliseconds()
	for _, t := range s.tiers {
		t.urgent = t.FirstTokenTargetMS > 0 && float64(t.FirstTokenTargetMS) <= urgentTargetRatio*float64(strictest)
	}
	s.shares = queuer.NewShares(shares, s.shares)
	for _, r := range s.sortedRequests(func(r *request) bool { return r.endpoint != nil }) {
		if r.tier = s.tierOf(r.desc.Tier); r.tier != nil {
			r.tier.active++
		}
	}
}

func (s *Scheduler) configureWorkspaces(list []configurer.Workspace) {
	limitsByName := make(map[string]limiter.WorkspaceLimits)
	s.weights = make(map[string]float64)
	for _, w := range list {
		s.weights[w.Name] = w.Weight
		s.accounts.SetWeight(w.Name, w.Weight)
		limitsByName[w.Name] = limiter.WorkspaceLimits{
			PerSecond: w.Limits.RequestsPerSecond, Burst: w.Limits.Burst,
			MaxWaiting: w.Limits.MaxWaiting, MaxRunning: w.Limits.MaxRunning,
		}
		s.workspace(w.Name)
	}
	for name, w := range s.workspaces {
		w.SetLimits(limitsByName[name])
		s.setParked(name, w.Full())
	}
}

// tierOf returns the tier with the given name, or nil before the first configuration. Unknown names map to the lowest tier,
// so that an outdated configuration cannot raise a request's priority.
func (s *Scheduler) tierOf(name string) *tier {
	if t := s.tierByName[name]; t != nil {
		return t
	}
	if len(s.tiers) == 0 {
		return nil
	}
	return s.tiers[len(s.tiers)-1]
}

func (s *Scheduler) lowestOrder() int {
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

func (s *Scheduler) workspaceWeight(workspace string) float64 {
	if w := s.weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// latencyTargets returns the strictest targets over all tiers, since work of any tier may share an endpoint.
func (s *Scheduler) latencyTargets() limiter.Targets {
	t := limiter.Targets{Gap: defaultTokenGapTarget}
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

func (s *Scheduler) isServicePool() bool { return s.pool.Kind == configurer.KindService }

func (s *Scheduler) maxWaiting() int {
	if s.limits.MaxWaiting > 0 {
		return s.limits.MaxWaiting
	}
	return defaultMaxWaiting
}
