package sharder_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

func endpoints(pool string, zones, perZone int) []sharder.Endpoint {
	var out []sharder.Endpoint
	for z := range zones {
		for range perZone {
			out = append(out, sharder.Endpoint{Pool: pool, Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return out
}

// Guards against a small pool that is divided, a large one that is not, and an endpoint that is in more than one shard, where
// two hosts would fill it.
func TestShards(t *testing.T) {
	small, large := sharder.New(endpoints("p", 3, 6)), sharder.New(append(endpoints("p", 5, 41), endpoints("q", 5, 1)...))
	got := []sharder.Shard{small.HomeShard("p", "z1"), large.HomeShard("p", "z1"), large.HomeShard("q", "z1")}
	want := []sharder.Shard{{Pool: "p"}, {Pool: "p", Zone: "z1"}, {Pool: "q"}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("shards (-want +got):\n%s", diff)
	}
	for _, e := range endpoints("p", 5, 1) {
		n := 0
		for z := range 5 {
			if large.HomeShard("p", fmt.Sprintf("z%d", z)).Contains(e) {
				n++
			}
		}
		if n != 1 {
			t.Errorf("endpoint of %s is in %d shards", e.Zone, n)
		}
	}
	if home := large.HomeShard("p", "elsewhere"); home.Zone == "" || home != large.HomeShard("p", "elsewhere") {
		t.Errorf("home shard of a zone without endpoints: %+v", home)
	}
}

// Guards against an order of owners that changes among the remaining hosts when one host is lost.
func TestOwners(t *testing.T) {
	var hosts []sharder.Host
	for i := range 5 {
		hosts = append(hosts, sharder.Host{ID: fmt.Sprintf("c%d", i), Zone: fmt.Sprintf("z%d", i%3)})
	}
	before := sharder.Owners("z1", hosts)
	if before[0].Zone != "z1" || before[1].Zone != "z1" {
		t.Errorf("hosts of the zone do not come first: %v", before)
	}
	for lost := range hosts {
		rest := append(append([]sharder.Host{}, hosts[:lost]...), hosts[lost+1:]...)
		var want []sharder.Host
		for _, h := range before {
			if h.ID != hosts[lost].ID {
				want = append(want, h)
			}
		}
		if diff := cmp.Diff(want, sharder.Owners("z1", rest)); diff != "" {
			t.Errorf("order without %s (-want +got):\n%s", hosts[lost].ID, diff)
		}
	}
}
