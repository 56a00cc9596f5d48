package granter

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Run keeps a stream open to the current holder, with back-off between attempts, until ctx ends.
func (s *Session) Run(ctx context.Context) error {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		addr, epoch, ok := s.holder()
		if ok {
			began := time.Now()
			err := s.runStream(ctx, addr, epoch)
			klog.V(1).Infof("granter: session ended pool=%s epoch=%d reason=%q", s.Pool, epoch, err)
			if time.Since(began) > s.receiveTimeout() {
				delay = minReconnectDelay
			}
		}
		s.waitRetry(ctx, addr, epoch, delay/2+rand.N(delay))
		delay = min(2*delay, maxReconnectDelay)
	}
	return nil
}

func (s *Session) holder() (addr string, epoch uint64, ok bool) {
	_, addr, epoch, ok = s.Locator.Holder(RoleOf(s.Pool))
	return addr, epoch, ok
}

// waitRetry waits for d before the same holder is tried again. It returns early when the holder or its epoch changes, so that a
// change of holder is not delayed by the back-off.
func (s *Session) waitRetry(ctx context.Context, addr string, epoch uint64, d time.Duration) {
	until := time.Now().Add(d)
	ticker := time.NewTicker(minReconnectDelay)
	defer ticker.Stop()
	for time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a, e, ok := s.holder(); ok && (a != addr || e != epoch) {
			return
		}
	}
}

func (s *Session) runStream(ctx context.Context, addr string, epoch uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := s.Transport.OpenStream(ctx, addr, MethodSession)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	wake, hello := s.beginStream(epoch)
	defer s.endStream()
	for _, part := range hello {
		if err := stream.Send(part); err != nil {
			return eris.Wrap(err, "send hello")
		}
	}
	sessionConnects.Add(1)
	stream.SetRecvTimeout(s.receiveTimeout())
	sent := make(chan error, 1)
	go func() {
		defer cancel()
		sent <- s.sendLoop(ctx, stream, wake, epoch)
	}()
	err = s.receiveLoop(stream)
	cancel()
	sessionDrops.Add(1)
	return errors.Join(err, <-sent)
}

// beginStream starts an empty outbox and returns its wake channel and the parts of the Hello that describes the state before it.
func (s *Session) beginStream(epoch uint64) (chan struct{}, []proto.Message) {
	var kept []*granterpb.Claim
	if s.FinishedClaims != nil {
		for _, c := range s.FinishedClaims() {
			kept = append(kept, translator.EncodeClaim(c))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outbox = nil
	s.wake = make(chan struct{}, 1)
	now := time.Now()
	s.seq++
	s.heartbeats[s.seq%heartbeatHistory] = sentHeartbeat{seq: s.seq, sent: now}
	newPart := func() *granterpb.Hello {
		return &granterpb.Hello{Pool: s.Pool, Epoch: epoch, Host: s.Host, Zone: s.Zone, HeartbeatSeq: s.seq}
	}
	part := newPart()
	parts := []*granterpb.Hello{part}
	startPartIfFull := func() {
		if len(part.GetWaiting())+len(part.GetRunning())+len(part.GetKept()) >= maxHelloPartEntries {
			part.More = true
			part = newPart()
			parts = append(parts, part)
		}
	}
	part.Suspects = s.unexpiredSuspects(now)
	for _, c := range kept {
		startPartIfFull()
		part.Kept = append(part.Kept, c)
	}
	for _, t := range s.requests {
		startPartIfFull()
		d := t.descriptor
		d.Waited = now.Sub(t.submitted)
		if t.phase == phaseRunning {
			part.Running = append(part.Running, translator.EncodeRun(scheduler.Run{
				Descriptor: d, Endpoint: t.endpoint, OutputTokens: t.output, RunningFor: now.Sub(t.started),
			}))
			continue
		}
		part.Waiting = append(part.Waiting, translator.EncodeDescriptor(d))
	}
	hello := make([]proto.Message, 0, len(parts))
	for _, p := range parts {
		hello = append(hello, &granterpb.EntryMessage{Body: &granterpb.EntryMessage_Hello{Hello: p}})
	}
	return s.wake, hello
}

func (s *Session) endStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outbox, s.wake, s.connected = nil, nil, false
}

func (s *Session) sendLoop(ctx context.Context, stream *transporter.Stream, wake <-chan struct{}, epoch uint64) error {
	ticker := time.NewTicker(s.heartbeatInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if _, e, ok := s.holder(); ok && e > epoch {
				return eris.Errorf("epoch %d has replaced epoch %d", e, epoch)
			}
			if err := stream.Send(s.nextHeartbeat()); err != nil {
				return err
			}
		case <-wake:
			s.mu.Lock()
			batch := s.outbox
			s.outbox = nil
			s.mu.Unlock()
			for _, m := range batch {
				if err := stream.Send(m); err != nil {
					return err
				}
			}
		}
	}
}

// nextHeartbeat returns the next heartbeat. It records the send time before the message is written, so that the deadline of a
// grant, which counts from there, is never later than the one that the holder assumes.
func (s *Session) nextHeartbeat() *granterpb.EntryMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.heartbeats[s.seq%heartbeatHistory] = sentHeartbeat{seq: s.seq, sent: time.Now()}
	return &granterpb.EntryMessage{Body: &granterpb.EntryMessage_Heartbeat{Heartbeat: &granterpb.Heartbeat{Seq: s.seq}}}
}

func (s *Session) receiveLoop(stream *transporter.Stream) error {
	for {
		m := &granterpb.HolderMessage{}
		if err := stream.Recv(m); err != nil {
			return err
		}
		switch b := m.GetBody().(type) {
		case *granterpb.HolderMessage_HeartbeatAck:
			s.mu.Lock()
			s.connected = true
			s.mu.Unlock()
		case *granterpb.HolderMessage_Grant:
			s.onGrant(b.Grant)
		case *granterpb.HolderMessage_Refuse:
			s.onRefuse(b.Refuse)
		case *granterpb.HolderMessage_CancelRun:
			s.onCancelRun(b.CancelRun)
		case *granterpb.HolderMessage_Suspect:
			s.onSuspect(b.Suspect)
		}
	}
}

func (s *Session) onGrant(g *granterpb.Grant) {
	s.mu.Lock()
	t := s.requests[g.GetRequestId()]
	if t == nil || t.phase != phaseWaiting {
		sessionGrantsUnmatched.Add(1)
		if t == nil {
			s.sendDeclined(g.GetRequestId(), g.GetEndpoint(), scheduler.DeclineGone)
		}
		s.mu.Unlock()
		return
	}
	b := s.heartbeats[g.GetHeartbeatSeq()%heartbeatHistory]
	deadline := b.sent.Add(time.Duration(g.GetTtlNs()))
	if b.seq != g.GetHeartbeatSeq() || !time.Now().Before(deadline) {
		sessionGrantsStale.Add(1)
		s.sendDeclined(g.GetRequestId(), g.GetEndpoint(), scheduler.DeclineExpired)
		s.mu.Unlock()
		return
	}
	t.phase, t.endpoint = phaseGranted, g.GetEndpoint()
	s.mu.Unlock()
	sessionGrants.Add(1)
	t.callbacks.Grant(g.GetEndpoint(), deadline)
}

func (s *Session) onRefuse(r *granterpb.Refuse) {
	s.mu.Lock()
	t := s.requests[r.GetRequestId()]
	if t == nil || t.phase == phaseRunning {
		s.mu.Unlock()
		return
	}
	if t.phase == phaseGranted {
		t.refused = r
		s.mu.Unlock()
		return
	}
	delete(s.requests, r.GetRequestId())
	s.mu.Unlock()
	t.callbacks.Refuse(scheduler.RefuseReason(r.GetReason()), time.Duration(r.GetRetryAfterNs()))
}

func (s *Session) onCancelRun(c *granterpb.CancelRun) {
	s.mu.Lock()
	t := s.requests[c.GetRequestId()]
	s.mu.Unlock()
	if t != nil {
		t.callbacks.CancelRun(c.GetReason())
	}
}
