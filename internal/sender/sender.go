// Package sender dispatches a request to an endpoint under a grant, in a single exchange.
package sender

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/finder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// endpointPollInterval is the interval at which Endpoints is polled for an endpoint that is not in this host's configuration yet.
const endpointPollInterval = 10 * time.Millisecond

// Endpoints returns clients for the endpoints of the configuration, by name.
type Endpoints interface {
	finder.Endpoints
	Service(name string) (connector.Service, bool)
}

// UnsentError reports that no byte was written, and the reason for which the grant is declined.
type UnsentError struct {
	Reason scheduler.DeclineReason
	Err    error
}

// Error implements error.
func (e *UnsentError) Error() string {
	if e.Err == nil {
		return "nothing was sent: " + string(e.Reason)
	}
	return "nothing was sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Sender dispatches one request. Set the exported fields before use.
type Sender struct {
	Endpoint  string
	Deadline  time.Time
	Endpoints Endpoints
	// OnSent is called once, before the first byte is written.
	OnSent func()

	sent bool
}

// dialContext has the deadline of the grant, which bounds the connect of a dispatch. Its Done channel is that of the embedded
// context, so that the deadline does not end the exchange.
type dialContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c dialContext) Deadline() (time.Time, bool) { return c.deadline, true }

func (s *Sender) expired() bool { return !time.Now().Before(s.Deadline) }

func (s *Sender) markSent() {
	s.sent = true
	s.OnSent()
}

// awaitEndpoint waits until known returns true, at most until the deadline of the grant. The holder of the pool may have a newer
// configuration than this host, with endpoints that this host does not have yet.
func (s *Sender) awaitEndpoint(ctx context.Context, known func() bool) error {
	ticker := time.NewTicker(endpointPollInterval)
	defer ticker.Stop()
	for !known() {
		select {
		case <-ctx.Done():
			return &UnsentError{Reason: scheduler.DeclineExpired, Err: ctx.Err()}
		case <-ticker.C:
		}
		if s.expired() {
			break
		}
	}
	if s.expired() {
		return &UnsentError{Reason: scheduler.DeclineExpired}
	}
	return nil
}

// classify returns an *UnsentError for an error before the first byte was written, and err itself otherwise.
func (s *Sender) classify(err error) error {
	if s.sent {
		return err
	}
	var n *connector.NotSentError
	if errors.As(err, &n) && !s.expired() {
		return &UnsentError{Reason: scheduler.DeclineConnect, Err: err}
	}
	return &UnsentError{Reason: scheduler.DeclineExpired, Err: err}
}

// Chat dispatches a chat request. The engine is nil with an *UnsentError; with another error, the run may exist at the engine.
func (s *Sender) Chat(ctx context.Context, call connector.Call) (connector.Engine, connector.Stream, error) {
	var engine connector.Engine
	err := s.awaitEndpoint(ctx, func() (ok bool) {
		engine, ok = s.Endpoints.Engine(s.Endpoint)
		return ok
	})
	if err != nil {
		return nil, nil, err
	}
	stream, err := engine.Dispatch(dialContext{ctx, s.Deadline}, call, s.markSent)
	if !s.sent {
		return nil, nil, s.classify(err)
	}
	return engine, stream, err
}

// Call dispatches a call to a plain service. With an error other than an *UnsentError, the call may have run.
func (s *Sender) Call(ctx context.Context, call connector.Call) (*connector.Response, error) {
	var service connector.Service
	err := s.awaitEndpoint(ctx, func() (ok bool) {
		service, ok = s.Endpoints.Service(s.Endpoint)
		return ok
	})
	if err != nil {
		return nil, err
	}
	response, err := service.Do(dialContext{ctx, s.Deadline}, call, s.markSent)
	if err != nil || !s.sent {
		return nil, s.classify(err)
	}
	return response, nil
}

// FailureCause returns the failure of the endpoint that the error of an exchange indicates, if there is one.
func FailureCause(err error) (scheduler.FailureCause, bool) {
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		switch interrupted.Cause {
		case connector.CauseReset:
			return scheduler.FailureReset, true
		case connector.CauseTimeout:
			return scheduler.FailureSilent, true
		}
	}
	return "", false
}
