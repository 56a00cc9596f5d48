package replicator

import "slices"

func (c *Core) onChunk(m Message) {
	if c.role == Leader || m.Chunk == nil {
		return
	}
	c.recordLeader(m)
	r := Message{Kind: SnapshotResponse, Chunk: &Chunk{Index: m.Chunk.Index}}
	if m.Chunk.Index <= c.commit {
		c.assembly.Take()
		r.Match = c.commit
		c.reply(m, r)
		return
	}
	if !c.assembly.Add(m.Chunk) {
		r.Chunk.Offset = uint64(len(c.assembly.Received(m.Chunk)))
		c.reply(m, r)
		return
	}
	c.installSnapshot()
	r.Match = m.Chunk.Index
	c.reply(m, r)
}

// installSnapshot replaces the log up to the index of the assembled snapshot.
func (c *Core) installSnapshot() {
	a := c.assembly.Take()
	c.snap = Snapshot{Index: a.Index, Term: a.Term, Members: slices.Clone(a.Members), Data: a.Data}
	if term, ok := c.log.Term(a.Index); ok && term == a.Term {
		c.log.Compact(a.Index)
	} else {
		c.log.Reset(a.Index, a.Term)
	}
	c.stable = min(max(c.stable, a.Index), c.log.LastIndex())
	c.commit, c.delivered = a.Index, a.Index
	c.reloadMembers()
	snap := c.snap
	c.out.Snapshot = &snap
}

func (c *Core) onChunkResponse(m Message) {
	p := c.acceptResponse(m)
	if p == nil || m.Reject || p.snapshot == nil || m.Chunk == nil || m.Chunk.Index != p.snapshot.Index {
		return
	}
	p.inflight = 0
	p.offset = min(m.Chunk.Offset, uint64(len(p.snapshot.Data)))
	if m.Match < p.snapshot.Index {
		return
	}
	p.snapshot = nil
	p.match = max(p.match, m.Match)
	p.probe()
	p.probing = false
	c.advanceCommit()
}
