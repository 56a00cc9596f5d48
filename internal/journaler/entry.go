package journaler

import (
	"slices"
	"strings"
)

// EntryKind is the type of the payload of an entry.
type EntryKind uint8

// Kinds of entries.
const (
	EntryCommand EntryKind = iota
	// EntryNoop is appended by a new leader, because a leader may only commit entries of earlier terms together with one of its
	// own term.
	EntryNoop
	EntryMembers
)

// Entry is one entry of the replicated log. Data is set for a command and Members for a membership change.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members Membership
}

// Member is one host of the cluster.
type Member struct {
	ID    string
	Addr  string
	Voter bool
	// Incarnation identifies the data folder of the host; it is 0 for an initial voter. A host that lost its folder gets
	// another incarnation, so that its votes and acknowledgements do not count for the member with the lost folder.
	Incarnation uint64
}

// Membership is the set of members, ordered by id.
type Membership []Member

// NewMembership returns an initial membership in which all hosts vote. The map is from host id to address.
func NewMembership(voters map[string]string) Membership {
	m := make(Membership, 0, len(voters))
	for id, addr := range voters {
		m = append(m, Member{ID: id, Addr: addr, Voter: true})
	}
	m.Sort()
	return m
}

// Sort orders the members by id.
func (m Membership) Sort() {
	slices.SortFunc(m, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
}

// Find returns the member with the given id.
func (m Membership) Find(id string) (Member, bool) {
	for _, member := range m {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voters.
func (m Membership) Voters() int {
	n := 0
	for _, member := range m {
		if member.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that form a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }
