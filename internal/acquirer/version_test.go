package acquirer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// setVersions sets the software version of each endpoint by its number, for all coordinators and hosts.
func (f *fixture) setVersions(version func(i int) string) {
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
	f.locals[host].Update(func(b *balancer.Balancer) { b.SetEndpoints(list) })
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
		f.setVersions(alternating)
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
