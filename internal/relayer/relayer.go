// Package relayer forwards TCP connections to one host and drops what passes when a failure is brought about.
package relayer

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Relay forwards TCP connections to one host and can drop what passes without closing anything.
type Relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	links map[*link]struct{}
	// blocked holds the source IP numbers whose bytes are dropped; "*" stands for all.
	blocked map[string]bool
}

// link is one relayed connection.
type link struct {
	source   string
	down, up net.Conn
	muted    bool
}

// New listens and forwards to target until Close.
func New(listen, target string) (*Relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "relay for %s", target)
	}
	r := &Relay{listener: l, target: target, links: make(map[*link]struct{}), blocked: make(map[string]bool)}
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
	// A blocked source gets a connection that answers nothing, as through a partition that drops packets.
	up, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = down.Close()
		return
	}
	l := &link{source: source, down: down, up: up}
	r.mu.Lock()
	r.links[l] = struct{}{}
	r.mu.Unlock()
	var pipes sync.WaitGroup
	pipes.Go(func() { r.pipe(l, up, down) })
	pipes.Go(func() { r.pipe(l, down, up) })
	pipes.Wait()
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

func (r *Relay) pipe(l *link, dst, src net.Conn) {
	defer func() {
		// A silent link does not pass on that one end has closed.
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

func (r *Relay) drops(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.muted || r.blocked["*"] || r.blocked[l.source]
}

// Block drops all bytes from and to a source until Unblock; what was dropped stays lost.
func (r *Relay) Block(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[source] = true
	for l := range r.links {
		if source == "*" || l.source == source {
			l.muted = true
		}
	}
}

// Unblock lets new connections of a source pass. Old ones stay silent, since bytes are missing from them.
func (r *Relay) Unblock(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.blocked, source)
}

// MuteOpen makes the open connections silent for good.
func (r *Relay) MuteOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.muted = true
	}
}

// Close ends all connections and waits.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for l := range r.links {
		l.muted = false
		_ = l.down.Close()
		_ = l.up.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
