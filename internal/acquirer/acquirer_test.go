package acquirer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/acquirer"
	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/duplicator"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

const (
	oneWayDelay = time.Millisecond
	// takeoverTime is the time within which the next coordinator has all runs: hosts without new requests detect the loss only at
	// their next ping.
	takeoverTime = time.Second
)

// fixture is a set of entry hosts and coordinators in virtual time.
type fixture struct {
	t         *testing.T
	ctx       context.Context
	endpoints []balancer.Endpoint

	mu           sync.Mutex
	coordinators map[string]*coordinator.Coordinator
	alive        map[string]bool
	unreachable  map[string]bool
	// peerIsolated are control hosts that other control hosts cannot reach, while entry hosts can.
	peerIsolated map[string]bool
	// halfCut are control hosts that the entry hosts with an odd number cannot reach.
	halfCut map[string]bool
	// parted are pairs of an entry host and a control host that it does not reach.
	parted map[[2]string]bool
	// listAge is the age of the endpoint list of all coordinators.
	listAge time.Duration
	streams map[string][]*pipe
	clients []*acquirer.Acquirer
	// duplicators are those of the clients.
	duplicators []*duplicator.Duplicator
	locals      []*admitter.Admitter
	running     map[string]int
	peak        map[string]int
	// overloadedAt is when a request was last placed at an engine without a free place.
	overloadedAt time.Time
	slots        int
	// trackAllotments makes entry hosts track the allotments by the orders of coordinators.
	trackAllotments bool
	// trackLimits makes entry hosts track the limits of endpoints in limits.
	trackLimits bool
	limits      []*limitTracker
	// duringHello is called after an entry host has read its limits for a coordinator; it may be nil.
	duringHello func(a *acquirer.Acquirer, t *limitTracker)
	// fillReport is called with the number of the host when an entry host fills its usage report; nil reports nothing. It is set
	// before the hosts start.
	fillReport func(host int, all bool) bool
	// historyDir is the folder of the coordinators' histories of versions. If it is set, the processes of killed hosts end; otherwise
	// killed coordinators are only not reached any more.
	historyDir string
	bootstrap  bool
	// version is the version of all endpoints at first.
	version string
	cancels map[string]context.CancelFunc
	wg      sync.WaitGroup
}

var zones = []string{"z0", "z1", "z2"}

func newFixture(t *testing.T, ctx context.Context, hosts, engines, slots int, configure func(f *fixture)) *fixture {
	f := &fixture{
		t: t, ctx: ctx, coordinators: map[string]*coordinator.Coordinator{}, alive: map[string]bool{}, unreachable: map[string]bool{}, peerIsolated: map[string]bool{}, halfCut: map[string]bool{}, parted: map[[2]string]bool{},
		streams: map[string][]*pipe{}, running: map[string]int{}, peak: map[string]int{}, slots: slots,
		cancels: map[string]context.CancelFunc{},
	}
	configure(f)
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		f.endpoints = append(f.endpoints, balancer.Endpoint{ID: id, Addr: id, Zone: zones[i%3], Pool: "p", Slots: slots, Engine: true, Version: f.version})
	}
	for i := range 5 {
		f.start(fmt.Sprintf("c%d", i))
	}
	for i := range hosts {
		f.addHost(i)
	}
	time.Sleep(2 * time.Second)
	return f
}

func (f *fixture) hosts() []sharder.Host {
	var out []sharder.Host
	for i := range 5 {
		id := fmt.Sprintf("c%d", i)
		out = append(out, sharder.Host{ID: id, Zone: zones[i%3], Addr: id})
	}
	return out
}

// start starts a new process of a control host.
func (f *fixture) start(id string) {
	own := f.hosts()[slices.IndexFunc(f.hosts(), func(h sharder.Host) bool { return h.ID == id })]
	c := &coordinator.Coordinator{HostID: id, Zone: own.Zone, Network: network{f: f, from: id}, Peers: func() []sharder.Host {
		var out []sharder.Host
		for _, h := range f.hosts() {
			if h.ID != id {
				out = append(out, h)
			}
		}
		return out
	}, ListedAt: func() time.Time {
		f.mu.Lock()
		defer f.mu.Unlock()
		return clocker.Now().Add(-f.listAge)
	}}
	if f.historyDir != "" {
		c.HistoryPath, c.Bootstrap = filepath.Join(f.historyDir, id), f.bootstrap
	}
	c.Init()
	c.SetEndpoints(f.endpoints)
	f.mu.Lock()
	f.coordinators[id], f.alive[id] = c, true
	f.mu.Unlock()
	ctx := f.processContext(id)
	f.wg.Go(func() { _ = c.Run(ctx) })
}

// processContext returns the context of a new process of a host.
func (f *fixture) processContext(id string) context.Context {
	if f.historyDir == "" {
		return f.ctx
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancels[id] = cancel
	return ctx
}

// kill ends the process of a control host; setUnreachable drops its messages without closing streams.
func (f *fixture) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alive[id] = false
	if cancel := f.cancels[id]; cancel != nil {
		cancel()
	}
	for _, p := range f.streams[id] {
		p.end()
	}
	f.streams[id] = nil
}

func (f *fixture) setUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = unreachable
}

func (f *fixture) addHost(i int) {
	b := balancer.New(zones[i%3])
	b.AvoidLimited = true
	local := admitter.New(b)
	a := &acquirer.Acquirer{
		Zone: zones[i%3], Network: network{f: f, from: fmt.Sprintf("h%d", i)}, ControlHosts: f.hosts, Incarnation: func() uint64 { return 1 },
		Local: local, FillReport: func(_ *coordinatorpb.Report, all bool) bool { return f.fillReport != nil && f.fillReport(i, all) }, ApplyOrders: func(*coordinatorpb.Orders) {},
	}
	if f.trackAllotments {
		t := newTracker()
		a.FillReport, a.ApplyOrders, a.Windows = func(_ *coordinatorpb.Report, all bool) bool { return all }, t.applyOrders, t.windows
	}
	if f.trackLimits {
		f.trackLimitsOf(a, local)
	}
	a.Init()
	local.Update(func(b *balancer.Balancer) { b.SetEndpoints(time.Now(), f.endpoints) })
	a.SetEndpoints(f.endpoints)
	id := fmt.Sprintf("h%d", i)
	d := &duplicator.Duplicator{HostID: id, Zone: zones[i%3], Network: network{f: f, from: id}, Origins: a, Peers: func() []duplicator.Peer { return f.peersOf(i) }}
	d.Init()
	a.OnOrigin = d.Notify
	f.mu.Lock()
	if i < len(f.clients) {
		f.clients[i], f.locals[i], f.duplicators[i] = a, local, d
	} else {
		f.clients, f.locals, f.duplicators = append(f.clients, a), append(f.locals, local), append(f.duplicators, d)
	}
	f.alive[id] = true
	f.mu.Unlock()
	ctx := f.processContext(id)
	f.wg.Go(func() { _ = a.Run(ctx) })
	f.wg.Go(func() { _ = d.Run(ctx) })
}

// peersOf returns the entry hosts except one, whether they run or not.
func (f *fixture) peersOf(host int) (out []duplicator.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.clients {
		if id := fmt.Sprintf("h%d", i); i != host {
			out = append(out, duplicator.Peer{ID: id, Zone: zones[i%3], Addr: id})
		}
	}
	return out
}

// keep delivers a request of the duplicator of one entry host to that of another.
func (f *fixture) keep(addr string, payload []byte) ([]byte, error) {
	f.mu.Lock()
	i, _ := strconv.Atoi(strings.TrimPrefix(addr, "h"))
	if !f.alive[addr] || i >= len(f.duplicators) {
		f.mu.Unlock()
		return nil, errNoHost
	}
	d := f.duplicators[i]
	f.mu.Unlock()
	return d.Handle(payload)
}

// owner returns the n-th control host in the order of precedence.
func (f *fixture) owner(n int) string { return sharder.Owners("", f.hosts())[n].ID }

// network is the network from the point of view of one host.
type network struct {
	f    *fixture
	from string
}

// cut reports whether this host does not reach a control host that others reach. The caller holds f.mu.
func (n network) cut(addr string) bool {
	number, isEntryHost := strings.CutPrefix(n.from, "h")
	i, _ := strconv.Atoi(number)
	return isEntryHost && i%2 == 1 && n.f.halfCut[addr] || n.f.parted[[2]string{n.from, addr}]
}

var errNoHost = errors.New("host unreachable")

func (n network) lookup(addr string) (*coordinator.Coordinator, error) {
	n.f.mu.Lock()
	c, alive, silent := n.f.coordinators[addr], n.f.alive[addr], n.f.unreachable[addr] || n.f.unreachable[n.from] || n.cut(addr)
	n.f.mu.Unlock()
	if silent {
		return nil, nil
	}
	if !alive {
		return nil, errNoHost
	}
	return c, nil
}

// Call implements acquirer.Network and coordinator.Network.
func (n network) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	time.Sleep(oneWayDelay)
	if method == duplicator.Method {
		payload, _ := proto.Marshal(req)
		answer, err := n.f.keep(addr, payload)
		time.Sleep(oneWayDelay)
		return errors.Join(err, proto.Unmarshal(answer, resp))
	}
	c, err := n.lookup(addr)
	if err != nil {
		return err
	}
	n.f.mu.Lock()
	apart := method == coordinator.MethodPeer && (n.f.peerIsolated[addr] || n.f.peerIsolated[n.from])
	n.f.mu.Unlock()
	if c == nil || apart {
		<-ctx.Done()
		return ctx.Err()
	}
	payload, _ := proto.Marshal(req)
	var answer []byte
	switch method {
	case coordinator.MethodReady:
		answer, err = c.HandleReady(payload)
	case coordinator.MethodOrigin:
		answer, err = c.HandleOrigin(payload)
	default:
		answer, err = c.HandlePeer(payload)
	}
	time.Sleep(oneWayDelay)
	return errors.Join(err, proto.Unmarshal(answer, resp))
}

// OpenStream implements acquirer.Network.
func (n network) OpenStream(ctx context.Context, addr, _ string) (acquirer.Stream, error) {
	c, err := n.lookup(addr)
	if err != nil || c == nil {
		return nil, errNoHost
	}
	done := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(done) }) }
	up, down := make(chan proto.Message, 4096), make(chan proto.Message, 4096)
	remote, local := &pipe{n: n, addr: addr, in: up, out: down, done: done, end: end}, &pipe{n: n, addr: addr, in: down, out: up, done: done, end: end}
	n.f.mu.Lock()
	n.f.streams[addr] = append(n.f.streams[addr], remote)
	n.f.mu.Unlock()
	context.AfterFunc(ctx, end)
	n.f.wg.Go(func() {
		_ = c.Serve(n.f.ctx, n.from, zones[0], remote)
		end()
	})
	return local, nil
}

// DropSession implements acquirer.Network.
func (n network) DropSession(string) {}

// pipe is one end of a stream.
type pipe struct {
	n       network
	addr    string
	in, out chan proto.Message
	done    chan struct{}
	end     func()
}

func (p *pipe) Send(m proto.Message) error {
	p.n.f.mu.Lock()
	silent := p.n.f.unreachable[p.addr] || p.n.cut(p.addr)
	p.n.f.mu.Unlock()
	if silent {
		return nil
	}
	select {
	case p.out <- proto.Clone(m):
		return nil
	case <-p.done:
		return io.ErrClosedPipe
	}
}

func (p *pipe) Recv(m proto.Message) error {
	select {
	case got := <-p.in:
		time.Sleep(oneWayDelay)
		proto.Merge(m, got)
		return nil
	case <-p.done:
		return io.EOF
	}
}

func (p *pipe) Close() error {
	p.end()
	return nil
}

// stop ends all hosts and waits for them.
func (f *fixture) stop(cancel context.CancelFunc) {
	cancel()
	f.mu.Lock()
	for _, list := range f.streams {
		for _, p := range list {
			p.end()
		}
	}
	f.mu.Unlock()
	f.wg.Wait()
	time.Sleep(5 * time.Second) // lets pending timers and reconnect grace periods expire
}

// serve acquires a place for one request, runs it for a time, and counts it at its endpoint.
func (f *fixture) serve(host, tier int, patience, lasts time.Duration) error {
	req := admitter.Request{Pool: "p", Tier: tier, Patience: patience, Work: balancer.Work{Prompt: 100, Output: 10}}
	g, err := f.clients[host].Acquire(f.ctx, req)
	if err != nil {
		return err
	}
	id := g.Choice.Endpoint.ID
	f.mu.Lock()
	f.running[id]++
	f.peak[id] = max(f.peak[id], f.running[id])
	if f.running[id] > f.slots {
		f.overloadedAt = time.Now()
	}
	f.mu.Unlock()
	time.Sleep(lasts / 10)
	g.RecordEvent(time.Now())
	time.Sleep(lasts)
	f.mu.Lock()
	f.running[id]--
	f.mu.Unlock()
	g.End(time.Now(), false)
	return nil
}

// offerLoad sends requests to random hosts for a time and returns how many were served, refused and failed.
func (f *fixture) offerLoad(perSecond int, lasts, patience, during time.Duration) (served, refused, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 2))
	gap := time.Second / time.Duration(perSecond)
	for at := time.Duration(0); at < during; at += gap {
		host := rng.IntN(len(f.clients))
		wg.Go(func() {
			err := f.serve(host, 0, patience, lasts)
			var r *admitter.RefusedError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				served++
			case errors.As(err, &r):
				refused++
			default:
				failed++
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	return served, refused, failed
}

// takePeak returns the largest number of concurrent requests at any endpoint since the last call, and resets it.
func (f *fixture) takePeak() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, n := range f.peak {
		most = max(most, n)
	}
	f.peak = map[string]int{}
	return most
}

func run(t *testing.T, hosts, engines, slots int, body func(f *fixture)) {
	t.Helper()
	runWith(t, hosts, engines, slots, func(f *fixture) { f.trackAllotments = true }, body)
}

// runReporting runs a fixture whose entry hosts fill their usage reports with a function.
func runReporting(t *testing.T, hosts, engines, slots int, fillReport func(host int, all bool) bool, body func(f *fixture)) {
	t.Helper()
	runWith(t, hosts, engines, slots, func(f *fixture) { f.fillReport = fillReport }, body)
}

// runWith runs a fixture that is configured before its hosts start.
func runWith(t *testing.T, hosts, engines, slots int, configure, body func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFixture(t, ctx, hosts, engines, slots, configure)
		body(f)
		f.stop(cancel)
	})
}

// 600 hosts receive more load than the engines can serve, a few requests each. Hosts that place independently send many requests
// to the same engine, whose queue ignores tiers, while other engines stay idle.
func TestOverloadAcrossManyHosts(t *testing.T) {
	const engines, slots = 60, 4
	run(t, 600, engines, slots, func(f *fixture) {
		// 240 places, each held for 1.1 s: about 218 requests per second can be served, and 300 are offered.
		served, refused, failed := f.offerLoad(300, time.Second, 500*time.Millisecond, 4*time.Second)
		if peak := f.takePeak(); peak > slots {
			t.Errorf("an engine had %d requests at once, want at most %d", peak, slots)
		}
		if want := 4 * 218 * 95 / 100; served < want || failed > 0 || served+refused < 1200 {
			t.Errorf("%d served, %d refused, %d failed; want at least %d served and none failed", served, refused, failed, want)
		}
	})
}

// The coordinator crashes or becomes unreachable while most places are taken. Requests must fail over to the next coordinator
// within a fraction of a second, the next one must count the runs in progress, and requests must return to the first coordinator
// once it is back.
func TestCoordinatorLoss(t *testing.T) {
	const slots = 4
	for name, disrupt := range map[string]func(f *fixture, id string) (restore func()){
		"killed": func(f *fixture, id string) func() {
			f.kill(id)
			return func() { f.start(id) }
		},
		"cut off": func(f *fixture, id string) func() {
			f.setUnreachable(id, true)
			return func() { f.setUnreachable(id, false) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 60, 30, slots, func(f *fixture) {
				f.offerLoad(80, time.Second, 500*time.Millisecond, 2*time.Second)
				restore := disrupt(f, f.owner(0))
				began := time.Now()
				err := f.serve(0, 0, 500*time.Millisecond, 0)
				if took := time.Since(began); err != nil || took > 300*time.Millisecond {
					t.Errorf("first request after the loss: error %v after %v, want none within 300ms", err, took)
				}
				served, refused, failed := f.offerLoad(90, time.Second, 500*time.Millisecond, 4*time.Second)
				if failed > 0 || refused > 20 {
					t.Errorf("%d served, %d refused, %d failed after the loss", served, refused, failed)
				}
				if over := f.overloadedAt.Sub(began); over > takeoverTime {
					t.Errorf("an engine was still overloaded %v after the loss", over)
				}
				restore()
				time.Sleep(3 * time.Second)
				f.offerLoad(80, time.Second, 500*time.Millisecond, 2*time.Second)
				f.takePeak()
				f.offerLoad(300, time.Second, 500*time.Millisecond, 2*time.Second)
				if peak := f.takePeak(); peak > slots {
					t.Errorf("an engine had %d requests at once after the return, want at most %d", peak, slots)
				}
			})
		})
	}
}

// Without any coordinator, each host places requests by its own state rather than refuse them.
func TestNoCoordinator(t *testing.T) {
	run(t, 6, 6, 4, func(f *fixture) {
		for i := range 5 {
			f.kill(fmt.Sprintf("c%d", i))
		}
		served, refused, failed := f.offerLoad(10, 500*time.Millisecond, 500*time.Millisecond, 2*time.Second)
		if diff := cmp.Diff([]int{20, 0, 0}, []int{served, refused, failed}); diff != "" {
			t.Errorf("served, refused, failed (-want +got):\n%s", diff)
		}
	})
}

// A request of a lower tier must not be served on one host while one of a higher tier waits on another.
func TestTierOrderAcrossHosts(t *testing.T) {
	run(t, 12, 1, 1, func(f *fixture) {
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		enter := func(host, tier int) {
			wg.Go(func() {
				if err := f.serve(host, tier, 10*time.Second, 100*time.Millisecond); err != nil {
					t.Error(err)
				}
				mu.Lock()
				defer mu.Unlock()
				order = append(order, tier)
			})
			time.Sleep(5 * time.Millisecond)
		}
		enter(0, 0)
		for host, tier := range []int{3, 2, 3, 1, 0, 2} {
			enter(host+1, tier)
		}
		wg.Wait()
		if diff := cmp.Diff([]int{0, 0, 1, 2, 2, 3, 3}, order); diff != "" {
			t.Errorf("tiers in order of completion (-want +got):\n%s", diff)
		}
	})
}

// A host must not send requests to an endpoint that has rejected it or announced to it that it leaves, even if the coordinator
// grants a place there because it has just started and lacks that state. The unused place must be free for others.
func TestGrantForLeavingEndpoint(t *testing.T) {
	run(t, 2, 2, 1, func(f *fixture) {
		f.locals[0].Update(func(b *balancer.Balancer) { b.MarkLeaving(time.Now(), "e0") })
		for range 3 {
			if err := f.serve(0, 0, time.Second, 10*time.Millisecond); err != nil {
				t.Fatal(err)
			}
		}
		if f.peak["e0"] > 0 || f.peak["e1"] == 0 {
			t.Errorf("requests at the endpoints: %v, want all at e1", f.peak)
		}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				if err := f.serve(1, 0, 100*time.Millisecond, time.Second); err != nil {
					t.Errorf("unused place was not released: %v", err)
				}
			})
		}
		wg.Wait()
	})
}

// A caller that cancels while its request waits must not hold a place, also if the grant arrives at the same moment.
func TestCallerCancelsWhileWaiting(t *testing.T) {
	run(t, 3, 1, 1, func(f *fixture) {
		for wait := range 40 {
			var wg sync.WaitGroup
			wg.Go(func() { _ = f.serve(0, 0, time.Second, 18*time.Millisecond) })
			time.Sleep(4 * time.Millisecond)
			ctx, cancel := context.WithCancel(f.ctx)
			wg.Go(func() {
				req := admitter.Request{Pool: "p", Patience: time.Second, Work: balancer.Work{Prompt: 1, Output: 1}}
				if g, err := f.clients[1].Acquire(ctx, req); err == nil {
					g.End(time.Now(), false)
				}
			})
			time.Sleep(time.Duration(wait) * time.Millisecond)
			cancel()
			wg.Wait()
		}
		time.Sleep(50 * time.Millisecond)
		if err := f.serve(2, 0, 100*time.Millisecond, time.Millisecond); err != nil {
			t.Errorf("place of a canceled request was not released: %v", err)
		}
	})
}

// Changes that were reported only to a lost coordinator must not be missing at the others: a host that returns to a former
// coordinator, over a link that stayed open for another zone, must send it a full report.
func TestFormerCoordinatorGetsFullReport(t *testing.T) {
	// The second coordinator of this zone is the first one of another.
	const host, zone = 2, "z2"
	var fullReports atomic.Int64
	fillReport := func(from int, all bool) bool {
		if from == host && all {
			fullReports.Add(1)
		}
		return true
	}
	runReporting(t, 3, 120, 1, fillReport, func(f *fixture) {
		first, second := sharder.Owners(zone, f.hosts())[0], sharder.Owners(zone, f.hosts())[1]
		// More requests than the host's own zone can serve, for the whole test, so that links to all zones are in use.
		var wg sync.WaitGroup
		stop := make(chan struct{})
		for i := range 101 {
			at := host
			if i == 0 {
				at = 0 // so that its zone reports its free places
			}
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						_ = f.serve(at, 0, 100*time.Millisecond, 100*time.Millisecond)
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		var got []int
		for range 2 {
			f.kill(first.ID)
			before := fullReports.Load()
			time.Sleep(3 * time.Second)
			got = append(got, min(1, int(fullReports.Load()-before)))
			f.start(first.ID)
			time.Sleep(5 * time.Second)
		}
		close(stop)
		wg.Wait()
		if diff := cmp.Diff([]int{1, 1}, got); diff != "" {
			t.Errorf("full reports to %s at the first and second loss of %s (-want +got):\n%s", second.ID, first.ID, diff)
		}
	})
}
