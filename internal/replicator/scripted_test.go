package replicator_test

import (
	"errors"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// others returns the ids of the hosts besides one.
func (s *simulation) others(id string) (out []string) {
	for _, other := range s.ids {
		if other != id {
			out = append(out, other)
		}
	}
	return out
}

// Guards against a voter that was restarted within the lease of its leader and helps to elect another one: the leader
// would still answer under its lease.
func TestRestartedVoterWithholdsVote(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 1})
	s.run(2 * time.Second)
	leader := s.mustLead()
	others := s.others(leader.id)
	// One voter no longer hears the leader, and stands for election while the other one is restarted again and again.
	s.cut[[2]string{leader.id, others[0]}] = true
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

// Guards against counting copies of an entry of an earlier term as its commit: a host without that entry can still win.
func TestCommitNeedsEntryOfOwnTerm(t *testing.T) {
	s := newSimulation(t, 5, replicator.Options{Seed: 2})
	s.run(2 * time.Second)
	first := s.mustLead()
	others := s.others(first.id)
	// The first leader writes to one other host only, and another host leads a later term without spreading its entry.
	for _, id := range others[1:] {
		s.cut[[2]string{first.id, id}] = true
	}
	s.propose(first, "old")
	s.run(50 * time.Millisecond)
	s.crash(first)
	s.crash(s.nodes[others[0]])
	s.run(3 * time.Second)
	second := s.mustLead()
	s.isolate(second.id, true)
	s.propose(second, "never spread")
	s.crash(second)
	clear(s.cut)
	// The first leader returns and spreads its entry to a majority, but its own entry of the new term reaches nobody.
	s.restart(first)
	s.restart(s.nodes[others[0]])
	s.run(3 * time.Second)
	s.restart(second)
	s.run(3 * time.Second)
	s.mustCommit("end")
}

// Guards against two leaders of a term that a single voter leads before and after a crash: what it sent before the sync of
// the term would conflict with what it sends afterwards.
func TestTermIsDurableBeforeAppends(t *testing.T) {
	s := newSimulation(t, 1, replicator.Options{Seed: 3})
	s.run(2 * time.Second)
	s.add("z", 9)
	s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: "z", Addr: "z"})
	a := s.nodes["a"]
	for range 20 {
		s.crash(a)
		s.restart(a)
		s.propose(a, "ignored before the election")
		s.now = a.core.Deadline()
		a.core.Tick(s.now)
		a.crashAt = beforeSync
		s.settle(a)
		for len(s.inflight) > 0 {
			s.deliver(0)
		}
		if entries := s.nodes["z"].durable.entries; len(entries) > 0 && entries[len(entries)-1].Term > a.durable.state.Term {
			t.Fatalf("the learner holds term %d, the voter only synced term %d", entries[len(entries)-1].Term, a.durable.state.Term)
		}
	}
}

// Guards against a host that lost its folder voting or acknowledging under its old id, and against a repair that leaves no
// room for the loss of a second host.
func TestRepairAndLossOfSecondHost(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 4})
	s.run(2 * time.Second)
	s.mustCommit("before")
	leader := s.mustLead()
	lost, second := s.others(leader.id)[0], s.others(leader.id)[1]
	s.add(lost, 77) // the same id with an empty folder
	s.run(2 * time.Second)
	s.mustCommit("degraded")
	if n := s.nodes[lost]; n.applied > 0 {
		t.Errorf("host %s with a lost folder applied %d entries under its old id", lost, n.applied)
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

// Guards against a promotion that cannot be completed after the leader crashed: the learner does not know yet that it is a
// voter, and its vote is needed.
func TestPromotionSurvivesCrash(t *testing.T) {
	s := newSimulation(t, 1, replicator.Options{Seed: 5})
	s.run(2 * time.Second)
	s.add("n", 5)
	s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: "n", Addr: "n"})
	a := s.nodes["a"]
	s.cut[[2]string{"a", "n"}] = true
	if _, err := s.changeMembers(a, replicator.Change{Kind: replicator.Promote, ID: "n"}); err != nil {
		t.Fatal(err)
	}
	s.crash(a)
	clear(s.cut)
	s.restart(a)
	s.run(3 * time.Second)
	s.mustCommit("after")
}

// Guards against a leader whose own removal is under way when it crashes: it holds the newest log, so it has to stand.
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
	clear(s.cut)
	s.restart(leader)
	s.run(5 * time.Second)
	s.mustCommit("after")
	if got := s.mustLead(); got.id != others[1] {
		t.Errorf("host %s leads, want %s", got.id, others[1])
	}
}

// Guards against membership changes that overlap or that promote a host without the log.
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
	clear(s.cut)
	s.run(2 * time.Second)
	leader = s.mustLead()
	var refused *replicator.ChangeError
	if _, err := s.changeMembers(leader, replicator.Change{Kind: replicator.Remove, ID: "unknown"}); !errors.As(err, &refused) {
		t.Errorf("removal of an unknown host: %v, want a ChangeError", err)
	}
	if _, ok := leader.core.Status().Members.Find("x"); !ok {
		s.mustChange(replicator.Change{Kind: replicator.AddLearner, ID: "x", Addr: "x"})
	}
	var behind *replicator.NotCaughtUpError
	if _, err := s.changeMembers(s.mustLead(), replicator.Change{Kind: replicator.Promote, ID: "x"}); !errors.As(err, &behind) {
		t.Errorf("promotion of a silent learner: %v, want a NotCaughtUpError", err)
	}
}

// Guards against a planned change of leader that takes longer than a crash or loses a completed write.
func TestTransfer(t *testing.T) {
	s := newSimulation(t, 3, replicator.Options{Seed: 8})
	s.run(2 * time.Second)
	leader := s.mustLead()
	s.propose(leader, "last")
	if err := leader.core.Transfer(s.now); err != nil {
		t.Fatal(err)
	}
	s.settle(leader)
	s.run(100 * time.Millisecond)
	if now := s.mustLead(); now == leader {
		t.Error("the leader did not change")
	}
	s.mustCommit("next")
}
