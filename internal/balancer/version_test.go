package balancer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// versioned returns an engine for each software version, named after it.
func versioned(versions ...string) []balancer.Endpoint {
	list := engines(versions...)
	for i := range list {
		list[i].Version = list[i].ID
	}
	return list
}

// Guards against a stream that is continued at an endpoint of another software version, or that waits because of one.
func TestBoundWork(t *testing.T) {
	later := now.Add(time.Minute)
	full := func(b *balancer.Balancer, id string) {
		for range 2 {
			b.Start(balancer.Choice{Endpoint: balancer.Endpoint{ID: id}}, balancer.Work{})
		}
	}
	long := balancer.Work{Prompt: 100, Output: 300, TokensPerEvent: 1, Deadline: later.Add(10 * time.Second)}
	prompt := balancer.Work{Prompt: 8000, Output: 60, TokensPerEvent: 6, EventGap: 200 * time.Millisecond}
	for name, tt := range map[string]struct {
		bound   string
		work    balancer.Work
		prepare func(b *balancer.Balancer)
		want    string
		usable  bool
	}{
		"another version is free":    {bound: "v1", prepare: func(b *balancer.Balancer) { full(b, "v1") }, want: "wait", usable: true},
		"no endpoint of the version": {bound: "v3", want: "wait"},
		"no version stated":          {bound: "", want: "wait"},
		"another version is in time": {bound: "v2", work: long, prepare: func(b *balancer.Balancer) { learn(b, "v1", 10); learn(b, "v2", 100) }, want: "v2", usable: true},
		"another version has no pause": {bound: "v2", work: prompt, prepare: func(b *balancer.Balancer) {
			learn(b, "v1", 20)
			learn(b, "v2", 60)
			b.Start(balancer.Choice{Endpoint: balancer.Endpoint{ID: "v2"}}, balancer.Work{Output: 60}).RecordEvent(now)
		}, want: "v2", usable: true},
		"another version has no limit": {bound: "v2", prepare: func(b *balancer.Balancer) { b.AvoidLimited = true; b.SetLimit(now, "v2", 5) }, want: "v2", usable: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := balancer.New("z")
			b.SetEndpoints(versioned("v1", "v2"))
			if tt.prepare != nil {
				tt.prepare(b)
			}
			w := tt.work
			w.Bound, w.Version = true, tt.bound
			c, ok := b.Pick(later, "p", w, nil)
			got := []any{"wait", b.Usable("p", w, nil)}
			if ok {
				got[0] = c.Endpoint.Version
			}
			if diff := cmp.Diff([]any{tt.want, tt.usable}, got); diff != "" {
				t.Errorf("version of the endpoint, usable (-want +got):\n%s", diff)
			}
		})
	}
}
