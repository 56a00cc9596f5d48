package replicator

import "time"

// campaign asks the voters for a pre-vote, or for their votes in a new term.
func (c *Core) campaign(pre, force bool) {
	if !c.mayLead() {
		return
	}
	c.role, c.leader, c.votes = PreCandidate, "", map[string]bool{c.o.ID: true}
	term := c.state.Term + 1
	if !pre {
		c.role = Candidate
		c.state = State{Term: term, Vote: c.o.ID}
	}
	// The vote may be split, and no leader's lease delays the next attempt, so it comes sooner than the first.
	half := c.o.ElectionTimeout / 2
	c.electAt = c.now + half + time.Duration(c.rng.Int64N(int64(half)))
	if c.countVotes() {
		return
	}
	for _, m := range c.members {
		if m.Voter && m.ID != c.o.ID {
			c.send(Message{
				Kind: VoteRequest, To: m.ID, Term: term, Pre: pre, Force: force, Target: m.Incarnation,
				LogIndex: c.log.Last(), LogTerm: c.log.LastTerm(),
			})
		}
	}
}

// countVotes moves on when a quorum has granted; it reports whether it did.
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
	last, lastTerm := c.log.Last(), c.log.LastTerm()
	current := m.LogTerm > lastTerm || (m.LogTerm == lastTerm && m.LogIndex >= last)
	// A promoted learner may be asked before it has received its promotion, and its vote may be needed to commit that. So
	// the candidate's membership decides, and it names the data folder that it means.
	grant := m.Target == c.o.Incarnation && current
	if m.Pre {
		grant = grant && m.Term > c.state.Term
		r := Message{Kind: VoteResponse, Pre: true, Reject: !grant}
		if grant {
			r.Term = m.Term
		}
		c.reply(m, r)
		return
	}
	grant = grant && c.leader == "" && (c.state.Vote == "" || c.state.Vote == m.From)
	if grant {
		c.state.Vote = m.From
		c.resetElection()
	}
	c.reply(m, Message{Kind: VoteResponse, Reject: !grant})
}

func (c *Core) onVoteResponse(m Message) {
	switch {
	case c.role == PreCandidate && m.Pre && !m.Reject && m.Term == c.state.Term+1:
	case c.role == Candidate && !m.Pre && !m.Reject && m.Term == c.state.Term:
	default:
		return
	}
	if member, ok := c.members.Find(m.From); !ok || member.Incarnation != m.Incarnation {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.o.ID, nil
	c.peers = map[string]*peer{}
	c.syncPeers()
	c.appendOwn(Entry{Kind: EntryNoop})
	c.termStart = c.log.Last()
	c.beat()
}
