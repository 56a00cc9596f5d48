package balancer

import (
	"maps"
	"math"
	"time"
)

const (
	// permitBurst is the number of permits that an unused limit accumulates at most, plus permitBurstTime of its rate.
	permitBurst     = 1
	permitBurstTime = 500 * time.Millisecond
	// maxPermitDebt is the largest time by which placements of other balancers delay the next permit.
	maxPermitDebt = 4 * time.Second
	// maxLimits is the number of limits above which those of endpoints that are not in the list are dropped.
	maxLimits = 4096
)

// permits is the limit of the requests per second that an endpoint takes, as a token bucket. It starts empty, because requests that
// were sent before the limit was known, or by another host, also count for the endpoint.
type permits struct {
	rate      float64
	available float64
	updatedAt time.Time
	// placed is the number of requests that this balancer has placed.
	placed uint64
}

// at returns the state at a later time. Share is the part of the rate that this balancer may use.
func (p permits) at(now time.Time, share float64) permits {
	elapsed := max(0, now.Sub(p.updatedAt).Seconds())
	capacity := permitBurst + p.rate*share*permitBurstTime.Seconds()
	p.available = min(capacity, p.available+elapsed*p.rate*share)
	p.updatedAt = now
	return p
}

// SetLimit sets the number of requests per second that an endpoint takes from all hosts together; 0 means no limit.
func (b *Balancer) SetLimit(now time.Time, id string, rate float64) {
	switch p := b.limits[id]; {
	case rate <= 0:
		delete(b.limits, id)
	case p == nil:
		b.limits[id] = &permits{rate: rate, updatedAt: now}
	default:
		*p = p.at(now, b.limitShare())
		p.rate = rate
	}
	if e := b.endpoints[id]; e != nil {
		e.permits = b.limits[id]
	}
	if len(b.limits) > maxLimits {
		maps.DeleteFunc(b.limits, func(id string, _ *permits) bool { return b.endpoints[id] == nil })
	}
}

// SetLimitShare sets the part of each limit that this balancer may use while other hosts also place work at the endpoints.
func (b *Balancer) SetLimitShare(now time.Time, share float64) {
	for _, p := range b.limits {
		*p = p.at(now, b.limitShare())
	}
	b.share = share
}

func (b *Balancer) limitShare() float64 {
	if b.share <= 0 {
		return 1
	}
	return b.share
}

// freePermits returns the number of requests that may be sent to an endpoint now.
func (b *Balancer) freePermits(now time.Time, e *endpoint) int {
	if e.permits == nil {
		return math.MaxInt
	}
	return int(e.permits.at(now, b.limitShare()).available)
}

// takePermit counts a request that this balancer places at an endpoint.
func (b *Balancer) takePermit(now time.Time, e *endpoint) {
	if e.permits != nil {
		*e.permits = e.permits.at(now, b.limitShare())
		e.permits.available--
		e.permits.placed++
	}
}

// LimitedPlacements returns the number of requests that this balancer has placed at the endpoints with a limit, by ID.
func (b *Balancer) LimitedPlacements() map[string]uint64 {
	out := make(map[string]uint64, len(b.limits))
	for id, p := range b.limits {
		if p.placed > 0 {
			out[id] = p.placed
		}
	}
	return out
}

// ChargeLimit counts requests that another balancer has placed at an endpoint with a limit.
func (b *Balancer) ChargeLimit(now time.Time, id string, placed uint64) {
	if p := b.limits[id]; p != nil {
		*p = p.at(now, b.limitShare())
		p.available = max(p.available-float64(placed), -p.rate*maxPermitDebt.Seconds())
	}
}

// NextPermit returns the time until an endpoint of the pool that is available but for its limit may take work again, and false if
// there is none.
func (b *Balancer) NextPermit(now time.Time, pool string) (wait time.Duration, limited bool) {
	for _, e := range b.pools[pool] {
		if e.permits == nil || e.isLeaving() || !e.accepts(now) || b.freePermits(now, e) > 0 {
			continue
		}
		p := e.permits.at(now, b.limitShare())
		left := time.Duration(math.Ceil((1 - p.available) / (p.rate * b.limitShare()) * float64(time.Second)))
		if !limited || left < wait {
			wait, limited = left, true
		}
	}
	return wait, limited
}

// avoids reports whether an endpoint is left out because it has a limit while another one that may take the work has none.
func (b *Balancer) avoids(e *endpoint, w Work) bool {
	if !b.AvoidLimited || e.permits == nil {
		return false
	}
	for _, other := range b.pools[e.Pool] {
		if other.permits == nil && !other.isLeaving() && w.fits(other) {
			return true
		}
	}
	return false
}
