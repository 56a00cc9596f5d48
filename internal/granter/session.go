// Package granter implements the entry host's side of the stream to the holder of a pool: it submits requests and receives the
// grants.
package granter

import (
	"expvar"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Times and sizes of a session.
const (
	// DefaultHeartbeatInterval is a fifth of the receive timeout, so that one missed heartbeat does not end a stream.
	DefaultHeartbeatInterval = 200 * time.Millisecond
	// DefaultReceiveTimeout is how long a stream may go without a received message before it is closed.
	DefaultReceiveTimeout = time.Second
	minReconnectDelay     = 10 * time.Millisecond
	maxReconnectDelay     = 200 * time.Millisecond
	// maxHelloPartEntries keeps one part of a Hello well below the frame limit of the transport.
	maxHelloPartEntries = 512
	// heartbeatHistory is the number of heartbeats whose send times are kept; it covers all that a valid grant can name.
	heartbeatHistory = 64
)

var (
	sessionGrants          = expvar.NewInt("granter_session_grants")
	sessionGrantsUnmatched = expvar.NewInt("granter_session_grants_foreign")
	sessionGrantsStale     = expvar.NewInt("granter_session_grants_stale")
	sessionConnects        = expvar.NewInt("granter_session_connects")
	sessionDrops           = expvar.NewInt("granter_session_drops")
)

// Locator returns the current holder of a role; ok is false if none is known.
type Locator interface {
	Holder(role string) (hostID, addr string, epoch uint64, ok bool)
}

// Callbacks are the events of one request. They are usually called from the session's receiving goroutine and must not block.
type Callbacks struct {
	// Grant allows a dispatch to endpoint before deadline.
	Grant func(endpoint string, deadline time.Time)
	// Refuse ends the request, which was never dispatched.
	Refuse func(reason scheduler.RefuseReason, retryAfter time.Duration)
	// CancelRun asks to cancel a dispatched request.
	CancelRun func(reason string)
}

type phase int

const (
	phaseWaiting phase = iota
	phaseGranted
	phaseRunning
)

type trackedRequest struct {
	descriptor scheduler.Descriptor
	callbacks  Callbacks
	phase      phase
	endpoint   string
	submitted  time.Time
	started    time.Time
	output     int
	// refused is a refusal by a new holder that arrived while a grant of the previous one was in use. It takes effect if the
	// grant is declined.
	refused *granterpb.Refuse
}

// Session is an entry host's side of the stream to the holder of one pool. Set the exported fields before Run.
type Session struct {
	Pool string
	// Host is the ID of the entry host with its incarnation.
	Host      string
	Zone      string
	Transport *transporter.Transport
	Locator   Locator
	// FinishedClaims returns the idempotency keys of finished requests whose answers are still stored; it may be nil.
	FinishedClaims    func() []indexer.Claim
	HeartbeatInterval time.Duration
	ReceiveTimeout    time.Duration

	mu        sync.Mutex
	requests  map[string]*trackedRequest
	outbox    []*granterpb.EntryMessage
	connected bool
	// unconfigured is true while the pool is not in the configuration.
	unconfigured bool
	wake         chan struct{}
	heartbeats   [heartbeatHistory]sentHeartbeat
	seq          uint64
	// suspects are the crash counts received from holders, by request fingerprint.
	suspects map[string]storedSuspect
}

type sentHeartbeat struct {
	seq  uint64
	sent time.Time
}

// RoleOf returns the role name of a pool's scheduler.
func RoleOf(pool string) string { return "pool/" + pool }

func (s *Session) receiveTimeout() time.Duration {
	if s.ReceiveTimeout > 0 {
		return s.ReceiveTimeout
	}
	return DefaultReceiveTimeout
}

func (s *Session) heartbeatInterval() time.Duration {
	if s.HeartbeatInterval > 0 {
		return s.HeartbeatInterval
	}
	return DefaultHeartbeatInterval
}

// Submit adds a waiting request. The session resubmits it after a reconnect until Finished, Cancelled or a refusal.
func (s *Session) Submit(d scheduler.Descriptor, cb Callbacks) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unconfigured {
		go cb.Refuse(scheduler.RefuseUnserved, 0)
		return
	}
	if s.requests == nil {
		s.requests = make(map[string]*trackedRequest)
	}
	s.requests[d.RequestID] = &trackedRequest{descriptor: d, callbacks: cb, submitted: time.Now().Add(-d.Waited)}
	s.send(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Submit{Submit: translator.EncodeDescriptor(d)}})
}

// SetConfigured sets whether the pool is in the configuration. While it is not, waiting requests are refused, since no scheduler
// would ever grant them; requests already running continue.
func (s *Session) SetConfigured(open bool) {
	s.mu.Lock()
	s.unconfigured = !open
	var waiting []string
	if s.unconfigured {
		for id, t := range s.requests {
			if t.phase != phaseRunning {
				waiting = append(waiting, id)
			}
		}
	}
	s.mu.Unlock()
	for _, id := range waiting {
		s.onRefuse(&granterpb.Refuse{RequestId: id, Reason: string(scheduler.RefuseUnserved)})
	}
}

// Started reports that a granted request has been dispatched.
func (s *Session) Started(id, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.requests[id]
	if t == nil {
		return
	}
	t.phase, t.endpoint, t.started = phaseRunning, endpoint, time.Now()
	s.send(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Started{Started: &granterpb.Started{RequestId: id, Endpoint: endpoint}}})
}

// Declined returns a grant unused. The request goes back to waiting unless the reason is DeclineGone, which removes it.
func (s *Session) Declined(id, endpoint string, reason scheduler.DeclineReason) {
	s.mu.Lock()
	t := s.requests[id]
	var refused *granterpb.Refuse
	if t != nil {
		t.phase, t.endpoint = phaseWaiting, ""
		refused = t.refused
	}
	if reason == scheduler.DeclineGone {
		delete(s.requests, id)
		refused = nil
	}
	s.sendDeclined(id, endpoint, reason)
	s.mu.Unlock()
	if refused != nil {
		s.onRefuse(refused)
	}
}

func (s *Session) sendDeclined(id, endpoint string, reason scheduler.DeclineReason) {
	s.send(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Declined{
		Declined: &granterpb.Declined{RequestId: id, Endpoint: endpoint, Reason: string(reason)},
	}})
}

// Progress reports the output tokens of a running request so far.
func (s *Session) Progress(id string, outputTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.requests[id]
	if t == nil {
		return
	}
	t.output = outputTokens
	s.send(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Progress{
		Progress: &granterpb.Progress{RequestId: id, OutputTokens: int64(outputTokens)},
	}})
}

// Finished reports the end of a run and removes the request.
func (s *Session) Finished(f scheduler.Finished) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[f.RequestID] == nil {
		return
	}
	delete(s.requests, f.RequestID)
	s.send(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Finished{Finished: &granterpb.Finished{
		RequestId:    f.RequestID,
		Outcome:      f.Outcome,
		PromptTokens: int64(f.PromptTokens),
		CachedTokens: int64(f.CachedTokens),
		OutputTokens: int64(f.OutputTokens),
	}}})
}

// Cancelled withdraws a waiting request, or the claim of a request that was not submitted.
func (s *Session) Cancelled(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.requests[id]
	delete(s.requests, id)
	if t != nil && t.phase == phaseGranted {
		s.sendDeclined(id, t.endpoint, scheduler.DeclineGone)
		return
	}
	s.send(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Cancelled{Cancelled: &granterpb.Cancelled{RequestId: id}}})
}

// EndpointFailed reports a suspected failure of an endpoint and the requests that observed it.
func (s *Session) EndpointFailed(endpoint string, cause scheduler.FailureCause, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_EndpointFailed{
		EndpointFailed: &granterpb.EndpointFailed{Endpoint: endpoint, Cause: string(cause), RequestIds: ids},
	}})
}

// Connected reports whether the holder has acknowledged a heartbeat on the current stream.
func (s *Session) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

// send queues a message for the current stream. Without a stream the message is dropped, since the next Hello carries the
// state. The caller holds s.mu.
func (s *Session) send(m *granterpb.EntryMessage) {
	if s.wake == nil {
		return
	}
	s.outbox = append(s.outbox, m)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
