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

// fresh waits until all given hosts act on a version that is confirmed.
func (s *system) fresh(limit time.Duration, version uint64, ids []string) time.Duration {
	s.t.Helper()
	return s.until(limit, fmt.Sprintf("version %d on %d hosts", version, len(ids)), func() bool {
		for _, id := range ids {
			if v, _, fresh := s.hosts[id].agent.Config(); v != version || !fresh {
				return false
			}
		}
		return true
	})
}

// Guards against versions that reach hosts far from the leader late, against documents sent to every host by the leader,
// and against hosts that lose their confirmation when their parent is cut off. The bound is the target of 2 s.
func TestRelayTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 60, 3)
		s.configure()
		s.fresh(5*time.Second, 1, s.ids)
		time.Sleep(5 * time.Second)
		var mu sync.Mutex
		versions := map[string]uint64{}
		for _, id := range s.ids {
			s.hosts[id].agent.Subscribe(func(v uint64, _ *configurer.Config) {
				mu.Lock()
				defer mu.Unlock()
				if v < versions[id] {
					t.Errorf("%s went from version %d to %d", id, versions[id], v)
				}
				versions[id] = v
			})
		}
		for v := uint64(1); v <= 5; v++ {
			p := controller.Patch{ID: fmt.Sprint("p", v), Base: v, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, v)}
			if _, err := s.hosts["h40"].client.PatchConfig(s.ctx, p); err != nil {
				t.Fatal(err)
			}
			s.fresh(2*time.Second, v+1, s.ids)
			time.Sleep(time.Second)
		}
		// The first host under the leader is the parent of 16 others.
		leader := s.log.leaderID()
		direct := distributor.Direct(leader, s.hosts[leader].agent.Members())
		cut := direct[1].Host
		s.fabric.setCut(cut, true)
		var others []string
		for _, id := range s.ids {
			if id != cut {
				others = append(others, id)
			}
		}
		for range 1_000 {
			time.Sleep(5 * time.Millisecond)
			for _, id := range others {
				if _, _, fresh := s.hosts[id].agent.Config(); !fresh {
					t.Fatalf("%s lost its confirmation when its parent was cut off", id)
				}
			}
		}
		p := controller.Patch{ID: "after", Base: 6, Body: []byte(`{"limits":{"max_waiting":77}}`)}
		if _, err := s.hosts[others[0]].client.PatchConfig(s.ctx, p); err != nil {
			t.Fatal(err)
		}
		s.fresh(2*time.Second, 7, others)
		if _, _, fresh := s.hosts[cut].agent.Config(); fresh {
			t.Errorf("%s is cut off for 5 s and still counts its configuration as fresh", cut)
		}
	})
}

// Guards against a propagation that grows with the number of hosts. The bound is the target of 2 s; the times are virtual,
// with 1 ms one way between hosts and no time for computing.
func TestPropagationBySize(t *testing.T) {
	for _, size := range []int{6, 60, 640} {
		synctest.Test(t, func(t *testing.T) {
			s := start(t, size, 3)
			s.configure()
			s.fresh(10*time.Second, 1, s.ids)
			time.Sleep(3 * time.Second)
			worst := time.Duration(0)
			for v := uint64(1); v <= 5; v++ {
				time.Sleep(370 * time.Millisecond)
				p := controller.Patch{ID: fmt.Sprint("p", v), Base: v, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, v)}
				if _, err := s.hosts["h1"].client.PatchConfig(s.ctx, p); err != nil {
					t.Fatal(err)
				}
				worst = max(worst, s.fresh(2*time.Second, v+1, s.ids))
			}
			t.Logf("%d hosts: slowest of 5 versions in force everywhere %v after the answer", size, worst)
		})
	}
}
