// Package leaseholder is a host's own account of the role leases it holds. It is pure: time is an input.
package leaseholder

import (
	"maps"
	"slices"
	"time"
)

// Lease is a role held until a time of this host's monotonic clock.
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

// Leases are the roles of one host.
type Leases struct {
	held map[string]Lease
	// ended holds the highest epoch, per role, that this host has given up or lost. It is never taken again.
	ended map[string]uint64
}

// New returns an account without roles.
func New() *Leases { return &Leases{held: map[string]Lease{}, ended: map[string]uint64{}} }

// Valid reports whether the host may act under a role at a moment.
func (l *Leases) Valid(now time.Time, role string, epoch uint64) bool {
	h, ok := l.held[role]
	return ok && h.Epoch == epoch && now.Before(h.Until)
}

// Held returns the roles whose end has not been reported yet. The map must not be changed.
func (l *Leases) Held() map[string]Lease { return l.held }

// Ended returns the epochs to report as released. The map must not be changed.
func (l *Leases) Ended() map[string]uint64 { return l.ended }

// Observe notes the current epoch of a role, so that an older one need not be reported as released any more.
func (l *Leases) Observe(role string, epoch uint64) {
	if l.ended[role] < epoch {
		delete(l.ended, role)
	}
}

// Grant renews a lease or starts a new one and returns what has changed. A lease that has lapsed is not renewed: the host
// has stopped, and takes the role again only under a new epoch.
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

// Expire ends the leases that have lapsed.
func (l *Leases) Expire(now time.Time) []Change {
	return l.endIf(func(h Lease) bool { return !now.Before(h.Until) })
}

// EndAll gives all roles up.
func (l *Leases) EndAll() []Change { return l.endIf(func(Lease) bool { return true }) }

func (l *Leases) endIf(ends func(Lease) bool) []Change {
	var changes []Change
	for _, role := range slices.Sorted(maps.Keys(l.held)) {
		if ends(l.held[role]) {
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
