package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
)

const (
	// suspectSilence is the time without data after which an exchange that this host canceled may have been interrupted by a
	// crash. Most callers that disconnect for other reasons do so earlier.
	suspectSilence = 600 * time.Millisecond
	// crashConfirmDelay is the time between an interrupted exchange and the connection attempt that checks for a crash.
	crashConfirmDelay = 30 * time.Millisecond
	// survivalTime is the time after its first event from which a stream shows that its prompt did not crash the endpoint.
	survivalTime = 50 * time.Millisecond
	// quarantined is the reason of the refusal of a request that has crashed endpoints.
	quarantined admitter.Reason = "quarantine"
)

// TakeCrashUpdates returns the updates about crashing requests for other hosts: those since the last call, or all known crashes
// if all is true.
func (g *Gateway) TakeCrashUpdates(all bool) crashwatcher.Updates {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashWatcher.TakeUpdates(all)
}

// MergeCrashUpdates merges the updates about crashing requests from other hosts.
func (g *Gateway) MergeCrashUpdates(n crashwatcher.Updates) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashWatcher.MergeUpdates(time.Now(), n)
}

// setFingerprint computes the fingerprint, which is equal for requests with the same workspace, method, URI and body.
func (q *request) setFingerprint() {
	h := xxhash.New()
	for _, part := range []string{q.workspaceName(), q.r.Method, q.r.RequestURI} {
		_, _ = h.WriteString(part + "\n") // a digest never fails
	}
	_, _ = h.Write(q.body)
	q.fingerprint = h.Sum64()
}

// checkQuarantine refuses a request that has crashed two endpoints, or that has a prompt part which crashes endpoints. It returns
// false if it has refused the request.
func (q *request) checkQuarantine() bool {
	q.setFingerprint()
	q.g.mu.Lock()
	left := q.g.crashWatcher.RefusedFor(time.Now(), q.fingerprint, q.partDigests...)
	crashes, _ := q.g.crashWatcher.State(time.Now(), q.fingerprint)
	partCrashes := q.g.crashWatcher.PartCrashes(q.partDigests)
	q.g.mu.Unlock()
	if crashes+partCrashes > 0 {
		klog.InfoS("gateway: suspect arrived", "request", q.id, "fingerprint", crashwatcher.FormatFingerprint(q.fingerprint), "crashes", crashes,
			"part_crashes", partCrashes, "parts", strings.Join(q.sharedParts, " "), "refused_for", left)
	}
	if left > 0 {
		q.refuse(http.StatusServiceUnavailable, string(quarantined), left)
	}
	return left == 0
}

// beginRun returns 0 if the request may be sent now, or how long it is refused: a request with the same fingerprint or prompt part
// may have crashed endpoints while this one waited.
func (q *request) beginRun(now time.Time) time.Duration {
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.sendBegan = now
	return q.g.crashWatcher.BeginRun(now, q.fingerprint, q.partDigests...)
}

// recordSurvival records, once per send, that the endpoint did not crash when it began to answer.
func (q *request) recordSurvival(now time.Time) {
	if q.survived || len(q.partDigests) == 0 {
		return
	}
	q.survived = true
	q.g.mu.Lock()
	defer q.g.mu.Unlock()
	q.g.crashWatcher.RecordSurvival(now, q.partDigests)
}

// interruptedRun returns the facts about the current send for the crash watcher.
func (q *request) interruptedRun(idleSince time.Time) crashwatcher.InterruptedRun {
	r := crashwatcher.InterruptedRun{Fingerprint: q.fingerprint, Began: q.sendBegan, IdleSince: idleSince, Answering: q.answering}
	if !q.survived && (q.sendEvents == 0 || time.Since(q.sendFirstEventAt) < survivalTime) {
		r.Parts = q.partDigests
	}
	return r
}

// sendResult holds the facts about a finished send that indicate whether its endpoint has crashed.
type sendResult struct {
	unreachable, replaced bool
	// notRun is true if the endpoint reported that it did not run the request.
	notRun bool
	// interrupted is true if the endpoint ended the exchange without a complete response, and canceled if this host did.
	interrupted, canceled bool
	// succeeded is true if the endpoint sent a complete response with a status below 300. A response with an error may come from
	// an endpoint that did not run the request.
	succeeded bool
}

// runStage returns how far the endpoint of the last send had got with its response: "waiting" before the head, "answering" before
// the first event, or "streaming".
func (q *request) runStage() string {
	switch {
	case !q.answering:
		return "waiting"
	case q.sendEvents == 0:
		return "answering"
	}
	return "streaming"
}

// logInterruptedRun logs what distinguishes the run that crashed an endpoint from the runs beside it.
func (q *request) logInterruptedRun(e balancer.Endpoint, result sendResult) {
	interruptedRuns.Add(q.runStage(), 1)
	klog.InfoS("gateway: run interrupted", "request", q.id, "fingerprint", crashwatcher.FormatFingerprint(q.fingerprint), "endpoint", e.ID,
		"stage", q.runStage(), "events", q.sendEvents, "parts", strings.Join(q.sharedParts, " "), "canceled", result.canceled,
		"after", time.Since(q.sendBegan))
}

// recordCrashEvidence reports the result of a send to the crash watcher.
func (q *request) recordCrashEvidence(e balancer.Endpoint, result sendResult) {
	g, now := q.g, time.Now()
	if (result.interrupted || result.canceled) && !result.unreachable {
		q.logInterruptedRun(e, result)
	}
	if result.succeeded {
		q.recordSurvival(now)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if result.unreachable || result.notRun {
		g.crashWatcher.CancelRun(now, q.fingerprint)
	}
	g.crashWatcher.EndRun(q.partDigests)
	switch {
	case result.unreachable || result.replaced:
		g.crashWatcher.RecordCrash(now, e.ID)
	case result.interrupted:
		g.crashWatcher.AddInterrupted(now, e.ID, q.interruptedRun(time.Time{}))
		g.confirmCrash(e, q.sendBegan)
	case result.canceled:
		idleSince := latest(q.sendBegan, q.lastEventAt)
		if now.Sub(idleSince) >= suspectSilence {
			g.crashWatcher.AddInterrupted(now, e.ID, q.interruptedRun(idleSince))
			g.confirmCrash(e, q.sendBegan)
		}
	case result.succeeded:
		g.crashWatcher.RecordSuccess(now, q.fingerprint)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// confirmCrash checks in the background whether an endpoint that interrupted a run which began at a time has crashed, and records the crash.
// The caller holds the lock.
func (g *Gateway) confirmCrash(e balancer.Endpoint, began time.Time) {
	if g.confirmingCrash[e.ID] || g.closed.Load() {
		return
	}
	g.confirmingCrash[e.ID] = true
	g.checks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashwatcher.ConfirmWindow/2)
		defer cancel()
		reason := g.crashReason(ctx, e, began)
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.confirmingCrash, e.ID)
		if reason != "" {
			klog.InfoS("gateway: endpoint crashed", "endpoint", e.ID, "broken_off", g.crashWatcher.Interrupted(e.ID), "reason", reason)
			g.crashWatcher.RecordCrash(time.Now(), e.ID)
		}
	})
}

// crashReason returns what shows that an endpoint has crashed, or an empty string. It tries to connect at once, since the endpoint may be back
// soon, and again after crashConfirmDelay, since a crashed process may accept connections for a moment. If this host reaches no endpoint
// of the pool, other hosts decide: all of them may have crashed at once.
func (g *Gateway) crashReason(ctx context.Context, e balancer.Endpoint, began time.Time) string {
	err := g.Client.Probe(ctx, e.Addr)
	if err == nil {
		time.Sleep(crashConfirmDelay)
		err = g.Client.Probe(ctx, e.Addr)
	}
	switch {
	case err != nil && (!g.Sender.CheckPath(ctx, e.Pool) || g.Sender.DownForOthers(ctx, e)):
		return err.Error()
	case err == nil && g.restarted(ctx, e, began):
		return "restarted"
	}
	return ""
}
