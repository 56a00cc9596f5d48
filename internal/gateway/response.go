package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/connlimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
)

// tooLargeError reports a response body above a limit.
type tooLargeError struct{ Limit int }

// Error implements error.
func (e *tooLargeError) Error() string { return fmt.Sprintf("response body exceeds %d bytes", e.Limit) }

// copyBody copies a response body of up to limit bytes. The connection can be kept only if it returns no error.
func copyBody(to io.Writer, response *exchanger.Response, limit int) error {
	n, err := io.Copy(to, io.LimitReader(response.Body, int64(limit)+1))
	switch {
	case err != nil:
		return err
	case n > int64(limit):
		return &tooLargeError{Limit: limit}
	}
	response.MarkComplete()
	return nil
}

// bufferResponse reads a response completely before any of it is forwarded, so that a truncated response is never forwarded.
func (q *request) bufferResponse(grant *admitter.Grant, response *exchanger.Response, f *failover) (sendOutcome, bufferedResponse, error) {
	body, err := connlimiter.ReadBody(q.bounded, io.LimitReader(bodyReader{response.Body, f}, maxResponseBytes+1), response.Length)
	if err == nil && len(body) > maxResponseBytes {
		err = &tooLargeError{Limit: maxResponseBytes}
	}
	if err != nil {
		return q.recordInterrupted(grant, err)
	}
	response.MarkComplete()
	q.mayHaveRun = true
	buffered := bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		grant.End(time.Now(), true)
		return failed, buffered, eris.Errorf("endpoint failed with status %d", response.Status)
	}
	grant.End(time.Now(), false)
	q.writeResponse(buffered)
	return answered, buffered, nil
}

// writeResponse writes an endpoint's response to the caller. A status which means that the request did not run is replaced by
// 502, because the endpoint has run it.
func (q *request) writeResponse(a bufferedResponse) {
	if q.streaming {
		// The caller has already received the head and some events of a stream; another response cannot follow them.
		q.refuse(http.StatusBadGateway, "resume_failed", 0)
		return
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		q.refuse(http.StatusBadGateway, "endpoint_failed", 0)
		return
	}
	q.copyHeader(a.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	if q.bounded != nil {
		q.bounded.BeginResponse()
	}
	q.w.WriteHeader(a.status)
	if _, err := q.w.Write(a.body); err != nil {
		klog.V(1).Infof("gateway: writing the response failed request=%s reason=%q", q.id, err)
	}
}

// copyHeader copies the header of an endpoint's response to the caller's response, without hop-by-hop headers.
func (q *request) copyHeader(in http.Header) {
	out := q.w.Header()
	for name, values := range in {
		out[name] = values
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	if q.g.draining.Load() {
		out.Set("Connection", "close")
	}
}
