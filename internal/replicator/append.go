package replicator

import (
	"slices"
	"time"
)

// peer is the replication state of another member, kept by the leader.
type peer struct {
	match uint64
	next  uint64
	// probing is true until the logs are known to agree. Until then, one append is sent at a time.
	probing  bool
	inflight int
	sentAt   time.Duration
	// acked is the send time of the newest message that was answered, and addedAt the time at which the peer was added.
	acked       uint64
	addedAt     time.Duration
	incarnation uint64
	// snapshot is the snapshot being sent, or nil, and offset the number of its bytes that have arrived.
	snapshot *Snapshot
	offset   uint64
}

// probe restarts replication after the last matching entry.
func (p *peer) probe() {
	p.next, p.probing, p.inflight, p.snapshot, p.offset = p.match+1, true, 0, nil, 0
}

// isStalled reports whether a peer lacks entries although all of them have been sent and answered. The responses to an append that
// was sent twice can be counted for the next one, which may have been lost.
func (p *peer) isStalled(last uint64) bool {
	return p.match < last && p.next > last && p.inflight == 0 && p.snapshot == nil
}

// syncPeers adds and removes peers according to the membership. An added peer is probed with the entry at next, which must be in the log
// by the time of the next Ready: without a probe, a peer in a quiet cluster would lack entries until the next proposal.
func (c *Core) syncPeers(next uint64) {
	for id := range c.peers {
		if _, ok := c.members.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range c.members {
		if m.ID != c.opts.ID && c.peers[m.ID] == nil {
			c.peers[m.ID] = &peer{next: next, probing: true, addedAt: c.now, incarnation: m.Incarnation}
		}
	}
}

// appendEntry appends an entry of the leader to its own log.
func (c *Core) appendEntry(e Entry) {
	e.Index, e.Term = c.log.LastIndex()+1, c.state.Term
	c.log.Append(e)
	if e.Kind == EntryMembers {
		c.members, c.membersIndex = e.Members, e.Index
		c.syncPeers(e.Index)
	}
}

// sendHeartbeats sends a heartbeat to every member. It refers to an entry known to match, so it doesn't depend on unanswered
// appends.
func (c *Core) sendHeartbeats() {
	c.nextHeartbeat, c.heartbeatDue = c.now+c.opts.HeartbeatInterval, false
	for _, m := range c.members {
		p := c.peers[m.ID]
		if p == nil {
			continue
		}
		index, term := p.match, uint64(0)
		if t, ok := c.log.Term(index); ok {
			term = t
		} else {
			index = 0
		}
		c.send(Message{Kind: AppendRequest, To: m.ID, LogIndex: index, LogTerm: term, Commit: min(c.commit, index)})
	}
}

// resendUnanswered restarts replication to members that haven't answered an append in time.
func (c *Core) resendUnanswered() {
	for _, p := range c.peers {
		if p.inflight > 0 && c.now >= p.sentAt+resendHeartbeats*c.opts.HeartbeatInterval {
			offset, snapshot := p.offset, p.snapshot
			p.probe()
			p.offset, p.snapshot = offset, snapshot
		}
	}
}

// replicate sends as many appends as the window of each member allows.
func (c *Core) replicate() {
	for _, m := range c.members {
		if p := c.peers[m.ID]; p != nil {
			for c.sendAppend(m.ID, p) {
			}
		}
	}
}

// sendAppend sends one append or snapshot chunk and reports whether another one may follow.
func (c *Core) sendAppend(to string, p *peer) bool {
	if p.snapshot != nil || p.next <= c.log.BaseIndex() {
		c.sendChunk(to, p)
		return false
	}
	window := c.opts.Window
	if p.probing {
		window = 1
	}
	if p.inflight >= window || p.next > c.log.LastIndex() {
		return false
	}
	prev := p.next - 1
	term, _ := c.log.Term(prev)
	entries := c.log.Slice(p.next, c.log.LastIndex(), c.opts.MaxBatchBytes)
	c.send(Message{Kind: AppendRequest, To: to, LogIndex: prev, LogTerm: term, Entries: entries, Commit: c.commit})
	p.inflight++
	p.sentAt = c.now
	if !p.probing {
		p.next += uint64(len(entries))
	}
	return !p.probing
}

// sendChunk sends the next chunk of a snapshot unless one is unanswered.
func (c *Core) sendChunk(to string, p *peer) {
	if p.inflight > 0 {
		return
	}
	if p.snapshot == nil {
		snap := c.snap
		p.snapshot, p.offset = &snap, 0
	}
	s := p.snapshot
	end := min(uint64(len(s.Data)), p.offset+uint64(c.opts.MaxBatchBytes))
	c.send(Message{Kind: SnapshotRequest, To: to, Chunk: &Chunk{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Total: uint64(len(s.Data)), Offset: p.offset, Data: s.Data[p.offset:end],
	}})
	p.inflight = 1
	p.sentAt = c.now
}

// recordLeader makes this host a follower of the sender of a message and resets the election timer.
func (c *Core) recordLeader(m Message) {
	c.role, c.leader, c.votes, c.leaderContact = Follower, m.From, nil, c.now
	c.resetElectionTimer()
}

func (c *Core) onAppend(m Message) {
	if c.role == Leader {
		return
	}
	c.recordLeader(m)
	r := Message{Kind: AppendResponse, LogIndex: m.LogIndex, Match: m.LogIndex + uint64(len(m.Entries))}
	// Entries that are committed here are in the log of every later leader.
	if drop := min(uint64(len(m.Entries)), max(c.commit, m.LogIndex)-m.LogIndex); drop > 0 {
		last := m.Entries[drop-1]
		m.LogIndex, m.LogTerm, m.Entries = last.Index, last.Term, m.Entries[drop:]
	}
	if m.LogIndex >= c.commit {
		if term, ok := c.log.Term(m.LogIndex); !ok || term != m.LogTerm {
			r.Reject, r.Match = true, 0
			r.Hint, r.HintTerm = c.log.FindConflictByTerm(r.LogIndex, m.LogTerm)
			c.reply(m, r)
			return
		}
	}
	c.mergeEntries(m.Entries)
	c.commitTo(min(m.Commit, r.Match))
	c.reply(m, r)
}

// mergeEntries appends entries that follow a matching one. It removes only entries that conflict with them.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		if term, ok := c.log.Term(e.Index); ok && term == e.Term {
			continue
		}
		truncated := e.Index <= c.log.LastIndex()
		c.stable = min(c.stable, e.Index-1)
		c.log.Append(entries[i:]...)
		if truncated || slices.ContainsFunc(entries[i:], func(e Entry) bool { return e.Kind == EntryMembers }) {
			c.reloadMembers()
		}
		return
	}
}

func (c *Core) commitTo(index uint64) {
	c.commit = max(c.commit, min(index, c.log.LastIndex()))
}

// acceptResponse records the contact with the sender of a response and returns its peer. It returns nil unless the sender is a
// member and, if it is a voter, uses the data folder that the membership lists.
func (c *Core) acceptResponse(m Message) *peer {
	p := c.peers[m.From]
	if c.role != Leader || p == nil || m.Stamp > c.lastStamp {
		return nil
	}
	member, _ := c.members.Find(m.From)
	if m.Incarnation != p.incarnation {
		if member.Voter {
			return nil
		}
		// A learner with a new data folder has lost the entries that it acknowledged.
		p.incarnation, p.match = m.Incarnation, 0
		p.probe()
	}
	p.acked = max(p.acked, m.Stamp)
	return p
}

func (c *Core) onAppendResponse(m Message) {
	p := c.acceptResponse(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.onAppendRejected(p, m)
		return
	}
	if m.Match > c.log.LastIndex() {
		return
	}
	if m.Match > m.LogIndex {
		p.inflight = max(0, p.inflight-1)
	}
	if m.Match <= p.match {
		if p.isStalled(c.log.LastIndex()) {
			p.probe()
		}
		return
	}
	p.match, p.probing = m.Match, false
	p.next = max(p.next, p.match+1)
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
	c.advanceCommit()
	if c.transferTarget == m.From {
		c.sendTimeoutNow()
	}
}

func (c *Core) onAppendRejected(p *peer, m Message) {
	if m.LogIndex <= p.match || p.snapshot != nil || (p.probing && m.LogIndex != p.next-1) {
		return // outdated response
	}
	p.probe()
	if c.opts.NoHints {
		p.next = max(p.match+1, m.LogIndex)
		return
	}
	hint, _ := c.log.FindConflictByTerm(m.Hint, m.HintTerm)
	if m.Hint < c.log.BaseIndex() {
		hint = m.Hint
	}
	p.next = max(p.match+1, min(hint+1, m.LogIndex))
}

func (c *Core) advanceCommit() {
	var matches []uint64
	for _, m := range c.members {
		switch {
		case !m.Voter:
		case m.ID == c.opts.ID:
			matches = append(matches, min(c.stable, c.log.LastIndex()))
		default:
			matches = append(matches, c.peers[m.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-len(matches)/2-1]
	if term, ok := c.log.Term(index); ok && term == c.state.Term && index > c.commit {
		c.commitTo(index)
		c.stepDownIfRemoved()
	}
}

// stepDownIfRemoved makes the leader a follower once a membership in which it isn't a voter is committed.
func (c *Core) stepDownIfRemoved() {
	if c.commit >= c.membersIndex && !c.isVoter() {
		c.sendHeartbeats()
		c.becomeFollower(c.state.Term, "")
	}
}

// quorumContact returns the latest time at which a quorum is known to have followed this leader.
func (c *Core) quorumContact() time.Duration {
	return time.Duration(c.quorumStamp(func(p *peer) uint64 { return max(p.acked, uint64(max(0, p.addedAt))) }))
}

// quorumStamp returns the highest stamp that a quorum, including this host, has reached.
func (c *Core) quorumStamp(of func(*peer) uint64) uint64 {
	var stamps []uint64
	for _, m := range c.members {
		switch {
		case !m.Voter:
		case m.ID == c.opts.ID:
			stamps = append(stamps, max(c.lastStamp, uint64(c.now)))
		default:
			stamps = append(stamps, of(c.peers[m.ID]))
		}
	}
	if len(stamps) == 0 {
		return 0
	}
	slices.Sort(stamps)
	return stamps[len(stamps)-len(stamps)/2-1]
}

// inContact reports whether a peer answered a message that was sent within the last election timeout.
func (c *Core) inContact(p *peer) bool {
	return p.acked > 0 && c.now < time.Duration(p.acked)+c.opts.ElectionTimeout
}

// confirmReads confirms the reads for which a quorum answered a later heartbeat. A new leader must first commit an entry of its
// own term, because before that its commit index may be too low.
func (c *Core) confirmReads() {
	if c.role != Leader || c.commit < c.termStart {
		return
	}
	confirmed := c.quorumStamp(func(p *peer) uint64 { return p.acked })
	for len(c.reads) > 0 && c.reads[0].stamp <= confirmed {
		c.out.Reads = append(c.out.Reads, Read{ID: c.reads[0].id, Index: c.commit})
		c.reads = c.reads[1:]
	}
}
