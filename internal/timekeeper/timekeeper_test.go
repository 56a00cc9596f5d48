package timekeeper_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/timekeeper"
)

// TestOrder guards against timers that run early, out of order or after Stop, and against a due timer added by another timer
// that runs only in the next call of Run.
func TestOrder(t *testing.T) {
	timers := timekeeper.New()
	var got []string
	set := func(at time.Duration, name string) *timekeeper.Handle {
		return timers.At(at, func() { got = append(got, name) })
	}
	set(2, "c")
	set(1, "a")
	set(1, "b")
	timers.Stop(set(1, "stopped"))
	timers.Stop(nil)
	set(3, "later")
	timers.At(2, func() { set(2, "d") })
	timers.Run(2)
	if diff := cmp.Diff([]string{"a", "b", "c", "d"}, got); diff != "" {
		t.Error(diff)
	}
}
