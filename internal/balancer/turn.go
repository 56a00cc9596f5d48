package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// All hosts learn of a free place at the same moment, and in a flood all of them have requests for it. Those that lose wait
// within the engine, behind streams that last for seconds, and cannot go elsewhere. So the last free places of an endpoint are
// taken in turn: a host leaves as many as there are hosts before it, whose order differs between endpoints, and gets its turn
// when they have not used theirs. A place that a host's own run has left is its own until the others can know of it.

// setTurns computes the turn of this host at each endpoint.
func (b *Balancer) setTurns() {
	for _, e := range b.endpoints {
		own := turnKey(b.HostID, e.ID)
		e.turn = 0
		for _, peer := range b.hosts {
			if turnKey(peer, e.ID) < own {
				e.turn++
			}
		}
		e.turn = min(e.turn, maxTurn)
	}
}

func turnKey(host, endpoint string) uint64 { return xxhash.Sum64String(host + "\x00" + endpoint) }

// turnAt returns the number of free places that this host leaves to others.
func (e *endpoint) turnAt(now time.Time) int {
	return max(0, e.turn-int(max(0, now.Sub(e.freeAt))/turnStep))
}

// leave notes that a run of this host has left its place.
func (e *endpoint) leave(now time.Time) {
	if now.Sub(e.leftAt) > ownFor {
		e.left = 0
	}
	e.left++
	e.leftAt = now
}

// ownPlace reports whether a free place was left by a run of this host just now.
func (e *endpoint) ownPlace(now time.Time) bool { return e.left > 0 && now.Sub(e.leftAt) <= ownFor }
