package ratelimiter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
)

const (
	rate   = 1000.0
	burst  = 1000.0
	window = 8.0
	cost   = 40.0
	tick   = 5 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// cluster is a set of hosts that exchange their usage directly.
type cluster struct {
	hosts    []*ratelimiter.Limiter
	started  []time.Duration
	restarts []int
	admitted []float64 // units admitted per tick, over all hosts
}

func newCluster(n int) *cluster {
	c := &cluster{}
	for range n {
		a := ratelimiter.New(start, window*time.Second)
		a.SetLimits(start, map[string]ratelimiter.Limit{"w": {Rate: rate, Burst: burst}})
		c.hosts, c.started, c.restarts = append(c.hosts, a), append(c.started, 0), append(c.restarts, 0)
	}
	return c
}

// restart replaces a host by a new process without any state.
func (c *cluster) restart(host int, at time.Duration) {
	a := ratelimiter.New(start.Add(at), window*time.Second)
	a.SetLimits(start.Add(at), map[string]ratelimiter.Limit{"w": {Rate: rate, Burst: burst}})
	c.hosts[host], c.started[host] = a, at
	c.restarts[host]++
}

// run offers demand units per second to random hosts. Every interval, the pairs of hosts that connected returns true for
// exchange their usage.
func (c *cluster) run(from, length time.Duration, demand float64, interval time.Duration, connected func(a, b int) bool) {
	rng := rand.New(rand.NewPCG(1, 2))
	due := 0.0
	for at := from; at < from+length; at += tick {
		now := start.Add(at)
		admitted := 0.0
		for due += demand * tick.Seconds(); due >= cost; due -= cost {
			if ok, _ := c.hosts[rng.IntN(len(c.hosts))].Take(now, "w", cost); ok {
				admitted += cost
			}
		}
		c.admitted = append(c.admitted, admitted)
		if at%interval != 0 {
			continue
		}
		for i, a := range c.hosts {
			for j, b := range c.hosts {
				if i != j && connected(i, j) {
					b.ApplyReport(now, fmt.Sprintf("%d/%d", i, c.restarts[i]), at-c.started[i], a.Used())
					b.MergeWindows(now, a.HistoryForNewPeers(now))
				}
			}
		}
	}
}

// maxWindowUsage returns the largest number of units admitted in any window.
func (c *cluster) maxWindowUsage() float64 {
	n, sum, largest := int(window/tick.Seconds()), 0.0, 0.0
	for i, units := range c.admitted {
		sum += units
		if i >= n {
			sum -= c.admitted[i-n]
		}
		largest = max(largest, sum)
	}
	return largest
}

func allConnected(int, int) bool { return true }

// Guards against hosts that count only their own usage: six of them would admit six times the limit.
func TestLimitAcrossHosts(t *testing.T) {
	c := newCluster(6)
	c.run(0, 30*time.Second, 6*rate, 100*time.Millisecond, allConnected)
	if limit := (rate*window + burst) * 1.1; c.maxWindowUsage() > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", c.maxWindowUsage(), limit)
	}
}

// Guards against usage that is counted twice, which would refuse demand below the limit.
func TestDemandBelowLimit(t *testing.T) {
	c := newCluster(6)
	c.run(0, 5*time.Second, 0, 100*time.Millisecond, allConnected)
	c.run(5*time.Second, 20*time.Second, 0.9*rate, 100*time.Millisecond, allConnected)
	total := 0.0
	for _, units := range c.admitted {
		total += units
	}
	if want := 0.9 * rate * 20 * 0.99; total < want {
		t.Errorf("%.0f units admitted, want at least %.0f", total, want)
	}
}

// Guards against partitioned hosts that each use the whole limit. A host without a confirmed configuration admits nothing after
// three seconds, so a longer partition is not tested.
func TestLimitDuringPartition(t *testing.T) {
	c := newCluster(6)
	c.run(0, 12*time.Second, 6*rate, 100*time.Millisecond, allConnected)
	c.run(12*time.Second, 3*time.Second, 6*rate, 100*time.Millisecond, func(a, b int) bool { return a%2 == b%2 })
	c.run(15*time.Second, 10*time.Second, 6*rate, 100*time.Millisecond, allConnected)
	if limit := (rate*window+burst)*1.1 + rate; c.maxWindowUsage() > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", c.maxWindowUsage(), limit)
	}
}

// Guards against a restarted process that admits a full burst, although its peers may have just used up the limit.
func TestNewHostAdmitsNoBurst(t *testing.T) {
	c := newCluster(1)
	if ok, _ := c.hosts[0].Take(start, "w", cost); ok {
		t.Error("a new host admitted a request before any time had passed")
	}
}

// Guards against a restarted host that ignores what the others admitted before its start, while all hosts restart in turn under
// overload. With sliding windows that start at the average rate, the hosts together admitted 1.28 times the limit.
func TestLimitDuringRollingRestart(t *testing.T) {
	const hosts = 6
	c := newCluster(hosts)
	c.run(0, 10*time.Second, 0.5*rate, 100*time.Millisecond, allConnected)
	for host := range hosts {
		from := time.Duration(10+host) * time.Second
		c.run(from, time.Second, 3.5*rate, 100*time.Millisecond, allConnected)
		c.restart(host, from+time.Second)
	}
	c.run((10+hosts)*time.Second, 10*time.Second, 3.5*rate, 100*time.Millisecond, allConnected)
	if limit := (rate*window + burst) * 1.1; c.maxWindowUsage() > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", c.maxWindowUsage(), limit)
	}
}

// Guards against hosts whose retries together exceed the ratio and the slack of a window.
func TestRetryBudget(t *testing.T) {
	const hosts, requests = 6, 600
	limit := ratelimiter.RetryLimit{Ratio: 0.2, Slack: 52, Window: 10 * time.Second}
	taken := 0
	budgets := make([]*ratelimiter.RetryBudget, hosts)
	for i := range budgets {
		budgets[i] = ratelimiter.NewRetryBudget(start, limit, hosts)
	}
	for i := range requests {
		now := start.Add(limit.Window * time.Duration(i) / requests)
		budget := budgets[i%hosts]
		budget.RecordRequest(hosts)
		for budget.Take(now, hosts) {
			taken++
		}
	}
	if allowed := limit.Ratio*requests + limit.Slack; float64(taken) > allowed {
		t.Errorf("%d retries of %d requests, want at most %.0f", taken, requests, allowed)
	}
}

// Guards against windows that start when a host receives its first limits, up to a second after its start. No host admits
// anything in between, and without that idle time the limit refused most of the returning callers after a start of all hosts.
func TestIdleTimeBeforeFirstLimits(t *testing.T) {
	a := ratelimiter.New(start, window*time.Second)
	now := start.Add(time.Second)
	a.SetLimits(now, map[string]ratelimiter.Limit{"w": {Rate: rate, Burst: burst}})
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

// Guards against equal retry times for the requests refused in a burst: all but the first few would be refused again.
func TestRetryTimesAreStaggered(t *testing.T) {
	a := ratelimiter.New(start, window*time.Second)
	now := start.Add(time.Second)
	a.SetLimits(now, map[string]ratelimiter.Limit{"w": {Rate: rate, Burst: burst}})
	var retryTimes []time.Time
	for range 3 * int(burst/cost) {
		if ok, retry := a.Take(now, "w", cost); !ok {
			retryTimes = append(retryTimes, now.Add(retry))
		}
	}
	slices.SortFunc(retryTimes, time.Time.Compare)
	again := 0
	for _, at := range retryTimes {
		if ok, _ := a.Take(at, "w", cost); !ok {
			again++
		}
	}
	if again*10 > len(retryTimes) {
		t.Errorf("%d of %d requests were refused again at their retry time", again, len(retryTimes))
	}
}

// Guards against a newly started host that admits more, or much less, than the workspace has left. It doesn't have the usage
// before its start and merges the window of a peer.
func TestNewHostMergesPeerWindow(t *testing.T) {
	for _, test := range []struct {
		name   string
		demand float64
	}{{"little use", 0.2 * rate}, {"used up", 10 * rate}} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(2)
			c.run(0, 10*time.Second, test.demand, 100*time.Millisecond, allConnected)
			c.restart(0, 10*time.Second)
			c.run(10*time.Second, 200*time.Millisecond, 0, 100*time.Millisecond, allConnected)
			now, admitted := start.Add(10200*time.Millisecond), 0.0
			for range int(rate * window / cost) {
				if ok, _ := c.hosts[0].Take(now, "w", cost); ok {
					admitted += cost
				}
			}
			n := int((window - 0.2) / tick.Seconds())
			used := 0.0
			for _, units := range c.admitted[len(c.admitted)-n:] {
				used += units
			}
			left := rate*window + burst - used
			if admitted > left+cost || admitted < left-0.1*(rate*window+burst) {
				t.Errorf("%.0f units admitted, %.0f were left", admitted, left)
			}
		})
	}
}

// Guards against a host that sends a history that it doesn't have: after a start of all hosts, none has the earlier usage.
func TestNoHistoryAfterStartOfAllHosts(t *testing.T) {
	c := newCluster(2)
	c.run(0, time.Second, rate, 100*time.Millisecond, allConnected)
	if got := c.hosts[0].HistoryForNewPeers(start.Add(time.Second)); len(got) > 0 {
		t.Errorf("a newly started host sends the history %v", got)
	}
}

// Guards against wrong accounting when a limit is lowered and raised again within a window. Usage under the higher limit must not
// count against the lower one, and must count again under the higher one; otherwise a workspace could use the limit twice within
// a window.
func TestLimitLoweredAndRaised(t *testing.T) {
	c := newCluster(3)
	c.run(0, 14*time.Second, 3*rate, 100*time.Millisecond, allConnected)
	set := func(at time.Duration, r float64) {
		for _, a := range c.hosts {
			a.SetLimits(start.Add(at), map[string]ratelimiter.Limit{"w": {Rate: r, Burst: r}})
		}
	}
	set(14*time.Second, rate/2)
	before := len(c.admitted)
	c.run(14*time.Second, 2*time.Second, 3*rate, 100*time.Millisecond, allConnected)
	lowered := 0.0
	for _, units := range c.admitted[before:] {
		lowered += units
	}
	if lowered < rate/2 {
		t.Errorf("%.0f units in 2 s under the lower limit, want about %.0f", lowered, rate)
	}
	set(16*time.Second, rate)
	c.run(16*time.Second, 10*time.Second, 3*rate, 100*time.Millisecond, allConnected)
	if limit := (rate*window + burst) * 1.1; c.maxWindowUsage() > limit {
		t.Errorf("%.0f units in a window, want at most %.0f", c.maxWindowUsage(), limit)
	}
}
