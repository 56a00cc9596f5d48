package replicator

import (
	"slices"
	"time"
)

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// Kinds of changes. Each changes at most one voter, so that any majority before and any majority after it overlap.
const (
	AddLearner ChangeKind = iota + 1
	Promote
	Remove
)

// Change is a membership change.
type Change struct {
	Kind ChangeKind
	ID   string
	Addr string
}

// ChangeMembers appends a membership change and returns its index and term. It returns a ChangePendingError while an earlier
// change or the first entry of the leader's term is not committed.
func (c *Core) ChangeMembers(now time.Duration, change Change) (index, term uint64, err error) {
	c.now = max(c.now, now)
	if c.role != Leader || c.transferTarget != "" {
		return 0, 0, c.notLeader()
	}
	if pending := max(c.membersIndex, c.termStart); pending > c.commit {
		return 0, 0, &ChangePendingError{Index: pending}
	}
	next, err := c.applyChange(change)
	if err != nil {
		return 0, 0, err
	}
	c.appendEntry(Entry{Kind: EntryMembers, Members: next})
	return c.log.LastIndex(), c.state.Term, nil
}

// applyChange returns the membership after a change, or the reason why the change is not possible.
func (c *Core) applyChange(change Change) (Membership, error) {
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
	if c.isLagging(p) || !c.inContact(p) {
		return nil, &NotCaughtUpError{ID: change.ID, Behind: c.log.LastIndex() - p.match}
	}
	next[at].Voter, next[at].Incarnation = true, p.incarnation
	return next, nil
}

// membersAt returns the membership that applies after the entry at index.
func (c *Core) membersAt(index uint64) Membership {
	if m, _, ok := c.log.MembershipAt(index); ok {
		return m
	}
	return c.snap.Members
}

// reloadMembers sets members to the newest membership in the log, committed or not.
func (c *Core) reloadMembers() {
	c.members, c.membersIndex = c.snap.Members, c.snap.Index
	if m, index, ok := c.log.MembershipAt(c.log.LastIndex()); ok && index > c.snap.Index {
		c.members, c.membersIndex = m, index
	}
}

// isUnresponsive reports whether the last answer of a peer, or its addition, is long ago.
func (c *Core) isUnresponsive(p *peer) bool {
	return c.now-max(time.Duration(p.acked), p.addedAt) > unresponsiveTimeouts*c.opts.ElectionTimeout
}

// isLagging reports whether a peer lacks too many entries to be promoted.
func (c *Core) isLagging(p *peer) bool {
	return p.match == 0 || c.log.LastIndex()-p.match > maxPromoteLag
}

// filterMembers returns the members whose peers satisfy a condition. This host is not among them.
func (c *Core) filterMembers(condition func(*peer) bool) (ids []string) {
	for _, m := range c.members {
		if p := c.peers[m.ID]; p != nil && condition(p) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
