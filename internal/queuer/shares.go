package queuer

import (
	"slices"
	"time"
)

const (
	// rateTimeConstant is the time constant of the averages of demand and service. It covers the output time of a typical short
	// answer, so that single long requests are not detected as a flood.
	rateTimeConstant = 5 * time.Second
	// minFloodService is the minimum fraction of the service that a tier and the tiers above it must receive for the tier
	// to count as flooded. Below it, strict priority can still give them more.
	minFloodService = 0.8
	// minFloodDemand is the minimum demand of a flooded tier and the tiers above it, as a fraction of what they are granted.
	minFloodDemand = 0.9
	// maxCreditTime bounds the credit or debt of a tier; it is the time in which the whole pool provides that much service.
	maxCreditTime = 5 * time.Second
	// agedFraction is the fraction of the service reserved for tiers whose oldest request has waited for AgeWait.
	agedFraction = 0.02
)

// TierShare holds the settings that decide when a tier is served.
type TierShare struct {
	Order int
	Share float64
	// FloodWait is the minimum wait of the oldest request for the tier to count as flooded.
	FloodWait time.Duration
	// AgeWait is the wait of the oldest request from which the tier receives a small reserved fraction of the service.
	AgeWait time.Duration
}

// Shares decide which tier is served next. While the demand of the higher tiers is within capacity, priority is strict. A tier
// that receives nearly all service together with the tiers above it, and whose requests still wait longer than FloodWait, is
// flooded. It then comes after the other tiers whenever it has received more than its share, until the demand falls below what
// the pool granted before.
type Shares struct {
	tiers      []*tierState // by order
	served     Rate
	agedCredit float64
}

type tierState struct {
	TierShare
	credit     float64
	demand     Rate // size of the requests that have arrived
	granted    Rate // size of the requests that have been granted
	served     Rate // tokens of service
	oldestWait time.Duration
	backlog    bool
	flooded    bool
	capacity   float64 // highest size per second granted to this tier and those above it since the flood began
}

// NewShares returns the shares of the given tiers and copies the state of tiers that are also in old, which may be nil.
func NewShares(tiers []TierShare, old *Shares) *Shares {
	s := &Shares{}
	if old != nil {
		s.served = old.served
	}
	for _, t := range tiers {
		if t.Share < 0 {
			t.Share = 0
		}
		state := &tierState{TierShare: t}
		if o := old.state(t.Order); o != nil {
			share := state.TierShare
			*state = *o
			state.TierShare = share
		}
		s.tiers = append(s.tiers, state)
	}
	slices.SortStableFunc(s.tiers, func(a, b *tierState) int { return a.Order - b.Order })
	return s
}

func (s *Shares) state(order int) *tierState {
	if s == nil {
		return nil
	}
	for _, t := range s.tiers {
		if t.Order == order {
			return t
		}
	}
	return nil
}

// RecordDemand records the size in tokens of a request that has arrived for a tier.
func (s *Shares) RecordDemand(now time.Duration, order int, tokens float64) {
	if t := s.state(order); t != nil {
		t.demand.Add(now, tokens)
	}
}

// SetBacklog sets whether a tier has waiting requests and how long the oldest one has waited.
func (s *Shares) SetBacklog(order int, waiting bool, oldest time.Duration) {
	if t := s.state(order); t != nil {
		t.backlog, t.oldestWait = waiting, oldest
	}
}

// RecordService records a request granted to a tier: its size, in the unit of RecordDemand, and its tokens of service, which
// exclude those saved by a cached prefix. The tier and all backlogged tiers earn credit in proportion to their shares.
func (s *Shares) RecordService(now time.Duration, order int, size, tokens float64) {
	s.served.Add(now, tokens)
	limit := max(s.served.PerSecond(now)*maxCreditTime.Seconds(), tokens)
	sum := 0.0
	for _, t := range s.tiers {
		if t.backlog || t.Order == order {
			sum += t.Share
		}
	}
	for _, t := range s.tiers {
		if t.backlog || t.Order == order {
			if sum > 0 {
				t.credit += tokens * t.Share / sum
			}
		}
		if t.Order == order {
			t.granted.Add(now, size)
			t.served.Add(now, tokens)
			t.credit -= tokens
			if t.AgeWait > 0 && t.oldestWait >= t.AgeWait {
				s.agedCredit -= tokens
			}
		}
		t.credit = min(max(t.credit, -limit), limit)
	}
	// The reserve for aged requests is capped: what accumulated while there are none would be spent in a burst before urgent
	// requests.
	s.agedCredit = min(max(s.agedCredit+agedFraction*tokens, -limit), max(agedFraction*limit, tokens))
}

// ServedPerSecond returns the tokens of service granted per second.
func (s *Shares) ServedPerSecond(now time.Duration) float64 { return s.served.PerSecond(now) }

// Flooded reports whether the demand of a tier exceeds what strict priority can serve.
func (s *Shares) Flooded(order int) bool {
	t := s.state(order)
	return t != nil && t.flooded
}

// updateFlooded updates which tiers are flooded.
func (s *Shares) updateFlooded(now time.Duration) {
	demand, given, served := 0.0, 0.0, 0.0
	for _, t := range s.tiers {
		demand += t.demand.PerSecond(now)
		given += t.granted.PerSecond(now)
		served += t.served.PerSecond(now)
		switch {
		case !t.backlog || t.oldestWait < t.FloodWait/2:
			t.flooded = false
		case t.flooded:
			t.capacity = max(t.capacity, given)
			t.flooded = demand >= minFloodDemand*t.capacity
		case t.oldestWait >= t.FloodWait && served >= minFloodService*s.served.PerSecond(now) && demand >= minFloodDemand*given:
			t.flooded, t.capacity = true, given
		}
	}
}

// Order appends the tiers with waiting requests to dst in the order in which they are tried. From the first flooded tier on,
// tiers that have received more than their share come last.
func (s *Shares) Order(now time.Duration, dst []int) []int {
	s.updateFlooded(now)
	var overServed []*tierState
	flooded := false
	for _, t := range s.tiers {
		flooded = flooded || t.flooded
		if !t.backlog {
			continue
		}
		if t.credit < 0 && flooded {
			overServed = append(overServed, t)
			continue
		}
		dst = append(dst, t.Order)
	}
	slices.SortStableFunc(overServed, func(a, b *tierState) int {
		switch {
		case a.credit > b.credit:
			return -1
		case a.credit < b.credit:
			return 1
		}
		return 0
	})
	for _, t := range overServed {
		dst = append(dst, t.Order)
	}
	return dst
}

// AgedTier returns the lowest tier whose oldest request has waited for AgeWait, if the reserved fraction of the service allows
// one more request.
func (s *Shares) AgedTier() (order int, ok bool) {
	if s.agedCredit <= 0 {
		return 0, false
	}
	for _, t := range slices.Backward(s.tiers) {
		if t.backlog && t.AgeWait > 0 && t.oldestWait >= t.AgeWait {
			return t.Order, true
		}
	}
	return 0, false
}
