package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
)

func newTrackedConn(t *testing.T) (c *trackedConn, peer net.Conn) {
	t.Helper()
	peer, raw := net.Pipe()
	t.Cleanup(func() { _ = peer.Close() })
	l := &trackingListener{conns: map[*trackedConn]struct{}{}}
	c = &trackedConn{Conn: raw, listener: l, recording: true}
	l.conns[c] = struct{}{}
	return c, peer
}

// Guards against closing a connection when the host stops after the first byte of a request was read and before its handler
// starts: the request went on to an endpoint, but its caller got no response.
func TestDrainDuringRequest(t *testing.T) {
	c, peer := newTrackedConn(t)
	go func() { _, _ = io.WriteString(peer, "POST ") }()
	b := make([]byte, 16)
	if n, err := c.Read(b); n != 5 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	c.listener.drain()
	go func() { _, _ = io.WriteString(peer, "/x") }()
	if n, err := c.Read(b); n != 2 || err != nil {
		t.Errorf("read of the rest of a request: %d bytes, %v", n, err)
	}
}

// An idle connection is closed at once, even if a Read is already blocked.
func TestDrainBetweenRequests(t *testing.T) {
	c, _ := newTrackedConn(t)
	got := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		got <- err
	}()
	c.listener.drain()
	if err := <-got; !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want io.EOF or os.ErrDeadlineExceeded", err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("later read: %v, want io.EOF", err)
	}
}

func TestFraming(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		want framing
	}{
		"length":              {"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n", framingUnambiguous},
		"chunks":              {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", framingUnambiguous},
		"none":                {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", framingUnambiguous},
		"length and chunks":   {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", framingAmbiguous},
		"two equal lengths":   {"POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\n", framingAmbiguous},
		"in the body only":    {"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nContent-Length: 2\r\n", framingUnambiguous},
		"with an earlier one": {"", framingUnknown},
	} {
		g := &trackedConn{recording: true, head: []byte(c.head)}
		if got, _ := g.inspectHead(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A connection that has been idle for longer than the limit is closed; one with a request in progress stays open.
func TestCloseIdle(t *testing.T) {
	idle, _ := newTrackedConn(t)
	busy, peer := newTrackedConn(t)
	go func() { _, _ = io.WriteString(peer, "POST ") }()
	if _, err := busy.Read(make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	idle.listener.closeIdle(0)
	busy.listener.closeIdle(0)
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read on the idle connection: %v, want io.EOF", err)
	}
	if busy.atEnd() {
		t.Error("a connection with a request in progress is closed")
	}
}

// Guards against closing a connection on which the first byte of the next request has been read: net/http reads it in the background
// when the caller has the whole response before the handler returns. The connection was closed without a response.
func TestDrainAfterBackgroundRead(t *testing.T) {
	c, peer := newTrackedConn(t)
	c.inspectHead()
	go func() { _, _ = io.WriteString(peer, "POST /x") }()
	b := make([]byte, 16)
	if n, err := c.Read(b[:1]); n != 1 || err != nil {
		t.Fatalf("background read: %d bytes, %v", n, err)
	}
	c.recordNextHead()
	c.listener.closeIdle(0)
	c.listener.drain()
	if n, err := c.Read(b); n != 6 || err != nil {
		t.Errorf("read of the rest of the request: %d bytes, %v", n, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if got := string(c.head); got != "POST /x" {
		t.Errorf("recorded head %q", got)
	}
}

// Guards against a request whose first bytes arrive at the moment of a drain: the read deadline of the drain stayed in force after
// the bytes had been read, and the rest of the head was not read.
func TestDrainWhileFirstBytesAreRead(t *testing.T) {
	c, peer := newTrackedConn(t)
	c.Conn = &hookedConn{Conn: c.Conn, afterRead: func() { c.listener.drain() }}
	go func() { _, _ = io.WriteString(peer, "POST ") }()
	b := make([]byte, 16)
	if n, err := c.Read(b); n != 5 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	go func() { _, _ = io.WriteString(peer, "/x") }()
	if n, err := c.Read(b); n != 2 || err != nil {
		t.Errorf("read of the rest of a request: %d bytes, %v", n, err)
	}
}

// hookedConn calls afterRead once, after the first Read.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.afterRead != nil {
		c.afterRead()
		c.afterRead = nil
	}
	return n, err
}
