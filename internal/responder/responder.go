// Package responder answers callers whose requests were no success, with the outcome and what they may do.
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

// maxQuoted bounds the part of an endpoint's error that is passed on.
const maxQuoted = 1024

var countRefused = expvar.NewMap("responder_refused")

// Failure is an answer that is no success.
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

// FromError maps an error of taking a request over.
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

// statusOf returns the HTTP status of a final state that is no success.
func statusOf(e answerer.End) int {
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

// FromEnd maps a final state that is no success.
func FromEnd(id string, e answerer.End) *Failure {
	message := e.Message
	if e.Response != nil && len(e.Response.Body) > 0 {
		message += ": " + string(e.Response.Body[:min(len(e.Response.Body), maxQuoted)])
	}
	return &Failure{
		Status: statusOf(e), Outcome: e.Outcome, Reason: e.Reason, Message: message, RequestID: id, RetryAfter: e.RetryAfter,
	}
}

// Write answers with the failure. Its outcome defaults to not_run.
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
		// OpenAI clients repeat a failed request unless told otherwise; this one may have run.
		h.Set("X-Should-Retry", "false")
	}
	data, _ := json.Marshal(f.body())
	c.Data(f.Status, "application/json; charset=utf-8", data)
}
