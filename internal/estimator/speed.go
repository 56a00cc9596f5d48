package estimator

import "time"

const (
	// gapSmoothing is the weight of a new measurement in the exponential moving average. An eighth follows a change of speed
	// within a few responses and still averages out single long steps.
	gapSmoothing = 0.125
	// prefillWindowTokens is the number of prompt tokens over which the prefill speed is averaged. Tokens and seconds are
	// averaged separately, since a mean of rates is too high when short and long waits are mixed.
	prefillWindowTokens = 8192.0
	// priorPrefill (tokens/s) and priorGap are the speeds assumed without measurements; priorPrefill has the weight of
	// priorTokens measured tokens.
	priorPrefill = 4000.0
	priorTokens  = 512.0
	priorGap     = 25 * time.Millisecond
	// minPrefillTokens is the number of queued tokens below which the time to the first token measures the decode step, not
	// the prefill.
	minPrefillTokens = 32
)

// Speed estimates the prefill and decode speed of one endpoint.
type Speed struct {
	prefillTokens, prefillSeconds float64 // measured prefill, over the last prefillWindowTokens
	gap                           float64 // seconds between tokens under the recent load
	prefillSamples                int
	gapSamples                    int
	bestPrefill                   float64 // least seconds per prompt token since the last call of TakeBest
	bestGap                       float64
}

// NewSpeed returns the estimate for an endpoint without measurements.
func NewSpeed() *Speed {
	return &Speed{prefillTokens: priorTokens, prefillSeconds: priorTokens / priorPrefill, gap: priorGap.Seconds()}
}

// ObserveFirstToken records the time to the first token, with the prompt tokens that were queued at the endpoint when
// the run started, its own included.
func (s *Speed) ObserveFirstToken(queuedTokens int, elapsed time.Duration) {
	if elapsed <= 0 || queuedTokens < minPrefillTokens {
		return
	}
	s.prefillSamples++
	s.bestPrefill = minNonzero(s.bestPrefill, elapsed.Seconds()/float64(queuedTokens))
	s.prefillTokens += float64(queuedTokens)
	s.prefillSeconds += max((elapsed - s.Gap()).Seconds(), elapsed.Seconds()/2)
	if s.prefillTokens > prefillWindowTokens {
		s.prefillSeconds *= prefillWindowTokens / s.prefillTokens
		s.prefillTokens = prefillWindowTokens
	}
}

// ObserveGap records that an endpoint generated a number of tokens of one run in the elapsed time.
func (s *Speed) ObserveGap(tokens int, elapsed time.Duration) {
	if tokens <= 0 || elapsed <= 0 {
		return
	}
	s.gapSamples++
	s.bestGap = minNonzero(s.bestGap, elapsed.Seconds()/float64(tokens))
	s.gap += max(gapSmoothing, 1/float64(s.gapSamples)) * (elapsed.Seconds()/float64(tokens) - s.gap)
}

// Prefill returns the prefill speed in prompt tokens per second, at least 1.
func (s *Speed) Prefill() float64 { return max(s.prefillTokens/s.prefillSeconds, 1) }

// Gap returns the time between tokens of one run under the recent load.
func (s *Speed) Gap() time.Duration { return time.Duration(s.gap * float64(time.Second)) }

// Samples returns the number of measurements of the prefill speed and of the gap.
func (s *Speed) Samples() (prefill, gap int) { return s.prefillSamples, s.gapSamples }

// TakeBest returns the least seconds per prompt token and between tokens since the last call, or zero without a measurement, and
// resets both. Unlike a slow endpoint, a healthy one with a queue still has some fast measurements.
func (s *Speed) TakeBest() (prefill, gap float64) {
	prefill, gap = s.bestPrefill, s.bestGap
	s.bestPrefill, s.bestGap = 0, 0
	return prefill, gap
}

func minNonzero(a, b float64) float64 {
	if a == 0 {
		return b
	}
	return min(a, b)
}
