package balancer

import (
	"math"
	"time"
)

// minEvents is the least number of events of a stream whose pace is computed.
const minEvents = 4

// Run is a request in progress at an endpoint.
type Run struct {
	endpoint      *endpoint
	work          Work
	promptBacklog int
	memoryTokens  int
	first         time.Time
	last          time.Time
	events        int
	ended         bool
	// responses is the number of responses of the endpoint when the run began.
	responses uint64
}

// Place counts a request that this balancer has placed at the chosen endpoint, also against the limit of the endpoint.
func (b *Balancer) Place(now time.Time, c Choice, w Work) *Run {
	if e, ok := b.endpoints[c.Endpoint.ID]; ok {
		b.takePermit(now, e)
		b.countVersion(e)
	}
	return b.Start(c, w)
}

// Start counts a request at an endpoint that another host has placed there.
func (b *Balancer) Start(c Choice, w Work) *Run {
	r := &Run{work: w}
	e, ok := b.endpoints[c.Endpoint.ID]
	if !ok {
		return r
	}
	r.endpoint, r.responses = e, e.responses
	e.load.Running++
	if e.Engine {
		r.memoryTokens = w.Prompt + w.Output
		r.promptBacklog = max(0, w.Prompt-c.CachedTokens)
		e.load.PromptBacklog += r.promptBacklog
		e.load.Memory += r.memoryTokens
		capacity := math.MaxInt
		if e.MemoryTokens > 0 {
			capacity = max(0, e.MemoryTokens-e.load.Memory)
		}
		e.prefixCache.Record(w.Parts, capacity)
	}
	return r
}

// RecordEvent counts an event of the stream. It returns true for the first one.
func (r *Run) RecordEvent(now time.Time) bool {
	r.events++
	r.last = now
	if r.endpoint != nil {
		r.endpoint.responses++
	}
	if r.events > 1 {
		return false
	}
	r.first = now
	r.clearBacklog()
	return true
}

// clearBacklog removes the prompt from the backlog of the endpoint.
func (r *Run) clearBacklog() {
	if r.endpoint != nil {
		r.endpoint.load.PromptBacklog -= r.promptBacklog
	}
	r.promptBacklog = 0
}

// End counts the end of a run. Set failed if the endpoint did not answer, answered with an internal error or aborted its
// answer.
func (b *Balancer) End(now time.Time, r *Run, failed bool) { b.EndWithPace(now, r, failed, r.Pace()) }

// Pace returns the mean time between two events of the run in milliseconds, or 0 if it had too few.
func (r *Run) Pace() float64 {
	if r.events < minEvents {
		return 0
	}
	return float64(r.last.Sub(r.first).Microseconds()) / 1000 / float64(r.events-1)
}

// EndWithPace counts the end of a run whose pace was measured by another host, in milliseconds.
func (b *Balancer) EndWithPace(now time.Time, r *Run, failed bool, pace float64) {
	if !r.finish() {
		return
	}
	e := r.endpoint
	e.failedConnects = 0
	if !failed {
		e.responses++
	}
	rate := e.recentFailureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	e.failureRate, e.failureRateAt = rate, now
	if failed || pace <= 0 {
		return
	}
	if e.paceCount == 0 {
		e.load.Pace = pace
	} else {
		e.load.Pace += paceWeight * (pace - e.load.Pace)
	}
	e.paceCount++
	b.updateMedians(e.Pool)
}

// EndRefused counts the end of a run that the endpoint did not begin. If replaced is true, another endpoint has answered at the
// address: this one is gone although the list still contains it, and gets no more work for replacedTimeout.
func (b *Balancer) EndRefused(now time.Time, r *Run, replaced bool) {
	if !r.finish() || !replaced {
		return
	}
	r.endpoint.unavailableUntil = now.Add(replacedTimeout)
}

// EndUnreachable counts the end of a run that could not be sent because the connect failed. The endpoint gets no work for a
// backoff that grows with each failed connect; after that it is tried by one request at a time. If the endpoint has responded to
// another request meanwhile, the fault lies between it and the host of the run.
func (b *Balancer) EndUnreachable(now time.Time, r *Run) {
	if !r.finish() || r.endpoint.responses > r.responses {
		return
	}
	e := r.endpoint
	e.failedConnects++
	wait := min(minBackoff<<min(e.failedConnects-1, maxBackoffDoublings), maxBackoff)
	e.unavailableUntil = now.Add(wait)
}

// finish removes the run from the load of its endpoint. It returns false if the run had ended before or has no endpoint.
func (r *Run) finish() bool {
	if r.ended || r.endpoint == nil {
		return false
	}
	r.ended = true
	r.clearBacklog()
	r.endpoint.load.Running--
	r.endpoint.load.Memory -= r.memoryTokens
	return true
}
