package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// WorkspaceLimits are the limits that an operator has set for one workspace; 0 means no limit.
type WorkspaceLimits struct {
	PerSecond                     float64
	Burst, MaxWaiting, MaxRunning int
}

// Workspace applies the limits of one workspace. The caller maintains Waiting and Running, the current numbers of its requests.
type Workspace struct {
	limits  WorkspaceLimits
	bucket  *rate.Limiter
	Waiting int
	Running int
}

// NewWorkspace returns a workspace with its limits.
func NewWorkspace(limits WorkspaceLimits) *Workspace {
	w := &Workspace{}
	w.SetLimits(limits)
	return w
}

// SetLimits replaces the limits. If any of them has changed, the rate limit restarts with a full burst.
func (w *Workspace) SetLimits(limits WorkspaceLimits) {
	if limits == w.limits {
		return
	}
	w.limits, w.bucket = limits, nil
	if limits.PerSecond > 0 {
		burst := limits.Burst
		if burst <= 0 {
			burst = int(math.Ceil(limits.PerSecond))
		}
		w.bucket = rate.NewLimiter(rate.Limit(limits.PerSecond), burst)
	}
}

// Admit reports whether one more request may wait. Otherwise it returns the time after which to retry.
func (w *Workspace) Admit(now time.Duration) (retryAfter time.Duration, ok bool) {
	if w.limits.MaxWaiting > 0 && w.Waiting >= w.limits.MaxWaiting {
		return time.Second, false
	}
	if w.bucket == nil {
		return 0, true
	}
	at := time.Unix(0, 0).Add(now)
	r := w.bucket.ReserveN(at, 1)
	delay := r.DelayFrom(at)
	if delay == 0 {
		return 0, true
	}
	r.CancelAt(at)
	return max(delay, time.Millisecond), false
}

// Full reports whether the workspace has reached its limit of running requests.
func (w *Workspace) Full() bool { return w.limits.MaxRunning > 0 && w.Running >= w.limits.MaxRunning }
