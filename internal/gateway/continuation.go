package gateway

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

const (
	// unknownOriginRetryAfter is the retry delay of a take-up whose version is not known. A coordinator that has just started learns
	// the streams of all hosts within that time.
	unknownOriginRetryAfter = time.Second
	// originReportInterval is the time after which the origin of a stream that goes on is reported again. It is shorter than the time for
	// which it is remembered.
	originReportInterval = registrar.Retention / 4
	// takeUpMaxWait is the longest time that a take-up waits for an endpoint. It is longer than that of a new stream, because its caller
	// has the first part of the answer. maxTakeUpWaitFraction bounds it as a fraction of the time left.
	takeUpMaxWait         = time.Second
	maxTakeUpWaitFraction = 1.0 / 3
)

var takeUps = expvar.NewMap("gateway_take_ups")

// Origins remembers which software version began which stream.
type Origins interface {
	// ReportStreamAt records the origin of the stream of a request, and the endpoint that began it.
	ReportStreamAt(request uint64, o registrar.Origin, endpoint string)
	// StreamOrigin returns the origin of the stream of a request to a pool, or false if it is not known.
	StreamOrigin(ctx context.Context, request uint64, pool string) (registrar.Origin, bool)
}

// localOrigins are the Origins of a host that shares them with no other one. It is safe for concurrent use.
type localOrigins struct {
	mu       sync.Mutex
	registry registrar.Registry
}

// ReportStreamAt implements Origins.
func (l *localOrigins) ReportStreamAt(request uint64, o registrar.Origin, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registry.Add(time.Now(), registrar.Record{Request: request, Origin: o, Endpoint: endpoint})
}

// StreamOrigin implements Origins.
func (l *localOrigins) StreamOrigin(_ context.Context, request uint64, _ string) (registrar.Origin, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Lookup(time.Now(), request)
}

// isTakeUp reports whether the caller goes on with a stream that an earlier request began.
func (q *request) isTakeUp() bool {
	return q.rule.Kind == router.Streaming && q.r.Header.Get(q.g.Headers.LastEventID) != ""
}

// resolveOrigin binds a take-up to the pool and the software version that began its stream. It returns false if it has refused the
// request, because the version is not known or may not be used.
func (q *request) resolveOrigin(index *router.Index) bool {
	if !q.isTakeUp() {
		return true
	}
	resumes := q.r.Header.Get(q.g.Headers.Resumes)
	pool := q.pool
	if q.rule.TargetCount() > 1 {
		// The pool that began a stream of unknown origin is not known either.
		pool = ""
	}
	origin, known := q.g.Origins.StreamOrigin(q.r.Context(), xxhash.Sum64String(resumes), pool)
	outcome := "bound"
	switch {
	case !known:
		outcome = "unknown"
	case !origin.Joinable:
		outcome = "disputed"
	case origin.Pool != q.pool && !q.rule.HasTarget(origin.Pool):
		outcome = "moved"
	}
	takeUps.Add(outcome, 1)
	klog.InfoS("gateway: stream taken up", "request", q.id, "resumes", resumes, "last_event", q.r.Header.Get(q.g.Headers.LastEventID), "outcome", outcome,
		"pool", origin.Pool, "version", origin.Version, "after", time.Since(q.started))
	switch outcome {
	case "bound":
		if origin.Pool != q.pool {
			q.pool = origin.Pool
			q.parseWork(index)
		}
		q.work.Bound, q.work.Version = true, origin.Version
		return true
	case "unknown":
		q.refuse(http.StatusServiceUnavailable, "stream_unknown", unknownOriginRetryAfter)
	default:
		q.refuse(http.StatusServiceUnavailable, "stream_"+outcome, 0)
	}
	return false
}

// bindStream binds the stream to the version of the endpoint whose first event is about to be written. Other endpoints of the
// request must then have this version. It is called again with later events, since a long stream must stay known.
func (q *request) bindStream(grant *admitter.Grant, f *failover) {
	if !q.rule.Repeatable() || time.Since(q.originReportedAt) < originReportInterval {
		return
	}
	q.originReportedAt = time.Now()
	e := grant.Choice.Endpoint
	if !q.work.Bound {
		q.work.Bound, q.work.Version, q.boundBy = true, e.Version, e.ID
		q.unjoinable = grant.VersionDisputed || q.g.versionChanged(e.ID, e.Version)
		f.bind(q.work, q.unjoinable)
	}
	if q.id == "" {
		return
	}
	origin := registrar.Origin{Pool: q.pool, Version: q.work.Version, Joinable: !q.unjoinable}
	q.g.Origins.ReportStreamAt(xxhash.Sum64String(q.id), origin, e.ID)
}

// versionChanged reports whether the list now shows another version of an endpoint that has begun a stream, so that it is not certain
// which version it was. An empty ID is no endpoint.
func (g *Gateway) versionChanged(endpoint, version string) (changed bool) {
	if endpoint == "" {
		return false
	}
	g.Admitter.View(func(b *balancer.Balancer) {
		e, listed := b.Endpoint(endpoint)
		changed = listed && e.Version != version
	})
	return changed
}

// fits reports whether the request may be sent to an endpoint: a stream that has begun goes on only at the version that began it.
func (q *request) fits(e balancer.Endpoint) bool {
	return !q.work.Bound || !q.unjoinable && e.Version == q.work.Version
}
