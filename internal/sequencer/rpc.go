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
	// maxControlInFlight and maxBulkInFlight limit the concurrent RPCs to one peer. Messages above the limit are dropped and
	// retransmitted later by the core.
	maxControlInFlight = 16
	maxBulkInFlight    = 32
	// bulkTimeout leaves the peer time to write and sync a full batch. Other messages time out after half an election
	// timeout, so that an unresponsive connection is replaced before the peer starts an election.
	bulkTimeout = 2 * time.Second
)

// inFlightCounts counts the RPCs in flight to one peer. The counts are per peer, so that an unresponsive peer does not delay
// the others.
type inFlightCounts struct {
	control atomic.Int32
	bulk    atomic.Int32
}

func isBulk(m *replicator.Message) bool {
	return len(m.Entries) > 0 || m.Kind == replicator.SnapshotRequest
}

// send starts an RPC for each request and returns each response to the handler of the RPC it answers.
func (s *Sequencer) send(ctx context.Context, messages []replicator.Message) {
	var members replicator.Membership
	for i := range messages {
		m := &messages[i]
		if m.CorrelationID != 0 {
			if response, ok := s.responses[m.CorrelationID]; ok {
				response <- m
				delete(s.responses, m.CorrelationID)
			}
			continue
		}
		if members == nil {
			members = s.core.Status().Members
		}
		if to, ok := members.Find(m.To); ok {
			s.startRPC(ctx, to.Addr, m)
		}
	}
}

func (s *Sequencer) startRPC(ctx context.Context, addr string, m *replicator.Message) {
	counts := s.inFlight[m.To]
	if counts == nil {
		counts = &inFlightCounts{}
		s.inFlight[m.To] = counts
	}
	count, limit, timeout := &counts.control, int32(maxControlInFlight), s.ElectionTimeout/2
	if isBulk(m) {
		count, limit, timeout = &counts.bulk, maxBulkInFlight, bulkTimeout
	}
	if count.Load() >= limit {
		return
	}
	count.Add(1)
	s.wg.Go(func() {
		defer count.Add(-1)
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply := &sequencerpb.Message{}
		if err := s.Transport.Call(ctx, addr, methodStep, encodeMessage(m), reply); err != nil {
			klog.V(2).Infof("sequencer: RPC failed host=%s peer=%s reason=%q", s.HostID, m.To, err)
			return
		}
		if reply.GetKind() == 0 || reply.GetFrom() != m.To {
			return
		}
		response := decodeMessage(reply)
		_ = s.post(ctx, func() { s.core.Step(s.now(), response) })
	})
}

// handleStep handles one message of a peer. The response is sent only after the state that it acknowledges is durable.
func (s *Sequencer) handleStep(ctx context.Context, peer transporter.Peer, payload []byte) ([]byte, error) {
	in := &sequencerpb.Message{}
	if err := proto.Unmarshal(payload, in); err != nil {
		return nil, eris.Wrap(err, "decode message")
	}
	if in.GetFrom() != peer.HostID {
		return nil, eris.Errorf("message of host %s came from host %s", in.GetFrom(), peer.HostID)
	}
	if !s.formation.Finished() {
		return nil, eris.New("the host is starting")
	}
	m := decodeMessage(in)
	response := make(chan *replicator.Message, 1)
	err := s.post(ctx, func() {
		s.lastRPCID++
		m.CorrelationID = s.lastRPCID
		s.responses[m.CorrelationID] = response
		s.core.Step(s.now(), m)
	})
	if err != nil {
		return nil, err
	}
	select {
	case a := <-response:
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
