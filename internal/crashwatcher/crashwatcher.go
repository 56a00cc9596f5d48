// Package crashwatcher finds the requests that crash the endpoints that run them, from the exchanges that endpoints break off and
// from what other hosts have seen.
package crashwatcher

import (
	"expvar"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
)

const (
	// ConfirmedWithin is the time after a broken exchange in which a refused connect, or another endpoint at the address, shows
	// that the endpoint has crashed and not only lost one answer.
	ConfirmedWithin = 3 * time.Second
	// hold is how long a request that has crashed two endpoints is refused.
	hold = 15 * time.Second
	// toldFor is how long hosts tell each other of a crash, so that lost datagrams lose none.
	toldFor = 5 * time.Second
	// keptFor is how long a crash is remembered, so that it is counted once.
	keptFor = time.Minute
	// maxBroken bounds the broken exchanges that wait for a sign of a crash at one endpoint.
	maxBroken = 256
)

var countCrashes = expvar.NewMap("crashwatcher_crashes")

// Crash is an endpoint that crashed while it ran a request, both by digest.
type Crash struct {
	Fingerprint uint64
	Endpoint    uint64
}

type brokenRun struct {
	fingerprint uint64
	at          time.Time
}

type note struct {
	at   time.Time
	here bool
}

// Watcher follows the crashes of endpoints by request. It is not safe for concurrent use.
type Watcher struct {
	started    time.Time
	quarantine *quarantiner.Quarantine
	broken     map[string][]brokenRun
	counted    map[Crash]note
}

// New returns a watcher that knows of no crash.
func New(now time.Time) *Watcher {
	return &Watcher{started: now, quarantine: quarantiner.New(hold), broken: map[string][]brokenRun{}, counted: map[Crash]note{}}
}

// Name is the form of a fingerprint in logs.
func Name(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// Refused returns how long a request is still refused; 0 means that it may run.
func (w *Watcher) Refused(now time.Time, fingerprint uint64) time.Duration {
	if v, left := w.quarantine.Verdict(now.Sub(w.started), Name(fingerprint)); v == quarantiner.Refused {
		return left
	}
	return 0
}

// Broke notes an exchange that the endpoint broke off.
func (w *Watcher) Broke(now time.Time, endpoint string, fingerprint uint64) {
	if runs := w.broken[endpoint]; len(runs) < maxBroken {
		w.broken[endpoint] = append(runs, brokenRun{fingerprint: fingerprint, at: now})
	}
}

// Broken returns the number of exchanges that an endpoint broke off and that wait for a sign of a crash.
func (w *Watcher) Broken(endpoint string) int { return len(w.broken[endpoint]) }

// Crashed counts the crash of an endpoint for the requests that it had just broken off.
func (w *Watcher) Crashed(now time.Time, endpoint string) {
	for _, r := range w.broken[endpoint] {
		if now.Sub(r.at) <= ConfirmedWithin {
			w.count(now, Crash{Fingerprint: r.fingerprint, Endpoint: xxhash.Sum64String(endpoint)}, true)
		}
	}
	delete(w.broken, endpoint)
}

// Heard counts the crashes that a peer has seen.
func (w *Watcher) Heard(now time.Time, crashes []Crash) {
	for _, c := range crashes {
		w.count(now, c, false)
	}
}

func (w *Watcher) count(now time.Time, c Crash, here bool) {
	source := "told"
	if here {
		source = "seen"
	}
	if n, known := w.counted[c]; known {
		if here || now.Sub(n.at) > toldFor {
			countCrashes.Add("known", 1)
			klog.InfoS("crashwatcher: crash is known already", "fingerprint", Name(c.Fingerprint), "endpoint_digest", Name(c.Endpoint),
				"source", source, "known_for", now.Sub(n.at))
		}
		return
	}
	w.counted[c] = note{at: now, here: here}
	w.quarantine.Crashed(now.Sub(w.started), Name(c.Fingerprint), Name(c.Endpoint))
	countCrashes.Add(source, 1)
	crashes, refused := w.State(now, c.Fingerprint)
	klog.InfoS("crashwatcher: crash counted", "fingerprint", Name(c.Fingerprint), "endpoint_digest", Name(c.Endpoint), "source", source,
		"crashes", crashes, "refused_for", refused, "watching_for", now.Sub(w.started))
}

// State returns the crashes that count against a request, and how long it is still refused.
func (w *Watcher) State(now time.Time, fingerprint uint64) (crashes int, refused time.Duration) {
	return w.quarantine.Crashes(now.Sub(w.started), Name(fingerprint))
}

// Finished clears a request to which an endpoint has given a whole answer of success.
func (w *Watcher) Finished(now time.Time, fingerprint uint64) {
	crashes, _ := w.State(now, fingerprint)
	if _, cleared := w.quarantine.Finished(now.Sub(w.started), Name(fingerprint)); cleared {
		countCrashes.Add("cleared", 1)
		klog.InfoS("crashwatcher: request cleared", "fingerprint", Name(fingerprint), "crashes", crashes)
	}
}

// Told returns the crashes that this host has seen lately, and forgets old ones.
func (w *Watcher) Told(now time.Time) []Crash {
	var out []Crash
	for c, n := range w.counted {
		switch age := now.Sub(n.at); {
		case age > keptFor:
			delete(w.counted, c)
		case n.here && age <= toldFor:
			out = append(out, c)
		}
	}
	for endpoint, runs := range w.broken {
		if now.Sub(runs[len(runs)-1].at) > ConfirmedWithin {
			delete(w.broken, endpoint)
		}
	}
	return out
}
