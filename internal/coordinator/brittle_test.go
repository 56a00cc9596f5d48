package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// Guards against a coordinator that fills the queue of an endpoint which fails if it must reject requests, after one host has
// reported it or after the endpoint has rejected a request, and against one that goes on with that for good.
func TestBrittleEndpointGetsNoQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCoordinator(4)
		c.SetEndpoints([]balancer.Endpoint{{ID: "e", Addr: "e", Pool: "p", Zone: "z", Slots: 4}})
		hosts := []*entryHost{join(ctx, c, "a", 1), join(ctx, c, "b", 1)}
		ticket := uint64(0)
		// fill asks for more requests than the endpoint takes and returns how many were granted at once.
		fill := func() int {
			before := ticket
			for range 10 {
				ticket++
				hosts[1].ask(ticket)
			}
			granted := hosts[1].grantCount()
			withdrawn, ends := &coordinatorpb.Report{}, &coordinatorpb.Report{}
			for i := before + 1; i <= ticket; i++ {
				withdrawn.Withdrawn = append(withdrawn.Withdrawn, i)
				ends.Ends = append(ends.Ends, &coordinatorpb.End{Ticket: i, Outcome: coordinatorpb.End_ANSWERED})
			}
			for _, r := range []*coordinatorpb.Report{withdrawn, ends} {
				hosts[1].reports <- r
				synctest.Wait()
			}
			hosts[1].grantCount()
			return granted
		}
		got := map[string]int{"before": fill()}
		hosts[0].reports <- &coordinatorpb.Report{Notices: []*coordinatorpb.Notice{{Endpoint: coordinator.Digest("e"), Brittle: true}}}
		synctest.Wait()
		got["brittle"] = fill()
		time.Sleep(5 * time.Second)
		got["after the last notice"] = fill()
		for range 6 {
			ticket++
			hosts[0].ask(ticket)
		}
		hosts[0].grantCount()
		hosts[0].reports <- &coordinatorpb.Report{Ends: []*coordinatorpb.End{
			{Ticket: ticket, Outcome: coordinatorpb.End_REJECTED},
			{Ticket: ticket - 1, Outcome: coordinatorpb.End_REJECTED},
			{Ticket: ticket - 2, Outcome: coordinatorpb.End_ANSWERED},
			{Ticket: ticket - 3, Outcome: coordinatorpb.End_ANSWERED},
			{Ticket: ticket - 4, Outcome: coordinatorpb.End_ANSWERED},
			{Ticket: ticket - 5, Outcome: coordinatorpb.End_ANSWERED},
		}}
		synctest.Wait()
		got["after two of six were rejected"] = fill()
		time.Sleep(5 * time.Second)
		got["later"] = fill()
		want := map[string]int{"before": 6, "brittle": 4, "after the last notice": 6, "after two of six were rejected": 4, "later": 6}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("requests granted at once (-want +got):\n%s", diff)
		}
		cancel()
		for _, e := range hosts {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}
