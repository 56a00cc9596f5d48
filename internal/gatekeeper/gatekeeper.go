// Package gatekeeper holds the load shedding state of a pool: which tiers accept no new requests, and until when requests of a
// tier may be shed.
package gatekeeper

import "time"

const (
	// permitRequestInterval is the time between repeated requests for a permit to shed a tier.
	permitRequestInterval = time.Second
	// permitRequestTimeout is how long a request for a permit stays in effect if it is not repeated.
	permitRequestTimeout = 3 * time.Second
	// drainPeriod is how long runs of a closed tier may continue before they are cancelled, since cancelling them wastes
	// their prefill.
	drainPeriod = 3 * time.Second
	// cancelInterval is the time between searches for runs to cancel.
	cancelInterval = 100 * time.Millisecond
)

// Gate holds the shed level and the shed permits of one pool. Tiers are identified by their order; a tier of a higher order is
// less urgent. It is not safe for concurrent use.
type Gate struct {
	closed      bool
	level       int // tiers with an order above it are closed
	closedAt    time.Duration
	nextCancel  time.Duration
	confirmed   int
	permits     map[int]time.Duration // order to expiry of the permit
	lastRequest map[int]time.Duration // order to time of the last request for a permit
}

// New returns the state in which all tiers are open and there are no permits.
func New() *Gate {
	return &Gate{permits: make(map[int]time.Duration), lastRequest: make(map[int]time.Duration)}
}

// SetLevel sets the shed level: tiers with an order above the level accept no new requests. A level of at least lowest, the order
// of the least urgent tier, opens all tiers.
func (g *Gate) SetLevel(now time.Duration, below, lowest int) {
	closed := below < lowest
	if closed && (!g.closed || below != g.level) {
		g.closedAt = now
	}
	g.closed, g.level, g.confirmed = closed, below, -1
}

// Active reports whether the shed level closes any tier.
func (g *Gate) Active() bool { return g.closed }

// Closed reports whether a tier accepts no new requests.
func (g *Gate) Closed(order int) bool { return g.closed && order > g.level }

// AddPermit allows requests of a tier to be shed for a period. It does not shorten an earlier permit.
func (g *Gate) AddPermit(now time.Duration, order int, period time.Duration) {
	g.permits[order] = max(g.permits[order], now+period)
}

// MayShed reports whether requests of a tier may be shed: those of the least urgent tier always, those of any other tier while
// a permit is valid.
func (g *Gate) MayShed(now time.Duration, order, lowest int) bool {
	return order == lowest || now < g.permits[order]
}

// RequestPermit reports whether a permit for a tier must be requested now, and if so records the request. The control leader uses
// only the last request and also permits the less urgent tiers on the way to that tier, so no request may replace one for a more
// urgent tier while that is in effect.
func (g *Gate) RequestPermit(now time.Duration, order int) bool {
	for o, last := range g.lastRequest {
		if o == order && now-last < permitRequestInterval || o < order && now-last < permitRequestTimeout {
			return false
		}
	}
	g.lastRequest[order] = now
	return true
}

// CancelDue reports whether runs of closed tiers must be cancelled now. It returns true at most once per cancelInterval.
func (g *Gate) CancelDue(now time.Duration) bool {
	if now < max(g.closedAt+drainPeriod, g.nextCancel) {
		return false
	}
	g.nextCancel = now + cancelInterval
	return true
}

// Confirm returns the level to confirm when tiers with an order above emptied have no requests left. It returns false for ok if
// the level closes no tier, or if the same level was confirmed before and repeat is false.
func (g *Gate) Confirm(emptied, lowest int, repeat bool) (below int, ok bool) {
	below = max(emptied, g.level)
	if below >= lowest || (!repeat && below == g.confirmed) {
		return below, false
	}
	g.confirmed = below
	return below, true
}
