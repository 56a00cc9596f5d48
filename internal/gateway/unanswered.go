package gateway

import (
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"
)

// unansweredCounts counts the requests that this host ended without a complete response, by reason, and abandonedCounts those whose
// caller closed the connection first, by stage.
var (
	unansweredCounts = expvar.NewMap("gateway_unanswered")
	abandonedCounts  = expvar.NewMap("gateway_abandoned")
)

// trackedResponse records how much of a response was written.
type trackedResponse struct {
	http.ResponseWriter
	// conn is the caller's connection; it may be nil.
	conn        *trackedConn
	headWritten bool
	// bytes is the number of bytes of the body that were written.
	bytes int64
	err   error
}

// WriteHeader implements http.ResponseWriter.
func (w *trackedResponse) WriteHeader(status int) {
	w.headWritten = w.headWritten || status >= http.StatusOK
	if w.conn != nil && w.conn.isDraining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackedResponse) Write(b []byte) (int, error) {
	w.headWritten = true
	n, err := w.ResponseWriter.Write(b)
	w.bytes += int64(n)
	w.recordError(err)
	return n, err
}

// FlushError implements the optional method of http.ResponseController.
func (w *trackedResponse) FlushError() error {
	w.headWritten = true
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.recordError(err)
	return err
}

// Unwrap gives http.ResponseController access to the original ResponseWriter.
func (w *trackedResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *trackedResponse) recordError(err error) {
	if w.err == nil {
		w.err = err
	}
}

// finish logs and counts a request that ends without a complete response. It is called with the value of recover: if nothing was
// written, the caller gets a failure; otherwise the connection is closed, which shows that the response is incomplete.
func (q *request) finish(panicked any) {
	if panicked == nil && q.w.headWritten && q.w.err == nil {
		return
	}
	reason := q.unansweredReason(panicked)
	stage := q.stage()
	if reason == "" {
		abandonedCounts.Add(stage, 1)
		klog.V(1).InfoS("gateway: request abandoned by its caller", "request", q.id, "stage", stage, "after", time.Since(q.started))
		panic(http.ErrAbortHandler)
	}
	unansweredCounts.Add(reason, 1)
	rule := ""
	if q.rule != nil {
		rule = q.rule.Name
	}
	klog.InfoS("gateway: request not answered", "request", q.id, "reason", reason, "stage", stage, "body_read", q.bodyRead,
		"head_written", q.w.headWritten, "revision", q.revision, "rule", rule, "pool", q.pool, "workspace", q.workspaceName(), "sends", q.sends,
		"events", q.events, "waited", q.waited, "left", q.deadline.Sub(q.started), "draining", q.g.draining.Load(), "closed", q.g.closed.Load(),
		"write_error", q.w.err, "context", q.r.Context().Err(), "after", time.Since(q.started))
	if q.w.headWritten {
		panic(http.ErrAbortHandler)
	}
	clear(q.w.Header())
	q.w.Header().Set("Connection", "close")
	q.refuse(http.StatusInternalServerError, reason, 0)
}

// unansweredReason returns why there is no complete response, or an empty string if the caller has closed the connection.
func (q *request) unansweredReason(panicked any) string {
	err, _ := panicked.(error)
	if panicked != nil && !errors.Is(err, http.ErrAbortHandler) {
		klog.ErrorS(nil, "gateway: panic", "request", q.id, "reason", fmt.Sprint(panicked), "stack", string(debug.Stack()))
		return "panic"
	}
	switch {
	case q.g.closed.Load() && (errors.Is(q.w.err, net.ErrClosed) || q.conn != nil && q.conn.closed()):
		return "stopped"
	case q.callerLeft():
		return ""
	case q.refusal != "":
		return q.refusal
	case !q.bodyRead:
		return "body_not_read"
	case q.r.Context().Err() != nil:
		return "context_canceled"
	case panicked == nil && q.w.err == nil:
		return "no_response"
	}
	return "aborted"
}

// callerLeft reports whether the caller has closed or reset the connection.
func (q *request) callerLeft() bool {
	if q.conn == nil {
		return q.r.Context().Err() != nil || q.w.err != nil
	}
	return q.conn.peerClosed() || q.w.err != nil && !errors.Is(q.w.err, net.ErrClosed)
}

// stage returns how far the request has got.
func (q *request) stage() string {
	switch {
	case q.streaming:
		return "streaming"
	case q.sends > 0:
		return "sent"
	case !q.sendBegan.IsZero():
		return "placed"
	case q.bodyRead:
		return "read"
	}
	return "reading"
}

// peerClosed reports whether a Read has returned that the peer has closed or reset the connection.
func (c *trackedConn) peerClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded) && !errors.Is(c.readErr, net.ErrClosed) &&
		!errors.Is(c.readErr, io.ErrClosedPipe)
}

// isDraining reports whether the connection is closed after the current request.
func (c *trackedConn) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// closed reports whether this host has closed the connection.
func (c *trackedConn) closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosed
}

// logUnhandled logs and counts a request head that reached no handler. net/http answers a malformed one itself.
func (c *trackedConn) logUnhandled() {
	unansweredCounts.Add("not_handled", 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	klog.InfoS("gateway: request head not handled", "head_bytes", len(c.head), "draining", c.draining, "read_error", c.readErr)
}
