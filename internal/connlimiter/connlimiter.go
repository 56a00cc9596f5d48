// Package connlimiter bounds the memory and the descriptors that the clients of one process take together.
//
// Each connection pays for what it holds before it is read: its buffers, the heads of its requests by bytes and lines, and the bodies and
// responses that are kept for it. Once the budget is used up, the connection that holds most and has made the least progress is closed.
package connlimiter

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// connBytes is the memory of a connection without a request: its goroutine and its buffers.
	connBytes = 16 << 10
	// A byte of a head is kept by the HTTP server, in the parsed header and in the copy that is forwarded. lineBytes is the memory of a header
	// line beside its text: an entry of the parsed header and one of its copy.
	headFactor, lineBytes = 3, 256
	// progressWeight is added to the time without progress of a connection, so that one which has just made progress counts by what it holds.
	progressWeight = 100 * time.Millisecond
	// maxReserveWait is the longest wait for the memory of connections that were closed.
	maxReserveWait = time.Second
	// logInterval is the least time between two log lines on closed connections with the same reason.
	logInterval = time.Second
)

// Reasons of closed connections.
const (
	reasonMemory      = "memory"
	reasonConnections = "connections"
	reasonSlowBody    = "slow_body"
)

var (
	closedCounts = expvar.NewMap("connlimiter_closed")
	heldBytes    = expvar.NewInt("connlimiter_held_bytes")
)

// ExhaustedError reports that a connection was refused memory.
type ExhaustedError struct{ Held, Wanted, Limit int64 }

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("connections hold %d bytes of %d, %d more were needed", e.Held, e.Limit, e.Wanted)
}

// Limiter bounds the connections of one process. Set the exported fields before use; 0 means no bound.
type Limiter struct {
	// MaxBytes bounds the memory that all connections hold, with what they have released and the runtime has not collected yet.
	MaxBytes int64
	// MaxConns bounds the open connections.
	MaxConns int

	collector collector

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// held is the memory that connections hold, and closing the part of it that belongs to connections which the Limiter has closed.
	held, closing int64
	// released is closed when memory is released.
	released chan struct{}
	loggedAt map[string]time.Time
	unlogged map[string]int
}

// Listen returns a listener whose connections the Limiter bounds.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns, l.loggedAt, l.unlogged = map[*Conn]struct{}{}, map[string]time.Time{}, map[string]int{}
		l.released = make(chan struct{})
		l.collector.watch()
	}
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, limiter: l.limiter, movedAt: time.Now(), evictable: true}
	l.limiter.add(c)
	return c, nil
}

// add registers a connection and closes another one if there are too many.
func (l *Limiter) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.take(c, connBytes)
	if l.MaxConns > 0 && len(l.conns) > l.MaxConns {
		// A new connection may be that of an ordinary client; those without progress go first.
		l.closeWorst(time.Now(), nil, reasonConnections)
	}
}

// reserve takes memory for a connection. If it does not fit, other connections are closed, and the memory that they release is collected.
func (l *Limiter) reserve(c *Conn, n int64) error {
	if l.MaxBytes <= 0 {
		return nil
	}
	l.mu.Lock()
	fits, err := l.tryReserve(c, n)
	l.mu.Unlock()
	if fits || err != nil {
		return err
	}
	timeout := time.NewTimer(maxReserveWait)
	defer timeout.Stop()
	for {
		l.mu.Lock()
		fits, err := l.tryReserve(c, n)
		released, collect := l.released, l.held+n <= l.MaxBytes
		l.mu.Unlock()
		switch {
		case fits || err != nil:
			return err
		case collect:
			l.collector.collect()
			continue
		}
		select {
		case <-released:
		case <-timeout.C:
			l.mu.Lock()
			defer l.mu.Unlock()
			return &ExhaustedError{Held: l.held, Wanted: n, Limit: l.MaxBytes}
		}
	}
}

// tryReserve takes memory if it fits. Otherwise it closes as many connections as are needed, and returns an error if they do not suffice.
// The caller holds the lock.
func (l *Limiter) tryReserve(c *Conn, n int64) (fits bool, err error) {
	if c.isClosed {
		return false, net.ErrClosed
	}
	if l.held+l.collector.uncollected()+n <= l.MaxBytes {
		l.take(c, n)
		return true, nil
	}
	for l.held-l.closing+n > l.MaxBytes {
		if !l.closeWorst(time.Now(), c, reasonMemory) {
			return false, &ExhaustedError{Held: l.held, Wanted: n, Limit: l.MaxBytes}
		}
	}
	return false, nil
}

// Held returns the memory that all connections hold.
func (l *Limiter) Held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *Limiter) take(c *Conn, n int64) {
	c.held += n
	l.held += n
	heldBytes.Set(l.held)
}

// release releases memory of a connection. The caller holds the lock.
func (l *Limiter) release(c *Conn, n int64) {
	if n <= 0 {
		return
	}
	l.take(c, -n)
	if c.isClosed {
		l.closing -= n
	}
	l.collector.add(n)
	close(l.released)
	l.released = make(chan struct{})
}

// closeWorst closes the connection that holds most and has made the least progress. It returns false if there is none, or if it would be
// the one that asks. The caller holds the lock.
func (l *Limiter) closeWorst(now time.Time, asking *Conn, reason string) bool {
	var worst *Conn
	highest := 0.0
	for c := range l.conns {
		if score := c.score(now); (c.evictable || c == asking) && score > highest {
			worst, highest = c, score
		}
	}
	if worst == nil || worst == asking {
		return false
	}
	l.close(now, worst, reason)
	return true
}

// CloseSlowBody closes the connection whose body holds most memory and has made the least progress, if it has paused for the given time, or has
// sent fewer bytes per second since that time. It returns false if there is none. Callers use it while other bodies wait for the memory.
func (l *Limiter) CloseSlowBody(pause time.Duration, bytesPerSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var worst *Conn
	highest := 0.0
	for c := range l.conns {
		if c.bodyBegan.IsZero() || !c.isSlow(now, pause, bytesPerSecond) {
			continue
		}
		if score := c.score(now); score > highest {
			worst, highest = c, score
		}
	}
	if worst == nil {
		return false
	}
	l.close(now, worst, reasonSlowBody)
	return true
}

func (c *Conn) isSlow(now time.Time, pause time.Duration, bytesPerSecond float64) bool {
	elapsed := now.Sub(c.bodyBegan)
	return elapsed >= pause && (now.Sub(c.movedAt) >= pause || float64(c.bodyBytes) < bytesPerSecond*elapsed.Seconds())
}

func (c *Conn) score(now time.Time) float64 {
	return float64(c.held) * (now.Sub(c.movedAt) + progressWeight).Seconds()
}

// close closes a connection. What it holds is released when its request ends. The caller holds the lock.
func (l *Limiter) close(now time.Time, c *Conn, reason string) {
	delete(l.conns, c)
	c.isClosed = true
	l.closing += c.held
	closedCounts.Add(reason, 1)
	l.unlogged[reason]++
	if now.Sub(l.loggedAt[reason]) >= logInterval {
		klog.InfoS("connlimiter: connections closed", "reason", reason, "count", l.unlogged[reason], "held_bytes", l.held, "connections", len(l.conns),
			"peer", c.RemoteAddr())
		l.loggedAt[reason], l.unlogged[reason] = now, 0
	}
	_ = c.Conn.Close()
}

// Conn is a bounded connection.
type Conn struct {
	net.Conn
	limiter *Limiter

	// The fields below are guarded by the lock of the Limiter. held is the memory that the connection holds, and movedAt the time of the
	// last byte from or to the client.
	held    int64
	movedAt time.Time
	// handling is true while a request is handled; what is read then is no head.
	handling bool
	// evictable is true while closing the connection interrupts no request that was read.
	evictable, isClosed bool
	// bodyBegan is the time at which the reading of a body for which memory is held began; zero if none is read. bodyBytes were read since.
	bodyBegan time.Time
	bodyBytes int64
}

// Read implements net.Conn. It pays for the heads of requests.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	l := c.limiter
	l.mu.Lock()
	c.movedAt = time.Now()
	c.bodyBytes += int64(n)
	handling := c.handling
	l.mu.Unlock()
	if handling {
		return n, err
	}
	if err := l.reserve(c, headCost(b[:n])); err != nil {
		// Closed without an answer: net/http would send a 400, but the request may be proper.
		l.mu.Lock()
		defer l.mu.Unlock()
		if !c.isClosed {
			l.close(time.Now(), c, reasonMemory)
		}
		return 0, err
	}
	return n, err
}

func headCost(b []byte) int64 {
	lines := 0
	for _, x := range b {
		if x == '\n' {
			lines++
		}
	}
	return int64(headFactor*len(b) + lineBytes*lines)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.movedAt = time.Now()
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.limiter
	l.mu.Lock()
	delete(l.conns, c)
	l.release(c, c.held)
	c.isClosed = true
	l.mu.Unlock()
	return c.Conn.Close()
}

// BeginRequest states that the head of a request was read and its body is expected.
func (c *Conn) BeginRequest() { c.set(true, true) }

// BeginBody states that memory is held for the body, which is read from now on.
func (c *Conn) BeginBody() {
	c.set(true, true)
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.bodyBegan, c.bodyBytes, c.movedAt = time.Now(), 0, time.Now()
}

// BeginRun states that the whole request was read. It is not interrupted for want of memory from now on.
func (c *Conn) BeginRun() { c.set(true, false) }

// BeginResponse states that the response is being written. A client that does not read it may be disconnected.
func (c *Conn) BeginResponse() { c.set(true, true) }

func (c *Conn) set(handling, evictable bool) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.handling, c.evictable = handling, evictable
	c.bodyBegan = time.Time{}
}

// EndRequest releases what was held for the request.
func (c *Conn) EndRequest() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.handling, c.evictable = false, true
	c.bodyBegan = time.Time{}
	c.limiter.release(c, c.held-connBytes)
}

// Reserve takes memory for the request. It returns an *ExhaustedError, or net.ErrClosed if the connection was closed.
func (c *Conn) Reserve(n int64) error { return c.limiter.reserve(c, n) }

// Release returns memory for the request that is not needed any longer.
func (c *Conn) Release(n int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.release(c, min(n, c.held))
}

type connKey struct{}

// Context adds a connection to the context of its requests; it is a ConnContext of an http.Server.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that tells the connection of each request when it begins and ends. The server must use Context.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := RequestConn(r); c != nil {
			c.BeginRequest()
			defer c.EndRequest()
		}
		h.ServeHTTP(w, r)
	})
}

// RequestConn returns the connection of a request, or nil if no Limiter bounds it.
func RequestConn(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
