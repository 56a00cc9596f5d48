package replicator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// Guards against a host that is added again with its data folder and gets no entries until the next proposal, so that it cannot be
// promoted in a quiet cluster. Initial voters keep the incarnation 0, a host that was a voter with another one keeps that.
func TestHostThatIsAddedAgainCatchesUp(t *testing.T) {
	for _, incarnation := range []uint64{0, 9} {
		for _, missed := range []int{0, 1, 20} {
			for _, compacted := range []bool{false, true} {
				t.Run(fmt.Sprintf("incarnation-%d-missed-%d-compacted-%t", incarnation, missed, compacted), func(t *testing.T) {
					s := newSimulation(t, 5, replicator.Options{Seed: 11, MaxBatchBytes: 80})
					s.run(2 * time.Second)
					s.mustCommit("before")
					id := s.others(s.mustLead().id)[0]
					if incarnation != 0 {
						id = "n"
						s.add(id, incarnation)
						s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: id, Addr: id})
						s.mustChange(replicator.Change{Kind: replicator.Promote, ID: id})
					}
					s.isolate(id, true)
					s.mustChange(replicator.Change{Kind: replicator.Remove, ID: id})
					for i := range missed {
						s.mustCommit(fmt.Sprint("missed ", i))
					}
					if compacted {
						s.compact(s.mustLead(), 0)
					}
					s.isolate(id, false)
					s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: id, Addr: id})
					if got, want := s.nodes[id].applied, s.mustLead().applied; got != want {
						t.Errorf("%s applied %d entries a second after it was added, the leader %d", id, got, want)
					}
					s.mustChange(replicator.Change{Kind: replicator.Promote, ID: id})
				})
			}
		}
	}
}

// appends returns the appends with entries that a leader sends to a host.
func appends(c *replicator.Core, to string) (out []replicator.Message) {
	rd := c.Ready()
	c.Advance()
	for _, m := range append(rd.EarlyMessages, rd.Messages...) {
		if m.Kind == replicator.AppendRequest && m.To == to && len(m.Entries) > 0 {
			out = append(out, m)
		}
	}
	return out
}

// Guards against a voter that stays behind in a quiet cluster: the late response to an append that was sent again is counted for the
// next append, and that one is lost.
func TestLostAppendBesideLateResponse(t *testing.T) {
	c := newLeader(t)
	respond := func(now time.Duration, m replicator.Message) {
		c.Step(now, replicator.Message{
			Kind: replicator.AppendResponse, From: m.To, To: "a", Term: m.Term, LogIndex: m.LogIndex, Match: m.LogIndex + uint64(len(m.Entries)), Stamp: m.Stamp,
		})
	}
	now := c.Deadline()
	first := appends(c, "b")
	now += time.Second / 4
	c.Tick(now)
	again := appends(c, "b")
	if len(first) != 1 || len(again) != 1 {
		t.Fatalf("%d appends, then %d, want one each time", len(first), len(again))
	}
	respond(now, first[0])
	other := again[0]
	other.To = "c" // a quorum with it keeps the leader
	respond(now, other)
	if _, _, err := c.Propose(now, []byte("next")); err != nil {
		t.Fatal(err)
	}
	lost := appends(c, "b")
	if len(lost) != 1 {
		t.Fatalf("%d appends of the proposal, want 1", len(lost))
	}
	respond(now, again[0])
	for range 10 {
		now += 80 * time.Millisecond
		c.Tick(now)
		rd := c.Ready()
		c.Advance()
		for _, m := range append(rd.EarlyMessages, rd.Messages...) {
			if m.Kind == replicator.AppendRequest && m.To == "b" && len(m.Entries) > 0 {
				return
			}
			if m.Kind == replicator.AppendRequest {
				respond(now, replicator.Message{To: m.To, Term: m.Term, LogIndex: m.LogIndex, Stamp: m.Stamp})
			}
		}
	}
	t.Errorf("the append of entry %d was lost, and ten heartbeats later it has not been sent again", lost[0].LogIndex+1)
}
