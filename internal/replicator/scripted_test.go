package replicator_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// others returns the IDs of all hosts except one.
func (s *simulation) others(id string) (out []string) {
	for _, other := range s.ids {
		if other != id {
			out = append(out, other)
		}
	}
	return out
}

// Guards against a voter that is restarted during the lease of its leader and votes for another candidate, while the leader
// still serves reads under its lease.
func TestRestartedVoterWithholdsVote(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 1})
	s.run(2 * time.Second)
	leader := s.mustLead()
	others := s.others(leader.id)
	// One voter no longer receives messages of the leader and starts elections, while the other voter is restarted repeatedly.
	s.blockedLinks[[2]string{leader.id, others[0]}] = true
	voter := s.nodes[others[1]]
	for range 100 {
		s.run(30 * time.Millisecond)
		s.crash(voter)
		s.restart(voter)
	}
	if now := s.mustLead(); now != leader {
		t.Errorf("host %s replaced the healthy leader %s", now.id, leader.id)
	}
}

// newLeader returns a core that has just won an election and has a log with two entries of earlier terms.
func newLeader(t *testing.T) *replicator.Core {
	t.Helper()
	members := replicator.NewMembership(map[string]string{"a": "a", "b": "b", "c": "c", "d": "d", "e": "e"})
	c := replicator.New(replicator.Options{
		ID: "a", NoPreVote: true, State: replicator.State{Term: 3}, Snapshot: replicator.Snapshot{Members: members},
		Entries: []replicator.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	}, 0)
	c.Tick(c.Deadline())
	for _, from := range []string{"b", "c"} {
		c.Step(c.Deadline(), replicator.Message{Kind: replicator.VoteResponse, From: from, To: "a", Term: 4})
	}
	if got := c.Status(); got.Role != replicator.Leader || got.Last != 3 {
		t.Fatalf("status %+v, want a leader with 3 entries", got)
	}
	return c
}

// Guards against committing an entry of an earlier term by counting its copies, since a host without that entry can still win an
// election; and against a membership change before the leader has committed an entry of its own term.
func TestCommitNeedsEntryOfOwnTerm(t *testing.T) {
	c := newLeader(t)
	c.Ready()
	c.Advance()
	acknowledge := func(match uint64) uint64 {
		for _, from := range []string{"b", "c"} {
			c.Step(0, replicator.Message{Kind: replicator.AppendResponse, From: from, To: "a", Term: 4, LogIndex: 1, Match: match})
		}
		return c.Status().Commit
	}
	if got := acknowledge(2); got != 0 {
		t.Errorf("commit %d with a quorum of copies of an earlier term, want 0", got)
	}
	var pending *replicator.ChangePendingError
	if _, _, err := c.ChangeMembers(0, replicator.Change{Kind: replicator.Remove, ID: "e"}); !errors.As(err, &pending) {
		t.Errorf("change before the first commit: %v, want a ChangePendingError", err)
	}
	if got := acknowledge(3); got != 3 {
		t.Errorf("commit %d with a quorum of copies of the current term, want 3", got)
	}
}

// Guards against sending messages of a term that is not durable yet: after a crash the host could become leader of the same term
// again with different entries.
func TestTermIsDurableBeforeAppends(t *testing.T) {
	rd := newLeader(t).Ready()
	if rd.State == nil || len(rd.EarlyMessages) > 0 || len(rd.Messages) == 0 {
		t.Errorf("state %v with %d messages before the sync and %d after it", rd.State, len(rd.EarlyMessages), len(rd.Messages))
	}
}

// Guards against promoting a learner that lost its data folder, based on entries that it acknowledged before the loss.
func TestPromotionOfLearnerWithLostFolder(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 3, MaxBatchBytes: 50})
	s.run(2 * time.Second)
	for i := range 100 {
		s.propose(s.mustLead(), strings.Repeat("x", i%7))
	}
	s.run(3 * time.Second)
	s.add("n", 5)
	s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: "n", Addr: "n"})
	s.run(3 * time.Second)
	s.add("n", 6)
	s.run(100 * time.Millisecond)
	var behind *replicator.NotCaughtUpError
	if _, err := s.changeMembers(s.mustLead(), replicator.Change{Kind: replicator.Promote, ID: "n"}); !errors.As(err, &behind) {
		t.Errorf("promotion: %v, want a NotCaughtUpError", err)
	}
	s.run(3 * time.Second)
	s.mustChange(replicator.Change{Kind: replicator.Promote, ID: "n"})
}

// Guards against a host that lost its data folder and votes or acknowledges under its old ID, and against a replacement after
// which the cluster doesn't tolerate the loss of a second host.
func TestReplacementThenLossOfSecondHost(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 4})
	s.run(2 * time.Second)
	s.mustCommit("before")
	leader := s.mustLead()
	lost, second := s.others(leader.id)[0], s.others(leader.id)[1]
	s.add(lost, 77) // the same ID with an empty data folder
	s.run(2 * time.Second)
	s.mustCommit("degraded")
	if n := s.nodes[lost]; n.applied > 0 {
		t.Errorf("host %s with a lost data folder applied %d entries under its old ID", lost, n.applied)
	}
	s.add("n", 78)
	s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: "n", Addr: "n"})
	s.mustChange(replicator.Change{Kind: replicator.Promote, ID: "n"})
	s.mustChange(replicator.Change{Kind: replicator.Remove, ID: lost})
	s.crash(s.nodes[second])
	s.run(2 * time.Second)
	s.mustCommit("after the second loss")
	s.crash(s.mustLead())
	s.restart(s.nodes[second])
	s.run(2 * time.Second)
	s.mustCommit("after the loss of the leader")
}

// Guards against a promotion that can't be completed after the leader crashed: the learner hasn't received the entry that makes
// it a voter, and its vote is needed.
func TestPromotionSurvivesCrash(t *testing.T) {
	s := newSimulation(t, 1, replicator.Options{Seed: 5})
	s.run(2 * time.Second)
	s.add("n", 5)
	s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: "n", Addr: "n"})
	a := s.nodes["a"]
	s.blockedLinks[[2]string{"a", "n"}] = true
	if _, err := s.changeMembers(a, replicator.Change{Kind: replicator.Promote, ID: "n"}); err != nil {
		t.Fatal(err)
	}
	s.crash(a)
	clear(s.blockedLinks)
	s.restart(a)
	s.run(3 * time.Second)
	s.mustCommit("after")
}

// Guards against a cluster without a leader after a crash of the leader during its own removal: it has the newest log, so it has
// to start an election.
func TestRemovalOfLeaderSurvivesCrash(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 6})
	s.run(2 * time.Second)
	leader := s.mustLead()
	others := s.others(leader.id)
	s.mustChange(replicator.Change{Kind: replicator.Remove, ID: others[0]})
	s.isolate(leader.id, true)
	if _, err := s.changeMembers(leader, replicator.Change{Kind: replicator.Remove, ID: leader.id}); err != nil {
		t.Fatal(err)
	}
	s.crash(leader)
	clear(s.blockedLinks)
	s.restart(leader)
	s.run(5 * time.Second)
	s.mustCommit("after")
	if got := s.mustLead(); got.id != others[1] {
		t.Errorf("host %s leads, want %s", got.id, others[1])
	}
}

// Guards against overlapping membership changes and against promoting a host that lacks the log.
func TestChangesAreRefused(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 7})
	s.run(2 * time.Second)
	leader := s.mustLead()
	s.isolate(leader.id, true)
	if _, err := s.changeMembers(leader, replicator.Change{Kind: replicator.AddLearner, ID: "x", Addr: "x"}); err != nil {
		t.Fatal(err)
	}
	var pending *replicator.ChangePendingError
	if _, err := s.changeMembers(leader, replicator.Change{Kind: replicator.Remove, ID: "b"}); !errors.As(err, &pending) {
		t.Errorf("second change: %v, want a ChangePendingError", err)
	}
	s.run(2 * time.Second)
	clear(s.blockedLinks)
	s.run(2 * time.Second)
	if _, ok := leader.core.Status().Members.Find("x"); ok {
		t.Error("an overwritten membership change still applies")
	}
	leader = s.mustLead()
	var refused *replicator.ChangeError
	if _, err := s.changeMembers(leader, replicator.Change{Kind: replicator.Remove, ID: "unknown"}); !errors.As(err, &refused) {
		t.Errorf("removal of an unknown host: %v, want a ChangeError", err)
	}
	s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: "x", Addr: "x"})
	var behind *replicator.NotCaughtUpError
	if _, err := s.changeMembers(s.mustLead(), replicator.Change{Kind: replicator.Promote, ID: "x"}); !errors.As(err, &behind) {
		t.Errorf("promotion of an unresponsive learner: %v, want a NotCaughtUpError", err)
	}
}

// Guards against a leadership transfer that takes longer than the failover after a crash, or that loses a completed write.
func TestTransfer(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 8})
	s.run(2 * time.Second)
	leader := s.mustLead()
	s.propose(leader, "last")
	if err := leader.core.Transfer(s.now); err != nil {
		t.Fatal(err)
	}
	s.processReady(leader)
	s.run(100 * time.Millisecond)
	if now := s.mustLead(); now == leader {
		t.Error("the leader did not change")
	}
	s.mustCommit("next")
}
