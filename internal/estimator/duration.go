package estimator

import "time"

const (
	// durationSmoothing and deviationSmoothing are the weights of a new observation in the averages of a Duration, and
	// deviationFactor how many mean deviations Bound lies above the mean. With 2, about 19 of 20 normally distributed durations are below it.
	durationSmoothing  = 0.125
	deviationSmoothing = 0.25
	deviationFactor    = 2
)

// Duration estimates how long an operation takes. The zero value has no observations.
type Duration struct {
	mean, deviation float64 // seconds
	observed        bool
}

// Observe records the duration of one operation.
func (d *Duration) Observe(took time.Duration) {
	s := took.Seconds()
	if !d.observed {
		d.mean, d.deviation, d.observed = s, s/4, true
		return
	}
	difference := s - d.mean
	if difference < 0 {
		d.deviation += deviationSmoothing * (-difference - d.deviation)
	} else {
		d.deviation += deviationSmoothing * (difference - d.deviation)
	}
	d.mean += durationSmoothing * difference
}

// Bound returns a time within which most operations end. It returns false without observations.
func (d *Duration) Bound() (time.Duration, bool) {
	return time.Duration((d.mean + deviationFactor*d.deviation) * float64(time.Second)), d.observed
}
