// Package tracker follows the endpoints of one pool: which of them may take work, how much, and how fast they are.
package tracker

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/ejector"
	"github.com/dragonflycroft/dragonflycroft/internal/estimator"
	"github.com/dragonflycroft/dragonflycroft/internal/limiter"
)

const (
	// Headroom is the part of each endpoint's bound that only urgent work may use.
	Headroom = 0.15
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = 15 * time.Second
	// reportMargin is added to the age of a load report when runs that ended since are allowed for.
	reportMargin = time.Second
	// recentEnds bounds the remembered ends of runs per endpoint, which allow for the age of load reports.
	recentEnds = 64
	// stallTime without any progress, with runs in progress, is a sign of failure.
	stallTime = 5 * time.Second
)

// Endpoint is one endpoint of the pool.
type Endpoint struct {
	configurer.Endpoint
	Limit *limiter.Limiter
	Speed *estimator.Speed
	Avail ejector.Availability
	// Pending is the prompt tokens that were dispatched and are not yet processed.
	Pending int
	// Longs is the number of long prefills in progress.
	Longs int
	// Alone keeps the endpoint for a suspect request.
	Alone bool
	// Progressed is the time of the last sign of progress.
	Progressed time.Duration

	configured bool
	listed     bool // present in the host list
	leaving    bool
	extra      int // runs beyond the scheduler's own account, from load reports
	ended      []time.Duration
	classes    []*Class
	wakeAt     time.Duration
}

// Eligible reports whether the endpoint may take new work as far as configuration and host list go.
func (e *Endpoint) Eligible() bool { return e.configured && e.listed && !e.leaving && !e.Drain }

// Configured reports whether the endpoint is in the configuration.
func (e *Endpoint) Configured() bool { return e.configured }

// Extra returns the runs beyond the scheduler's own account.
func (e *Endpoint) Extra() int { return e.extra }

// Runs returns the runs at the endpoint, those beyond the scheduler's own account included.
func (e *Endpoint) Runs() int {
	own, _ := e.Limit.Used()
	return own + e.extra
}

// Load returns the used part of the bound.
func (e *Endpoint) Load() float64 { return e.Limit.Load(e.extra) }

// Fits reports whether a run of the given tokens has room in a part of the bound and of the headroom.
func (e *Endpoint) Fits(tokens int, part, headroom float64) bool {
	return e.Limit.Fits(tokens, e.extra, part, headroom)
}

// Prefill returns the time that prompt tokens take at the endpoint.
func (e *Endpoint) Prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.Speed.Prefill() * float64(time.Second))
}

// Ended records the end of a run.
func (e *Endpoint) Ended(now time.Duration) {
	if e.ended = append(e.ended, now); len(e.ended) > recentEnds {
		e.ended = append([]time.Duration(nil), e.ended[recentEnds/2:]...)
	}
}

// ProveAlive takes back a sign of failure when a run that began before it makes progress. It returns whether it did.
func (e *Endpoint) ProveAlive(now, started time.Duration) bool {
	at, failed := e.Avail.FailedAt()
	return failed && started < at && e.Avail.Alive(now)
}

// Succeed records the good end of a run. One that began before the last failure proves nothing about the time since.
func (e *Endpoint) Succeed(now, started time.Duration) {
	e.Progressed = now
	if at, failed := e.Avail.FailedAt(); !failed || started >= at {
		e.Avail.Succeed(now)
	}
}

// report corrects drift by a load report: runs that the endpoint reports beyond those known here, allowing for those that
// ended since the report was made. Reports of fewer runs change nothing, since they may be stale.
func (e *Endpoint) report(now, age time.Duration, running, waiting int) {
	if age > maxReportAge {
		return
	}
	e.Limit.ObserveQueue(running, waiting)
	known, _ := e.Limit.Used()
	for _, at := range e.ended {
		if at >= now-age-reportMargin {
			known++
		}
	}
	// The mean of the old and the new value ignores a single odd report; it reaches zero after a few good ones.
	e.extra = (e.extra + max(running+waiting-known, 0)) / 2
}

// stalled reports whether the endpoint has runs that make no progress at all.
func (e *Endpoint) stalled(now time.Duration) bool {
	_, measured := e.Speed.Samples()
	if own, _ := e.Limit.Used(); own == 0 || measured == 0 || !e.Avail.Open(now) {
		return false
	}
	return now-e.Progressed >= stallTime+4*e.Prefill(e.Pending)
}

// measure returns the best progress since the last review.
func (e *Endpoint) measure(now time.Duration) ejector.Measure {
	prefill, gap := e.Speed.Best()
	return ejector.Measure{
		Endpoint: e.Name, Group: e.Hardware, Slowness: []float64{prefill, gap}, Out: e.Avail.Ejected(now),
	}
}
