package scheduler

import (
	"slices"

	"github.com/dragonflycroft/dragonflycroft/internal/queuer"
	"github.com/dragonflycroft/dragonflycroft/internal/tracker"
)

// endpoint is an endpoint with the requests that run there or wait for it.
type endpoint struct {
	*tracker.Endpoint
	runs     map[*request]struct{}
	pins     []*request // wait for this endpoint
	reserved *class     // whose suspects the endpoint is being emptied for
	struck   []string   // fingerprints made suspect by its latest failure
}

// class is a model and adapter with its waiting requests.
type class struct {
	*tracker.Class
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
	// infeasibleLane holds requests whose caller will give up before the answer ends. They run only when nothing else
	// waits, since their prefill would be wasted.
	infeasibleLane
	suspectLane
	laneKinds
)

type lane struct {
	class *class
	kind  laneKind
	queue *queuer.Queue[*request]
}

// classOf returns the class that serves a request, or nil when the configuration has no endpoint for it.
func (s *Scheduler) classOf(d Descriptor) *class {
	key, created := s.table.Class(s.now, d.Model, d.Adapter)
	if key == nil || !created {
		return s.classByKey[key]
	}
	c := &class{Class: key}
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
	return c
}

// endpoint returns the endpoint of a name; one that is not configured is only accounted for.
func (s *Scheduler) endpoint(name string) *endpoint {
	e := s.endpoints[name]
	if e == nil {
		e = &endpoint{Endpoint: s.table.Ensure(name), runs: make(map[*request]struct{})}
		s.endpoints[name] = e
	}
	return e
}

// rank makes a change of the endpoint's state known to placement.
func (s *Scheduler) rank(e *endpoint) { s.table.Rank(s.now, e.Endpoint) }

func (s *Scheduler) configureEndpoints() {
	keep := func(t *tracker.Endpoint) bool {
		e := s.endpoints[t.Name]
		return e != nil && len(e.runs)+len(e.pins) > 0
	}
	for _, t := range s.table.Configure(s.now, s.pool, s.config.Endpoints, s.targets(), keep) {
		s.prefixes.Forget(t.Name)
		if e := s.endpoints[t.Name]; e != nil && e.reserved != nil {
			s.unreserve(e.reserved)
		}
		delete(s.endpoints, t.Name)
	}
}

// listHosts applies the platform's list.
func (s *Scheduler) listHosts(l HostsListed) {
	for _, t := range s.table.List(s.now, l.Age, l.Live, l.Leaving) {
		s.prefixes.Forget(t.Name)
	}
}

// failEndpoint acts on a sign of failure, and on a crash marks the requests that ran there.
func (s *Scheduler) failEndpoint(f EndpointFailed) {
	e := s.endpoint(f.Endpoint)
	if e.Avail.Fail(s.now, f.Cause == FailureRefused, s.rng) {
		s.emit(Decision{Verb: "eject", Endpoint: e.Name, Reason: "failed: " + string(f.Cause)})
		e.struck = nil
	}
	if f.Cause != FailureRefused {
		s.suspectRuns(e, f)
	}
	s.rank(e)
}

// suspectRuns marks the fingerprints of the runs named and, when connections were reset, of all runs at the endpoint.
func (s *Scheduler) suspectRuns(e *endpoint, f EndpointFailed) {
	hit := make(map[*request]struct{})
	var broken []endedRun
	for _, id := range f.RequestIDs {
		if r := s.requests[id]; r != nil {
			hit[r] = struct{}{}
			continue
		}
		for _, r := range s.ended {
			if r.id == id && r.endpoint == e.Name {
				broken = append(broken, r)
			}
		}
	}
	for r := range e.runs {
		if r.state == running && f.Cause == FailureReset {
			hit[r] = struct{}{}
		}
	}
	for _, r := range sorted(hit) {
		broken = append(broken, endedRun{r.id, e.Name, r.d.Fingerprint, r.startedAt})
	}
	for _, r := range broken {
		fp := r.print
		if fp == "" {
			continue
		}
		s.quarantine.Crashed(s.now, fp, e.Name, r.startedAt)
		e.struck = append(e.struck, fp)
		s.emit(Decision{Verb: "quarantine", Endpoint: e.Name, Reason: "ran at a failed endpoint: " + fp})
		s.shareSuspect(fp)
		s.reassignPrint(fp)
	}
}

// proveAlive takes back a sign of failure, with the suspects that it made, when a run that began before it progresses.
// Single connections may go silent while the endpoint works.
func (s *Scheduler) proveAlive(e *endpoint, r *request) {
	if !e.ProveAlive(s.now, r.startedAt) {
		return
	}
	for _, fp := range e.struck {
		s.quarantine.Absolve(fp, e.Name)
		s.shareSuspect(fp)
		s.reassignPrint(fp)
	}
	e.struck = nil
}

func (s *Scheduler) shareSuspect(fp string) {
	count, refused := s.quarantine.Crashes(s.now, fp)
	s.emit(ShareSuspect{Suspect{Fingerprint: fp, Crashes: count, RefusedFor: refused}})
}

// reassignPrint applies a change of what is known of a fingerprint to its waiting requests.
func (s *Scheduler) reassignPrint(fp string) {
	for _, r := range s.prints.Get(fp).Waiting() {
		s.reassign(r)
	}
}

// review looks for endpoints that are slower than their peers or make no progress at all.
func (s *Scheduler) review() {
	if s.now >= s.nextSweep {
		s.nextSweep = s.now + sweepInterval
		s.accounts.Sweep()
	}
	if s.now < s.nextReview || s.service() || s.config == nil {
		return
	}
	s.nextReview = s.now + reviewInterval
	for _, out := range s.table.Review(s.now, s.limits.MaxEjectedShare, s.rng) {
		s.emit(Decision{Verb: "eject", Endpoint: out.Endpoint, Reason: out.Reason})
	}
}

// reserve stops new work at the endpoint of a class with the fewest runs. One that has still to prove itself is the last
// choice: it may be the only one of the class, with no other request to prove it.
func (s *Scheduler) reserve(c *class) *endpoint {
	var best *tracker.Endpoint
	for _, e := range s.table.All() {
		if !s.takesSuspects(e) || e.Alone || !e.Serves(c.Class) {
			continue
		}
		if best == nil || e.Avail.Open(s.now) && !best.Avail.Open(s.now) ||
			e.Avail.Open(s.now) == best.Avail.Open(s.now) && e.Runs() < best.Runs() {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	e := s.endpoint(best.Name)
	e.Alone, e.reserved, c.reserved = true, c, e
	s.alone++
	s.rank(e)
	return e
}

func (s *Scheduler) unreserve(c *class) {
	e := c.reserved
	c.reserved = nil
	if e == nil || e.reserved != c {
		return
	}
	e.reserved, e.Alone = nil, false
	s.alone--
	s.rank(e)
}

func (s *Scheduler) takesSuspects(e *tracker.Endpoint) bool {
	part, _ := e.Avail.Part(s.now)
	return part > 0 && e.Eligible()
}

// reservedFor returns the endpoint that is being emptied for the suspects of a class.
func (s *Scheduler) reservedFor(c *class) *endpoint {
	if c.reserved != nil && (c.reserved.reserved != c || !s.takesSuspects(c.reserved.Endpoint)) {
		s.unreserve(c)
	}
	return c.reserved
}

// endpointsOf returns the distinct endpoints of some requests.
func endpointsOf(active []*request) []*tracker.Endpoint {
	var found []*tracker.Endpoint
	for _, r := range active {
		if r.endpoint != nil && !slices.Contains(found, r.endpoint.Endpoint) {
			found = append(found, r.endpoint.Endpoint)
		}
	}
	return found
}
