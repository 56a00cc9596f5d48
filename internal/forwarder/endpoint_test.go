package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
)

// Guards against a field of the list that is lost on its way to the placement, such as the software version.
func TestJoinEndpoints(t *testing.T) {
	got := joinEndpoints([]cataloguer.Entry{{ID: "a", Pool: "p", Addr: "x:1", Zone: "z", Slots: 2, Leaving: true, Version: "v1"}}, nil)
	want := []balancer.Endpoint{{ID: "a", Pool: "p", Addr: "x:1", Zone: "z", Slots: 2, Leaving: true, Version: "v1"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("endpoints (-want +got):\n%s", diff)
	}
}
