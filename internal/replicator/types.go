// Package replicator implements the consensus algorithm of the replicated log.
//
// It is a Raft state machine without goroutines, clocks, sockets or files: time, the random seed and messages are inputs, and
// Ready lists what its owner has to make durable, send and apply.
package replicator

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/assembler"
	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
)

type (
	// EntryKind is an alias of [journaler.EntryKind].
	EntryKind = journaler.EntryKind
	// Entry is an alias of [journaler.Entry].
	Entry = journaler.Entry
	// Member is an alias of [journaler.Member].
	Member = journaler.Member
	// Membership is an alias of [journaler.Membership].
	Membership = journaler.Membership
)

// Kinds of entries, as documented in package journaler.
const (
	EntryCommand = journaler.EntryCommand
	EntryNoop    = journaler.EntryNoop
	EntryMembers = journaler.EntryMembers
)

// NewMembership returns an initial membership from a map of host IDs to addresses.
func NewMembership(voters map[string]string) Membership { return journaler.NewMembership(voters) }

// State is the part of the core, besides the log, that must be durable before messages that depend on it are sent.
type State struct {
	Term uint64
	Vote string
}

// Snapshot is the applied state that replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Membership
	Data    []byte
}

// MessageKind is the type of a message.
type MessageKind uint8

// Kinds of messages.
const (
	VoteRequest MessageKind = iota + 1
	VoteResponse
	AppendRequest
	AppendResponse
	SnapshotRequest
	SnapshotResponse
	// TimeoutNow makes a voter start an election immediately, for a leadership transfer.
	TimeoutNow
)

// Message is a message from one core to another.
type Message struct {
	Kind MessageKind
	From string
	To   string
	Term uint64
	// PreVote marks a pre-vote, which changes neither terms nor votes. Force marks an election for a leadership transfer, in
	// which voters don't wait for the lease of the old leader.
	PreVote bool
	Force   bool
	Reject  bool
	// LogIndex and LogTerm identify the last entry of a candidate, or the entry before Entries.
	LogIndex uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	// Match is the last index up to which both logs are known to be equal.
	Match uint64
	// Hint and HintTerm identify, in a rejection, an entry up to which the logs may agree.
	Hint     uint64
	HintTerm uint64
	// Stamp is the leader's strictly increasing send time in nanoseconds. Responses repeat it.
	Stamp uint64
	// Incarnation identifies the data folder of the sender.
	Incarnation uint64
	// TargetIncarnation is the incarnation of the voter whose vote is requested.
	TargetIncarnation uint64
	Chunk             *Chunk
	// CorrelationID is a number that the owner sets on a request. The response repeats it. It is not transmitted.
	CorrelationID uint64
}

// maxIndex is the largest index or term accepted in a message, so that sums can't overflow.
const maxIndex = 1 << 62

// valid reports whether a received message has the properties that the core relies on.
func (m *Message) valid() bool {
	if m.Term == 0 || m.Term > maxIndex || m.LogIndex > maxIndex || m.Match > maxIndex || m.Hint > maxIndex {
		return false
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.LogIndex+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	switch m.Kind {
	case SnapshotRequest:
		return m.Chunk != nil && m.Chunk.Index > 0 && m.Chunk.Index <= maxIndex
	case SnapshotResponse:
		return m.Chunk != nil || m.Reject
	}
	return true
}

// Chunk is an alias of [assembler.Chunk].
type Chunk = assembler.Chunk

// Role is the Raft role of a host in its current term.
type Role uint8

// Roles of a host.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Status is a snapshot of the state of a core, for logs and callers.
type Status struct {
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Last    uint64
	Members Membership
	// MembersCommitted is true if Members is known to be committed.
	MembersCommitted bool
	// Unresponsive are the members that have answered no message of this leader for a long time, for example because their disks hang.
	Unresponsive []string
	// Lagging are the members that lack too many entries to be promoted.
	Lagging []string
	// LeaseUntil is the time until which no other leader can be elected. It is set on a leader only; 0 means no lease.
	LeaseUntil time.Duration
}

// Read is a confirmed linearizable read: a state that has applied Index contains every write completed before the read.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready is the work that the owner of a core has to do, in this order: send EarlyMessages; make Snapshot, State and Entries
// durable; call Advance; send Messages; restore Snapshot; apply Committed; answer Reads.
type Ready struct {
	// State is nil if it is unchanged.
	State *State
	// Entries replace all entries in the log from the index of the first one.
	Entries  []Entry
	Snapshot *Snapshot
	// EarlyMessages may be sent before Entries are durable, because a leader counts only the durable part of its own log towards
	// a commit.
	EarlyMessages []Message
	Messages      []Message
	Committed     []Entry
	Reads         []Read
	// FailedReads are the IDs of reads that can't be confirmed because this host is no longer the leader.
	FailedReads []uint64
}

// Empty reports whether there is no work to do.
func (r *Ready) Empty() bool {
	return r.State == nil && len(r.Entries) == 0 && r.Snapshot == nil && len(r.EarlyMessages) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.FailedReads) == 0
}
