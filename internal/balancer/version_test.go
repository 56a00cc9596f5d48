package balancer_test

import (
	"slices"
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
			b.SetEndpoints(now, versioned("v1", "v2"))
			if tt.prepare != nil {
				tt.prepare(b)
			}
			w := tt.work
			w.Bound, w.Version = true, tt.bound
			c, ok := b.Pick(later, "p", w, nil)
			got := []any{"wait", b.Usable(now, "p", w, nil)}
			if ok {
				got[0] = c.Endpoint.Version
			}
			if diff := cmp.Diff([]any{tt.want, tt.usable}, got); diff != "" {
				t.Errorf("version of the endpoint, usable (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a stream that is refused although a leaving endpoint could still continue it, and against bound work at a leaving
// endpoint for too long, while another one of its version stays, or while it holds this host off.
func TestBoundWorkAtLeavingEndpoint(t *testing.T) {
	bound := balancer.Work{Bound: true, Version: "v1"}
	type step func(b *balancer.Balancer, at time.Time)
	list := func(leaving ...string) step {
		return func(b *balancer.Balancer, at time.Time) {
			var listed []balancer.Endpoint
			for _, e := range versioned("v1", "v2") {
				if e.Leaving = slices.Contains(leaving, e.ID); e.ID == "v2" && slices.Contains(leaving, "other") {
					e.Version = "v1"
				}
				listed = append(listed, e)
			}
			b.SetEndpoints(at, listed)
		}
	}
	announce := func(b *balancer.Balancer, at time.Time) { b.MarkLeaving(at, "v1") }
	for name, tt := range map[string]struct {
		steps []step // 100 ms apart
		work  balancer.Work
		after time.Duration
		want  string
	}{
		"listed as leaving":              {steps: []step{list(), list("v1")}, work: bound, want: "v1"},
		"at the end of the grace":        {steps: []step{list(), list("v1")}, work: bound, after: time.Second, want: "v1"},
		"after the grace":                {steps: []step{list(), list("v1")}, work: bound, after: 1001 * time.Millisecond, want: "refused"},
		"announced":                      {steps: []step{list(), announce}, work: bound, after: time.Second, want: "v1"},
		"announced and listed later":     {steps: []step{list(), announce, list("v1")}, work: bound, after: time.Second, want: "refused"},
		"listed and announced later":     {steps: []step{list(), list("v1"), announce}, work: bound, after: time.Second, want: "refused"},
		"returned and left again":        {steps: []step{list(), list("v1"), list(), list("v1")}, work: bound, after: time.Second, want: "v1"},
		"leaving when first listed":      {steps: []step{list("v1")}, work: bound, want: "refused"},
		"another one of the version":     {steps: []step{list("other"), list("other", "v1")}, work: bound, want: "v2"},
		"unbound work":                   {steps: []step{list(), list("v1", "v2")}, want: "refused"},
		"all of the version are leaving": {steps: []step{list("other"), list("other", "v1", "v2")}, work: bound, want: "v1"},
		"rejected this host": {steps: []step{list(), list("v1"), func(b *balancer.Balancer, at time.Time) {
			b.MarkRejected(at, "v1", time.Minute)
		}}, work: bound, want: "wait"},
	} {
		t.Run(name, func(t *testing.T) {
			b, at := balancer.New("z"), now
			for i, s := range tt.steps {
				at = now.Add(time.Duration(i) * 100 * time.Millisecond)
				s(b, at)
			}
			at = at.Add(tt.after)
			got := "wait"
			if c, ok := b.Pick(at, "p", tt.work, nil); ok {
				got = c.Endpoint.ID
			} else if !b.Usable(at, "p", tt.work, nil) {
				got = "refused"
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("placement (-want +got):\n%s", diff)
			}
			if placed := got == "v1"; b.Admits(at, "v1", tt.work) != placed {
				t.Errorf("admits work of other hosts: %t, want %t", !placed, placed)
			}
		})
	}
}
