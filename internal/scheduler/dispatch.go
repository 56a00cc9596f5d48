package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/placer"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
	"github.com/dragonflycroft/dragonflycroft/internal/tracker"
)

const (
	// longPromptTokens is the prompt length from which a request waits in longPromptLane.
	longPromptTokens = 2048
	// defaultFirstTokenTarget applies when no tier has a first-token target.
	defaultFirstTokenTarget = 740 * time.Millisecond
	// maxIsolatedFraction is the maximum fraction of the endpoints that are isolated for suspect requests at a time. One
	// endpoint is always allowed.
	maxIsolatedFraction = 0.125
	// maxAffinityWait is the maximum time for which a request is pinned to a busy endpoint that has its prefix cached, and
	// maxPinnedRequests the maximum number of requests pinned to one endpoint.
	maxAffinityWait   = 2 * time.Second
	maxPinnedRequests = 4
	// maxOldestExamined is the maximum number of the oldest requests of an aged tier that one decision examines.
	maxOldestExamined = 8
	// infeasibleGracePeriod is the wait up to which a request does not count as infeasible, whatever its prediction.
	infeasibleGracePeriod = 100 * time.Millisecond
	// onTimeFraction of the first-token target, less the mean time to first token, is how long a request may wait and still
	// count as on time. The limit is never below minOnTimeFraction of the target.
	onTimeFraction, minOnTimeFraction = 0.9, 0.15
)

// dispatch grants waiting requests until no more of them can be placed.
func (s *Scheduler) dispatch() {
	if s.waitingCount == 0 || s.config == nil {
		return
	}
	s.placer.HeadroomOpen, s.placer.Target = s.headroomOpen(), s.firstTokenTarget()
	s.dispatchSuspects()
	s.dispatchPinned()
	blocked := make(map[*lane]int) // tiers of this order and lower tiers are blocked
	for s.dispatchOne(blocked) {
	}
}

// dispatchOne grants one request. It returns false if no request can be placed.
func (s *Scheduler) dispatchOne(blocked map[*lane]int) bool {
	for _, t := range s.tiers {
		var oldest time.Duration
		if n := t.byArrival.Min(); n != nil {
			oldest = s.now - n.Value.arrivedAt
		}
		s.shares.SetBacklog(t.Order, t.waiting > 0 && !s.gate.Closed(t.Order), oldest)
	}
	s.placer.HeadroomOpen = s.headroomOpen()
	if aged, ok := s.shares.AgedTier(); ok && s.dispatchOldest(aged) {
		return true
	}
	orders := s.shares.Order(s.now, nil)
	for i, order := range orders {
		if s.dispatchTier(order, orders[i:], blocked) {
			return true
		}
	}
	return s.dispatchInfeasible(orders, blocked)
}

// dispatchOldest grants the oldest request of a tier, leaving out held, infeasible and suspect ones. It reports whether it did.
func (s *Scheduler) dispatchOldest(order int) bool {
	for _, t := range s.tiers {
		if t.Order != order {
			continue
		}
		for _, r := range t.byArrival.Least(nil, maxOldestExamined) {
			if r.held || r.lane.kind >= infeasibleLane {
				continue
			}
			e, wait, obstacle := s.place(r)
			if wait || obstacle != placer.None {
				return false
			}
			s.grant(r, e)
			return true
		}
	}
	return false
}

// dispatchInfeasible grants a request that will probably miss its deadline, if nothing else waits. A request predicted to
// end too late gets an idle endpoint only: its prefill is probably wasted, and it must not slow down other runs.
func (s *Scheduler) dispatchInfeasible(orders []int, blocked map[*lane]int) bool {
	if len(blocked) > 0 {
		return false
	}
	for _, order := range orders {
		for {
			l, r := s.head(order, blocked, infeasibleLane)
			if r == nil {
				break
			}
			if s.mayShed(order) && s.infeasible(r) {
				s.refuse(r, RefuseDeadline, s.retryAfter())
				continue
			}
			e, wait, obstacle := s.place(r)
			if !wait && obstacle == placer.None && (!s.infeasible(r) || e.Runs() == 0) {
				s.grant(r, e)
				return true
			}
			blocked[l] = order
		}
	}
	return false
}

// dispatchTier grants one request of the tier with the given order and reports whether it did. It blocks lanes whose next
// request cannot be placed, for this tier and for the remaining ones.
func (s *Scheduler) dispatchTier(order int, remaining []int, blocked map[*lane]int) bool {
	var noProbeLanes map[*lane]int // lanes whose next request is too large for a probe
	for {
		l, r := s.head(order, blocked, shortPromptLane, longPromptLane)
		if r == nil && !s.hasWork(order, noProbeLanes, shortPromptLane, longPromptLane) {
			l, r = s.head(order, blocked, lateLane)
		}
		if r == nil {
			return false
		}
		if kind := s.timelinessLane(r); kind > l.kind && kind >= lateLane {
			if s.mayShed(order) && s.infeasible(r) {
				s.refuse(r, RefuseDeadline, s.retryAfter())
			} else {
				s.reassign(r)
			}
			continue
		}
		e, wait, obstacle := s.place(r)
		if wait {
			s.pin(r, e)
			continue
		}
		switch obstacle {
		case placer.None:
			s.grant(r, e)
			return true
		case placer.NoOtherEndpoint:
			s.holdDuplicate(r)
		case placer.NoProbe:
			if noProbeLanes == nil {
				noProbeLanes = make(map[*lane]int)
			}
			noProbeLanes[l], blocked[l] = order, order
		default:
			s.blockLanes(blocked, l, order, slices.Min(remaining), obstacle)
		}
	}
}

// blockLanes keeps lower tiers from taking the capacity for which a higher tier waits. While a tier is flooded, tiers are
// served by share; higher tiers that come later in that sequence are then blocked too, from firstOrder on. A request that
// only waits for other prefills does not block the other lanes, unless such a higher tier remains.
func (s *Scheduler) blockLanes(blocked map[*lane]int, l *lane, order, firstOrder int, obstacle placer.Obstacle) {
	for _, other := range []*lane{l.class.lanes[shortPromptLane], l.class.lanes[longPromptLane], l.class.lanes[lateLane]} {
		if other != l && obstacle == placer.NoPrefillRoom && firstOrder == order {
			continue
		}
		if at, ok := blocked[other]; !ok || firstOrder < at {
			blocked[other] = firstOrder
		}
	}
}

// hasWork reports whether a tier has a request in a lane of the given kinds, other than the excluded lanes.
func (s *Scheduler) hasWork(order int, excluded map[*lane]int, kinds ...laneKind) bool {
	_, r := s.head(order, excluded, kinds...)
	return r != nil
}

// head returns the next request of a tier, and its lane, over all unblocked lanes of the given kinds.
func (s *Scheduler) head(order int, blocked map[*lane]int, kinds ...laneKind) (*lane, *request) {
	var best *lane
	var next *request
	minTag := 0.0
	for _, c := range s.classes {
		for _, k := range kinds {
			l := c.lanes[k]
			if at, ok := blocked[l]; ok && order >= at {
				continue
			}
			e, tag, ok := l.queue.Head(order)
			if ok && (best == nil || tag < minTag) {
				best, next, minTag = l, e.Value, tag
			}
		}
	}
	return best, next
}

// firstTokenTarget returns the strictest first-token target.
func (s *Scheduler) firstTokenTarget() time.Duration {
	if d := s.latencyTargets().FirstToken; d > 0 {
		return d
	}
	return defaultFirstTokenTarget
}

// placementJob returns the description of a request that the placer needs.
func (s *Scheduler) placementJob(r *request) placer.Job {
	near := s.freshEndpoints(r)
	prompt := r.desc.PromptTokens
	if s.isServicePool() {
		prompt = 0
	}
	return placer.Job{
		Tokens: r.estimatedTokens, Prompt: prompt, Output: r.outputEstimate, Blocks: r.desc.PrefixBlocks, Zone: r.desc.Zone,
		Urgent: r.tier.urgent, PlainService: s.isServicePool(), NonRepeatable: s.isServicePool() && !r.desc.Idempotent,
		Required: near, RequiredOnly: len(near) >= quarantiner.MaxUnprovenEndpoints,
	}
}

// place chooses the endpoint for a request. If wait is true, the request should be pinned to the endpoint, which is busy and
// has a long prefix of the prompt cached. Urgent requests are not pinned.
func (s *Scheduler) place(r *request) (e *endpoint, wait bool, obstacle placer.Obstacle) {
	c := s.placer.Choose(s.now, s.placementJob(r), r.lane.class.Class)
	if c.Busy != nil && !r.tier.urgent && !r.wasPinned {
		if e = s.ensureEndpoint(c.Busy.Name); len(e.pinnedRequests) < maxPinnedRequests {
			return e, true, placer.None
		}
	}
	if c.Endpoint == nil {
		return nil, false, c.Obstacle
	}
	return s.ensureEndpoint(c.Endpoint.Name), false, placer.None
}

// pin makes a request wait for one endpoint, for maxAffinityWait at most.
func (s *Scheduler) pin(r *request, e *endpoint) {
	s.unassign(r)
	r.held, r.pinnedTo, r.wasPinned = true, e, true
	e.pinnedRequests = append(e.pinnedRequests, r)
	if len(e.pinnedRequests) == 1 {
		s.pinnedEndpoints = append(s.pinnedEndpoints, e)
	}
	r.timer = s.timers.At(s.now+maxAffinityWait, func() {
		r.timer = nil
		s.reassign(r)
	})
}

// dispatchPinned grants pinned requests for which their endpoint has capacity. They were next in order when they were
// pinned, so only waiting urgent requests take precedence.
func (s *Scheduler) dispatchPinned() {
	for _, e := range slices.Clone(s.pinnedEndpoints) {
		for _, r := range slices.Clone(e.pinnedRequests) {
			if s.gate.Closed(r.tier.Order) || (s.tiers[0].urgent && s.tiers[0].waiting > 0 && !s.headroomOpen()) {
				continue
			}
			if j := s.placementJob(r); len(j.Required) == 0 && s.placer.Fits(s.now, j, e.Endpoint) {
				s.grant(r, e)
			}
		}
	}
}

// unpin removes the pin of a request, if any.
func (s *Scheduler) unpin(r *request) {
	e := r.pinnedTo
	if e == nil {
		return
	}
	r.pinnedTo = nil
	s.timers.Stop(r.timer)
	r.timer = nil
	e.pinnedRequests = slices.DeleteFunc(e.pinnedRequests, func(o *request) bool { return o == r })
	if len(e.pinnedRequests) == 0 {
		s.pinnedEndpoints = slices.DeleteFunc(s.pinnedEndpoints, func(o *endpoint) bool { return o == e })
	}
}

// freshEndpoints returns the endpoints that run the fingerprint of a request, if no run of that fingerprint has finished yet.
func (s *Scheduler) freshEndpoints(r *request) []*tracker.Endpoint {
	running := s.fingerprints.Get(r.desc.Fingerprint).Running()
	if len(running) == 0 {
		return nil
	}
	if v, _ := s.quarantine.Status(s.now, r.desc.Fingerprint); v != quarantiner.Unproven {
		return nil
	}
	return endpointsOf(running)
}

// headroomOpen reports whether all tiers may use the headroom for urgent work. That is so while the most urgent tier is
// flooded: reserving headroom for it would only keep the other tiers from their shares.
func (s *Scheduler) headroomOpen() bool {
	return len(s.tiers) > 0 && s.tiers[0].urgent && s.shares.Flooded(s.tiers[0].Order)
}

// grant books a waiting request at an endpoint, charges its caller and emits the Grant.
func (s *Scheduler) grant(r *request, e *endpoint) {
	j := s.placementJob(r)
	uncached, firstToken := s.placer.Uncached(j, e.Endpoint), s.placer.FirstToken(j, e.Endpoint)
	s.dequeue(r)
	_, probe := e.Avail.UsableShare(s.now)
	if probe {
		e.Avail.RecordProbe(s.now)
	}
	r.state, r.reportedWaiting = granted, false
	if !s.isServicePool() && s.placer.IsLongPrefill(e.Endpoint, uncached) {
		r.longPrefill = true
		e.LongPrefills++
		s.placer.LongPrefills++
	}
	s.acquire(r, e, uncached)
	s.prefixes.RecordDispatch(e.Name, r.desc.PrefixBlocks)
	r.charged = float64(uncached + r.outputEstimate)
	if s.isServicePool() {
		r.charged = 1
	}
	s.accounts.Charge(r.tier.Order, r.desc.Workspace, r.desc.Caller, r.charged)
	s.shares.RecordService(s.now, r.tier.Order, float64(r.estimatedTokens), r.charged)
	r.timer = s.timers.At(s.now+s.opts.GrantTTL+grantExpiryMargin, func() { s.expireGrant(r) })
	s.emit(Grant{Host: r.host, RequestID: r.id, Endpoint: e.Name, TTL: s.opts.GrantTTL})
	reason := fmt.Sprintf("waited %dms, prefill %d of %d tokens, first token predicted in %dms",
		(s.now - r.arrivedAt).Milliseconds(), uncached, r.desc.PromptTokens, firstToken.Milliseconds())
	switch {
	case r.isolated:
		reason += ", alone"
	case probe:
		reason += ", probe"
	}
	s.emitDecision("grant", r, e.Name, reason)
}

// dispatchSuspects grants suspect requests to endpoints without other runs. It reserves an endpoint for them first, so that a
// busy one receives no new work and becomes idle.
func (s *Scheduler) dispatchSuspects() {
	limit := max(1, int(maxIsolatedFraction*float64(len(s.table.All()))))
	for _, c := range s.classes {
		l := c.lanes[suspectLane]
		if l.queue.Len() == 0 {
			s.unreserve(c)
			continue
		}
		for _, t := range s.tiers {
			for !s.gate.Closed(t.Order) && s.placeSuspect(l, t.Order, limit) {
			}
		}
	}
}

// placeSuspect grants or holds the next request of a suspect lane. It returns false if the request has to wait; limit is the
// maximum number of isolated endpoints.
func (s *Scheduler) placeSuspect(l *lane, order, limit int) bool {
	entry, _, ok := l.queue.Head(order)
	if !ok || s.table.WarmingUp() {
		return false
	}
	r := entry.Value
	if len(s.fingerprints.Get(r.desc.Fingerprint).Running()) > 0 {
		s.holdDuplicate(r)
		return true
	}
	e := s.reservedEndpoint(l.class)
	if e == nil {
		if s.isolatedCount >= limit {
			return false
		}
		if e = s.reserve(l.class); e == nil {
			return false
		}
	}
	if e.Runs() > 0 {
		return false
	}
	e.reservedFor, l.class.reservedEndpoint = nil, nil
	r.isolated = true
	s.grant(r, e)
	return true
}
