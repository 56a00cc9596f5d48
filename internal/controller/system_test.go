package controller_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

const initialDocument = `{"tiers":[{"name":"snappy","order":0,"share":3},{"name":"normal","order":1,"share":2},{"name":"slow","order":2,"share":1}],
"workspaces":[],"pools":[{"name":"a","kind":"model","models":["m"]},{"name":"b","kind":"service"}],"endpoints":[],"limits":{}}`

// system is a set of hosts on a fake network. The first ones hold the replicated log.
type system struct {
	t          *testing.T
	network    *fakeNetwork
	log        *memoryLog
	ctx        context.Context
	wg         sync.WaitGroup
	ids        []string
	hosts      map[string]*host
	controlIDs []string
	wallClock  func() time.Time
}

type host struct {
	agent      *controller.Agent
	client     *controller.Client
	machine    *controller.StateMachine
	stop       context.CancelFunc
	mu         sync.Mutex
	heldEpochs map[string][]uint64 // the epochs that the agent has reported as held
}

// mayAct reports whether the host may act under a role now, with any epoch that it ever held.
func (h *host) mayAct(role string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.heldEpochs[role], func(epoch uint64) bool { return h.agent.RoleValid(role, epoch) })
}

// startSystem starts hosts h0, h1, ... inside a synctest bubble. The first controlHosts of them hold the replicated log.
func startSystem(t *testing.T, hosts, controlHosts int) *system {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{t: t, network: newFakeNetwork(), ctx: ctx, hosts: map[string]*host{}}
	s.log = newMemoryLog(s.network)
	for i := range hosts {
		id := hostID(i)
		s.ids = append(s.ids, id)
		if i < controlHosts {
			s.controlIDs = append(s.controlIDs, id)
		}
	}
	for i, id := range s.ids {
		s.startHost(id, fmt.Sprintf("z%d", i%3), i < controlHosts)
	}
	s.wg.Go(func() { s.log.run(ctx) })
	t.Cleanup(func() {
		cancel()
		s.wg.Wait()
		s.network.handlersRunning.Wait()
	})
	return s
}

func hostID(i int) string { return fmt.Sprintf("h%d", i) }

// startHost starts the components of a host with no prior state.
func (s *system) startHost(id, zone string, control bool) *host {
	ctx, stop := context.WithCancel(s.ctx)
	transport := s.network.attach(id)
	h := &host{stop: func() {
		s.network.mu.Lock()
		transport.down = true
		s.network.mu.Unlock()
		stop()
	}}
	h.agent = &controller.Agent{HostID: id, Zone: zone, Addr: id, Control: control, Network: transport, ControlHosts: s.controlIDs}
	h.heldEpochs = map[string][]uint64{}
	h.agent.OnRole(func(role string, epoch uint64, held bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if held {
			h.heldEpochs[role] = append(h.heldEpochs[role], epoch)
		}
	})
	h.client = &controller.Client{Network: transport, ControlHosts: s.controlIDs}
	h.agent.Register()
	if control {
		h.machine = controller.NewStateMachine()
		svc := &controller.Service{HostID: id, Network: transport, Log: s.log.addReplica(id, h.machine), StateMachine: h.machine, WallClock: s.wallClock}
		svc.Register()
		runUntilDone(ctx, s.t, &s.wg, svc.Run)
	}
	relay := &distributor.Relay{HostID: id, Network: transport, Store: h.agent}
	relay.Register()
	runUntilDone(ctx, s.t, &s.wg, relay.Run)
	runUntilDone(ctx, s.t, &s.wg, h.agent.Run)
	s.hosts[id] = h
	return h
}

func (s *system) submitInitialDocument() {
	s.t.Helper()
	if _, err := s.hosts["h0"].client.PatchConfig(s.ctx, controller.Patch{ID: "first", Body: []byte(initialDocument), Author: "op"}); err != nil {
		s.t.Fatal(err)
	}
}

// holder returns the host that may act under a role now, or "". It fails the test if there are two.
func (s *system) holder(role string) string {
	s.t.Helper()
	found := ""
	for _, id := range s.ids {
		if !s.hosts[id].mayAct(role) {
			continue
		}
		if found != "" {
			s.t.Fatalf("%s and %s both hold %s", found, id, role)
		}
		found = id
	}
	return found
}

// waitUntil polls a condition in virtual time and returns how long it took to hold. It fails the test after limit.
func (s *system) waitUntil(limit time.Duration, event string, condition func() bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			s.t.Fatalf("%s took more than %v", event, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// TestConfigurationAndRolesReachEveryHost checks that every host receives the configuration and the holder of each role, and
// that each role has one holder.
func TestConfigurationAndRolesReachEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(t, 6, 3)
		s.submitInitialDocument()
		s.waitUntil(2*time.Second, "version 1 on all hosts", func() bool {
			for _, id := range s.ids {
				if v, _, fresh := s.hosts[id].agent.Config(); v != 1 || !fresh {
					return false
				}
			}
			return true
		})
		roles := []string{controller.RolePlacement, controller.PoolRole("a"), controller.PoolRole("b")}
		s.waitUntil(3*time.Second, "all roles held", func() bool {
			for _, r := range roles {
				if s.holder(r) == "" {
					return false
				}
			}
			return true
		})
		holders := map[string]bool{}
		for _, r := range roles {
			holders[s.holder(r)] = true
		}
		if len(holders) != 3 || holders["h0"] {
			t.Errorf("holders %v, want three different hosts other than the leader", holders)
		}
		time.Sleep(time.Second)
		for _, r := range roles {
			id, addr, _, ok := s.hosts["h5"].agent.Holder(r)
			if diff := cmp.Diff([]any{s.holder(r), true}, []any{id, ok}); diff != "" || addr != id {
				t.Errorf("holder of %s according to h5 (-want +got):\n%s", r, diff)
			}
		}
	})
}

// TestHandOverAndFailover checks that a planned hand-over of a role takes at most 100 ms and a failover after the holder has
// stopped at most 2 s.
func TestHandOverAndFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(t, 6, 3)
		s.submitInitialDocument()
		role := controller.PoolRole("a")
		s.waitUntil(3*time.Second, "role held", func() bool { return s.holder(role) != "" })
		time.Sleep(2 * time.Second)
		first := s.holder(role)
		began := time.Now()
		if err := s.hosts[first].agent.HandOver(s.ctx); err != nil {
			t.Fatal(err)
		}
		s.waitUntil(100*time.Millisecond-time.Since(began), "hand-over", func() bool { h := s.holder(role); return h != "" && h != first })
		t.Logf("hand-over took %v", time.Since(began))
		time.Sleep(2 * time.Second)
		second := s.holder(role)
		s.hosts[second].stop()
		took := s.waitUntil(2*time.Second, "failover", func() bool { h := s.holder(role); return h != "" && h != second })
		t.Logf("failover took %v", took)
	})
}

// TestNoLeaseOverlap checks every 5 ms that no role has two holders while hosts and leaders are isolated and reconnected.
func TestNoLeaseOverlap(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			s := startSystem(t, 6, 3)
			s.submitInitialDocument()
			rng := rand.New(rand.NewPCG(seed, 1))
			roles := []string{controller.RolePlacement, controller.PoolRole("a"), controller.PoolRole("b")}
			isolated, held, samples := "", 0, 0
			for step := range 24_000 {
				if step%700 == 0 {
					if isolated != "" {
						s.network.setIsolated(isolated, false)
					}
					isolated = s.ids[rng.IntN(len(s.ids))]
					if rng.IntN(3) == 0 {
						isolated = s.log.leaderID()
					}
					if isolated != "" {
						s.network.setIsolated(isolated, true)
					}
				}
				time.Sleep(5 * time.Millisecond)
				for _, r := range roles {
					samples++
					if s.holder(r) != "" {
						held++
					}
				}
			}
			if held*4 < samples {
				t.Errorf("roles were held in %d of %d samples; the run does not exercise leases", held, samples)
			}
		})
	}
}

func (l *memoryLog) leaderID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// TestIsolatedLeader checks that a leader that is isolated for minutes stops acting as leader, and that it does not depose the
// new leader when it is reconnected.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(t, 6, 3)
		s.submitInitialDocument()
		time.Sleep(3 * time.Second)
		s.network.setIsolated("h0", true)
		time.Sleep(4 * time.Second)
		if _, _, fresh := s.hosts["h0"].agent.Config(); fresh {
			t.Error("the isolated host still reports its configuration as fresh after 4 s")
		}
		if _, err := s.hosts["h3"].client.PatchConfig(s.ctx, controller.Patch{ID: "p2", Base: 1, Body: []byte(`{"limits":{"max_waiting":7}}`)}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
		defer cancel()
		var unavailable *controller.UnavailableError
		if _, _, err := s.hosts["h0"].client.Config(ctx); !errors.As(err, &unavailable) {
			t.Errorf("query on the isolated leader: %v, want an UnavailableError", err)
		}
		time.Sleep(3 * time.Minute)
		leader := s.log.leaderID()
		s.network.setIsolated("h0", false)
		s.waitUntil(2*time.Second, "version 2 on the reconnected host", func() bool {
			v, _, fresh := s.hosts["h0"].agent.Config()
			return v == 2 && fresh
		})
		if got := s.log.leaderID(); got != leader {
			t.Errorf("leader is %s after the old leader was reconnected, want %s", got, leader)
		}
	})
}

// TestConcurrentPatches checks that of concurrent patches against the same base version only one is accepted.
func TestConcurrentPatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(t, 6, 3)
		s.submitInitialDocument()
		var mu sync.Mutex
		accepted, stale := 0, 0
		var wg sync.WaitGroup
		for i, id := range s.ids {
			wg.Go(func() {
				_, err := s.hosts[id].client.PatchConfig(s.ctx, controller.Patch{
					ID: "race-" + id, Base: 1, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, i+1), Author: id,
				})
				mu.Lock()
				defer mu.Unlock()
				var refused *controller.StaleVersionError
				switch {
				case err == nil:
					accepted++
				case errors.As(err, &refused) && refused.Base == 1 && refused.Current == 2:
					stale++
				default:
					t.Errorf("%s: %v", id, err)
				}
			})
		}
		wg.Wait()
		if accepted != 1 || stale != 5 {
			t.Errorf("%d accepted and %d stale, want 1 and 5", accepted, stale)
		}
	})
}

// TestPatchRetry checks that a patch that is retried because its response was lost is applied once and gets the same result,
// also from another host and after a change of leader.
func TestPatchRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(t, 6, 3)
		s.submitInitialDocument()
		var mu sync.Mutex
		dropped := 0
		s.network.setDropResponse(func(_, _, method string) bool {
			mu.Lock()
			defer mu.Unlock()
			if method != "control.submit" || dropped >= 2 {
				return false
			}
			dropped++
			return true
		})
		p := controller.Patch{ID: "again", Base: 1, Body: []byte(`{"limits":{"max_waiting":9}}`), Author: "op"}
		got, err := s.hosts["h4"].client.PatchConfig(s.ctx, p)
		if err != nil || got.Version != 2 || dropped != 2 {
			t.Fatalf("version %d, %v after %d lost responses; want version 2 after 2", got.Version, err, dropped)
		}
		s.hosts["h0"].stop()
		time.Sleep(3 * time.Second)
		if got, err = s.hosts["h5"].client.PatchConfig(s.ctx, p); err != nil || got.Version != 2 {
			t.Errorf("retry after a change of leader: version %d, %v; want 2", got.Version, err)
		}
		p.Body = []byte(`{"limits":{"max_waiting":10}}`)
		var reused *controller.PatchIDError
		if _, err = s.hosts["h5"].client.PatchConfig(s.ctx, p); !errors.As(err, &reused) {
			t.Errorf("patch with a used id and another body: %v, want a PatchIDError", err)
		}
		history, err := s.hosts["h2"].client.History(s.ctx, 2, 10)
		if err != nil || len(history) != 1 || history[0].Author != "op" {
			t.Errorf("history %v, %v", history, err)
		}
	})
}

// TestConcurrentIntentsForOneOrder checks that at most one host may dispatch an order whose key reaches all hosts at once, while
// one of them stops and responses of the leader are lost, and that the order of a stopped owner becomes unknown rather than
// not run.
func TestConcurrentIntentsForOneOrder(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			s := startSystem(t, 6, 3)
			s.submitInitialDocument()
			time.Sleep(time.Second)
			rng, losses := rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 4))
			var mu sync.Mutex
			s.network.setDropResponse(func(_, _, method string) bool {
				mu.Lock()
				defer mu.Unlock()
				return method == "control.submit" && losses.IntN(3) == 0
			})
			stopped := s.ids[rng.IntN(len(s.ids))]
			key := recorder.Key{Workspace: "w", Value: "k"}
			granted := map[string]bool{}
			var wg sync.WaitGroup
			for _, id := range s.ids {
				in := recorder.Intent{Key: key, Digest: "d", RequestID: "r-" + id, Owner: s.hosts[id].agent.Owner(), Endpoint: "e"}
				wg.Go(func() {
					record, err := s.hosts[id].client.Intend(s.ctx, in)
					mu.Lock()
					defer mu.Unlock()
					if err == nil && record.Granted {
						granted[id] = true
					}
				})
			}
			time.Sleep(time.Duration(rng.IntN(8)) * time.Millisecond)
			s.hosts[stopped].stop()
			wg.Wait()
			if len(granted) > 1 {
				t.Errorf("seed %d: hosts %v may all dispatch the order, want at most one", seed, granted)
			}
			s.network.setDropResponse(nil)
			time.Sleep(15 * time.Second)
			reader := s.hosts[s.ids[(rng.IntN(5)+1+indexOf(s.ids, stopped))%6]]
			record, ok, err := reader.client.Order(s.ctx, key)
			if err != nil || !ok {
				t.Fatalf("seed %d: order not found, error %v", seed, err)
			}
			if owner := s.hosts[stopped].agent.Owner(); record.Owner == owner && record.Phase != recorder.PhaseUnknown {
				t.Errorf("seed %d: phase of the order of a stopped owner is %s, want unknown", seed, record.Phase)
			}
		})
	}
}

func indexOf(ids []string, id string) int {
	for i := range ids {
		if ids[i] == id {
			return i
		}
	}
	return -1
}

// TestWallClockJump checks that a jump of the wall clock does not remove orders from the ledger before their retention ends.
func TestWallClockJump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var offset time.Duration
		var mu sync.Mutex
		s := startSystem(t, 3, 3)
		s.submitInitialDocument()
		// A retention of ten minutes keeps the test short.
		p := controller.Patch{ID: "retention", Base: 1, Body: []byte(`{"limits":{"order_retention_ms":600000}}`)}
		if _, err := s.hosts["h0"].client.PatchConfig(s.ctx, p); err != nil {
			t.Fatal(err)
		}
		setWall := func(d time.Duration) { mu.Lock(); offset = d; mu.Unlock() }
		s.wallClock = func() time.Time { mu.Lock(); defer mu.Unlock(); return time.Now().Add(offset) }
		for _, id := range s.ids[1:] {
			s.hosts[id].stop()
			s.startHost(id, "z", true)
		}
		s.hosts["h0"].stop()
		time.Sleep(4 * time.Second)
		key := recorder.Key{Workspace: "w", Value: "k"}
		h := s.hosts["h1"]
		in := recorder.Intent{Key: key, Digest: "d", RequestID: "r", Owner: h.agent.Owner()}
		if _, err := h.client.Intend(s.ctx, in); err != nil {
			t.Fatal(err)
		}
		if err := h.client.Conclude(s.ctx, key, in.Owner, recorder.Outcome{Outcome: recorder.OutcomeDone, Status: 200}); err != nil {
			t.Fatal(err)
		}
		for _, jump := range []time.Duration{100 * 24 * time.Hour, -200 * 24 * time.Hour} {
			setWall(jump)
			time.Sleep(time.Minute)
			if record, ok, err := s.hosts["h2"].client.Order(s.ctx, key); err != nil || !ok || record.Phase != recorder.PhaseConcluded {
				t.Errorf("after a jump of %v: order %v held=%t, %v", jump, record, ok, err)
			}
		}
		time.Sleep(9 * time.Minute)
		if _, ok, err := s.hosts["h2"].client.Order(s.ctx, key); err != nil || ok {
			t.Errorf("after the retention: held=%t, %v", ok, err)
		}
	})
}

// TestRestartAfterThousandVersions checks that a restarted host loses no version and uses no configuration before it is
// confirmed.
func TestRestartAfterThousandVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(t, 3, 3)
		s.submitInitialDocument()
		for v := uint64(1); v <= 1000; v++ {
			p := controller.Patch{ID: fmt.Sprint("p", v), Base: v, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, v)}
			if _, err := s.hosts["h1"].client.PatchConfig(s.ctx, p); err != nil {
				t.Fatal(err)
			}
		}
		snapshot, err := s.hosts["h0"].machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		s.hosts["h2"].stop()
		h := s.startHost("h2", "z2", true)
		if v, _, fresh := h.agent.Config(); v != 0 || fresh {
			t.Errorf("version %d fresh=%t before the first heartbeat, want none", v, fresh)
		}
		s.waitUntil(3*time.Second, "version 1001", func() bool { v, _, fresh := h.agent.Config(); return v == 1001 && fresh })
		var cfg *configurer.Config
		_, cfg, _ = h.agent.Config()
		if cfg.Limits.MaxWaiting != 1000 {
			t.Errorf("max_waiting %d, want 1000", cfg.Limits.MaxWaiting)
		}
		restored := controller.NewStateMachine()
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		again, err := restored.Snapshot()
		if err != nil || string(again) != string(snapshot) {
			t.Errorf("snapshot of the restored state differs from the original (%d and %d bytes, %v)", len(snapshot), len(again), err)
		}
	})
}

// TestTwoProcessesOfOneHost checks that of two processes with the same host id at most one may act under a role, and that they
// never have the same incarnation, which is part of request ids.
func TestTwoProcessesOfOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSystem(t, 4, 3)
		s.submitInitialDocument()
		role := controller.PoolRole("a")
		s.waitUntil(3*time.Second, "role held", func() bool { return s.holder(role) != "" })
		id := s.holder(role)
		first := s.hosts[id]
		before := first.agent.Incarnation()
		// The second process has the same id and no replicated log.
		second := s.startHost(id, "z9", false)
		s.waitUntil(2*time.Second, "the second process joined", func() bool { return second.agent.Incarnation() > before })
		equalIncarnations := 0
		for range 2_000 {
			time.Sleep(5 * time.Millisecond)
			if first.agent.Incarnation() == second.agent.Incarnation() {
				equalIncarnations++
			}
			for _, r := range []string{controller.RolePlacement, role, controller.PoolRole("b")} {
				if first.mayAct(r) && second.mayAct(r) {
					t.Fatalf("both processes of %s hold %s", id, r)
				}
			}
		}
		if equalIncarnations > 0 {
			t.Errorf("both processes had the same incarnation in %d samples", equalIncarnations)
		}
	})
}
