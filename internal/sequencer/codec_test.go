package sequencer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer/sequencerpb"
)

func sampleMessages() []replicator.Message {
	members := replicator.NewMembership(map[string]string{"a": "1", "b": "2", "c": "3"})
	entries := []replicator.Entry{
		{Index: 1, Term: 1, Kind: replicator.EntryNoop},
		{Index: 2, Term: 1, Data: []byte("command")},
		{Index: 3, Term: 2, Kind: replicator.EntryMembers, Members: members},
	}
	return []replicator.Message{
		{Kind: replicator.VoteRequest, From: "b", To: "a", Term: 3, PreVote: true, LogIndex: 4, LogTerm: 2, TargetIncarnation: 0},
		{Kind: replicator.VoteResponse, From: "b", To: "a", Term: 2, Reject: true, Incarnation: 7},
		{Kind: replicator.AppendRequest, From: "b", To: "a", Term: 2, Entries: entries, Commit: 2, Stamp: 9},
		{Kind: replicator.AppendResponse, From: "b", To: "a", Term: 2, Reject: true, LogIndex: 3, Hint: 2, HintTerm: 1, Stamp: 9},
		{Kind: replicator.AppendResponse, From: "b", To: "a", Term: 2, Match: 3, Stamp: 9},
		{Kind: replicator.SnapshotRequest, From: "b", To: "a", Term: 2, Chunk: &replicator.Chunk{
			Index: 9, Term: 2, Members: members, Total: 5, Data: []byte("state"),
		}},
		{Kind: replicator.SnapshotResponse, From: "b", To: "a", Term: 2, Match: 9, Chunk: &replicator.Chunk{Index: 9, Offset: 5}},
		{Kind: replicator.TimeoutNow, From: "b", To: "a", Term: 2, Force: true},
	}
}

// TestMessageRoundTrip checks that encoding and decoding a message loses no field.
func TestMessageRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		data, err := proto.Marshal(encodeMessage(&m))
		if err != nil {
			t.Fatal(err)
		}
		in := &sequencerpb.Message{}
		if err := proto.Unmarshal(data, in); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, decodeMessage(in)); diff != "" {
			t.Errorf("message (-want +got):\n%s", diff)
		}
	}
}

// FuzzMessage checks that no decoded message makes the core panic, in any role.
func FuzzMessage(f *testing.F) {
	for _, m := range sampleMessages() {
		data, err := proto.Marshal(encodeMessage(&m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		in := &sequencerpb.Message{}
		if proto.Unmarshal(data, in) != nil {
			return
		}
		m := decodeMessage(in)
		voters := map[string]string{"a": "1", "b": "2", "c": "3"}
		for _, role := range []replicator.Role{replicator.Follower, replicator.PreCandidate, replicator.Leader} {
			c := replicator.New(replicator.Options{ID: "a", Snapshot: replicator.Snapshot{Members: replicator.NewMembership(voters)}}, 0)
			now := time.Duration(0)
			drain := func() {
				for rd := c.Ready(); !rd.Empty(); rd = c.Ready() {
					c.Advance()
				}
			}
			if role != replicator.Follower {
				now = 2 * replicator.DefaultElectionTimeout
				c.Tick(now)
			}
			if role == replicator.Leader {
				c.Step(now, replicator.Message{Kind: replicator.VoteResponse, From: "b", To: "a", Term: 1, PreVote: true})
				c.Step(now, replicator.Message{Kind: replicator.VoteResponse, From: "b", To: "a", Term: 1})
			}
			drain()
			if got := c.Status().Role; got != role {
				t.Fatalf("role %v, want %v", got, role)
			}
			c.Step(now, m)
			drain()
			c.Tick(now + time.Minute)
			drain()
		}
	})
}
