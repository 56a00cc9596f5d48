package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// failoverInterval is the time between two searches for another endpoint while a send makes no progress.
const failoverInterval = 250 * time.Millisecond

// failover seeks another endpoint while a send makes no progress, and cancels the send once one is granted. A sound endpoint may be
// silent for a moment, so until then the send goes on, unless the endpoint keeps sending bytes that are no progress.
type failover struct {
	q      *request
	ctx    context.Context
	cancel context.CancelFunc
	// endpoint is the ID of the endpoint of the send, and limit the time without progress after which another one is sought.
	endpoint string
	limit    time.Duration

	mu sync.Mutex
	// work is the demand of the request, and unjoinable is true once no other endpoint may go on with its stream.
	work       balancer.Work
	unjoinable bool
	// boundBy is the ID of the endpoint that began the stream.
	boundBy    string
	timer      *time.Timer
	progressAt time.Time
	// firstByteAt and lastByteAt are the times of the first and the last bytes since progressAt that were no progress.
	firstByteAt, lastByteAt time.Time
	closed                  bool
	// searching is open while a search is in progress.
	searching chan struct{}
	grant     *admitter.Grant
}

// startFailover watches a send that ctx bounds. It does nothing if the request may not be sent to another endpoint.
func (q *request) startFailover(ctx context.Context, cancel context.CancelFunc, endpoint string) *failover {
	f := &failover{q: q, ctx: ctx, cancel: cancel, endpoint: endpoint, limit: q.idleTimeout(), work: q.work, boundBy: q.boundBy, progressAt: time.Now()}
	if f.limit < time.Until(q.deadline) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.timer = time.AfterFunc(f.limit, f.search)
	}
	return f
}

// bind sets the demand of the request once its stream has begun.
func (f *failover) bind(work balancer.Work, unjoinable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work, f.unjoinable, f.boundBy = work, unjoinable, f.endpoint
}

// recordProgress postpones the search.
func (f *failover) recordProgress() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.progressAt, f.firstByteAt = time.Now(), time.Time{}
	if f.timer != nil && f.searching == nil {
		f.timer.Reset(f.limit)
	}
}

// recordBytes records bytes that are no progress.
func (f *failover) recordBytes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastByteAt = time.Now()
	if f.firstByteAt.IsZero() {
		f.firstByteAt = f.lastByteAt
	}
}

// stalled reports whether the endpoint keeps sending bytes that are no progress. The caller holds the lock.
func (f *failover) stalled() bool {
	return !f.firstByteAt.IsZero() && time.Since(f.firstByteAt) >= f.limit/2 && time.Since(f.lastByteAt) < failoverInterval
}

// bodyReader records the bytes of a body that is forwarded as a whole, so that single bytes are no progress.
type bodyReader struct {
	io.Reader
	failover *failover
}

// Read implements io.Reader.
func (r bodyReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.failover.recordBytes()
	}
	return n, err
}

// close ends the watch and returns the grant for the next send, or nil if there is none.
func (f *failover) close() *admitter.Grant {
	f.mu.Lock()
	f.closed = true
	if f.timer != nil {
		f.timer.Stop()
	}
	searching := f.searching
	f.mu.Unlock()
	if searching != nil {
		f.cancel()
		<-searching
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.grant
}

// search seeks another endpoint once. If there is none, it is called again after failoverInterval.
func (f *failover) search() {
	f.mu.Lock()
	if f.closed || f.searching != nil || f.grant != nil {
		f.mu.Unlock()
		return
	}
	searching, began := make(chan struct{}), f.progressAt
	f.searching = searching
	work, unjoinable, boundBy := f.work, f.unjoinable, f.boundBy
	f.mu.Unlock()
	unjoinable = unjoinable || f.q.g.versionChanged(boundBy, work.Version)
	var grant *admitter.Grant
	reason := "the version that began the stream is disputed"
	if !unjoinable {
		grant, reason = f.acquire(work)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	defer close(searching)
	f.searching = nil
	if grant != nil && (f.closed || f.progressAt != began || !f.fits(grant)) {
		f.q.returnReplacement(grant)
		grant, reason = nil, "the endpoint went on"
	}
	if f.closed {
		return
	}
	outcome := "kept"
	switch {
	case grant != nil:
		outcome = "replaced"
	case f.stalled():
		outcome = "stalled"
	}
	silences.Add(outcome, 1)
	klog.InfoS("gateway: endpoint silent", "request", f.q.id, "endpoint", f.endpoint, "rule", f.q.rule.Name, "silent", time.Since(began),
		"outcome", outcome, "reason", reason)
	f.grant = grant
	if outcome != "kept" {
		f.cancel()
	} else {
		f.timer.Reset(max(failoverInterval, f.limit-time.Since(f.progressAt)))
	}
}

// fits reports whether the stream, which may have begun since the search, may go on at a granted endpoint. The caller holds the lock.
func (f *failover) fits(grant *admitter.Grant) bool {
	return !f.unjoinable && (!f.work.Bound || grant.Choice.Endpoint.Version == f.work.Version)
}

// acquire takes a retry from the budget and waits for an endpoint other than those that the request was sent to. It returns a nil
// grant and the reason if there is none.
func (f *failover) acquire(work balancer.Work) (grant *admitter.Grant, reason string) {
	q := f.q
	if !q.g.takeRetry(q.pool) {
		return nil, "retry budget used up"
	}
	except := maps.Clone(q.tried)
	except[f.endpoint] = true
	patience := time.Duration(maxWaitFraction * float64(q.rule.LatencyTarget))
	if q.rule.Kind == router.Streaming {
		patience = q.rule.EventGap * 2
	}
	grant, err := q.g.Placer.Acquire(f.ctx, admitter.Request{
		Pool: q.pool, Work: work, Tier: q.tier, Patience: min(patience, time.Until(q.deadline)), Except: except, Workspace: q.workspaceName(),
	})
	if err == nil {
		return grant, ""
	}
	q.g.returnRetry(q.pool)
	var refused *admitter.RefusedError
	if errors.As(err, &refused) {
		return nil, string(refused.Reason)
	}
	return nil, err.Error()
}
