package queuer

import (
	"slices"
	"time"
)

const (
	// rateTime is the averaging time of demand and service. It covers the output time of a typical short answer, so
	// that single long requests do not look like a flood.
	rateTime = 5 * time.Second
	// floodFactor is the part of the measured service that the demand of a tier and all higher ones must reach before
	// the tier counts as flooded. Below it, strict order can serve them all.
	floodFactor = 0.9
	// creditTime bounds how much service a tier can be owed or owe, in time of the whole pool's service.
	creditTime = 10 * time.Second
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
// strict. A tier whose demand, together with that of the tiers above it, exceeds the service is flooded; it is then
// served only while it has received no more than its share.
type Shares struct {
	tiers   []*shareState // by order
	served  Rate
	agedDue float64
}

type shareState struct {
	TierShare
	credit  float64
	demand  Rate
	oldest  time.Duration
	backlog bool
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
			state.credit, state.demand = o.credit, o.demand
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

// Serve books tokens of service granted to a tier. Tiers that wait earn their share of it.
func (s *Shares) Serve(now time.Duration, order int, tokens float64) {
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
			t.credit -= tokens
			if t.AgeWait > 0 && t.oldest >= t.AgeWait {
				s.agedDue -= tokens
			}
		}
		t.credit = min(max(t.credit, -limit), limit)
	}
	s.agedDue = min(max(s.agedDue+agedShare*tokens, -limit), limit)
}

// ServedPerSecond returns the tokens of service granted per second.
func (s *Shares) ServedPerSecond(now time.Duration) float64 { return s.served.PerSecond(now) }

// Flooded reports whether a tier's demand exceeds what strict order can serve.
func (s *Shares) Flooded(now time.Duration, order int) bool {
	demand := 0.0
	for _, t := range s.tiers {
		demand += t.demand.PerSecond(now)
		if t.Order == order {
			return t.backlog && t.oldest >= t.FloodWait && demand >= floodFactor*s.served.PerSecond(now)
		}
	}
	return false
}

// Order appends the tiers with waiting work to dst in the order in which they are to be tried.
func (s *Shares) Order(now time.Duration, dst []int) []int {
	var behind []*shareState
	for _, t := range s.tiers {
		if !t.backlog {
			continue
		}
		if t.credit < 0 && s.Flooded(now, t.Order) {
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
