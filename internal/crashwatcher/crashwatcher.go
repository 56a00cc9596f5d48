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
	// hold is how long a request that has crashed two endpoints is refused at least, and holdSpread the part of it by which hosts
	// differ, so that they do not all try it again at one moment.
	hold       = time.Minute
	holdSpread = 0.5
	// tryFor bounds the time in which one run of a request that was refused keeps others from beginning.
	tryFor = 15 * time.Second
	// maxBroken bounds the broken exchanges that wait for a sign of a crash at one endpoint.
	maxBroken = 256
	// maxNews bounds the crashes and the cleared requests that are kept while no coordinator can be told.
	maxNews = 1024
)

var countCrashes = expvar.NewMap("crashwatcher_crashes")

// News is what hosts tell each other.
type News struct {
	Crashes []quarantiner.Crash
	// Cleared are the requests that an endpoint has answered after a crash had counted against them.
	Cleared []uint64
}

// Run is an exchange that ended without a whole answer.
type Run struct {
	Fingerprint uint64
	// Began is when the request was sent.
	Began time.Time
	// SilentSince is the time of the last byte of the endpoint, if this host ended the exchange; else zero.
	SilentSince time.Time
}

type brokenRun struct {
	Run
	at time.Time
}

// Watcher follows the crashes of endpoints by request. It is not safe for concurrent use.
type Watcher struct {
	started    time.Time
	quarantine *quarantiner.Quarantine
	broken     map[string][]brokenRun
	book       quarantiner.Book
	// answeredAt is when an endpoint answered this host last.
	answeredAt time.Time
	// news is what this host has seen and not told yet.
	news News
}

// New returns a watcher that knows of no crash. Share is a number from 0 to 1 that differs between hosts.
func New(now time.Time, share float64) *Watcher {
	own := time.Duration(float64(hold) * (1 + holdSpread*share))
	return &Watcher{started: now, quarantine: quarantiner.New(own), broken: map[string][]brokenRun{}}
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

// Begin returns 0 if a run of a request may begin, or how long the request is still refused.
func (w *Watcher) Begin(now time.Time, fingerprint uint64) time.Duration {
	left := w.Refused(now, fingerprint)
	if left == 0 {
		w.quarantine.Try(now.Sub(w.started), Name(fingerprint), tryFor)
	}
	return left
}

// NotRun ends the trial of a request that an endpoint did not run, so that the next run may begin.
func (w *Watcher) NotRun(now time.Time, fingerprint uint64) {
	w.quarantine.Try(now.Sub(w.started), Name(fingerprint), 0)
}

// Broke notes an exchange without a whole answer.
func (w *Watcher) Broke(now time.Time, endpoint string, r Run) {
	if runs := w.broken[endpoint]; len(runs) < maxBroken {
		w.broken[endpoint] = append(runs, brokenRun{Run: r, at: now})
	}
}

// Broken returns the number of exchanges that an endpoint broke off and that wait for a sign of a crash.
func (w *Watcher) Broken(endpoint string) int { return len(w.broken[endpoint]) }

// Crashed counts the crash of an endpoint for the requests that it had just broken off.
func (w *Watcher) Crashed(now time.Time, endpoint string) {
	var undecided []brokenRun
	for _, r := range w.broken[endpoint] {
		switch {
		case now.Sub(r.at) > ConfirmedWithin:
			continue
		case w.answeredAt.Before(r.SilentSince):
			// While no endpoint answers this host, the silence of one shows nothing.
			undecided = append(undecided, r)
			continue
		}
		c := quarantiner.Crash{Fingerprint: r.Fingerprint, Endpoint: xxhash.Sum64String(endpoint), Began: r.Began, At: r.at}
		if w.count(now, c, "seen") {
			w.news.Crashes = append(w.news.Crashes, c)
		}
	}
	delete(w.broken, endpoint)
	if len(undecided) > 0 {
		w.broken[endpoint] = undecided
	}
}

// Heard takes what other hosts have seen.
func (w *Watcher) Heard(now time.Time, n News) {
	for _, c := range n.Crashes {
		w.count(now, c, "told")
	}
	for _, fingerprint := range n.Cleared {
		w.clear(now, fingerprint, "told")
	}
}

// count returns false if the crash was known.
func (w *Watcher) count(now time.Time, c quarantiner.Crash, source string) bool {
	fingerprint, endpoint := Name(c.Fingerprint), Name(c.Endpoint)
	if !w.book.Add(now, c) {
		countCrashes.Add("known", 1)
		klog.V(1).InfoS("crashwatcher: crash is known already", "fingerprint", fingerprint, "endpoint_digest", endpoint, "source", source)
		return false
	}
	w.quarantine.Crashed(c.At.Sub(w.started), fingerprint, endpoint, c.Began.Sub(w.started))
	countCrashes.Add(source, 1)
	crashes, refused := w.State(now, c.Fingerprint)
	klog.InfoS("crashwatcher: crash counted", "fingerprint", fingerprint, "endpoint_digest", endpoint, "source", source,
		"crashes", crashes, "refused_for", refused, "watching_for", now.Sub(w.started))
	return true
}

// State returns the crashes that count against a request, and how long it is still refused.
func (w *Watcher) State(now time.Time, fingerprint uint64) (crashes int, refused time.Duration) {
	return w.quarantine.Crashes(now.Sub(w.started), Name(fingerprint))
}

// Finished clears a request to which an endpoint has given a whole answer of success.
func (w *Watcher) Finished(now time.Time, fingerprint uint64) {
	w.answeredAt = now
	if w.clear(now, fingerprint, "seen") {
		w.news.Cleared = append(w.news.Cleared, fingerprint)
	}
}

// clear returns false if nothing counted against the request, or if it is refused.
func (w *Watcher) clear(now time.Time, fingerprint uint64, source string) bool {
	crashes, _ := w.State(now, fingerprint)
	if _, cleared := w.quarantine.Finished(now.Sub(w.started), Name(fingerprint)); !cleared {
		return false
	}
	w.book.Remove(fingerprint)
	countCrashes.Add("cleared", 1)
	klog.InfoS("crashwatcher: request cleared", "fingerprint", Name(fingerprint), "crashes", crashes, "source", source)
	return true
}

// Told returns what this host has seen since the last call, or all the crashes that it knows.
func (w *Watcher) Told(all bool) News {
	news := w.news
	w.news = News{}
	if all {
		news.Crashes, _ = w.book.Since(0)
	}
	return news
}

// Sweep forgets broken exchanges that nothing has shown to be crashes, and the oldest news while nobody takes them.
func (w *Watcher) Sweep(now time.Time) {
	for endpoint, runs := range w.broken {
		if now.Sub(runs[len(runs)-1].at) > ConfirmedWithin {
			delete(w.broken, endpoint)
		}
	}
	w.news.Crashes = w.news.Crashes[max(0, len(w.news.Crashes)-maxNews):]
	w.news.Cleared = w.news.Cleared[max(0, len(w.news.Cleared)-maxNews):]
}
