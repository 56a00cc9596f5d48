package scenariorunner

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// relay forwards TCP connections to one host and can drop what passes without closing anything.
type relay struct {
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

func newRelay(listen, target string) (*relay, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "relay for %s", target)
	}
	r := &relay{listener: l, target: target, links: make(map[*link]struct{}), blocked: make(map[string]bool)}
	r.wg.Go(r.accept)
	return r, nil
}

func (r *relay) accept() {
	for {
		down, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(down) })
	}
}

func (r *relay) serve(down net.Conn) {
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

func (r *relay) pipe(l *link, dst, src net.Conn) {
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

func (r *relay) drops(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return l.muted || r.blocked["*"] || r.blocked[l.source]
}

// block drops all bytes from and to a source until unblock; what was dropped stays lost.
func (r *relay) block(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked[source] = true
	for l := range r.links {
		if source == "*" || l.source == source {
			l.muted = true
		}
	}
}

// unblock lets new connections of a source pass. Old ones stay silent, since bytes are missing from them.
func (r *relay) unblock(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.blocked, source)
}

// muteOpen makes the open connections silent for good.
func (r *relay) muteOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.muted = true
	}
}

func (r *relay) close() {
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
