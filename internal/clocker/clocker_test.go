package clocker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
)

// TestSuspension guards against a clock that misses a suspension, so that a host that resumes treats its leases as valid. Small
// differences between the readings of the two system clocks must not change the time, and the time must never go back.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Hour
		clock := &clocker.Clock{Suspended: func() time.Duration { return suspended }}
		start := clock.Now()
		for _, step := range []struct {
			suspendedFor, elapsed, want time.Duration
		}{
			{want: 0},
			{elapsed: time.Second, want: time.Second},
			{suspendedFor: 10 * time.Millisecond, want: time.Second},
			{suspendedFor: -10 * time.Millisecond, want: time.Second},
			{suspendedFor: 5 * time.Second, want: 6 * time.Second},
			{suspendedFor: -time.Second, want: 6 * time.Second},
			{suspendedFor: time.Second, elapsed: time.Second, want: 7 * time.Second},
		} {
			suspended += step.suspendedFor
			time.Sleep(step.elapsed)
			if got := clock.Now().Sub(start); got != step.want {
				t.Errorf("after %v suspended and %v running, elapsed time = %v, want %v", step.suspendedFor, step.elapsed, got, step.want)
			}
		}
	})
}

// TestNow checks that without a suspension the time agrees with the monotonic clock.
func TestNow(t *testing.T) {
	before := time.Now()
	now := clocker.Now()
	if d := now.Sub(before); d < 0 || d > time.Second {
		t.Errorf("difference to the monotonic clock = %v", d)
	}
	if d := clocker.Since(now); d < 0 || d > time.Second {
		t.Errorf("Since(Now()) = %v", d)
	}
}
