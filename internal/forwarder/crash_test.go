package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
)

// Guards against crashes that only a lost coordinator knew of: a host tells the next one all that it knows, so that a request that
// crashes endpoints is not free at hosts that join later.
func TestCrashIsToldToNextCoordinator(t *testing.T) {
	h := &Host{gateway: &gateway.Gateway{Client: &exchanger.Client{}, Admitter: admitter.New(balancer.New("z"))}}
	h.gateway.Init()
	told := func(all bool) int {
		r := &coordinatorpb.Report{}
		h.tell(r, all)
		return len(r.GetCrashes())
	}
	h.heard(&coordinatorpb.Orders{Crashes: []*coordinatorpb.Crash{{Request: 7, Endpoint: 1}, {Request: 7, Endpoint: 2}}})
	got := []int{told(false), told(true), told(false), told(true)}
	if diff := cmp.Diff([]int{0, 2, 0, 2}, got); diff != "" {
		t.Errorf("crashes told to the same coordinator, the next one, the same, the one after it (-want +got):\n%s", diff)
	}
}
