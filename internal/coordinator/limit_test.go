package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// receivedLimits returns the limits of endpoint e received by the host since the last call.
func (e *entryHost) receivedLimits() []float64 {
	out := []float64{}
	for {
		select {
		case o := <-e.orders:
			for _, l := range o.GetLimits() {
				out = append(out, l.GetPerS())
			}
		default:
			return out
		}
	}
}

// Guards against hosts that do not know the limit of an endpoint: they could not report that it was lifted, and would exceed it while
// they place requests by themselves. A coordinator that has just started must take the limits from the hosts that join it.
func TestLimitsReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(4)
		first, second := join(ctx, c, "a", 1), join(ctx, c, "b", 1)
		report := func(host *entryHost, perSecond float64) {
			host.reports <- &coordinatorpb.Report{Limits: []*coordinatorpb.EndpointLimit{{Endpoint: "e", PerS: perSecond}}}
			synctest.Wait()
		}
		report(first, 2)
		report(second, 2)
		got := map[string][]float64{"connected": second.receivedLimits()}
		first.ask(1)
		grants := []int{first.grantCount()}
		later := join(ctx, c, "c", 1)
		got["that joins later"] = later.receivedLimits()
		report(later, 0)
		got["connected, after the end"] = second.receivedLimits()
		first.ask(2)
		grants = append(grants, first.grantCount())
		restarted := newCoordinator(4)
		rejoined := &entryHost{stream: &stream{
			reports: make(chan *coordinatorpb.Report, 64), orders: make(chan *coordinatorpb.Orders, 64), done: make(chan struct{}),
		}, ended: make(chan error, 1)}
		go func() { rejoined.ended <- restarted.Serve(ctx, "a", "z", rejoined.stream) }()
		rejoined.reports <- &coordinatorpb.Report{Answer: true, Hello: &coordinatorpb.Hello{
			Incarnation: 1, AgeMs: 5000, Limits: []*coordinatorpb.EndpointLimit{{Endpoint: "e", PerS: 3}},
		}}
		synctest.Wait()
		other := join(ctx, restarted, "b", 1)
		got["of a restarted coordinator"] = other.receivedLimits()
		want := map[string][]float64{"connected": {2}, "that joins later": {2}, "connected, after the end": {0}, "of a restarted coordinator": {3}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("limits received by a host (-want +got):\n%s", diff)
		}
		// Without the limit, the waiting request is granted as well.
		if diff := cmp.Diff([]int{0, 2}, grants); diff != "" {
			t.Errorf("grants at once with the limit and without it (-want +got):\n%s", diff)
		}
		cancel()
		for _, e := range []*entryHost{first, second, later, rejoined, other} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}
