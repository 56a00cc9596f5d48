package coordinator_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

// stream is the coordinator's end of an in-memory stream.
type stream struct {
	reports chan *coordinatorpb.Report
	orders  chan *coordinatorpb.Orders
	done    chan struct{}
	once    sync.Once
}

func (s *stream) Send(m proto.Message) error {
	s.orders <- proto.CloneOf(m.(*coordinatorpb.Orders))
	return nil
}

func (s *stream) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

func (s *stream) Recv(m proto.Message) error {
	select {
	case r, open := <-s.reports:
		if !open {
			return io.EOF
		}
		proto.Merge(m, r)
		return nil
	case <-s.done:
		return io.EOF
	}
}

type unreachableNetwork struct{}

func (unreachableNetwork) Call(context.Context, string, string, proto.Message, proto.Message) error {
	return errors.New("network unreachable")
}

// entryHost is the entry host's end of a stream to the coordinator.
type entryHost struct {
	*stream
	ended chan error
}

func join(ctx context.Context, c *coordinator.Coordinator, host string, incarnation uint64) *entryHost {
	e := &entryHost{stream: &stream{
		reports: make(chan *coordinatorpb.Report, 64), orders: make(chan *coordinatorpb.Orders, 64), done: make(chan struct{}),
	}, ended: make(chan error, 1)}
	go func() { e.ended <- c.Serve(ctx, host, "z", e.stream) }()
	e.reports <- &coordinatorpb.Report{Answer: true, Hello: &coordinatorpb.Hello{Incarnation: incarnation, AgeMs: 5000}}
	synctest.Wait()
	return e
}

func (e *entryHost) ask(ticket uint64) {
	e.reports <- &coordinatorpb.Report{Answer: true, Asks: []*coordinatorpb.Ask{{
		Ticket: ticket, Shard: &coordinatorpb.Shard{Pool: "p"}, PatienceMs: 100, Work: &coordinatorpb.Work{Prompt: 1, Output: 1},
	}}}
	synctest.Wait()
}

// grantCount returns the number of grants received by the host since the last call.
func (e *entryHost) grantCount() int {
	n := 0
	for {
		select {
		case o := <-e.orders:
			n += len(o.GetGrants())
		default:
			return n
		}
	}
}

var endpointList = []balancer.Endpoint{{ID: "e", Addr: "e", Pool: "p", Zone: "z", Slots: 1, Engine: true}}

func newCoordinator(slots int) *coordinator.Coordinator {
	c := &coordinator.Coordinator{HostID: "c", Network: unreachableNetwork{}, Peers: func() []sharder.Host { return nil }}
	c.Init()
	c.SetEndpoints([]balancer.Endpoint{{ID: "e", Addr: "e", Pool: "p", Zone: "z", Slots: slots, Engine: true}})
	return c
}

// A restarted host has no runs in progress. A stream of its earlier process that arrives late must not restore the runs of that
// process, whose places would never be released.
func TestSupersededProcessIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(2)
		first := join(ctx, c, "h", 3)
		first.ask(1)
		first.ask(2)
		got := []any{first.grantCount()}
		second := join(ctx, c, "h", 4)
		late := join(ctx, c, "h", 3)
		var superseded *coordinator.SupersededError
		got = append(got, errors.As(<-late.ended, &superseded))
		second.ask(1)
		second.ask(2)
		got = append(got, second.grantCount())
		first.ask(3) // the stream of the earlier process is still open
		time.Sleep(time.Second)
		got = append(got, first.grantCount())
		if diff := cmp.Diff([]any{2, true, 2, 0}, got); diff != "" {
			t.Errorf("grants, superseded stream rejected, grants of the new process, grants of the old process (-want +got):\n%s", diff)
		}
		cancel()
		for _, e := range []*entryHost{first, second} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}

// A host reconnects before the places of its last stream are released. Runs that it reports again must not be counted twice, and
// the places of the other runs must be free.
func TestHostReconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(3)
		e := join(ctx, c, "h", 1)
		for ticket := range uint64(3) {
			e.ask(ticket + 1)
		}
		got := []int{e.grantCount()}
		close(e.reports)
		<-e.ended
		reconnected := join(ctx, c, "h", 1)
		reconnected.reports <- &coordinatorpb.Report{Runs: []*coordinatorpb.Run{{
			Ticket: 1, Shard: &coordinatorpb.Shard{Pool: "p"}, Endpoint: coordinator.Digest("e"), Work: &coordinatorpb.Work{Prompt: 1, Output: 1},
		}}}
		synctest.Wait()
		other := join(ctx, c, "other", 1)
		for ticket := range uint64(3) {
			other.ask(ticket + 1)
		}
		got = append(got, other.grantCount())
		time.Sleep(2 * time.Second)
		other.ask(9)
		got = append(got, other.grantCount())
		if diff := cmp.Diff([]int{3, 2, 0}, got); diff != "" {
			t.Errorf("grants (-want +got):\n%s", diff)
		}
		cancel()
		for _, e := range []*entryHost{reconnected, other} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}

// A coordinator that reaches no majority of the control hosts may be partitioned together with a few entry hosts, and would
// assign places that the other coordinators also assign.
func TestMinorityIsNotReady(t *testing.T) {
	c := newCoordinator(1)
	alone := c.Ready()
	c.Peers = func() []sharder.Host { return []sharder.Host{{ID: "a"}, {ID: "b"}} }
	if diff := cmp.Diff([]bool{true, false}, []bool{alone, c.Ready()}); diff != "" {
		t.Errorf("ready as the only control host, ready in a minority (-want +got):\n%s", diff)
	}
}

// A coordinator that loses the majority ends its sessions. Otherwise it would assign places that others also assign, and admit
// requests without reports of the usage by other hosts.
func TestMinorityClosesSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(1)
		var cut atomic.Bool
		c.Peers = func() []sharder.Host {
			if !cut.Load() {
				return nil
			}
			return []sharder.Host{{ID: "a"}, {ID: "b"}}
		}
		e := join(ctx, c, "h", 1)
		running := make(chan error, 1)
		go func() { running <- c.Run(ctx) }()
		time.Sleep(2 * time.Second)
		select {
		case <-e.ended:
			t.Error("session ended although the coordinator reaches a majority")
		default:
		}
		cut.Store(true)
		time.Sleep(time.Second)
		select {
		case <-e.ended:
		default:
			t.Error("session still open after the coordinator lost the majority")
			close(e.reports)
			<-e.ended
		}
		cancel()
		<-running
		time.Sleep(time.Second)
	})
}

// receivedCrashes returns the fingerprints of the crashes received by the host since the last call.
func (e *entryHost) receivedCrashes() []uint64 {
	out := []uint64{}
	for {
		select {
		case o := <-e.orders:
			for _, c := range o.GetCrashes() {
				out = append(out, c.GetRequest())
			}
		default:
			return out
		}
	}
}

// A request that crashes endpoints must not be unrestricted on hosts that join later: the coordinator sends them the crashes,
// also when the host that reported them is gone.
func TestCrashesAreSentToJoiningHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(1)
		first := join(ctx, c, "a", 1)
		first.reports <- &coordinatorpb.Report{Crashes: []*coordinatorpb.Crash{{Request: 7, Endpoint: 1}, {Request: 7, Endpoint: 2}}}
		synctest.Wait()
		close(first.reports)
		<-first.ended
		time.Sleep(2 * time.Minute)
		later := join(ctx, c, "b", 1)
		if diff := cmp.Diff([]uint64{7, 7}, later.receivedCrashes()); diff != "" {
			t.Errorf("crashes sent to a host that joins later (-want +got):\n%s", diff)
		}
		cancel()
		close(later.reports)
		<-later.ended
		time.Sleep(time.Second)
	})
}

// directNetwork delivers peer reports to one coordinator.
type directNetwork struct{ to *coordinator.Coordinator }

func (d directNetwork) Call(_ context.Context, _, _ string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := d.to.HandlePeer(payload)
	return errors.Join(err, proto.Unmarshal(answer, resp))
}

// A restarted coordinator must receive the known crashes from its peers. Otherwise the hosts that join it run a request that
// crashes endpoints.
func TestCrashesAreSentToRestartedCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := func() *coordinator.Coordinator {
			c := &coordinator.Coordinator{HostID: "b", Network: unreachableNetwork{}, Peers: func() []sharder.Host { return nil }}
			c.Init()
			c.SetEndpoints(endpointList)
			return c
		}
		first := start()
		a := &coordinator.Coordinator{HostID: "a", Peers: func() []sharder.Host { return []sharder.Host{{ID: "b"}} }}
		a.Network = directNetwork{to: first}
		a.Init()
		a.SetEndpoints(endpointList)
		running := make(chan error, 1)
		runCtx, stop := context.WithCancel(ctx)
		go func() { running <- a.Run(runCtx) }()
		time.Sleep(time.Second)
		host := join(ctx, a, "h", 1)
		host.reports <- &coordinatorpb.Report{Crashes: []*coordinatorpb.Crash{{Request: 7, Endpoint: 1}}}
		time.Sleep(time.Second)
		// The next process of b reports, and is reached without a failed call in between.
		stop()
		<-running
		second := start()
		a.Network = directNetwork{to: second}
		payload, _ := proto.Marshal(&coordinatorpb.PeerReport{Host: "b", Process: 12345})
		if _, err := a.HandlePeer(payload); err != nil {
			t.Fatal(err)
		}
		go func() { running <- a.Run(ctx) }()
		time.Sleep(time.Second)
		joined := join(ctx, second, "i", 1)
		if diff := cmp.Diff([]uint64{7}, joined.receivedCrashes()); diff != "" {
			t.Errorf("crashes sent by a restarted coordinator (-want +got):\n%s", diff)
		}
		cancel()
		<-running
		for _, e := range []*entryHost{host, joined} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}

// A request that was answered after its first crash must not stay suspect on other hosts or on hosts that join later. A request
// that has crashed two endpoints is not cleared by one answer.
func TestClearedRequestsAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(1)
		first, second := join(ctx, c, "a", 1), join(ctx, c, "b", 1)
		first.reports <- &coordinatorpb.Report{
			Crashes: []*coordinatorpb.Crash{{Request: 7, Endpoint: 1}, {Request: 8, Endpoint: 1}, {Request: 8, Endpoint: 2}},
		}
		synctest.Wait()
		first.reports <- &coordinatorpb.Report{Cleared: []uint64{7, 8, 9}}
		synctest.Wait()
		var cleared []uint64
		for len(second.orders) > 0 {
			cleared = append(cleared, (<-second.orders).GetCleared()...)
		}
		later := join(ctx, c, "c", 1)
		if diff := cmp.Diff([]any{[]uint64{7}, []uint64{8, 8}}, []any{cleared, later.receivedCrashes()}); diff != "" {
			t.Errorf("cleared at another host, crashes sent to a host that joins later (-want +got):\n%s", diff)
		}
		cancel()
		for _, e := range []*entryHost{first, second, later} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}

// Guards against a grant at an endpoint of another software version than the stream has, and against one that does not state the
// version, without which the host cannot detect that its list differs.
func TestGrantStatesVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(1)
		list := []balancer.Endpoint{endpointList[0], endpointList[0]}
		list[1].ID, list[0].Version, list[1].Version = "e2", "v1", "v2"
		c.SetEndpoints(list)
		h := join(ctx, c, "h", 1)
		for ticket, work := range []*coordinatorpb.Work{{Bound: true, Version: "v2"}, {Bound: true, Version: "v2"}, {}, {Bound: true, Version: "v3"}} {
			h.reports <- &coordinatorpb.Report{Asks: []*coordinatorpb.Ask{{
				Ticket: uint64(ticket), Shard: &coordinatorpb.Shard{Pool: "p"}, PatienceMs: 100, Work: work,
			}}}
			time.Sleep(time.Second)
		}
		var got []string
		for len(h.orders) > 0 {
			o := <-h.orders
			for _, g := range o.GetGrants() {
				got = append(got, g.GetVersion())
			}
			for _, r := range o.GetRefusals() {
				got = append(got, r.GetReason())
			}
		}
		if diff := cmp.Diff([]string{"v2", "waited", "v1", "no_endpoint"}, got); diff != "" {
			t.Errorf("versions of the grants, reasons of the refusals (-want +got):\n%s", diff)
		}
		cancel()
		close(h.reports)
		<-h.ended
		time.Sleep(time.Second)
	})
}

// Guards against a run in progress that is not counted, and whose place is granted again, because the host that placed it lists
// another software version of the endpoint.
func TestBoundRunOfAnotherListTakesPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(1)
		h := join(ctx, c, "h", 1)
		h.reports <- &coordinatorpb.Report{Runs: []*coordinatorpb.Run{{
			Ticket: 1, Shard: &coordinatorpb.Shard{Pool: "p"}, Endpoint: coordinator.Digest("e"), Work: &coordinatorpb.Work{Bound: true, Version: "v1"},
		}}}
		h.ask(2)
		got := []int{h.grantCount()}
		h.reports <- &coordinatorpb.Report{Ends: []*coordinatorpb.End{{Ticket: 1}}}
		synctest.Wait()
		got = append(got, h.grantCount())
		if diff := cmp.Diff([]int{0, 1}, got); diff != "" {
			t.Errorf("grants during and after the run (-want +got):\n%s", diff)
		}
		cancel()
		close(h.reports)
		<-h.ended
		time.Sleep(time.Second)
	})
}
