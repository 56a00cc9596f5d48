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
	// probePatience is how long an endpoint waits for a small request before any request may prove it.
	probePatience = 3 * time.Second
	// suspectPart bounds the endpoints that are kept for suspect requests at a time.
	suspectPart = 0.125
	// affinityTokens is the length of a cached prefix from which a request is kept with its endpoint. Shorter ones, such
	// as system prompts, are soon everywhere. Each further token missed counts as affinityCost seconds: without it,
	// conversations move to whichever endpoint is fastest at the moment and are prefilled again and again.
	affinityTokens = 512
	affinityCost   = 0.01
	// affinityHeadroom is the part of the headroom that a request with a long cached prefix may use at its endpoint.
	affinityHeadroom = 0.5
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
	// longPart bounds the endpoints with a long prefill, so that the others answer short requests promptly.
	longPart = 2.0 / 3
)

// obstacle says why a request could not be placed.
type obstacle int

const (
	none    obstacle = iota
	noProbe          // too large to prove an endpoint
	noRoom
	noPrefillRoom
	noDistinct // its fingerprint runs already
	noAffinity // it is worth waiting for the endpoint that holds its prefix
)

// dispatch grants waiting requests until no more fit.
func (s *Scheduler) dispatch() {
	if s.waiting == 0 || s.config == nil {
		return
	}
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
		s.shares.Backlog(t.Order, t.waiting > 0 && !s.tierClosed(t.Order), oldest)
	}
	if aged, ok := s.shares.Aged(); ok && s.dispatchOldest(aged) {
		return true
	}
	tried := s.shares.Order(s.now, nil)
	for i, order := range tried {
		if s.dispatchTier(order, tried[i:], blocked) {
			return true
		}
	}
	return s.dispatchHopeless(tried, blocked)
}

// dispatchOldest grants the oldest request of a tier, whatever its lane.
func (s *Scheduler) dispatchOldest(order int) bool {
	for _, t := range s.tiers {
		if t.Order != order {
			continue
		}
		for _, r := range t.ages.Least(nil, oldestTried) {
			if r.held || r.lane.kind == suspectLane {
				continue
			}
			if e, why := s.place(r); why == none {
				s.grant(r, e)
				return true
			}
			return false
		}
	}
	return false
}

// dispatchHopeless grants a request whose caller will probably give up first, when nothing else waits.
func (s *Scheduler) dispatchHopeless(tried []int, blocked map[*lane]int) bool {
	if len(blocked) > 0 {
		return false
	}
	for _, order := range tried {
		for {
			l, r := s.head(order, blocked, hopelessLane)
			if r == nil {
				break
			}
			if s.now-r.arrived > freshWait && !s.canFinish(r, r.output, 1) {
				// Its caller gives up before the answer ends; only a new request is tried on a prediction.
				s.unassign(r)
				r.held = true
				continue
			}
			e, why := s.place(r)
			if why == none {
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
		if kind := s.timeliness(r); kind > l.kind && kind != l.kind && kind >= lateLane {
			s.reassign(r)
			continue
		}
		e, why := s.place(r)
		switch why {
		case none:
			s.grant(r, e)
			return true
		case noDistinct:
			s.unassign(r)
			r.held = true
		case noAffinity:
			s.pin(r, e)
		case noProbe:
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
func (s *Scheduler) block(blocked map[*lane]int, l *lane, order, first int, why obstacle) {
	for _, other := range []*lane{l.class.lanes[shortLane], l.class.lanes[longLane], l.class.lanes[lateLane]} {
		if other != l && why == noPrefillRoom && first == order {
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

// promptTarget is the strictest first-token target. It bounds the prompts queued at an endpoint for all tiers, since they
// delay the first tokens of every request that comes after them.
func (s *Scheduler) promptTarget() time.Duration {
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
	var found []option
	var busy *endpoint // cannot take the request now, although it holds a long prefix
	busyUncached := r.d.PromptTokens
	why := none
	for _, name := range names {
		e := s.endpoints[name]
		if e == nil || !slices.Contains(e.classes, c) {
			continue
		}
		if len(fresh) >= quarantiner.MaxFreshEndpoints && !slices.Contains(fresh, e) {
			why = max(why, noDistinct)
			continue
		}
		o, obstacle := s.examine(r, e)
		if obstacle != none {
			why = max(why, obstacle)
			if o.uncached < busyUncached && e.avail.Open(s.now) && e.eligible() {
				busy, busyUncached = e, o.uncached
			}
			continue
		}
		found = append(found, o)
	}
	if s.worthPin(r, busy, busyUncached, found) {
		return busy, noAffinity
	}
	switch {
	case len(found) > 0:
		return cheapest(found), none
	case why == none:
		return nil, noRoom
	}
	return nil, why
}

// option is an endpoint that may take a request.
type option struct {
	endpoint *endpoint
	cost     float64
	uncached int
}

// cheapest returns the endpoint of the least cost, counting what it misses of the longest cached prefix.
func cheapest(found []option) *endpoint {
	least := found[0].uncached
	for _, o := range found {
		least = min(least, o.uncached)
	}
	var best option
	for _, o := range found {
		if missed := o.uncached - least; missed > affinityTokens {
			o.cost += affinityCost * float64(missed)
		}
		if best.endpoint == nil || o.cost < best.cost {
			best = o
		}
	}
	return best.endpoint
}

// worthPin reports whether a request should wait for a busy endpoint that holds much more of its prompt than those with
// room. Urgent work does not wait.
func (s *Scheduler) worthPin(r *request, busy *endpoint, uncached int, found []option) bool {
	if busy == nil || r.tier.urgent || r.unpinned || len(busy.pins) >= maxPins {
		return false
	}
	least := r.d.PromptTokens
	for _, o := range found {
		least = min(least, o.uncached)
	}
	return least-uncached > affinityTokens
}

// pin lets a request wait for one endpoint, for a bounded time.
func (s *Scheduler) pin(r *request, e *endpoint) {
	s.unassign(r)
	r.held, r.pinned, r.unpinned = true, e, true
	e.pins = append(e.pins, r)
	if len(e.pins) == 1 {
		s.pinned = append(s.pinned, e)
	}
	r.expiry = s.at(s.now+affinityWait, func() {
		r.expiry = nil
		s.reassign(r)
	})
}

// dispatchPinned grants requests to the endpoints for which they wait. They were next in order when they were pinned, so
// only waiting urgent work goes first.
func (s *Scheduler) dispatchPinned() {
	for _, e := range slices.Clone(s.pinned) {
		for _, r := range slices.Clone(e.pins) {
			if s.tierClosed(r.tier.Order) || (s.tiers[0].urgent && s.tiers[0].waiting > 0 && !s.headroomOpen()) {
				continue
			}
			if len(s.freshEndpoints(r)) > 0 {
				continue
			}
			if _, obstacle := s.examine(r, e); obstacle == none {
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
	s.stop(r.expiry)
	r.expiry = nil
	e.pins = slices.DeleteFunc(e.pins, func(o *request) bool { return o == r })
	if len(e.pins) == 0 {
		s.pinned = slices.DeleteFunc(s.pinned, func(o *endpoint) bool { return o == e })
	}
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

// examine returns what an endpoint costs for a request, or what stands against it.
func (s *Scheduler) examine(r *request, e *endpoint) (option, obstacle) {
	o := option{endpoint: e}
	urgent := r.tier.urgent
	part, probe := s.part(e, urgent)
	if !s.service() {
		o.uncached = s.uncached(r, e)
	}
	headroom := 0.0
	switch {
	case urgent || s.headroomOpen():
		headroom = 1
	case r.d.PromptTokens-o.uncached >= affinityTokens:
		headroom = affinityHeadroom
	}
	if part <= 0 || !e.limit.Fits(r.tokens, e.extra, part, headroom) {
		return o, noRoom
	}
	if probe && len(e.runs) > 0 {
		return o, noRoom
	}
	if probe && r.tokens > probeTokens && e.avail.Proving(s.now) < probePatience {
		return o, noProbe
	}
	if probe && urgent {
		o.cost = probePenalty
	}
	if s.service() {
		o.cost += e.limit.Load(e.extra)
		return o, none
	}
	c := s.candidate(r, e, o.uncached)
	prefill := time.Duration(float64(c.Uncached) / c.PrefillRate * float64(time.Second))
	if !s.prefillFits(r, e, c, prefill, s.promptTarget()) {
		return o, noPrefillRoom
	}
	o.cost += placer.Cost(c, r.output, urgent)
	return o, none
}

func (s *Scheduler) candidate(r *request, e *endpoint, uncached int) placer.Candidate {
	return placer.Candidate{
		PendingPrefill: e.pending,
		PrefillRate:    e.speed.Prefill(),
		Gap:            e.speed.Gap(),
		Load:           e.limit.Load(e.extra),
		OtherZone:      e.Zone != r.d.Zone,
		Uncached:       uncached,
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
	return len(s.tiers) > 0 && s.tiers[0].urgent && s.shares.Flooded(s.tiers[0].Order)
}

// grant gives a request to an endpoint.
func (s *Scheduler) grant(r *request, e *endpoint) {
	uncached, first := 0, time.Duration(0)
	if !s.service() {
		uncached = s.uncached(r, e)
		first = s.candidate(r, e, uncached).FirstToken()
	}
	s.dequeue(r)
	_, probe := e.avail.Part(s.now)
	if probe {
		e.avail.Probe(s.now)
	}
	r.state, r.reported = granted, false
	prefill := time.Duration(float64(uncached) / e.speed.Prefill() * float64(time.Second))
	s.occupy(r, e, uncached)
	if !s.service() && float64(prefill) > longPrefill*float64(s.promptTarget()) {
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
	s.shares.Serve(s.now, r.tier.Order, float64(r.tokens), r.charged)
	r.expiry = s.at(s.now+s.opts.GrantTTL+grantMargin, func() { s.expire(r) })
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
	m.Slowness[0], m.Slowness[1] = e.speed.Best()
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
