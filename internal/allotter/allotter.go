// Package allotter holds the limits that all hosts keep together without asking each other: the allotments of workspaces and
// the budget of repeated requests. It is pure: time and the counters of peers are inputs.
//
// Each host adds up the use of an allotment by all hosts in a sliding window: what it admits itself, and what its peers say
// they have admitted. What hosts admit at the same moment may exceed the allotment by little and is paid back, since it fills
// the window for the time after. A host that has just started learns the window from a peer that has run for longer, and
// admits nothing beyond the average rate until then.
package allotter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// rateStep is the weight of the newest interval in the rate of a peer's use, and minRateSpan the shortest interval from which
	// a rate is learned.
	rateStep    = 0.3
	minRateSpan = 20 * time.Millisecond
	// scarceFor is the time at the full rate that the room of a window must last for; with less room, hosts admit their parts of it.
	scarceFor = time.Second
	// shareFor is the time over which the part of this host in the use of all is taken.
	shareFor = time.Second
	// silentAfter is the silence after which a peer's use is assumed instead of known. It covers a few lost datagrams.
	silentAfter = 500 * time.Millisecond
	// minBurst is the burst of a limit that names none. Without any room no request would be admitted.
	minBurst = 100 * time.Millisecond
	// defaultWindow is the length of the windows unless it is set.
	defaultWindow = 8 * time.Second
	// historyFor is the time after its start in which a host learns the windows of its peers.
	historyFor = 2 * time.Second
	// forgetAfter is the silence after which a peer that is one host counts as gone: it has no confirmed configuration any more
	// and admits nothing. Sums of many hosts only fall silent because they are not heard.
	forgetAfter = 5 * time.Second
	// minRetryAfter is the least time after which a refused caller may return: hosts hear of each other a few times a second.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds what a caller is asked to wait; a longer forecast says nothing.
	maxRetryAfter = 10 * time.Second
)

// Limit is the allotment of a workspace over all hosts: within a window, Rate units a second and Burst units beyond them.
type Limit struct {
	Rate  float64
	Burst float64
}

// account is the use of one workspace.
type account struct {
	limit  Limit
	window window
	own    window // the part of the window that this host has admitted
	// excused is the part of the window that does not count, because it was used under a higher limit.
	excused window
	used    float64 // by this host since its start
	// credit is what this host may admit while there is little room, and creditAt when it was counted last; zero while there is
	// room enough.
	credit   float64
	creditAt time.Time
	// assumed is true while the use before the start of this host is not known.
	assumed bool
	// promises are the refused requests that this host has told to return and whose time has not come yet, and promised is
	// the sum of their units.
	promises []promise
	promised float64
}

// sum returns the use that counts.
func (c *account) sum() float64 { return c.window.sum - c.excused.sum }

// until returns the time until enough has left the window that the use that counts is below a limit.
func (c *account) until(limit float64) time.Duration {
	if c.excused.sum == 0 {
		return c.window.until(limit)
	}
	counted := c.window
	for i := range counted.parts {
		counted.parts[i] -= c.excused.parts[i]
	}
	counted.sum = c.sum()
	return counted.until(limit)
}

// ration reports whether a request is within the part of this host in the last room of the window. All hosts see the same room, and
// each hears some time later what the others have taken of it. Others is what they have used per second lately.
func (c *account) ration(now time.Time, units, others float64, hosts int) bool {
	room := c.capacity() - c.sum()
	if hosts == 1 || room >= c.limit.Rate*scarceFor.Seconds() {
		c.creditAt = time.Time{}
		return true
	}
	// Until some use was seen, a host may be the only one that is asked, or one of many.
	share := 1 / math.Sqrt(float64(hosts))
	if own := c.own.recent(shareFor) / shareFor.Seconds(); own+others > 0 {
		share = max(1/float64(hosts), own/(own+others))
	}
	if c.creditAt.IsZero() {
		c.credit = share * room
	} else {
		c.credit += share * c.capacity() * now.Sub(c.creditAt).Seconds() / c.window.length.Seconds()
		c.credit = min(c.credit, max(share*room, units))
	}
	c.creditAt = now
	return c.credit >= units/2
}

type promise struct {
	due   time.Time
	units float64
}

func (c *account) capacity() float64 { return c.limit.Rate*c.window.length.Seconds() + c.limit.Burst }

// promise returns when a refused request may return. Those refused before it come first, and each host is assumed to have
// refused as much as this one. Without their turn, all that return would meet an allotment that the first of them have used up.
func (c *account) promise(now time.Time, units float64, hosts int) time.Duration {
	for len(c.promises) > 0 && !now.Before(c.promises[0].due) {
		c.promised -= c.promises[0].units
		c.promises = c.promises[1:]
	}
	wait := c.until(c.capacity() - units/2 - c.promised*float64(hosts))
	if wait >= min(maxRetryAfter, c.window.length) {
		return wait
	}
	due := now.Add(wait)
	at, _ := slices.BinarySearchFunc(c.promises, due, func(p promise, due time.Time) int { return p.due.Compare(due) })
	c.promises = slices.Insert(c.promises, at, promise{due: due, units: units})
	c.promised += units
	return wait
}

type peerUse struct {
	used  map[string]float64
	born  time.Time
	at    time.Time
	since time.Time // the time up to which the use of a silent peer was assumed
	owed  map[string]float64
	// rate is the use per second as heard lately, and hosts the number of hosts that are added up.
	rate  map[string]float64
	hosts int
	// gone is true after a long silence. What the peer has told is kept, so that it is not counted again when it comes back.
	gone bool
}

// Allotter follows the allotments. It is not safe for concurrent use.
type Allotter struct {
	// OpensWithBurst lets a burst be used right after the start, where nobody admits anything for some time before. Otherwise all of
	// an allotment counts as used up.
	OpensWithBurst bool
	// SilentIdle states that a peer which is not heard admits nothing. Otherwise it may admit what this host admits.
	SilentIdle bool

	started  time.Time
	length   time.Duration
	accounts map[string]*account
	peers    map[string]*peerUse
}

// New returns an allotter of a host that starts now, with the length of the windows; 0 means the default.
func New(now time.Time, length time.Duration) *Allotter {
	if length <= 0 {
		length = defaultWindow
	}
	return &Allotter{started: now, length: length, accounts: map[string]*account{}, peers: map[string]*peerUse{}}
}

// SetLimits replaces the limits by workspace. A workspace without one is not limited.
func (a *Allotter) SetLimits(now time.Time, limits map[string]Limit) {
	for name, l := range limits {
		l.Burst = max(l.Burst, l.Rate*minBurst.Seconds())
		c := a.accounts[name]
		if c == nil {
			c = &account{
				limit: l, window: window{length: a.length, epoch: a.started}, own: window{length: a.length, epoch: a.started},
				excused: window{length: a.length, epoch: a.started},
			}
			if now.Sub(a.started) < a.length {
				// What was admitted before this host started is unknown to it; it may have been all of the allotment.
				rate := c.capacity() / a.length.Seconds()
				if a.OpensWithBurst {
					rate = l.Rate
				}
				c.window.fill(a.started, rate)
				c.assumed = true
			}
			a.accounts[name] = c
		}
		c.window.advance(now)
		c.excused.advance(now)
		switch {
		case l.Rate < c.limit.Rate:
			// Use that was allowed does not count against a lower limit; the workspace would be refused for a whole window.
			c.excused.takeShare(&c.window, 1-l.Rate/c.limit.Rate)
		case l.Rate > c.limit.Rate:
			// It counts again under the limit that comes back.
			c.excused.clear()
		}
		c.limit = l
	}
	maps.DeleteFunc(a.accounts, func(name string, _ *account) bool { _, kept := limits[name]; return !kept })
}

// Take admits units of a workspace, or returns when to try again. A request is admitted while the window has any room,
// whatever its size, so that large requests are refused no more often than small ones.
func (a *Allotter) Take(now time.Time, workspace string, units float64) (admitted bool, retryAfter time.Duration) {
	c := a.accounts[workspace]
	if c == nil {
		return true, 0
	}
	a.assume(now)
	c.window.advance(now)
	c.own.advance(now)
	c.excused.advance(now)
	silent := a.silentHosts(now)
	if c.sum() >= c.capacity() || silent > 0 && c.sum()+units*float64(1+silent) > c.capacity() ||
		!c.ration(now, units, a.othersRate(workspace), a.Peers()+1) {
		return false, max(c.promise(now, units, a.Peers()+1), minRetryAfter)
	}
	c.window.add(now, units)
	c.own.add(now, units)
	c.credit -= units
	c.used += units
	a.match(now, workspace, units)
	return true, 0
}

// Charge counts units that were admitted without a check here.
func (a *Allotter) Charge(now time.Time, workspace string, units float64) {
	if c := a.accounts[workspace]; c != nil {
		c.window.add(now, units)
		c.own.add(now, units)
		c.credit -= units
		c.used += units
	}
}

// Return gives back the units of a request that did not run.
func (a *Allotter) Return(now time.Time, workspace string, units float64) {
	if c := a.accounts[workspace]; c != nil {
		c.window.add(now, -units)
		c.own.add(now, -units)
		c.credit += units
		c.used -= units
	}
}

// Used returns the units that this host has admitted since its start, by workspace.
func (a *Allotter) Used() map[string]float64 {
	out := make(map[string]float64, len(a.accounts))
	for name, c := range a.accounts {
		if c.used > 0 {
			out[name] = c.used
		}
	}
	return out
}

// Level returns the units that a workspace may still use at once; it is below zero while it has used too much.
func (a *Allotter) Level(workspace string) float64 {
	if c := a.accounts[workspace]; c != nil {
		return c.capacity() - c.sum()
	}
	return 0
}

// Peers returns the number of other hosts heard of lately.
func (a *Allotter) Peers() int {
	n := 0
	for _, p := range a.peers {
		if !p.gone {
			n += p.hosts
		}
	}
	return n
}

// KeepAssumed makes what a peer was assumed to have used since it was heard last final. It is for a peer whose totals go on from
// those of another one, so that what was used in between is not in them.
func (a *Allotter) KeepAssumed(now time.Time, process string) {
	a.assume(now)
	if p := a.peers[process]; p != nil {
		clear(p.owed)
	}
}

// SetHosts states the number of hosts that a peer adds up.
func (a *Allotter) SetHosts(process string, hosts int) {
	if p := a.peers[process]; p != nil {
		p.hosts = hosts
	}
}

// Heard takes the counters of a peer. The key names one process, and age is how long that process has run.
func (a *Allotter) Heard(now time.Time, process string, age time.Duration, used map[string]float64) {
	p := a.peers[process]
	if p == nil {
		p = &peerUse{used: map[string]float64{}, owed: map[string]float64{}, rate: map[string]float64{}, hosts: 1}
		a.peers[process] = p
		if now.Add(-age).Before(a.started) {
			// What an older process admitted before this one started is unknown here and already in the past.
			p.used = maps.Clone(used)
		}
	}
	p.born = now.Add(-age)
	since := now.Sub(p.at).Seconds()
	for name, total := range used {
		c := a.accounts[name]
		if c == nil {
			continue
		}
		delta := total - p.used[name]
		c.window.add(now, delta-p.owed[name])
		if !p.at.IsZero() && since >= minRateSpan.Seconds() {
			p.rate[name] += rateStep * (max(0, delta)/since - p.rate[name])
		}
	}
	for name, units := range p.owed {
		if _, told := used[name]; !told {
			if c := a.accounts[name]; c != nil {
				c.window.add(now, -units)
			}
		}
	}
	clear(p.owed)
	p.used, p.at, p.since, p.gone = maps.Clone(used), now, now, false
}

// History returns the windows of the workspaces in equal parts, the newest first, if a peer has just started and this host
// knows them. Otherwise it returns nil.
func (a *Allotter) History(now time.Time) map[string][]float64 {
	young := false
	for _, p := range a.peers {
		young = young || now.Sub(p.born) < historyFor
	}
	if !young {
		return nil
	}
	return a.Windows(now)
}

// Windows returns the windows of the workspaces in equal parts, the newest first, as far as this host knows them.
func (a *Allotter) Windows(now time.Time) map[string][]float64 {
	out := map[string][]float64{}
	for name, c := range a.accounts {
		if !c.assumed || now.Sub(a.started) >= a.length {
			out[name] = c.window.history(now)
		}
	}
	return out
}

// Learn takes the windows that a peer knows. Only a host that has just started needs them.
func (a *Allotter) Learn(now time.Time, history map[string][]float64) {
	if now.Sub(a.started) >= historyFor {
		return
	}
	for name, parts := range history {
		c := a.accounts[name]
		if c == nil {
			continue
		}
		known := time.Time{}
		if c.assumed {
			known = a.started
		}
		c.window.learn(now, known, parts)
		c.assumed = false
	}
}

// assume takes what peers are expected to have used since they were heard last, which is as much as before, until they have
// fallen silent.
func (a *Allotter) assume(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(a.peers)) {
		p := a.peers[name]
		if now.Sub(p.at) > forgetAfter && p.hosts <= 1 {
			p.gone = true
			continue
		}
		until := now
		if silent := p.at.Add(silentAfter); now.After(silent) {
			until = silent
		}
		if !until.After(p.since) {
			continue
		}
		for workspace, rate := range p.rate {
			if c := a.accounts[workspace]; c != nil {
				p.owe(now, c, workspace, rate*until.Sub(p.since).Seconds())
			}
		}
		p.since = until
	}
}

// othersRate returns what peers use of an allotment per second, as heard lately.
func (a *Allotter) othersRate(workspace string) float64 {
	rate := 0.0
	for _, p := range a.peers {
		if !p.gone {
			rate += p.rate[workspace]
		}
	}
	return rate
}

// silentHosts returns the number of hosts that have fallen silent. Each of them may admit what this host admits, and they are not
// seen to overdraw, so that there must be room for all of it.
func (a *Allotter) silentHosts(now time.Time) int {
	if a.SilentIdle {
		return 0
	}
	n := 0
	for _, p := range a.peers {
		if now.Sub(p.at) > silentAfter && !p.gone {
			n += p.hosts
		}
	}
	return n
}

// match takes as much use of each host that has fallen silent as this host has just admitted, until it is heard again or is gone.
// Hosts that cannot hear each other would otherwise each use what the others leave free.
func (a *Allotter) match(now time.Time, workspace string, units float64) {
	if a.SilentIdle {
		return
	}
	for _, p := range a.peers {
		if now.Sub(p.at) > silentAfter && !p.gone {
			p.owe(now, a.accounts[workspace], workspace, units*float64(p.hosts))
		}
	}
}

// owe counts use that is assumed until the peer is heard.
func (p *peerUse) owe(now time.Time, c *account, workspace string, units float64) {
	c.window.add(now, units)
	p.owed[workspace] += units
}
