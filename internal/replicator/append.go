package replicator

import (
	"slices"
	"time"
)

// peer is what a leader knows of another member.
type peer struct {
	match uint64
	next  uint64
	// probing sends one append at a time until the logs are known to agree.
	probing  bool
	inflight int
	sentAt   time.Duration
	// acked is the send time of the newest message that was answered; since is when the peer was added.
	acked       uint64
	since       time.Duration
	incarnation uint64
	// snapshot is the index of the snapshot being sent, or 0; offset is how much of it has arrived.
	snapshot *Snapshot
	offset   uint64
}

func (p *peer) probe() {
	p.next, p.probing, p.inflight, p.snapshot, p.offset = p.match+1, true, 0, nil, 0
}

// syncPeers follows a change of membership.
func (c *Core) syncPeers() {
	for id := range c.peers {
		if _, ok := c.members.Find(id); !ok {
			delete(c.peers, id)
		}
	}
	for _, m := range c.members {
		if m.ID != c.o.ID && c.peers[m.ID] == nil {
			c.peers[m.ID] = &peer{next: c.log.Last() + 1, probing: true, since: c.now, incarnation: m.Incarnation}
		}
	}
}

func (c *Core) appendOwn(e Entry) {
	e.Index, e.Term = c.log.Last()+1, c.state.Term
	c.log.Append(e)
	if e.Kind == EntryMembers {
		c.members, c.memberAt = e.Members, e.Index
		c.syncPeers()
	}
}

// beat sends a heartbeat to every member. It refers to an entry known to match, so it is independent of appends under way.
func (c *Core) beat() {
	c.beatAt, c.askBeat = c.now+c.o.HeartbeatInterval, false
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

// resendLost starts again with members whose appends were not answered in time.
func (c *Core) resendLost() {
	for _, p := range c.peers {
		if p.inflight > 0 && c.now >= p.sentAt+resendHeartbeats*c.o.HeartbeatInterval {
			offset, snapshot := p.offset, p.snapshot
			p.probe()
			p.offset, p.snapshot = offset, snapshot
		}
	}
}

// replicate sends what the windows of the members allow.
func (c *Core) replicate() {
	for _, m := range c.members {
		if p := c.peers[m.ID]; p != nil {
			for c.sendAppend(m.ID, p) {
			}
		}
	}
}

// sendAppend sends one append or chunk; it reports whether another one may follow.
func (c *Core) sendAppend(to string, p *peer) bool {
	if p.snapshot != nil || p.next <= c.log.Base() {
		c.sendChunk(to, p)
		return false
	}
	window := c.o.Window
	if p.probing {
		window = 1
	}
	if p.inflight >= window || p.next > c.log.Last() {
		return false
	}
	prev := p.next - 1
	term, _ := c.log.Term(prev)
	entries := c.log.Slice(p.next, c.log.Last(), c.o.MaxBatchBytes)
	c.send(Message{Kind: AppendRequest, To: to, LogIndex: prev, LogTerm: term, Entries: entries, Commit: c.commit})
	p.inflight++
	p.sentAt = c.now
	if !p.probing {
		p.next += uint64(len(entries))
	}
	return !p.probing
}

func (c *Core) sendChunk(to string, p *peer) {
	if p.inflight > 0 {
		return
	}
	if p.snapshot == nil {
		snap := c.snap
		p.snapshot, p.offset = &snap, 0
	}
	s := p.snapshot
	end := min(uint64(len(s.Data)), p.offset+uint64(c.o.MaxBatchBytes))
	c.send(Message{Kind: SnapshotRequest, To: to, Chunk: &Chunk{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Total: uint64(len(s.Data)), Offset: p.offset, Data: s.Data[p.offset:end],
	}})
	p.inflight = 1
	p.sentAt = c.now
}

// hear records a live leader.
func (c *Core) hear(m Message) {
	c.role, c.leader, c.votes, c.heard = Follower, m.From, nil, c.now
	c.resetElection()
}

func (c *Core) onAppend(m Message) {
	if c.role == Leader {
		return
	}
	c.hear(m)
	r := Message{Kind: AppendResponse, LogIndex: m.LogIndex, Match: m.LogIndex + uint64(len(m.Entries))}
	// Entries that are committed here agree with every leader's log.
	if drop := min(uint64(len(m.Entries)), max(c.commit, m.LogIndex)-m.LogIndex); drop > 0 {
		last := m.Entries[drop-1]
		m.LogIndex, m.LogTerm, m.Entries = last.Index, last.Term, m.Entries[drop:]
	}
	if m.LogIndex >= c.commit {
		if term, ok := c.log.Term(m.LogIndex); !ok || term != m.LogTerm {
			r.Reject, r.Match = true, 0
			r.Hint, r.HintTerm = c.log.Hint(r.LogIndex, m.LogTerm)
			c.reply(m, r)
			return
		}
	}
	c.take(m.Entries)
	c.commitTo(min(m.Commit, r.Match))
	c.reply(m, r)
}

// take appends entries that follow a matching one, and removes only entries that conflict.
func (c *Core) take(entries []Entry) {
	for i, e := range entries {
		if term, ok := c.log.Term(e.Index); ok && term == e.Term {
			continue
		}
		truncated := e.Index <= c.log.Last()
		c.stable = min(c.stable, e.Index-1)
		c.log.Append(entries[i:]...)
		if truncated || slices.ContainsFunc(entries[i:], func(e Entry) bool { return e.Kind == EntryMembers }) {
			c.reloadMembers()
		}
		return
	}
}

func (c *Core) commitTo(index uint64) {
	c.commit = max(c.commit, min(index, c.log.Last()))
}

// accepts checks that an answer comes from the data folder that the membership names, and records the contact.
func (c *Core) accepts(m Message) *peer {
	p := c.peers[m.From]
	if c.role != Leader || p == nil || m.Stamp > c.stamp {
		return nil
	}
	member, _ := c.members.Find(m.From)
	if m.Incarnation != p.incarnation {
		if member.Voter {
			return nil
		}
		// A learner that begins again has lost what it acknowledged.
		p.incarnation, p.match = m.Incarnation, 0
		p.probe()
	}
	p.acked = max(p.acked, m.Stamp)
	return p
}

func (c *Core) onAppendResponse(m Message) {
	p := c.accepts(m)
	if p == nil {
		return
	}
	if m.Reject {
		c.onRejected(p, m)
		return
	}
	if m.Match > c.log.Last() {
		return
	}
	if m.Match > m.LogIndex {
		p.inflight = max(0, p.inflight-1)
	}
	if m.Match <= p.match {
		return
	}
	p.match, p.probing = m.Match, false
	p.next = max(p.next, p.match+1)
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
	c.advanceCommit()
	if c.target == m.From {
		c.finishTransfer()
	}
}

func (c *Core) onRejected(p *peer, m Message) {
	if m.LogIndex <= p.match || p.snapshot != nil || (p.probing && m.LogIndex != p.next-1) {
		return // an old answer
	}
	p.probe()
	if c.o.NoHints {
		p.next = max(p.match+1, m.LogIndex)
		return
	}
	hint, _ := c.log.Hint(m.Hint, m.HintTerm)
	if m.Hint < c.log.Base() {
		hint = m.Hint
	}
	p.next = max(p.match+1, min(hint+1, m.LogIndex))
}

func (c *Core) advanceCommit() {
	var matches []uint64
	for _, m := range c.members {
		switch {
		case !m.Voter:
		case m.ID == c.o.ID:
			matches = append(matches, min(c.stable, c.log.Last()))
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
		c.afterCommit()
	}
}

// afterCommit lets a leader that was removed or is no voter step down once that is agreed.
func (c *Core) afterCommit() {
	if c.commit >= c.memberAt && !c.isVoter() {
		c.beat()
		c.becomeFollower(c.state.Term, "")
	}
}

// contact is the newest time at which a quorum is known to have followed this leader.
func (c *Core) contact() time.Duration {
	return time.Duration(c.quorumStamp(func(p *peer) uint64 { return max(p.acked, uint64(max(0, p.since))) }))
}

// quorumStamp returns the highest stamp that a quorum, this host included, has reached.
func (c *Core) quorumStamp(of func(*peer) uint64) uint64 {
	var stamps []uint64
	for _, m := range c.members {
		switch {
		case !m.Voter:
		case m.ID == c.o.ID:
			stamps = append(stamps, max(c.stamp, uint64(c.now)))
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

func (c *Core) active(p *peer) bool {
	return p.acked > 0 && c.now < time.Duration(p.acked)+c.o.ElectionTimeout
}

// answerReads confirms reads whose later heartbeats a quorum has answered. A new leader first commits an entry of its own,
// because only then it knows every committed entry.
func (c *Core) answerReads() {
	if c.role != Leader || c.commit < c.termStart {
		return
	}
	confirmed := c.quorumStamp(func(p *peer) uint64 { return p.acked })
	for len(c.reads) > 0 && c.reads[0].stamp <= confirmed {
		c.out.Reads = append(c.out.Reads, Read{ID: c.reads[0].id, Index: c.commit})
		c.reads = c.reads[1:]
	}
}
