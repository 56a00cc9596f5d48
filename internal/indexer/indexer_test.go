package indexer

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// Guards against two requests that hold one key, and against keys that are still held by requests that cannot run.
func TestIndex(t *testing.T) {
	x := New()
	claim := func(now time.Duration, host, id string) string {
		return x.Claim(now, host, Claim{Workspace: "w", Key: "k", Digest: "d", RequestID: id}).RequestID
	}
	steps := []struct {
		name, want string
		do         func() string
	}{
		{"first", "a1", func() string { return claim(0, "a", "a1") }},
		{"second host", "a1", func() string { return claim(0, "b", "b1") }},
		{"host just lost", "a1", func() string {
			x.Observe(time.Second, scheduler.HostLost{Host: "a"})
			return claim(2*time.Second, "b", "b1")
		}},
		{"host lost, grants expired", "b1", func() string { return claim(4*time.Second, "b", "b1") }},
		{"running at a lost host", "b1", func() string {
			x.Observe(4*time.Second, scheduler.Started{Host: "b", RequestID: "b1", Endpoint: "e"})
			x.Observe(5*time.Second, scheduler.HostLost{Host: "b"})
			return claim(60*time.Second, "c", "c1")
		}},
		{"forgotten", "c1", func() string { return claim(10*time.Minute, "c", "c1") }},
		{"cancelled", "d1", func() string {
			x.Observe(10*time.Minute, scheduler.Cancelled{RequestID: "c1"})
			return claim(10*time.Minute, "d", "d1")
		}},
		{"declined for good", "e1", func() string {
			x.Observe(10*time.Minute, scheduler.Declined{RequestID: "d1", Reason: scheduler.DeclineGone})
			return claim(10*time.Minute, "e", "e1")
		}},
	}
	for _, s := range steps {
		if got := s.do(); got != s.want {
			t.Errorf("%s: the key is held by %q, want %q", s.name, got, s.want)
		}
	}
}

// Guards against an index that grows without limit, and against evicting a request in progress.
func TestIndexIsBounded(t *testing.T) {
	x := New()
	x.Observe(0, scheduler.Submit{Host: "h", Descriptor: scheduler.Descriptor{RequestID: "long", Workspace: "w"}})
	for i := range 4 * maxEntries {
		id := fmt.Sprint(i)
		x.Observe(0, scheduler.Submit{Host: "h", Descriptor: scheduler.Descriptor{RequestID: id, Workspace: "w", IdempotencyKey: id}})
		x.Observe(0, scheduler.Finished{RequestID: id})
	}
	if _, ok := x.Locate("long"); !ok {
		t.Error("a request in progress was evicted")
	}
	if len(x.byID) > maxEntries || len(x.byKey) > maxEntries || len(x.arrivals) > 2*maxEntries {
		t.Errorf("the index holds %d IDs, %d keys and %d arrivals", len(x.byID), len(x.byKey), len(x.arrivals))
	}
}
