package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// faultListener tracks its connections, so that they can be reset or their writes dropped.
type faultListener struct {
	net.Listener
	mu         sync.Mutex
	conns      map[*faultConn]struct{}
	dropWrites atomic.Bool
}

func newFaultListener(l net.Listener) *faultListener {
	return &faultListener{Listener: l, conns: make(map[*faultConn]struct{})}
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// dropWritesOnOpen drops all further writes to the open connections; new connections work.
func (l *faultListener) dropWritesOnOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.dropWrites.Store(true)
	}
}

// resetOpen closes every open connection with a TCP reset.
func (l *faultListener) resetOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
}

type faultConn struct {
	net.Conn
	listener   *faultListener
	dropWrites atomic.Bool
}

// Write reports success but drops the bytes if writes are dropped, like a middlebox that has lost the state of the connection.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.dropWrites.Load() || c.listener.dropWrites.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. A connection whose writes are dropped stays open, since the peer must not receive a FIN either.
func (c *faultConn) Close() error {
	if c.dropWrites.Load() || c.listener.dropWrites.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
