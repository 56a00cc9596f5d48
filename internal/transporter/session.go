package transporter

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// clientSession is the outbound session to one address, with the backoff state of its dials.
type clientSession struct {
	mu       sync.Mutex
	session  *yamux.Session
	conn     *activityConn
	failures int
	retryAt  time.Time
}

func (t *Transport) openStream(ctx context.Context, addr string) (*yamux.Stream, *clientSession, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, nil, eris.New("transport is closed")
	}
	if t.outbound == nil {
		t.outbound = make(map[string]*clientSession)
	}
	c := t.outbound[addr]
	if c == nil {
		c = &clientSession{}
		t.outbound[addr] = c
	}
	t.mu.Unlock()
	session, err := t.sessionTo(ctx, c, addr)
	if err != nil {
		return nil, nil, err
	}
	raw, err := session.OpenStream()
	if err != nil {
		c.discard(session)
		return nil, nil, eris.Wrapf(err, "open stream to %s", addr)
	}
	return raw, c, nil
}

// sessionTo returns the open session to addr, or dials a new one. It fails without dialing while the backoff after a failed
// dial lasts.
func (t *Transport) sessionTo(ctx context.Context, c *clientSession, addr string) (*yamux.Session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != nil && !c.session.IsClosed() {
		return c.session, nil
	}
	if wait := time.Until(c.retryAt); wait > 0 {
		return nil, eris.Errorf("dial %s: backing off for %v after %d failures", addr, wait.Round(time.Millisecond), c.failures)
	}
	session, conn, err := t.dial(ctx, addr)
	if err != nil {
		c.failures++
		backoff := min(maxBackoff, minBackoff<<min(c.failures, 6))
		c.retryAt = time.Now().Add(backoff/2 + rand.N(backoff/2))
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	c.session, c.conn, c.failures, c.retryAt = session, conn, 0, time.Time{}
	return session, nil
}

func (t *Transport) dial(ctx context.Context, addr string) (*yamux.Session, *activityConn, error) {
	dialer := net.Dialer{Timeout: t.dialTimeout(), LocalAddr: t.sourceAddr()}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	if _, err := t.authenticator().Dial(raw); err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	conn := &activityConn{Conn: raw}
	conn.recordActivity()
	session, err := yamux.Client(conn, t.yamuxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	return session, conn, nil
}

// sourceAddr returns the IP address to dial from, which is that of ListenAddr, so that a host with several addresses always uses
// the same one. It returns nil if ListenAddr has no specific IP address.
func (t *Transport) sourceAddr() net.Addr {
	host, _, err := net.SplitHostPort(t.ListenAddr)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: ip}
}

// activityConn is a connection that records when it last received data.
type activityConn struct {
	net.Conn
	lastRead atomic.Int64
}

func (c *activityConn) recordActivity() { c.lastRead.Store(time.Now().UnixNano()) }

// Read implements net.Conn.
func (c *activityConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.recordActivity()
	}
	return n, err
}

func (c *clientSession) closeCurrent() {
	c.mu.Lock()
	session := c.session
	c.session = nil
	c.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}

func (c *clientSession) discard(s *yamux.Session) {
	c.mu.Lock()
	if c.session == s {
		c.session = nil
	}
	c.mu.Unlock()
	_ = s.Close()
}

// closeIfIdleSince closes the session if its connection has received nothing since the start of an exchange. Such a connection
// may stay unresponsive although a new one works.
func (c *clientSession) closeIfIdleSince(since time.Time) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn != nil && conn.lastRead.Load() < since.UnixNano() {
		c.closeCurrent()
	}
}
