package placer

import "time"

const (
	// zoneCost is the round trip between availability zones, paid once per request.
	zoneCost = time.Millisecond
	// missFactor weighs prefill that a cached prefix elsewhere would have saved. The request pays it once as delay and
	// the endpoint's other work pays it again.
	missFactor = 2.0
	// urgentFactor weighs the first token against the rest of an answer for tiers with a first-token target.
	urgentFactor = 3.0
	// loadFactor spreads work: a fuller endpoint slows down further as its batch grows.
	loadFactor = 0.5
)

// Candidate is one endpoint with what the prediction needs.
type Candidate struct {
	// PendingPrefill is the prompt tokens that are dispatched and not yet processed.
	PendingPrefill int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	Gap         time.Duration
	Load        float64
	OtherZone   bool
	// Uncached is the part of the request's prompt that the endpoint has to process.
	Uncached int
}

// FirstToken predicts the time to the first token.
func (c Candidate) FirstToken() time.Duration {
	d := time.Duration(float64(c.PendingPrefill+c.Uncached)/c.PrefillRate*float64(time.Second)) + c.Gap
	if c.OtherZone {
		d += zoneCost
	}
	return d
}

// Cost orders candidates: the predicted finish with the weights of this package, in seconds.
func Cost(c Candidate, output int, urgent bool) float64 {
	first := c.FirstToken().Seconds() + (missFactor-1)*float64(c.Uncached)/c.PrefillRate
	rest := float64(output) * c.Gap.Seconds() * (1 + loadFactor*c.Load)
	if urgent {
		first *= urgentFactor
	}
	return first + rest
}
