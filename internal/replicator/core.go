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
	// DefaultElectionTimeout lets a new leader be elected within about 1 s: a voter waits between one and two timeouts.
	DefaultElectionTimeout = 400 * time.Millisecond
	// DefaultHeartbeatInterval tolerates four lost heartbeats within an election timeout.
	DefaultHeartbeatInterval = 80 * time.Millisecond
	// DefaultMaxBatchBytes keeps an append message far below the frame limit of the transport.
	DefaultMaxBatchBytes = 1 << 20
	// DefaultWindow is the number of unanswered appends per member. More than one gave no improvement in measurements, because
	// all entries proposed during a round trip share the next append; see docs/measurements-log.md.
	DefaultWindow = 1
	// maxPromoteLag is the largest number of entries that a learner may lack when it is promoted; they are replicated within
	// one round trip.
	maxPromoteLag = 64
	// resendHeartbeats is the number of heartbeat intervals after which unanswered appends are resent.
	resendHeartbeats = 3
	// unresponsiveTimeouts is the number of election timeouts without an answer after which a member is unresponsive. A disk that is only
	// slow answers earlier.
	unresponsiveTimeouts = 4
)

// Options configures a Core. Zero values select the defaults.
type Options struct {
	ID string
	// Incarnation identifies the data folder of the host.
	Incarnation uint64
	// Seed is the seed of the random election timeouts.
	Seed              uint64
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	MaxBatchBytes     int
	Window            int
	// State, Snapshot and Entries are the durable data of the host. Entries may start before the index of the snapshot.
	State    State
	Snapshot Snapshot
	Entries  []Entry
	// The fields below disable single mechanisms, to measure what each contributes.
	NoPreVote     bool
	NoQuorumCheck bool
	NoHints       bool
}

// Core is the consensus state of one host. It is not safe for concurrent use.
type Core struct {
	opts Options
	rng  *rand.Rand
	now  time.Duration

	state        State
	role         Role
	leader       string
	log          journaler.Log
	snap         Snapshot
	commit       uint64
	delivered    uint64 // last index returned in Committed
	stable       uint64 // last index that is durable
	members      Membership
	membersIndex uint64 // index of the entry that contains members

	leaderContact    time.Duration // time of the last message from a leader
	electionDeadline time.Duration
	nextHeartbeat    time.Duration
	lastStamp        uint64
	votes            map[string]bool
	peers            map[string]*peer
	termStart        uint64 // index of the first entry of the leader's term
	reads            []pendingRead
	heartbeatDue     bool
	transferTarget   string // target of a leadership transfer, or empty
	transferDeadline time.Duration
	assembly         assembler.Assembly

	emittedState State
	out          Ready
}

// pendingRead is a read that waits for a quorum to answer a heartbeat sent after it.
type pendingRead struct {
	id    uint64
	stamp uint64
}

// New returns the core of a host that starts at time now with the durable data in o.
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
	c := &Core{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), now: now, state: o.State, emittedState: o.State, snap: o.Snapshot}
	c.log.Reset(o.Snapshot.Index, o.Snapshot.Term)
	if entries := o.Entries; len(entries) > 0 {
		if first := entries[0]; first.Index <= o.Snapshot.Index {
			c.log.Reset(first.Index, first.Term)
			entries = entries[1:]
		}
		c.log.Append(slices.Clone(entries)...)
	}
	c.commit, c.delivered, c.stable = o.Snapshot.Index, o.Snapshot.Index, c.log.LastIndex()
	c.opts.Entries, c.opts.Snapshot = nil, Snapshot{}
	c.reloadMembers()
	// The host may have received a message from a leader just before it stopped, so it grants no vote for one election timeout.
	c.leaderContact = now
	c.resetElectionTimer()
	return c
}

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{Role: c.role, Term: c.state.Term, Leader: c.leader, Commit: c.commit, Last: c.log.LastIndex(), Members: c.members}
	s.MembersCommitted = c.membersIndex <= c.commit
	if c.role == Leader {
		s.LeaseUntil = c.leaseUntil()
		s.Unresponsive, s.Lagging = c.filterMembers(c.isUnresponsive), c.filterMembers(c.isLagging)
	}
	return s
}

// leaseUntil returns the end of the leader lease, or 0 without a lease. The lease starts at the send time of the newest message
// that a quorum answered and is a tenth shorter than the election timeout, since clocks may run at different speeds.
func (c *Core) leaseUntil() time.Duration {
	if c.transferTarget != "" || c.commit < c.termStart {
		return 0
	}
	acked := time.Duration(c.quorumStamp(func(p *peer) uint64 { return p.acked }))
	if acked == 0 {
		return 0
	}
	return acked + c.opts.ElectionTimeout*9/10
}

// Deadline returns the time at which Tick must be called next.
func (c *Core) Deadline() time.Duration {
	if c.role != Leader {
		return c.electionDeadline
	}
	at := c.nextHeartbeat
	if c.transferTarget != "" {
		at = min(at, c.transferDeadline)
	}
	if !c.opts.NoQuorumCheck {
		at = min(at, c.quorumContact()+c.opts.ElectionTimeout)
	}
	return at
}

// Tick handles the timeouts that have expired at time now.
func (c *Core) Tick(now time.Duration) {
	c.now = max(c.now, now)
	if c.role != Leader {
		if c.now >= c.electionDeadline {
			c.resetElectionTimer()
			c.campaign(!c.opts.NoPreVote, false)
		}
		return
	}
	if !c.opts.NoQuorumCheck && c.now >= c.quorumContact()+c.opts.ElectionTimeout {
		c.becomeFollower(c.state.Term, "")
		return
	}
	if c.transferTarget != "" && c.now >= c.transferDeadline {
		// A delayed TimeoutNow could still start an election, so this leader must not serve reads under a lease again.
		c.becomeFollower(c.state.Term, "")
		return
	}
	if c.now >= c.nextHeartbeat {
		c.resendUnanswered()
		c.sendHeartbeats()
	}
}

// Step handles a received message.
func (c *Core) Step(now time.Duration, m Message) {
	c.now = max(c.now, now)
	if m.To != c.opts.ID || m.From == c.opts.ID || !m.valid() {
		return
	}
	switch {
	case m.Term > c.state.Term:
		if !c.acceptTerm(m) {
			return
		}
	case m.Term < c.state.Term:
		c.rejectStale(m)
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

// acceptTerm handles the term of a message with a higher term. It reports whether the message is to be processed.
func (c *Core) acceptTerm(m Message) bool {
	if m.Kind == VoteRequest && !m.Force && c.hasLeaderContact() {
		// A rejection would make a host that returns from isolation increase its term.
		return false
	}
	if m.PreVote && (m.Kind == VoteRequest || !m.Reject) {
		return true
	}
	leader := ""
	if m.Kind == AppendRequest || m.Kind == SnapshotRequest {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// hasLeaderContact reports whether a leader may still rely on this host not voting for another candidate.
func (c *Core) hasLeaderContact() bool {
	if c.opts.NoQuorumCheck {
		return false
	}
	if c.role == Leader {
		return true
	}
	return c.now < c.leaderContact+c.opts.ElectionTimeout
}

// rejectStale rejects a request of a lower term.
func (c *Core) rejectStale(m Message) {
	switch m.Kind {
	case VoteRequest:
		c.reply(m, Message{Kind: VoteResponse, PreVote: m.PreVote, Reject: true})
	case AppendRequest:
		c.reply(m, Message{Kind: AppendResponse, Reject: true})
	case SnapshotRequest:
		c.reply(m, Message{Kind: SnapshotResponse, Reject: true})
	}
}

// reply queues the response m to a request.
func (c *Core) reply(request, m Message) {
	m.From, m.To, m.CorrelationID, m.Stamp, m.Incarnation = c.opts.ID, request.From, request.CorrelationID, request.Stamp, c.opts.Incarnation
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// send queues a request. Appends and snapshot chunks may be sent before the sync.
func (c *Core) send(m Message) {
	m.From, m.Incarnation = c.opts.ID, c.opts.Incarnation
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	if m.Kind == AppendRequest || m.Kind == SnapshotRequest {
		m.Stamp = c.nextStamp()
		c.out.EarlyMessages = append(c.out.EarlyMessages, m)
		return
	}
	c.out.Messages = append(c.out.Messages, m)
}

// nextStamp returns the current time as a unique, strictly increasing stamp, which also orders messages and reads.
func (c *Core) nextStamp() uint64 {
	c.lastStamp = max(c.lastStamp+1, uint64(c.now))
	return c.lastStamp
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.state.Term {
		c.state = State{Term: term}
	}
	if c.role == Leader {
		for _, r := range c.reads {
			c.out.FailedReads = append(c.out.FailedReads, r.id)
		}
		c.reads, c.peers, c.transferTarget, c.heartbeatDue = nil, nil, "", false
		c.resetElectionTimer()
	}
	c.role, c.leader, c.votes = Follower, leader, nil
}

func (c *Core) resetElectionTimer() {
	c.electionDeadline = c.now + c.opts.ElectionTimeout + time.Duration(c.rng.Int64N(int64(c.opts.ElectionTimeout)))
}

// isVoter reports whether this host, with its current data folder, is a voter in the membership.
func (c *Core) isVoter() bool {
	m, ok := c.members.Find(c.opts.ID)
	return ok && m.Voter && m.Incarnation == c.opts.Incarnation
}

// canCampaign reports whether this host may start an election. A host whose removal isn't known to be committed may have the
// newest log, and must then become leader to complete its removal.
func (c *Core) canCampaign() bool {
	if c.isVoter() || c.membersIndex <= c.commit {
		return c.isVoter()
	}
	m, ok := c.membersAt(c.membersIndex - 1).Find(c.opts.ID)
	return ok && m.Voter && m.Incarnation == c.opts.Incarnation
}

func (c *Core) addrOf(id string) string {
	m, _ := c.members.Find(id)
	return m.Addr
}

func (c *Core) notLeader() error {
	if c.transferTarget != "" {
		return &NotLeaderError{} // the transfer target is about to be elected
	}
	return &NotLeaderError{Leader: c.leader, Addr: c.addrOf(c.leader)}
}

// Propose appends a command and returns the index and term that it has if it is committed.
func (c *Core) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	c.now = max(c.now, now)
	if c.role != Leader || c.transferTarget != "" {
		return 0, 0, c.notLeader()
	}
	c.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return c.log.LastIndex(), c.state.Term, nil
}

// Read requests a confirmation by a quorum that this host is still the leader. The result is returned by a later Ready.
func (c *Core) Read(now time.Duration, id uint64) error {
	c.now = max(c.now, now)
	if c.role != Leader {
		return c.notLeader()
	}
	c.reads = append(c.reads, pendingRead{id: id, stamp: c.nextStamp()})
	c.heartbeatDue = true
	return nil
}

// Transfer starts a leadership transfer to the voter with the longest matching log. From then on the leader accepts no proposals,
// and it becomes a follower when that voter is elected, or after an election timeout.
func (c *Core) Transfer(now time.Duration) error {
	c.now = max(c.now, now)
	if c.role != Leader {
		return c.notLeader()
	}
	best := ""
	for _, m := range c.members {
		p := c.peers[m.ID]
		if !m.Voter || p == nil || !c.inContact(p) {
			continue
		}
		if best == "" || p.match > c.peers[best].match {
			best = m.ID
		}
	}
	if best == "" {
		return &ChangeError{ID: c.opts.ID, Reason: "no other voter is in contact"}
	}
	c.transferTarget, c.transferDeadline = best, c.now+c.opts.ElectionTimeout
	c.sendTimeoutNow()
	return nil
}

// sendTimeoutNow completes a transfer as soon as the target has all entries.
func (c *Core) sendTimeoutNow() {
	if p := c.peers[c.transferTarget]; p != nil && p.match == c.log.LastIndex() {
		c.send(Message{Kind: TimeoutNow, To: c.transferTarget})
	}
}

// Ready returns the work to do. No other method may be called before Advance.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		if c.heartbeatDue {
			c.sendHeartbeats()
		}
		c.replicate()
	}
	c.confirmReads()
	rd := c.out
	c.out = Ready{}
	if c.state != c.emittedState {
		state := c.state
		rd.State, c.emittedState = &state, state
		// The term must be durable before any message of that term is sent.
		rd.Messages = append(rd.Messages, rd.EarlyMessages...)
		rd.EarlyMessages = nil
	}
	rd.Entries = c.log.Slice(c.stable+1, c.log.LastIndex(), int(^uint(0)>>1))
	if c.commit > c.delivered {
		rd.Committed = c.log.Slice(c.delivered+1, c.commit, int(^uint(0)>>1))
		c.delivered = c.commit
	}
	return rd
}

// Advance must be called once the State, Entries and Snapshot of the last Ready are durable.
func (c *Core) Advance() {
	c.stable = c.log.LastIndex()
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact records data as the snapshot of the state after index, which must have been applied, and drops the entries up to
// keepFrom.
func (c *Core) Compact(index uint64, data []byte, keepFrom uint64) Snapshot {
	term, ok := c.log.Term(index)
	if !ok || index <= c.snap.Index || index > c.delivered {
		return c.snap
	}
	c.snap = Snapshot{Index: index, Term: term, Members: c.membersAt(index), Data: data}
	c.log.Compact(min(keepFrom, index))
	return c.snap
}

// Durable returns the entries in the log and the state. If the snapshot covers the first entry, a restarted core keeps only its
// index and term, against which an append of the next entry is checked.
func (c *Core) Durable() ([]Entry, State) {
	return c.log.Entries(), c.state
}
