package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// listServer is the platform's list of runners.
type listServer struct {
	server *http.Server
	ln     net.Listener

	mu   sync.Mutex
	page []byte
}

func (s *listServer) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.ln = ln
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		page := s.page
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(page)
	})}
	go func() { _ = s.server.Serve(ln) }()
	return nil
}

func (s *listServer) addr() string { return s.ln.Addr().String() }

func (s *listServer) close() {
	if s.server != nil {
		_ = s.server.Close()
	}
}

// set replaces the list by entries that are JSON texts.
func (s *listServer) set(entries ...string) {
	page := []byte(`{"instances":[`)
	for i, e := range entries {
		if i > 0 {
			page = append(page, ',')
		}
		page = append(page, e...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.page = append(page, `],"next_token":null}`...)
}

// runner is a stand-in for a runner. Each request runs in answer, which writes the whole answer.
type runner struct {
	id, service, zone string
	slots             int
	// quiet is true if the record names no single runs.
	quiet  bool
	record *record
	// answer writes the answer to a request and reports whether the channel stays open.
	answer func(c net.Conn, r *http.Request, body []byte) bool

	ln net.Listener
	mu sync.Mutex
	// ran are the ids of the requests that began to run.
	ran []string
}

func (s *runner) listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

func (s *runner) addr() string { return s.ln.Addr().String() }

// entry returns the entry of the runner in the list.
func (s *runner) entry(state string) string {
	raw, err := json.Marshal(map[string]any{
		"id": s.id, "service": s.service, "address": s.addr(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "cold_left_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
	if err != nil {
		panic(err)
	}
	return string(raw)
}

func (s *runner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Method == http.MethodGet && (r.URL.Path == "/healthz" || r.URL.Path == "/v1/report") {
			text := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":494091,"kv_handles":0,"born":%d}`, s.record.start.UnixMilli())
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Dragonflycroft-Instance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", s.id, len(text), text); err != nil {
				return
			}
			continue
		}
		id := r.Header.Get("X-Dragonflycroft-Attempt-Id")
		if expected := r.Header.Get("X-Dragonflycroft-Expect-Instance"); expected != "" && expected != s.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nX-Dragonflycroft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.mu.Lock()
		s.ran = append(s.ran, id)
		s.mu.Unlock()
		if !s.quiet {
			s.record.note("runner %s runs %s %s id=%s tenant=%q body=%q", s.id, r.Method, r.RequestURI, id, r.Header.Get("X-Dragonflycroft-Tenant"), clip(body))
		}
		if !s.answer(c, r, body) {
			return
		}
	}
}

// runs returns the ids of the requests that began to run.
func (s *runner) runs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran...)
}

func clip(b []byte) string {
	const most = 80
	if len(b) > most {
		return string(b[:most]) + "..."
	}
	return string(b)
}

// plainAnswer answers with a short body that names the request.
func plainAnswer(c net.Conn, r *http.Request, _ []byte) bool {
	id := r.Header.Get("X-Dragonflycroft-Attempt-Id")
	text := "done " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Dragonflycroft-Attempt-Id: %s\r\nX-Dragonflycroft-Server-Stamp: stamp.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		id, id, len(text), text)
	return err == nil
}
