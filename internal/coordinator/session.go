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
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/retainer"
)

// OvertakenError reports a stream of a process that a later one of its host has replaced.
type OvertakenError struct {
	Host               string
	Incarnation, Newer uint64
}

// Error implements error.
func (e *OvertakenError) Error() string {
	return fmt.Sprintf("process %d of %s was replaced by process %d", e.Incarnation, e.Host, e.Newer)
}

// session is the stream of one entry host.
type session struct {
	c      *Coordinator
	host   string
	zone   string
	ctx    context.Context
	cancel context.CancelFunc
	age    time.Duration // of the host's process when the stream began
	since  time.Time
	wake   chan struct{}
	// id tells the host apart the sums that begin anew with each session.
	id     uint64
	toldAt time.Time
	// told is the version of the tally that the host was told last, and sums what it was told.
	told uint64
	sums map[uint64]float64
	// usesTold is true once the host has told its use, which makes this coordinator the one that adds it up.
	usesTold bool

	mu      sync.Mutex
	pending *coordinatorpb.Orders
	waiting map[uint64]context.CancelFunc
	runs    map[uint64]*admitter.Grant
	held    map[string]time.Time
	closed  bool

	// paid is what asks have taken from allotments; the coordinator's lock covers it.
	paid map[uint64]payment
}

// Serve takes the reports of an entry host until its stream ends.
func (c *Coordinator) Serve(ctx context.Context, host, zone string, stream Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		c: c, host: host, zone: zone, ctx: ctx, cancel: cancel, since: time.Now(), id: rand.Uint64(), wake: make(chan struct{}, 1), pending: &coordinatorpb.Orders{},
		waiting: map[uint64]context.CancelFunc{}, runs: map[uint64]*admitter.Grant{}, held: map[string]time.Time{},
		paid: map[uint64]payment{},
	}
	first := &coordinatorpb.Report{}
	if err := stream.Recv(first); err != nil {
		return err
	}
	if err := s.begin(first.GetHello()); err != nil {
		return err
	}
	// A stream that is dismissed must not wait for a further report.
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	var sending sync.WaitGroup
	sending.Go(func() { s.send(stream, cancel) })
	s.take(first)
	var err error
	for err == nil && ctx.Err() == nil {
		r := &coordinatorpb.Report{}
		if err = stream.Recv(r); err == nil {
			s.take(r)
		}
	}
	cancel()
	sending.Wait()
	s.end(err)
	return err
}

// begin replaces an earlier session of the host.
func (s *session) begin(hello *coordinatorpb.Hello) error {
	s.age = time.Duration(hello.GetAgeMs()) * time.Millisecond
	c := s.c
	c.mu.Lock()
	newest := c.incarnation[s.host]
	if hello.GetIncarnation() < newest {
		c.mu.Unlock()
		return &OvertakenError{Host: s.host, Incarnation: hello.GetIncarnation(), Newer: newest}
	}
	c.incarnation[s.host] = hello.GetIncarnation()
	before, lingers := c.sessions[s.host], c.lingering[s.host]
	c.sessions[s.host] = s
	delete(c.lingering, s.host)
	// What the host has used meanwhile was told to another coordinator.
	c.tally.Gone(s.host)
	if history := DecodeHistory(hello.GetHistory(), c.workspaces); len(history) > 0 && s.age > historyFor {
		c.allots.Learn(s.since, history)
	}
	if crashes, _ := c.crashes.Since(0); len(crashes) > 0 {
		s.order(func(o *coordinatorpb.Orders) { o.Crashes = EncodeCrashes(s.since, crashes) })
	}
	c.mu.Unlock()
	for _, earlier := range []*session{before, lingers} {
		if earlier != nil {
			earlier.release()
		}
	}
	klog.InfoS("coordinator: host joined", "host", s.host, "zone", s.zone, "incarnation", hello.GetIncarnation(), "age", s.age)
	return nil
}

// end forgets the host, unless it has come back, and gives its places free after a time.
func (s *session) end(reason error) {
	c := s.c
	c.mu.Lock()
	if c.sessions[s.host] == s {
		delete(c.sessions, s.host)
		c.lingering[s.host] = s
	}
	c.mu.Unlock()
	s.mu.Lock()
	s.closed = true
	runs := len(s.runs)
	s.mu.Unlock()
	klog.InfoS("coordinator: host left", "host", s.host, "runs", runs, "reason", reason)
	time.AfterFunc(lingerFor, func() {
		c.mu.Lock()
		if c.lingering[s.host] == s {
			delete(c.lingering, s.host)
		}
		c.mu.Unlock()
		s.release()
	})
}

// release gives the places of the session free.
func (s *session) release() {
	s.mu.Lock()
	s.closed = true
	runs := s.runs
	s.runs = map[uint64]*admitter.Grant{}
	s.mu.Unlock()
	for _, g := range runs {
		g.Refuse(time.Now(), false)
	}
}

// order adds to what the host is told next.
func (s *session) order(add func(*coordinatorpb.Orders)) {
	s.mu.Lock()
	add(s.pending)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) send(stream Stream, cancel context.CancelFunc) {
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
			klog.V(1).Infof("coordinator: orders not sent host=%s reason=%q", s.host, err)
			cancel()
			return
		}
	}
}

// take applies a report.
func (s *session) take(r *coordinatorpb.Report) {
	countReports.Add(1)
	now := time.Now()
	for _, e := range r.GetEnds() {
		s.settle(now, e.GetTicket(), ran(e.GetOutcome()))
		if g := s.run(e.GetTicket(), true); g != nil {
			conclude(now, g, e)
		}
	}
	for _, ticket := range r.GetFirstEvents() {
		if g := s.run(ticket, false); g != nil {
			g.Event(now)
		}
	}
	for _, p := range r.GetRuns() {
		s.adopt(now, p)
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
		s.notice(now, n)
	}
	s.takeStated(now, r.GetStated())
	s.takeUses(now, r)
	for _, p := range r.GetAsks() {
		s.ask(now, p)
	}
	if r.GetAnswer() {
		s.order(func(o *coordinatorpb.Orders) { o.Heard = r.GetSeq() })
	}
}

func (s *session) run(ticket uint64, ended bool) *admitter.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.runs[ticket]
	if ended {
		delete(s.runs, ticket)
	}
	return g
}

// ran reports whether a request may have run.
func ran(o coordinatorpb.End_Outcome) bool {
	return o == coordinatorpb.End_ANSWERED || o == coordinatorpb.End_FAILED || o == coordinatorpb.End_ABANDONED
}

func conclude(now time.Time, g *admitter.Grant, e *coordinatorpb.End) {
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
	}
	g.Conclude(now, o, float64(e.GetPaceUs())/1000)
}

// adopt counts a run that began without this coordinator.
func (s *session) adopt(now time.Time, p *coordinatorpb.Run) {
	s.c.mu.Lock()
	sh, name := s.c.shard(shardOf(p.GetShard())), s.c.names[p.GetEndpoint()]
	s.c.mu.Unlock()
	g, ok := sh.admitter.Adopt(now, balancer.Choice{Endpoint: balancer.Endpoint{ID: name}}, s.work(now, p.GetWork()), nil)
	if !ok {
		return
	}
	if p.GetRead() {
		g.Event(now)
	}
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.runs[p.GetTicket()] = g
	}
	s.mu.Unlock()
	if closed {
		g.Refuse(now, false)
	}
}

func (s *session) work(now time.Time, p *coordinatorpb.Work) balancer.Work {
	w := balancer.Work{
		Prompt: int(p.GetPrompt()), Output: int(p.GetOutput()), TokensPerEvent: int(p.GetTokensPerEvent()), Zone: s.zone,
		EventGap: time.Duration(p.GetEventGapMs()) * time.Millisecond,
	}
	if left := p.GetLeftMs(); left > 0 {
		w.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	}
	for i, key := range p.GetPart() {
		if i < len(p.GetPartTokens()) {
			w.Parts = append(w.Parts, retainer.Part{Key: key, Tokens: int(p.GetPartTokens()[i])})
		}
	}
	return w
}

// notice takes what an endpoint has said of itself to the host.
func (s *session) notice(now time.Time, n *coordinatorpb.Notice) {
	name := ""
	shards := s.c.inUse(func(names map[uint64]string) { name = names[n.GetEndpoint()] })
	if name == "" {
		return
	}
	if hold := time.Duration(n.GetHoldMs()) * time.Millisecond; hold > 0 {
		s.mu.Lock()
		s.held[name] = now.Add(hold)
		s.mu.Unlock()
	}
	for _, sh := range shards {
		sh.admitter.Update(func(b *balancer.Balancer) {
			switch {
			case n.GetLeaving():
				b.SaidLeaving(now, name)
			case n.GetReturned():
				b.Returned(now, name)
			}
		})
	}
}

// takeStated takes what endpoints state of their speed.
func (s *session) takeStated(now time.Time, stated []*coordinatorpb.Stated) {
	if len(stated) == 0 {
		return
	}
	figures := make(map[string]float64, len(stated))
	shards := s.c.inUse(func(names map[uint64]string) {
		for _, p := range stated {
			figures[names[p.GetEndpoint()]] = float64(p.GetPercent())
		}
	})
	for _, sh := range shards {
		sh.admitter.Update(func(b *balancer.Balancer) {
			for id, percent := range figures {
				b.Stated(now, id, percent)
			}
		})
	}
}

// ask finds a place for a request, at once or on a goroutine of its own while it waits.
func (s *session) ask(now time.Time, p *coordinatorpb.Ask) {
	c := s.c
	c.mu.Lock()
	sh := c.shard(shardOf(p.GetShard()))
	sh.askedAt = now
	except := map[string]bool{}
	for _, d := range p.GetExcept() {
		except[c.names[d]] = true
	}
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	for name, until := range s.held {
		if now.Before(until) {
			except[name] = true
		} else {
			delete(s.held, name)
		}
	}
	s.waiting[p.GetTicket()] = cancel
	s.mu.Unlock()
	if !p.GetSpilled() {
		if zone, found := c.better(now, sh); found {
			c.logAsk("elsewhere")
			s.forget(p.GetTicket())
			s.order(func(o *coordinatorpb.Orders) {
				o.Elsewhere = append(o.Elsewhere, &coordinatorpb.Elsewhere{Ticket: p.GetTicket(), Zone: zone})
			})
			return
		}
	}
	if refused := s.charge(now, p); refused != nil {
		s.answer(p.GetTicket(), nil, refused)
		return
	}
	ask := admitter.Ask{
		Pool: p.GetShard().GetPool(), Tier: int(p.GetTier()), Patience: time.Duration(p.GetPatienceMs()) * time.Millisecond,
		Work: s.work(now, p.GetWork()), Except: except,
	}
	go func() {
		grant, err := sh.admitter.Acquire(ctx, ask)
		s.answer(p.GetTicket(), grant, err)
	}()
}

// forget ends the wait of an ask.
func (s *session) forget(ticket uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.waiting[ticket]; cancel != nil {
		cancel()
	}
	delete(s.waiting, ticket)
}

// answer tells the host what became of an ask.
func (s *session) answer(ticket uint64, grant *admitter.Grant, err error) {
	s.forget(ticket)
	if err != nil {
		s.settle(time.Now(), ticket, false)
	}
	var refused *admitter.RefusedError
	switch {
	case err == nil:
		s.mu.Lock()
		closed := s.closed
		if !closed {
			s.runs[ticket] = grant
		}
		s.mu.Unlock()
		if closed {
			grant.Refuse(time.Now(), false)
			return
		}
		s.c.logAsk("granted")
		choice := grant.Choice
		s.order(func(o *coordinatorpb.Orders) {
			o.Grants = append(o.Grants, &coordinatorpb.Grant{
				Ticket: ticket, Endpoint: Digest(choice.Endpoint.ID), CostMs: uint32(max(choice.Cost, 0)), Running: uint32(choice.Running),
				Unread: uint32(max(choice.Unread, 0)), Kept: uint32(choice.Kept), Queued: uint32(grant.Queued),
			})
		})
	case errors.As(err, &refused):
		s.c.logAsk(string(refused.Reason))
		s.order(func(o *coordinatorpb.Orders) {
			o.Refusals = append(o.Refusals, &coordinatorpb.Refusal{
				Ticket: ticket, Reason: string(refused.Reason), RetryAfterMs: uint32(refused.RetryAfter.Milliseconds()),
				Queue: uint32(refused.Queue), Taken: uint32(refused.Taken), Places: uint32(refused.Places),
			})
		})
	default:
		s.c.logAsk("withdrawn")
	}
}
