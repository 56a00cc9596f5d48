package gatekeeper_test

import (
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/gatekeeper"
)

// TestRequestPermit guards against permit requests that are repeated too often, and against a request for a less urgent tier that
// replaces one for a more urgent tier.
func TestRequestPermit(t *testing.T) {
	g := gatekeeper.New()
	for _, c := range []struct {
		at    time.Duration
		order int
		want  bool
	}{
		{0, 2, true},
		{500 * time.Millisecond, 2, false},
		{500 * time.Millisecond, 1, true},
		{2 * time.Second, 2, false},
		{4 * time.Second, 2, true},
	} {
		if got := g.RequestPermit(c.at, c.order); got != c.want {
			t.Errorf("at %v: RequestPermit(tier %d) = %v, want %v", c.at, c.order, got, c.want)
		}
	}
}

// TestPermit guards against shedding a tier without a permit or after its expiry, and against a permit that is cut short by a
// shorter one.
func TestPermit(t *testing.T) {
	g := gatekeeper.New()
	if !g.MayShed(0, 3, 3) || g.MayShed(0, 1, 3) {
		t.Error("MayShed without a permit is not true for the least urgent tier only")
	}
	g.AddPermit(0, 1, 2*time.Second)
	g.AddPermit(0, 1, time.Second)
	if !g.MayShed(1500*time.Millisecond, 1, 3) || g.MayShed(2*time.Second, 1, 3) || g.MayShed(0, 2, 3) {
		t.Error("MayShed is not true exactly for the permitted tier until the permit expires")
	}
}

// TestLevel guards against confirming a level that still has requests, confirming it twice, or not confirming it after it was
// set again, and against cancelling runs before the drain period has passed.
func TestLevel(t *testing.T) {
	g := gatekeeper.New()
	g.SetLevel(0, 3, 3)
	if g.Active() || g.Closed(3) {
		t.Error("the level of the least urgent tier closes a tier")
	}
	g.SetLevel(time.Second, 1, 3)
	if !g.Active() || !g.Closed(2) || g.Closed(1) {
		t.Error("level 1 does not close tier 2, or closes tier 1")
	}
	if g.CancelDue(3*time.Second) || !g.CancelDue(4*time.Second) || g.CancelDue(4050*time.Millisecond) {
		t.Error("CancelDue is not true after the drain period and then once per interval")
	}
	if _, ok := g.Confirm(3, 3, true); ok {
		t.Error("level confirmed while all tiers have requests")
	}
	if below, ok := g.Confirm(0, 3, false); !ok || below != 1 {
		t.Errorf("Confirm = %d, %v, want 1, true", below, ok)
	}
	if _, ok := g.Confirm(0, 3, false); ok {
		t.Error("the same level was confirmed twice")
	}
	g.SetLevel(5*time.Second, 1, 3)
	if _, ok := g.Confirm(0, 3, false); !ok {
		t.Error("level not confirmed after it was set again")
	}
}
