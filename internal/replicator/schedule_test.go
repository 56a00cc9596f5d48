package replicator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

const (
	rapidSeed   = "20261204"
	rapidChecks = "3000"
)

// TestMain sets a fixed seed and number of random schedules unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.checks": rapidChecks, "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	fmt.Printf("rapid.seed=%s rapid.checks=%s\n", flag.Lookup("rapid.seed").Value, flag.Lookup("rapid.checks").Value)
	os.Exit(m.Run())
}

// Guards against two leaders in a term, changed commits, diverging hosts, stale reads, overlapping leases and votes of
// hosts that lost their data folder. The schedules contain message loss, duplication and reordering, one-way partitions, crashes
// and membership changes.
func TestRandomSchedules(t *testing.T) {
	commits, elections, changes, snapshots, schedules := 0, 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		// Values drawn by rapid are biased towards small ones, which would make some steps too rare, so rapid draws only the
		// seed.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newSimulation(t, []int{1, 3, 3, 3, 5}[rng.IntN(5)], replicator.Options{
			Seed:          rng.Uint64(),
			MaxBatchBytes: 80, // small enough to split appends and snapshots
			Window:        1 + rng.IntN(4),
			NoQuorumCheck: rng.IntN(4) == 0, // safety must not depend on quorum check and pre-vote
			NoPreVote:     rng.IntN(4) == 0,
		})
		s.rng = rng
		// Each schedule has more faults of some kinds, because many bugs need several faults of a kind.
		s.allowFolderLoss, s.moreChanges = rng.IntN(3) == 0, rng.IntN(2) == 0
		s.run(time.Second)
		for i := range 50 + rng.IntN(200) {
			s.randomStep(rng, i)
		}
		s.recover()
		commits, elections, schedules = commits+len(s.committed), elections+s.elections, schedules+1
		changes, snapshots = changes+s.changes, snapshots+s.snapshots
	})
	t.Logf("%d schedules: %d commits, %d elections, %d membership changes, %d snapshots received",
		schedules, commits, elections, changes, snapshots)
}

// randomStep delivers messages, lets time pass, calls a host or injects a fault.
func (s *simulation) randomStep(rng *rand.Rand, i int) {
	pick := func() *node { return s.nodes[s.ids[rng.IntN(len(s.ids))]] }
	switch op := rng.IntN(40); {
	case op < 12:
		for range 1 + rng.IntN(6) {
			if n := len(s.inflight); n > 0 {
				s.deliver(rng.IntN(min(n, 12)))
			}
		}
	case op < 15:
		s.advance([]time.Duration{10, 90, 250, 500}[rng.IntN(4)] * time.Millisecond)
	case op < 20:
		s.run(time.Duration(10+rng.IntN(600)) * time.Millisecond)
	case op < 25:
		n := pick()
		if rng.IntN(3) > 0 && s.leader() != nil {
			n = s.leader()
		}
		s.propose(n, fmt.Sprint("w", i))
	case op < 27:
		s.read(pick())
	case op == 27 && len(s.inflight) > 0:
		at := rng.IntN(len(s.inflight))
		s.inflight = slices.Delete(s.inflight, at, at+1)
	case op == 28 && len(s.inflight) > 0:
		s.inflight = append(s.inflight, s.inflight[rng.IntN(len(s.inflight))])
	case op < 31:
		link := [2]string{pick().id, pick().id}
		s.blockedLinks[link] = !s.blockedLinks[link]
	case op == 31:
		clear(s.blockedLinks)
		if n := s.leader(); n != nil && rng.IntN(2) == 0 {
			s.isolate(n.id, true)
		}
	case op < 34:
		if n := pick(); n.core != nil {
			n.crashAt = crashPoint(rng.IntN(4))
			if n.crashAt == noCrash {
				s.crash(n)
			}
			if n.core == nil && rng.IntN(2) == 0 {
				s.restart(n)
			}
		}
	case op < 36:
		if n := pick(); n.core == nil {
			s.restart(n)
		}
	case op == 37 || (op == 36 && s.moreChanges):
		s.randomChange(rng)
	case op == 38:
		if n := s.leader(); n != nil {
			_ = n.core.Transfer(s.now)
			s.processReady(n)
		}
	case op == 39 && !s.allowFolderLoss:
		s.compact(pick(), rng.Uint64N(4))
	case op == 39 && rng.IntN(4) == 0:
		s.folderLost = true
		s.add(pick().id, 1+rng.Uint64N(1<<40))
	}
}

// randomChange attempts a random membership change at the leader.
func (s *simulation) randomChange(rng *rand.Rand) {
	n := s.leader()
	if n == nil {
		return
	}
	id := string(rune('a' + rng.IntN(7)))
	kind := replicator.ChangeKind(1 + rng.IntN(3))
	if kind == replicator.AddLearner && s.nodes[id] == nil {
		s.add(id, 1+rng.Uint64N(1<<40))
	}
	_, _ = s.changeMembers(n, replicator.Change{Kind: kind, ID: id, Addr: id})
}

// recover ends all faults. Unless a data folder was lost, a leader must then be elected and commit an entry, and every member
// must apply it.
func (s *simulation) recover() {
	clear(s.blockedLinks)
	for _, n := range s.nodes {
		n.crashAt = noCrash
		if n.core == nil {
			s.restart(n)
		}
	}
	s.run(5 * time.Second)
	if s.folderLost || s.options.NoPreVote || s.options.NoQuorumCheck {
		return // without pre-vote a removed host may cause elections at any time
	}
	s.mustCommit("end")
	s.read(s.mustLead())
	for _, m := range s.mustLead().core.Status().Members {
		if n := s.nodes[m.ID]; n.applied < s.completed {
			s.t.Fatalf("%v: member %s applied %d entries of %d", s.now, n.id, n.applied, s.completed)
		}
		if diff := cmp.Diff(s.mustLead().core.Status().Members, s.nodes[m.ID].core.Status().Members); diff != "" {
			s.t.Fatalf("%v: memberships of the leader and of %s (-leader +member):\n%s", s.now, m.ID, diff)
		}
	}
}
