package ratelimiter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
)

const workspace = uint64(7)

// tallyCluster is a set of hosts that receive only the totals of a few tallies, and not each other's usage.
type tallyCluster struct {
	hosts     []*ratelimiter.Limiter
	totals    []map[string]float64 // usage of the other hosts, as each host sums it
	lastTotal []float64
	tallyOf   []int
	moved     []bool
	tallies   []*ratelimiter.Tally
	admitted  []float64
	// noReportsUntil is the time before which no host receives totals.
	noReportsUntil time.Duration
}

func newTallyCluster(hosts, tallies int) *tallyCluster {
	c := &tallyCluster{}
	for i := range hosts {
		a := ratelimiter.New(start, window*time.Second)
		a.SetLimits(start, map[string]ratelimiter.Limit{"w": {Rate: rate, Burst: burst}})
		c.hosts, c.totals = append(c.hosts, a), append(c.totals, map[string]float64{"w": 0})
		c.lastTotal, c.tallyOf, c.moved = append(c.lastTotal, 0), append(c.tallyOf, i%tallies), append(c.moved, true)
	}
	for range tallies {
		c.tallies = append(c.tallies, ratelimiter.NewTally(start, window*time.Second))
	}
	return c
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

// move makes a host report to another tally.
func (c *tallyCluster) move(host, to int) {
	c.tallyOf[host], c.moved[host] = to, true
	c.tallies[to].RemoveSource(hostName(host))
}

func (c *tallyCluster) exchange(at time.Duration) {
	now := start.Add(at)
	for i, h := range c.hosts {
		c.tallies[c.tallyOf[i]].ApplyReport(now, hostName(i), ratelimiter.Report{
			Process: 1, Age: at, Totals: map[uint64]float64{workspace: h.Used()["w"]}, Hosts: 1,
		})
	}
	for i, t := range c.tallies {
		own, _ := t.Hosts(now, time.Second)
		for j, other := range c.tallies {
			if i != j {
				other.ApplyReport(now, fmt.Sprintf("tally-%d", i), ratelimiter.Report{
					Process: uint64(i), Age: time.Hour, Totals: t.LocalTotals(), Hosts: own, Peer: true,
				})
			}
		}
	}
	for i, h := range c.hosts {
		t := c.tallies[c.tallyOf[i]]
		if at < c.noReportsUntil {
			continue
		}
		sum := t.TotalsExcept(hostName(i))[workspace]
		if c.moved[i] {
			h.CommitAssumed(now, "others")
		} else {
			c.totals[i]["w"] += sum - c.lastTotal[i]
		}
		c.lastTotal[i], c.moved[i] = sum, false
		_, all := t.Hosts(now, time.Second)
		h.ApplyReport(now, "others", time.Hour, c.totals[i])
		h.SetPeerHosts("others", all-1)
	}
}

func (c *tallyCluster) run(from, length time.Duration, demand float64, interval time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	due := 0.0
	for at := from; at < from+length; at += tick {
		admitted := 0.0
		for due += demand * tick.Seconds(); due >= cost; due -= cost {
			if ok, _ := c.hosts[rng.IntN(len(c.hosts))].Take(start.Add(at), "w", cost); ok {
				admitted += cost
			}
		}
		c.admitted = append(c.admitted, admitted)
		if at%interval == 0 {
			c.exchange(at)
		}
	}
}

func (c *tallyCluster) maxWindowUsage() float64 {
	return (&cluster{admitted: c.admitted}).maxWindowUsage()
}

// Guards against hundreds of hosts, each of which sees only totals and a small part of the usage, that admit more or much less
// than a single host would.
func TestLimitThroughTallies(t *testing.T) {
	c := newTallyCluster(300, 5)
	c.run(0, 30*time.Second, 5*rate, 200*time.Millisecond)
	limit := (rate*window + burst) * 1.1
	if got := c.maxWindowUsage(); got > limit || got < 0.9*(rate*window+burst) {
		t.Errorf("%.0f units in a window, want at most %.0f and at least 0.9 of the limit", got, limit)
	}
}

// Guards against refusing demand below the limit when usage is exchanged through tallies. When hosts switch tallies, the new
// tally must not count their earlier usage again.
func TestDemandBelowLimitThroughTallies(t *testing.T) {
	c := newTallyCluster(60, 3)
	c.run(0, 10*time.Second, 0, 100*time.Millisecond)
	c.admitted = nil
	c.run(10*time.Second, 6*time.Second, 0.85*rate, 100*time.Millisecond)
	for host := range c.hosts {
		c.move(host, (c.tallyOf[host]+1)%3)
	}
	c.run(16*time.Second, 6*time.Second, 0.85*rate, 100*time.Millisecond)
	for host := range c.hosts {
		c.move(host, (c.tallyOf[host]+2)%3)
	}
	c.run(22*time.Second, 8*time.Second, 0.85*rate, 100*time.Millisecond)
	total := 0.0
	for _, units := range c.admitted {
		total += units
	}
	if want := 0.85 * rate * 20 * 0.99; total < want {
		t.Errorf("%.0f units admitted, want at least %.0f", total, want)
	}
}

// Guards against losing the usage of hosts that switch tallies under overload: the totals of the new tally must continue where
// those of the old one ended.
func TestLimitWhenHostsSwitchTallies(t *testing.T) {
	c := newTallyCluster(60, 3)
	c.run(0, 12*time.Second, 4*rate, 100*time.Millisecond)
	for host := range c.hosts {
		c.move(host, (c.tallyOf[host]+1)%3)
	}
	c.run(12*time.Second, 12*time.Second, 4*rate, 100*time.Millisecond)
	if got, limit := c.maxWindowUsage(), (rate*window+burst)*1.1+rate/2; got > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", got, limit)
	}
}

// Guards against exceeding the limit under overload when all hosts lose their tally for a second and continue with another one,
// whose totals don't contain the usage in between.
func TestLimitWhenTallyIsLost(t *testing.T) {
	c := newTallyCluster(60, 3)
	c.run(0, 10*time.Second, 2*rate, 100*time.Millisecond)
	for i, at := range []time.Duration{10, 14, 18} {
		c.noReportsUntil = (at + 1) * time.Second
		for host := range c.hosts {
			c.move(host, (c.tallyOf[host]+1+i%2)%3)
		}
		c.run(at*time.Second, 4*time.Second, 5*rate, 100*time.Millisecond)
	}
	if got, limit := c.maxWindowUsage(), (rate*window+burst)*1.1; got > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", got, limit)
	}
}

// Guards against a history that covers more time than the tally has run.
func TestHistoryOfNewTally(t *testing.T) {
	tally := ratelimiter.NewTally(start, window*time.Second)
	tally.ApplyReport(start, "a", ratelimiter.Report{Totals: map[uint64]float64{workspace: 0}, Hosts: 1})
	tally.ApplyReport(start.Add(time.Second), "a", ratelimiter.Report{Age: time.Second, Totals: map[uint64]float64{workspace: 100}, Hosts: 1})
	got := tally.History(start.Add(2 * time.Second))[workspace]
	sum := 0.0
	for _, units := range got {
		sum += units
	}
	// An interval of the history lasts half a second.
	if diff := cmp.Diff([]float64{4, 100}, []float64{float64(len(got)), sum}); diff != "" {
		t.Errorf("intervals and units of the history (-want +got):\n%s", diff)
	}
}
