package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
)

func guarded(t *testing.T) (c *guardConn, peer net.Conn) {
	t.Helper()
	peer, raw := net.Pipe()
	t.Cleanup(func() { _ = peer.Close() })
	l := &guardListener{open: map[*guardConn]struct{}{}}
	c = &guardConn{Conn: raw, listener: l, recording: true}
	l.open[c] = struct{}{}
	return c, peer
}

// A host stopped just after the first byte of a request had been read and before its handler began; the connection was closed
// although the request went on to an endpoint.
func TestLeaveWithinRequest(t *testing.T) {
	c, peer := guarded(t)
	go func() { _, _ = io.WriteString(peer, "POST ") }()
	b := make([]byte, 16)
	if n, err := c.Read(b); n != 5 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	c.listener.leave()
	go func() { _, _ = io.WriteString(peer, "/x") }()
	if n, err := c.Read(b); n != 2 || err != nil {
		t.Errorf("the rest of a request that has begun: %d bytes, %v", n, err)
	}
}

// A connection without a request ends at once, also if it waits in a read already.
func TestLeaveBetweenRequests(t *testing.T) {
	c, _ := guarded(t)
	got := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		got <- err
	}()
	c.listener.leave()
	if err := <-got; !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want the end of the connection", err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("a later read returns %v, want EOF", err)
	}
}

func TestFraming(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		want framing
	}{
		"length":              {"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n", framingClear},
		"chunks":              {"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", framingClear},
		"none":                {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", framingClear},
		"length and chunks":   {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", framingAmbiguous},
		"two equal lengths":   {"POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\n", framingAmbiguous},
		"in the body only":    {"POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nContent-Length: 2\r\n", framingClear},
		"with an earlier one": {"", framingUnseen},
	} {
		g := &guardConn{recording: true, head: []byte(c.head)}
		if got, _ := g.check(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A connection that is idle for longer than the operators allow ends; one with a request in progress stays.
func TestEndIdle(t *testing.T) {
	idle, _ := guarded(t)
	busy, peer := guarded(t)
	go func() { _, _ = io.WriteString(peer, "POST ") }()
	if _, err := busy.Read(make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	idle.listener.endIdle(0)
	busy.listener.endIdle(0)
	if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	if busy.ends() {
		t.Error("a connection with a request ends")
	}
}
