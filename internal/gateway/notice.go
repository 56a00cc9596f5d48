package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
)

const (
	// leavingCheckInterval is the time between two health checks of an endpoint that has said that it leaves while the list
	// shows it as ready.
	leavingCheckInterval = 3 * time.Second
	// healthTimeout bounds one health check.
	healthTimeout = time.Second
	// maxStatedSpeed is the largest figure that is taken for a speed.
	maxStatedSpeed = 100_000
	// refusalWait bounds the wait for the rest of an answer whose head says that the request did not run.
	refusalWait = 100 * time.Millisecond
)

// heed takes what an endpoint says of itself in the head of an answer: that it leaves, or that it wants nothing from this host
// for a time.
func (g *Gateway) heed(id string, response *exchanger.Response) {
	leaving := g.Headers.Leaving != "" && response.Header.Get(g.Headers.Leaving) != ""
	wait := time.Duration(0)
	if response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests {
		wait = retryAfter(response.Header)
	}
	now := time.Now()
	if speed := statedSpeed(response.Header.Get(g.Headers.Load)); speed > 0 {
		g.Admitter.Update(func(b *balancer.Balancer) { b.Stated(now, id, speed) })
		g.Notice(Notice{Endpoint: id, Speed: speed})
	}
	if !leaving && wait <= 0 {
		return
	}
	g.Admitter.Update(func(b *balancer.Balancer) {
		if leaving {
			b.SaidLeaving(now, id)
		}
		if wait > 0 {
			b.HoldBack(now, id, wait)
		}
	})
	g.Notice(Notice{Endpoint: id, Leaving: leaving, Hold: wait})
	countSends.Add("notices", 1)
	klog.InfoS("gateway: endpoint gave notice", "endpoint", id, "leaving", leaving, "wants_nothing_for", wait, "status", response.Status)
}

// retryAfter reads the seconds of a Retry-After header, which may have a fraction; 0 if there are none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// statedSpeed reads the fourth figure of a load header; 0 if there is none.
func statedSpeed(load string) float64 {
	figures := strings.Split(load, ",")
	if len(figures) < 4 {
		return 0
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(figures[3]), 64)
	if err != nil || !(percent > 0) || percent > maxStatedSpeed {
		return 0
	}
	return percent
}

// checkDoubtful asks endpoints that have said that they leave, and that the list still shows as ready, for their health: they
// may have started again under their old names.
func (g *Gateway) checkDoubtful(now time.Time) {
	var doubtful []balancer.Endpoint
	g.Admitter.View(func(b *balancer.Balancer) { doubtful = b.Doubtful(now) })
	index, _ := g.Table()
	if len(doubtful) == 0 || index == nil || g.Headers.InstanceID == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, at := range g.doubted {
		if now.Sub(at) > leavingCheckInterval {
			delete(g.doubted, id)
		}
	}
	for _, e := range doubtful {
		pool := index.Pool(e.Pool)
		if _, checked := g.doubted[e.ID]; checked || pool == nil || pool.HealthPath == "" || g.closed.Load() {
			continue
		}
		g.doubted[e.ID] = now
		g.confirms.Go(func() { g.checkLeaving(e, pool.HealthPath) })
	}
}

// checkLeaving performs one health check.
func (g *Gateway) checkLeaving(e balancer.Endpoint, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	response, err := g.Client.Do(ctx, e.Addr, &exchanger.Request{Method: http.MethodGet, URI: path, Host: e.Addr, Header: http.Header{}})
	if err != nil {
		klog.V(1).InfoS("gateway: health check failed", "endpoint", e.ID, "reason", err)
		return
	}
	defer response.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes)); err == nil {
		response.Finish()
	}
	leaving := response.Header.Get(g.Headers.Leaving) != "" || response.Status != http.StatusOK
	if leaving || response.Header.Get(g.Headers.InstanceID) != e.ID {
		return
	}
	g.Admitter.Update(func(b *balancer.Balancer) { b.Returned(time.Now(), e.ID) })
	g.Notice(Notice{Endpoint: e.ID, Returned: true})
	klog.InfoS("gateway: endpoint has returned", "endpoint", e.ID)
}
