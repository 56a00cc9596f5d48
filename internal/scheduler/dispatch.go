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
	// longPrompt is the prompt length from which a request waits in the lane of long prefills.
	longPrompt = 2048
	// defaultFirstToken stands in when no tier has a first-token target.
	defaultFirstToken = 740 * time.Millisecond
	// suspectPart bounds the endpoints that are kept for suspect requests at a time.
	suspectPart = 0.125
	// affinityWait bounds the wait for a busy endpoint with the prefix, and maxPins the requests that wait for one.
	affinityWait = 2 * time.Second
	maxPins      = 4
	// oldestTried bounds the oldest requests that one aged decision examines.
	oldestTried = 8
	// freshWait is the wait below which a request runs even if its caller is predicted to give up first.
	freshWait = 100 * time.Millisecond
	// onTimePart of the first-token target may pass until the predicted first token of a request that counts as in time,
	// and minOnTimePart may pass in any case.
	onTimePart, minOnTimePart = 0.9, 0.15
)

// dispatch grants waiting requests until no more fit.
func (s *Scheduler) dispatch() {
	if s.waiting == 0 || s.config == nil {
		return
	}
	s.placer.Open, s.placer.Target = s.headroomOpen(), s.promptTarget()
	s.dispatchSuspects()
	s.dispatchPinned()
	blocked := make(map[*lane]int) // tiers of this order and below are blocked
	for s.dispatchOne(blocked) {
	}
}

// dispatchOne grants one request and returns false when nothing more can be placed.
func (s *Scheduler) dispatchOne(blocked map[*lane]int) bool {
	for _, t := range s.tiers {
		var oldest time.Duration
		if n := t.ages.Min(); n != nil {
			oldest = s.now - n.Value.arrived
		}
		s.shares.Backlog(t.Order, t.waiting > 0 && !s.gate.Closed(t.Order), oldest)
	}
	s.placer.Open = s.headroomOpen()
	if aged, ok := s.shares.Aged(); ok && s.dispatchOldest(aged) {
		return true
	}
	tried := s.shares.Order(s.now, nil)
	for i, order := range tried {
		if s.dispatchTier(order, tried[i:], blocked) {
			return true
		}
	}
	return s.dispatchInfeasible(tried, blocked)
}

// dispatchOldest grants the oldest request of a tier that can still be answered.
func (s *Scheduler) dispatchOldest(order int) bool {
	for _, t := range s.tiers {
		if t.Order != order {
			continue
		}
		for _, r := range t.ages.Least(nil, oldestTried) {
			if r.held || r.lane.kind >= infeasibleLane {
				continue
			}
			e, wait, why := s.place(r)
			if wait || why != placer.None {
				return false
			}
			s.grant(r, e)
			return true
		}
	}
	return false
}

// dispatchInfeasible grants a request whose caller will probably give up first, when nothing else waits. One that is
// predicted to end too late takes an idle endpoint only: its prefill is probably wasted, and it must not slow other runs.
func (s *Scheduler) dispatchInfeasible(tried []int, blocked map[*lane]int) bool {
	if len(blocked) > 0 {
		return false
	}
	for _, order := range tried {
		for {
			l, r := s.head(order, blocked, infeasibleLane)
			if r == nil {
				break
			}
			if s.mayShed(order) && s.infeasible(r) {
				s.refuse(r, RefuseDeadline, s.retryAfter())
				continue
			}
			e, wait, why := s.place(r)
			if !wait && why == placer.None && (!s.infeasible(r) || e.Runs() == 0) {
				s.grant(r, e)
				return true
			}
			blocked[l] = order
		}
	}
	return false
}

// dispatchTier grants one request of a tier. Lanes in which its next request has no room are blocked for this tier and
// those that come later in the order.
func (s *Scheduler) dispatchTier(order int, rest []int, blocked map[*lane]int) bool {
	var unproven map[*lane]int // lanes whose next request is too large for the endpoints that have room
	for {
		l, r := s.head(order, blocked, shortLane, longLane)
		if r == nil && !s.waits(order, unproven, shortLane, longLane) {
			l, r = s.head(order, blocked, lateLane)
		}
		if r == nil {
			return false
		}
		if kind := s.timeliness(r); kind > l.kind && kind >= lateLane {
			if s.mayShed(order) && s.infeasible(r) {
				s.refuse(r, RefuseDeadline, s.retryAfter())
			} else {
				s.reassign(r)
			}
			continue
		}
		e, wait, why := s.place(r)
		if wait {
			s.pin(r, e)
			continue
		}
		switch why {
		case placer.None:
			s.grant(r, e)
			return true
		case placer.NoDistinct:
			s.holdDuplicate(r)
		case placer.NoProbe:
			if unproven == nil {
				unproven = make(map[*lane]int)
			}
			unproven[l], blocked[l] = order, order
		default:
			s.block(blocked, l, order, slices.Min(rest), why)
		}
	}
}

// block keeps lower tiers from taking the room for which a higher one waits. In a flood the order follows the shares;
// tiers that come later in it are blocked too, up to the order first. A request that only waits for other prefills lets
// the other lane pass, except in a flood.
func (s *Scheduler) block(blocked map[*lane]int, l *lane, order, first int, why placer.Obstacle) {
	for _, other := range []*lane{l.class.lanes[shortLane], l.class.lanes[longLane], l.class.lanes[lateLane]} {
		if other != l && why == placer.NoPrefillRoom && first == order {
			continue
		}
		if at, ok := blocked[other]; !ok || first < at {
			blocked[other] = first
		}
	}
}

// waits reports whether a tier has work in lanes of the given kinds, apart from some lanes.
func (s *Scheduler) waits(order int, apart map[*lane]int, kinds ...laneKind) bool {
	_, r := s.head(order, apart, kinds...)
	return r != nil
}

// head returns the next request of a tier over all lanes of the given kinds that are not blocked.
func (s *Scheduler) head(order int, blocked map[*lane]int, kinds ...laneKind) (*lane, *request) {
	var best *lane
	var next *request
	least := 0.0
	for _, c := range s.classes {
		for _, k := range kinds {
			l := c.lanes[k]
			if at, ok := blocked[l]; ok && order >= at {
				continue
			}
			e, tag, ok := l.queue.Head(order)
			if ok && (best == nil || tag < least) {
				best, next, least = l, e.Value, tag
			}
		}
	}
	return best, next
}

// promptTarget is the strictest first-token target.
func (s *Scheduler) promptTarget() time.Duration {
	if d := s.targets().FirstToken; d > 0 {
		return d
	}
	return defaultFirstToken
}

// job describes a request to placement.
func (s *Scheduler) job(r *request) placer.Job {
	near := s.freshEndpoints(r)
	prompt := r.d.PromptTokens
	if s.service() {
		prompt = 0
	}
	return placer.Job{
		Tokens: r.tokens, Prompt: prompt, Output: r.output, Blocks: r.d.PrefixBlocks, Zone: r.d.Zone,
		Urgent: r.tier.urgent, Plain: s.service(), Careful: s.service() && !r.d.Idempotent,
		Near: near, Only: len(near) >= quarantiner.MaxFreshEndpoints,
	}
}

// place chooses the endpoint for a request. When wait is true, the request should wait for the endpoint, which is busy and
// holds a long prefix of it. Urgent work does not wait.
func (s *Scheduler) place(r *request) (e *endpoint, wait bool, why placer.Obstacle) {
	c := s.placer.Choose(s.now, s.job(r), r.lane.class.Class)
	if c.Busy != nil && !r.tier.urgent && !r.unpinned {
		if e = s.endpoint(c.Busy.Name); len(e.pins) < maxPins {
			return e, true, placer.None
		}
	}
	if c.Endpoint == nil {
		return nil, false, c.Obstacle
	}
	return s.endpoint(c.Endpoint.Name), false, placer.None
}

// pin lets a request wait for one endpoint, for a bounded time.
func (s *Scheduler) pin(r *request, e *endpoint) {
	s.unassign(r)
	r.held, r.pinned, r.unpinned = true, e, true
	e.pins = append(e.pins, r)
	if len(e.pins) == 1 {
		s.pinned = append(s.pinned, e)
	}
	r.expiry = s.timers.At(s.now+affinityWait, func() {
		r.expiry = nil
		s.reassign(r)
	})
}

// dispatchPinned grants requests to the endpoints for which they wait. They were next in order when they were pinned, so
// only waiting urgent work goes first.
func (s *Scheduler) dispatchPinned() {
	for _, e := range slices.Clone(s.pinned) {
		for _, r := range slices.Clone(e.pins) {
			if s.gate.Closed(r.tier.Order) || (s.tiers[0].urgent && s.tiers[0].waiting > 0 && !s.headroomOpen()) {
				continue
			}
			if j := s.job(r); len(j.Near) == 0 && s.placer.Fits(s.now, j, e.Endpoint) {
				s.grant(r, e)
			}
		}
	}
}

// unpin ends the wait for one endpoint.
func (s *Scheduler) unpin(r *request) {
	e := r.pinned
	if e == nil {
		return
	}
	r.pinned = nil
	s.timers.Stop(r.expiry)
	r.expiry = nil
	e.pins = slices.DeleteFunc(e.pins, func(o *request) bool { return o == r })
	if len(e.pins) == 0 {
		s.pinned = slices.DeleteFunc(s.pinned, func(o *endpoint) bool { return o == e })
	}
}

// freshEndpoints returns the endpoints that run a fingerprint of which no run has finished yet.
func (s *Scheduler) freshEndpoints(r *request) []*tracker.Endpoint {
	active := s.prints.Get(r.d.Fingerprint).Running()
	if len(active) == 0 {
		return nil
	}
	if v, _ := s.quarantine.Verdict(s.now, r.d.Fingerprint); v != quarantiner.Fresh {
		return nil
	}
	return endpointsOf(active)
}

// headroomOpen reports whether the most urgent work is flooded itself; headroom for it would then only keep the other
// tiers from their shares.
func (s *Scheduler) headroomOpen() bool {
	return len(s.tiers) > 0 && s.tiers[0].urgent && s.shares.Flooded(s.tiers[0].Order)
}

// grant gives a request to an endpoint.
func (s *Scheduler) grant(r *request, e *endpoint) {
	j := s.job(r)
	uncached, first := s.placer.Uncached(j, e.Endpoint), s.placer.FirstToken(j, e.Endpoint)
	s.dequeue(r)
	_, probe := e.Avail.Part(s.now)
	if probe {
		e.Avail.Probe(s.now)
	}
	r.state, r.reported = granted, false
	if !s.service() && s.placer.Long(e.Endpoint, uncached) {
		r.long = true
		e.Longs++
		s.placer.Longs++
	}
	s.occupy(r, e, uncached)
	s.prefixes.Dispatched(e.Name, r.d.PrefixBlocks)
	r.charged = float64(uncached + r.output)
	if s.service() {
		r.charged = 1
	}
	s.accounts.Charge(r.tier.Order, r.d.Workspace, r.d.Caller, r.charged)
	s.shares.Serve(s.now, r.tier.Order, float64(r.tokens), r.charged)
	r.expiry = s.timers.At(s.now+s.opts.GrantTTL+grantMargin, func() { s.expire(r) })
	s.emit(Grant{Host: r.host, RequestID: r.id, Endpoint: e.Name, TTL: s.opts.GrantTTL})
	reason := fmt.Sprintf("waited %dms, prefill %d of %d tokens, first token predicted in %dms",
		(s.now - r.arrived).Milliseconds(), uncached, r.d.PromptTokens, first.Milliseconds())
	switch {
	case r.alone:
		reason += ", alone"
	case probe:
		reason += ", probe"
	}
	s.decide("grant", r, e.Name, reason)
}

// dispatchSuspects grants suspect requests to endpoints without neighbours. An endpoint is emptied for them if none is
// idle.
func (s *Scheduler) dispatchSuspects() {
	limit := max(1, int(suspectPart*float64(len(s.table.All()))))
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

func (s *Scheduler) placeSuspect(l *lane, order, limit int) bool {
	entry, _, ok := l.queue.Head(order)
	if !ok || s.table.Warm() {
		return false
	}
	r := entry.Value
	if len(s.prints.Get(r.d.Fingerprint).Running()) > 0 {
		s.holdDuplicate(r)
		return true
	}
	e := s.reservedFor(l.class)
	if e == nil {
		if s.alone >= limit {
			return false
		}
		if e = s.reserve(l.class); e == nil {
			return false
		}
	}
	if e.Runs() > 0 {
		return false
	}
	e.reserved, l.class.reserved = nil, nil
	r.alone = true
	s.grant(r, e)
	return true
}
