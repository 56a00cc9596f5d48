// Package clocker tells a time that goes on while the machine is suspended.
//
// The steady clock of Go stands still then. A host that wakes after seconds would believe that a lease or a confirmation from
// before is still valid, and act on a configuration that others have replaced meanwhile.
package clocker

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// least is the shortest suspension that counts. The two clocks are read one after the other, and shorter differences mean
// nothing to leases of hundreds of milliseconds.
const least = 20 * time.Millisecond

// Clock adds up suspensions. Its methods are safe for concurrent use; a nil Clock is that of this machine.
type Clock struct {
	// Suspended returns how long the machine has been suspended since some moment.
	Suspended func() time.Duration

	seen  atomic.Int64
	first atomic.Int64
	begun atomic.Bool
}

var system = &Clock{Suspended: suspended}

// Now returns the current time. Differences between its results include the time that the machine was suspended; clock steps
// do not move it.
func Now() time.Time { return system.Now() }

// Since returns the time since a result of Now.
func Since(t time.Time) time.Duration { return system.Since(t) }

// Since returns the time since a result of Now.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Now returns the current time of the clock.
func (c *Clock) Now() time.Time {
	if c == nil {
		c = system
	}
	total := int64(c.Suspended())
	if c.begun.CompareAndSwap(false, true) {
		c.first.Store(total)
		c.seen.Store(total)
	}
	for {
		seen := c.seen.Load()
		if total < seen+int64(least) || c.seen.CompareAndSwap(seen, total) {
			break
		}
	}
	return time.Now().Add(time.Duration(c.seen.Load() - c.first.Load()))
}

// suspended returns how long the machine has been suspended since its boot.
func suspended() time.Duration {
	var boot, steady unix.Timespec
	// In this order a pause between the readings makes the result smaller, and Now ignores it.
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0 // Linux has had both clocks since 2.6.39; without them no suspension can be seen.
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
