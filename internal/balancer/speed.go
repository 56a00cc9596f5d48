package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// statedDecay is the time constant with which the weight of a reported figure decays. The speed of endpoints on shared
	// machines changes many times a second: figures 200 ms apart have a correlation of 0.5, and none after half a second.
	statedDecay = 300 * time.Millisecond
	// statedWeight is the weight of the newest figure in their moving average.
	statedWeight = 0.05
	// minMomentarySlowness and maxMomentarySlowness bound the effect of one figure, so that it neither starves nor overloads an
	// endpoint.
	minMomentarySlowness = 0.6
	maxMomentarySlowness = 1.8
)

// RecordSpeed records how long work currently takes at an endpoint by its own report, in percent of the usual time. It ignores
// values that are not positive.
func (b *Balancer) RecordSpeed(now time.Time, id string, percent float64) {
	e := b.endpoints[id]
	if e == nil || !(percent > 0) {
		return
	}
	e.statedPercent, e.statedAt = percent, now
	if e.statedMean == 0 {
		e.statedMean = percent
	}
	e.statedMean += statedWeight * (percent - e.statedMean)
	b.updateMedians(e.Pool)
}

// momentarySlowness returns the ratio of the current work time of an endpoint to its average; 1 means as usual.
func (e *endpoint) momentarySlowness(now time.Time) float64 {
	if e.statedPercent == 0 || e.statedMean == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(e.statedAt)) / float64(statedDecay))
	return min(max(1+(e.statedPercent/e.statedMean-1)*weight, minMomentarySlowness), maxMomentarySlowness)
}

// median returns the median of the positive values, or 0 if there are none.
func median(members []*endpoint, value func(*endpoint) float64) float64 {
	var values []float64
	for _, e := range members {
		if v := value(e); v > 0 {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
