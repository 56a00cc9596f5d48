package gatekeeper_test

import (
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/gatekeeper"
)

// TestAsk guards against a flood of permit requests and against one for a lower tier that replaces a more urgent one.
func TestAsk(t *testing.T) {
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
		if got := g.Ask(c.at, c.order); got != c.want {
			t.Errorf("at %v, tier %d: asked %v, want %v", c.at, c.order, got, c.want)
		}
	}
}

// TestPermit guards against shedding a tier without a permit, after its end, or when a shorter one follows.
func TestPermit(t *testing.T) {
	g := gatekeeper.New()
	if !g.MayShed(0, 3, 3) || g.MayShed(0, 1, 3) {
		t.Error("only the lowest tier may be shed without a permit")
	}
	g.Permit(0, 1, 2*time.Second)
	g.Permit(0, 1, time.Second)
	if !g.MayShed(1500*time.Millisecond, 1, 3) || g.MayShed(2*time.Second, 1, 3) || g.MayShed(0, 2, 3) {
		t.Error("a permit holds for its tier until the end of its time")
	}
}

// TestLevel guards against confirming a level that is not empty, twice, or never again after a new level, and against
// cancelling runs before they had time to end.
func TestLevel(t *testing.T) {
	g := gatekeeper.New()
	g.Close(0, 3, 3)
	if g.Raised() || g.Closed(3) {
		t.Error("a level of the lowest tier closes a tier")
	}
	g.Close(time.Second, 1, 3)
	if !g.Raised() || !g.Closed(2) || g.Closed(1) {
		t.Error("a level of 1 closes tiers 2 and 3 only")
	}
	if g.CancelDue(3*time.Second) || !g.CancelDue(4*time.Second) || g.CancelDue(4050*time.Millisecond) {
		t.Error("runs are cancelled once the time to drain has passed, and then at intervals")
	}
	if _, ok := g.Confirm(3, 3, true); ok {
		t.Error("a level is confirmed while all tiers have work")
	}
	if below, ok := g.Confirm(0, 3, false); !ok || below != 1 {
		t.Errorf("confirmed %d, %v", below, ok)
	}
	if _, ok := g.Confirm(0, 3, false); ok {
		t.Error("the same level is confirmed twice")
	}
	g.Close(5*time.Second, 1, 3)
	if _, ok := g.Confirm(0, 3, false); !ok {
		t.Error("a renewed level is not confirmed")
	}
}
