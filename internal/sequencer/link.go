package sequencer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer/sequencerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	methodStep = "sequencer.step"
	// maxControl and maxBulk bound the exchanges under way to one peer; further messages are dropped and sent again.
	maxControl = 16
	maxBulk    = 32
	// bulkTimeout lets a full batch be written and synced; smaller messages get half an election timeout, so that a
	// silent connection is replaced before the peer stands for election.
	bulkTimeout = 2 * time.Second
)

// link counts the exchanges under way to one peer. Peers share nothing, so a silent one delays no other.
type link struct {
	control atomic.Int32
	bulk    atomic.Int32
}

func isBulk(m *replicator.Message) bool {
	return len(m.Entries) > 0 || m.Kind == replicator.SnapshotRequest
}

// transmit starts an exchange for each request and ends exchanges with answers.
func (s *Sequencer) transmit(ctx context.Context, messages []replicator.Message) {
	var members replicator.Membership
	for i := range messages {
		m := &messages[i]
		if m.Exchange != 0 {
			if answer, ok := s.open[m.Exchange]; ok {
				answer <- m
				delete(s.open, m.Exchange)
			}
			continue
		}
		if members == nil {
			members = s.core.Status().Members
		}
		if to, ok := members.Find(m.To); ok {
			s.exchangeWith(ctx, to.Addr, m)
		}
	}
}

func (s *Sequencer) exchangeWith(ctx context.Context, addr string, m *replicator.Message) {
	l := s.links[m.To]
	if l == nil {
		l = &link{}
		s.links[m.To] = l
	}
	slots, limit, timeout := &l.control, int32(maxControl), s.ElectionTimeout/2
	if isBulk(m) {
		slots, limit, timeout = &l.bulk, maxBulk, bulkTimeout
	}
	if slots.Load() >= limit {
		return
	}
	slots.Add(1)
	s.wg.Go(func() {
		defer slots.Add(-1)
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply := &sequencerpb.Message{}
		if err := s.Transport.Call(ctx, addr, methodStep, encodeMessage(m), reply); err != nil {
			klog.V(2).Infof("sequencer: no answer host=%s peer=%s reason=%q", s.HostID, m.To, err)
			return
		}
		if reply.GetKind() == 0 || reply.GetFrom() != m.To {
			return
		}
		answer := decodeMessage(reply)
		_ = s.post(ctx, func() { s.core.Step(s.now(), answer) })
	})
}

// handleStep serves one message; the answer is sent after everything it tells of is durable.
func (s *Sequencer) handleStep(ctx context.Context, peer transporter.Peer, payload []byte) ([]byte, error) {
	in := &sequencerpb.Message{}
	if err := proto.Unmarshal(payload, in); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	if in.GetFrom() != peer.HostID {
		return nil, eris.Errorf("message of host %s came from host %s", in.GetFrom(), peer.HostID)
	}
	if !s.former.Finished() {
		return nil, eris.New("the host is starting")
	}
	m := decodeMessage(in)
	answer := make(chan *replicator.Message, 1)
	err := s.post(ctx, func() {
		s.exchange++
		m.Exchange = s.exchange
		s.open[m.Exchange] = answer
		s.core.Step(s.now(), m)
	})
	if err != nil {
		return nil, err
	}
	select {
	case a := <-answer:
		if a == nil {
			return nil, nil
		}
		return proto.Marshal(encodeMessage(a))
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.done:
		return nil, ErrClosed
	}
}
