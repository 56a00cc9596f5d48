// Package sender performs the one exchange that dispatches a request to an endpoint under a grant.
package sender

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/finder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// endpointPoll is how often the resolver is asked for an endpoint that this host does not know yet.
const endpointPoll = 10 * time.Millisecond

// Endpoints reaches the endpoints of the configuration by name.
type Endpoints interface {
	finder.Endpoints
	Service(name string) (connector.Service, bool)
}

// UnsentError reports that no byte was written, and why the grant is given back.
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
	// Sent is called before the first byte is written.
	Sent func()

	sent bool
}

// dialContext bounds the connect of a dispatch by the deadline of its grant; the exchange itself is not bounded by it.
type dialContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c dialContext) Deadline() (time.Time, bool) { return c.deadline, true }

func (s *Sender) expired() bool { return !time.Now().Before(s.Deadline) }

func (s *Sender) onSent() {
	s.sent = true
	s.Sent()
}

// await waits until this host knows the endpoint: the holder may act on a newer configuration than this host.
func (s *Sender) await(ctx context.Context, known func() bool) error {
	ticker := time.NewTicker(endpointPoll)
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

// classify turns an error into an *UnsentError when no byte was written.
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

// Chat dispatches a chat request. The engine is nil after an *UnsentError; after another error the run may exist there.
func (s *Sender) Chat(ctx context.Context, call connector.Call) (connector.Engine, connector.Stream, error) {
	var engine connector.Engine
	err := s.await(ctx, func() (ok bool) {
		engine, ok = s.Endpoints.Engine(s.Endpoint)
		return ok
	})
	if err != nil {
		return nil, nil, err
	}
	stream, err := engine.Dispatch(dialContext{ctx, s.Deadline}, call, s.onSent)
	if !s.sent {
		return nil, nil, s.classify(err)
	}
	return engine, stream, err
}

// Call dispatches a call of a plain service. After an error other than an *UnsentError it may have run.
func (s *Sender) Call(ctx context.Context, call connector.Call) (*connector.Response, error) {
	var service connector.Service
	err := s.await(ctx, func() (ok bool) {
		service, ok = s.Endpoints.Service(s.Endpoint)
		return ok
	})
	if err != nil {
		return nil, err
	}
	response, err := service.Do(dialContext{ctx, s.Deadline}, call, s.onSent)
	if err != nil || !s.sent {
		return nil, s.classify(err)
	}
	return response, nil
}

// Failure returns the sign of failure in the error of an exchange, if there is one.
func Failure(err error) (scheduler.FailureCause, bool) {
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		switch interrupted.Cause {
		case connector.CauseReset:
			return scheduler.FailureReset, true
		case connector.CauseSilent:
			return scheduler.FailureSilent, true
		}
	}
	return "", false
}
