package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
)

const (
	// crashConfirmedWithin is the time after a broken exchange in which a refused connect, or another endpoint at the address,
	// shows that the endpoint has crashed and not only lost one answer.
	crashConfirmedWithin = 3 * time.Second
	// crashConfirmDelay is the time between a broken exchange and the connect that shows whether the endpoint has crashed.
	crashConfirmDelay = 30 * time.Millisecond
	// crashHold is how long a request that has crashed two endpoints is refused.
	crashHold = 15 * time.Second
	// crashTold is how long hosts tell each other of a crash, so that lost datagrams lose none.
	crashTold = 5 * time.Second
	// crashKept is how long a crash is remembered, so that it is counted once.
	crashKept = time.Minute
	// quarantineRetry is the longest time after which the caller of a refused request may ask again.
	quarantineRetry = 5 * time.Second
	// maxBroken bounds the broken exchanges that wait for a sign of a crash at one endpoint.
	maxBroken = 256
)

// Crash is an endpoint that crashed while it ran a request, both by digest.
type Crash struct {
	Fingerprint uint64
	Endpoint    uint64
}

type brokenRun struct {
	fingerprint uint64
	at          time.Time
}

type crashNote struct {
	at   time.Time
	here bool
}

// crashWatch finds the requests that crash the endpoints that run them. The caller of its methods holds the gateway's lock.
type crashWatch struct {
	started    time.Time
	quarantine *quarantiner.Quarantine
	broken     map[string][]brokenRun
	counted    map[Crash]crashNote
}

func newCrashWatch(now time.Time) *crashWatch {
	return &crashWatch{
		started: now, quarantine: quarantiner.New(crashHold), broken: map[string][]brokenRun{}, counted: map[Crash]crashNote{},
	}
}

func name(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// refused returns how long a request is still refused; 0 means that it may run.
func (w *crashWatch) refused(now time.Time, fingerprint uint64) time.Duration {
	if v, left := w.quarantine.Verdict(now.Sub(w.started), name(fingerprint)); v == quarantiner.Refused {
		return left
	}
	return 0
}

// broke notes an exchange that the endpoint broke off.
func (w *crashWatch) broke(now time.Time, endpoint string, fingerprint uint64) {
	if runs := w.broken[endpoint]; len(runs) < maxBroken {
		w.broken[endpoint] = append(runs, brokenRun{fingerprint: fingerprint, at: now})
	}
}

// crashed counts the crash of an endpoint for the requests that it had just broken off.
func (w *crashWatch) crashed(now time.Time, endpoint string) {
	for _, r := range w.broken[endpoint] {
		if now.Sub(r.at) <= crashConfirmedWithin {
			w.count(now, Crash{Fingerprint: r.fingerprint, Endpoint: xxhash.Sum64String(endpoint)}, true)
		}
	}
	delete(w.broken, endpoint)
}

func (w *crashWatch) count(now time.Time, c Crash, here bool) {
	if _, known := w.counted[c]; known {
		return
	}
	w.counted[c] = crashNote{at: now, here: here}
	w.quarantine.Crashed(now.Sub(w.started), name(c.Fingerprint), name(c.Endpoint))
}

// finished clears a request that an endpoint has answered.
func (w *crashWatch) finished(now time.Time, fingerprint uint64) {
	w.quarantine.Finished(now.Sub(w.started), name(fingerprint))
}

// told returns the crashes that this host has seen lately, and forgets old ones.
func (w *crashWatch) told(now time.Time) []Crash {
	var out []Crash
	for c, note := range w.counted {
		switch age := now.Sub(note.at); {
		case age > crashKept:
			delete(w.counted, c)
		case note.here && age <= crashTold:
			out = append(out, c)
		}
	}
	for endpoint, runs := range w.broken {
		if now.Sub(runs[len(runs)-1].at) > crashConfirmedWithin {
			delete(w.broken, endpoint)
		}
	}
	return out
}

// Crashes returns what this host tells its peers of endpoints that crashed.
func (g *Gateway) Crashes() []Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.told(time.Now())
}

// HeardCrashes takes the crashes that a peer has seen.
func (g *Gateway) HeardCrashes(crashes []Crash) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range crashes {
		g.crashes.count(time.Now(), c, false)
	}
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
	q.g.mu.Lock()
	left := q.g.crashes.refused(time.Now(), q.fingerprint())
	q.g.mu.Unlock()
	if left > 0 {
		q.refuse(http.StatusServiceUnavailable, "quarantine", min(left, quarantineRetry))
	}
	return left == 0
}

// watchCrash tells the watch how a send has ended.
func (q *request) watchCrash(e balancer.Endpoint, v verdict, unreachable, replaced, brokenOff bool) {
	g, now := q.g, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case unreachable || replaced:
		g.crashes.crashed(now, e.ID)
	case brokenOff:
		g.crashes.broke(now, e.ID, q.fingerprint())
		g.confirmCrash(e)
	case v == answered || v == failed:
		g.crashes.finished(now, q.fingerprint())
	}
}

// confirmCrash finds out whether an endpoint that broke an answer off still takes connections. The caller holds the lock.
func (g *Gateway) confirmCrash(e balancer.Endpoint) {
	if g.confirming[e.ID] || g.closed.Load() {
		return
	}
	g.confirming[e.ID] = true
	g.confirms.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashConfirmedWithin/2)
		defer cancel()
		time.Sleep(crashConfirmDelay)
		err := g.Client.Reachable(ctx, e.Addr)
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.confirming, e.ID)
		if err != nil {
			klog.InfoS("gateway: endpoint crashed", "endpoint", e.ID, "broken_off", len(g.crashes.broken[e.ID]), "reason", err)
			g.crashes.crashed(time.Now(), e.ID)
		}
	})
}
