package gateway

import (
	"context"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
)

const (
	// drainingCheckInterval is the time between two health checks of an endpoint that has reported that it is draining while the
	// list of endpoints shows it as ready.
	drainingCheckInterval = 3 * time.Second
	// healthCheckTimeout is the timeout of a health check.
	healthCheckTimeout = time.Second
	// maxSlowdownPercent is the largest duration of work, in percent of the usual duration, that is accepted in a load header.
	maxSlowdownPercent = 100_000
	// brittleReportInterval is the time between two reports of a brittle endpoint. It is a fraction of the time for which it counts as one.
	brittleReportInterval = time.Second
	// minLimit is the lowest limit of an endpoint that is applied, in requests per second. A request now and then shows whether the
	// endpoint still states the limit.
	minLimit = 0.1
	// refusalBodyTimeout is the longest wait for the body of a response whose head states that the request did not run.
	refusalBodyTimeout = 100 * time.Millisecond
)

// RecordStatus records the status that an endpoint reports in a response header: the current duration of its work, that it is
// draining, or how long it refuses requests of this host.
func (g *Gateway) RecordStatus(id string, response *exchanger.Response) {
	draining := g.Headers.Leaving != "" && response.Header.Get(g.Headers.Leaving) != ""
	retryAfter := time.Duration(0)
	if response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests {
		retryAfter = parseRetryAfter(response.Header)
	}
	if rate, stated := g.statedLimit(response); stated {
		g.recordLimit(id, rate)
	}
	now := time.Now()
	g.recordBrittle(now, id, response)
	if percent := parseSlowdown(response.Header.Get(g.Headers.Load)); percent > 0 {
		g.Admitter.Update(func(b *balancer.Balancer) { b.RecordSpeed(now, id, percent) })
		g.OnEndpointStatus(EndpointStatus{Endpoint: id, Speed: percent})
	}
	if !draining && retryAfter <= 0 {
		return
	}
	g.Admitter.Update(func(b *balancer.Balancer) {
		if draining {
			b.MarkLeaving(now, id)
		}
		if retryAfter > 0 {
			b.MarkRejected(now, id, retryAfter)
		}
	})
	g.OnEndpointStatus(EndpointStatus{Endpoint: id, Leaving: draining, RetryAfter: retryAfter})
	sendCounts.Add("notices", 1)
	klog.InfoS("gateway: endpoint gave notice", "endpoint", id, "leaving", draining, "wants_nothing_for", retryAfter, "status", response.Status)
}

// recordBrittle records that an endpoint says that it fails if it must reject many requests. It is reported again while it goes on, so
// that each coordinator knows.
func (g *Gateway) recordBrittle(now time.Time, id string, response *exchanger.Response) {
	if _, err := strconv.ParseUint(strings.TrimSpace(response.Header.Get(g.Headers.Brittle)), 10, 64); err != nil {
		return
	}
	g.Admitter.Update(func(b *balancer.Balancer) { b.MarkBrittle(now, id) })
	g.mu.Lock()
	due := now.Sub(g.brittleReportedAt[id]) >= brittleReportInterval
	if due {
		g.brittleReportedAt[id] = now
	}
	g.mu.Unlock()
	if due {
		g.OnEndpointStatus(EndpointStatus{Endpoint: id, Brittle: true})
	}
}

// parseRetryAfter returns the delay in a Retry-After header, in seconds with an optional fraction; 0 if there is none. The delay
// is limited to an hour.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// recordLimit records the limit that an endpoint states in a response, in requests per second; 0 means none.
func (g *Gateway) recordLimit(id string, rate float64) {
	if !g.setLimit(id, rate, "seen") {
		return
	}
	g.OnEndpointStatus(EndpointStatus{Endpoint: id, LimitChanged: true, Limit: rate})
}

// MergeLimits applies the limits of endpoints that other hosts have seen, in requests per second by ID; 0 means none.
func (g *Gateway) MergeLimits(limits map[string]float64) {
	for id, rate := range limits {
		g.setLimit(id, rate, "told")
	}
}

// EndpointLimits returns the known limits of endpoints, in requests per second by ID.
func (g *Gateway) EndpointLimits() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.endpointLimits)
}

// setLimit sets the limit of an endpoint. It returns false if the limit has not changed.
func (g *Gateway) setLimit(id string, rate float64, source string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.endpointLimits[id]
	if rate == before {
		return false
	}
	if rate > 0 {
		g.endpointLimits[id] = rate
	} else {
		delete(g.endpointLimits, id)
	}
	g.Admitter.Update(func(b *balancer.Balancer) { b.SetLimit(time.Now(), id, rate) })
	limitChanges.Add(source, 1)
	klog.InfoS("gateway: endpoint limit changed", "endpoint", id, "requests_per_s", rate, "before", before, "source", source)
	return true
}

// statedLimit returns the limit that a response states, in requests per second; 0 means that the endpoint has none. It returns false
// if the response does not tell: it has no valid limit and is a failure or not from the endpoint.
func (g *Gateway) statedLimit(response *exchanger.Response) (rate float64, stated bool) {
	if response.Status == http.StatusMisdirectedRequest {
		return 0, false
	}
	header := strings.TrimSpace(response.Header.Get(g.Headers.Limit))
	if header == "" {
		return 0, response.Status < http.StatusMultipleChoices && response.Header.Get(g.Headers.Signature) != ""
	}
	rate, err := strconv.ParseFloat(header, 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 1) {
		return 0, false
	}
	return max(rate, minLimit), true
}

// parseSlowdown returns the fourth value of a load header, the current duration of work in percent of the usual duration; 0 if it
// is missing or invalid.
func parseSlowdown(load string) float64 {
	fields := strings.Split(load, ",")
	if len(fields) < 4 {
		return 0
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64)
	if err != nil || !(percent > 0) || percent > maxSlowdownPercent {
		return 0
	}
	return percent
}

// checkDrainingEndpoints starts health checks of the endpoints that have reported that they are draining while the list still
// shows them as ready: they may have restarted under the same ID.
func (g *Gateway) checkDrainingEndpoints(now time.Time) {
	var draining []balancer.Endpoint
	g.Admitter.View(func(b *balancer.Balancer) { draining = b.UnconfirmedLeaving(now) })
	index, _ := g.Table()
	if len(draining) == 0 || index == nil || g.Headers.InstanceID == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, at := range g.healthCheckedAt {
		if now.Sub(at) > drainingCheckInterval {
			delete(g.healthCheckedAt, id)
		}
	}
	for _, e := range draining {
		pool := index.Pool(e.Pool)
		if _, checked := g.healthCheckedAt[e.ID]; checked || pool == nil || pool.HealthPath == "" || g.closed.Load() {
			continue
		}
		g.healthCheckedAt[e.ID] = now
		g.checks.Go(func() { g.checkHealth(e, pool.HealthPath) })
	}
}

// checkHealth performs a health check of a draining endpoint and marks it as returned if it is healthy again.
func (g *Gateway) checkHealth(e balancer.Endpoint, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	response, err := g.Client.Do(ctx, e.Addr, &exchanger.Request{Method: http.MethodGet, URI: path, Host: e.Addr, Header: http.Header{}})
	if err != nil {
		klog.V(1).InfoS("gateway: health check failed", "endpoint", e.ID, "reason", err)
		return
	}
	defer response.Close()
	if err := copyBody(io.Discard, response, maxResponseBytes); err != nil {
		klog.V(1).InfoS("gateway: health check failed", "endpoint", e.ID, "reason", err)
		return
	}
	draining := response.Header.Get(g.Headers.Leaving) != "" || response.Status != http.StatusOK
	if draining || response.Header.Get(g.Headers.InstanceID) != e.ID {
		return
	}
	g.Admitter.Update(func(b *balancer.Balancer) { b.MarkReturned(time.Now(), e.ID) })
	g.OnEndpointStatus(EndpointStatus{Endpoint: e.ID, Returned: true})
	klog.InfoS("gateway: endpoint has returned", "endpoint", e.ID)
}
