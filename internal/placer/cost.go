package placer

import "time"

const (
	// crossZoneLatency is the round-trip time between availability zones. Each request incurs it once.
	crossZoneLatency = time.Millisecond
	// missWeight is the weight of the prefill of uncached prompt tokens. It delays the request itself, and again the other
	// requests at the endpoint.
	missWeight = 2.0
	// firstTokenWeight is the weight of the time to the first token, relative to the rest of the answer, for tiers with a
	// first-token target.
	firstTokenWeight = 3.0
	// loadFactor is the relative increase of the token gap at full load. It spreads requests, since an endpoint slows down
	// as its batch grows.
	loadFactor = 0.5
)

// Candidate is an endpoint with the inputs of the prediction.
type Candidate struct {
	// PendingPrefill is the number of prompt tokens that are dispatched to the endpoint and not yet processed.
	PendingPrefill int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// Gap is the predicted time between two output tokens.
	Gap time.Duration
	// Load is the fraction of the endpoint's limit in use.
	Load      float64
	OtherZone bool
	// Uncached is the number of prompt tokens of the request that the endpoint has to process.
	Uncached int
}

// FirstToken returns the predicted time to the first token.
func (c Candidate) FirstToken() time.Duration {
	d := time.Duration(float64(c.PendingPrefill+c.Uncached)/c.PrefillRate*float64(time.Second)) + c.Gap
	if c.OtherZone {
		d += crossZoneLatency
	}
	return d
}

// Cost returns the weighted predicted time to finish a request of the given number of output tokens, in seconds. Candidates are
// ordered by it.
func Cost(c Candidate, output int, urgent bool) float64 {
	first := c.FirstToken().Seconds() + (missWeight-1)*float64(c.Uncached)/c.PrefillRate
	rest := float64(output) * c.Gap.Seconds() * (1 + loadFactor*c.Load)
	if urgent {
		first *= firstTokenWeight
	}
	return first + rest
}
