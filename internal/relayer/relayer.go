// Package relayer forwards TCP connections to one host and can drop their data to inject network failures.
package relayer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Relay forwards TCP connections to one host and can drop their data without closing them.
type Relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu          sync.Mutex
	connections map[*connection]struct{}
	// blocked is the set of source IP addresses whose data is dropped; "*" matches all.
	blocked map[string]bool
}

// connection is one forwarded connection.
type connection struct {
	source   string
	down, up net.Conn
	dropping bool
}

// New starts a relay that listens on an address and forwards connections to target until Close.
func New(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for relay to %s", target)
	}
	r := &Relay{listener: l, target: target, connections: make(map[*connection]struct{}), blocked: make(map[string]bool)}
	r.wg.Go(r.accept)
	return r, nil
}

func (r *Relay) accept() {
	for {
		down, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(down) })
	}
}

func (r *Relay) serve(down net.Conn) {
	source, _, _ := net.SplitHostPort(down.RemoteAddr().String())
	// A connection from a blocked source is accepted but no data passes, as in a network partition that drops packets.
	up, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = down.Close()
		return
	}
	l := &connection{source: source, down: down, up: up}
	r.mu.Lock()
	r.connections[l] = struct{}{}
	r.mu.Unlock()
	var pipes sync.WaitGroup
	pipes.Go(func() { r.pipe(l, up, down) })
	pipes.Go(func() { r.pipe(l, down, up) })
	pipes.Wait()
	r.mu.Lock()
	delete(r.connections, l)
	r.mu.Unlock()
}

func (r *Relay) pipe(l *connection, dst, src net.Conn) {
	defer func() {
		// A connection whose data is dropped does not forward the close of one end.
		if !r.drops(l) {
			_ = dst.Close()
		}
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if r.drops(l) {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			_ = src.Close()
			return
		}
	}
}

func (r *Relay) drops(l *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.dropping || r.blocked["*"] || r.blocked[l.source]
}

// Block drops all data from and to a source until Unblock. Connections that are open then drop data until they are closed.
func (r *Relay) Block(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[source] = true
	for l := range r.connections {
		if source == "*" || l.source == source {
			l.dropping = true
		}
	}
}

// Unblock forwards the data of new connections of a source. Connections that were blocked keep dropping data, since bytes are
// missing from their streams.
func (r *Relay) Unblock(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.blocked, source)
}

// DropOpen permanently drops the data of the connections that are open.
func (r *Relay) DropOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.connections {
		l.dropping = true
	}
}

// Close closes the listener and all connections, and waits for the goroutines of the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for l := range r.connections {
		l.dropping = false
		_ = l.down.Close()
		_ = l.up.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
