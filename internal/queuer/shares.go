package queuer

import (
	"slices"
	"time"
)

const (
	// rateTime is the averaging time of demand and service. It covers the output time of a typical short answer, so
	// that single long requests do not look like a flood.
	rateTime = 5 * time.Second
	// floodPart is the part of the service that a tier and those above it must have received before the tier counts as
	// flooded. Below it, strict order can still give them more.
	floodPart = 0.8
	// floodDemand is the part of the service given that must have been asked for.
	floodDemand = 0.9
	// creditTime bounds how much service a tier can be owed or owe, in time of the whole pool's service.
	creditTime = 5 * time.Second
	// agedShare is the part of the service kept for tiers whose oldest request has waited for the ageing time.
	agedShare = 0.02
)

// TierShare is the part of a tier's settings that decides its order.
type TierShare struct {
	Order int
	Share float64
	// FloodWait is the wait of the oldest request from which a tier may count as flooded.
	FloodWait time.Duration
	// AgeWait is the wait of the oldest request from which the tier gets a part of the service in any case.
	AgeWait time.Duration
}

// Shares decide which tier is served next. As long as the demand of the higher tiers is within capacity, the order is
// strict. A tier that, together with the tiers above it, receives nearly all service and still waits longer than its
// target is flooded; from then on it is served only while it has received no more than its share, until its demand falls
// below what the pool gave it before.
type Shares struct {
	tiers   []*shareState // by order
	served  Rate
	agedDue float64
}

type shareState struct {
	TierShare
	credit   float64
	demand   Rate // size of the requests that arrived
	given    Rate // size of the requests that were granted
	served   Rate // tokens of service
	oldest   time.Duration
	backlog  bool
	flooded  bool
	capacity float64 // size per second that this tier and those above it were given at the start of the flood
}

// NewShares returns shares of the given tiers, keeping the accounts of tiers that old already knows. Old may be nil.
func NewShares(tiers []TierShare, old *Shares) *Shares {
	s := &Shares{}
	if old != nil {
		s.served = old.served
	}
	for _, t := range tiers {
		if t.Share < 0 {
			t.Share = 0
		}
		state := &shareState{TierShare: t}
		if o := old.state(t.Order); o != nil {
			share := state.TierShare
			*state = *o
			state.TierShare = share
		}
		s.tiers = append(s.tiers, state)
	}
	slices.SortStableFunc(s.tiers, func(a, b *shareState) int { return a.Order - b.Order })
	return s
}

func (s *Shares) state(order int) *shareState {
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

// Demand books tokens that arrived for a tier.
func (s *Shares) Demand(now time.Duration, order int, tokens float64) {
	if t := s.state(order); t != nil {
		t.demand.Add(now, tokens)
	}
}

// Backlog sets whether a tier has waiting work and how long the oldest of it has waited.
func (s *Shares) Backlog(order int, waiting bool, oldest time.Duration) {
	if t := s.state(order); t != nil {
		t.backlog, t.oldest = waiting, oldest
	}
}

// Serve books a request granted to a tier: its size, in the measure of Demand, and its tokens of service, which leave
// out what a cached prefix saves. Tiers that wait earn their share of the service.
func (s *Shares) Serve(now time.Duration, order int, size, tokens float64) {
	s.served.Add(now, tokens)
	limit := max(s.served.PerSecond(now)*creditTime.Seconds(), tokens)
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
			t.given.Add(now, size)
			t.served.Add(now, tokens)
			t.credit -= tokens
			if t.AgeWait > 0 && t.oldest >= t.AgeWait {
				s.agedDue -= tokens
			}
		}
		t.credit = min(max(t.credit, -limit), limit)
	}
	// The part for aged work does not add up while there is none; it would come as a burst before urgent work.
	s.agedDue = min(max(s.agedDue+agedShare*tokens, -limit), max(agedShare*limit, tokens))
}

// ServedPerSecond returns the tokens of service granted per second.
func (s *Shares) ServedPerSecond(now time.Duration) float64 { return s.served.PerSecond(now) }

// Flooded reports whether a tier's demand exceeds what strict order can serve.
func (s *Shares) Flooded(order int) bool {
	t := s.state(order)
	return t != nil && t.flooded
}

// detect updates which tiers are flooded.
func (s *Shares) detect(now time.Duration) {
	demand, given, served := 0.0, 0.0, 0.0
	for _, t := range s.tiers {
		demand += t.demand.PerSecond(now)
		given += t.given.PerSecond(now)
		served += t.served.PerSecond(now)
		switch {
		case !t.backlog || t.oldest < t.FloodWait/2:
			t.flooded = false
		case t.flooded:
			t.capacity = max(t.capacity, given)
			t.flooded = demand >= floodDemand*t.capacity
		case t.oldest >= t.FloodWait && served >= floodPart*s.served.PerSecond(now) && demand >= floodDemand*given:
			t.flooded, t.capacity = true, given
		}
	}
}

// Order appends the tiers with waiting work to dst in the order in which they are to be tried. From the first flooded
// tier on, the shares count.
func (s *Shares) Order(now time.Duration, dst []int) []int {
	s.detect(now)
	var behind []*shareState
	flooded := false
	for _, t := range s.tiers {
		flooded = flooded || t.flooded
		if !t.backlog {
			continue
		}
		if t.credit < 0 && flooded {
			behind = append(behind, t)
			continue
		}
		dst = append(dst, t.Order)
	}
	slices.SortStableFunc(behind, func(a, b *shareState) int {
		switch {
		case a.credit > b.credit:
			return -1
		case a.credit < b.credit:
			return 1
		}
		return 0
	})
	for _, t := range behind {
		dst = append(dst, t.Order)
	}
	return dst
}

// Aged returns the lowest tier whose oldest request has waited for the ageing time, if the part of the service kept for
// such work allows one more request.
func (s *Shares) Aged() (order int, ok bool) {
	if s.agedDue <= 0 {
		return 0, false
	}
	for _, t := range slices.Backward(s.tiers) {
		if t.backlog && t.AgeWait > 0 && t.oldest >= t.AgeWait {
			return t.Order, true
		}
	}
	return 0, false
}
