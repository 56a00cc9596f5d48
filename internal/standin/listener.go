package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// faultListener tracks its connections, so that they can be reset or made silent.
type faultListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*faultConn]struct{}
	muted atomic.Bool
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
	c := &faultConn{Conn: conn, owner: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// muteOpen makes every open connection silent for good; new ones work.
func (l *faultListener) muteOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.muted.Store(true)
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
	owner *faultListener
	muted atomic.Bool
}

// Write drops the bytes of a silent connection, as a middlebox that lost track of it does.
func (c *faultConn) Write(b []byte) (int, error) {
	if c.muted.Load() || c.owner.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. A silent connection stays open, since its other end must not learn of the close either.
func (c *faultConn) Close() error {
	if c.muted.Load() || c.owner.muted.Load() {
		return nil
	}
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
