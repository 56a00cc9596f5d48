package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/ejector"
	"github.com/dragonflycroft/dragonflycroft/internal/estimator"
	"github.com/dragonflycroft/dragonflycroft/internal/limiter"
	"github.com/dragonflycroft/dragonflycroft/internal/placer"
	"github.com/dragonflycroft/dragonflycroft/internal/queuer"
	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
)

const (
	// maxListAge is the age from which a host list brings no endpoint back.
	maxListAge = 10 * time.Second
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = 15 * time.Second
	// headroomRank sorts endpoints that have headroom only behind all others.
	headroomRank = 1e6
	// pendingRank weighs seconds of queued prompts against the used part of the bound.
	pendingRank = 4
	// nominalTokens is the size of request for which an endpoint counts as having room.
	nominalTokens = 64
	// stallTime without any progress, with runs in progress, is a sign of failure.
	stallTime = 5 * time.Second
	// defaultListed is used before the first host list has arrived.
	defaultListed = true
)

// endpoint is one endpoint of the pool.
type endpoint struct {
	configurer.Endpoint
	configured bool
	listed     bool // live and not leaving by the latest list
	leaving    bool
	avail      ejector.Availability
	wake       *ranker.Node[timer]
	limit      *limiter.Limiter
	speed      *estimator.Speed
	classes    []*class

	runs     map[*request]struct{}
	pending  int        // prompt tokens dispatched and not yet processed
	pins     []*request // wait for this endpoint
	longs    int        // long prefills in progress
	alone    bool       // kept for a suspect request
	reserved *class     // whose suspects the endpoint is being emptied for
	extra    int        // runs beyond the scheduler's own account, from load reports

	progressed  time.Duration
	recentEnded []time.Duration
}

type classKey struct{ model, adapter string }

// class is a model and adapter with the endpoints that serve it.
type class struct {
	classKey
	members  int // configured endpoints that serve it, whatever their state
	ranking  *placer.Ranking
	lanes    [laneKinds]*lane
	reserved *endpoint
}

type laneKind int

const (
	shortLane laneKind = iota
	// longLane keeps prompts that wait for a place among the long prefills from blocking short ones.
	longLane
	// lateLane holds requests that have missed their first-token target. They go after those that can meet it:
	// in an overload, serving the oldest first would make all of them late.
	lateLane
	// hopelessLane holds requests whose caller will give up before the answer ends. They run only when nothing else
	// waits, since their prefill would be wasted.
	hopelessLane
	suspectLane
	laneKinds
)

type lane struct {
	class *class
	kind  laneKind
	queue *queuer.Queue[*request]
}

func (s *Scheduler) classOf(d Descriptor) *class {
	key := classKey{d.Model, d.Adapter}
	if s.service() {
		key = classKey{}
	}
	c := s.classByKey[key]
	if c != nil {
		return c
	}
	c = &class{classKey: key, ranking: placer.NewRanking()}
	for k := range c.lanes {
		c.lanes[k] = &lane{class: c, kind: laneKind(k), queue: queuer.New[*request](s.accounts)}
	}
	s.classByKey[key] = c
	s.classes = append(s.classes, c)
	for name, w := range s.workspaces {
		if w.Full() {
			s.park(name, true)
		}
	}
	for _, e := range s.order {
		s.join(e, c)
	}
	return c
}

// join adds an endpoint to a class that it serves.
func (s *Scheduler) join(e *endpoint, c *class) {
	if !e.configured || !s.serves(e, c.classKey) {
		return
	}
	c.members++
	e.classes = append(e.classes, c)
	s.rank(e)
}

func (s *Scheduler) serves(e *endpoint, k classKey) bool {
	if s.service() {
		return true
	}
	models := e.Models
	if len(models) == 0 {
		models = s.pool.Models
	}
	return (k.model == "" || slices.Contains(models, k.model)) &&
		(k.adapter == "" || slices.Contains(e.Adapters, k.adapter))
}

func (s *Scheduler) configureEndpoints(list []configurer.Endpoint) {
	for _, e := range s.order {
		e.configured = false
		for _, c := range e.classes {
			c.ranking.Remove(e.Name)
		}
		e.classes = nil
	}
	for _, cfg := range list {
		if cfg.Pool != s.opts.Pool {
			continue
		}
		e := s.endpoint(cfg.Name)
		e.Endpoint, e.configured = cfg, true
	}
	targets := s.targets()
	for _, e := range s.order {
		s.configureLimit(e, targets)
	}
	s.order = slices.DeleteFunc(s.order, func(e *endpoint) bool {
		gone := !e.configured && len(e.runs) == 0 && len(e.pins) == 0
		if gone {
			if e.reserved != nil {
				s.unreserve(e.reserved)
			}
			s.stop(e.wake)
			s.prefixes.Forget(e.Name)
			delete(s.endpoints, e.Name)
		}
		return gone
	})
	for _, c := range s.classes {
		c.members = 0
		for _, e := range s.order {
			s.join(e, c)
		}
	}
}

// configureLimit keeps a learned bound and replaces a fixed one.
func (s *Scheduler) configureLimit(e *endpoint, targets limiter.Targets) {
	if !s.service() {
		e.limit.SetTargets(targets)
		return
	}
	n := e.MaxConcurrent
	if n <= 0 {
		n = defaultConcurrent
	}
	if !e.limit.SetFixed(n) {
		fixed := limiter.NewFixed(n, headroom)
		for _, r := range sorted(e.runs) {
			fixed.Take(r.booked, r.urgent)
		}
		e.limit = fixed
	}
}

// endpoint returns the endpoint of a name; one that is not configured is only accounted for and takes no work.
func (s *Scheduler) endpoint(name string) *endpoint {
	e := s.endpoints[name]
	if e != nil {
		return e
	}
	e = &endpoint{
		Endpoint: configurer.Endpoint{Name: name},
		limit:    limiter.New(s.targets(), headroom),
		speed:    estimator.NewSpeed(),
		runs:     make(map[*request]struct{}),
		listed:   !s.listed && defaultListed,
	}
	s.endpoints[name] = e
	at, _ := slices.BinarySearchFunc(s.order, name, func(e *endpoint, n string) int { return cmp.Compare(e.Name, n) })
	s.order = slices.Insert(s.order, at, e)
	return e
}

// eligible reports whether the endpoint may take new work at all.
func (e *endpoint) eligible() bool {
	return e.configured && e.listed && !e.leaving && !e.Drain
}

// part returns the usable part of an endpoint's bound for a tier, and whether it takes a probe only.
func (s *Scheduler) part(e *endpoint, urgent bool) (part float64, probe bool) {
	if !e.eligible() || e.alone {
		return 0, false
	}
	part, probe = e.avail.Part(s.now)
	if s.warm {
		if !urgent {
			return 0, false
		}
		part *= warmPart
	}
	return part, probe
}

// rank places an endpoint in the rankings of its classes after any change of its state.
func (s *Scheduler) rank(e *endpoint) {
	s.wakeEndpoint(e)
	part, probe := s.part(e, true)
	room := part > 0 && e.limit.Fits(nominalTokens, e.extra, part, 1)
	if probe && len(e.runs) > 0 {
		room = false
	}
	if !room {
		for _, c := range e.classes {
			c.ranking.Remove(e.Name)
		}
		return
	}
	score := e.limit.Load(e.extra)/part + pendingRank*float64(e.pending)/e.speed.Prefill() + nominalTokens*e.speed.Gap().Seconds()
	if !e.limit.Fits(nominalTokens, e.extra, part, 0) {
		score += headroomRank
	}
	for _, c := range e.classes {
		c.ranking.Set(e.Name, score)
	}
}

// wakeEndpoint sets a timer for the next change of availability that happens by itself.
func (s *Scheduler) wakeEndpoint(e *endpoint) {
	next, ok := e.avail.Next(s.now)
	if e.wake != nil {
		if ok && e.wake.Value.at <= next && e.wake.Value.at > s.now {
			return
		}
		s.stop(e.wake)
		e.wake = nil
	}
	if ok {
		e.wake = s.at(next, func() {
			e.wake = nil
			s.rank(e)
		})
	}
}

// listHosts applies the platform's list. A list that is old, or older than the last one, only takes endpoints away.
func (s *Scheduler) listHosts(l HostsListed) {
	at := s.now - max(l.Age, 0)
	fresh := l.Age <= maxListAge && (!s.listed || at >= s.listedAt)
	live := make(map[string]bool, len(l.Live))
	for _, n := range l.Live {
		live[n] = true
	}
	leaving := make(map[string]bool, len(l.Leaving))
	for _, n := range l.Leaving {
		leaving[n] = true
	}
	for _, e := range s.order {
		present := live[e.Name] || leaving[e.Name]
		if leaving[e.Name] {
			e.leaving = true
		} else if fresh {
			e.leaving = false
		}
		switch {
		case !present && e.listed && (fresh || !s.listed):
			e.listed = false
			s.prefixes.Forget(e.Name)
		case present && fresh:
			e.listed = true
		}
		s.rank(e)
	}
	if fresh {
		s.listed, s.listedAt = true, at
	}
}

// failEndpoint acts on a sign of failure, and on a crash marks the requests that ran there.
func (s *Scheduler) failEndpoint(f EndpointFailed) {
	e := s.endpoint(f.Endpoint)
	if e.avail.Fail(s.now, f.Cause == FailureRefused, s.rng) {
		s.emit(Decision{Verb: "eject", Endpoint: e.Name, Reason: "failed: " + string(f.Cause)})
	}
	if f.Cause != FailureRefused {
		s.suspectRuns(e, f)
	}
	s.rank(e)
}

// suspectRuns marks the fingerprints of the runs named and, when connections were reset, of all runs at the endpoint.
func (s *Scheduler) suspectRuns(e *endpoint, f EndpointFailed) {
	hit := make(map[*request]struct{})
	var prints []string
	for _, id := range f.RequestIDs {
		if r := s.requests[id]; r != nil {
			hit[r] = struct{}{}
			continue
		}
		for _, r := range s.ended {
			if r.id == id && r.endpoint == e.Name {
				prints = append(prints, r.print)
			}
		}
	}
	for r := range e.runs {
		if r.state == running && f.Cause == FailureReset {
			hit[r] = struct{}{}
		}
	}
	for _, r := range sorted(hit) {
		prints = append(prints, r.d.Fingerprint)
	}
	for _, fp := range prints {
		if fp == "" {
			continue
		}
		s.quarantine.Crashed(s.now, fp, e.Name)
		s.emit(Decision{Verb: "quarantine", Endpoint: e.Name, Reason: "ran at a failed endpoint: " + fp})
		if p := s.prints[fp]; p != nil {
			for _, r := range p.sortedWaiting() {
				s.reassign(r)
			}
		}
	}
}

// reportLoad corrects drift: runs that the endpoint reports beyond those known here, allowing for those that ended
// since the report was made. Reports that show less change nothing, since they may be stale.
func (s *Scheduler) reportLoad(l LoadReported) {
	e := s.endpoints[l.Endpoint]
	if e == nil || l.Age > maxReportAge {
		return
	}
	e.limit.ObserveQueue(l.Running, l.Waiting)
	known, _ := e.limit.Used()
	for _, at := range e.recentEnded {
		if at >= s.now-l.Age-time.Second {
			known++
		}
	}
	extra := max(l.Running+l.Waiting-known, 0)
	// The mean of the old and the new value ignores a single odd report; it reaches zero after a few good ones.
	e.extra = (e.extra + extra) / 2
	s.rank(e)
}
