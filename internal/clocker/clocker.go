// Package clocker provides a clock that advances while the machine is suspended.
//
// The monotonic clock of Go stops during a suspension. A host that resumes after seconds would treat a lease or a confirmation
// from before the suspension as valid, and act on a configuration that other hosts have replaced in the meantime.
package clocker

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest suspension that is counted. The two system clocks are read one after the other, so small
// differences are noise, and they do not matter for leases of hundreds of milliseconds.
const minSuspension = 20 * time.Millisecond

// Clock is a clock that includes suspensions. Its methods are safe for concurrent use; a nil Clock is the clock of this machine.
type Clock struct {
	// Suspended returns the total time that the machine has been suspended since a fixed point in time.
	Suspended func() time.Duration

	counted     atomic.Int64
	baseline    atomic.Int64
	initialized atomic.Bool
}

var systemClock = &Clock{Suspended: suspendedSinceBoot}

// Now returns the current time of this machine. Differences between results include the time that the machine was suspended;
// steps of the wall clock do not affect them.
func Now() time.Time { return systemClock.Now() }

// Since returns the time elapsed since t, which must be a result of Now.
func Since(t time.Time) time.Duration { return systemClock.Since(t) }

// Since returns the time elapsed since t, which must be a result of c.Now.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time {
	if c == nil {
		c = systemClock
	}
	total := int64(c.Suspended())
	if c.initialized.CompareAndSwap(false, true) {
		c.baseline.Store(total)
		c.counted.Store(total)
	}
	for {
		seen := c.counted.Load()
		if total < seen+int64(minSuspension) || c.counted.CompareAndSwap(seen, total) {
			break
		}
	}
	return time.Now().Add(time.Duration(c.counted.Load() - c.baseline.Load()))
}

// suspended returns how long the machine has been suspended since its boot.
func suspendedSinceBoot() time.Duration {
	var boot, monotonic unix.Timespec
	// In this order a delay between the two readings makes the result smaller, and Now ignores smaller results.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // Linux has had both clocks since 2.6.39; without them no suspension can be detected.
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
