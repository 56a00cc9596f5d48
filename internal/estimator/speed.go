package estimator

import "time"

const (
	// speedGain weighs a new measurement. One in eight follows a change of speed within a few answers and still
	// averages over single long steps.
	speedGain = 0.125
	// priorPrefill and priorGap describe an endpoint about which nothing is known.
	priorPrefill = 4000.0
	priorGap     = 25 * time.Millisecond
)

// Speed is what has been learned about one endpoint.
type Speed struct {
	prefill        float64 // prompt tokens per second
	gap            float64 // seconds between tokens under the recent load
	prefillSamples int
	gapSamples     int
}

// NewSpeed returns the speed of an endpoint about which nothing is known.
func NewSpeed() *Speed {
	return &Speed{prefill: priorPrefill, gap: priorGap.Seconds()}
}

// ObserveFirstToken records the time to the first token, with the prompt tokens that were queued at the endpoint when
// the run started, its own included.
func (s *Speed) ObserveFirstToken(queued int, took time.Duration) {
	if took <= 0 || queued < 32 {
		// A handful of tokens measures the decode step, not the prefill.
		return
	}
	rate := float64(queued) / max((took-s.Gap()).Seconds(), took.Seconds()/2)
	s.prefillSamples++
	s.prefill += gain(s.prefillSamples) * (rate - s.prefill)
}

// ObserveGap records the mean time between tokens over some tokens.
func (s *Speed) ObserveGap(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.gapSamples++
	s.gap += gain(s.gapSamples) * (took.Seconds()/float64(tokens) - s.gap)
}

// gain averages evenly over the first measurements.
func gain(samples int) float64 { return max(speedGain, 1/float64(samples)) }

// Prefill returns prompt tokens per second.
func (s *Speed) Prefill() float64 { return max(s.prefill, 1) }

// Gap returns the time between tokens of one run under the recent load.
func (s *Speed) Gap() time.Duration { return time.Duration(s.gap * float64(time.Second)) }

// Samples returns the number of measurements of prefill and gap.
func (s *Speed) Samples() (prefill, gap int) { return s.prefillSamples, s.gapSamples }
