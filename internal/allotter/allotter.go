// Package allotter holds the limits that all hosts keep together without asking each other: the allotments of workspaces and
// the budget of repeated requests. It is pure: time and the counters of peers are inputs.
//
// Each host follows every allotment with a bucket of its own, from which it takes what it admits itself and what its peers
// say they have admitted. A bucket may go below zero, so what hosts admit at the same moment is paid back afterwards and the
// sum over all hosts stays within the allotment but for the delay of the counters.
package allotter

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// silentAfter is the silence after which a peer's use is assumed instead of known. It covers a few lost datagrams.
	silentAfter = 500 * time.Millisecond
	// minBurst is the burst of a limit that names none. A bucket without any room would never admit a request.
	minBurst = 100 * time.Millisecond
	// forgetAfter is the silence after which a peer counts as gone: it has no confirmed configuration any more and admits
	// nothing.
	forgetAfter = 5 * time.Second
	// recentWindow is the time over which the rate of admissions is averaged.
	recentWindow = time.Second
	// minReturnShare is the least part of an allotment that is expected to be left for requests that return.
	minReturnShare = 0.25
	// maxRetryAfter bounds what a caller is asked to wait; a longer forecast says nothing.
	maxRetryAfter = 10 * time.Second
)

// Limit is the allotment of a workspace over all hosts, in units per second and units.
type Limit struct {
	Rate  float64
	Burst float64
}

type bucket struct {
	limit Limit
	level float64
	at    time.Time
	used  float64 // by this host since its start
	// promised are the units of refused requests that this host has told to return and whose time has not come yet.
	promised float64
	// recent is the rate at which all hosts have admitted units lately.
	recent float64
}

type peerUse struct {
	used  map[string]float64
	at    time.Time
	since time.Time // the time up to which the use of a silent peer was assumed
	owed  map[string]float64
}

// Allotter follows the allotments. It is not safe for concurrent use.
type Allotter struct {
	started time.Time
	buckets map[string]*bucket
	peers   map[string]*peerUse
}

// New returns an allotter of a host that starts now. Its buckets begin empty, since the host does not know what its peers have
// admitted just before.
func New(now time.Time) *Allotter {
	return &Allotter{started: now, buckets: map[string]*bucket{}, peers: map[string]*peerUse{}}
}

// SetLimits replaces the limits by workspace. A workspace without one is not limited.
func (a *Allotter) SetLimits(now time.Time, limits map[string]Limit) {
	for name, l := range limits {
		l.Burst = max(l.Burst, l.Rate*minBurst.Seconds())
		b := a.buckets[name]
		if b == nil {
			b = &bucket{at: a.started, limit: l}
			a.buckets[name] = b
		}
		b.refill(now, a.hosts())
		b.limit = l
		b.refill(now, a.hosts())
		b.level = min(b.level, l.Burst)
	}
	maps.DeleteFunc(a.buckets, func(name string, _ *bucket) bool { _, kept := limits[name]; return !kept })
}

func (b *bucket) refill(now time.Time, hosts int) {
	if now.After(b.at) {
		past := now.Sub(b.at).Seconds()
		b.level = min(b.limit.Burst, b.level+b.limit.Rate*past)
		b.promised = max(0, b.promised-b.returnRate(hosts)*past)
		b.recent *= math.Exp(-past / recentWindow.Seconds())
		b.at = now
	}
}

func (b *bucket) take(units float64) {
	b.level = min(b.limit.Burst, b.level-units)
	b.recent = max(0, b.recent+units/recentWindow.Seconds())
}

// returnRate is the part of the allotment that is left for the requests that one of the hosts has refused before.
func (b *bucket) returnRate(hosts int) float64 {
	return max(b.limit.Rate-b.recent, minReturnShare*b.limit.Rate, 1) / float64(hosts)
}

// promise returns when a refused request may return. Those refused before it come first: without their turn, all that return
// would meet an allotment that the first of them have used up.
func (b *bucket) promise(units float64, hosts int) time.Duration {
	wait := max(0, -b.level)/max(b.limit.Rate, 1) + (b.promised+units/2)/b.returnRate(hosts)
	if wait >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	b.promised += units
	return time.Duration(wait * float64(time.Second))
}

// Take admits units of a workspace, or returns when to try again. A request is admitted while the bucket is above zero
// whatever its size, so that large requests are refused no more often than small ones.
func (a *Allotter) Take(now time.Time, workspace string, units float64) (admitted bool, retryAfter time.Duration) {
	b := a.buckets[workspace]
	if b == nil {
		return true, 0
	}
	a.assumeSilent(now)
	b.refill(now, a.hosts())
	if b.level <= 0 {
		return false, b.promise(units, a.hosts())
	}
	b.take(units)
	b.used += units
	return true, 0
}

// Return gives back the units of a request that did not run.
func (a *Allotter) Return(workspace string, units float64) {
	if b := a.buckets[workspace]; b != nil {
		b.take(-units)
		b.used -= units
	}
}

// Used returns the units that this host has admitted since its start, by workspace.
func (a *Allotter) Used() map[string]float64 {
	out := make(map[string]float64, len(a.buckets))
	for name, b := range a.buckets {
		if b.used > 0 {
			out[name] = b.used
		}
	}
	return out
}

// Level returns the units that a workspace may still use at once; it is below zero while it has used too much.
func (a *Allotter) Level(workspace string) float64 {
	if b := a.buckets[workspace]; b != nil {
		return b.level
	}
	return 0
}

func (a *Allotter) hosts() int { return len(a.peers) + 1 }

// Peers returns the number of peers heard lately.
func (a *Allotter) Peers() int { return len(a.peers) }

// Heard takes the counters of a peer. The key names one process, and age is how long that process has run.
func (a *Allotter) Heard(now time.Time, process string, age time.Duration, used map[string]float64) {
	p := a.peers[process]
	if p == nil {
		p = &peerUse{used: map[string]float64{}, owed: map[string]float64{}}
		a.peers[process] = p
		if now.Add(-age).Before(a.started) {
			// What an older process admitted before this one started is unknown here and already in the past.
			p.used = maps.Clone(used)
		}
	}
	for name, total := range used {
		b := a.buckets[name]
		if b == nil {
			continue
		}
		b.refill(now, a.hosts())
		b.take(total - p.used[name] - p.owed[name])
	}
	clear(p.owed)
	p.used, p.at, p.since = maps.Clone(used), now, now
}

// assumeSilent takes an equal share for each peer that has fallen silent, until it is heard again or is gone. Two hosts that
// cannot hear each other would otherwise each use the whole allotment.
func (a *Allotter) assumeSilent(now time.Time) {
	hosts := float64(a.hosts())
	for _, name := range slices.Sorted(maps.Keys(a.peers)) {
		p := a.peers[name]
		silence := now.Sub(p.at)
		if silence > forgetAfter {
			delete(a.peers, name)
			continue
		}
		if silence <= silentAfter || !now.After(p.since) {
			continue
		}
		for workspace, b := range a.buckets {
			b.refill(now, a.hosts())
			share := b.limit.Rate / hosts * now.Sub(p.since).Seconds()
			b.take(share)
			p.owed[workspace] += share
		}
		p.since = now
	}
}
