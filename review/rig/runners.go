package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const idHeader = "X-Dragonflycroft-Attempt-Id"

// poisonPrefix is the beginning of the path of requests that crash each runner which begins to run them, and crashTime how long it is
// down.
const (
	poisonPrefix = "/lohu930/poison"
	crashTime    = 3 * time.Second
)

// runner is a stand-in for a runner of a plain service.
type runner struct {
	p                   *provider
	service, addr, zone string

	mu     sync.Mutex
	id     string
	server *http.Server
}

// provider is a stand-in for the provider's list of runners.
type provider struct {
	rec     *recorder
	mu      sync.Mutex
	runners []*runner
	server  *http.Server
	// reached and crashed hold, by path, the times at which a request that crashes runners has reached one, and has crashed one; lives
	// counts the lifetimes of runners.
	reached, crashed map[string][]time.Time
	lives            int
	closed           bool
	// harmless is true while these requests crash nothing.
	harmless atomic.Bool
}

// startProvider starts the list and one runner of the service in each zone.
func startProvider(c *cluster, service string) (*provider, error) {
	p := &provider{rec: c.rec, reached: map[string][]time.Time{}, crashed: map[string][]time.Time{}}
	ip := c.ip()
	c.listAddr = net.JoinHostPort(ip, fmt.Sprint(c.ports["list"]))
	l, err := net.Listen("tcp", c.listAddr)
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.list), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	for _, zone := range zoneNames {
		r := &runner{p: p, service: service, zone: zone}
		r.addr = net.JoinHostPort(c.ip(), fmt.Sprint(c.ports["runner"]))
		if err := r.start(); err != nil {
			return nil, err
		}
		p.runners = append(p.runners, r)
	}
	return p, nil
}

// start begins a new lifetime of a runner.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	if r.p.closed {
		return l.Close()
	}
	r.p.lives++
	r.mu.Lock()
	defer r.mu.Unlock()
	r.id, r.server = fmt.Sprintf("i-%08d", r.p.lives), server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends a lifetime of a runner with all its connections; the next one begins after crashTime. It returns false if it has ended already.
func (r *runner) crash(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.id != id || id == "" {
		return false
	}
	r.p.rec.event("runner %s at %s crashes", r.id, r.zone)
	r.id = ""
	_ = r.server.Close()
	time.AfterFunc(crashTime, func() {
		if err := r.start(); err != nil {
			r.p.rec.fail("runner at %s: %v", r.zone, err)
		}
	})
	return true
}

func (r *runner) instance() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// reaches returns how often a request that crashes runners has reached one, and how often later than contact_ms after it has crashed the
// third.
func (p *provider) reaches(path string) (all, late int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	times, crashes := p.reached[path], p.crashed[path]
	if len(crashes) < 3 {
		return len(times), 0
	}
	for _, at := range times {
		if at.After(crashes[2].Add(contact)) {
			late++
		}
	}
	return len(times), late
}

func (p *provider) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.server.Close()
	for _, r := range p.runners {
		r.mu.Lock()
		_ = r.server.Close()
		r.mu.Unlock()
	}
}

func (p *provider) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries []map[string]any
	for _, r := range p.runners {
		id := r.instance()
		if id == "" {
			continue
		}
		entries = append(entries, map[string]any{
			"id": id, "service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next_token": nil})
}

// ServeHTTP runs a request as the pages describe it.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	instance := r.instance()
	h := w.Header()
	h.Set("X-Dragonflycroft-Server-Load", "0,0,6")
	if req.URL.Path == "/healthz" {
		h.Set("X-Dragonflycroft-Instance-Id", instance)
		return
	}
	id := req.Header.Get(idHeader)
	h.Set(idHeader, id)
	h.Set("X-Dragonflycroft-Server-Stamp", instance+"."+id)
	if want := req.Header.Get("X-Dragonflycroft-Expect-Instance"); want != "" && want != instance {
		h.Set("X-Dragonflycroft-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(req.URL.Path, poisonPrefix) && !r.p.harmless.Load() {
		r.p.mu.Lock()
		r.p.reached[req.URL.Path] = append(r.p.reached[req.URL.Path], time.Now())
		r.p.mu.Unlock()
		r.p.rec.event("request %s reaches runner %s from %s and crashes it", id, instance, req.RemoteAddr)
		if r.crash(instance) {
			r.p.mu.Lock()
			r.p.crashed[req.URL.Path] = append(r.p.crashed[req.URL.Path], time.Now())
			r.p.mu.Unlock()
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, strings.Repeat("stock ", 20)+id)
}
