package replicator

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/assembler"
	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
)

// Defaults of Options.
const (
	// DefaultElectionTimeout lets a new leader stand within about 1 s: a voter waits between one and two of these.
	DefaultElectionTimeout = 400 * time.Millisecond
	// DefaultHeartbeatInterval leaves room for four lost heartbeats within an election timeout.
	DefaultHeartbeatInterval = 80 * time.Millisecond
	// DefaultMaxBatchBytes keeps an append far below the frame limit of the transport.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultWindow is the number of appends under way to one member. More than one brought no gain in measurements,
	// because everything that arrives during an exchange shares the next one; see docs/measurements-log.md.
	DefaultWindow = 1
	// maxPromoteLag is the number of entries a learner may lack when it is promoted; they arrive within one round trip.
	maxPromoteLag = 64
	// resendHeartbeats is the number of heartbeat intervals after which unanswered appends are sent again.
	resendHeartbeats = 3
)

// Options configure a Core. Zero values take the defaults.
type Options struct {
	ID          string
	Incarnation uint64
	// Seed feeds the jitter of election timeouts.
	Seed              uint64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	MaxBatchBytes     int
	Window            int
	// State, Snapshot and Entries are what was durable at the last stop. Entries may begin before the snapshot's end.
	State    State
	Snapshot Snapshot
	Entries  []Entry
	// The switches below exist to measure what each idea contributes.
	NoPreVote     bool
	NoQuorumCheck bool
	NoHints       bool
}

// Core is the consensus state of one host. It is not safe for concurrent use.
type Core struct {
	o   Options
	rng *rand.Rand
	now time.Duration

	state    State
	role     Role
	leader   string
	log      journaler.Log
	snap     Snapshot
	commit   uint64
	handed   uint64 // last index given out in Committed
	stable   uint64 // last index that is durable
	members  Membership
	memberAt uint64 // index of the entry that set members

	heard     time.Duration // when a leader was last heard
	electAt   time.Duration
	beatAt    time.Duration
	stamp     uint64
	votes     map[string]bool
	peers     map[string]*peer
	termStart uint64 // index of the leader's own first entry
	reads     []pendingRead
	askBeat   bool
	target    string // member that is to lead next
	targetEnd time.Duration
	assembly  assembler.Assembly

	saved State
	out   Ready
}

type pendingRead struct {
	id    uint64
	stamp uint64
}

// New returns the core of a host that starts at time now with what is durable.
func New(o Options, now time.Duration) *Core {
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = DefaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.MaxBatchBytes == 0 {
		o.MaxBatchBytes = DefaultMaxBatchBytes
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	c := &Core{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), now: now, state: o.State, saved: o.State, snap: o.Snapshot}
	c.log.Reset(o.Snapshot.Index, o.Snapshot.Term)
	if entries := o.Entries; len(entries) > 0 {
		if first := entries[0]; first.Index <= o.Snapshot.Index {
			c.log.Reset(first.Index, first.Term)
			entries = entries[1:]
		}
		c.log.Append(slices.Clone(entries)...)
	}
	c.commit, c.handed, c.stable = o.Snapshot.Index, o.Snapshot.Index, c.log.Last()
	c.o.Entries, c.o.Snapshot = nil, Snapshot{}
	c.reloadMembers()
	// The host may have heard a leader just before it stopped, so its vote stays withheld for one timeout.
	c.heard = now
	c.resetElection()
	return c
}

// Status returns a description of the current state.
func (c *Core) Status() Status {
	s := Status{Role: c.role, Term: c.state.Term, Leader: c.leader, Commit: c.commit, Last: c.log.Last(), Members: c.members}
	if c.role == Leader {
		s.LeaseUntil = c.leaseUntil()
	}
	return s
}

// leaseUntil counts from the send time of what a quorum answered, less a tenth for clocks that run at unequal speed.
func (c *Core) leaseUntil() time.Duration {
	if c.target != "" || c.commit < c.termStart {
		return 0
	}
	acked := time.Duration(c.quorumStamp(func(p *peer) uint64 { return p.acked }))
	if acked == 0 {
		return 0
	}
	return acked + c.o.ElectionTimeout*9/10
}

// Deadline returns the time at which Tick has work to do.
func (c *Core) Deadline() time.Duration {
	if c.role != Leader {
		return c.electAt
	}
	at := c.beatAt
	if c.target != "" {
		at = min(at, c.targetEnd)
	}
	if !c.o.NoQuorumCheck {
		at = min(at, c.contact()+c.o.ElectionTimeout)
	}
	return at
}

// Tick lets time pass.
func (c *Core) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.role != Leader {
		if c.now >= c.electAt {
			c.resetElection()
			c.campaign(!c.o.NoPreVote, false)
		}
		return
	}
	if !c.o.NoQuorumCheck && c.now >= c.contact()+c.o.ElectionTimeout {
		c.becomeFollower(c.state.Term, "")
		return
	}
	if c.target != "" && c.now >= c.targetEnd {
		// A delayed TimeoutNow could still unseat this leader, so it may not return to answering under a lease.
		c.becomeFollower(c.state.Term, "")
		return
	}
	if c.now >= c.beatAt {
		c.resendLost()
		c.beat()
	}
}

// Step takes a message that arrived.
func (c *Core) Step(now time.Duration, m Message) {
	c.now = max(c.now, now)
	if m.To != c.o.ID || m.From == c.o.ID || !m.valid() {
		return
	}
	switch {
	case m.Term > c.state.Term:
		if !c.acceptTerm(m) {
			return
		}
	case m.Term < c.state.Term:
		c.refuseStale(m)
		return
	}
	switch m.Kind {
	case VoteRequest:
		c.onVoteRequest(m)
	case VoteResponse:
		c.onVoteResponse(m)
	case AppendRequest:
		c.onAppend(m)
	case AppendResponse:
		c.onAppendResponse(m)
	case SnapshotRequest:
		c.onChunk(m)
	case SnapshotResponse:
		c.onChunkResponse(m)
	case TimeoutNow:
		if c.role == Follower {
			c.campaign(false, true)
		}
	}
}

// acceptTerm handles a message of a higher term; it reports whether the message is to be processed.
func (c *Core) acceptTerm(m Message) bool {
	if m.Kind == VoteRequest && !m.Force && c.hearsLeader() {
		// Answering with a refusal would make a host that returns from isolation raise its term.
		return false
	}
	if m.Pre && (m.Kind == VoteRequest || !m.Reject) {
		return true
	}
	leader := ""
	if m.Kind == AppendRequest || m.Kind == SnapshotRequest {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// hearsLeader reports whether a leader may still rely on this host not voting for another one.
func (c *Core) hearsLeader() bool {
	if c.o.NoQuorumCheck {
		return false
	}
	if c.role == Leader {
		return true
	}
	return c.now < c.heard+c.o.ElectionTimeout
}

func (c *Core) refuseStale(m Message) {
	switch m.Kind {
	case VoteRequest:
		c.reply(m, Message{Kind: VoteResponse, Pre: m.Pre, Reject: true})
	case AppendRequest:
		c.reply(m, Message{Kind: AppendResponse, Reject: true})
	case SnapshotRequest:
		c.reply(m, Message{Kind: SnapshotResponse, Reject: true})
	}
}

func (c *Core) reply(request, m Message) {
	m.From, m.To, m.Exchange, m.Stamp, m.Incarnation = c.o.ID, request.From, request.Exchange, request.Stamp, c.o.Incarnation
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

func (c *Core) send(m Message) {
	m.From, m.Incarnation = c.o.ID, c.o.Incarnation
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	if m.Kind == AppendRequest || m.Kind == SnapshotRequest {
		m.Stamp = c.nextStamp()
		c.out.Early = append(c.out.Early, m)
		return
	}
	c.out.Messages = append(c.out.Messages, m)
}

// nextStamp returns the send time, made unique so that it also orders messages and reads.
func (c *Core) nextStamp() uint64 {
	c.stamp = max(c.stamp+1, uint64(c.now))
	return c.stamp
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.state.Term {
		c.state = State{Term: term}
	}
	if c.role == Leader {
		for _, r := range c.reads {
			c.out.FailedReads = append(c.out.FailedReads, r.id)
		}
		c.reads, c.peers, c.target, c.askBeat = nil, nil, "", false
		c.resetElection()
	}
	c.role, c.leader, c.votes = Follower, leader, nil
}

func (c *Core) resetElection() {
	c.electAt = c.now + c.o.ElectionTimeout + time.Duration(c.rng.Int64N(int64(c.o.ElectionTimeout)))
}

// isVoter reports whether the membership lists this host, with this data folder, as a voter.
func (c *Core) isVoter() bool {
	m, ok := c.members.Find(c.o.ID)
	return ok && m.Voter && m.Incarnation == c.o.Incarnation
}

// mayLead reports whether this host may stand for election. A host whose removal is not known to be committed may hold the
// newest log, and the others then need it as leader to complete the removal.
func (c *Core) mayLead() bool {
	if c.isVoter() || c.memberAt <= c.commit {
		return c.isVoter()
	}
	m, ok := c.membersAt(c.memberAt - 1).Find(c.o.ID)
	return ok && m.Voter && m.Incarnation == c.o.Incarnation
}

func (c *Core) addrOf(id string) string {
	m, _ := c.members.Find(id)
	return m.Addr
}

func (c *Core) notLeader() error {
	if c.target != "" {
		return &NotLeaderError{} // the next leader is about to be elected
	}
	return &NotLeaderError{Leader: c.leader, Addr: c.addrOf(c.leader)}
}

// Propose appends a command and returns the position it will have if it is committed.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	c.now = max(c.now, now)
	if c.role != Leader || c.target != "" {
		return 0, 0, c.notLeader()
	}
	c.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return c.log.Last(), c.state.Term, nil
}

// Read asks for a confirmation, by a quorum, that this host still leads. The answer is in Ready.
func (c *Core) Read(now time.Duration, id uint64) error {
	c.now = max(c.now, now)
	if c.role != Leader {
		return c.notLeader()
	}
	c.reads = append(c.reads, pendingRead{id: id, stamp: c.nextStamp()})
	c.askBeat = true
	return nil
}

// Transfer hands leadership to the most advanced voter. The term ends when that voter has been elected.
func (c *Core) Transfer(now time.Duration) error {
	c.now = max(c.now, now)
	if c.role != Leader {
		return c.notLeader()
	}
	best := ""
	for _, m := range c.members {
		p := c.peers[m.ID]
		if !m.Voter || p == nil || !c.active(p) {
			continue
		}
		if best == "" || p.match > c.peers[best].match {
			best = m.ID
		}
	}
	if best == "" {
		return &ChangeError{ID: c.o.ID, Reason: "no other voter is in contact"}
	}
	c.target, c.targetEnd = best, c.now+c.o.ElectionTimeout
	c.finishTransfer()
	return nil
}

func (c *Core) finishTransfer() {
	if p := c.peers[c.target]; p != nil && p.match == c.log.Last() {
		c.send(Message{Kind: TimeoutNow, To: c.target})
	}
}

// Ready returns the work to do. No other method may be called until Advance.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		if c.askBeat {
			c.beat()
		}
		c.replicate()
	}
	c.answerReads()
	rd := c.out
	c.out = Ready{}
	if c.state != c.saved {
		state := c.state
		rd.State, c.saved = &state, state
		// The term must be durable before anything is sent in it.
		rd.Messages = append(rd.Messages, rd.Early...)
		rd.Early = nil
	}
	rd.Entries = c.log.Slice(c.stable+1, c.log.Last(), int(^uint(0)>>1))
	if c.commit > c.handed {
		rd.Committed = c.log.Slice(c.handed+1, c.commit, int(^uint(0)>>1))
		c.handed = c.commit
	}
	return rd
}

// Advance tells that the durable parts of the last Ready are synced.
func (c *Core) Advance() {
	c.stable = c.log.Last()
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact records a snapshot of the state after index, which must have been applied, and drops the entries before keepFrom.
func (c *Core) Compact(index uint64, data []byte, keepFrom uint64) Snapshot {
	term, ok := c.log.Term(index)
	if !ok || index <= c.snap.Index || index > c.handed {
		return c.snap
	}
	c.snap = Snapshot{Index: index, Term: term, Members: c.membersAt(index), Data: data}
	c.log.Compact(min(keepFrom, index))
	return c.snap
}

// Durable returns the entries held, beginning with the one that the term of the next is checked against, and the state.
func (c *Core) Durable() ([]Entry, State) {
	return c.log.Entries(), c.state
}
