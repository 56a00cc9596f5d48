package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
)

const workspace = uint64(7)

// summed is hosts that hear of each other only by sums of a few tallies.
type summed struct {
	hosts   []*allotter.Allotter
	totals  []map[string]float64 // as each host adds up what it hears
	heard   []float64
	homes   []int
	changed []bool
	tallies []*allotter.Tally
	ran     []float64
	// deafUntil is the time before which no host hears a tally.
	deafUntil time.Duration
}

func newSummed(hosts, tallies int) *summed {
	s := &summed{}
	for i := range hosts {
		a := allotter.New(start, window*time.Second)
		a.SetLimits(start, map[string]allotter.Limit{"w": {Rate: rate, Burst: burst}})
		s.hosts, s.totals = append(s.hosts, a), append(s.totals, map[string]float64{"w": 0})
		s.heard, s.homes, s.changed = append(s.heard, 0), append(s.homes, i%tallies), append(s.changed, true)
	}
	for range tallies {
		s.tallies = append(s.tallies, allotter.NewTally(start, window*time.Second))
	}
	return s
}

func name(i int) string { return fmt.Sprintf("host-%d", i) }

// move lets a host report to another tally.
func (s *summed) move(host, to int) {
	s.homes[host], s.changed[host] = to, true
	s.tallies[to].Gone(name(host))
}

func (s *summed) exchange(at time.Duration) {
	now := start.Add(at)
	for i, h := range s.hosts {
		s.tallies[s.homes[i]].Heard(now, name(i), allotter.Report{
			Process: 1, Age: at, Totals: map[uint64]float64{workspace: h.Used()["w"]}, Hosts: 1,
		})
	}
	for i, t := range s.tallies {
		own, _ := t.Hosts(now, time.Second)
		for j, other := range s.tallies {
			if i != j {
				other.Heard(now, fmt.Sprintf("tally-%d", i), allotter.Report{
					Process: uint64(i), Age: time.Hour, Totals: t.Own(), Hosts: own, Peer: true,
				})
			}
		}
	}
	for i, h := range s.hosts {
		t := s.tallies[s.homes[i]]
		if at < s.deafUntil {
			continue
		}
		sum := t.Others(name(i))[workspace]
		if s.changed[i] {
			h.KeepAssumed(now, "others")
		} else {
			s.totals[i]["w"] += sum - s.heard[i]
		}
		s.heard[i], s.changed[i] = sum, false
		_, all := t.Hosts(now, time.Second)
		h.Heard(now, "others", time.Hour, s.totals[i])
		h.SetHosts("others", all-1)
	}
}

func (s *summed) run(from, length time.Duration, demand float64, interval time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	due := 0.0
	for at := from; at < from+length; at += tick {
		admitted := 0.0
		for due += demand * tick.Seconds(); due >= cost; due -= cost {
			if ok, _ := s.hosts[rng.IntN(len(s.hosts))].Take(start.Add(at), "w", cost); ok {
				admitted += cost
			}
		}
		s.ran = append(s.ran, admitted)
		if at%interval == 0 {
			s.exchange(at)
		}
	}
}

func (s *summed) most() float64 { return (&fleet{ran: s.ran}).most() }

// Hundreds of hosts that hear sums only must admit what one host would: each of them sees a small part of the use.
func TestSumsOfManyHosts(t *testing.T) {
	s := newSummed(300, 5)
	s.run(0, 30*time.Second, 5*rate, 200*time.Millisecond)
	limit := (rate*window + burst) * 1.1
	if got := s.most(); got > limit || got < 0.9*(rate*window+burst) {
		t.Errorf("%.0f units in a window, want at most %.0f and at least 0.9 of the allotment", got, limit)
	}
}

// Demand below the allotment is not refused when it comes through sums, also while hosts move between tallies, each of which
// would otherwise count what they used before once more.
func TestDemandBelowAllotmentInSums(t *testing.T) {
	s := newSummed(60, 3)
	s.run(0, 10*time.Second, 0, 100*time.Millisecond)
	s.ran = nil
	s.run(10*time.Second, 6*time.Second, 0.85*rate, 100*time.Millisecond)
	for host := range s.hosts {
		s.move(host, (s.homes[host]+1)%3)
	}
	s.run(16*time.Second, 6*time.Second, 0.85*rate, 100*time.Millisecond)
	for host := range s.hosts {
		s.move(host, (s.homes[host]+2)%3)
	}
	s.run(22*time.Second, 8*time.Second, 0.85*rate, 100*time.Millisecond)
	total := 0.0
	for _, units := range s.ran {
		total += units
	}
	if want := 0.85 * rate * 20 * 0.99; total < want {
		t.Errorf("%.0f units admitted, want at least %.0f", total, want)
	}
}

// A host that moves under a flood must not be forgotten: the sums of its new tally go on where those of the old one ended.
func TestMovesInFlood(t *testing.T) {
	s := newSummed(60, 3)
	s.run(0, 12*time.Second, 4*rate, 100*time.Millisecond)
	for host := range s.hosts {
		s.move(host, (s.homes[host]+1)%3)
	}
	s.run(12*time.Second, 12*time.Second, 4*rate, 100*time.Millisecond)
	if got, limit := s.most(), (rate*window+burst)*1.1+rate/2; got > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", got, limit)
	}
}

// All hosts lose their tally for a second in a flood, and go on with another one whose sums do not hold what was used meanwhile.
func TestTallyLostInFlood(t *testing.T) {
	s := newSummed(60, 3)
	s.run(0, 10*time.Second, 2*rate, 100*time.Millisecond)
	for i, at := range []time.Duration{10, 14, 18} {
		s.deafUntil = (at + 1) * time.Second
		for host := range s.hosts {
			s.move(host, (s.homes[host]+1+i%2)%3)
		}
		s.run(at*time.Second, 4*time.Second, 5*rate, 100*time.Millisecond)
	}
	if got, limit := s.most(), (rate*window+burst)*1.1; got > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", got, limit)
	}
}

// A host that has just started hears no more of the past than the tally has seen.
func TestHistoryOfYoungTally(t *testing.T) {
	young := allotter.NewTally(start, window*time.Second)
	young.Heard(start, "a", allotter.Report{Totals: map[uint64]float64{workspace: 0}, Hosts: 1})
	young.Heard(start.Add(time.Second), "a", allotter.Report{Age: time.Second, Totals: map[uint64]float64{workspace: 100}, Hosts: 1})
	got := young.History(start.Add(2 * time.Second))[workspace]
	sum := 0.0
	for _, units := range got {
		sum += units
	}
	// A part of the window lasts half a second.
	if diff := cmp.Diff([]float64{4, 100}, []float64{float64(len(got)), sum}); diff != "" {
		t.Errorf("parts and units of the history (-want +got):\n%s", diff)
	}
}
