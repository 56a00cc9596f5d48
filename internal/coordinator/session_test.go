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

// stream is one end of a stream on virtual time.
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

type quiet struct{}

func (quiet) Call(context.Context, string, string, proto.Message, proto.Message) error {
	return errors.New("no host")
}

// entry is a host as the coordinator sees it.
type entry struct {
	*stream
	ended chan error
}

func join(ctx context.Context, c *coordinator.Coordinator, host string, incarnation uint64) *entry {
	e := &entry{stream: &stream{
		reports: make(chan *coordinatorpb.Report, 64), orders: make(chan *coordinatorpb.Orders, 64), done: make(chan struct{}),
	}, ended: make(chan error, 1)}
	go func() { e.ended <- c.Serve(ctx, host, "z", e.stream) }()
	e.reports <- &coordinatorpb.Report{Answer: true, Hello: &coordinatorpb.Hello{Incarnation: incarnation, AgeMs: 5000}}
	synctest.Wait()
	return e
}

func (e *entry) ask(ticket uint64) {
	e.reports <- &coordinatorpb.Report{Answer: true, Asks: []*coordinatorpb.Ask{{
		Ticket: ticket, Shard: &coordinatorpb.Shard{Pool: "p"}, PatienceMs: 100, Work: &coordinatorpb.Work{Prompt: 1, Output: 1},
	}}}
	synctest.Wait()
}

// granted returns the number of places that the host was given.
func (e *entry) granted() int {
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

var oneEndpointList = []balancer.Endpoint{{ID: "e", Addr: "e", Pool: "p", Zone: "z", Slots: 1, Engine: true}}

func oneEndpoint(slots int) *coordinator.Coordinator {
	c := &coordinator.Coordinator{HostID: "c", Network: quiet{}, Peers: func() []sharder.Host { return nil }}
	c.Init()
	c.SetEndpoints([]balancer.Endpoint{{ID: "e", Addr: "e", Pool: "p", Zone: "z", Slots: slots, Engine: true}})
	return c
}

// A host that restarts has nothing in progress, and a stream of its earlier process that arrives late must not bring back what
// that one had: its places would stay taken for good.
func TestEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := oneEndpoint(2)
		first := join(ctx, c, "h", 3)
		first.ask(1)
		first.ask(2)
		got := []any{first.granted()}
		second := join(ctx, c, "h", 4)
		late := join(ctx, c, "h", 3)
		var overtaken *coordinator.OvertakenError
		got = append(got, errors.As(<-late.ended, &overtaken))
		second.ask(1)
		second.ask(2)
		got = append(got, second.granted())
		first.ask(3) // the stream of the earlier process is still open
		time.Sleep(time.Second)
		got = append(got, first.granted())
		if diff := cmp.Diff([]any{2, true, 2, 0}, got); diff != "" {
			t.Errorf("places, refused stream, places of the next process, of the earlier one (-want +got):\n%s", diff)
		}
		cancel()
		for _, e := range []*entry{first, second} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}

// The connection of a host breaks and is opened again within the time that runs linger. What it tells again must not be counted
// twice, and what it no longer tells must be free.
func TestHostComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := oneEndpoint(3)
		e := join(ctx, c, "h", 1)
		for ticket := range uint64(3) {
			e.ask(ticket + 1)
		}
		got := []int{e.granted()}
		close(e.reports)
		<-e.ended
		again := join(ctx, c, "h", 1)
		again.reports <- &coordinatorpb.Report{Runs: []*coordinatorpb.Run{{
			Ticket: 1, Shard: &coordinatorpb.Shard{Pool: "p"}, Endpoint: coordinator.Digest("e"), Work: &coordinatorpb.Work{Prompt: 1, Output: 1},
		}}}
		synctest.Wait()
		other := join(ctx, c, "other", 1)
		for ticket := range uint64(3) {
			other.ask(ticket + 1)
		}
		got = append(got, other.granted())
		time.Sleep(2 * time.Second)
		other.ask(9)
		got = append(got, other.granted())
		if diff := cmp.Diff([]int{3, 2, 0}, got); diff != "" {
			t.Errorf("places given (-want +got):\n%s", diff)
		}
		cancel()
		for _, e := range []*entry{again, other} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}

// A coordinator that reaches no majority of the control hosts is cut off with a few entry hosts, and would fill places that the
// others fill too.
func TestMinorityIsNotReady(t *testing.T) {
	c := oneEndpoint(1)
	alone := c.Ready()
	c.Peers = func() []sharder.Host { return []sharder.Host{{ID: "a"}, {ID: "b"}} }
	if diff := cmp.Diff([]bool{true, false}, []bool{alone, c.Ready()}); diff != "" {
		t.Errorf("ready alone, ready in a minority (-want +got):\n%s", diff)
	}
}

// A coordinator that loses the majority ends its sessions: its hosts would otherwise place where others place too, and it would
// admit from allotments of which it hears nothing.
func TestMinorityEndsSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := oneEndpoint(1)
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
			t.Error("the session of a sound coordinator has ended")
		default:
		}
		cut.Store(true)
		time.Sleep(time.Second)
		select {
		case <-e.ended:
		default:
			t.Error("the session goes on in a minority")
			close(e.reports)
			<-e.ended
		}
		cancel()
		<-running
		time.Sleep(time.Second)
	})
}

// toldCrashes returns the crashes that the host was told.
func (e *entry) toldCrashes() []uint64 {
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

// Guards against a request that crashes endpoints and is free again at each host that has joined since: the crashes must be told to
// hosts that join later, also if the host that saw them is gone.
func TestCrashIsToldToHostsThatJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := oneEndpoint(1)
		first := join(ctx, c, "a", 1)
		first.reports <- &coordinatorpb.Report{Crashes: []*coordinatorpb.Crash{{Request: 7, Endpoint: 1}, {Request: 7, Endpoint: 2}}}
		synctest.Wait()
		close(first.reports)
		<-first.ended
		time.Sleep(2 * time.Minute)
		later := join(ctx, c, "b", 1)
		if diff := cmp.Diff([]uint64{7, 7}, later.toldCrashes()); diff != "" {
			t.Errorf("crashes told to a host that joins later (-want +got):\n%s", diff)
		}
		cancel()
		close(later.reports)
		<-later.ended
		time.Sleep(time.Second)
	})
}

// direct carries the reports of one coordinator to another.
type direct struct{ to *coordinator.Coordinator }

func (d direct) Call(_ context.Context, _, _ string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := d.to.HandlePeer(payload)
	return errors.Join(err, proto.Unmarshal(answer, resp))
}

// Guards against a coordinator that has started again and lets a request that crashes endpoints run at the hosts that join it.
func TestCrashIsToldToCoordinatorThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := func() *coordinator.Coordinator {
			c := &coordinator.Coordinator{HostID: "b", Network: quiet{}, Peers: func() []sharder.Host { return nil }}
			c.Init()
			c.SetEndpoints(oneEndpointList)
			return c
		}
		first := start()
		a := &coordinator.Coordinator{HostID: "a", Peers: func() []sharder.Host { return []sharder.Host{{ID: "b"}} }}
		a.Network = direct{to: first}
		a.Init()
		a.SetEndpoints(oneEndpointList)
		running := make(chan error, 1)
		runCtx, stop := context.WithCancel(ctx)
		go func() { running <- a.Run(runCtx) }()
		time.Sleep(time.Second)
		host := join(ctx, a, "h", 1)
		host.reports <- &coordinatorpb.Report{Crashes: []*coordinatorpb.Crash{{Request: 7, Endpoint: 1}}}
		time.Sleep(time.Second)
		// The next process of b is reached without a failed call in between, and tells of itself.
		stop()
		<-running
		second := start()
		a.Network = direct{to: second}
		payload, _ := proto.Marshal(&coordinatorpb.PeerReport{Host: "b", Process: 12345})
		if _, err := a.HandlePeer(payload); err != nil {
			t.Fatal(err)
		}
		go func() { running <- a.Run(ctx) }()
		time.Sleep(time.Second)
		joined := join(ctx, second, "i", 1)
		if diff := cmp.Diff([]uint64{7}, joined.toldCrashes()); diff != "" {
			t.Errorf("crashes told by a coordinator that has started again (-want +got):\n%s", diff)
		}
		cancel()
		<-running
		for _, e := range []*entry{host, joined} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}

// Guards against a request that was answered after its first crash and yet counts as suspect at hosts that did not see the answer,
// or that join later. One that has crashed two endpoints is not cleared by one answer.
func TestClearedRequestIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := oneEndpoint(1)
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
		if diff := cmp.Diff([]any{[]uint64{7}, []uint64{8, 8}}, []any{cleared, later.toldCrashes()}); diff != "" {
			t.Errorf("cleared at another host, crashes told to one that joins later (-want +got):\n%s", diff)
		}
		cancel()
		for _, e := range []*entry{first, second, later} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}
