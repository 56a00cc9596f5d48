// Package leaser decides which host is granted a role next. It does no I/O and reads no clock: time, holders and hosts are
// inputs.
//
// The holder of a role and its epoch are replicated; renewal times exist only on the leader of a term. A new leader treats
// every lease as just renewed, since it cannot know which renewals the previous leader granted.
package leaser

import (
	"cmp"
	"slices"
	"time"
)

// Assignment is the replicated holder of a role. Epoch 0 means that the role was never granted.
type Assignment struct {
	Host        string
	Incarnation uint64
	Epoch       uint64
}

// Host is a host that is eligible for roles.
type Host struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Leader marks the control leader. It is granted roles last, so that the failure of the leader does not also lose the
	// holder of a role.
	Leader bool
}

// Grant is a decision to grant a role to a host. It takes effect only if the epoch of the role is still the one at which the
// grant was planned.
type Grant struct {
	Role          string
	Host          string
	Incarnation   uint64
	PreviousEpoch uint64
}

// Options are the parameters of a Table.
type Options struct {
	// TTL is the time after its last renewal at which a lease has ended on any host: the duration of the lease plus a margin
	// for clocks that run at different rates.
	TTL time.Duration
	// The delay before roles without an earlier holder are granted in a term, so that the hosts have time to send a heartbeat
	// and roles are spread over all of them rather than granted to the first one.
	GrantDelay time.Duration
}

// Table is the leader's state of the leases in one term. Times are durations since an arbitrary origin.
type Table struct {
	options Options
	started time.Duration
	roles   map[string]*leaseState
}

// leaseState is the state of a role's lease at one epoch.
type leaseState struct {
	epoch   uint64
	renewed time.Duration
	// ended is set once the lease has been released or the role has been planned for another grant; the epoch is never
	// renewed again.
	ended    bool
	released bool
}

// New returns the table of a term that starts now.
func New(now time.Duration, o Options) *Table {
	return &Table{options: o, started: now, roles: map[string]*leaseState{}}
}

// observe returns the lease state of a role. An epoch that is observed for the first time counts as just renewed.
func (t *Table) observe(now time.Duration, role string, epoch uint64) *leaseState {
	s := t.roles[role]
	if s == nil || s.epoch < epoch {
		s = &leaseState{epoch: epoch, renewed: now}
		t.roles[role] = s
	}
	return s
}

// Renew renews the lease on a role and reports whether it did. It renews only for the process that holds the role, and not
// once the lease has been released or the role has been planned for another grant.
func (t *Table) Renew(now time.Duration, role string, a Assignment, host string, incarnation uint64) bool {
	if a.Epoch == 0 || a.Host != host || a.Incarnation != incarnation {
		return false
	}
	s := t.observe(now, role, a.Epoch)
	if s.ended || s.epoch != a.Epoch {
		return false
	}
	s.renewed = max(s.renewed, now)
	return true
}

// Release ends a lease that its holder has released, and reports whether it did. Only the process that holds the role may
// release it.
func (t *Table) Release(now time.Duration, role string, a Assignment, host string, incarnation, epoch uint64) bool {
	if a.Epoch == 0 || a.Epoch != epoch || a.Host != host || a.Incarnation != incarnation {
		return false
	}
	s := t.observe(now, role, a.Epoch)
	if s.epoch != epoch || s.released {
		return false
	}
	s.ended, s.released = true, true
	return true
}

// Live reports whether the holder of a role may still have a valid lease.
func (t *Table) Live(now time.Duration, role string, a Assignment) bool {
	if a.Epoch == 0 {
		return false
	}
	s := t.observe(now, role, a.Epoch)
	return s.epoch == a.Epoch && !s.ended && now < s.renewed+t.options.TTL
}

// Plan returns the grants to propose now. A role is granted only after its last lease has ended on any host; from then on
// the old epoch is not renewed, whether or not the grant is committed. Roles with a live holder are not moved.
func (t *Table) Plan(now time.Duration, roles []string, assigned map[string]Assignment, hosts []Host) []Grant {
	var free []string
	load := map[string]int{}
	zones := map[string]int{}
	byID := map[string]Host{}
	for _, h := range hosts {
		byID[h.ID] = h
	}
	for _, role := range roles {
		a := assigned[role]
		s := t.observe(now, role, a.Epoch)
		switch {
		case s.epoch != a.Epoch:
			// The table has a newer epoch than the assignments passed in.
		case t.ended(now, s):
			free = append(free, role)
		default:
			load[a.Host]++
			zones[byID[a.Host].Zone]++
		}
	}
	var grants []Grant
	slices.Sort(free)
	for _, role := range free {
		h, ok := pickHost(hosts, load, zones)
		if !ok {
			return grants
		}
		t.roles[role].ended = true
		load[h.ID]++
		zones[h.Zone]++
		grants = append(grants, Grant{Role: role, Host: h.ID, Incarnation: h.Incarnation, PreviousEpoch: assigned[role].Epoch})
	}
	return grants
}

func (t *Table) ended(now time.Duration, s *leaseState) bool {
	switch {
	case s.released:
		return true
	case s.epoch == 0:
		return now >= t.started+t.options.GrantDelay
	default:
		return now >= s.renewed+t.options.TTL
	}
}

// pickHost returns the host with the fewest roles and, among equals, one in the zone with the fewest roles. The leader is
// returned only if there is no other host.
func pickHost(hosts []Host, load, zones map[string]int) (Host, bool) {
	if len(hosts) == 0 {
		return Host{}, false
	}
	return slices.MinFunc(hosts, func(a, b Host) int {
		return cmp.Or(
			cmp.Compare(load[a.ID]+leaderLoad(a), load[b.ID]+leaderLoad(b)),
			cmp.Compare(zones[a.Zone], zones[b.Zone]),
			cmp.Compare(a.ID, b.ID),
		)
	}), true
}

// leaderLoad returns the number of roles that leadership counts as, so that the leader is granted a role only when no other
// host is live.
func leaderLoad(h Host) int {
	if h.Leader {
		return 1 << 20
	}
	return 0
}
