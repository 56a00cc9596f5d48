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

// maxRecordedHead is the number of bytes of a request head that are recorded for the checks. net/http refuses longer heads.
const maxRecordedHead = 64 << 10

// trackingListener records the raw head of each request, and closes connections between two requests.
//
// net/http drops a Content-Length beside a Transfer-Encoding, so that a handler cannot detect that a request had both: another
// proxy may have framed it by the other length. When net/http closes idle connections, it may close one whose next request has
// just been read and is about to be handled.
type trackingListener struct {
	net.Listener

	mu       sync.Mutex
	conns    map[*trackedConn]struct{}
	draining bool
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: raw, listener: l, recording: true, idleSince: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.draining = l.draining
	l.conns[c] = struct{}{}
	return c, nil
}

// drain closes every connection as soon as no request is in progress on it.
func (l *trackingListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.conns {
		c.drain()
	}
}

// closeIdle closes the connections that have been idle for longer than a limit.
func (l *trackingListener) closeIdle(limit time.Duration) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.idleFor(now) > limit {
			c.drain()
		}
	}
}

// openConns returns the number of open connections.
func (l *trackingListener) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

type trackedConn struct {
	net.Conn
	listener *trackingListener

	mu sync.Mutex
	// recording is true from the end of a request until the handler of the next one starts, and head is what was read in that
	// time.
	recording bool
	head      []byte
	// next is the byte of the next request that net/http has read in the background during the current one, if any.
	next     []byte
	draining bool
	// interrupted is true if drain has set a read deadline in the past.
	interrupted bool
	idleSince   time.Time
	// readErr is the last error of a Read of the network connection, and isClosed is true once Close was called.
	readErr  error
	isClosed bool
}

// Read implements net.Conn. It returns io.EOF on a draining connection only if no byte of a further request has been read, so
// that each request that has begun gets a response.
func (c *trackedConn) Read(b []byte) (int, error) {
	if c.atEnd() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.readErr = err
	}
	if n > 0 && c.interrupted {
		// The bytes arrived at the moment of the drain; the rest of the request must be readable.
		c.interrupted = false
		if err := c.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
			klog.V(1).InfoS("gateway: read deadline not restored", "reason", err)
		}
	}
	if n > 0 && c.recording && len(c.head)+n <= maxRecordedHead {
		c.head = append(c.head, b[:n]...)
	}
	if n == 1 && len(b) == 1 && !c.recording {
		// Only the background read of net/http, which begins at the end of the body, asks for a single byte.
		c.next = []byte{b[0]}
	}
	return n, err
}

// atEnd reports whether the connection is draining and no byte of a further request has been read.
func (c *trackedConn) atEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining && c.recording && len(c.head) == 0
}

func (c *trackedConn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.recording || len(c.head) > 0 {
		return 0
	}
	return now.Sub(c.idleSince)
}

// drain marks the connection as draining and unblocks a Read that waits for a further request.
func (c *trackedConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.recording && len(c.head) == 0 {
		c.interrupted = true
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			klog.V(1).InfoS("gateway: closing an idle connection failed", "reason", err)
		}
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.mu.Lock()
	c.isClosed = true
	unhandled := c.recording && bytes.Contains(c.head, []byte("\r\n\r\n"))
	c.mu.Unlock()
	if unhandled {
		c.logUnhandled()
	}
	return c.Conn.Close()
}

// framing is how a request head states the length of the body.
type framing int

const (
	// framingUnambiguous means that the head states the length at most once.
	framingUnambiguous framing = iota
	// framingAmbiguous means that the head states the length more than once.
	framingAmbiguous
	// framingUnknown means that the head was not recorded because it arrived together with the previous request.
	framingUnknown
)

// inspectHead returns the framing of the current request and the length of its head in bytes. It stops the recording until
// recordNextHead is called.
func (c *trackedConn) inspectHead() (f framing, headBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	c.recording, c.head, c.interrupted = false, nil, false
	end := bytes.Index(head, []byte("\r\n\r\n"))
	if end < 0 {
		return framingUnknown, 0
	}
	if inspector.AmbiguousLength(head[:end]) {
		return framingAmbiguous, end
	}
	return framingUnambiguous, end
}

// recordNextHead starts recording the head of the next request.
func (c *trackedConn) recordNextHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recording, c.head, c.next, c.idleSince = true, c.next, nil, time.Now()
}
