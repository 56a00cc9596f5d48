package transporter

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/framer"
)

// Stream is a bidirectional sequence of messages. One goroutine at a time may call Recv.
type Stream struct {
	raw         *yamux.Stream
	transport   *Transport
	stop        func() bool
	sendMu      sync.Mutex
	recvTimeout atomic.Int64
	ended       atomic.Bool
}

func newStream(ctx context.Context, t *Transport, raw *yamux.Stream) *Stream {
	_ = raw.SetDeadline(time.Time{})
	s := &Stream{raw: raw, transport: t}
	s.stop = context.AfterFunc(ctx, s.end)
	return s
}

// SetRecvTimeout sets the time limit of each later Recv; 0 means none.
func (s *Stream) SetRecvTimeout(d time.Duration) { s.recvTimeout.Store(int64(d)) }

// Send writes one message within the exchange timeout. It is safe for concurrent use.
func (s *Stream) Send(m proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	_ = s.raw.SetWriteDeadline(time.Now().Add(s.transport.exchangeTimeout()))
	return framer.Write(s.raw, m, s.transport.maxFrameBytes())
}

// Recv reads the next message. It returns io.EOF if the peer has closed the stream.
func (s *Stream) Recv(m proto.Message) error {
	if d := time.Duration(s.recvTimeout.Load()); d > 0 {
		_ = s.raw.SetReadDeadline(time.Now().Add(d))
	}
	if s.ended.Load() {
		return net.ErrClosed
	}
	return framer.Read(s.raw, m, s.transport.maxFrameBytes())
}

// Close closes the stream and unblocks a Recv in progress.
func (s *Stream) Close() error {
	s.stop()
	s.end()
	return nil
}

// end closes the stream and unblocks a Recv in progress, which closing a yamux stream alone does not do until the peer closes it
// too.
func (s *Stream) end() {
	s.ended.Store(true)
	_ = s.raw.SetReadDeadline(time.Unix(1, 0))
	_ = s.raw.Close()
}
