package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// statedFor is the time constant with which a stated figure loses its weight. Endpoints that share their machines change
	// many times a second: two figures 200 ms apart have a correlation of 0.5, and none after half a second.
	statedFor = 300 * time.Millisecond
	// statedStep is the weight of the newest figure in their mean.
	statedStep = 0.05
	// minMoment and maxMoment bound what one figure may change, so that no endpoint is starved or flooded for it.
	minMoment = 0.6
	maxMoment = 1.8
)

// Stated takes how long work takes at an endpoint at this moment by its own word, in percent of the usual time.
func (b *Balancer) Stated(now time.Time, id string, percent float64) {
	e := b.endpoints[id]
	if e == nil || !(percent > 0) {
		return
	}
	e.stated, e.statedAt = percent, now
	if e.statedMean == 0 {
		e.statedMean = percent
	}
	e.statedMean += statedStep * (percent - e.statedMean)
	b.learnTypical(e.Pool)
}

// moment relates the speed of an endpoint at this moment to its mean; 1 means as usual.
func (e *endpoint) moment(now time.Time) float64 {
	if e.stated == 0 || e.statedMean == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(e.statedAt)) / float64(statedFor))
	return min(max(1+(e.stated/e.statedMean-1)*weight, minMoment), maxMoment)
}

// median returns the median of the values above zero, or 0.
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
