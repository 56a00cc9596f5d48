// Package leaseholder tracks the role leases that a host holds. It reads no clock: time is an input.
package leaseholder

import (
	"maps"
	"slices"
	"time"
)

// Lease is a lease on a role that is valid until a time of this host's monotonic clock.
type Lease struct {
	Epoch uint64
	Until time.Time
}

// Change is a role that this host starts or stops holding.
type Change struct {
	Role  string
	Epoch uint64
	Held  bool
}

// Leases is the set of role leases of one host. It is not safe for concurrent use.
type Leases struct {
	held map[string]Lease
	// ended has, per role, the highest epoch that this host has released or lost. A grant of that epoch or an older one is
	// ignored.
	ended map[string]uint64
}

// New returns an empty set.
func New() *Leases { return &Leases{held: map[string]Lease{}, ended: map[string]uint64{}} }

// Valid reports whether the host has a valid lease on a role, at an epoch, at the given time.
func (l *Leases) Valid(now time.Time, role string, epoch uint64) bool {
	h, ok := l.held[role]
	return ok && h.Epoch == epoch && now.Before(h.Until)
}

// Held returns the leases whose end has not been reported yet, by role. The caller must not modify the map.
func (l *Leases) Held() map[string]Lease { return l.held }

// Ended returns the epochs to report as released, by role. The caller must not modify the map.
func (l *Leases) Ended() map[string]uint64 { return l.ended }

// Observe records the current epoch of a role, so that an older epoch is no longer reported as released.
func (l *Leases) Observe(role string, epoch uint64) {
	if l.ended[role] < epoch {
		delete(l.ended, role)
	}
}

// Grant renews a lease or starts a new one and returns the changes. An expired lease is not renewed: the host has stopped
// acting as the holder, and holds the role again only at a new epoch.
func (l *Leases) Grant(now time.Time, role string, epoch uint64, until time.Time) []Change {
	current, held := l.held[role]
	if epoch <= l.ended[role] || !now.Before(until) || (held && epoch < current.Epoch) {
		return nil
	}
	if held && current.Epoch == epoch {
		if !now.Before(current.Until) {
			return []Change{l.end(role)}
		}
		if until.After(current.Until) {
			l.held[role] = Lease{Epoch: epoch, Until: until}
		}
		return nil
	}
	var changes []Change
	if held {
		changes = append(changes, l.end(role))
		delete(l.ended, role)
	}
	l.held[role] = Lease{Epoch: epoch, Until: until}
	return append(changes, Change{Role: role, Epoch: epoch, Held: true})
}

// Expire ends the leases that have expired and returns the changes.
func (l *Leases) Expire(now time.Time) []Change {
	return l.endIf(func(h Lease) bool { return !now.Before(h.Until) })
}

// EndAll ends all leases and returns the changes.
func (l *Leases) EndAll() []Change { return l.endIf(func(Lease) bool { return true }) }

func (l *Leases) endIf(shouldEnd func(Lease) bool) []Change {
	var changes []Change
	for _, role := range slices.Sorted(maps.Keys(l.held)) {
		if shouldEnd(l.held[role]) {
			changes = append(changes, l.end(role))
		}
	}
	return changes
}

func (l *Leases) end(role string) Change {
	h := l.held[role]
	delete(l.held, role)
	l.ended[role] = max(l.ended[role], h.Epoch)
	return Change{Role: role, Epoch: h.Epoch}
}
