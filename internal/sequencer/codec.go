package sequencer

import (
	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer/sequencerpb"
)

func encodeMessage(m *replicator.Message) *sequencerpb.Message {
	out := &sequencerpb.Message{
		Kind: uint32(m.Kind), From: m.From, To: m.To, Term: m.Term,
		Pre: m.PreVote, Force: m.Force, Reject: m.Reject,
		LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit, Entries: persister.EncodeEntries(m.Entries),
		Match: m.Match, Hint: m.Hint, HintTerm: m.HintTerm, Stamp: m.Stamp, Incarnation: m.Incarnation, Target: m.TargetIncarnation,
	}
	if c := m.Chunk; c != nil {
		out.Chunk = &sequencerpb.Chunk{
			Index: c.Index, Term: c.Term, Members: persister.EncodeMembers(c.Members),
			Total: c.Total, Offset: c.Offset, Data: c.Data,
		}
	}
	return out
}

func decodeMessage(in *sequencerpb.Message) replicator.Message {
	m := replicator.Message{
		Kind: replicator.MessageKind(in.GetKind()), From: in.GetFrom(), To: in.GetTo(), Term: in.GetTerm(),
		PreVote: in.GetPre(), Force: in.GetForce(), Reject: in.GetReject(),
		LogIndex: in.GetLogIndex(), LogTerm: in.GetLogTerm(), Commit: in.GetCommit(),
		Match: in.GetMatch(), Hint: in.GetHint(), HintTerm: in.GetHintTerm(),
		Stamp: in.GetStamp(), Incarnation: in.GetIncarnation(), TargetIncarnation: in.GetTarget(),
	}
	for _, e := range in.GetEntries() {
		m.Entries = append(m.Entries, persister.DecodeEntry(e))
	}
	if c := in.GetChunk(); c != nil {
		m.Chunk = &replicator.Chunk{
			Index: c.GetIndex(), Term: c.GetTerm(), Members: persister.DecodeMembers(c.GetMembers()),
			Total: c.GetTotal(), Offset: c.GetOffset(), Data: c.GetData(),
		}
	}
	return m
}
