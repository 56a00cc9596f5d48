// Package replicator is the consensus core of the replicated log.
//
// It is a Raft state machine without goroutines, clocks, sockets or files: time, randomness and messages are inputs, and
// Ready lists what its owner has to make durable, send and apply.
package replicator

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/assembler"
	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
)

type (
	// EntryKind is defined by [journaler.EntryKind].
	EntryKind = journaler.EntryKind
	// Entry is defined by [journaler.Entry].
	Entry = journaler.Entry
	// Member is defined by [journaler.Member].
	Member = journaler.Member
	// Membership is defined by [journaler.Membership].
	Membership = journaler.Membership
)

// Kinds of entries, as package journaler describes them.
const (
	EntryCommand = journaler.EntryCommand
	EntryNoop    = journaler.EntryNoop
	EntryMembers = journaler.EntryMembers
)

// NewMembership returns the initial membership from host ids and addresses.
func NewMembership(voters map[string]string) Membership { return journaler.NewMembership(voters) }

// State is the part of the core, besides the log, that must be durable before it is acted on.
type State struct {
	Term uint64
	Vote string
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Membership
	Data    []byte
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	VoteRequest MessageKind = iota + 1
	VoteResponse
	AppendRequest
	AppendResponse
	SnapshotRequest
	SnapshotResponse
	// TimeoutNow asks a voter to stand for election at once, for a planned change of leader.
	TimeoutNow
)

// Message is sent from one core to another.
type Message struct {
	Kind MessageKind
	From string
	To   string
	Term uint64
	// Pre marks a pre-vote, which changes no term and no vote. Force marks the vote of a planned change of leader.
	Pre    bool
	Force  bool
	Reject bool
	// LogIndex and LogTerm are the last entry of a candidate, or the entry before Entries.
	LogIndex uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	// Match is the last index known to be equal in both logs.
	Match uint64
	// Hint and HintTerm tell after a rejection where the logs may agree.
	Hint     uint64
	HintTerm uint64
	// Stamp is the leader's strictly increasing send time in nanoseconds; answers repeat it.
	Stamp       uint64
	Incarnation uint64
	// Target is the incarnation of the voter that a candidate asks.
	Target uint64
	Chunk  *Chunk
	// Exchange is an opaque number of the owner; an answer repeats that of its request. It is not sent.
	Exchange uint64
}

// maxIndex bounds indexes from the wire, so that sums of them cannot overflow.
const maxIndex = 1 << 62

// valid checks what the core relies on in a message from the wire.
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

// Chunk is defined by [assembler.Chunk].
type Chunk = assembler.Chunk

// Role is the part a host plays in its term.
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

// Status describes a core for logs and callers.
type Status struct {
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Last    uint64
	Members Membership
	// LeaseUntil is the time until which no other leader can stand; it is meaningful for a leader only.
	LeaseUntil time.Duration
}

// Read is a confirmed read: a state that has applied Index is at least as new as every write completed before the read.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready is the work that a core hands to its owner. In this order: send Early; make Snapshot, State and Entries durable;
// call Advance; send Messages; restore Snapshot; apply Committed; answer Reads.
type Ready struct {
	// State is nil when unchanged.
	State *State
	// Entries replace everything in the log from the index of the first one.
	Entries  []Entry
	Snapshot *Snapshot
	// Early may be sent before the sync, because only the durable part of the own log counts towards a commit.
	Early     []Message
	Messages  []Message
	Committed []Entry
	Reads     []Read
	// FailedReads lost their leader.
	FailedReads []uint64
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.State == nil && len(r.Entries) == 0 && r.Snapshot == nil && len(r.Early) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.Reads) == 0 && len(r.FailedReads) == 0
}
