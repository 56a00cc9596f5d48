// Package enroller decides how the voters of the replicated log follow the control hosts that are alive. It is pure: the
// membership and what was heard of the hosts are inputs.
package enroller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
)

// Host is a control host as its heartbeats describe it.
type Host struct {
	ID   string
	Addr string
	// Folder is the incarnation of the data folder.
	Folder uint64
	// Silence is the time since the last heartbeat.
	Silence time.Duration
}

// Options are the parameters of Next.
type Options struct {
	// Voters is the number of voters aimed at.
	Voters int
	// AliveFor is the silence up to which a host counts as alive.
	AliveFor time.Duration
	// RemoveAfter is the silence after which a voter may be replaced by another host.
	RemoveAfter time.Duration
}

// Action is what to do with a member.
type Action string

// The actions of a Change.
const (
	None    Action = ""
	Add     Action = "add"
	Promote Action = "promote"
	Remove  Action = "remove"
)

// Change is one step of the membership.
type Change struct {
	Action Action
	ID     string
	Addr   string
	// Reason tells operators why.
	Reason string
}

type state struct {
	options Options
	members journaler.Membership
	hosts   map[string]Host
}

// Next returns the next change, or one whose action is None. A voter with a lost folder goes first, since it counts towards
// every quorum and can never vote again. A silent voter is removed only when enough others are alive.
func Next(members journaler.Membership, heard []Host, o Options) Change {
	s := &state{options: o, members: members, hosts: make(map[string]Host, len(heard))}
	for _, h := range heard {
		s.hosts[h.ID] = h
	}
	for _, next := range []func() Change{s.lostFolder, s.surplus, s.promotion, s.addition} {
		if c := next(); c.Action != None {
			return c
		}
	}
	return Change{}
}

func (s *state) alive(id string) (Host, bool) {
	h, ok := s.hosts[id]
	return h, ok && h.Silence <= s.options.AliveFor
}

// votes reports whether a member is a voter that is alive under the folder that the membership names.
func (s *state) votes(m journaler.Member) bool {
	h, ok := s.alive(m.ID)
	return ok && m.Voter && h.Folder == m.Incarnation
}

func (s *state) voting() int {
	n := 0
	for _, m := range s.members {
		if s.votes(m) {
			n++
		}
	}
	return n
}

// lostFolder removes a voter that returned with another folder, if the others are a quorum without it.
func (s *state) lostFolder() Change {
	for _, m := range s.members {
		h, ok := s.alive(m.ID)
		if !ok || !m.Voter || h.Folder == m.Incarnation {
			continue
		}
		if s.voting() > (s.members.Voters()-1)/2 {
			return Change{Action: Remove, ID: m.ID, Reason: "its data folder was lost"}
		}
	}
	return Change{}
}

// surplus removes a silent member once as many voters as aimed at are alive.
func (s *state) surplus() Change {
	if s.voting() < s.options.Voters {
		return Change{}
	}
	for _, m := range s.members {
		if h, ok := s.hosts[m.ID]; !ok || h.Silence >= s.options.RemoveAfter {
			return Change{Action: Remove, ID: m.ID, Reason: fmt.Sprintf("silent for %v, and %d voters are alive", h.Silence, s.voting())}
		}
	}
	return Change{}
}

func (s *state) promotion() Change {
	if s.voting() >= s.options.Voters {
		return Change{}
	}
	for _, m := range s.members {
		if _, ok := s.alive(m.ID); ok && !m.Voter {
			return Change{Action: Promote, ID: m.ID, Reason: fmt.Sprintf("%d of %d voters are alive", s.voting(), s.options.Voters)}
		}
	}
	return Change{}
}

func (s *state) addition() Change {
	if s.voting() >= s.options.Voters {
		return Change{}
	}
	ids := make([]string, 0, len(s.hosts))
	for id := range s.hosts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	for _, id := range ids {
		h, ok := s.alive(id)
		if _, member := s.members.Find(id); ok && !member {
			return Change{Action: Add, ID: id, Addr: h.Addr, Reason: fmt.Sprintf("%d of %d voters are alive", s.voting(), s.options.Voters)}
		}
	}
	return Change{}
}
