package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// Guards against reading beyond the end of lists with different lengths, as another version might send them.
func TestUnevenLists(t *testing.T) {
	a, b := coordinator.Digest("a"), coordinator.Digest("b")
	names := map[uint64]string{a: "a", b: "b"}
	uses := &coordinatorpb.Uses{
		HistoryWorkspace: []uint64{a, b}, HistoryUnits: []uint64{1, 2, 3}, HistoryParts: 2, Workspace: []uint64{a, b}, Units: []uint64{5},
	}
	got := []any{coordinator.DecodeHistory(uses, names), coordinator.DecodeUses(uses)}
	want := []any{map[string][]float64{"a": {1, 2}}, map[uint64]float64{a: 5}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded (-want +got):\n%s", diff)
	}
}

// Guards against reading the sums of two coordinators as one series, which would count earlier use again or subtract it.
func TestSumsOfAnotherCoordinator(t *testing.T) {
	w := coordinator.Digest("w")
	names := map[uint64]string{w: "w"}
	s := &sharedUse{}
	var got []float64
	for _, step := range []struct {
		id    uint64
		units float64
	}{{1, 1000}, {1, 1300}, {2, 70}, {2, 90}, {2, 60}, {3, 5000}, {3, 5001}} {
		got = append(got, s.addIncrease(step.id, map[uint64]float64{w: step.units}, names)["w"])
	}
	if diff := cmp.Diff([]float64{0, 300, 300, 320, 320, 320, 321}, got); diff != "" {
		t.Errorf("use by other hosts (-want +got):\n%s", diff)
	}
}
