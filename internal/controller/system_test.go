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

const document = `{"tiers":[{"name":"snappy","order":0,"share":3},{"name":"normal","order":1,"share":2},{"name":"slow","order":2,"share":1}],
"workspaces":[],"pools":[{"name":"a","kind":"model","models":["m"]},{"name":"b","kind":"service"}],"endpoints":[],"limits":{}}`

// system is a set of hosts, the first ones with the replicated log.
type system struct {
	t       *testing.T
	fabric  *fabric
	log     *memoryLog
	ctx     context.Context
	wg      sync.WaitGroup
	ids     []string
	hosts   map[string]*host
	control []string
	wall    func() time.Time
}

type host struct {
	agent   *controller.Agent
	client  *controller.Client
	machine *controller.Machine
	stop    context.CancelFunc
	mu      sync.Mutex
	epochs  map[string][]uint64 // the epochs that the agent has reported as held
}

// valid reports whether the host may act now under any epoch that it ever held.
func (h *host) valid(role string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.epochs[role], func(epoch uint64) bool { return h.agent.RoleValid(role, epoch) })
}

// start runs hosts h0, h1, ... of which the first controls hold the log, inside a synctest bubble.
func start(t *testing.T, hosts, controls int) *system {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{t: t, fabric: newFabric(), ctx: ctx, hosts: map[string]*host{}}
	s.log = newMemoryLog(s.fabric)
	for i := range hosts {
		id := hostID(i)
		s.ids = append(s.ids, id)
		if i < controls {
			s.control = append(s.control, id)
		}
	}
	for i, id := range s.ids {
		s.boot(id, fmt.Sprintf("z%d", i%3), i < controls)
	}
	s.wg.Go(func() { s.log.run(ctx) })
	t.Cleanup(func() {
		cancel()
		s.wg.Wait()
		s.fabric.calls.Wait()
	})
	return s
}

func hostID(i int) string { return fmt.Sprintf("h%d", i) }

// boot starts the processes of a host with empty memory.
func (s *system) boot(id, zone string, control bool) *host {
	ctx, stop := context.WithCancel(s.ctx)
	e := s.fabric.host(id)
	h := &host{stop: func() {
		s.fabric.mu.Lock()
		e.down = true
		s.fabric.mu.Unlock()
		stop()
	}}
	h.agent = &controller.Agent{HostID: id, Zone: zone, Addr: id, Control: control, Network: e, Controllers: s.control}
	h.epochs = map[string][]uint64{}
	h.agent.OnRole(func(role string, epoch uint64, held bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if held {
			h.epochs[role] = append(h.epochs[role], epoch)
		}
	})
	h.client = &controller.Client{Network: e, Controllers: s.control}
	h.agent.Register()
	if control {
		h.machine = controller.NewMachine()
		svc := &controller.Service{HostID: id, Network: e, Log: s.log.replica(id, h.machine), Machine: h.machine, Wall: s.wall}
		svc.Register()
		run(ctx, s.t, &s.wg, svc.Run)
	}
	relay := &distributor.Relay{HostID: id, Network: e, Holder: h.agent}
	relay.Register()
	run(ctx, s.t, &s.wg, relay.Run)
	run(ctx, s.t, &s.wg, h.agent.Run)
	s.hosts[id] = h
	return h
}

func (s *system) configure() {
	s.t.Helper()
	if _, err := s.hosts["h0"].client.PatchConfig(s.ctx, controller.Patch{ID: "first", Body: []byte(document), Author: "op"}); err != nil {
		s.t.Fatal(err)
	}
}

// holder returns the host that may act under a role now, and fails the test when there are two.
func (s *system) holder(role string) string {
	s.t.Helper()
	found := ""
	for _, id := range s.ids {
		if !s.hosts[id].valid(role) {
			continue
		}
		if found != "" {
			s.t.Fatalf("%s and %s both hold %s", found, id, role)
		}
		found = id
	}
	return found
}

// until waits on virtual time and returns how long it took.
func (s *system) until(limit time.Duration, what string, ok func() bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			s.t.Fatalf("%s took more than %v", what, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a configuration or role that does not reach every host, and against two holders of one role.
func TestConfigurationAndRolesReachEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 6, 3)
		s.configure()
		s.until(2*time.Second, "version 1 on all hosts", func() bool {
			for _, id := range s.ids {
				if v, _, fresh := s.hosts[id].agent.Config(); v != 1 || !fresh {
					return false
				}
			}
			return true
		})
		roles := []string{controller.RolePlacement, controller.PoolRole("a"), controller.PoolRole("b")}
		s.until(3*time.Second, "all roles held", func() bool {
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
			t.Errorf("holders %v, want three different hosts and not the leader", holders)
		}
		time.Sleep(time.Second)
		for _, r := range roles {
			id, addr, _, ok := s.hosts["h5"].agent.Holder(r)
			if diff := cmp.Diff([]any{s.holder(r), true}, []any{id, ok}); diff != "" || addr != id {
				t.Errorf("holder of %s as seen by h5 (-want +got):\n%s", r, diff)
			}
		}
	})
}

// Guards against a slow planned hand-over and a slow fail-over. The bounds are the targets of the design page.
func TestHandOverAndFailOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 6, 3)
		s.configure()
		role := controller.PoolRole("a")
		s.until(3*time.Second, "role held", func() bool { return s.holder(role) != "" })
		time.Sleep(2 * time.Second)
		first := s.holder(role)
		began := time.Now()
		if err := s.hosts[first].agent.HandOver(s.ctx); err != nil {
			t.Fatal(err)
		}
		s.until(100*time.Millisecond-time.Since(began), "hand-over", func() bool { h := s.holder(role); return h != "" && h != first })
		t.Logf("hand-over took %v", time.Since(began))
		time.Sleep(2 * time.Second)
		second := s.holder(role)
		s.hosts[second].stop()
		took := s.until(2*time.Second, "fail-over", func() bool { h := s.holder(role); return h != "" && h != second })
		t.Logf("fail-over took %v", took)
	})
}

// Guards against two holders of one role while hosts and leaders are isolated and return. Every host is asked every 5 ms.
func TestNoLeaseOverlap(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			s := start(t, 6, 3)
			s.configure()
			rng := rand.New(rand.NewPCG(seed, 1))
			roles := []string{controller.RolePlacement, controller.PoolRole("a"), controller.PoolRole("b")}
			cut, held, samples := "", 0, 0
			for step := range 24_000 {
				if step%700 == 0 {
					if cut != "" {
						s.fabric.setCut(cut, false)
					}
					cut = s.ids[rng.IntN(len(s.ids))]
					if rng.IntN(3) == 0 {
						cut = s.log.leaderID()
					}
					if cut != "" {
						s.fabric.setCut(cut, true)
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

// Guards against a leader that is isolated for minutes acting on, and against its return unseating the new one.
func TestLeaderIsolatedForMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 6, 3)
		s.configure()
		time.Sleep(3 * time.Second)
		s.fabric.setCut("h0", true)
		time.Sleep(4 * time.Second)
		if _, _, fresh := s.hosts["h0"].agent.Config(); fresh {
			t.Error("the isolated host still counts its configuration as fresh after 4 s")
		}
		if _, err := s.hosts["h3"].client.PatchConfig(s.ctx, controller.Patch{ID: "p2", Base: 1, Body: []byte(`{"limits":{"max_waiting":7}}`)}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
		defer cancel()
		var unavailable *controller.UnavailableError
		if _, _, err := s.hosts["h0"].client.Config(ctx); !errors.As(err, &unavailable) {
			t.Errorf("the isolated leader answered a query: %v", err)
		}
		time.Sleep(3 * time.Minute)
		leader := s.log.leaderID()
		s.fabric.setCut("h0", false)
		s.until(2*time.Second, "version 2 on the returned host", func() bool {
			v, _, fresh := s.hosts["h0"].agent.Config()
			return v == 2 && fresh
		})
		if got := s.log.leaderID(); got != leader {
			t.Errorf("leader is %s after the return, want %s", got, leader)
		}
	})
}

// Guards against two operators' patches under one version number both being accepted.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 6, 3)
		s.configure()
		var mu sync.Mutex
		won, stale := 0, 0
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
					won++
				case errors.As(err, &refused) && refused.Base == 1 && refused.Current == 2:
					stale++
				default:
					t.Errorf("%s: %v", id, err)
				}
			})
		}
		wg.Wait()
		if won != 1 || stale != 5 {
			t.Errorf("%d accepted and %d stale, want 1 and 5", won, stale)
		}
	})
}

// Guards against a patch that is applied twice, or answered differently, when its answer was lost and it is sent again to
// another host, also after a change of leader.
func TestPatchSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 6, 3)
		s.configure()
		var mu sync.Mutex
		lost := 0
		s.fabric.setDrop(func(_, _, method string) bool {
			mu.Lock()
			defer mu.Unlock()
			if method != "control.submit" || lost >= 2 {
				return false
			}
			lost++
			return true
		})
		p := controller.Patch{ID: "again", Base: 1, Body: []byte(`{"limits":{"max_waiting":9}}`), Author: "op"}
		got, err := s.hosts["h4"].client.PatchConfig(s.ctx, p)
		if err != nil || got.Version != 2 || lost != 2 {
			t.Fatalf("version %d, %v after %d lost answers; want version 2", got.Version, err, lost)
		}
		s.hosts["h0"].stop()
		time.Sleep(3 * time.Second)
		if got, err = s.hosts["h5"].client.PatchConfig(s.ctx, p); err != nil || got.Version != 2 {
			t.Errorf("sent again after a change of leader: version %d, %v; want 2", got.Version, err)
		}
		p.Body = []byte(`{"limits":{"max_waiting":10}}`)
		var reused *controller.PatchIDError
		if _, err = s.hosts["h5"].client.PatchConfig(s.ctx, p); !errors.As(err, &reused) {
			t.Errorf("same id with another body: %v, want a PatchIDError", err)
		}
		history, err := s.hosts["h2"].client.History(s.ctx, 2, 10)
		if err != nil || len(history) != 1 || history[0].Author != "op" {
			t.Errorf("history %v, %v", history, err)
		}
	})
}

// Guards against an order that two hosts may dispatch when its key reaches all hosts at once while one of them, and the
// leader's answers, are lost; and against "not run" for an order whose owner died.
func TestSameOrderOnAllHosts(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			s := start(t, 6, 3)
			s.configure()
			time.Sleep(time.Second)
			rng, losses := rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 4))
			var mu sync.Mutex
			s.fabric.setDrop(func(_, _, method string) bool {
				mu.Lock()
				defer mu.Unlock()
				return method == "control.submit" && losses.IntN(3) == 0
			})
			victim := s.ids[rng.IntN(len(s.ids))]
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
			s.hosts[victim].stop()
			wg.Wait()
			if len(granted) > 1 {
				t.Errorf("seed %d: %v may all dispatch", seed, granted)
			}
			s.fabric.setDrop(nil)
			time.Sleep(15 * time.Second)
			reader := s.hosts[s.ids[(rng.IntN(5)+1+indexOf(s.ids, victim))%6]]
			record, ok, err := reader.client.Order(s.ctx, key)
			if err != nil || !ok {
				t.Fatalf("seed %d: order is gone: %v", seed, err)
			}
			if owner := s.hosts[victim].agent.Owner(); record.Owner == owner && record.Phase != recorder.PhaseUnknown {
				t.Errorf("seed %d: order of a dead owner is %s, want unknown", seed, record.Phase)
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

// Guards against orders that leave the ledger early when the wall clock jumps.
func TestWallClockJump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var offset time.Duration
		var mu sync.Mutex
		s := start(t, 3, 3)
		s.configure()
		// A retention of ten minutes keeps the run short.
		p := controller.Patch{ID: "retention", Base: 1, Body: []byte(`{"limits":{"order_retention_ms":600000}}`)}
		if _, err := s.hosts["h0"].client.PatchConfig(s.ctx, p); err != nil {
			t.Fatal(err)
		}
		setWall := func(d time.Duration) { mu.Lock(); offset = d; mu.Unlock() }
		s.wall = func() time.Time { mu.Lock(); defer mu.Unlock(); return time.Now().Add(offset) }
		for _, id := range s.ids[1:] {
			s.hosts[id].stop()
			s.boot(id, "z", true)
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

// Guards against a restart that loses versions or serves a configuration before it is confirmed.
func TestRestartAfterThousandVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 3, 3)
		s.configure()
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
		h := s.boot("h2", "z2", true)
		if v, _, fresh := h.agent.Config(); v != 0 || fresh {
			t.Errorf("version %d fresh=%t before the first heartbeat, want none", v, fresh)
		}
		s.until(3*time.Second, "version 1001", func() bool { v, _, fresh := h.agent.Config(); return v == 1001 && fresh })
		var cfg *configurer.Config
		_, cfg, _ = h.agent.Config()
		if cfg.Limits.MaxWaiting != 1000 {
			t.Errorf("max_waiting %d, want 1000", cfg.Limits.MaxWaiting)
		}
		restored := controller.NewMachine()
		if err := restored.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		again, err := restored.Snapshot()
		if err != nil || string(again) != string(snapshot) {
			t.Errorf("a restored state differs from its snapshot (%d and %d bytes, %v)", len(snapshot), len(again), err)
		}
	})
}

// Guards against two processes that run under one host id both acting under a role, and against an incarnation, which is part
// of request ids, that both are given.
func TestTwoProcessesOfOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t, 4, 3)
		s.configure()
		role := controller.PoolRole("a")
		s.until(3*time.Second, "role held", func() bool { return s.holder(role) != "" })
		id := s.holder(role)
		first := s.hosts[id]
		before := first.agent.Incarnation()
		// The second process keeps the id and has no replicated log.
		second := s.boot(id, "z9", false)
		s.until(2*time.Second, "the second process joined", func() bool { return second.agent.Incarnation() > before })
		both := 0
		for range 2_000 {
			time.Sleep(5 * time.Millisecond)
			if first.agent.Incarnation() == second.agent.Incarnation() {
				both++
			}
			for _, r := range []string{controller.RolePlacement, role, controller.PoolRole("b")} {
				if first.valid(r) && second.valid(r) {
					t.Fatalf("both processes of %s hold %s", id, r)
				}
			}
		}
		if both > 0 {
			t.Errorf("both processes had the same incarnation at %d moments", both)
		}
	})
}
