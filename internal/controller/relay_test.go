package controller_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
)

// waitForVersion waits until all given hosts use a version and report it as fresh.
func (s *system) waitForVersion(limit time.Duration, version uint64, ids []string) time.Duration {
	s.t.Helper()
	return s.waitUntil(limit, fmt.Sprintf("version %d on %d hosts", version, len(ids)), func() bool {
		for _, id := range ids {
			if v, _, fresh := s.hosts[id].agent.Config(); v != version || !fresh {
				return false
			}
		}
		return true
	})
}

// TestRelayTree checks that a new version reaches hosts far from the leader within the target of 2 s, that the leader does not
// send the document to every host, and that hosts keep a fresh configuration when their parent in the relay tree is isolated.
func TestRelayTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(t, 60, 3)
		s.submitInitialDocument()
		s.waitForVersion(5*time.Second, 1, s.ids)
		time.Sleep(5 * time.Second)
		var mu sync.Mutex
		versions := map[string]uint64{}
		for _, id := range s.ids {
			s.hosts[id].agent.Subscribe(func(v uint64, _ *configurer.Config) {
				mu.Lock()
				defer mu.Unlock()
				if v < versions[id] {
					t.Errorf("version on %s decreased from %d to %d", id, versions[id], v)
				}
				versions[id] = v
			})
		}
		for v := uint64(1); v <= 5; v++ {
			p := controller.Patch{ID: fmt.Sprint("p", v), Base: v, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, v)}
			if _, err := s.hosts["h40"].client.PatchConfig(s.ctx, p); err != nil {
				t.Fatal(err)
			}
			s.waitForVersion(2*time.Second, v+1, s.ids)
			time.Sleep(time.Second)
		}
		// The first child of the leader is the parent of 16 other hosts.
		leader := s.log.leaderID()
		direct := distributor.LeaderAndChildren(leader, s.hosts[leader].agent.Members())
		isolated := direct[1].Host
		s.network.setIsolated(isolated, true)
		var others []string
		for _, id := range s.ids {
			if id != isolated {
				others = append(others, id)
			}
		}
		for range 1_000 {
			time.Sleep(5 * time.Millisecond)
			for _, id := range others {
				if _, _, fresh := s.hosts[id].agent.Config(); !fresh {
					t.Fatalf("configuration of %s is not fresh after its parent was isolated", id)
				}
			}
		}
		p := controller.Patch{ID: "after", Base: 6, Body: []byte(`{"limits":{"max_waiting":77}}`)}
		if _, err := s.hosts[others[0]].client.PatchConfig(s.ctx, p); err != nil {
			t.Fatal(err)
		}
		s.waitForVersion(2*time.Second, 7, others)
		if _, _, fresh := s.hosts[isolated].agent.Config(); fresh {
			t.Errorf("%s has been isolated for 5 s and still reports its configuration as fresh", isolated)
		}
	})
}

// TestPropagationByHostCount checks that a new version reaches all hosts within the target of 2 s regardless of their number.
// Time is virtual, with a one-way latency of 1 ms and no time for computation.
func TestPropagationByHostCount(t *testing.T) {
	for _, size := range []int{6, 60, 640} {
		synctest.Test(t, func(t *testing.T) {
			s := startSystem(t, size, 3)
			s.submitInitialDocument()
			s.waitForVersion(10*time.Second, 1, s.ids)
			time.Sleep(3 * time.Second)
			worst := time.Duration(0)
			for v := uint64(1); v <= 5; v++ {
				time.Sleep(370 * time.Millisecond)
				p := controller.Patch{ID: fmt.Sprint("p", v), Base: v, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, v)}
				if _, err := s.hosts["h1"].client.PatchConfig(s.ctx, p); err != nil {
					t.Fatal(err)
				}
				worst = max(worst, s.waitForVersion(2*time.Second, v+1, s.ids))
			}
			t.Logf("%d hosts: slowest of 5 versions in use on all hosts %v after the response", size, worst)
		})
	}
}
