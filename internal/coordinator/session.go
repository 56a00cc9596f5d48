package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/cacheestimator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// SupersededError reports a stream of a process that a later process of the same host has replaced.
type SupersededError struct {
	Host               string
	Incarnation, Newer uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("process %d of %s was replaced by process %d", e.Incarnation, e.Host, e.Newer)
}

// session is the state of the stream of one entry host.
type session struct {
	c         *Coordinator
	host      string
	zone      string
	ctx       context.Context
	cancel    context.CancelFunc
	hostAge   time.Duration // of the host's process when the stream began
	startedAt time.Time
	wake      chan struct{}
	// id identifies the sums sent in this session to the host: they start anew with each session.
	id           uint64
	othersSentAt time.Time
	// othersVersion is the tally version of the last message with the usage of other hosts, and othersSent its sums.
	othersVersion uint64
	othersSent    map[uint64]float64
	// usageReceived is true once the host has reported its usage, which makes this coordinator the one that adds it up.
	usageReceived bool

	mu        sync.Mutex
	pending   *coordinatorpb.Orders
	waiting   map[uint64]context.CancelFunc
	runs      map[uint64]*admitter.Grant
	heldUntil map[string]time.Time
	closed    bool
	// placements are the requests that were placed in this session, by ticket, where the deployment has rollouts.
	placements map[uint64]placement

	// charges are the units that placement requests have taken from allotments, by ticket; guarded by c.mu.
	charges map[uint64]allotmentCharge
}

// Serve processes the reports of an entry host until its stream ends or is canceled. It returns the error that ended it.
func (c *Coordinator) Serve(ctx context.Context, host, zone string, stream Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		c: c, host: host, zone: zone, ctx: ctx, cancel: cancel, startedAt: time.Now(), id: rand.Uint64(), wake: make(chan struct{}, 1), pending: &coordinatorpb.Orders{},
		waiting: map[uint64]context.CancelFunc{}, runs: map[uint64]*admitter.Grant{}, heldUntil: map[string]time.Time{},
		charges: map[uint64]allotmentCharge{}, placements: map[uint64]placement{},
	}
	first := &coordinatorpb.Report{}
	if err := stream.Recv(first); err != nil {
		return err
	}
	if err := s.begin(first.GetHello()); err != nil {
		return err
	}
	// Cancellation must unblock a Recv in progress.
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	var sending sync.WaitGroup
	sending.Go(func() { s.sendOrders(stream, cancel) })
	s.applyReport(first)
	var err error
	for err == nil && ctx.Err() == nil {
		r := &coordinatorpb.Report{}
		if err = stream.Recv(r); err == nil {
			s.applyReport(r)
		}
	}
	cancel()
	sending.Wait()
	s.end(err)
	return err
}

// begin registers the session and replaces an earlier one of the host. It returns a SupersededError for an older process.
func (s *session) begin(hello *coordinatorpb.Hello) error {
	s.hostAge = time.Duration(hello.GetAgeMs()) * time.Millisecond
	c := s.c
	c.mu.Lock()
	newest := c.incarnations[s.host]
	if hello.GetIncarnation() < newest {
		c.mu.Unlock()
		return &SupersededError{Host: s.host, Incarnation: hello.GetIncarnation(), Newer: newest}
	}
	c.incarnations[s.host] = hello.GetIncarnation()
	active, disconnected := c.sessions[s.host], c.disconnected[s.host]
	c.sessions[s.host] = s
	delete(c.disconnected, s.host)
	// Usage since the previous session was reported to another coordinator.
	c.tally.RemoveSource(s.host)
	if history := DecodeHistory(hello.GetHistory(), c.workspaceNames); len(history) > 0 && s.hostAge > historyMaxAge {
		c.allotments.MergeWindows(s.startedAt, history)
	}
	if crashes, _ := c.crashes.Since(0); len(crashes) > 0 {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Crashes = EncodeCrashes(s.startedAt, crashes) })
	}
	if len(c.versionShares) > 0 {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Versions = encodeShares(c.versionShares) })
	}
	c.recordLimits(s.startedAt, hello.GetLimits(), true)
	if len(c.endpointLimits) > 0 {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Limits = EncodeLimits(c.endpointLimits) })
	}
	c.recordStreams(s.startedAt, hello.GetStreams(), false)
	if evidence, _ := c.evidence.Since(0); len(evidence) > 0 {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Evidence = EncodeEvidence(s.startedAt, evidence) })
	}
	c.mu.Unlock()
	for _, previous := range []*session{active, disconnected} {
		if previous != nil {
			previous.releasePlaces()
		}
	}
	klog.InfoS("coordinator: host joined", "host", s.host, "zone", s.zone, "incarnation", hello.GetIncarnation(), "age", s.hostAge)
	return nil
}

// end unregisters the session, unless the host has reconnected, and releases its places after reconnectGrace.
func (s *session) end(reason error) {
	c := s.c
	c.mu.Lock()
	if c.sessions[s.host] == s {
		delete(c.sessions, s.host)
		c.disconnected[s.host] = s
	}
	c.mu.Unlock()
	s.mu.Lock()
	s.closed = true
	runs := len(s.runs)
	s.mu.Unlock()
	klog.InfoS("coordinator: host left", "host", s.host, "runs", runs, "reason", reason)
	time.AfterFunc(reconnectGrace, func() {
		c.mu.Lock()
		if c.disconnected[s.host] == s {
			delete(c.disconnected, s.host)
		}
		c.mu.Unlock()
		s.releasePlaces()
	})
}

// releasePlaces releases the places of all runs of the session.
func (s *session) releasePlaces() {
	s.mu.Lock()
	s.closed = true
	runs := s.runs
	s.runs, s.placements = map[uint64]*admitter.Grant{}, map[uint64]placement{}
	s.mu.Unlock()
	for _, g := range runs {
		g.EndRefused(time.Now(), false)
	}
}

// enqueue adds to the next message to the host.
func (s *session) enqueue(add func(*coordinatorpb.Orders)) {
	s.mu.Lock()
	add(s.pending)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) sendOrders(stream Stream, cancel context.CancelFunc) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		o := s.pending
		s.pending = &coordinatorpb.Orders{Heard: o.GetHeard()}
		s.mu.Unlock()
		if err := stream.Send(o); err != nil {
			klog.V(1).Infof("coordinator: sending orders failed host=%s reason=%q", s.host, err)
			cancel()
			return
		}
	}
}

// applyReport applies a report of the host.
func (s *session) applyReport(r *coordinatorpb.Report) {
	countReports.Add(1)
	now := time.Now()
	for _, e := range r.GetEnds() {
		s.settleCharge(now, e.GetTicket(), mayHaveRun(e.GetOutcome()))
		s.endPlacement(now, e.GetTicket(), e.GetOutcome())
		if g := s.grantFor(e.GetTicket(), true); g != nil {
			if e.GetOutcome() == coordinatorpb.End_UNREACHABLE {
				s.hold(g.Choice.Endpoint.ID, now.Add(unreachableHold))
			}
			concludeGrant(now, g, e)
		}
	}
	for _, ticket := range r.GetFirstEvents() {
		s.recordFirstEvent(now, ticket)
		if g := s.grantFor(ticket, false); g != nil {
			g.RecordEvent(now)
		}
	}
	for _, p := range r.GetRuns() {
		s.adoptRun(now, p)
	}
	for _, ticket := range r.GetWithdrawn() {
		s.mu.Lock()
		cancel := s.waiting[ticket]
		s.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	}
	for _, n := range r.GetNotices() {
		s.applyNotice(now, n)
	}
	s.applyStated(now, r.GetStated())
	s.applyLimits(now, r.GetLimits())
	s.applyStreams(now, r.GetStreams())
	s.applyUsage(now, r)
	for _, p := range r.GetAsks() {
		s.startAsk(now, p)
	}
	if r.GetAnswer() {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Heard = r.GetSeq() })
	}
}

// hold places no request of the host at an endpoint until a time.
func (s *session) hold(endpoint string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldUntil[endpoint] = until
}

func (s *session) grantFor(ticket uint64, ended bool) *admitter.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.runs[ticket]
	if ended {
		delete(s.runs, ticket)
	}
	return g
}

// mayHaveRun reports whether a request with this outcome may have run.
func mayHaveRun(o coordinatorpb.End_Outcome) bool {
	return o == coordinatorpb.End_ANSWERED || o == coordinatorpb.End_FAILED || o == coordinatorpb.End_ABANDONED
}

func concludeGrant(now time.Time, g *admitter.Grant, e *coordinatorpb.End) {
	o := admitter.NotRun
	switch e.GetOutcome() {
	case coordinatorpb.End_ANSWERED:
		o = admitter.Answered
	case coordinatorpb.End_FAILED:
		o = admitter.Failed
	case coordinatorpb.End_ABANDONED:
		o = admitter.Abandoned
	case coordinatorpb.End_REPLACED:
		o = admitter.Replaced
	case coordinatorpb.End_UNREACHABLE:
		o = admitter.Unreachable
	case coordinatorpb.End_REJECTED:
		o = admitter.Rejected
	}
	g.EndWithOutcome(now, o, float64(e.GetPaceUs())/1000)
}

// adoptRun counts a run that was not placed by this coordinator.
func (s *session) adoptRun(now time.Time, p *coordinatorpb.Run) {
	s.c.mu.Lock()
	sh, name := s.c.shard(shardOf(p.GetShard())), s.c.endpointNames[p.GetEndpoint()]
	s.c.mu.Unlock()
	w := s.decodeWork(now, p.GetWork())
	// The run takes a place whatever version this list states.
	w.Bound = false
	g, ok := sh.admitter.AddRemoteRun(now, balancer.Choice{Endpoint: balancer.Endpoint{ID: name}}, w, nil)
	if !ok {
		return
	}
	if p.GetRead() {
		g.RecordEvent(now)
	}
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.runs[p.GetTicket()] = g
	}
	s.mu.Unlock()
	if closed {
		g.EndRefused(now, false)
	}
}

func (s *session) decodeWork(now time.Time, p *coordinatorpb.Work) balancer.Work {
	w := balancer.Work{
		Prompt: int(p.GetPrompt()), Output: int(p.GetOutput()), TokensPerEvent: int(p.GetTokensPerEvent()), Zone: s.zone,
		EventGap: time.Duration(p.GetEventGapMs()) * time.Millisecond, Bound: p.GetBound(), Version: p.GetVersion(),
	}
	if left := p.GetLeftMs(); left > 0 {
		w.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	}
	for i, key := range p.GetPart() {
		if i < len(p.GetPartTokens()) {
			w.Parts = append(w.Parts, cacheestimator.Part{Key: key, Tokens: int(p.GetPartTokens()[i])})
		}
	}
	return w
}

// startAsk redirects or refuses a placement request at once, or starts a goroutine that acquires a place for it.
func (s *session) startAsk(now time.Time, p *coordinatorpb.Ask) {
	c := s.c
	c.mu.Lock()
	sh := c.shard(shardOf(p.GetShard()))
	sh.lastAskAt = now
	except := map[string]bool{}
	for _, d := range p.GetExcept() {
		except[c.endpointNames[d]] = true
	}
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	for name, until := range s.heldUntil {
		if now.Before(until) {
			except[name] = true
		} else {
			delete(s.heldUntil, name)
		}
	}
	s.waiting[p.GetTicket()] = cancel
	s.mu.Unlock()
	req := admitter.Request{
		Pool: p.GetShard().GetPool(), Tier: int(p.GetTier()), Patience: time.Duration(p.GetPatienceMs()) * time.Millisecond,
		Work: s.decodeWork(now, p.GetWork()), Except: except, Fingerprint: p.GetFingerprint(),
	}
	// Summaries of other zones do not state versions; the host chooses the zone of bound work itself.
	if !p.GetSpilled() && !p.GetWork().GetBound() {
		if zone, found := c.spillZone(now, sh, req); found {
			c.recordAsk("elsewhere")
			s.cancelWaiting(p.GetTicket())
			s.enqueue(func(o *coordinatorpb.Orders) {
				o.Elsewhere = append(o.Elsewhere, &coordinatorpb.Elsewhere{Ticket: p.GetTicket(), Zone: zone})
			})
			return
		}
	}
	if refused := s.chargeAllotment(now, p); refused != nil {
		s.finishAsk(p.GetTicket(), int(p.GetTier()), nil, refused)
		return
	}
	go func() {
		grant, err := sh.admitter.Acquire(ctx, req)
		s.finishAsk(p.GetTicket(), int(p.GetTier()), grant, err)
	}()
}

// cancelWaiting cancels the wait of a placement request.
func (s *session) cancelWaiting(ticket uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.waiting[ticket]; cancel != nil {
		cancel()
	}
	delete(s.waiting, ticket)
}

// finishAsk sends the result of a placement request to the host.
func (s *session) finishAsk(ticket uint64, tier int, grant *admitter.Grant, err error) {
	s.cancelWaiting(ticket)
	if err != nil {
		s.settleCharge(time.Now(), ticket, false)
	}
	var refused *admitter.RefusedError
	switch {
	case err == nil:
		s.mu.Lock()
		closed := s.closed
		if !closed {
			s.runs[ticket] = grant
			if s.c.Rollouts != nil {
				s.recordPlacement(ticket, tier, grant)
			}
		}
		s.mu.Unlock()
		if closed {
			grant.EndRefused(time.Now(), false)
			return
		}
		s.c.recordAsk("granted")
		choice := grant.Choice
		s.enqueue(func(o *coordinatorpb.Orders) {
			o.Grants = append(o.Grants, &coordinatorpb.Grant{
				Ticket: ticket, Endpoint: Digest(choice.Endpoint.ID), CostMs: uint32(max(choice.Cost, 0)), Running: uint32(choice.Running),
				Unread: uint32(max(choice.PromptBacklog, 0)), Kept: uint32(choice.CachedTokens), Queued: uint32(grant.QueueLength),
				Version: choice.Endpoint.Version,
			})
		})
	case errors.As(err, &refused):
		s.c.recordAsk(string(refused.Reason))
		s.enqueue(func(o *coordinatorpb.Orders) {
			o.Refusals = append(o.Refusals, &coordinatorpb.Refusal{
				Ticket: ticket, Reason: string(refused.Reason), RetryAfterMs: uint32(refused.RetryAfter.Milliseconds()),
				Queue: uint32(refused.QueueLength), Taken: uint32(refused.Taken), Places: uint32(refused.Places),
			})
		})
	default:
		s.c.recordAsk("withdrawn")
	}
}
