// Package spiller decides which requests leave their availability zone for the endpoints of another one, and how many.
//
// Every zone decides by itself, from its own figures and from those of the others, which are some hundred milliseconds old. All zones compute
// the same common wait, at which the queues of all would be equally long in time, and each sends away its own excess over that wait only.
// So several zones that see the same room do not fill it several times.
package spiller

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reservedPlaces is the number of free places that a zone keeps for its own hosts.
	reservedPlaces = 2
	// minGain is the time by which a request must start earlier in another zone before requests begin to leave for that zone. It is well below
	// the shortest latency target that callers have. Requests leave until the gain is below keptGain; the hysteresis keeps a zone from
	// switching on every small change of the figures.
	minGain, keptGain = 30 * time.Millisecond, 10 * time.Millisecond
	// tripsPerRequest is the number of round trips between zones that a request which leaves pays: the redirection, the request and its
	// response.
	tripsPerRequest = 2
	// damping is the part of the excess that leaves on one set of figures. The requests that have left since are not in the next set yet.
	damping = 0.5
	// maxPatienceShare is the largest part of a request's patience that the wait in another zone may take. A zone with a longer queue is about to
	// refuse requests of its own callers, so nobody gains if others join them; one that refuses already takes none.
	maxPatienceShare = 0.5
	// gainWindow is the time constant over which the gain is averaged. A queue of a few requests comes and goes within a fraction of it.
	gainWindow = time.Second
	// maxPlanAge is the age at which a plan is replaced, although no new figures have arrived.
	maxPlanAge = 300 * time.Millisecond
)

// Reason is why a request leaves its zone.
type Reason string

// The reasons.
const (
	// FreePlace means that all places of the home zone are taken and the other zone has free ones.
	FreePlace Reason = "free_place"
	// ShorterWait means that the request would wait longer in its own zone.
	ShorterWait Reason = "shorter_wait"
)

// Zone holds the figures of the endpoints in one availability zone.
type Zone struct {
	Name string
	// Free is the number of requests that could start at once, and Queue the number of those that wait.
	Free, Queue int
	// Rate is the number of requests that have started per second; 0 if it is not known.
	Rate float64
	// Refusing is true if the zone has refused requests in the last moment.
	Refusing bool
	// RoundTrip is the time to the zone and back.
	RoundTrip time.Duration
	// At is when the figures were received.
	At time.Time
}

// backlog returns the number of requests that wait, less the free places.
func (z *Zone) backlog() float64 { return float64(z.Queue - z.Free) }

// wait returns the time until a further request starts. It is negative if there is room.
func (z *Zone) wait() time.Duration { return seconds(z.backlog() / z.Rate) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Choice is the zone that a request leaves for.
type Choice struct {
	Zone   string
	Reason Reason
}

// Change states that requests begin or cease to leave for a zone in order to wait less.
type Change struct {
	Zone  string
	Leave bool
	// Gain is the average time by which requests start earlier there.
	Gain time.Duration
}

// Spiller decides for the requests of one pool in one availability zone. The zero value is ready to use. It is not safe for concurrent use.
type Spiller struct {
	others    map[string]*other
	changed   bool
	plannedAt time.Time
}

// other is what is known about another zone.
type other struct {
	Zone
	// leaving is true while requests leave for the zone, and quota the number that may still leave on the present figures.
	leaving bool
	quota   float64
	// gain is the average time by which requests would start earlier there, with the costs of leaving taken off.
	gain time.Duration
}

// SetZone replaces the figures of another zone.
func (s *Spiller) SetZone(z Zone) {
	if s.others == nil {
		s.others = map[string]*other{}
	}
	o := s.others[z.Name]
	if o == nil {
		o = &other{}
		s.others[z.Name] = o
	}
	o.Zone, s.changed = z, true
}

// Forget removes the zones whose figures were received before a time.
func (s *Spiller) Forget(before time.Time) {
	for name, o := range s.others {
		if o.At.Before(before) {
			delete(s.others, name)
			s.changed = true
		}
	}
}

// Choose decides about a request that would wait for ownWait in its home zone, and may wait for patience. It returns false if the request
// stays.
func (s *Spiller) Choose(home Zone, ownWait, patience time.Duration) (Choice, bool) {
	if len(s.others) == 0 || home.Free > home.Queue {
		return Choice{}, false
	}
	if o := s.roomiest(); o != nil {
		// All requests of this zone use the same figures until the next ones arrive.
		o.Free--
		return Choice{Zone: o.Name, Reason: FreePlace}, true
	}
	var best *other
	for _, o := range s.others {
		wait := o.wait() + o.cost()
		if !o.leaving || o.Refusing || o.quota < 1 || ownWait < wait+keptGain || float64(wait) > maxPatienceShare*float64(patience) {
			continue
		}
		if best == nil || o.quota > best.quota || o.quota == best.quota && o.Name < best.Name {
			best = o
		}
	}
	if best == nil {
		return Choice{}, false
	}
	best.quota--
	return Choice{Zone: best.Name, Reason: ShorterWait}, true
}

// roomiest returns the zone with the most free places beyond the reserved ones, or nil.
func (s *Spiller) roomiest() *other {
	var best *other
	for _, o := range s.others {
		left := o.Free - o.Queue
		if left > reservedPlaces && (best == nil || left > best.Free-best.Queue || left == best.Free-best.Queue && o.Name < best.Name) {
			best = o
		}
	}
	return best
}

// cost returns the time that a request loses by leaving for the zone.
func (o *other) cost() time.Duration { return tripsPerRequest * o.RoundTrip }

// Plan computes how many requests may leave, if there are new figures. It returns the zones for which requests begin or cease to leave.
func (s *Spiller) Plan(now time.Time, home Zone) []Change {
	if !s.changed && now.Sub(s.plannedAt) < maxPlanAge {
		return nil
	}
	passed := now.Sub(s.plannedAt)
	s.changed, s.plannedAt = false, now
	backlog, rate := home.backlog(), home.Rate
	for _, o := range s.others {
		if o.Rate > 0 {
			backlog, rate = backlog+o.backlog(), rate+o.Rate
		}
	}
	var changes []Change
	room := 0.0
	common := time.Duration(0)
	if rate > 0 {
		common = seconds(backlog / rate)
	}
	for _, o := range s.others {
		if c, changed := o.update(home, passed); changed {
			changes = append(changes, c)
		}
		o.quota = 0
		if o.leaving && o.Rate > 0 && o.wait() < common {
			o.quota = o.Rate * (common - o.wait()).Seconds()
			room += o.quota
		}
	}
	excess := 0.0
	if home.Rate > 0 {
		excess = max(0, home.Rate*(home.wait()-common).Seconds())
	}
	for _, o := range s.others {
		if o.quota > 0 {
			o.quota *= damping * min(1, excess/room)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	return changes
}

// update decides whether requests leave for the zone, from the figures after some time has passed.
func (o *other) update(home Zone, passed time.Duration) (Change, bool) {
	gain := time.Duration(0)
	if home.Rate > 0 && o.Rate > 0 {
		gain = home.wait() - o.wait() - o.cost()
	}
	o.gain += time.Duration((1 - math.Exp(-passed.Seconds()/gainWindow.Seconds())) * float64(gain-o.gain))
	leave := o.gain >= minGain || o.leaving && o.gain >= keptGain
	if leave == o.leaving {
		return Change{}, false
	}
	o.leaving = leave
	return Change{Zone: o.Name, Leave: leave, Gain: o.gain}, true
}
