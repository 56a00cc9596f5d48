package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/gossiper/gossiperpb"
)

// Datagrams carry changes only. A peer must see the same loads as with all of them each time, also where a request has left an
// endpoint empty, and a lost datagram must not leave a place taken for good.
func TestToldLoads(t *testing.T) {
	names := map[uint32]string{digest("a"): "a", digest("b"): "b"}
	sender := &Host{}
	receiver := balancer.New("z")
	receiver.SetEndpoints([]balancer.Endpoint{{ID: "a", Pool: "p", Slots: 4}, {ID: "b", Pool: "p", Slots: 4}})
	now := time.Unix(1_000_000, 0)
	var got []int
	var sizes []int
	for _, step := range []struct {
		loads map[string]balancer.Load
		whole bool
		lost  bool
	}{
		{loads: map[string]balancer.Load{"a": {Running: 2}, "b": {Running: 1}}, whole: true},
		{loads: map[string]balancer.Load{"a": {Running: 2}, "b": {Running: 2, Unread: 150}}},
		{loads: map[string]balancer.Load{"a": {Running: 2}, "b": {Running: 2, Unread: 150}}},
		{loads: map[string]balancer.Load{"b": {Running: 2}}},
		{loads: map[string]balancer.Load{"b": {Running: 1}}, lost: true},
		{loads: map[string]balancer.Load{"b": {Running: 1}}},
		{loads: map[string]balancer.Load{"b": {Running: 1}}, whole: true},
		{loads: nil, whole: true},
	} {
		told := sender.toldLoads(step.loads, step.whole)
		sizes = append(sizes, len(told.GetEndpoint()))
		if !step.lost {
			receiver.SetPeer(now, "sender", loadsOf(told, names), told.GetWhole())
		}
		taken, _ := receiver.Places("p")
		got = append(got, taken)
	}
	if diff := cmp.Diff([]int{3, 4, 4, 2, 2, 2, 1, 0}, got); diff != "" {
		t.Errorf("places taken by the peer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{2, 1, 0, 2, 1, 0, 1, 0}, sizes); diff != "" {
		t.Errorf("endpoints told (-want +got):\n%s", diff)
	}
}

// A datagram with lists of different lengths, as another version might send, must not be read beyond its end.
func TestUnevenLists(t *testing.T) {
	names := map[uint32]string{digest("a"): "a", digest("b"): "b"}
	uses := &gossiperpb.Uses{
		HistoryWorkspace: []uint32{digest("a"), digest("b")}, HistoryUnits: []uint64{1, 2, 3}, HistoryParts: 2,
	}
	loads := &gossiperpb.Loads{
		Endpoint: []uint32{digest("a"), digest("b")}, Running: []uint32{1, 2}, Unread: []uint32{0}, Memory: []uint32{0, 0},
		PacedEndpoint: []uint32{digest("a"), digest("b")}, PaceUs: []uint32{2000},
	}
	got := []any{historyOf(uses, names), loadsOf(loads, names), pacesOf(loads, names)}
	want := []any{map[string][]float64{"a": {1, 2}}, map[string]balancer.Load{"a": {Running: 1}}, map[string]float64{"a": 2}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded (-want +got):\n%s", diff)
	}
}
