package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/dragonflycroft/dragonflycroft/internal/answerer"

	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/responder"
)

const (
	// bodyWait is the time for which a body waits for memory before slow bodies are closed, and bodyWaitInterval the time between two of them.
	bodyWait, bodyWaitInterval = time.Second, 100 * time.Millisecond
	// bodyPause is the pause from which on a body is slow while others wait for memory.
	bodyPause = time.Second
	// memoryRetryAfter is the retry delay sent to a caller whose request did not fit into the memory for all callers.
	memoryRetryAfter = 500 * time.Millisecond
)

// acquireBodyMemory waits until memory for a body is free. While it waits, bodies that make no progress lose theirs with their connections.
func (s *Server) acquireBodyMemory(k *callerRequest, tier string, n int64) (release func(int64), f *responder.Failure) {
	waited := make(chan struct{})
	go s.closeSlowBodies(waited)
	release, err := s.memory.Acquire(k.ctx, tier, len(k.index.Config().Tiers), n)
	close(waited)
	if err != nil {
		return nil, &responder.Failure{Status: http.StatusServiceUnavailable, Reason: "caller_gone", Message: "the caller left before its body was read"}
	}
	if err := k.conn.bounded.Reserve(n); err != nil {
		release(n)
		discard(k.c)
		return nil, &responder.Failure{
			Status: http.StatusServiceUnavailable, Outcome: answerer.NotRun, Reason: "memory",
			Message: "the memory for callers is used up; the request did not run", RetryAfter: memoryRetryAfter,
		}
	}
	k.conn.bounded.BeginBody()
	return release, nil
}

// closeSlowBodies closes slow bodies until another one has waited for memory.
func (s *Server) closeSlowBodies(waited <-chan struct{}) {
	// A body that takes longer than the time limit would fail in any case.
	slowest := float64(s.maxBody()) / orDefault(s.BodyTimeout, DefaultBodyTimeout).Seconds()
	timer := time.NewTimer(bodyWait)
	defer timer.Stop()
	for {
		select {
		case <-waited:
			return
		case <-timer.C:
			s.clients.CloseSlowBody(bodyPause, slowest)
			timer.Reset(bodyWaitInterval)
		}
	}
}

// readBody reads the request body within the size limit. It reserves the memory first: while the memory for bodies is used up, it
// waits without reading from the connection, so that TCP flow control stops the caller. release returns the memory.
func (s *Server) readBody(k *callerRequest, tier string) (body []byte, release func(), f *responder.Failure) {
	limit := s.maxBody()
	length := k.c.Request.Header.ContentLength()
	if length > limit {
		discard(k.c)
		return nil, nil, tooLarge(limit)
	}
	reserved := int64(length)
	if length < 0 {
		// The length of a chunked body is known only once it has been read.
		reserved = int64(limit)
	}
	releaseMemory, f := s.acquireBodyMemory(k, tier, reserved)
	if f != nil {
		return nil, nil, f
	}
	bodyBytes.Add(reserved)
	releaseBytes := func(n int64) {
		bodyBytes.Add(-n)
		releaseMemory(n)
	}
	source := &deadlineReader{r: k.c.RequestBodyStream(), deadline: time.Now().Add(orDefault(s.BodyTimeout, DefaultBodyTimeout))}
	body, err := readAll(source, length, limit)
	var slow *slowBodyError
	switch {
	case errors.As(err, &slow):
		f = &responder.Failure{Status: http.StatusRequestTimeout, Reason: "body_too_slow", Message: err.Error() + "; the request did not run"}
	case err != nil:
		f = &responder.Failure{Status: http.StatusBadRequest, Reason: "body_incomplete", Message: "the body could not be read: " + err.Error()}
	case len(body) > limit:
		f = tooLarge(limit)
	}
	if f != nil {
		releaseBytes(reserved)
		discard(k.c)
		return nil, nil, f
	}
	if surplus := reserved - int64(len(body)); surplus > 0 {
		releaseBytes(surplus)
		reserved -= surplus
	}
	k.conn.bounded.BeginRun()
	k.conn.watchEnd(k.gone)
	var once sync.Once
	return body, func() { once.Do(func() { releaseBytes(reserved) }) }, nil
}

// slowBodyError reports a body that was not read within the time limit.
type slowBodyError struct{}

// Error implements error.
func (*slowBodyError) Error() string { return "the body was not received within the time limit" }

// deadlineReader fails reads after a deadline, so that a body that arrives too slowly is not read to its end. The read timeout of
// the listener bounds a single pause.
type deadlineReader struct {
	r        io.Reader
	deadline time.Time
}

// Read implements io.Reader.
func (t *deadlineReader) Read(p []byte) (int, error) {
	switch {
	case t.r == nil:
		return 0, io.EOF
	case time.Now().After(t.deadline):
		return 0, &slowBodyError{}
	}
	return t.r.Read(p)
}

// readAll reads a body of the given length. A body of unknown length (below 0) is read up to one byte above the limit, so that
// the caller of readAll can detect a longer one.
func readAll(r io.Reader, length, limit int) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r, int64(limit)+1))
}

// discardTimeout bounds the reading of a refused body, and each pause in it.
const discardTimeout = 2 * time.Second

// discard reads and drops the rest of a refused body for a short time, and marks the connection to be closed after the response.
// A caller that is still writing when the connection is closed receives a reset instead of the response.
func discard(c *app.RequestContext) {
	if c.Request.Header.ContentLength() == 0 {
		return
	}
	c.SetConnectionClose()
	_ = c.GetConn().SetReadTimeout(discardTimeout)
	_, _ = io.Copy(io.Discard, &deadlineReader{r: c.RequestBodyStream(), deadline: time.Now().Add(discardTimeout)})
}

func tooLarge(limit int) *responder.Failure {
	return &responder.Failure{
		Status: http.StatusRequestEntityTooLarge, Reason: "body_too_large",
		Message: fmt.Sprintf("the body is larger than %d bytes; the request did not run", limit),
	}
}

// readCommonHeaders reads the headers that chat requests and service calls share.
func (k *callerRequest) readCommonHeaders(req *describer.Request) *responder.Failure {
	req.Workspace, req.Caller = k.identity.Workspace.Name, k.identity.Caller.Name
	tiers := k.identity.Caller.Tiers
	req.Tier = string(k.c.GetHeader(HeaderTier))
	if req.Tier == "" && len(tiers) > 0 {
		req.Tier = tiers[0]
	}
	allowed := false
	for _, t := range tiers {
		allowed = allowed || t == req.Tier
	}
	if !allowed {
		return &responder.Failure{
			Status: http.StatusForbidden, Reason: "tier_not_allowed",
			Message: fmt.Sprintf("tier %q is not allowed for this caller, which may use %s", req.Tier, strings.Join(tiers, ", ")),
		}
	}
	req.Key = string(k.c.GetHeader(HeaderIdempotencyKey))
	if len(req.Key) > maxKeyBytes {
		return &responder.Failure{
			Status: http.StatusBadRequest, Reason: "invalid_header",
			Message: fmt.Sprintf("%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes),
		}
	}
	if text := string(k.c.GetHeader(HeaderTimeoutMS)); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return &responder.Failure{
				Status: http.StatusBadRequest, Reason: "invalid_header",
				Message: HeaderTimeoutMS + " is not a positive number of milliseconds",
			}
		}
		req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return nil
}

// forwardedHeaders returns the caller's headers that are forwarded to an endpoint. The API key is not among them.
func (k *callerRequest) forwardedHeaders() map[string]string {
	out := make(map[string]string)
	k.c.Request.Header.VisitAll(func(name, value []byte) {
		lower := strings.ToLower(string(name))
		switch {
		case strings.HasPrefix(lower, headerPrefix):
		case lower == "authorization", lower == "host", lower == "content-length", lower == "connection", lower == "expect",
			lower == "keep-alive", lower == "proxy-authorization", lower == "proxy-connection", lower == "te",
			lower == "trailer", lower == "transfer-encoding", lower == "upgrade", lower == "accept-encoding",
			lower == "x-request-id", lower == "cookie":
		default:
			out[string(name)] = string(value)
		}
	})
	return out
}

func isDone(e answerer.End) bool { return e.Outcome == answerer.Done }
