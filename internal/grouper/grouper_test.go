package grouper_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/grouper"
)

// TestWaiting guards against waiting members in the wrong order, and against groups that are kept without members or deleted
// with members.
func TestWaiting(t *testing.T) {
	groups := grouper.New[string]()
	if groups.Get("k").Waiting() != nil || groups.Get("k").Running() != nil {
		t.Error("an unknown group has members")
	}
	g := groups.Ensure("k")
	g.AddWaiting("a")
	b := g.AddWaiting("b")
	g.AddWaiting("c")
	g.RemoveWaiting(b)
	g.RemoveWaiting(b)
	g.RemoveWaiting(nil)
	if diff := cmp.Diff([]string{"a", "c"}, g.Waiting()); diff != "" {
		t.Error(diff)
	}
	groups.Prune("k")
	if groups.Ensure("k") != g {
		t.Error("a group with waiting members was deleted")
	}
	run := groups.Ensure("run")
	run.AddRunning("r")
	groups.Prune("run")
	if groups.Get("run") != run {
		t.Error("a group with a running member was deleted")
	}
	run.RemoveRunning("r")
	groups.Prune("run")
	if groups.Get("run") != nil {
		t.Error("an empty group was kept")
	}
}

// TestNext guards against releasing all held members while one runs, and against members that stay held after the last run.
func TestNext(t *testing.T) {
	g := grouper.New[int]().Ensure("k")
	for m := range 7 {
		g.AddHeld(m)
	}
	g.RemoveHeld(1)
	g.RemoveHeld(9)
	g.AddRunning(10)
	g.AddRunning(11)
	g.RemoveRunning(10)
	if diff := cmp.Diff([]int{0, 2, 3, 4}, g.NextReleased()); diff != "" {
		t.Error(diff)
	}
	g.RemoveRunning(11)
	if got := len(g.NextReleased()); got != 6 || g.HeldCount() != 6 {
		t.Errorf("%d of %d held members are released after the last run, want 6 of 6", got, g.HeldCount())
	}
}
