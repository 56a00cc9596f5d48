// Package crashwatcher detects requests that crash the endpoints which run them, from interrupted exchanges of this host and from
// updates of other hosts, and decides how long such requests are refused.
package crashwatcher

import (
	"expvar"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/attributor"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
)

const (
	// ConfirmWindow is the time after an interrupted exchange in which a refused connection, or another endpoint at the address,
	// confirms that the endpoint has crashed and not only lost one response.
	ConfirmWindow = 3 * time.Second
	// minQuarantine is the minimum time for which a request that has crashed two endpoints is refused. quarantineJitter is the
	// largest fraction by which hosts lengthen it, so that they do not all run the request again at the same time.
	minQuarantine    = time.Minute
	quarantineJitter = 0.5
	// trialTimeout is the longest time for which the trial run of a formerly refused request prevents further runs.
	trialTimeout = 15 * time.Second
	// maxInterruptedRuns is the number of interrupted exchanges that are kept per endpoint until a crash is confirmed.
	maxInterruptedRuns = 256
	// maxPendingUpdates is the number of crashes, and of cleared requests, that are kept while no coordinator can be reached.
	maxPendingUpdates = 1024
)

var crashCounts = expvar.NewMap("crashwatcher_crashes")

// Updates is an update about crashing requests that hosts send to each other.
type Updates struct {
	Crashes []quarantiner.Crash
	// Cleared holds the fingerprints of the requests that succeeded after a crash had been counted for them.
	Cleared []uint64
	// Evidence is the evidence about the parts of prompts.
	Evidence []attributor.Evidence
}

// InterruptedRun is an exchange that ended without a complete response.
type InterruptedRun struct {
	Fingerprint uint64
	// Began is when the request was sent.
	Began time.Time
	// IdleSince is the time of the last event from the endpoint, or of the send if there was none, if this host canceled the
	// exchange; otherwise it is zero.
	IdleSince time.Time
	// Parts are the digests of the prompt parts that other requests may share. They are empty if the run survived long enough to
	// show that they are harmless.
	Parts []uint64
	// Answering is true if the endpoint had begun to write its response.
	Answering bool
}

type timedRun struct {
	InterruptedRun
	at time.Time
}

// Watcher counts the crashes of endpoints by request fingerprint. It is not safe for concurrent use.
type Watcher struct {
	started     time.Time
	quarantine  *quarantiner.Quarantine
	parts       *attributor.Tracker
	interrupted map[string][]timedRun
	crashes     quarantiner.CrashLog
	// retracted are the recorded crashes that do not count, because a harmful prompt part of another request caused them.
	retracted map[quarantiner.Crash]bool
	// lastSuccessAt is the time of the last successful response of any endpoint to this host.
	lastSuccessAt time.Time
	// pending holds the updates from this host that have not been taken yet.
	pending Updates
}

// New returns a Watcher without crashes. Share is a number from 0 to 1 that differs between hosts; it sets the quarantine jitter.
func New(now time.Time, share float64) *Watcher {
	quarantine := time.Duration(float64(minQuarantine) * (1 + quarantineJitter*share))
	return &Watcher{
		started: now, quarantine: quarantiner.New(quarantine), parts: attributor.New(rand.New(rand.NewPCG(math.Float64bits(share), uint64(now.UnixNano())))),
		interrupted: map[string][]timedRun{},
	}
}

// FormatFingerprint returns a fingerprint in hexadecimal, as it is logged.
func FormatFingerprint(fingerprint uint64) string { return strconv.FormatUint(fingerprint, 16) }

// RefusedFor returns how long a request, or one of the parts of its prompt, is still refused; 0 means that it may run.
func (w *Watcher) RefusedFor(now time.Time, fingerprint uint64, parts ...uint64) time.Duration {
	left := w.parts.RefusedFor(now, parts)
	if v, quarantined := w.quarantine.Status(now.Sub(w.started), FormatFingerprint(fingerprint)); v == quarantiner.Refused {
		left = max(left, quarantined)
	}
	return left
}

// BeginRun returns 0 and starts a run if a request may run, or returns how long the request is still refused.
func (w *Watcher) BeginRun(now time.Time, fingerprint uint64, parts ...uint64) time.Duration {
	left := w.RefusedFor(now, fingerprint, parts...)
	if left == 0 {
		w.quarantine.StartTrial(now.Sub(w.started), FormatFingerprint(fingerprint), trialTimeout)
		w.parts.BeginRun(now, parts)
	}
	return left
}

// EndRun ends a run with prompt parts, so that the next trial run with them may begin.
func (w *Watcher) EndRun(parts []uint64) { w.parts.EndRun(parts) }

// RecordSurvival records that the endpoint did not crash when it began to answer a run with prompt parts.
func (w *Watcher) RecordSurvival(now time.Time, parts []uint64) { w.parts.RecordSurvival(now, parts) }

// PartCrashes returns the largest number of crashes that one of the prompt parts has caused.
func (w *Watcher) PartCrashes(parts []uint64) int { return w.parts.Crashes(parts) }

// CancelRun ends the trial run of a request that the endpoint did not run, so that the next run may begin.
func (w *Watcher) CancelRun(now time.Time, fingerprint uint64) {
	w.quarantine.StartTrial(now.Sub(w.started), FormatFingerprint(fingerprint), 0)
}

// AddInterrupted records an exchange that ended without a complete response.
func (w *Watcher) AddInterrupted(now time.Time, endpoint string, r InterruptedRun) {
	if runs := w.interrupted[endpoint]; len(runs) < maxInterruptedRuns {
		w.interrupted[endpoint] = append(runs, timedRun{InterruptedRun: r, at: now})
	}
}

// Interrupted returns the number of interrupted exchanges with an endpoint that are kept until a crash is confirmed.
func (w *Watcher) Interrupted(endpoint string) int { return len(w.interrupted[endpoint]) }

// RecordCrash records the confirmed crash of an endpoint for the requests whose exchanges with it were just interrupted.
func (w *Watcher) RecordCrash(now time.Time, endpoint string) {
	var unconfirmed []timedRun
	var suspects []attributor.Run
	digest := xxhash.Sum64String(endpoint)
	for _, r := range w.interrupted[endpoint] {
		switch {
		case now.Sub(r.at) > ConfirmWindow:
			continue
		case w.lastSuccessAt.Before(r.IdleSince):
			// While this host gets no response from any endpoint, the timeout of one is no evidence of a crash.
			unconfirmed = append(unconfirmed, r)
			continue
		}
		if r.IdleSince.IsZero() || r.Answering {
			suspects = append(suspects, attributor.Run{Parts: r.Parts, Began: r.Began, At: r.at, Answering: r.Answering})
		}
		c := quarantiner.Crash{Fingerprint: r.Fingerprint, Endpoint: digest, Began: r.Began, At: r.at}
		if w.addCrash(now, c, "seen") {
			w.pending.Crashes = append(w.pending.Crashes, c)
		}
	}
	if len(w.interrupted[endpoint]) > len(unconfirmed) {
		w.parts.RecordCrash(now, digest, suspects)
		w.retractExplained()
	}
	delete(w.interrupted, endpoint)
	if len(unconfirmed) > 0 {
		w.interrupted[endpoint] = unconfirmed
	}
}

// MergeUpdates merges the updates of another host.
func (w *Watcher) MergeUpdates(now time.Time, n Updates) {
	for _, c := range n.Crashes {
		w.addCrash(now, c, "told")
	}
	for _, fingerprint := range n.Cleared {
		w.clear(now, fingerprint, "told")
	}
	w.parts.Merge(now, n.Evidence)
	if len(n.Crashes)+len(n.Evidence) > 0 {
		w.retractExplained()
	}
}

// retractExplained retracts the recorded crashes that a harmful prompt part caused. The other requests at the endpoint are not to
// blame, and requests with the part are refused because of it.
func (w *Watcher) retractExplained() {
	known, _ := w.crashes.Since(0)
	retracted := map[quarantiner.Crash]bool{}
	for _, c := range known {
		if !w.parts.Explains(c.Endpoint, c.Began, c.At) {
			continue
		}
		if retracted[c] = true; !w.retracted[c] {
			crashCounts.Add("retracted", 1)
			w.quarantine.RetractCrash(FormatFingerprint(c.Fingerprint), FormatFingerprint(c.Endpoint))
		}
	}
	w.retracted = retracted
}

// addCrash records a crash. It returns false if the crash was already recorded.
func (w *Watcher) addCrash(now time.Time, c quarantiner.Crash, source string) bool {
	fingerprint, endpoint := FormatFingerprint(c.Fingerprint), FormatFingerprint(c.Endpoint)
	if !w.crashes.Add(now, c) {
		crashCounts.Add("known", 1)
		klog.V(1).InfoS("crashwatcher: crash already recorded", "fingerprint", fingerprint, "endpoint_digest", endpoint, "source", source)
		return false
	}
	w.quarantine.RecordCrash(c.At.Sub(w.started), fingerprint, endpoint, c.Began.Sub(w.started))
	crashCounts.Add(source, 1)
	crashes, refused := w.State(now, c.Fingerprint)
	klog.InfoS("crashwatcher: crash counted", "fingerprint", fingerprint, "endpoint_digest", endpoint, "source", source,
		"crashes", crashes, "refused_for", refused, "watching_for", now.Sub(w.started))
	return true
}

// State returns the number of crashes recorded for a request, and how long it is still refused.
func (w *Watcher) State(now time.Time, fingerprint uint64) (crashes int, refused time.Duration) {
	return w.quarantine.Crashes(now.Sub(w.started), FormatFingerprint(fingerprint))
}

// RecordSuccess records a complete successful response to a request and clears its crashes, unless it is refused.
func (w *Watcher) RecordSuccess(now time.Time, fingerprint uint64) {
	w.lastSuccessAt = now
	if w.clear(now, fingerprint, "seen") {
		w.pending.Cleared = append(w.pending.Cleared, fingerprint)
	}
}

// clear removes the crashes of a request. It returns false if there were none, or if the request is refused.
func (w *Watcher) clear(now time.Time, fingerprint uint64, source string) bool {
	crashes, _ := w.State(now, fingerprint)
	if _, cleared := w.quarantine.RecordSuccess(now.Sub(w.started), FormatFingerprint(fingerprint)); !cleared {
		return false
	}
	w.crashes.Remove(fingerprint)
	crashCounts.Add("cleared", 1)
	klog.InfoS("crashwatcher: request cleared", "fingerprint", FormatFingerprint(fingerprint), "crashes", crashes, "source", source)
	return true
}

// TakeUpdates returns and removes the pending updates of this host. If all is true, the result has all recorded crashes and
// evidence.
func (w *Watcher) TakeUpdates(all bool) Updates {
	updates := w.pending
	w.pending = Updates{}
	updates.Evidence = w.parts.TakeUpdates(all)
	if all {
		updates.Crashes, _ = w.crashes.Since(0)
	}
	return updates
}

// Sweep removes interrupted exchanges whose crash was not confirmed in time, and the oldest pending updates beyond the limit.
func (w *Watcher) Sweep(now time.Time) {
	for endpoint, runs := range w.interrupted {
		if now.Sub(runs[len(runs)-1].at) > ConfirmWindow {
			delete(w.interrupted, endpoint)
		}
	}
	w.pending.Crashes = w.pending.Crashes[max(0, len(w.pending.Crashes)-maxPendingUpdates):]
	w.pending.Cleared = w.pending.Cleared[max(0, len(w.pending.Cleared)-maxPendingUpdates):]
}
