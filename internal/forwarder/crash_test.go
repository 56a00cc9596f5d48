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

// Guards against losing crash counts with a coordinator. A host must report all crashes it has received to the next coordinator,
// so that a request that crashes endpoints stays quarantined on hosts that join later.
func TestCrashIsReportedToNextCoordinator(t *testing.T) {
	h := &Host{gateway: &gateway.Gateway{Client: &exchanger.Client{}, Admitter: admitter.New(balancer.New("z"))}}
	h.gateway.Init()
	reportedCrashes := func(all bool) int {
		r := &coordinatorpb.Report{}
		h.fillReport(r, all)
		return len(r.GetCrashes())
	}
	h.applyOrders(&coordinatorpb.Orders{Crashes: []*coordinatorpb.Crash{{Request: 7, Endpoint: 1}, {Request: 7, Endpoint: 2}}})
	got := []int{reportedCrashes(false), reportedCrashes(true), reportedCrashes(false), reportedCrashes(true)}
	if diff := cmp.Diff([]int{0, 2, 0, 2}, got); diff != "" {
		t.Errorf("crashes reported to the same coordinator, the next one, the same, the one after it (-want +got):\n%s", diff)
	}
}

// Guards against losing the evidence about prompt parts with a coordinator: a host must report all that it has received to the next
// one, or hosts that join later run requests with a part that crashes endpoints.
func TestEvidenceIsReportedToNextCoordinator(t *testing.T) {
	h := &Host{gateway: &gateway.Gateway{Client: &exchanger.Client{}, Admitter: admitter.New(balancer.New("z"))}}
	h.gateway.Init()
	reported := func(all bool) int {
		r := &coordinatorpb.Report{}
		h.fillReport(r, all)
		return len(r.GetEvidence())
	}
	h.applyOrders(&coordinatorpb.Orders{Evidence: []*coordinatorpb.Evidence{
		{Id: 1, Part: []uint64{7}, Endpoint: 1, Answering: true}, {Id: 2, Part: []uint64{7}, Endpoint: 2, Answering: true},
	}})
	got := []int{reported(false), reported(true), reported(false), reported(true)}
	if diff := cmp.Diff([]int{0, 2, 0, 2}, got); diff != "" {
		t.Errorf("evidence reported to the same coordinator, the next one, the same, the one after it (-want +got):\n%s", diff)
	}
}
