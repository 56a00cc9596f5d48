// Package tracker tracks the endpoints of one pool: which of them may take requests, how many, and how fast they are.
package tracker

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/ejector"
	"github.com/dragonflycroft/dragonflycroft/internal/estimator"
	"github.com/dragonflycroft/dragonflycroft/internal/limiter"
)

const (
	// Headroom is the fraction of each endpoint's limit that only urgent requests may use.
	Headroom = 0.15
	// maxReportAge is the age beyond which a load report is ignored.
	maxReportAge = 15 * time.Second
	// reportMargin is added to the age of a load report to find the runs that it may still include although they have ended.
	reportMargin = time.Second
	// maxRecentEnds bounds the end times of runs that are kept per endpoint to correct load reports for their age.
	maxRecentEnds = 64
	// stallTimeout is the minimum time without progress after which an endpoint with active runs is assumed to have failed.
	stallTimeout = 5 * time.Second
)

// Endpoint is one endpoint of the pool.
type Endpoint struct {
	configurer.Endpoint
	Limit *limiter.Limiter
	Speed *estimator.Speed
	Avail ejector.Availability
	// PendingTokens is the number of prompt tokens that were dispatched and are not yet processed.
	PendingTokens int
	// LongPrefills is the number of long prefills in progress.
	LongPrefills int
	// Reserved reserves the endpoint for one suspect request, so that it takes no other work.
	Reserved bool
	// LastProgress is the time of the last observed progress of any run.
	LastProgress time.Duration

	configured  bool
	listed      bool // present in the host list
	leaving     bool
	unaccounted int // runs in load reports that the scheduler has not granted
	endTimes    []time.Duration
	classes     []*Class
	nextChange  time.Duration
}

// Eligible reports whether the configuration and the host list allow new work at the endpoint.
func (e *Endpoint) Eligible() bool { return e.configured && e.listed && !e.leaving && !e.Drain }

// Configured reports whether the endpoint is in the configuration.
func (e *Endpoint) Configured() bool { return e.configured }

// UnaccountedRuns returns the estimated number of runs at the endpoint that the scheduler has not granted.
func (e *Endpoint) UnaccountedRuns() int { return e.unaccounted }

// Runs returns the number of runs at the endpoint, including the estimate of those that the scheduler has not granted.
func (e *Endpoint) Runs() int {
	own, _ := e.Limit.Used()
	return own + e.unaccounted
}

// Load returns the used fraction of the endpoint's limit.
func (e *Endpoint) Load() float64 { return e.Limit.Load(e.unaccounted) }

// Fits reports whether a run of the given tokens has room; part and headroom are the usable fractions of the limit and of its
// headroom.
func (e *Endpoint) Fits(tokens int, part, headroom float64) bool {
	return e.Limit.Fits(tokens, e.unaccounted, part, headroom)
}

// Prefill returns the time that the endpoint takes to process prompt tokens.
func (e *Endpoint) Prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.Speed.Prefill() * float64(time.Second))
}

// RecordEnd records the end time of a run.
func (e *Endpoint) RecordEnd(now time.Duration) {
	if e.endTimes = append(e.endTimes, now); len(e.endTimes) > maxRecentEnds {
		e.endTimes = append([]time.Duration(nil), e.endTimes[maxRecentEnds/2:]...)
	}
}

// ClearFailure clears a suspected failure if a run that began before it makes progress. It reports whether it did.
func (e *Endpoint) ClearFailure(now, started time.Duration) bool {
	at, failed := e.Avail.LastFailure()
	return failed && started < at && e.Avail.RecordProgress(now)
}

// RecordSuccess records the successful end of a run. A run that began before the last failure does not count as a proof of
// recovery.
func (e *Endpoint) RecordSuccess(now, started time.Duration) {
	e.LastProgress = now
	if at, failed := e.Avail.LastFailure(); !failed || started >= at {
		e.Avail.RecordSuccess(now)
	}
}

// report applies a load report: it updates the estimate of unaccounted runs from the runs that the endpoint reports beyond those
// that the scheduler counts and those that ended since the report was made. A report of fewer runs never lowers the scheduler's
// own count, since the report may be stale.
func (e *Endpoint) report(now, age time.Duration, running, waiting int) {
	if age > maxReportAge {
		return
	}
	e.Limit.ObserveQueue(running, waiting)
	known, _ := e.Limit.Used()
	for _, at := range e.endTimes {
		if at >= now-age-reportMargin {
			known++
		}
	}
	// The mean of the old and the new value dampens a single outlier; it reaches zero after a few reports without excess.
	e.unaccounted = (e.unaccounted + max(running+waiting-known, 0)) / 2
}

// stalled reports whether the endpoint has active runs and none of them has made progress for stallTimeout plus four times the
// estimated prefill time of the pending prompts.
func (e *Endpoint) stalled(now time.Duration) bool {
	_, measured := e.Speed.Samples()
	if own, _ := e.Limit.Used(); own == 0 || measured == 0 || !e.Avail.FullyAvailable(now) {
		return false
	}
	return now-e.LastProgress >= stallTimeout+4*e.Prefill(e.PendingTokens)
}

// measure returns the best prefill time and token gap since the last review.
func (e *Endpoint) measure(now time.Duration) ejector.Measure {
	prefill, gap := e.Speed.TakeBest()
	return ejector.Measure{
		Endpoint: e.Name, Group: e.Hardware, Slowness: []float64{prefill, gap}, Ejected: e.Avail.Ejected(now),
	}
}
