// Package leaser decides who may hold a role next. It is pure: time, holders and hosts are inputs.
//
// The holder of a role and its epoch are replicated; the times of renewal are known only to the leader of a term. A new
// leader treats every lease as just renewed, since it cannot know what its predecessor answered.
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

// Host is a host that may be given roles.
type Host struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Leader marks the control leader. It is given roles last, so that its loss is not the loss of a holder as well.
	Leader bool
}

// Grant is a decision to give a role to a host, valid while Previous is still the current epoch.
type Grant struct {
	Role        string
	Host        string
	Incarnation uint64
	Previous    uint64
}

// Options are the parameters of a Table.
type Options struct {
	// TTL is the time after the last renewal at which a lease has ended on any host: the lease and a margin for clocks that
	// run at different rates.
	TTL time.Duration
	// Settle delays the first grants of a term, so that roles are spread over all hosts and not given to the first one heard.
	Settle time.Duration
}

// Table is the leader's account of leases in one term. Times are durations since an arbitrary origin.
type Table struct {
	options Options
	started time.Duration
	roles   map[string]*state
}

// state is the account of one role at one epoch.
type state struct {
	epoch   uint64
	renewed time.Duration
	// over is set once the epoch was given up or decided to have ended; it is never renewed again.
	over    bool
	release bool
}

// New starts a term.
func New(now time.Duration, o Options) *Table {
	return &Table{options: o, started: now, roles: map[string]*state{}}
}

// observe returns the account of a role; an epoch seen for the first time counts as just renewed.
func (t *Table) observe(now time.Duration, role string, epoch uint64) *state {
	s := t.roles[role]
	if s == nil || s.epoch < epoch {
		s = &state{epoch: epoch, renewed: now}
		t.roles[role] = s
	}
	return s
}

// Renew renews the lease of a role's holder and reports whether the holder may be told that it holds the role.
func (t *Table) Renew(now time.Duration, role string, a Assignment, host string, incarnation uint64) bool {
	if a.Epoch == 0 || a.Host != host || a.Incarnation != incarnation {
		return false
	}
	s := t.observe(now, role, a.Epoch)
	if s.over || s.epoch != a.Epoch {
		return false
	}
	s.renewed = max(s.renewed, now)
	return true
}

// Release ends a lease that its holder has given up. Only the holder's process may release it.
func (t *Table) Release(now time.Duration, role string, a Assignment, host string, incarnation, epoch uint64) bool {
	if a.Epoch == 0 || a.Epoch != epoch || a.Host != host || a.Incarnation != incarnation {
		return false
	}
	s := t.observe(now, role, a.Epoch)
	if s.epoch != epoch || s.release {
		return false
	}
	s.over, s.release = true, true
	return true
}

// Live reports whether a role has a holder whose lease may still be in use.
func (t *Table) Live(now time.Duration, role string, a Assignment) bool {
	if a.Epoch == 0 {
		return false
	}
	s := t.observe(now, role, a.Epoch)
	return s.epoch == a.Epoch && !s.over && now < s.renewed+t.options.TTL
}

// Plan returns the grants to propose now. A role is granted only after its last lease has ended on any host; from then on
// the old epoch is not renewed, whether or not the grant is committed. Holders stay where they are.
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
			// This leader knows of a newer epoch than the state that was passed in.
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
		h, ok := pick(hosts, load, zones)
		if !ok {
			return grants
		}
		t.roles[role].over = true
		load[h.ID]++
		zones[h.Zone]++
		grants = append(grants, Grant{Role: role, Host: h.ID, Incarnation: h.Incarnation, Previous: assigned[role].Epoch})
	}
	return grants
}

func (t *Table) ended(now time.Duration, s *state) bool {
	switch {
	case s.release:
		return true
	case s.epoch == 0:
		return now >= t.started+t.options.Settle
	default:
		return now >= s.renewed+t.options.TTL
	}
}

// pick returns the host with the fewest roles, then in the zone with the fewest, then not the leader.
func pick(hosts []Host, load, zones map[string]int) (Host, bool) {
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

// leaderLoad counts leading as many roles, so that the leader is given a role only when no other host is live.
func leaderLoad(h Host) int {
	if h.Leader {
		return 1 << 20
	}
	return 0
}
