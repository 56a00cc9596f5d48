package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
)

const (
	// crashConfirmDelay is the time between a broken exchange and the connect that shows whether the endpoint has crashed.
	crashConfirmDelay = 30 * time.Millisecond
	// quarantineRetry is the longest time after which the caller of a refused request may ask again.
	quarantineRetry = 5 * time.Second
)

// Crashes returns what this host tells its peers of endpoints that crashed.
func (g *Gateway) Crashes() []quarantiner.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Told(time.Now())
}

// HeardCrashes takes the crashes that a peer has seen.
func (g *Gateway) HeardCrashes(crashes []quarantiner.Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Heard(time.Now(), crashes)
}

// fingerprint identifies a request that is sent again: the same workspace, method, path and body.
func (q *request) fingerprint() uint64 {
	h := xxhash.New()
	for _, part := range []string{q.workspaceName(), q.r.Method, q.r.RequestURI} {
		_, _ = h.WriteString(part + "\n") // a digest never fails
	}
	_, _ = h.Write(q.body)
	return h.Sum64()
}

// admitSuspect refuses a request that has crashed two endpoints.
func (q *request) admitSuspect() bool {
	fingerprint := q.fingerprint()
	q.g.mu.Lock()
	left := q.g.crashes.Refused(time.Now(), fingerprint)
	crashes, _ := q.g.crashes.State(time.Now(), fingerprint)
	q.g.mu.Unlock()
	if crashes > 0 {
		klog.InfoS("gateway: suspect arrived", "request", q.id, "fingerprint", crashwatcher.Name(fingerprint), "crashes", crashes,
			"refused_for", left)
	}
	if left > 0 {
		q.refuse(http.StatusServiceUnavailable, "quarantine", min(left, quarantineRetry))
	}
	return left == 0
}

// sendEnd says of a send what may tell that its endpoint has crashed, or that it has not.
type sendEnd struct {
	unreachable, replaced bool
	// brokenOff is true if the endpoint ended the exchange without a whole answer.
	brokenOff bool
	// succeeded is true if the endpoint gave a whole answer of success. A failure may come from an endpoint that did not run the
	// request.
	succeeded bool
}

// watchCrash tells the watcher how a send that began at a time has ended.
func (q *request) watchCrash(e balancer.Endpoint, began time.Time, end sendEnd) {
	g, now := q.g, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case end.unreachable || end.replaced:
		g.crashes.Crashed(now, e.ID)
	case end.brokenOff:
		g.crashes.Broke(now, e.ID, q.fingerprint(), began)
		g.confirmCrash(e)
	case end.succeeded:
		g.crashes.Finished(now, q.fingerprint())
	}
}

// confirmCrash finds out whether an endpoint that broke an answer off still takes connections. The caller holds the lock.
func (g *Gateway) confirmCrash(e balancer.Endpoint) {
	if g.confirming[e.ID] || g.closed.Load() {
		return
	}
	g.confirming[e.ID] = true
	g.confirms.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashwatcher.ConfirmedWithin/2)
		defer cancel()
		time.Sleep(crashConfirmDelay)
		err := g.Client.Reachable(ctx, e.Addr)
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.confirming, e.ID)
		if err != nil {
			klog.InfoS("gateway: endpoint crashed", "endpoint", e.ID, "broken_off", g.crashes.Broken(e.ID), "reason", err)
			g.crashes.Crashed(time.Now(), e.ID)
		}
	})
}
