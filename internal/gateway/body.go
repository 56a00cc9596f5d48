package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/connlimiter"
)

const (
	// bodyReadTimeout is the longest time for reading a whole request body.
	bodyReadTimeout = 10 * time.Second
	// memoryRetryAfter is the retry delay sent to a caller whose request body did not fit into the memory for all callers.
	memoryRetryAfter = 500 * time.Millisecond
)

// readBody reads the whole body. It returns false if it has refused the request.
func (q *request) readBody(limit int64) bool {
	if q.r.ContentLength == 0 {
		q.bodyRead = true
		return true
	}
	if q.r.ContentLength > limit {
		q.w.Header().Set("Connection", "close")
		q.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		klog.V(1).Infof("gateway: read deadline for the body not set request=%s reason=%q", q.id, err)
	}
	body, err := connlimiter.ReadBody(q.bounded, http.MaxBytesReader(q.w.ResponseWriter, q.r.Body, limit), q.r.ContentLength)
	if err != nil {
		var exhausted *connlimiter.ExhaustedError
		if errors.As(err, &exhausted) {
			q.w.Header().Set("Connection", "close")
			q.refuse(http.StatusServiceUnavailable, "memory", memoryRetryAfter)
			return false
		}
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			q.w.Header().Set("Connection", "close")
			q.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
			return false
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			q.w.Header().Set("Connection", "close")
			q.refuse(http.StatusRequestTimeout, "body_timeout", 0)
			return false
		}
		requestCounts.Add("body_broken", 1)
		klog.V(1).Infof("gateway: reading the body failed request=%s reason=%q", q.id, err)
		panic(http.ErrAbortHandler)
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		klog.V(1).Infof("gateway: read deadline for the body not cleared request=%s reason=%q", q.id, err)
	}
	q.body, q.bodyRead = body, true
	return true
}
