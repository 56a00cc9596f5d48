package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// Guards against an endpoint that no host may use because one host cannot connect to it, while it answers the others. An endpoint that
// answers nobody must still rest after a failed connect.
func TestUnreachableForOneHost(t *testing.T) {
	for _, test := range []struct {
		name string
		// answers is true if the endpoint answers the other host meanwhile.
		answers bool
		// want are the grants at once: of the other host, of the host that could not connect, and of both half a second later.
		want []int
	}{
		{"answers another host", true, []int{1, 0, 1, 1}},
		{"answers nobody", false, []int{0, 0, 1, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newCoordinator(4)
				c.SetEndpoints([]balancer.Endpoint{{ID: "e", Addr: "e", Pool: "p", Zone: "z", Slots: 8}})
				cut, other := join(ctx, c, "a", 1), join(ctx, c, "b", 1)
				end := func(host *entryHost, ticket uint64, o coordinatorpb.End_Outcome) {
					host.reports <- &coordinatorpb.Report{Ends: []*coordinatorpb.End{{Ticket: ticket, Outcome: o}}}
					synctest.Wait()
				}
				cut.ask(1)
				cut.grantCount()
				other.ask(1)
				other.grantCount()
				if test.answers {
					end(other, 1, coordinatorpb.End_ANSWERED)
				} else {
					end(other, 1, coordinatorpb.End_ABANDONED)
				}
				end(cut, 1, coordinatorpb.End_UNREACHABLE)
				var got []int
				for i, host := range []*entryHost{other, cut} {
					host.ask(uint64(2 + i))
					got = append(got, host.grantCount())
				}
				// The waiting requests end before the next ones.
				time.Sleep(600 * time.Millisecond)
				for _, host := range []*entryHost{other, cut} {
					host.grantCount()
					host.ask(10)
					got = append(got, host.grantCount())
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("grants (-want +got):\n%s", diff)
				}
				cancel()
				for _, e := range []*entryHost{cut, other} {
					close(e.reports)
					<-e.ended
				}
				time.Sleep(time.Second)
			})
		})
	}
}
