// Package responder writes the error responses to callers: the status, the outcome, and whether and when the caller may retry.
package responder

import (
	"encoding/json"
	"errors"
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/chatencoder"
	"github.com/dragonflycroft/dragonflycroft/internal/dispatcher"
)

// Headers of all responses.
const (
	HeaderRequestID = "X-Dragonflycroft-Request-Id"
	HeaderOutcome   = "X-Dragonflycroft-Outcome"
)

// maxQuotedBytes bounds the part of an endpoint's error body that is copied into the message for the caller.
const maxQuotedBytes = 1024

var countRefused = expvar.NewMap("responder_refused")

// Failure is an error response to a caller.
type Failure struct {
	Status     int
	Outcome    answerer.Outcome
	Reason     string
	Message    string
	RequestID  string
	RetryAfter time.Duration
}

func (f *Failure) body() chatencoder.ErrorBody {
	return chatencoder.ErrorBody{Error: chatencoder.ErrorDetail{
		Outcome: f.Outcome, Reason: f.Reason, Message: f.Message, RequestID: f.RequestID, RetryAfterMS: f.RetryAfter.Milliseconds(),
	}}
}

// FromError returns the failure for an error of accepting a request or of fetching its answer.
func FromError(err error) *Failure {
	var reused *dispatcher.KeyReusedError
	var missing *dispatcher.NotFoundError
	var pool *dispatcher.UnknownPoolError
	switch {
	case errors.As(err, &pool):
		return &Failure{
			Status: http.StatusServiceUnavailable, Reason: "unready", Message: err.Error(), RetryAfter: time.Second,
		}
	case errors.As(err, &reused):
		return &Failure{
			Status: http.StatusUnprocessableEntity, Outcome: answerer.Refused, Reason: "key_reused",
			Message: err.Error(), RequestID: reused.RequestID,
		}
	case errors.As(err, &missing):
		return &Failure{
			Status: http.StatusNotFound, Outcome: answerer.Unknown, Reason: "unknown_request",
			Message: err.Error(), RequestID: missing.RequestID,
		}
	}
	return &Failure{Status: http.StatusInternalServerError, Reason: "internal", Message: err.Error()}
}

// httpStatus returns the HTTP status of an unsuccessful final state.
func httpStatus(e answerer.End) int {
	switch e.Reason {
	case "limit":
		return http.StatusTooManyRequests
	case "unserved":
		return http.StatusNotFound
	case "key_reused":
		return http.StatusUnprocessableEntity
	case "deadline", "time_limit":
		return http.StatusGatewayTimeout
	case "endpoint_rejected":
		if e.Response != nil && e.Response.Status/100 == 4 {
			return e.Response.Status
		}
	}
	if e.Outcome == answerer.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// FromEnd returns the failure for an unsuccessful final state of request id.
func FromEnd(id string, e answerer.End) *Failure {
	message := e.Message
	if e.Response != nil && len(e.Response.Body) > 0 {
		message += ": " + string(e.Response.Body[:min(len(e.Response.Body), maxQuotedBytes)])
	}
	return &Failure{
		Status: httpStatus(e), Outcome: e.Outcome, Reason: e.Reason, Message: message, RequestID: id, RetryAfter: e.RetryAfter,
	}
}

// Write writes the failure as the response. An empty outcome is set to not_run.
func (f *Failure) Write(c *app.RequestContext) {
	if f.Outcome == "" {
		f.Outcome = answerer.NotRun
	}
	countRefused.Add(f.Reason, 1)
	h := &c.Response.Header
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderRequestID, f.RequestID)
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((f.RetryAfter+time.Second-1)/time.Second), 10))
	}
	if f.Outcome == answerer.Unknown {
		// OpenAI clients retry a failed request unless this header forbids it; this request may have run.
		h.Set("X-Should-Retry", "false")
	}
	data, _ := json.Marshal(f.body())
	c.Data(f.Status, "application/json; charset=utf-8", data)
}
