package scheduler

import (
	"math"
	"time"
)

// minRetryAfter and maxRetryAfter are the limits of the retry delay advised to callers.
const minRetryAfter, maxRetryAfter = time.Second, time.Minute

// mayShed reports whether requests of a tier may be shed now.
func (s *Scheduler) mayShed(order int) bool { return s.gate.MayShed(s.now, order, s.lowestOrder()) }

// shedRequests empties closed tiers, the lowest first, and sheds requests beyond the queue limit, the patience of their
// tier or their deadline.
func (s *Scheduler) shedRequests(ev Event) {
	if len(s.tiers) == 0 {
		return
	}
	if s.gate.Active() {
		_, tick := ev.(Tick)
		s.emptyClosedTiers(tick)
	}
	for i := len(s.tiers) - 1; i >= 0 && s.waitingCount > s.maxWaiting(); i-- {
		if t := s.tiers[i]; t.waiting > 0 && !s.shedOverload(t) {
			break
		}
	}
	for _, t := range s.tiers {
		s.shedOverPatience(t)
		s.shedInfeasible(t)
	}
}

// emptyClosedTiers refuses the waiting requests and cancels the runs of closed tiers. A tier is emptied only after the tiers
// below it are empty.
func (s *Scheduler) emptyClosedTiers(tick bool) {
	below := s.lowestOrder()
	for i := len(s.tiers) - 1; i >= 0; i-- {
		t := s.tiers[i]
		if !s.gate.Closed(t.Order) || !s.emptyTier(t) {
			break
		}
		below = t.Order - 1
	}
	// Until the entry hosts have reported, a new holder has no record of the runs of closed tiers.
	if !s.allRunsKnown {
		return
	}
	if level, ok := s.gate.Confirm(below, s.lowestOrder(), tick); ok {
		s.emit(ConfirmClosed{Below: level})
	}
}

// emptyTier sheds the requests of a closed tier and reports whether none is left.
func (s *Scheduler) emptyTier(t *tier) bool {
	if t.waiting == 0 && t.active == 0 {
		return true
	}
	if !s.mayShed(t.Order) {
		s.requestPermit(t.Order)
		return false
	}
	for t.waiting > 0 {
		s.refuse(t.byArrival.Min().Value, RefuseOverload, s.retryAfter())
	}
	if t.active > 0 && s.gate.CancelDue(s.now) {
		for _, r := range s.sortedRequests(func(r *request) bool { return r.tier == t && r.state == running && !r.cancelSent }) {
			r.cancelSent = true
			s.emit(CancelRun{Host: r.host, RequestID: r.id, Reason: "tier closed"})
			s.emitDecision("cancel", r, r.endpoint.Name, "tier closed")
		}
	}
	return t.active == 0
}

// shedOverload sheds requests of a tier until the number of waiting requests is within its limit. It returns false if a
// permit is missing.
func (s *Scheduler) shedOverload(t *tier) bool {
	for t.waiting > 0 && s.waitingCount > s.maxWaiting() {
		if !s.mayShed(t.Order) {
			s.requestPermit(t.Order)
			return false
		}
		r, newest, ok := s.shedCandidates.Victims(t.Order)
		if !ok {
			return true
		}
		// A request that has missed its target is worth less than a new one that can still meet it. If the oldest can
		// still meet its target, the newest is shed instead.
		if s.timelinessLane(r) < lateLane {
			r = newest
		}
		s.refuse(r, RefuseOverload, s.retryAfter())
	}
	return true
}

// shedOverPatience sheds requests that have waited longer than the patience of their tier.
func (s *Scheduler) shedOverPatience(t *tier) {
	patience := time.Duration(t.PatienceMS) * time.Millisecond
	if patience <= 0 || !s.mayShed(t.Order) {
		return
	}
	for n := t.byArrival.Min(); n != nil && s.now-n.Value.arrivedAt > patience; n = t.byArrival.Min() {
		s.refuse(n.Value, RefusePatience, s.retryAfter())
	}
}

// shedInfeasible refuses requests of a tier that can no longer be answered before their deadline, so that their callers get
// an immediate response with a retry delay. In tiers that may not be shed, such requests wait for spare capacity.
func (s *Scheduler) shedInfeasible(t *tier) {
	if !s.mayShed(t.Order) {
		return
	}
	for {
		_, r := s.head(t.Order, nil, infeasibleLane)
		if r == nil || !s.infeasible(r) {
			return
		}
		s.refuse(r, RefuseDeadline, s.retryAfter())
	}
}

// requestPermit requests a permit to shed a tier, unless a recent request still stands.
func (s *Scheduler) requestPermit(order int) {
	if s.gate.RequestPermit(s.now, order) {
		s.emit(AskShedPermit{Tier: order})
	}
}

// retryAfter estimates how long it takes to serve all requests that are waiting now.
func (s *Scheduler) retryAfter() time.Duration {
	rate := s.shares.ServedPerSecond(s.now)
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := float64(s.waitingTokens) / rate
	// Whole seconds are precise enough and keep log lines identical in replays on other platforms.
	return min(max(time.Duration(math.Ceil(seconds))*time.Second, minRetryAfter), maxRetryAfter)
}
