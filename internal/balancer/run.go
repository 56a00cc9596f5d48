package balancer

import (
	"math"
	"time"
)

// minEvents is the number of events from which the pace of a stream is known.
const minEvents = 4

// Run is a request in progress at an endpoint.
type Run struct {
	endpoint *endpoint
	work     Work
	unread   int
	memory   int
	first    time.Time
	last     time.Time
	events   int
	ended    bool
}

// Start counts a request that is sent to the endpoint of a choice.
func (b *Balancer) Start(c Choice, w Work) *Run {
	r := &Run{work: w}
	e, ok := b.endpoints[c.Endpoint.ID]
	if !ok {
		return r
	}
	r.endpoint = e
	e.own.Running++
	if e.Engine {
		r.memory = w.Prompt + w.Output
		r.unread = max(0, w.Prompt-c.Kept)
		e.own.Unread += r.unread
		e.own.Memory += r.memory
		capacity := math.MaxInt
		if e.MemoryTokens > 0 {
			capacity = max(0, e.MemoryTokens-e.own.Memory)
		}
		e.memory.Use(w.Parts, capacity)
	}
	return r
}

// Event counts an event of a stream. It returns true for the first one.
func (r *Run) Event(now time.Time) bool {
	r.events++
	r.last = now
	if r.events > 1 {
		return false
	}
	r.first = now
	r.read()
	return true
}

// read notes that the prompt no longer delays others.
func (r *Run) read() {
	if r.endpoint != nil {
		r.endpoint.own.Unread -= r.unread
	}
	r.unread = 0
}

// End counts the end of a run. Failed is true if the endpoint broke its answer off, did not answer or answered with a failure
// of its own.
func (b *Balancer) End(now time.Time, r *Run, failed bool) { b.EndPaced(now, r, failed, r.Pace()) }

// Pace returns the time between two events of a run in milliseconds, or 0 if it had too few.
func (r *Run) Pace() float64 {
	if r.events < minEvents {
		return 0
	}
	return float64(r.last.Sub(r.first).Microseconds()) / 1000 / float64(r.events-1)
}

// EndPaced counts the end of a run whose pace another host has measured.
func (b *Balancer) EndPaced(now time.Time, r *Run, failed bool, pace float64) {
	if !r.release() {
		return
	}
	e := r.endpoint
	e.unreachable = 0
	rate := e.failing(now) * (1 - failureStep)
	if failed {
		rate += failureStep
	}
	e.failures, e.failedAt = rate, now
	if failed || pace <= 0 {
		return
	}
	if e.paces == 0 {
		e.own.Pace = pace
	} else {
		e.own.Pace += paceStep * (pace - e.own.Pace)
	}
	e.paces++
	b.learnTypical(e.Pool)
}

// Refuse counts the end of a run that the endpoint did not begin. If another endpoint answers at the address, this one is gone
// although the list still has it, and takes no more work.
func (b *Balancer) Refuse(now time.Time, r *Run, replaced bool) {
	if !r.release() || !replaced {
		return
	}
	r.endpoint.downUntil = now.Add(replacedFor)
}

// Unreachable counts the end of a run of which nothing could be sent. The endpoint takes no work for a time that grows while
// connects fail; after it, one request at a time finds out whether it is back.
func (b *Balancer) Unreachable(now time.Time, r *Run) {
	if !r.release() {
		return
	}
	e := r.endpoint
	e.unreachable++
	wait := min(minDown<<min(e.unreachable-1, maxDownSteps), maxDown)
	e.downUntil = now.Add(wait)
}

// release ends a run without an outcome. It returns false if the run had ended before.
func (r *Run) release() bool {
	if r.ended || r.endpoint == nil {
		return false
	}
	r.ended = true
	r.read()
	r.endpoint.own.Running--
	r.endpoint.own.Memory -= r.memory
	return true
}
