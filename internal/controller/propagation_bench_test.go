package controller_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// processUsage returns the CPU time of the process and the number of bytes it has written, here mostly to sockets.
func processUsage(b *testing.B) (time.Duration, int64) {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	raw, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Skip("no /proc/self/io")
	}
	var written int64
	for line := range strings.Lines(string(raw)) {
		_, _ = fmt.Sscanf(line, "wchar: %d", &written)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano()), written
}

// BenchmarkPropagation measures the time until all receivers use a new version, and the idle CPU and network usage per host.
// Three control hosts run real sequencers; each receiver is an agent with a relay and its own transport on loopback.
func BenchmarkPropagation(b *testing.B) {
	for _, receivers := range []int{6, 60, 640} {
		b.Run(fmt.Sprint(receivers), func(b *testing.B) { benchmarkPropagation(b, receivers) })
	}
}

// startReceiver starts a host without a replicated log. The returned function closes its transport.
func startReceiver(ctx context.Context, b *testing.B, wg *sync.WaitGroup, id string, controllers []string) (*controller.Agent, func()) {
	b.Helper()
	tr := &transporter.Transport{HostID: id, Zone: "z", ListenAddr: "127.0.0.1:0", Key: []byte("shared")}
	if err := tr.Listen(); err != nil {
		b.Fatal(err)
	}
	agent := &controller.Agent{HostID: id, Zone: "z", Addr: tr.Addr(), Network: tr, ControlHosts: controllers}
	agent.Register()
	relay := &distributor.Relay{HostID: id, Network: tr, Store: agent}
	relay.Register()
	for _, fn := range []func(context.Context) error{tr.Run, agent.Run, relay.Run} {
		wg.Go(func() { _ = fn(ctx) })
	}
	return agent, func() { _ = tr.Close() }
}

// startControlHosts starts three control hosts and returns them by id, and their addresses.
func startControlHosts(b *testing.B) (hosts map[string]*controlHost, controllers []string) {
	voters := map[string]string{}
	hosts = map[string]*controlHost{}
	for _, id := range []string{"c1", "c2", "c3"} {
		probe := &transporter.Transport{HostID: id, ListenAddr: "127.0.0.1:0"}
		if err := probe.Listen(); err != nil {
			b.Fatal(err)
		}
		voters[id] = probe.Addr()
		controllers = append(controllers, probe.Addr())
		_ = probe.Close()
	}
	for id, addr := range voters {
		hosts[id] = startControlHost(b, id, addr, b.TempDir(), voters)
	}
	return hosts, controllers
}

// BenchmarkOrder measures recording one order: its intent and its outcome, each committed by a quorum with synced files.
func BenchmarkOrder(b *testing.B) {
	hosts, _ := startControlHosts(b)
	defer func() {
		for _, h := range hosts {
			h.kill()
		}
	}()
	ctx, client := b.Context(), hosts["c1"].client
	if _, err := client.PatchConfig(ctx, controller.Patch{ID: "first", Body: []byte(initialDocument)}); err != nil {
		b.Fatal(err)
	}
	<-hosts["c1"].agent.Joined()
	owner := hosts["c1"].agent.Owner()
	var n atomic.Int64
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := recorder.Key{Workspace: "w", Value: fmt.Sprint(n.Add(1))}
			in := recorder.Intent{Key: key, Digest: "d", RequestID: key.Value, Owner: owner, Endpoint: "e"}
			if r, err := client.Intend(ctx, in); err != nil || !r.Granted {
				b.Errorf("intent: %v, %v", r, err)
			}
			if err := client.Conclude(ctx, key, owner, recorder.Outcome{Outcome: recorder.OutcomeDone, Body: make([]byte, 512)}); err != nil {
				b.Error(err)
			}
		}
	})
}

func benchmarkPropagation(b *testing.B, receivers int) {
	hosts, controllers := startControlHosts(b)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var closers []func()
	defer func() {
		cancel()
		for _, fn := range closers {
			fn()
		}
		for _, h := range hosts {
			h.kill()
		}
		wg.Wait()
	}()
	var agents []*controller.Agent
	for i := range receivers {
		agent, closer := startReceiver(ctx, b, &wg, fmt.Sprintf("r%03d", i), controllers)
		agents, closers = append(agents, agent), append(closers, closer)
	}
	client := hosts["c1"].client
	if _, err := client.PatchConfig(ctx, controller.Patch{ID: "first", Body: []byte(initialDocument)}); err != nil {
		b.Fatal(err)
	}
	eventually(b, "a fresh configuration on all receivers", func() bool {
		return !slices.ContainsFunc(agents, func(a *controller.Agent) bool { _, _, fresh := a.Config(); return !fresh })
	})
	time.Sleep(10 * time.Second)
	const idle = 10 * time.Second
	cpu, written := processUsage(b)
	time.Sleep(idle)
	cpuAfter, writtenAfter := processUsage(b)
	nodes := float64(receivers + len(hosts))
	b.ReportMetric(100*(cpuAfter-cpu).Seconds()/idle.Seconds()/nodes, "%core/node")
	b.ReportMetric(float64(writtenAfter-written)/idle.Seconds()/nodes/1024, "KiB/s/node")

	arrived := make([]atomic.Int64, receivers)
	var version atomic.Uint64
	for i, a := range agents {
		a.Subscribe(func(v uint64, _ *configurer.Config) {
			if v == version.Load() {
				arrived[i].Store(time.Now().UnixNano())
			}
		})
	}
	var all []time.Duration
	for v := uint64(1); v <= 30; v++ {
		for i := range arrived {
			arrived[i].Store(0)
		}
		version.Store(v + 1)
		began := time.Now()
		p := controller.Patch{ID: fmt.Sprint("p", v), Base: v, Body: fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, v)}
		if _, err := client.PatchConfig(ctx, p); err != nil {
			b.Fatal(err)
		}
		slowest := time.Duration(0)
		eventually(b, "the version on all receivers", func() bool {
			slowest = 0
			for i := range arrived {
				at := arrived[i].Load()
				if at == 0 {
					return false
				}
				slowest = max(slowest, time.Unix(0, at).Sub(began))
			}
			return true
		})
		all = append(all, slowest)
		time.Sleep(300 * time.Millisecond)
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(all[len(all)-1].Microseconds())/1000, "worst-ms")
}
