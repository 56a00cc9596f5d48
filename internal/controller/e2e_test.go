package controller_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// controlHost is a control host with a real transport, data folder, sequencer, service and agent.
type controlHost struct {
	id        string
	transport *transporter.Transport
	log       *sequencer.Sequencer
	service   *controller.Service
	agent     *controller.Agent
	client    *controller.Client
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// startControlHost starts a control host with the given address and data folder.
func startControlHost(t testing.TB, id, addr, dir string, voters map[string]string) *controlHost {
	t.Helper()
	var controllers []string
	for _, a := range voters {
		controllers = append(controllers, a)
	}
	h := &controlHost{id: id}
	h.transport = &transporter.Transport{HostID: id, Zone: "z-" + id, ListenAddr: addr, Key: []byte("shared")}
	if err := h.transport.Listen(); err != nil {
		t.Fatal(err)
	}
	machine := controller.NewStateMachine()
	h.log = &sequencer.Sequencer{
		HostID: id, DataDir: dir, Voters: voters, Bootstrap: true, Transport: h.transport, StateMachine: machine,
	}
	h.service = &controller.Service{HostID: id, Network: h.transport, Log: h.log, StateMachine: machine}
	h.service.Register()
	h.agent = &controller.Agent{
		HostID: id, Zone: "z-" + id, Addr: addr, Control: true, Network: h.transport, ControlHosts: controllers,
	}
	h.agent.Register()
	relay := &distributor.Relay{HostID: id, Network: h.transport, Store: h.agent}
	relay.Register()
	h.client = &controller.Client{Network: h.transport, ControlHosts: controllers}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, fn := range []func(context.Context) error{h.log.Run, h.transport.Run, h.service.Run, h.agent.Run, relay.Run} {
		h.wg.Go(func() {
			if err := fn(ctx); err != nil && ctx.Err() == nil {
				t.Errorf("%s: %v", id, err)
			}
		})
	}
	return h
}

// kill stops a host without a leadership transfer or a hand-over of its roles.
func (h *controlHost) kill() {
	h.cancel()
	_ = h.transport.Close()
	h.wg.Wait()
}

// eventually polls a condition in real time and returns how long it took to hold. The limit of one minute only ends a test
// that hangs.
func eventually(t testing.TB, event string, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		if time.Since(began) > time.Minute {
			t.Fatalf("%s did not happen", event)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(began)
}

// TestControlHostsEndToEnd checks that the components work together without fakes: three control hosts with real sequencers,
// transports and data folders accept patches and an order, lose their leader, and keep all data over a restart of all hosts.
func TestControlHostsEndToEnd(t *testing.T) {
	voters, dirs, hosts := map[string]string{}, map[string]string{}, map[string]*controlHost{}
	ids := []string{"c1", "c2", "c3"}
	for _, id := range ids {
		// The restart reuses the address.
		probe := &transporter.Transport{HostID: id, ListenAddr: "127.0.0.1:0"}
		if err := probe.Listen(); err != nil {
			t.Fatal(err)
		}
		voters[id], dirs[id] = probe.Addr(), t.TempDir()
		_ = probe.Close()
	}
	for _, id := range ids {
		hosts[id] = startControlHost(t, id, voters[id], dirs[id], voters)
	}
	defer func() {
		for _, h := range hosts {
			h.kill()
		}
	}()
	ctx := t.Context()
	long, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	first := controller.Patch{ID: "first", Body: []byte(initialDocument), Author: "op"}
	if got, err := hosts["c1"].client.PatchConfig(long, first); err != nil || got.Version != 1 {
		t.Fatalf("version %d, %v; want 1", got.Version, err)
	}
	for v := uint64(1); v <= 50; v++ {
		p := controller.Patch{ID: fmt.Sprint("p", v), Base: v, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, v)}
		if _, err := hosts[ids[v%3]].client.PatchConfig(long, p); err != nil {
			t.Fatal(err)
		}
	}
	role := controller.PoolRole("a")
	holder := func() string {
		for id, h := range hosts {
			if _, _, epoch, ok := h.agent.Holder(role); ok && h.agent.RoleValid(role, epoch) {
				return id
			}
		}
		return ""
	}
	eventually(t, "a holder", func() bool { return holder() != "" })
	key := recorder.Key{Workspace: "w", Value: "k"}
	owner := hosts["c2"].agent.Owner()
	in := recorder.Intent{Key: key, Digest: "d", RequestID: owner + ".1", Owner: owner, Endpoint: "e"}
	if r, err := hosts["c2"].client.Intend(long, in); err != nil || !r.Granted {
		t.Fatalf("intent: %v, %v", r, err)
	}
	if err := hosts["c2"].client.Conclude(long, key, owner, recorder.Outcome{Outcome: recorder.OutcomeDone, Status: 201, Body: []byte("paid")}); err != nil {
		t.Fatal(err)
	}

	from := holder()
	if err := hosts[from].agent.HandOver(long); err != nil {
		t.Fatal(err)
	}
	took := eventually(t, "a hand-over", func() bool { h := holder(); return h != "" && h != from })
	t.Logf("hand-over took %v", took)

	leader, _ := hosts["c1"].agent.Leader()
	hosts[leader].kill()
	delete(hosts, leader)
	var survivor *controlHost
	for _, h := range hosts {
		survivor = h
	}
	if got, err := survivor.client.PatchConfig(long, first); err != nil || got.Version != 1 {
		t.Fatalf("retry of the first patch after the loss of the leader: version %d, %v; want 1", got.Version, err)
	}
	took = eventually(t, "a holder after the loss of the leader", func() bool { h := holder(); return h != "" && h != from })
	t.Logf("a new holder %v after the response of the new leader", took)

	for _, h := range hosts {
		h.kill()
	}
	for _, id := range ids {
		hosts[id] = startControlHost(t, id, voters[id], dirs[id], voters)
	}
	eventually(t, "version 51 on all hosts", func() bool {
		for _, h := range hosts {
			if v, cfg, fresh := h.agent.Config(); v != 51 || !fresh || cfg.Limits.MaxWaiting != 50 {
				return false
			}
		}
		return true
	})
	record, ok, err := hosts["c3"].client.Order(long, key)
	if err != nil || !ok || record.Phase != recorder.PhaseConcluded || string(record.Outcome.Body) != "paid" {
		t.Fatalf("order after a restart of all: %v, held=%t, %v", record, ok, err)
	}
	var stale *controller.StaleVersionError
	if _, err := hosts["c1"].client.PatchConfig(long, controller.Patch{ID: "late", Base: 3, Body: []byte(`{}`)}); !errors.As(err, &stale) || stale.Current != 51 {
		t.Fatalf("patch against version 3: %v, want stale with current 51", err)
	}
}
