package gateway

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/inspector"
)

type connKey struct{}

// maxRecorded bounds the bytes of a request head that are kept for the checks. The HTTP library refuses longer heads.
const maxRecorded = 64 << 10

// guardListener keeps the raw head of each request, and lets connections end between two requests.
//
// The HTTP library drops a Content-Length beside a Transfer-Encoding, so that a handler cannot see that a request had both:
// another program on the way may have read it with the other length. And when it closes idle connections, it may close one
// whose next request has just been read and is about to be passed on.
type guardListener struct {
	net.Listener

	mu      sync.Mutex
	open    map[*guardConn]struct{}
	leaving bool
}

// Accept implements net.Listener.
func (l *guardListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &guardConn{Conn: raw, listener: l, recording: true, idleSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.leaving = l.leaving
	l.open[c] = struct{}{}
	return c, nil
}

// leave ends every connection as soon as no request is in progress on it.
func (l *guardListener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	for c := range l.open {
		c.leave()
	}
}

// endIdle ends the connections that have waited for a request for longer than a limit.
func (l *guardListener) endIdle(limit time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.idleFor(now) > limit {
			c.leave()
		}
	}
}

// remaining returns the number of open connections.
func (l *guardListener) remaining() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

type guardConn struct {
	net.Conn
	listener *guardListener

	mu sync.Mutex
	// recording is true from the end of a request until the next one is handled, and head is what was read in that time.
	recording bool
	head      []byte
	leaving   bool
	idleSince time.Time
}

// Read implements net.Conn. Bytes that have been read are always passed on, so that the request they belong to is answered.
func (c *guardConn) Read(b []byte) (int, error) {
	if c.ends() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.recording && len(c.head)+n <= maxRecorded {
		c.head = append(c.head, b[:n]...)
	}
	return n, err
}

// ends reports whether the connection is to end and no byte of a further request has been read.
func (c *guardConn) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaving && c.recording && len(c.head) == 0
}

func (c *guardConn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.recording || len(c.head) > 0 {
		return 0
	}
	return now.Sub(c.idleSince)
}

// leave wakes a read that waits for a further request.
func (c *guardConn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	if c.recording && len(c.head) == 0 {
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			klog.V(1).InfoS("gateway: idle connection not ended", "reason", err)
		}
	}
}

// Close implements net.Conn.
func (c *guardConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// framing is the result of a check of a request head.
type framing int

const (
	// framingClear means that the head states the length of the body in one way.
	framingClear framing = iota
	// framingAmbiguous means that the head states it in two ways.
	framingAmbiguous
	// framingUnseen means that the head arrived together with the request before it.
	framingUnseen
)

// check judges the head of the request that is handled now, with its length, and stops recording until next is called.
func (c *guardConn) check() (f framing, headBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	c.recording, c.head = false, nil
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if end < 0 {
		return framingUnseen, 0
	}
	if inspector.Ambiguous(head[:end]) {
		return framingAmbiguous, end
	}
	return framingClear, end
}

// next begins to record the head of the next request.
func (c *guardConn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.head, c.idleSince = true, nil, time.Now()
}
