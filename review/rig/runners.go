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

// runner is a stand-in for a runner of a plain service.
type runner struct {
	id, service, addr, zone string
	server                  *http.Server
	runs                    atomic.Int64
}

// provider is a stand-in for the provider's list of runners.
type provider struct {
	rec     *recorder
	mu      sync.Mutex
	runners []*runner
	server  *http.Server
}

// startProvider starts the list and one runner of the service in each zone.
func startProvider(c *cluster, service string) (*provider, error) {
	p := &provider{rec: c.rec}
	ip := c.ip()
	c.listAddr = net.JoinHostPort(ip, fmt.Sprint(c.ports["list"]))
	l, err := net.Listen("tcp", c.listAddr)
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.list), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	for i, zone := range zoneNames {
		r := &runner{id: fmt.Sprintf("i-%08d", i+1), service: service, zone: zone}
		r.addr = net.JoinHostPort(c.ip(), fmt.Sprint(c.ports["runner"]))
		l, err := net.Listen("tcp", r.addr)
		if err != nil {
			return nil, err
		}
		r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = r.server.Serve(l) }()
		p.runners = append(p.runners, r)
	}
	return p, nil
}

func (p *provider) close() {
	_ = p.server.Close()
	for _, r := range p.runners {
		_ = r.server.Close()
	}
}

func (p *provider) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries []map[string]any
	for _, r := range p.runners {
		entries = append(entries, map[string]any{
			"id": r.id, "service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next_token": nil})
}

// ServeHTTP runs a request as the pages describe it.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("X-Dragonflycroft-Server-Load", "0,0,6")
	if req.URL.Path == "/healthz" {
		h.Set("X-Dragonflycroft-Instance-Id", r.id)
		return
	}
	id := req.Header.Get(idHeader)
	h.Set(idHeader, id)
	h.Set("X-Dragonflycroft-Server-Stamp", r.id+"."+id)
	if want := req.Header.Get("X-Dragonflycroft-Expect-Instance"); want != "" && want != r.id {
		h.Set("X-Dragonflycroft-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.runs.Add(1)
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, strings.Repeat("stock ", 20)+id)
}
