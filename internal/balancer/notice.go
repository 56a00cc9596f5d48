package balancer

import (
	"slices"
	"time"
)

const (
	// maxHold bounds the time for which one answer of an endpoint may reject this host.
	maxHold = time.Minute
	// noticeTTL is how long the notice of an endpoint is kept while the list does not contain the endpoint.
	noticeTTL = 10 * time.Minute
	// confirmLeavingAfter is the time after which the list should show an endpoint as leaving that has announced it. One that it
	// still shows as ready may have restarted under its old name.
	confirmLeavingAfter = 5 * time.Second
	// leavingGrace is how long after the news that an endpoint leaves it may still take work that only it can continue. With the lag
	// of the list, it is shorter than the time in which a leaving endpoint takes requests.
	leavingGrace = time.Second
)

// instanceKey identifies one process of an endpoint, as far as the list distinguishes them.
type instanceKey struct{ id, addr string }

// notice is what an endpoint has announced about itself.
type notice struct {
	leavingSince time.Time
	heldUntil    time.Time
	updatedAt    time.Time
}

// isLeaving reports whether the endpoint is leaving, according to the list or its own announcement.
func (e *endpoint) isLeaving() bool { return e.Leaving || e.announcedLeaving }

// recordLeaving records the time at which the endpoint began to leave, given whether it was leaving before.
func (e *endpoint) recordLeaving(now time.Time, was bool) {
	switch leaving := e.isLeaving(); {
	case leaving && !was:
		e.leavingSince = now
	case !leaving:
		e.leavingSince = time.Time{}
	}
}

// open reports whether an endpoint may take a piece of work by its version and as far as it leaves.
func (b *Balancer) open(now time.Time, e *endpoint, w Work) bool {
	return w.fits(e) && (!e.isLeaving() || b.lastResort(now, e, w))
}

// lastResort reports whether a leaving endpoint may still take bound work: it leaves for no longer than leavingGrace, and all
// other endpoints of the version leave too.
func (b *Balancer) lastResort(now time.Time, e *endpoint, w Work) bool {
	if !w.Bound || e.leavingSince.IsZero() || now.Sub(e.leavingSince) > leavingGrace {
		return false
	}
	return !slices.ContainsFunc(b.pools[e.Pool], func(other *endpoint) bool { return w.fits(other) && !other.isLeaving() })
}

// MarkLeaving records that an endpoint has announced in an answer that it leaves. It gets no more work until it restarts, even
// if the list, which lags behind, still shows it as ready.
func (b *Balancer) MarkLeaving(now time.Time, id string) {
	b.updateNotice(now, id, func(n *notice) {
		if n.leavingSince.IsZero() {
			n.leavingSince = now
		}
	})
}

// MarkRejected records that an endpoint has rejected this host and accepts nothing from it for a time, at most maxHold.
func (b *Balancer) MarkRejected(now time.Time, id string, wait time.Duration) {
	b.updateNotice(now, id, func(n *notice) {
		if until := now.Add(min(wait, maxHold)); until.After(n.heldUntil) {
			n.heldUntil = until
		}
	})
}

// MarkReturned records that an endpoint that had announced that it leaves has restarted under its old name.
func (b *Balancer) MarkReturned(now time.Time, id string) {
	b.updateNotice(now, id, func(n *notice) { n.leavingSince = time.Time{} })
}

func (b *Balancer) updateNotice(now time.Time, id string, change func(*notice)) {
	e, known := b.endpoints[id]
	if !known {
		return
	}
	key := instanceKey{id: e.ID, addr: e.Addr}
	n := b.notices[key]
	change(&n)
	n.updatedAt = now
	b.notices[key] = n
	was := e.isLeaving()
	e.announcedLeaving, e.heldUntil = !n.leavingSince.IsZero(), n.heldUntil
	e.recordLeaving(now, was)
	for k, other := range b.notices {
		if _, listed := b.endpoints[k.id]; !listed && now.Sub(other.updatedAt) > noticeTTL {
			delete(b.notices, k)
		}
	}
}

// UnconfirmedLeaving returns the endpoints that announced that they leave more than confirmLeavingAfter ago and that the list
// still shows as ready.
func (b *Balancer) UnconfirmedLeaving(now time.Time) []Endpoint {
	var out []Endpoint
	for key, n := range b.notices {
		e := b.endpoints[key.id]
		if e != nil && e.Addr == key.addr && e.announcedLeaving && !e.Leaving && now.Sub(n.leavingSince) > confirmLeavingAfter {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// Admits reports whether work that another host has placed at an endpoint may be sent there: the endpoint is in the list, fits the
// work, is not leaving unless it is the last resort, and has not rejected this host.
func (b *Balancer) Admits(now time.Time, id string, w Work) bool {
	e := b.endpoints[id]
	return e != nil && b.open(now, e, w) && !now.Before(e.heldUntil)
}
