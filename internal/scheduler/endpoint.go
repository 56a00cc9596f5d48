package scheduler

import (
	"slices"

	"github.com/dragonflycroft/dragonflycroft/internal/queuer"
	"github.com/dragonflycroft/dragonflycroft/internal/tracker"
)

// endpoint is a tracked endpoint with its granted, running and pinned requests.
type endpoint struct {
	*tracker.Endpoint
	runs                map[*request]struct{}
	pinnedRequests      []*request // requests that wait for this endpoint
	reservedFor         *class     // class for whose suspects the endpoint is being emptied
	suspectFingerprints []string   // fingerprints marked suspect because of the latest failure
}

// class holds the waiting requests for one model and adapter.
type class struct {
	*tracker.Class
	lanes            [laneKindCount]*lane
	reservedEndpoint *endpoint
}

type laneKind int

const (
	shortPromptLane laneKind = iota
	// longPromptLane holds long prompts separately: while they wait for a long-prefill slot, they must not block short ones.
	longPromptLane
	// lateLane holds requests that are predicted to miss their first-token target. They are served after those that can
	// still meet it: under overload, serving the oldest first would make every request miss its target.
	lateLane
	// infeasibleLane holds requests whose deadline is predicted to pass before the answer is complete. They run only when
	// nothing else waits, since their prefill would probably be wasted.
	infeasibleLane
	// suspectLane holds requests that ran at an endpoint when it failed. Each runs alone on an endpoint.
	suspectLane
	laneKindCount
)

// lane is one of the queues of a class.
type lane struct {
	class *class
	kind  laneKind
	queue *queuer.Queue[*request]
}

// classOf returns the class of a request's model and adapter, or nil if no configured endpoint serves it.
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
			s.setParked(name, true)
		}
	}
	return c
}

// ensureEndpoint returns the endpoint with the given name and creates it if necessary. An endpoint that is not configured
// receives no work; only its runs are counted.
func (s *Scheduler) ensureEndpoint(name string) *endpoint {
	e := s.endpoints[name]
	if e == nil {
		e = &endpoint{Endpoint: s.table.GetOrAdd(name), runs: make(map[*request]struct{})}
		s.endpoints[name] = e
	}
	return e
}

// updateRank updates the placement rank of an endpoint after a change of its state.
func (s *Scheduler) updateRank(e *endpoint) { s.table.UpdateRank(s.now, e.Endpoint) }

func (s *Scheduler) configureEndpoints() {
	inUse := func(t *tracker.Endpoint) bool {
		e := s.endpoints[t.Name]
		return e != nil && len(e.runs)+len(e.pinnedRequests) > 0
	}
	for _, t := range s.table.Configure(s.now, s.pool, s.config.Endpoints, s.latencyTargets(), inUse) {
		s.prefixes.RemoveEndpoint(t.Name)
		if e := s.endpoints[t.Name]; e != nil && e.reservedFor != nil {
			s.unreserve(e.reservedFor)
		}
		delete(s.endpoints, t.Name)
	}
}

// applyHostList applies the platform's host list.
func (s *Scheduler) applyHostList(l HostsListed) {
	for _, t := range s.table.ApplyHostList(s.now, l.Age, l.Live, l.Leaving) {
		s.prefixes.RemoveEndpoint(t.Name)
	}
}

// recordEndpointFailure ejects a failed endpoint. Unless the connection was refused, it also marks the affected runs as
// suspect.
func (s *Scheduler) recordEndpointFailure(f EndpointFailed) {
	e := s.ensureEndpoint(f.Endpoint)
	if e.Avail.RecordFailure(s.now, f.Cause == FailureRefused, s.rng) {
		s.emit(Decision{Verb: "eject", Endpoint: e.Name, Reason: "failed: " + string(f.Cause)})
		e.suspectFingerprints = nil
	}
	if f.Cause != FailureRefused {
		s.markRunsSuspect(e, f)
	}
	s.updateRank(e)
}

// markRunsSuspect marks the fingerprints of the reported runs as suspect, and after a connection reset those of all runs at
// the endpoint.
func (s *Scheduler) markRunsSuspect(e *endpoint, f EndpointFailed) {
	affected := make(map[*request]struct{})
	var interrupted []incompleteRun
	for _, id := range f.RequestIDs {
		if r := s.requests[id]; r != nil {
			affected[r] = struct{}{}
			continue
		}
		for _, r := range s.incompleteRuns {
			if r.id == id && r.endpoint == e.Name {
				interrupted = append(interrupted, r)
			}
		}
	}
	for r := range e.runs {
		if r.state == running && f.Cause == FailureReset {
			affected[r] = struct{}{}
		}
	}
	for _, r := range sortedBySeq(affected) {
		interrupted = append(interrupted, incompleteRun{r.id, e.Name, r.desc.Fingerprint, r.startedAt})
	}
	for _, r := range interrupted {
		fp := r.fingerprint
		if fp == "" {
			continue
		}
		s.quarantine.RecordCrash(s.now, fp, e.Name, r.startedAt)
		e.suspectFingerprints = append(e.suspectFingerprints, fp)
		s.emit(Decision{Verb: "quarantine", Endpoint: e.Name, Reason: "ran at a failed endpoint: " + fp})
		s.shareSuspect(fp)
		s.reassignFingerprint(fp)
	}
}

// retractFailure cancels a reported failure and the suspect marks that it caused when a run that started before the failure
// makes progress. A single connection may go silent while the endpoint still works.
func (s *Scheduler) retractFailure(e *endpoint, r *request) {
	if !e.ClearFailure(s.now, r.startedAt) {
		return
	}
	for _, fp := range e.suspectFingerprints {
		s.quarantine.RetractCrash(fp, e.Name)
		s.shareSuspect(fp)
		s.reassignFingerprint(fp)
	}
	e.suspectFingerprints = nil
}

// shareSuspect emits the current crash count of a fingerprint to all entry hosts.
func (s *Scheduler) shareSuspect(fp string) {
	count, refused := s.quarantine.Crashes(s.now, fp)
	s.emit(ShareSuspect{Suspect{Fingerprint: fp, Crashes: count, RefusedFor: refused}})
}

// reassignFingerprint reassigns the waiting requests of a fingerprint after its quarantine status may have changed.
func (s *Scheduler) reassignFingerprint(fp string) {
	for _, r := range s.fingerprints.Get(fp).Waiting() {
		s.reassign(r)
	}
}

// runPeriodicChecks removes unused accounts and ejects endpoints that are slower than their peers or make no progress.
func (s *Scheduler) runPeriodicChecks() {
	if s.now >= s.nextAccountSweep {
		s.nextAccountSweep = s.now + accountSweepInterval
		s.accounts.Sweep()
	}
	if s.now < s.nextOutlierCheck || s.isServicePool() || s.config == nil {
		return
	}
	s.nextOutlierCheck = s.now + outlierCheckInterval
	for _, ejection := range s.table.EjectUnhealthy(s.now, s.limits.MaxEjectedShare, s.rng) {
		s.emit(Decision{Verb: "eject", Endpoint: ejection.Endpoint, Reason: ejection.Reason})
	}
}

// reserve reserves the endpoint of a class with the fewest runs for suspect requests, so that it receives no other work. An
// endpoint that is recovering from an ejection is the last choice; it is allowed since it may be the only one of the class,
// with no other request that could complete its probe.
func (s *Scheduler) reserve(c *class) *endpoint {
	var best *tracker.Endpoint
	for _, e := range s.table.All() {
		if !s.acceptsSuspects(e) || e.Reserved || !e.Serves(c.Class) {
			continue
		}
		if best == nil || e.Avail.FullyAvailable(s.now) && !best.Avail.FullyAvailable(s.now) ||
			e.Avail.FullyAvailable(s.now) == best.Avail.FullyAvailable(s.now) && e.Runs() < best.Runs() {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	e := s.ensureEndpoint(best.Name)
	e.Reserved, e.reservedFor, c.reservedEndpoint = true, c, e
	s.isolatedCount++
	s.updateRank(e)
	return e
}

// unreserve releases the endpoint reserved for a class, if any.
func (s *Scheduler) unreserve(c *class) {
	e := c.reservedEndpoint
	c.reservedEndpoint = nil
	if e == nil || e.reservedFor != c {
		return
	}
	e.reservedFor, e.Reserved = nil, false
	s.isolatedCount--
	s.updateRank(e)
}

func (s *Scheduler) acceptsSuspects(e *tracker.Endpoint) bool {
	part, _ := e.Avail.UsableShare(s.now)
	return part > 0 && e.Eligible()
}

// reservedEndpoint returns the endpoint reserved for the suspects of a class, or nil. It first drops a reservation that is no
// longer valid.
func (s *Scheduler) reservedEndpoint(c *class) *endpoint {
	if c.reservedEndpoint != nil && (c.reservedEndpoint.reservedFor != c || !s.acceptsSuspects(c.reservedEndpoint.Endpoint)) {
		s.unreserve(c)
	}
	return c.reservedEndpoint
}

// endpointsOf returns the distinct endpoints of requests.
func endpointsOf(requests []*request) []*tracker.Endpoint {
	var endpoints []*tracker.Endpoint
	for _, r := range requests {
		if r.endpoint != nil && !slices.Contains(endpoints, r.endpoint.Endpoint) {
			endpoints = append(endpoints, r.endpoint.Endpoint)
		}
	}
	return endpoints
}
