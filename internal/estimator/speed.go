package estimator

import "time"

const (
	// gapGain weighs a new measurement. One in eight follows a change of speed within a few answers and still averages
	// over single long steps.
	gapGain = 0.125
	// prefillMemory is the prompt tokens over which prefill is averaged. Tokens and seconds are averaged apart, since a
	// mean of rates is too high when short and long waits mix.
	prefillMemory = 8192.0
	// priorPrefill and priorGap describe an endpoint about which nothing is known; the prior counts as priorTokens.
	priorPrefill = 4000.0
	priorTokens  = 512.0
	priorGap     = 25 * time.Millisecond
	// minQueued is the number of queued tokens below which a first token measures the decode step, not the prefill.
	minQueued = 32
)

// Speed is what has been learned about one endpoint.
type Speed struct {
	tokens, seconds float64 // recent prefill
	gap             float64 // seconds between tokens under the recent load
	prefillSamples  int
	gapSamples      int
	bestPrefill     float64 // least seconds per prompt token since the last call of Best
	bestGap         float64
}

// NewSpeed returns the speed of an endpoint about which nothing is known.
func NewSpeed() *Speed {
	return &Speed{tokens: priorTokens, seconds: priorTokens / priorPrefill, gap: priorGap.Seconds()}
}

// ObserveFirstToken records the time to the first token, with the prompt tokens that were queued at the endpoint when
// the run started, its own included.
func (s *Speed) ObserveFirstToken(queued int, took time.Duration) {
	if took <= 0 || queued < minQueued {
		return
	}
	s.prefillSamples++
	s.bestPrefill = least(s.bestPrefill, took.Seconds()/float64(queued))
	s.tokens += float64(queued)
	s.seconds += max((took - s.Gap()).Seconds(), took.Seconds()/2)
	if s.tokens > prefillMemory {
		s.seconds *= prefillMemory / s.tokens
		s.tokens = prefillMemory
	}
}

// ObserveGap records the mean time between tokens over some tokens.
func (s *Speed) ObserveGap(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.gapSamples++
	s.bestGap = least(s.bestGap, took.Seconds()/float64(tokens))
	s.gap += max(gapGain, 1/float64(s.gapSamples)) * (took.Seconds()/float64(tokens) - s.gap)
}

// Prefill returns prompt tokens per second.
func (s *Speed) Prefill() float64 { return max(s.tokens/s.seconds, 1) }

// Gap returns the time between tokens of one run under the recent load.
func (s *Speed) Gap() time.Duration { return time.Duration(s.gap * float64(time.Second)) }

// Samples returns the number of measurements of prefill and gap.
func (s *Speed) Samples() (prefill, gap int) { return s.prefillSamples, s.gapSamples }

// Best returns the least seconds per prompt token and between tokens since the last call, and zero for what was not
// measured. A healthy endpoint with a queue has quick moments, which a slow one has not.
func (s *Speed) Best() (prefill, gap float64) {
	prefill, gap = s.bestPrefill, s.bestGap
	s.bestPrefill, s.bestGap = 0, 0
	return prefill, gap
}

func least(a, b float64) float64 {
	if a == 0 {
		return b
	}
	return min(a, b)
}
