package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/attributor"
)

const (
	// crashingPart is the ID of the prompt part that crashes the endpoints of a partCrashPool.
	crashingPart = "dead"
	// partRestartDelay is the time for which a crashed endpoint accepts no connections.
	partRestartDelay = 300 * time.Millisecond
	// settledCrashes is the number of crashes from which the sender counts as warned, and maxRunsOnceSettled the number of further
	// runs that are allowed.
	settledCrashes     = 5
	maxRunsOnceSettled = 3
)

// partCrashPool is a pool of endpoints that crash when they begin to answer a request with the part crashingPart, and are back
// after partRestartDelay.
type partCrashPool struct {
	endpoints []*fakeEndpoint
	// answers decides which of the requests with the part are answered in full instead, by their number.
	answers func(n int64) bool
	runs    atomic.Int64
	crashes atomic.Int64
}

func startPartCrashPool(t *testing.T, size int, answers func(n int64) bool) *partCrashPool {
	t.Helper()
	p := &partCrashPool{answers: answers}
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		p.endpoints = append(p.endpoints, &fakeEndpoint{id: fmt.Sprintf("e%d", i), addr: addr})
		var closed atomic.Bool
		var open atomic.Pointer[net.Listener]
		open.Store(&l)
		t.Cleanup(func() {
			closed.Store(true)
			_ = (*open.Load()).Close()
		})
		go func() {
			for !closed.Load() {
				p.serve(*open.Load())
				time.Sleep(partRestartDelay)
				if reopened, err := net.Listen("tcp", addr); err == nil {
					open.Store(&reopened)
				}
			}
		}()
	}
	return p
}

// serve answers requests until the endpoint crashes, which closes all its connections.
func (p *partCrashPool) serve(l net.Listener) {
	var mu sync.Mutex
	var open []net.Conn
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		mu.Lock()
		open = append(open, c)
		mu.Unlock()
		go func() {
			defer func() { _ = c.Close() }()
			for reader := bufio.NewReader(c); ; {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if strings.Contains(r.Header.Get("X-Parts"), crashingPart+":") && !p.answers(p.runs.Add(1)) {
					_, _ = io.WriteString(c, streamHead(r))
					p.crashes.Add(1)
					_ = l.Close()
					mu.Lock()
					for _, other := range open {
						_ = other.Close()
					}
					mu.Unlock()
					return
				}
				if _, err := io.WriteString(c, streamHead(r)+chunk("id: 1\ndata: a\n\n")+"0\r\n\r\n"); err != nil {
					return
				}
			}
		}()
	}
}

// partRequest returns a streaming request that differs from all others in path and session part.
func partRequest(n int, part string) string {
	parts := fmt.Sprintf("X-Parts: first:60,%s:500,session%d:100\r\n", part, n)
	return postRequest(fmt.Sprintf("/chat/%d", n), "k", parts)
}

// Guards against requests of one kind that crash one endpoint after another: no two are alike, but one part of their prompts
// crashes each endpoint that begins to answer it. Requests with the same key and first part must still be served, and a few
// answers to requests with the part must not lift the refusal.
func TestPromptPartThatCrashesEndpoints(t *testing.T) {
	for name, answers := range map[string]func(int64) bool{
		"always":               func(int64) bool { return false },
		"one in three answers": func(n int64) bool { return n%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			p := startPartCrashPool(t, 12, answers)
			h := startTestHost(t, p.endpoints...)
			for n := range 20 {
				h.send(t, partRequest(n, "usual"))
			}
			settledAt, refused, sound, soundServed := int64(-1), 0, 0, 0
			for n := 100; n < 180; n++ {
				if settledAt < 0 && p.crashes.Load() >= settledCrashes {
					settledAt = p.runs.Load()
				}
				if status, header, _, _ := h.send(t, partRequest(n, crashingPart)); status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" {
					refused++
				}
				status, _, _, complete := h.send(t, partRequest(1000+n, "usual"))
				if sound++; status == http.StatusOK && complete {
					soundServed++
				}
				time.Sleep(20 * time.Millisecond)
			}
			if settledAt < 0 {
				settledAt = p.runs.Load()
			}
			got := []bool{p.runs.Load()-settledAt <= maxRunsOnceSettled, refused > 40, 2*soundServed > sound}
			if diff := cmp.Diff([]bool{true, true, true}, got); diff != "" {
				t.Errorf("%d crashes, %d runs after the fifth, %d requests with the part refused, %d of %d sound ones served; within bounds (-want +got):\n%s",
					p.crashes.Load(), p.runs.Load()-settledAt, refused, soundServed, sound, diff)
			}
		})
	}
}

// Guards against suspecting the prompt of a stream whose first event came long before the crash, although its second event had not
// come yet. A stream that had just begun is a suspect.
func TestOnlyRecentStreamsAreSuspects(t *testing.T) {
	for name, c := range map[string]struct {
		streamed time.Duration
		suspects int
	}{
		"just begun": {0, 1},
		"long since": {300 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, streamHead(r)+chunk("id: 1\ndata: a\n\n"))
				time.Sleep(c.streamed)
				_ = l.Close()
			}()
			h := startTestHost(t, &fakeEndpoint{id: "e1", addr: l.Addr().String()})
			h.send(t, partRequest(1, "usual"))
			time.Sleep(120 * time.Millisecond) // until the crash is confirmed
			if got := len(h.gateway.TakeCrashUpdates(true).Evidence); got != c.suspects {
				t.Errorf("%d suspect runs, want %d", got, c.suspects)
			}
		})
	}
}

// Guards against a harmful part that is not seen because many parts come before it, for example in a long conversation.
func TestLatePromptPartIsSuspect(t *testing.T) {
	p := startPartCrashPool(t, 1, func(int64) bool { return false })
	h := startTestHost(t, p.endpoints...)
	parts := "X-Parts: "
	for i := range 30 {
		parts += fmt.Sprintf("turn%d:10,", i)
	}
	h.send(t, postRequest("/chat/x", "k", parts+crashingPart+":10,own:10\r\n"))
	time.Sleep(120 * time.Millisecond) // until the crash is confirmed
	suspect := false
	for _, e := range h.gateway.TakeCrashUpdates(true).Evidence {
		suspect = suspect || slices.Contains(e.Parts, attributor.Digest(crashingPart))
	}
	if !suspect {
		t.Error("the part is no suspect after a crash")
	}
}
