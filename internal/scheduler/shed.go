package scheduler

import (
	"math"
	"time"
)

// minRetry and maxRetry bound the advice of when to try again.
const minRetry, maxRetry = time.Second, time.Minute

// mayShed reports whether requests of a tier may be given up.
func (s *Scheduler) mayShed(order int) bool { return s.gate.MayShed(s.now, order, s.lowest()) }

// shed empties closed tiers, the lowest first, and gives up work that there is no room for.
func (s *Scheduler) shed(ev Event) {
	if len(s.tiers) == 0 {
		return
	}
	if s.gate.Raised() {
		_, tick := ev.(Tick)
		s.emptyClosed(tick)
	}
	for i := len(s.tiers) - 1; i >= 0 && s.waiting > s.maxWaiting(); i-- {
		if t := s.tiers[i]; t.waiting > 0 && !s.shedOverload(t) {
			break
		}
	}
	for _, t := range s.tiers {
		s.shedImpatient(t)
		s.shedInfeasible(t)
	}
}

// emptyClosed refuses waiting and cancels running work of closed tiers. A tier is emptied only after those below it.
func (s *Scheduler) emptyClosed(tick bool) {
	below := s.lowest()
	for i := len(s.tiers) - 1; i >= 0; i-- {
		t := s.tiers[i]
		if !s.gate.Closed(t.Order) || !s.empty(t) {
			break
		}
		below = t.Order - 1
	}
	// Until the hosts have reported, a new holder does not know which runs of closed tiers there are.
	if !s.accounted {
		return
	}
	if level, ok := s.gate.Confirm(below, s.lowest(), tick); ok {
		s.emit(ConfirmClosed{Below: level})
	}
}

// empty gives up the work of a closed tier and reports whether none is left.
func (s *Scheduler) empty(t *tier) bool {
	if t.waiting == 0 && t.active == 0 {
		return true
	}
	if !s.mayShed(t.Order) {
		s.askPermit(t.Order)
		return false
	}
	for t.waiting > 0 {
		s.refuse(t.ages.Min().Value, RefuseOverload, s.retryAfter())
	}
	if t.active > 0 && s.gate.CancelDue(s.now) {
		for _, r := range s.sortedRequests(func(r *request) bool { return r.tier == t && r.state == running && !r.cancel }) {
			r.cancel = true
			s.emit(CancelRun{Host: r.host, RequestID: r.id, Reason: "tier closed"})
			s.decide("cancel", r, r.endpoint.Name, "tier closed")
		}
	}
	return t.active == 0
}

// shedOverload gives up requests of a tier until the pool has room. It returns false when a permit is missing.
func (s *Scheduler) shedOverload(t *tier) bool {
	for t.waiting > 0 && s.waiting > s.maxWaiting() {
		if !s.mayShed(t.Order) {
			s.askPermit(t.Order)
			return false
		}
		r, newest, ok := s.book.Victims(t.Order)
		if !ok {
			return true
		}
		// Old work that has missed its target is worth less than new work that can meet it.
		if s.timeliness(r) < lateLane {
			r = newest
		}
		s.refuse(r, RefuseOverload, s.retryAfter())
	}
	return true
}

// shedImpatient gives up requests that waited longer than the patience of their tier.
func (s *Scheduler) shedImpatient(t *tier) {
	patience := time.Duration(t.PatienceMS) * time.Millisecond
	if patience <= 0 || !s.mayShed(t.Order) {
		return
	}
	for n := t.ages.Min(); n != nil && s.now-n.Value.arrived > patience; n = t.ages.Min() {
		s.refuse(n.Value, RefusePatience, s.retryAfter())
	}
}

// shedInfeasible refuses requests that can no longer be answered in their callers' time. A request that is given up gets its
// answer at once, with the time to come back. Tiers that may not be shed keep theirs waiting for room that is left over.
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

// askPermit asks to shed a tier.
func (s *Scheduler) askPermit(order int) {
	if s.gate.Ask(s.now, order) {
		s.emit(AskShedPermit{Tier: order})
	}
}

// retryAfter estimates when the work that waits now has been served.
func (s *Scheduler) retryAfter() time.Duration {
	rate := s.shares.ServedPerSecond(s.now)
	if rate <= 0 {
		return maxRetry
	}
	seconds := float64(s.wanted) / rate
	// Whole seconds suffice for advice and keep log lines equal in replays on other platforms.
	return min(max(time.Duration(math.Ceil(seconds))*time.Second, minRetry), maxRetry)
}
