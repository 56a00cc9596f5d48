package server

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connlimiter"
)

// listener accepts the connections of callers.
type listener struct {
	net.Listener
	readTimeout, writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	bounded, _ := inner.(*connlimiter.Conn)
	return &callerConn{Conn: inner, bounded: bounded, readTimeout: l.readTimeout, writeTimeout: l.writeTimeout}, nil
}

// callerConn is the connection of a caller. Its read and write timeouts bound a pause, not the whole request, and it can be watched for its end
// while a request is handled.
type callerConn struct {
	net.Conn
	// bounded pays for the memory that the caller takes.
	bounded      *connlimiter.Conn
	writeTimeout time.Duration
	mu           sync.Mutex
	readTimeout  time.Duration
	// watch is the read that watches the connection; nil if none is in progress or its result was taken.
	watch *watch
}

// watch is a read of one byte that begins before the HTTP server asks for it. It ends with the first byte of the next request, or with the
// connection.
type watch struct {
	// gone is called when the connection has ended. It must not use the connection.
	gone func()
	// ended is closed, and hasEnded set, with the fields below.
	ended    chan struct{}
	hasEnded bool
	buf      [1]byte
	n        int
	err      error
}

type connKey struct{}

// connContext adds the connection to the context of its requests.
func connContext(c net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, c)
}

// connOf returns the connection of a request.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// SetReadDeadline implements net.Conn. The time until the deadline bounds each pause from now on.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readTimeout = 0
	if !at.IsZero() {
		c.readTimeout = time.Until(at)
	}
	return c.Conn.SetReadDeadline(at)
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	w, timeout := c.watch, c.readTimeout
	c.watch = nil
	c.mu.Unlock()
	if w != nil && len(b) > 0 {
		<-w.ended
		return copy(b, w.buf[:w.n]), w.err
	}
	if timeout > 0 {
		if err := c.Conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// watchEnd calls gone when the connection ends before the next request. Call it after the whole request was read.
func (c *callerConn) watchEnd(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != nil {
		// The request was read ahead together with the one before, whose watch goes on.
		c.watch.gone = gone
		if c.watch.hasEnded {
			c.watch.report()
		}
		return
	}
	if c.Conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	w := &watch{ended: make(chan struct{}), gone: gone}
	c.watch = w
	go func() {
		w.n, w.err = c.Conn.Read(w.buf[:])
		c.mu.Lock()
		defer c.mu.Unlock()
		w.hasEnded = true
		close(w.ended)
		w.report()
	}()
}

// report calls gone if the watch has found the end of the connection.
func (w *watch) report() {
	if w.err != nil && !errors.Is(w.err, os.ErrDeadlineExceeded) {
		w.gone()
	}
}
