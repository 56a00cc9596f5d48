package replicator

import "time"

// campaign starts a pre-vote, or an election in a new term.
func (c *Core) campaign(pre, force bool) {
	if !c.canCampaign() {
		return
	}
	c.role, c.leader, c.votes = PreCandidate, "", map[string]bool{c.opts.ID: true}
	term := c.state.Term + 1
	if !pre {
		c.role = Candidate
		c.state = State{Term: term, Vote: c.opts.ID}
	}
	// The vote may be split. The next attempt comes sooner than the first one, because no lease delays it.
	half := c.opts.ElectionTimeout / 2
	c.electionDeadline = c.now + half + time.Duration(c.rng.Int64N(int64(half)))
	if c.countVotes() {
		return
	}
	for _, m := range c.members {
		if m.Voter && m.ID != c.opts.ID {
			c.send(Message{
				Kind: VoteRequest, To: m.ID, Term: term, PreVote: pre, Force: force, TargetIncarnation: m.Incarnation,
				LogIndex: c.log.LastIndex(), LogTerm: c.log.LastTerm(),
			})
		}
	}
}

// countVotes starts the election or becomes leader if a quorum granted its votes, and reports whether it did.
func (c *Core) countVotes() bool {
	granted := 0
	for _, m := range c.members {
		if m.Voter && c.votes[m.ID] {
			granted++
		}
	}
	if granted < c.members.Quorum() {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(false, false)
	} else {
		c.becomeLeader()
	}
	return true
}

func (c *Core) onVoteRequest(m Message) {
	last, lastTerm := c.log.LastIndex(), c.log.LastTerm()
	upToDate := m.LogTerm > lastTerm || (m.LogTerm == lastTerm && m.LogIndex >= last)
	// A promoted learner may receive a vote request before the entry that promotes it, and its vote may be needed to commit that
	// entry. So the membership of the candidate decides, and the request contains the incarnation of the voter's data folder.
	grant := m.TargetIncarnation == c.opts.Incarnation && upToDate
	if m.PreVote {
		grant = grant && m.Term > c.state.Term
		r := Message{Kind: VoteResponse, PreVote: true, Reject: !grant}
		if grant {
			r.Term = m.Term
		}
		c.reply(m, r)
		return
	}
	grant = grant && c.leader == "" && (c.state.Vote == "" || c.state.Vote == m.From)
	if grant {
		c.state.Vote = m.From
		c.resetElectionTimer()
	}
	c.reply(m, Message{Kind: VoteResponse, Reject: !grant})
}

func (c *Core) onVoteResponse(m Message) {
	switch {
	case c.role == PreCandidate && m.PreVote && !m.Reject && m.Term == c.state.Term+1:
	case c.role == Candidate && !m.PreVote && !m.Reject && m.Term == c.state.Term:
	default:
		return
	}
	if member, ok := c.members.Find(m.From); !ok || member.Incarnation != m.Incarnation {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// becomeLeader starts the term of this leader with an entry of its own.
func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.opts.ID, nil
	c.peers = map[string]*peer{}
	c.syncPeers(c.log.LastIndex() + 1)
	c.appendEntry(Entry{Kind: EntryNoop})
	c.termStart = c.log.LastIndex()
	c.sendHeartbeats()
}
