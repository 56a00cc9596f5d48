package balancer

import "time"

const (
	// maxHold bounds the time for which an endpoint may turn this host away at once.
	maxHold = time.Minute
	// noticeKept is how long what an endpoint has said of itself is remembered while the list does not name it.
	noticeKept = 10 * time.Minute
	// confirmLeavingAfter is the time after which the list must show an endpoint as leaving that has said so. One that it still
	// shows as ready may have started again under its old name.
	confirmLeavingAfter = 5 * time.Second
)

// lifetime names one life of an endpoint as far as the list tells it.
type lifetime struct{ id, addr string }

// notice is what an endpoint has said of itself.
type notice struct {
	leftAt    time.Time
	heldUntil time.Time
	at        time.Time
}

// leaves reports whether the endpoint leaves, by the list or by its own word.
func (e *endpoint) leaves() bool { return e.Leaving || e.saidLeaving }

// SaidLeaving notes that an endpoint has said in an answer that it leaves. It takes no more work in its lifetime, whatever the
// list says, which lags behind.
func (b *Balancer) SaidLeaving(now time.Time, id string) {
	b.note(now, id, func(n *notice) {
		if n.leftAt.IsZero() {
			n.leftAt = now
		}
	})
}

// HoldBack notes that an endpoint has turned this host away and wants nothing from it for a time.
func (b *Balancer) HoldBack(now time.Time, id string, wait time.Duration) {
	b.note(now, id, func(n *notice) {
		if until := now.Add(min(wait, maxHold)); until.After(n.heldUntil) {
			n.heldUntil = until
		}
	})
}

// Returned notes that an endpoint which had said that it leaves has started again under its old name.
func (b *Balancer) Returned(now time.Time, id string) {
	b.note(now, id, func(n *notice) { n.leftAt = time.Time{} })
}

func (b *Balancer) note(now time.Time, id string, change func(*notice)) {
	e, known := b.endpoints[id]
	if !known {
		return
	}
	key := lifetime{id: e.ID, addr: e.Addr}
	n := b.notices[key]
	change(&n)
	n.at = now
	b.notices[key] = n
	e.saidLeaving, e.heldUntil = !n.leftAt.IsZero(), n.heldUntil
	for k, other := range b.notices {
		if _, listed := b.endpoints[k.id]; !listed && now.Sub(other.at) > noticeKept {
			delete(b.notices, k)
		}
	}
}

// Doubtful returns the endpoints that have said that they leave and that the list still shows as ready.
func (b *Balancer) Doubtful(now time.Time) []Endpoint {
	var out []Endpoint
	for key, n := range b.notices {
		e := b.endpoints[key.id]
		if e != nil && e.Addr == key.addr && e.saidLeaving && !e.Leaving && now.Sub(n.leftAt) > confirmLeavingAfter {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// Admits reports whether an endpoint is known and has not turned this host away, for work that another host has placed there.
func (b *Balancer) Admits(now time.Time, id string) bool {
	e := b.endpoints[id]
	return e != nil && !e.leaves() && !now.Before(e.heldUntil)
}
