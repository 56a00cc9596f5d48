// Package ratelimiter enforces limits that apply across all hosts without a request to another host on the admission path: the
// rate limits (allotments) of workspaces and the retry budget of a pool. It does no I/O and reads no clock: time and the
// counters of peers are inputs.
//
// Each host sums the usage of a workspace over all hosts in a sliding window: the units it admits itself and the units its peers
// report. Concurrent admissions can exceed the limit slightly; the excess stays in the window and reduces later admissions. A
// newly started host copies the window from a peer that has run longer, and until then admits no more than the average rate.
package ratelimiter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rateSmoothing is the weight of the newest sample in the moving average of a peer's usage rate. Reports that follow each
	// other within minRateInterval give no sample.
	rateSmoothing   = 0.3
	minRateInterval = 20 * time.Millisecond
	// scarcityHorizon is the time for which the remaining capacity of a window must last at the full rate. With less capacity,
	// each host admits only its share of it.
	scarcityHorizon = time.Second
	// shareInterval is the time over which this host's share of the total usage is measured.
	shareInterval = time.Second
	// silenceTimeout is the time without a report after which a peer counts as silent. Its usage is extrapolated from its past
	// rate until then, and assumed to equal that of this host afterwards. It tolerates a few lost datagrams.
	silenceTimeout = 500 * time.Millisecond
	// minBurstDuration is the least burst of a limit, as a time at its rate. With a burst of 0 no request would be admitted.
	minBurstDuration = 100 * time.Millisecond
	// DefaultWindow is the window length used when none is configured.
	DefaultWindow = 8 * time.Second
	// startupPeriod is the time after its start during which a host merges the windows of its peers.
	startupPeriod = 2 * time.Second
	// peerTimeout is the time without a report after which a peer that represents one host expires: its configuration is no
	// longer confirmed, so it admits nothing. A peer that represents many hosts doesn't expire, because a missing report then
	// only means that the report was lost.
	peerTimeout = 5 * time.Second
	// minRetryAfter is the shortest delay returned to a refused caller, since hosts exchange their usage a few times a second.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the delay from which a retry is not scheduled, because longer predictions are unreliable.
	maxRetryAfter = 10 * time.Second
)

// Limit is the limit of a workspace over all hosts: Rate units per second averaged over a window, plus Burst units per window.
type Limit struct {
	Rate  float64
	Burst float64
}

// account is the usage of one workspace.
type account struct {
	limit  Limit
	window window
	local  window // the part of window that this host admitted
	// exempt is the part of window that doesn't count against the limit, because it was admitted under a higher one.
	exempt window
	used   float64 // units admitted by this host since its start
	// credit is the number of units that this host may admit while capacity is scarce, and creditAt the time it was last
	// updated. creditAt is zero while capacity isn't scarce.
	credit   float64
	creditAt time.Time
	// historyUnknown is true while the usage before the start of this host is unknown.
	historyUnknown bool
	// retries are the refused requests whose retry time is in the future, ordered by that time, and retryUnits is the sum of
	// their units.
	retries    []scheduledRetry
	retryUnits float64
}

// countedUsage returns the usage in the window that counts against the limit.
func (c *account) countedUsage() float64 { return c.window.sum - c.exempt.sum }

// timeUntilBelow returns the time until the counted usage falls below limit if nothing else is admitted.
func (c *account) timeUntilBelow(limit float64) time.Duration {
	if c.exempt.sum == 0 {
		return c.window.timeUntilBelow(limit)
	}
	counted := c.window
	for i := range counted.buckets {
		counted.buckets[i] -= c.exempt.buckets[i]
	}
	counted.sum = c.countedUsage()
	return counted.timeUntilBelow(limit)
}

// withinShare reports whether a request fits into this host's share of the remaining capacity. Shares apply while capacity is
// scarce, because all hosts see the same remaining capacity and receive only later what the others admitted. peersRate is the
// recent usage of all peers in units per second.
func (c *account) withinShare(now time.Time, units, peersRate float64, hosts int) bool {
	remaining := c.capacity() - c.countedUsage()
	if hosts == 1 || remaining >= c.limit.Rate*scarcityHorizon.Seconds() {
		c.creditAt = time.Time{}
		return true
	}
	// Without any usage so far, this host may receive all the requests or only a fraction of them.
	share := 1 / math.Sqrt(float64(hosts))
	if localRate := c.local.recent(shareInterval) / shareInterval.Seconds(); localRate+peersRate > 0 {
		share = max(1/float64(hosts), localRate/(localRate+peersRate))
	}
	if c.creditAt.IsZero() {
		c.credit = share * remaining
	} else {
		c.credit += share * c.capacity() * now.Sub(c.creditAt).Seconds() / c.window.length.Seconds()
		c.credit = min(c.credit, max(share*remaining, units))
	}
	c.creditAt = now
	return c.credit >= units/2
}

// scheduledRetry is a refused request with its retry time.
type scheduledRetry struct {
	due   time.Time
	units float64
}

func (c *account) capacity() float64 { return c.limit.Rate*c.window.length.Seconds() + c.limit.Burst }

// scheduleRetry returns the delay after which a refused request should be retried. Requests refused earlier are retried first,
// and each host is assumed to have refused as much as this one. Otherwise all of them would be retried at once, and the first
// few would use up the limit again.
func (c *account) scheduleRetry(now time.Time, units float64, hosts int) time.Duration {
	for len(c.retries) > 0 && !now.Before(c.retries[0].due) {
		c.retryUnits -= c.retries[0].units
		c.retries = c.retries[1:]
	}
	wait := c.timeUntilBelow(c.capacity() - units/2 - c.retryUnits*float64(hosts))
	if wait >= min(maxRetryAfter, c.window.length) {
		return wait
	}
	due := now.Add(wait)
	i, _ := slices.BinarySearchFunc(c.retries, due, func(p scheduledRetry, due time.Time) int { return p.due.Compare(due) })
	c.retries = slices.Insert(c.retries, i, scheduledRetry{due: due, units: units})
	c.retryUnits += units
	return wait
}

// peerUsage is the usage that a peer reported, and the usage assumed since its last report.
type peerUsage struct {
	used         map[string]float64
	startedAt    time.Time
	reportedAt   time.Time
	assumedUntil time.Time // usage was extrapolated up to this time
	assumed      map[string]float64
	// rate is the recent usage in units per second, and hosts the number of hosts that the peer represents.
	rate  map[string]float64
	hosts int
	// expired is true after peerTimeout without a report. The reported totals are kept, so that they aren't counted again if
	// the peer returns.
	expired bool
}

// Limiter tracks the usage of each workspace against its limit. It is not safe for concurrent use.
type Limiter struct {
	// AllowInitialBurst makes the burst available right after the start. It is valid where nothing can be admitted for some time
	// before the start. Otherwise the whole limit counts as used up at the start.
	AllowInitialBurst bool
	// SilentPeersIdle states that a silent peer admits nothing. Otherwise it is assumed to admit as much as this host.
	SilentPeersIdle bool

	started      time.Time
	windowLength time.Duration
	accounts     map[string]*account
	peers        map[string]*peerUsage
}

// New returns the tracker of a host that starts now. A length of 0 selects the default window length.
func New(now time.Time, length time.Duration) *Limiter {
	if length <= 0 {
		length = DefaultWindow
	}
	return &Limiter{started: now, windowLength: length, accounts: map[string]*account{}, peers: map[string]*peerUsage{}}
}

// SetLimits replaces the limits, by workspace. A workspace without a limit is not limited.
func (lim *Limiter) SetLimits(now time.Time, limits map[string]Limit) {
	for name, l := range limits {
		l.Burst = max(l.Burst, l.Rate*minBurstDuration.Seconds())
		c := lim.accounts[name]
		if c == nil {
			c = &account{
				limit: l, window: window{length: lim.windowLength, epoch: lim.started}, local: window{length: lim.windowLength, epoch: lim.started},
				exempt: window{length: lim.windowLength, epoch: lim.started},
			}
			if now.Sub(lim.started) < lim.windowLength {
				// The usage before the start of this host is unknown and may have been the whole limit.
				rate := c.capacity() / lim.windowLength.Seconds()
				if lim.AllowInitialBurst {
					rate = l.Rate
				}
				c.window.fill(lim.started, rate)
				c.historyUnknown = true
			}
			lim.accounts[name] = c
		}
		c.window.advance(now)
		c.exempt.advance(now)
		switch {
		case l.Rate < c.limit.Rate:
			// Usage admitted under the higher limit doesn't count against the lower one; otherwise the workspace could be
			// refused for a whole window.
			c.exempt.addShare(&c.window, 1-l.Rate/c.limit.Rate)
		case l.Rate > c.limit.Rate:
			// After an increase all usage counts, so that toggling a limit doesn't admit more than the higher one.
			c.exempt.clear()
		}
		c.limit = l
	}
	maps.DeleteFunc(lim.accounts, func(name string, _ *account) bool { _, kept := limits[name]; return !kept })
}

// Take admits a request of the given units, or returns the delay after which to retry. A request of any size is admitted while
// the window has any capacity left, so that large requests are refused no more often than small ones.
func (lim *Limiter) Take(now time.Time, workspace string, units float64) (admitted bool, retryAfter time.Duration) {
	c := lim.accounts[workspace]
	if c == nil {
		return true, 0
	}
	lim.assumePeerUsage(now)
	c.window.advance(now)
	c.local.advance(now)
	c.exempt.advance(now)
	silent := lim.silentHosts(now)
	if c.countedUsage() >= c.capacity() || silent > 0 && c.countedUsage()+units*float64(1+silent) > c.capacity() ||
		!c.withinShare(now, units, lim.peerRate(workspace), lim.PeerHosts()+1) {
		return false, max(c.scheduleRetry(now, units, lim.PeerHosts()+1), minRetryAfter)
	}
	c.window.add(now, units)
	c.local.add(now, units)
	c.credit -= units
	c.used += units
	lim.mirrorToSilentPeers(now, workspace, units)
	return true, 0
}

// Charge counts units that were admitted without a check against the limit.
func (lim *Limiter) Charge(now time.Time, workspace string, units float64) {
	if c := lim.accounts[workspace]; c != nil {
		c.window.add(now, units)
		c.local.add(now, units)
		c.credit -= units
		c.used += units
	}
}

// Return gives back the units of an admitted request that didn't run.
func (lim *Limiter) Return(now time.Time, workspace string, units float64) {
	if c := lim.accounts[workspace]; c != nil {
		c.window.add(now, -units)
		c.local.add(now, -units)
		c.credit += units
		c.used -= units
	}
}

// Used returns the units that this host admitted since its start, by workspace.
func (lim *Limiter) Used() map[string]float64 {
	out := make(map[string]float64, len(lim.accounts))
	for name, c := range lim.accounts {
		if c.used > 0 {
			out[name] = c.used
		}
	}
	return out
}

// Available returns the units that a workspace can use immediately. It is negative while the workspace exceeds its limit.
func (lim *Limiter) Available(workspace string) float64 {
	if c := lim.accounts[workspace]; c != nil {
		return c.capacity() - c.countedUsage()
	}
	return 0
}

// PeerHosts returns the number of other hosts covered by peers that haven't expired.
func (lim *Limiter) PeerHosts() int {
	n := 0
	for _, p := range lim.peers {
		if !p.expired {
			n += p.hosts
		}
	}
	return n
}

// CommitAssumed makes the usage assumed for a peer since its last report permanent. It is used when another source takes over the
// totals of the peer, which then don't contain the usage in between.
func (lim *Limiter) CommitAssumed(now time.Time, process string) {
	lim.assumePeerUsage(now)
	if p := lim.peers[process]; p != nil {
		clear(p.assumed)
	}
}

// SetPeerHosts sets the number of hosts that a peer represents.
func (lim *Limiter) SetPeerHosts(process string, hosts int) {
	if p := lim.peers[process]; p != nil {
		p.hosts = hosts
	}
}

// ApplyReport applies a report of a peer: its total units by workspace since its start. process identifies one run of the peer,
// and age is how long that process has run.
func (lim *Limiter) ApplyReport(now time.Time, process string, age time.Duration, used map[string]float64) {
	p := lim.peers[process]
	if p == nil {
		p = &peerUsage{used: map[string]float64{}, assumed: map[string]float64{}, rate: map[string]float64{}, hosts: 1}
		lim.peers[process] = p
		if now.Add(-age).Before(lim.started) {
			// When an older process admitted its units is unknown, so its first totals serve as the baseline.
			p.used = maps.Clone(used)
		}
	}
	p.startedAt = now.Add(-age)
	elapsed := now.Sub(p.reportedAt).Seconds()
	for name, total := range used {
		c := lim.accounts[name]
		if c == nil {
			continue
		}
		delta := total - p.used[name]
		c.window.add(now, delta-p.assumed[name])
		if !p.reportedAt.IsZero() && elapsed >= minRateInterval.Seconds() {
			p.rate[name] += rateSmoothing * (max(0, delta)/elapsed - p.rate[name])
		}
	}
	for name, units := range p.assumed {
		if _, reported := used[name]; !reported {
			if c := lim.accounts[name]; c != nil {
				c.window.add(now, -units)
			}
		}
	}
	clear(p.assumed)
	p.used, p.reportedAt, p.assumedUntil, p.expired = maps.Clone(used), now, now, false
}

// HistoryForNewPeers returns the windows of the workspaces if a peer started within startupPeriod, and nil otherwise.
func (lim *Limiter) HistoryForNewPeers(now time.Time) map[string][]float64 {
	hasNewPeer := false
	for _, p := range lim.peers {
		hasNewPeer = hasNewPeer || now.Sub(p.startedAt) < startupPeriod
	}
	if !hasNewPeer {
		return nil
	}
	return lim.Windows(now)
}

// Windows returns the usage in the window of each workspace as historyBuckets equal intervals, the newest first. Workspaces
// whose history this host doesn't have are left out.
func (lim *Limiter) Windows(now time.Time) map[string][]float64 {
	out := map[string][]float64{}
	for name, c := range lim.accounts {
		if !c.historyUnknown || now.Sub(lim.started) >= lim.windowLength {
			out[name] = c.window.history(now)
		}
	}
	return out
}

// MergeWindows merges the windows of a peer. It does nothing unless this host has just started.
func (lim *Limiter) MergeWindows(now time.Time, history map[string][]float64) {
	if now.Sub(lim.started) >= startupPeriod {
		return
	}
	for name, intervals := range history {
		c := lim.accounts[name]
		if c == nil {
			continue
		}
		knownSince := time.Time{}
		if c.historyUnknown {
			knownSince = lim.started
		}
		c.window.mergeHistory(now, knownSince, intervals)
		c.historyUnknown = false
	}
}

// assumePeerUsage extrapolates the usage of each peer at its recent rate from its last report until silenceTimeout, and expires
// peers that haven't reported for peerTimeout.
func (lim *Limiter) assumePeerUsage(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(lim.peers)) {
		p := lim.peers[name]
		if now.Sub(p.reportedAt) > peerTimeout && p.hosts <= 1 {
			p.expired = true
			continue
		}
		until := now
		if silentFrom := p.reportedAt.Add(silenceTimeout); now.After(silentFrom) {
			until = silentFrom
		}
		if !until.After(p.assumedUntil) {
			continue
		}
		for workspace, rate := range p.rate {
			if c := lim.accounts[workspace]; c != nil {
				p.assume(now, c, workspace, rate*until.Sub(p.assumedUntil).Seconds())
			}
		}
		p.assumedUntil = until
	}
}

// peerRate returns the recent usage of a workspace by all peers, in units per second.
func (lim *Limiter) peerRate(workspace string) float64 {
	rate := 0.0
	for _, p := range lim.peers {
		if !p.expired {
			rate += p.rate[workspace]
		}
	}
	return rate
}

// silentHosts returns the number of hosts without a recent report. Each of them may admit as much as this host, and an excess
// there would go unnoticed, so the window must have capacity for all of them.
func (lim *Limiter) silentHosts(now time.Time) int {
	if lim.SilentPeersIdle {
		return 0
	}
	n := 0
	for _, p := range lim.peers {
		if now.Sub(p.reportedAt) > silenceTimeout && !p.expired {
			n += p.hosts
		}
	}
	return n
}

// mirrorToSilentPeers assumes that each silent host admitted as many units as this host just did, until the host reports again
// or expires. Otherwise partitioned hosts would each use the capacity that the others leave free.
func (lim *Limiter) mirrorToSilentPeers(now time.Time, workspace string, units float64) {
	if lim.SilentPeersIdle {
		return
	}
	for _, p := range lim.peers {
		if now.Sub(p.reportedAt) > silenceTimeout && !p.expired {
			p.assume(now, lim.accounts[workspace], workspace, units*float64(p.hosts))
		}
	}
}

// assume counts units for the peer until its next report replaces them.
func (p *peerUsage) assume(now time.Time, c *account, workspace string, units float64) {
	c.window.add(now, units)
	p.assumed[workspace] += units
}
