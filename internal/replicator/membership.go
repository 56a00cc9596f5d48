package replicator

import (
	"slices"
	"time"
)

// ChangeKind tells how a membership changes.
type ChangeKind uint8

// Kinds of changes. Each one changes at most one voter, so that any two majorities before and after it overlap.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is one change of membership.
type Change struct {
	Kind ChangeKind
	ID   string
	Addr string
}

// ChangeMembers appends a change of membership and returns its position. One change is under way at a time.
func (c *Core) ChangeMembers(now time.Duration, change Change) (index, term uint64, err error) {
	c.now = max(c.now, now)
	if c.role != Leader || c.target != "" {
		return 0, 0, c.notLeader()
	}
	if pending := max(c.memberAt, c.termStart); pending > c.commit {
		return 0, 0, &ChangePendingError{Index: pending}
	}
	next, err := c.changed(change)
	if err != nil {
		return 0, 0, err
	}
	c.appendOwn(Entry{Kind: EntryMembers, Members: next})
	return c.log.Last(), c.state.Term, nil
}

func (c *Core) changed(change Change) (Membership, error) {
	next := slices.Clone(c.members)
	at := slices.IndexFunc(next, func(m Member) bool { return m.ID == change.ID })
	if change.Kind == AddLearner {
		if change.ID == "" || change.Addr == "" {
			return nil, &ChangeError{ID: change.ID, Reason: "id and address are required"}
		}
		if at >= 0 {
			return nil, &ChangeError{ID: change.ID, Reason: "it is a member already"}
		}
		next = append(next, Member{ID: change.ID, Addr: change.Addr})
		next.Sort()
		return next, nil
	}
	if at < 0 {
		return nil, &ChangeError{ID: change.ID, Reason: "it is not a member"}
	}
	if change.Kind == Remove {
		if next[at].Voter && next.Voters() == 1 {
			return nil, &ChangeError{ID: change.ID, Reason: "it is the last voter"}
		}
		return slices.Delete(next, at, at+1), nil
	}
	if next[at].Voter {
		return nil, &ChangeError{ID: change.ID, Reason: "it is a voter already"}
	}
	p := c.peers[change.ID]
	if behind := c.log.Last() - p.match; p.match == 0 || behind > maxPromoteLag || !c.active(p) {
		return nil, &NotCaughtUpError{ID: change.ID, Behind: behind}
	}
	next[at].Voter, next[at].Incarnation = true, p.incarnation
	return next, nil
}

// membersAt returns the membership in force after the entry at index.
func (c *Core) membersAt(index uint64) Membership {
	if m, _, ok := c.log.Members(index); ok {
		return m
	}
	return c.snap.Members
}

// reloadMembers takes the newest membership in the log, committed or not.
func (c *Core) reloadMembers() {
	c.members, c.memberAt = c.snap.Members, c.snap.Index
	if m, index, ok := c.log.Members(c.log.Last()); ok && index > c.snap.Index {
		c.members, c.memberAt = m, index
	}
}
