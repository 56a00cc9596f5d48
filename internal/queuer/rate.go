package queuer

import (
	"math"
	"time"
)

// Rate is an exponentially weighted rate of tokens per second.
type Rate struct {
	sum  float64
	last time.Duration
}

// Add adds tokens at now.
func (r *Rate) Add(now time.Duration, tokens float64) {
	r.decay(now)
	r.sum += tokens
}

// PerSecond returns the rate at now.
func (r *Rate) PerSecond(now time.Duration) float64 {
	r.decay(now)
	return r.sum / rateTimeConstant.Seconds()
}

func (r *Rate) decay(now time.Duration) {
	if now <= r.last {
		return
	}
	r.sum *= math.Exp(-float64((now - r.last).Seconds() / rateTimeConstant.Seconds()))
	r.last = now
}
