package controller_test

import (
	_ "embed"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
)

//go:embed testdata/parents.txt
var failingParents string

// propagationTarget is the target for the time from the response to a change until all hosts in contact with the leader use it.
const propagationTarget = 2 * time.Second

// TestVersionsPassFailingParents guards against hosts that stay on an old configuration, with its keys and routes, or stop serving,
// because their parent in the relay tree is cut off, frozen, slowed, stopping or replaced. The changes come at different times after
// the start of the failure, since what a child knows of its parent ages.
func TestVersionsPassFailingParents(t *testing.T) {
	for line := range strings.Lines(failingParents) {
		fields := strings.Split(strings.TrimSpace(line), ", ")
		if strings.HasPrefix(line, "#") {
			continue
		}
		hosts, err := strconv.Atoi(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fields[0], func(t *testing.T) {
			for _, delay := range []time.Duration{0, 100 * time.Millisecond, 600 * time.Millisecond, 1100 * time.Millisecond, 1600 * time.Millisecond} {
				t.Run(delay.String(), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playFailingParent(t, hosts, fields[2], delay) })
				})
			}
		})
	}
}

func playFailingParent(t *testing.T, hosts int, failure string, delay time.Duration) {
	s := startSystem(t, hosts, 3)
	s.submitInitialDocument()
	s.waitForVersion(5*time.Second, 1, s.ids)
	time.Sleep(5 * time.Second)
	leader := s.log.leaderID()
	direct := distributor.LeaderAndChildren(leader, s.hosts[leader].agent.Members())
	// The first hosts after the leader have children also in a small tree.
	parents := slices.DeleteFunc(direct, func(m controller.Member) bool { return slices.Contains(s.controlIDs, m.Host) })[:2]
	for _, parent := range parents {
		s.failParent(parent.Host, failure)
	}
	others := slices.DeleteFunc(slices.Clone(s.ids), func(id string) bool {
		return slices.ContainsFunc(parents, func(m controller.Member) bool { return m.Host == id })
	})
	time.Sleep(delay)
	for v := uint64(1); v <= 3; v++ {
		p := controller.Patch{ID: fmt.Sprint("p", v), Base: v, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, v)}
		if _, err := s.hosts[leader].client.PatchConfig(s.ctx, p); err != nil {
			t.Fatal(err)
		}
		took := s.waitWhileFresh(propagationTarget, v+1, others)
		t.Logf("version %d in use after %v", v+1, took)
		time.Sleep(200 * time.Millisecond)
	}
}

// waitWhileFresh waits until all given hosts use a version, and fails the test if the configuration of one is not fresh meanwhile.
func (s *system) waitWhileFresh(limit time.Duration, version uint64, ids []string) time.Duration {
	s.t.Helper()
	return s.waitUntil(limit, fmt.Sprintf("version %d on %d hosts", version, len(ids)), func() bool {
		reached := 0
		for _, id := range ids {
			v, _, fresh := s.hosts[id].agent.Config()
			if !fresh {
				s.t.Fatalf("configuration of %s is not fresh", id)
			}
			if v == version {
				reached++
			}
		}
		return reached == len(ids)
	})
}

// failParent begins the failure of a host.
func (s *system) failParent(id, failure string) {
	s.t.Helper()
	switch failure {
	case "cut":
		for _, control := range s.controlIDs {
			s.network.setCut(id, control)
		}
	case "freeze":
		s.network.setIsolated(id, true)
	case "slow":
		s.network.setSlow(id, 300*time.Millisecond)
	case "leave":
		s.wg.Go(func() {
			if err := s.hosts[id].agent.Leave(s.ctx); err != nil {
				s.t.Errorf("host %s leaves: %v", id, err)
			}
			time.Sleep(time.Second)
			s.hosts[id].stop()
		})
	case "replace":
		s.hosts[id].stop()
		s.ids = append(s.ids, "new-"+id)
		s.startHost("new-"+id, "z0", false)
		s.waitUntil(5*time.Second, "the replacement has a configuration", func() bool {
			_, _, fresh := s.hosts["new-"+id].agent.Config()
			return fresh
		})
	default:
		s.t.Fatalf("unknown failure %q", failure)
	}
}
