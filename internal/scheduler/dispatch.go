package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/ejector"
	"github.com/dragonflycroft/dragonflycroft/internal/placer"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
)

const (
	// longPrompt is the prompt length from which a request waits in the lane of long prefills.
	longPrompt = 2048
	// longPrefill is the part of the first-token target from which a prefill counts as long.
	longPrefill = 0.3
	// patientQueue and urgentQueue are the parts of the first-token target that prompts queued at an endpoint may take.
	patientQueue, urgentQueue = 0.3, 0.6
	// defaultFirstToken stands in when no tier has a first-token target.
	defaultFirstToken = 740 * time.Millisecond
	// warmPart is the part of each endpoint's bound that urgent work may use before the old holder's grants expire.
	warmPart = 0.1
	// leastLoaded and prefixHolders bound the endpoints that one decision examines.
	leastLoaded, prefixHolders = 8, 4
	// probeTokens bounds the request that proves an endpoint, and probePenalty keeps urgent work away from it.
	probeTokens  = 2048
	probePenalty = 5.0
	// suspectPart bounds the endpoints that are kept for suspect requests at a time.
	suspectPart = 0.125
	// longPart bounds the endpoints with a long prefill, so that the others answer short requests promptly.
	longPart = 2.0 / 3
)

// obstacle says why a request could not be placed.
type obstacle int

const (
	none obstacle = iota
	noRoom
	noPrefillRoom
	noDistinct // its fingerprint runs already
)

// dispatch grants waiting requests until no more fit.
func (s *Scheduler) dispatch() {
	if s.waiting == 0 || s.config == nil {
		return
	}
	s.dispatchSuspects()
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
		s.shares.Backlog(t.Order, t.waiting > 0 && !s.tierClosed(t.Order), oldest)
	}
	if aged, ok := s.shares.Aged(); ok && s.dispatchTier(aged, []int{aged}, map[*lane]int{}) {
		return true
	}
	tried := s.shares.Order(s.now, nil)
	for i, order := range tried {
		if s.dispatchTier(order, tried[i:], blocked) {
			return true
		}
	}
	return false
}

// dispatchTier grants one request of a tier. Lanes in which its next request has no room are blocked for this tier and
// those that come later in the order.
func (s *Scheduler) dispatchTier(order int, rest []int, blocked map[*lane]int) bool {
	for {
		l, r := s.head(order, blocked)
		if r == nil {
			return false
		}
		e, why := s.place(r)
		switch why {
		case none:
			s.grant(r, e)
			return true
		case noDistinct:
			s.unassign(r)
			r.held = true
		default:
			s.block(blocked, l, order, slices.Min(rest), why)
		}
	}
}

// block keeps lower tiers from taking the room for which a higher one waits. In a flood the order follows the shares;
// tiers that come later in it are blocked too, up to the order first. A request that only waits for other prefills lets
// the other lane pass, except in a flood.
func (s *Scheduler) block(blocked map[*lane]int, l *lane, order, first int, why obstacle) {
	for _, other := range []*lane{l.class.lanes[shortLane], l.class.lanes[longLane]} {
		if other != l && why == noPrefillRoom && first == order {
			continue
		}
		if at, ok := blocked[other]; !ok || first < at {
			blocked[other] = first
		}
	}
}

// head returns the next request of a tier over all lanes that are not blocked.
func (s *Scheduler) head(order int, blocked map[*lane]int) (*lane, *request) {
	var best *lane
	var next *request
	least := 0.0
	for _, c := range s.classes {
		for _, k := range []laneKind{shortLane, longLane} {
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

func (s *Scheduler) firstTokenTarget(t *tier) time.Duration {
	if t.urgent {
		return time.Duration(t.FirstTokenTargetMS) * time.Millisecond
	}
	if d := s.targets().FirstToken; d > 0 {
		return d
	}
	return defaultFirstToken
}

// place chooses the endpoint for a request.
func (s *Scheduler) place(r *request) (*endpoint, obstacle) {
	c := r.lane.class
	fresh := s.freshEndpoints(r)
	names := c.ranking.Least(nil, leastLoaded)
	names = s.prefixes.Holders(names, r.d.PrefixBlocks, prefixHolders)
	for _, e := range fresh {
		if !slices.Contains(names, e.Name) {
			names = append(names, e.Name)
		}
	}
	var best *endpoint
	bestCost := 0.0
	why := noRoom
	for _, name := range names {
		e := s.endpoints[name]
		if e == nil || !slices.Contains(e.classes, c) {
			continue
		}
		if len(fresh) >= quarantiner.MaxFreshEndpoints && !slices.Contains(fresh, e) {
			why = max(why, noDistinct)
			continue
		}
		cost, obstacle := s.examine(r, e)
		if obstacle != none {
			why = max(why, obstacle)
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best != nil {
		return best, none
	}
	return nil, why
}

// freshEndpoints returns the endpoints that run a fingerprint of which no run has finished yet.
func (s *Scheduler) freshEndpoints(r *request) []*endpoint {
	p := s.prints[r.d.Fingerprint]
	if p == nil || len(p.active) == 0 {
		return nil
	}
	if v, _ := s.quarantine.Verdict(s.now, r.d.Fingerprint); v != quarantiner.Fresh {
		return nil
	}
	return p.endpointsOf()
}

// examine returns the cost of an endpoint for a request, or what stands against it.
func (s *Scheduler) examine(r *request, e *endpoint) (float64, obstacle) {
	urgent := r.tier.urgent
	part, probe := s.part(e, urgent)
	if part <= 0 || !e.limit.Fits(r.tokens, e.extra, part, urgent || s.headroomOpen()) {
		return 0, noRoom
	}
	if probe && (len(e.runs) > 0 || r.tokens > probeTokens) {
		return 0, noRoom
	}
	if s.service() {
		cost := e.limit.Load(e.extra)
		if probe && urgent {
			cost += probePenalty
		}
		return cost, none
	}
	c := s.candidate(r, e)
	prefill := time.Duration(float64(c.Uncached) / c.PrefillRate * float64(time.Second))
	target := s.firstTokenTarget(r.tier)
	if !s.prefillFits(r, e, c, prefill, target) {
		return 0, noPrefillRoom
	}
	cost := placer.Cost(c, r.output, urgent)
	if probe && urgent {
		cost += probePenalty
	}
	return cost, none
}

func (s *Scheduler) candidate(r *request, e *endpoint) placer.Candidate {
	return placer.Candidate{
		PendingPrefill: e.pending,
		PrefillRate:    e.speed.Prefill(),
		Gap:            e.speed.Gap(),
		Load:           e.limit.Load(e.extra),
		OtherZone:      e.Zone != r.d.Zone,
		Uncached:       s.uncached(r, e),
	}
}

// uncached is the part of the prompt that the endpoint has to process.
func (s *Scheduler) uncached(r *request, e *endpoint) int {
	n := len(r.d.PrefixBlocks)
	if n == 0 {
		return r.d.PromptTokens
	}
	cached := s.prefixes.Match(e.Name, r.d.PrefixBlocks)
	return max(r.d.PromptTokens-r.d.PromptTokens*cached/n, 1)
}

// prefillFits bounds the prompts queued at an endpoint, so that a first token is not late behind them.
func (s *Scheduler) prefillFits(r *request, e *endpoint, c placer.Candidate, prefill, target time.Duration) bool {
	long := float64(prefill) > longPrefill*float64(target)
	if long && !r.tier.urgent && (e.longs > 0 || s.longs >= s.maxLongs()) {
		return false
	}
	if e.pending == 0 {
		return true
	}
	part := patientQueue
	if r.tier.urgent || s.headroomOpen() {
		part = urgentQueue
	}
	queued := time.Duration(float64(c.PendingPrefill)/c.PrefillRate*float64(time.Second)) + prefill
	return float64(queued) <= part*float64(target)
}

func (s *Scheduler) maxLongs() int { return max(1, int(longPart*float64(len(s.order)))) }

// headroomOpen reports whether the most urgent work is flooded itself; headroom for it would then only keep the other
// tiers from their shares.
func (s *Scheduler) headroomOpen() bool {
	return len(s.tiers) > 0 && s.tiers[0].urgent && s.shares.Flooded(s.now, s.tiers[0].Order)
}

// grant gives a request to an endpoint.
func (s *Scheduler) grant(r *request, e *endpoint) {
	uncached := 0
	if !s.service() {
		uncached = s.uncached(r, e)
	}
	s.dequeue(r)
	_, probe := e.avail.Part(s.now)
	if probe {
		e.avail.Probe(s.now)
	}
	r.state, r.reported = granted, false
	prefill := time.Duration(float64(uncached) / e.speed.Prefill() * float64(time.Second))
	s.occupy(r, e, uncached)
	if !s.service() && float64(prefill) > longPrefill*float64(s.firstTokenTarget(r.tier)) {
		r.long = true
		e.longs++
		s.longs++
	}
	s.prefixes.Dispatched(e.Name, r.d.PrefixBlocks)
	r.charged = float64(uncached + r.output)
	if s.service() {
		r.charged = 1
	}
	s.accounts.Charge(r.tier.Order, r.d.Workspace, r.d.Caller, r.charged)
	s.shares.Serve(s.now, r.tier.Order, r.charged)
	r.expiry = s.at(s.now+s.opts.GrantTTL+grantMargin, func() { s.expire(r) })
	s.emit(Grant{Host: r.host, RequestID: r.id, Endpoint: e.Name, TTL: s.opts.GrantTTL})
	reason := fmt.Sprintf("waited %dms, prefill %d of %d tokens", (s.now - r.arrived).Milliseconds(), uncached, r.d.PromptTokens)
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
	limit := max(1, int(suspectPart*float64(len(s.order))))
	for _, c := range s.classes {
		l := c.lanes[suspectLane]
		if l.queue.Len() == 0 {
			s.unreserve(c)
			continue
		}
		for _, t := range s.tiers {
			for !s.tierClosed(t.Order) && s.placeSuspect(l, t.Order, limit) {
			}
		}
	}
}

func (s *Scheduler) placeSuspect(l *lane, order, limit int) bool {
	entry, _, ok := l.queue.Head(order)
	if !ok || s.warm {
		return false
	}
	r := entry.Value
	if p := s.prints[r.d.Fingerprint]; p != nil && len(p.active) > 0 {
		s.unassign(r)
		r.held = true
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
	if len(e.runs) > 0 || e.extra > 0 {
		return false
	}
	e.reserved, l.class.reserved = nil, nil
	r.alone = true
	s.grant(r, e)
	return true
}

// reservedFor returns the endpoint that is being emptied for the suspects of a class.
func (s *Scheduler) reservedFor(c *class) *endpoint {
	if c.reserved != nil && (c.reserved.reserved != c || !c.reserved.eligible() || !c.reserved.avail.Open(s.now)) {
		s.unreserve(c)
	}
	return c.reserved
}

// reserve stops new work at the endpoint of a class with the fewest runs.
func (s *Scheduler) reserve(c *class) *endpoint {
	var best *endpoint
	for _, e := range s.order {
		if !e.eligible() || e.alone || !e.avail.Open(s.now) || !slices.Contains(e.classes, c) {
			continue
		}
		if best == nil || len(e.runs)+e.extra < len(best.runs)+best.extra {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	best.alone, best.reserved, c.reserved = true, c, best
	s.alone++
	s.rank(best)
	return best
}

func (s *Scheduler) unreserve(c *class) {
	e := c.reserved
	c.reserved = nil
	if e == nil || e.reserved != c {
		return
	}
	e.reserved, e.alone = nil, false
	s.alone--
	s.rank(e)
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
	s.nextReview = s.now + ejector.ReviewInterval
	measures := make([]ejector.Measure, 0, len(s.order))
	for _, e := range s.order {
		if !e.configured {
			continue
		}
		s.checkStall(e)
		measures = append(measures, e.measure(s.now))
	}
	for _, name := range s.outliers.Review(measures, s.limits.MaxEjectedShare) {
		e := s.endpoints[name]
		d := e.avail.Eject(s.now)
		s.emit(Decision{Verb: "eject", Endpoint: name, Reason: fmt.Sprintf("slower than its peers, out for %s", d)})
		s.rank(e)
	}
}

// measure returns the slowness since the last review.
func (e *endpoint) measure(now time.Duration) ejector.Measure {
	m := ejector.Measure{Endpoint: e.Name, Group: e.Hardware, Slowness: make([]float64, 2), Out: e.avail.Ejected(now)}
	prefill, gap := e.speed.Samples()
	if prefill > e.reviewed[0] {
		m.Slowness[0] = 1 / e.speed.Prefill()
	}
	if gap > e.reviewed[1] {
		m.Slowness[1] = e.speed.Gap().Seconds()
	}
	e.reviewed = [2]int{prefill, gap}
	return m
}

// checkStall treats an endpoint with runs and without any progress as failed.
func (s *Scheduler) checkStall(e *endpoint) {
	_, measured := e.speed.Samples()
	if len(e.runs) == 0 || measured == 0 || !e.avail.Open(s.now) {
		return
	}
	expected := time.Duration(float64(e.pending) / e.speed.Prefill() * float64(time.Second))
	if s.now-e.progressed < stallTime+4*expected {
		return
	}
	e.progressed = s.now
	e.avail.Fail(s.now, false, s.rng)
	s.emit(Decision{Verb: "eject", Endpoint: e.Name, Reason: "no progress"})
	s.rank(e)
}
