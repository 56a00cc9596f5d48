// Package granter is an entry host's side of the stream to the holder of a pool.
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

// Times of a session.
const (
	// DefaultHeartbeatInterval is a fifth of the silence limit, so that one lost interval does not drop a stream.
	DefaultHeartbeatInterval = 200 * time.Millisecond
	// DefaultSilenceLimit is how long a stream may be silent before it is dropped.
	DefaultSilenceLimit = time.Second
	minReconnectDelay   = 10 * time.Millisecond
	maxReconnectDelay   = 200 * time.Millisecond
	// helloPartEntries bounds one part of a Hello well below the frame limit of the transport.
	helloPartEntries = 512
	// heartbeatsKept covers the send times of all heartbeats that a valid grant can name.
	heartbeatsKept = 64
)

var (
	sessionGrants        = expvar.NewInt("granter_session_grants")
	sessionGrantsForeign = expvar.NewInt("granter_session_grants_foreign")
	sessionGrantsStale   = expvar.NewInt("granter_session_grants_stale")
	sessionConnects      = expvar.NewInt("granter_session_connects")
	sessionDrops         = expvar.NewInt("granter_session_drops")
)

// Locator names the holder of a role.
type Locator interface {
	Holder(role string) (hostID, addr string, epoch uint64, ok bool)
}

// Callbacks are called from the session's receiving goroutine and must not block.
type Callbacks struct {
	// Grant allows a dispatch to endpoint before deadline.
	Grant func(endpoint string, deadline time.Time)
	// Refuse ends the request, which was never dispatched.
	Refuse func(reason scheduler.RefuseReason, retryAfter time.Duration)
	// CancelRun asks to end a running request.
	CancelRun func(reason string)
}

type phase int

const (
	phaseWaiting phase = iota
	phaseGranted
	phaseRunning
)

type tracked struct {
	descriptor scheduler.Descriptor
	callbacks  Callbacks
	phase      phase
	endpoint   string
	submitted  time.Time
	started    time.Time
	output     int
	// refused holds a refusal by a new holder that met a grant of the previous one; it applies if the grant is declined.
	refused *granterpb.Refuse
}

// Session is an entry host's side of the stream to the holder of one pool. Set the exported fields before Run.
type Session struct {
	Pool string
	// Host is the entry host with its incarnation.
	Host      string
	Zone      string
	Transport *transporter.Transport
	Locator   Locator
	// Kept lists finished requests with a key; it may be nil.
	Kept              func() []indexer.Claim
	HeartbeatInterval time.Duration
	SilenceLimit      time.Duration

	mu        sync.Mutex
	requests  map[string]*tracked
	outbox    []*granterpb.EntryMessage
	connected bool
	// closed is true while the pool is not in the configuration.
	closed bool
	wake   chan struct{}
	beats  [heartbeatsKept]beat
	seq    uint64
	// suspects are those that holders have shared, by fingerprint.
	suspects map[string]rememberedSuspect
}

type beat struct {
	seq  uint64
	sent time.Time
}

// RoleOf returns the role name of a pool's scheduler.
func RoleOf(pool string) string { return "pool/" + pool }

func (s *Session) silenceLimit() time.Duration {
	if s.SilenceLimit > 0 {
		return s.SilenceLimit
	}
	return DefaultSilenceLimit
}

func (s *Session) heartbeatInterval() time.Duration {
	if s.HeartbeatInterval > 0 {
		return s.HeartbeatInterval
	}
	return DefaultHeartbeatInterval
}

// Submit adds a waiting request. It is kept across reconnects until Finished, Cancelled or a refusal.
func (s *Session) Submit(d scheduler.Descriptor, cb Callbacks) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		go cb.Refuse(scheduler.RefuseUnserved, 0)
		return
	}
	if s.requests == nil {
		s.requests = make(map[string]*tracked)
	}
	s.requests[d.RequestID] = &tracked{descriptor: d, callbacks: cb, submitted: time.Now().Add(-d.Waited)}
	s.push(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Submit{Submit: translator.EncodeDescriptor(d)}})
}

// SetOpen follows the configuration. While the pool is not part of it, waiting requests are refused: no scheduler would ever
// grant them. Runs go on.
func (s *Session) SetOpen(open bool) {
	s.mu.Lock()
	s.closed = !open
	var waiting []string
	if s.closed {
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
	s.push(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Started{Started: &granterpb.Started{RequestId: id, Endpoint: endpoint}}})
}

// Declined gives a grant back; the request waits on unless the reason is DeclineGone.
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
	s.pushDeclined(id, endpoint, reason)
	s.mu.Unlock()
	if refused != nil {
		s.onRefuse(refused)
	}
}

func (s *Session) pushDeclined(id, endpoint string, reason scheduler.DeclineReason) {
	s.push(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Declined{
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
	s.push(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Progress{
		Progress: &granterpb.Progress{RequestId: id, OutputTokens: int64(outputTokens)},
	}})
}

// Finished reports the end of a run and forgets the request.
func (s *Session) Finished(f scheduler.Finished) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests[f.RequestID] == nil {
		return
	}
	delete(s.requests, f.RequestID)
	s.push(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Finished{Finished: &granterpb.Finished{
		RequestId:    f.RequestID,
		Outcome:      f.Outcome,
		PromptTokens: int64(f.PromptTokens),
		CachedTokens: int64(f.CachedTokens),
		OutputTokens: int64(f.OutputTokens),
	}}})
}

// Cancelled withdraws a waiting request, or the claim of one that was not submitted.
func (s *Session) Cancelled(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.requests[id]
	delete(s.requests, id)
	if t != nil && t.phase == phaseGranted {
		s.pushDeclined(id, t.endpoint, scheduler.DeclineGone)
		return
	}
	s.push(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Cancelled{Cancelled: &granterpb.Cancelled{RequestId: id}}})
}

// EndpointFailed reports a sign of failure at an endpoint.
func (s *Session) EndpointFailed(endpoint string, cause scheduler.FailureCause, ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_EndpointFailed{
		EndpointFailed: &granterpb.EndpointFailed{Endpoint: endpoint, Cause: string(cause), RequestIds: ids},
	}})
}

// Connected reports whether the holder has answered on the current stream.
func (s *Session) Connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connected
}

// push queues a message for the current stream. Without a stream the next Hello carries the state instead.
func (s *Session) push(m *granterpb.EntryMessage) {
	if s.wake == nil {
		return
	}
	s.outbox = append(s.outbox, m)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
