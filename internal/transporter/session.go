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

// outbound is the session towards one address, with the back-off of its dials.
type outbound struct {
	mu       sync.Mutex
	session  *yamux.Session
	conn     *activityConn
	failures int
	retryAt  time.Time
}

func (t *Transport) openStream(ctx context.Context, addr string) (*yamux.Stream, *outbound, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, nil, eris.New("transport is closed")
	}
	if t.sessions == nil {
		t.sessions = make(map[string]*outbound)
	}
	o := t.sessions[addr]
	if o == nil {
		o = &outbound{}
		t.sessions[addr] = o
	}
	t.mu.Unlock()
	session, err := t.sessionTo(ctx, o, addr)
	if err != nil {
		return nil, nil, err
	}
	raw, err := session.OpenStream()
	if err != nil {
		o.dropSession(session)
		return nil, nil, eris.Wrapf(err, "open stream to %s", addr)
	}
	return raw, o, nil
}

// sessionTo returns the live session towards addr, or dials one unless the back-off of a recent failure has not passed.
func (t *Transport) sessionTo(ctx context.Context, o *outbound, addr string) (*yamux.Session, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.session != nil && !o.session.IsClosed() {
		return o.session, nil
	}
	if wait := time.Until(o.retryAt); wait > 0 {
		return nil, eris.Errorf("dial %s: backing off for %v after %d failures", addr, wait.Round(time.Millisecond), o.failures)
	}
	session, conn, err := t.dial(ctx, addr)
	if err != nil {
		o.failures++
		backoff := min(maxBackoff, minBackoff<<min(o.failures, 6))
		o.retryAt = time.Now().Add(backoff/2 + rand.N(backoff/2))
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	o.session, o.conn, o.failures, o.retryAt = session, conn, 0, time.Time{}
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
	conn.touch()
	session, err := yamux.Client(conn, t.yamuxConfig())
	if err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	return session, conn, nil
}

// sourceAddr returns the listen address's IP number, so that a host with several addresses is seen under one of them.
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

// activityConn records when bytes last arrived.
type activityConn struct {
	net.Conn
	lastRead atomic.Int64
}

func (c *activityConn) touch() { c.lastRead.Store(time.Now().UnixNano()) }

// Read implements net.Conn.
func (c *activityConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.touch()
	}
	return n, err
}

func (o *outbound) drop() {
	o.mu.Lock()
	session := o.session
	o.session = nil
	o.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}

func (o *outbound) dropSession(s *yamux.Session) {
	o.mu.Lock()
	if o.session == s {
		o.session = nil
	}
	o.mu.Unlock()
	_ = s.Close()
}

// dropIfSilent closes the session when nothing has arrived since an exchange began: such a connection may never recover,
// while a new one works.
func (o *outbound) dropIfSilent(since time.Time) {
	o.mu.Lock()
	conn := o.conn
	o.mu.Unlock()
	if conn != nil && conn.lastRead.Load() < since.UnixNano() {
		o.drop()
	}
}
