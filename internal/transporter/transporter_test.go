package transporter_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dragonflycroft/dragonflycroft/internal/authenticator"
	"github.com/dragonflycroft/dragonflycroft/internal/framer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

func start(t *testing.T, tr *transporter.Transport) *transporter.Transport {
	t.Helper()
	tr.ListenAddr = "127.0.0.1:0"
	if tr.Key == nil {
		tr.Key = []byte("shared")
	}
	if err := tr.Listen(); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := tr.Run(context.Background()); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		_ = tr.Close()
		wg.Wait()
	})
	return tr
}

func echo(ctx context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	return payload, ctx.Err()
}

// Guards against mixing up the replies of concurrent calls.
func TestConcurrentCallsGetOwnReplies(t *testing.T) {
	server := &transporter.Transport{HostID: "b", Zone: "z2"}
	server.Handle("echo", echo)
	start(t, server)
	client := start(t, &transporter.Transport{HostID: "a", Zone: "z1"})
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			got := &wrapperspb.Int64Value{}
			if err := client.Call(t.Context(), server.Addr(), "echo", wrapperspb.Int64(int64(i)), got); err != nil {
				t.Error(err)
				return
			}
			if diff := cmp.Diff(int64(i), got.GetValue()); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
		})
	}
	wg.Wait()
}

// Guards against accepting a host without the shared key.
func TestWrongKeyIsRejected(t *testing.T) {
	server := &transporter.Transport{HostID: "b"}
	server.Handle("echo", echo)
	start(t, server)
	client := start(t, &transporter.Transport{HostID: "a", Key: []byte("other")})
	err := client.Call(t.Context(), server.Addr(), "echo", wrapperspb.Int64(1), &wrapperspb.Int64Value{})
	var refused *authenticator.HandshakeError
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want a HandshakeError", err)
	}
}

// Guards against a call with an unknown method or an oversized frame that returns no error or the wrong one.
func TestCallErrors(t *testing.T) {
	server := &transporter.Transport{HostID: "b"}
	server.Handle("echo", echo)
	start(t, server)
	client := start(t, &transporter.Transport{HostID: "a", MaxFrameBytes: 1 << 10})
	err := client.Call(t.Context(), server.Addr(), "nothing", wrapperspb.Int64(1), &wrapperspb.Int64Value{})
	var remote *transporter.RemoteError
	if !errors.As(err, &remote) || remote.Code != transporter.CodeUnknownMethod {
		t.Errorf("got %v, want code %s", err, transporter.CodeUnknownMethod)
	}
	err = client.Call(t.Context(), server.Addr(), "echo", wrapperspb.Bytes(make([]byte, 2<<10)), &wrapperspb.BytesValue{})
	var size *framer.SizeError
	if !errors.As(err, &size) {
		t.Errorf("got %v, want a SizeError", err)
	}
}

// Guards against a stream that loses messages or that does not report its end to the peer.
func TestStreamCarriesMessagesBothWays(t *testing.T) {
	server := &transporter.Transport{HostID: "b"}
	server.HandleStream("count", func(_ context.Context, _ transporter.Peer, s *transporter.Stream) error {
		for {
			m := &wrapperspb.Int64Value{}
			if err := s.Recv(m); err != nil {
				return err
			}
			if err := s.Send(wrapperspb.Int64(m.GetValue() * 2)); err != nil {
				return err
			}
			if m.GetValue() == 9 {
				return nil
			}
		}
	})
	start(t, server)
	client := start(t, &transporter.Transport{HostID: "a"})
	s, err := client.OpenStream(t.Context(), server.Addr(), "count")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range 10 {
		m := &wrapperspb.Int64Value{}
		if err := s.Send(wrapperspb.Int64(int64(i))); err != nil {
			t.Fatal(err)
		}
		if err := s.Recv(m); err != nil || m.GetValue() != int64(2*i) {
			t.Fatalf("message %d: got %d, %v", i, m.GetValue(), err)
		}
	}
	if err := s.Recv(&wrapperspb.Int64Value{}); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v, want io.EOF", err)
	}
}

// blackholeProxy is a TCP proxy. After dropAll it discards what arrives on its connections without closing them, but forwards on
// new connections.
type blackholeProxy struct {
	net.Listener
	target   string
	mu       sync.Mutex
	dropping map[net.Conn]*bool
}

func (r *blackholeProxy) run() {
	for {
		c, err := r.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		drop := new(bool)
		r.mu.Lock()
		r.dropping[c] = drop
		r.mu.Unlock()
		go r.forward(up, c, drop)
		go r.forward(c, up, drop)
	}
}

func (r *blackholeProxy) forward(dst, src net.Conn, dropping *bool) {
	defer dst.Close()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		drop := *dropping
		r.mu.Unlock()
		if !drop {
			_, _ = dst.Write(buf[:n])
		}
	}
}

func (r *blackholeProxy) dropAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.dropping {
		*m = true
	}
}

// Guards against keeping a connection that no longer delivers data to a host which new connections reach.
func TestUnresponsiveSessionIsReplaced(t *testing.T) {
	server := &transporter.Transport{HostID: "b"}
	server.Handle("echo", echo)
	start(t, server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &blackholeProxy{Listener: l, target: server.Addr(), dropping: map[net.Conn]*bool{}}
	go proxy.run()
	t.Cleanup(func() { _ = l.Close() })
	client := start(t, &transporter.Transport{HostID: "a"})
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		return client.Call(ctx, l.Addr().String(), "echo", wrapperspb.Int64(1), &wrapperspb.Int64Value{})
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	proxy.dropAll()
	if err := call(); err == nil {
		t.Fatal("a call over the unresponsive connection succeeded")
	}
	if err := call(); err != nil {
		t.Fatalf("the call after a timed-out call failed: %v", err)
	}
}
