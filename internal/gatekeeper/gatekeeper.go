// Package gatekeeper keeps which tiers of a pool are closed, and for how long work of a tier may be shed.
package gatekeeper

import "time"

const (
	// askInterval is the time between repeated requests for a permit to shed.
	askInterval = time.Second
	// askMemory is how long a request for a permit stands without being repeated.
	askMemory = 3 * time.Second
	// drainTime lets runs of a closed tier end by themselves before they are cancelled, since their prefill would be
	// wasted.
	drainTime = 3 * time.Second
	// cancelInterval is the time between searches for runs to cancel.
	cancelInterval = 100 * time.Millisecond
)

// Gate is the shed level of one pool with its permits. Tiers are named by their order; a higher one is less urgent. It is
// not safe for concurrent use.
type Gate struct {
	closed     bool
	below      int // tiers of a higher order are closed
	closedAt   time.Duration
	nextCancel time.Duration
	confirmed  int
	permits    map[int]time.Duration // end of the permit
	asked      map[int]time.Duration // last request for a permit
}

// New returns a gate with all tiers open and no permit.
func New() *Gate {
	return &Gate{permits: make(map[int]time.Duration), asked: make(map[int]time.Duration)}
}

// Close sets the level: tiers of an order above below take no new work. A level of at least lowest, the highest order,
// opens all tiers.
func (g *Gate) Close(now time.Duration, below, lowest int) {
	closed := below < lowest
	if closed && (!g.closed || below != g.below) {
		g.closedAt = now
	}
	g.closed, g.below, g.confirmed = closed, below, -1
}

// Raised reports whether a level is set that closes tiers.
func (g *Gate) Raised() bool { return g.closed }

// Closed reports whether a tier takes no new work.
func (g *Gate) Closed(order int) bool { return g.closed && order > g.below }

// Permit allows requests of a tier to be shed for a time.
func (g *Gate) Permit(now time.Duration, order int, period time.Duration) {
	g.permits[order] = max(g.permits[order], now+period)
}

// MayShed reports whether requests of a tier may be given up: the lowest tier always, any other while a permit is in
// force.
func (g *Gate) MayShed(now time.Duration, order, lowest int) bool {
	return order == lowest || now < g.permits[order]
}

// Ask reports whether a permit for a tier is to be requested now, and remembers the request. The control leader goes by
// the last request and permits the tiers below it on the way, so a request for a more urgent tier stands.
func (g *Gate) Ask(now time.Duration, order int) bool {
	for o, last := range g.asked {
		if o == order && now-last < askInterval || o < order && now-last < askMemory {
			return false
		}
	}
	g.asked[order] = now
	return true
}

// CancelDue reports whether runs of closed tiers are to be cancelled now. The next time is an interval later.
func (g *Gate) CancelDue(now time.Duration) bool {
	if now < max(g.closedAt+drainTime, g.nextCancel) {
		return false
	}
	g.nextCancel = now + cancelInterval
	return true
}

// Confirm returns the level to confirm when no work of tiers above emptied is left. It is false when nothing is closed or
// the same level was confirmed before, unless it is to be repeated.
func (g *Gate) Confirm(emptied, lowest int, repeat bool) (below int, ok bool) {
	below = max(emptied, g.below)
	if below >= lowest || (!repeat && below == g.confirmed) {
		return below, false
	}
	g.confirmed = below
	return below, true
}
