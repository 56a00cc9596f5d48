package acquirer_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// setVersionsByNumber sets the software version of each endpoint by its number, for all coordinators and hosts.
func (f *fixture) setVersionsByNumber(version func(i int) string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.endpoints {
		f.endpoints[i].Version = version(i)
	}
	for _, c := range f.coordinators {
		c.SetEndpoints(f.endpoints)
	}
	for host := range f.clients {
		f.setHostList(host, f.endpoints)
	}
}

// setHostList replaces the list of endpoints of an entry host.
func (f *fixture) setHostList(host int, list []balancer.Endpoint) {
	f.locals[host].Update(func(b *balancer.Balancer) { b.SetEndpoints(time.Now(), list) })
	f.clients[host].SetEndpoints(list)
}

// boundRequest is a request that continues a stream of a software version.
func boundRequest(version string) admitter.Request {
	return admitter.Request{
		Pool: "p", Patience: 500 * time.Millisecond, Work: balancer.Work{Prompt: 100, Output: 10, Bound: true, Version: version},
	}
}

// alternating gives even endpoints the version v1 and odd ones v2.
func alternating(i int) string { return []string{"v1", "v2"}[i%2] }

// Guards against a stream that is continued at an endpoint of another version, with a coordinator and without one, and against a
// grant that does not state the version.
func TestBoundWorkIsPlacedAtItsVersion(t *testing.T) {
	run(t, 1, 6, 4, func(f *fixture) {
		f.setVersionsByNumber(alternating)
		var got []string
		acquire := func() {
			for range 6 {
				g, err := f.clients[0].Acquire(f.ctx, boundRequest("v2"))
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, g.Choice.Endpoint.Version)
				g.End(time.Now(), false)
			}
		}
		acquire()
		for id := range f.alive {
			f.kill(id)
		}
		acquire()
		want := make([]string, 12)
		for i := range want {
			want[i] = "v2"
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("versions of the endpoints (-want +got):\n%s", diff)
		}
	})
}

// Guards against a stream of two versions, or one whose version is taken for known, while the lists of a host and the coordinator
// differ: bound work must be placed where both lists agree, and other grants must state that they differ.
func TestListsDifferInVersion(t *testing.T) {
	run(t, 1, 2, 4, func(f *fixture) {
		f.setVersionsByNumber(alternating)
		changed := slices.Clone(f.endpoints)
		changed[0].Version = "v2" // v1 for the coordinators
		f.setHostList(0, changed)
		type placement struct {
			Endpoint string
			Disputed bool
		}
		var got []placement
		for _, req := range []admitter.Request{
			boundRequest("v1"), boundRequest("v2"), // no endpoint is v1 in both lists
			{Pool: "p", Patience: time.Second, Except: map[string]bool{"e1": true}},
			{Pool: "p", Patience: time.Second, Except: map[string]bool{"e0": true}},
		} {
			g, err := f.clients[0].Acquire(f.ctx, req)
			var refused *admitter.RefusedError
			if errors.As(err, &refused) {
				got = append(got, placement{Endpoint: string(refused.Reason)})
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, placement{g.Choice.Endpoint.ID, g.VersionDisputed})
			g.End(time.Now(), false)
		}
		want := []placement{{"no_endpoint", false}, {"e1", false}, {"e0", true}, {"e1", false}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("placements (-want +got):\n%s", diff)
		}
	})
}

// Guards against a stream that is refused by the coordinator of the host's own zone, or redirected to a zone without its version,
// while endpoints of its version in another zone have room.
func TestBoundWorkInDividedPool(t *testing.T) {
	run(t, 3, 120, 1, func(f *fixture) {
		f.setVersionsByNumber(func(i int) string {
			switch i {
			case 1, 2, 5: // in other zones than the host
				return "away"
			case 0, 4: // one in its zone
				return "near"
			case 3: // only in its zone
				return "home"
			}
			return "common"
		})
		var held []*admitter.Grant
		var got []string
		place := func(host int, req admitter.Request) *admitter.Grant {
			g, err := f.clients[host].Acquire(f.ctx, req)
			var refused *admitter.RefusedError
			if errors.As(err, &refused) {
				got = append(got, "refused")
				return nil
			}
			if err != nil {
				t.Fatal(err)
			}
			held = append(held, g)
			name := g.Choice.Endpoint.Version + " in " + g.Choice.Endpoint.Zone
			if g.Choice.PlacedBy == "" {
				name += " without coordinator"
			}
			got = append(got, name)
			return g
		}
		for range 4 {
			place(0, boundRequest("away"))
		}
		slices.Sort(got) // the zones are asked in random order
		for range 3 {
			place(0, boundRequest("near"))
		}
		home := place(0, boundRequest("home"))
		// Another zone states its free places.
		if g, err := f.clients[1].Acquire(f.ctx, admitter.Request{Pool: "p", Patience: time.Second}); err == nil {
			held = append(held, g)
		}
		for range 38 {
			place(0, admitter.Request{Pool: "p", Patience: time.Second})
		}
		time.Sleep(time.Second)
		got = slices.Compact(got)
		time.AfterFunc(100*time.Millisecond, func() { home.End(time.Now(), false) })
		place(0, boundRequest("home"))
		want := []string{
			"away in z1", "away in z2", "refused", "near in z0", "near in z1", "refused", "home in z0", "common in z0", "home in z0",
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("placements, repeated ones once (-want +got):\n%s", diff)
		}
		for _, g := range held {
			if g != home {
				g.End(time.Now(), false)
			}
		}
	})
}

// Guards against a coordinator and a host that disagree on how long a leaving endpoint continues streams: the grant would be declined.
func TestBoundWorkAtLeavingEndpointAcrossHosts(t *testing.T) {
	run(t, 1, 2, 4, func(f *fixture) {
		f.setVersionsByNumber(alternating)
		f.endpoints = slices.Clone(f.endpoints)
		f.endpoints[0].Leaving = true
		f.setVersionsByNumber(alternating)
		var got []string
		for range 3 {
			g, err := f.clients[0].Acquire(f.ctx, boundRequest("v1"))
			var refused *admitter.RefusedError
			switch {
			case errors.As(err, &refused):
				got = append(got, string(refused.Reason))
			case err != nil:
				t.Fatal(err)
			case g.Choice.PlacedBy == "":
				t.Error("placed without a coordinator")
			default:
				got = append(got, g.Choice.Endpoint.ID)
				g.End(time.Now(), false)
			}
			time.Sleep(700 * time.Millisecond)
		}
		if diff := cmp.Diff([]string{"e0", "e0", "no_endpoint"}, got); diff != "" {
			t.Errorf("placements (-want +got):\n%s", diff)
		}
	})
}
