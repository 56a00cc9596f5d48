package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
)

const (
	// doubtfulSilence is the silence of an endpoint from which on an exchange that this host ends may have ended by a crash. Callers that
	// leave of their own accord mostly do so sooner.
	doubtfulSilence = 600 * time.Millisecond
	// crashConfirmDelay is the time between a broken exchange and the connect that shows whether the endpoint has crashed.
	crashConfirmDelay = 30 * time.Millisecond
	// quarantined is the reason for which a request that has crashed endpoints is refused.
	quarantined admitter.Reason = "quarantine"
)

// CrashNews returns what this host tells others of requests that crash endpoints: what it has seen since the last call, or all that
// it knows.
func (g *Gateway) CrashNews(all bool) crashwatcher.News {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.Told(all)
}

// HeardCrashes takes what other hosts have seen of such requests.
func (g *Gateway) HeardCrashes(n crashwatcher.News) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Heard(time.Now(), n)
}

// readFingerprint identifies a request that is sent again: the same workspace, method, path and body.
func (q *request) readFingerprint() {
	h := xxhash.New()
	for _, part := range []string{q.workspaceName(), q.r.Method, q.r.RequestURI} {
		_, _ = h.WriteString(part + "\n") // a digest never fails
	}
	_, _ = h.Write(q.body)
	q.fingerprint = h.Sum64()
}

// admitSuspect refuses a request that has crashed two endpoints.
func (q *request) admitSuspect() bool {
	q.readFingerprint()
	q.g.mu.Lock()
	left := q.g.crashes.Refused(time.Now(), q.fingerprint)
	crashes, _ := q.g.crashes.State(time.Now(), q.fingerprint)
	q.g.mu.Unlock()
	if crashes > 0 {
		klog.InfoS("gateway: suspect arrived", "request", q.id, "fingerprint", crashwatcher.Name(q.fingerprint), "crashes", crashes,
			"refused_for", left)
	}
	if left > 0 {
		q.refuse(http.StatusServiceUnavailable, string(quarantined), left)
	}
	return left == 0
}

// beginRun returns 0 if the request may be sent now, or how long it is refused: the same request may have crashed endpoints while
// this one waited.
func (q *request) beginRun(now time.Time) time.Duration {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	return q.g.crashes.Begin(now, q.fingerprint)
}

// sendEnd says of a send what may tell that its endpoint has crashed, or that it has not.
type sendEnd struct {
	began                 time.Time
	unreachable, replaced bool
	// notRun is true if the endpoint stated that it did not run the request.
	notRun bool
	// brokenOff is true if the endpoint ended the exchange without a whole answer, and givenUp if this host did.
	brokenOff, givenUp bool
	// succeeded is true if the endpoint gave a whole answer of success. A failure may come from an endpoint that did not run the
	// request.
	succeeded bool
}

// watchCrash tells the watcher how a send has ended.
func (q *request) watchCrash(e balancer.Endpoint, end sendEnd) {
	g, now := q.g, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if end.unreachable || end.notRun {
		g.crashes.NotRun(now, q.fingerprint)
	}
	switch {
	case end.unreachable || end.replaced:
		g.crashes.Crashed(now, e.ID)
	case end.brokenOff:
		g.crashes.Broke(now, e.ID, crashwatcher.Run{Fingerprint: q.fingerprint, Began: end.began})
		g.confirmCrash(e)
	case end.givenUp:
		silent := latest(end.began, q.lastAt)
		if now.Sub(silent) >= doubtfulSilence {
			g.crashes.Broke(now, e.ID, crashwatcher.Run{Fingerprint: q.fingerprint, Began: end.began, SilentSince: silent})
			g.confirmCrash(e)
		}
	case end.succeeded:
		g.crashes.Finished(now, q.fingerprint)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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
