package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
)

const (
	rate   = 1000.0
	burst  = 1000.0
	window = 8.0
	cost   = 40.0
	tick   = 5 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

type fleet struct {
	hosts   []*allotter.Allotter
	started []time.Duration
	lives   []int
	ran     []float64 // units admitted per tick, over all hosts
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for range n {
		a := allotter.New(start, window*time.Second)
		a.SetLimits(start, map[string]allotter.Limit{"w": {Rate: rate, Burst: burst}})
		f.hosts, f.started, f.lives = append(f.hosts, a), append(f.started, 0), append(f.lives, 0)
	}
	return f
}

// restart replaces a host by a process that knows nothing.
func (f *fleet) restart(host int, at time.Duration) {
	a := allotter.New(start.Add(at), window*time.Second)
	a.SetLimits(start.Add(at), map[string]allotter.Limit{"w": {Rate: rate, Burst: burst}})
	f.hosts[host], f.started[host] = a, at
	f.lives[host]++
}

// run offers demand units a second at random hosts and exchanges counters each interval between hosts that connected joins.
func (f *fleet) run(from, length time.Duration, demand float64, interval time.Duration, connected func(a, b int) bool) {
	rng := rand.New(rand.NewPCG(1, 2))
	due := 0.0
	for at := from; at < from+length; at += tick {
		now := start.Add(at)
		admitted := 0.0
		for due += demand * tick.Seconds(); due >= cost; due -= cost {
			if ok, _ := f.hosts[rng.IntN(len(f.hosts))].Take(now, "w", cost); ok {
				admitted += cost
			}
		}
		f.ran = append(f.ran, admitted)
		if at%interval != 0 {
			continue
		}
		for i, a := range f.hosts {
			for j, b := range f.hosts {
				if i != j && connected(i, j) {
					b.Heard(now, fmt.Sprintf("%d/%d", i, f.lives[i]), at-f.started[i], a.Used())
					b.Learn(now, a.History(now))
				}
			}
		}
	}
}

// most returns the largest number of units in any window.
func (f *fleet) most() float64 {
	n, sum, most := int(window/tick.Seconds()), 0.0, 0.0
	for i, units := range f.ran {
		sum += units
		if i >= n {
			sum -= f.ran[i-n]
		}
		most = max(most, sum)
	}
	return most
}

func all(int, int) bool { return true }

// Six hosts that each know only their own use would admit six times the allotment.
func TestAllotmentOverAllHosts(t *testing.T) {
	f := newFleet(6)
	f.run(0, 30*time.Second, 6*rate, 100*time.Millisecond, all)
	if limit := (rate*window + burst) * 1.1; f.most() > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", f.most(), limit)
	}
}

// What is below the allotment is not refused: the counters must not take it twice.
func TestDemandBelowAllotment(t *testing.T) {
	f := newFleet(6)
	f.run(0, 5*time.Second, 0, 100*time.Millisecond, all)
	f.run(5*time.Second, 20*time.Second, 0.9*rate, 100*time.Millisecond, all)
	total := 0.0
	for _, units := range f.ran {
		total += units
	}
	if want := 0.9 * rate * 20 * 0.99; total < want {
		t.Errorf("%.0f units admitted, want at least %.0f", total, want)
	}
}

// Hosts that cannot hear each other must not each use the whole allotment. A host without a confirmed configuration admits
// nothing after three seconds, so a longer cut does not matter.
func TestAllotmentInCut(t *testing.T) {
	f := newFleet(6)
	f.run(0, 12*time.Second, 6*rate, 100*time.Millisecond, all)
	f.run(12*time.Second, 3*time.Second, 6*rate, 100*time.Millisecond, func(a, b int) bool { return a%2 == b%2 })
	f.run(15*time.Second, 10*time.Second, 6*rate, 100*time.Millisecond, all)
	if limit := (rate*window+burst)*1.1 + rate; f.most() > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", f.most(), limit)
	}
}

// A process that restarts does not know what its peers have admitted just before; it must not begin with a full burst.
func TestRestartBeginsEmpty(t *testing.T) {
	f := newFleet(1)
	if ok, _ := f.hosts[0].Take(start, "w", cost); ok {
		t.Error("a new host admitted a request before any time had passed")
	}
}

// Every host restarts in turn during a flood. What the others have admitted before a host started must count for it in some way: in sliding windows that begin at the average rate, the hosts admitted 1.28 times the
// allotment together.
func TestAllotmentInRollingRestart(t *testing.T) {
	const hosts = 6
	f := newFleet(hosts)
	f.run(0, 10*time.Second, 0.5*rate, 100*time.Millisecond, all)
	for host := range hosts {
		from := time.Duration(10+host) * time.Second
		f.run(from, time.Second, 3.5*rate, 100*time.Millisecond, all)
		f.restart(host, from+time.Second)
	}
	f.run((10+hosts)*time.Second, 10*time.Second, 3.5*rate, 100*time.Millisecond, all)
	if limit := (rate*window + burst) * 1.1; f.most() > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", f.most(), limit)
	}
}

// Repeats of all hosts together stay within the ratio and the slack of a window.
func TestRepeats(t *testing.T) {
	const hosts, requests = 6, 600
	limit := allotter.RepeatLimit{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}
	taken := 0
	parts := make([]*allotter.Repeats, hosts)
	for i := range parts {
		parts[i] = allotter.NewRepeats(start, limit, hosts)
	}
	for i := range requests {
		now := start.Add(limit.Window * time.Duration(i) / requests)
		part := parts[i%hosts]
		part.Sent(hosts)
		for part.Take(now, hosts) {
			taken++
		}
	}
	if most := limit.Ratio*requests + limit.Slack; float64(taken) > most {
		t.Errorf("%d repeats of %d requests, want at most %.0f", taken, requests, most)
	}
}

// A host learns its limits only when it has a configuration, up to a second after its start. Nothing was admitted meanwhile.
// Counted from that moment, the allotment refused most of those who returned after a start of all hosts.
func TestRoomBeforeFirstLimits(t *testing.T) {
	a := allotter.New(start, window*time.Second)
	now := start.Add(time.Second)
	a.SetLimits(now, map[string]allotter.Limit{"w": {Rate: rate, Burst: burst}})
	admitted := 0.0
	for range int(burst/cost) + 10 {
		if ok, _ := a.Take(now, "w", cost); ok {
			admitted += cost
		}
	}
	if admitted < rate {
		t.Errorf("%.0f units admitted one second after the start, want %.0f", admitted, rate)
	}
}

// Requests refused in a burst were all told to return at about the same moment, and all but the first were refused again.
func TestRefusedReturnInTurn(t *testing.T) {
	a := allotter.New(start, window*time.Second)
	now := start.Add(time.Second)
	a.SetLimits(now, map[string]allotter.Limit{"w": {Rate: rate, Burst: burst}})
	var returns []time.Time
	for range 3 * int(burst/cost) {
		if ok, retry := a.Take(now, "w", cost); !ok {
			returns = append(returns, now.Add(retry))
		}
	}
	slices.SortFunc(returns, time.Time.Compare)
	again := 0
	for _, at := range returns {
		if ok, _ := a.Take(at, "w", cost); !ok {
			again++
		}
	}
	if again*10 > len(returns) {
		t.Errorf("%d of %d requests were refused again at the time they were told", again, len(returns))
	}
}

// A host that has just started does not know what was admitted before. With a window that it learns from a peer it can use
// what the workspace has left, and no more than that.
func TestStartedHostLearnsWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand float64
	}{{"little use", 0.2 * rate}, {"used up", 10 * rate}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(2)
			f.run(0, 10*time.Second, c.demand, 100*time.Millisecond, all)
			f.restart(0, 10*time.Second)
			f.run(10*time.Second, 200*time.Millisecond, 0, 100*time.Millisecond, all)
			now, admitted := start.Add(10200*time.Millisecond), 0.0
			for range int(rate * window / cost) {
				if ok, _ := f.hosts[0].Take(now, "w", cost); ok {
					admitted += cost
				}
			}
			n := int((window - 0.2) / tick.Seconds())
			used := 0.0
			for _, units := range f.ran[len(f.ran)-n:] {
				used += units
			}
			left := rate*window + burst - used
			if admitted > left+cost || admitted < left-0.1*(rate*window+burst) {
				t.Errorf("%.0f units admitted, %.0f were left", admitted, left)
			}
		})
	}
}

// Only what a host knows counts for a peer that has just started; after a start of all hosts nobody knows the windows before.
func TestNoHistoryAfterStartOfAll(t *testing.T) {
	f := newFleet(2)
	f.run(0, time.Second, rate, 100*time.Millisecond, all)
	if got := f.hosts[0].History(start.Add(time.Second)); len(got) > 0 {
		t.Errorf("a host that has just started tells the history %v", got)
	}
}

// A limit is lowered and raised again within a window. What was used under the higher limit does not count against the lower one,
// and counts once the higher one is back: a workspace would otherwise use it twice within a window.
func TestLimitLoweredAndRaised(t *testing.T) {
	f := newFleet(3)
	f.run(0, 14*time.Second, 3*rate, 100*time.Millisecond, all)
	set := func(at time.Duration, r float64) {
		for _, a := range f.hosts {
			a.SetLimits(start.Add(at), map[string]allotter.Limit{"w": {Rate: r, Burst: r}})
		}
	}
	set(14*time.Second, rate/2)
	before := len(f.ran)
	f.run(14*time.Second, 2*time.Second, 3*rate, 100*time.Millisecond, all)
	lowered := 0.0
	for _, units := range f.ran[before:] {
		lowered += units
	}
	if lowered < rate/2 {
		t.Errorf("%.0f units in 2 s under the lower limit, want about %.0f", lowered, rate)
	}
	set(16*time.Second, rate)
	f.run(16*time.Second, 10*time.Second, 3*rate, 100*time.Millisecond, all)
	if limit := (rate*window + burst) * 1.1; f.most() > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", f.most(), limit)
	}
}
