package gateway_test

import (
	"bufio"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
)

// Each line of the file is a case: its name, the path and the size of the request, the bytes of the answer, how its connection goes on, and
// what the caller gets ("-" is no complete answer).
//
//go:embed testdata/broken_answers.txt
var brokenAnswers string

// soundAnswer is the answer to each request but the first, and soundEvent its body.
const (
	soundEvent  = "id: 9\ndata: sound\n\n"
	soundAnswer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 19\r\n\r\n" + soundEvent
	// answerPause separates the answer from the end of its connection, so that they arrive apart.
	answerPause = 10 * time.Millisecond
	// brokenAnswerRounds is the number of plays of a case, because a reset reaches the read of the answer or the write of the request.
	brokenAnswerRounds = 4
)

// rawEndpoint sends an answer, which may be broken, to one of the requests that it receives, and a sound answer to the others.
type rawEndpoint struct {
	// answer is the bytes of the answer, and broken the number of the request that it answers.
	answer string
	broken int64
	// end is what follows the answer: "keep", "fin" (the end of the stream) or "reset" of a connection whose request was read, "early-keep",
	// "early-fin" and "early-reset" if the request is not read before, and "late-fin" if it is read between the answer and the end.
	end string

	requests atomic.Int64
}

// start listens until the test ends, and returns the address.
func (e *rawEndpoint) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// serve answers the requests of a connection. A failed write or read is seen by the caller of the test.
func (e *rawEndpoint) serve(c *net.TCPConn) {
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer, end := soundAnswer, "keep"
		if e.requests.Add(1)-1 == e.broken {
			answer, end = e.answer, e.end
		}
		when, how, early := strings.Cut(end, "-")
		if !early {
			how = end
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, answer)
		if end != "early-keep" {
			time.Sleep(answerPause)
		}
		switch {
		case how == "reset":
			_ = errors.Join(c.SetLinger(0), c.Close())
			return
		case how == "fin" && when == "early":
			_ = c.CloseWrite()
			return
		case how == "fin":
			_, _ = io.Copy(io.Discard, r.Body)
			_ = c.CloseWrite()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// sendLong sends a request with a body, and returns the status and body of a complete answer of the endpoint, or "-".
func (h *testHost) sendLong(t *testing.T, path string, size int) string {
	t.Helper()
	head := fmt.Sprintf("POST /%s/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nAuthorization: Token k\r\nContent-Length: %d\r\n\r\n", path, size)
	status, header, body, complete := h.send(t, head+strings.Repeat("u", size))
	if !complete || header.Get("X-Signature") != "s" {
		return "-"
	}
	return fmt.Sprintf("%d %s", status, body)
}

// Guards against an answer that an endpoint has broken off, or that is not valid HTTP, and that its caller gets as a complete one, as the
// first answer of a connection or a later one. Sound answers must stay complete.
func TestBrokenAnswers(t *testing.T) {
	for line := range strings.Lines(brokenAnswers) {
		if strings.TrimSpace(line) == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var name, path, end, answer, want string
		var size int
		if _, err := fmt.Sscanf(line, "%s %s %d %q %s %q", &name, &path, &size, &answer, &end, &want); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		answer = strings.ReplaceAll(answer, "SIGNED", "X-Id: 1\r\nX-Signature: s")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for round := range brokenAnswerRounds {
				kept := round % 2
				e := &rawEndpoint{answer: answer, end: end, broken: int64(kept)}
				endpoints := []*fakeEndpoint{{id: "e1", addr: e.start(t)}}
				if path == "read" || path == "resume" {
					// Repeats go to another endpoint.
					endpoints = append(endpoints, &fakeEndpoint{id: "e2", addr: e.start(t)})
				}
				h := startTestHost(t, endpoints...)
				if kept > 0 {
					if diff := cmp.Diff("200 "+soundEvent, h.sendLong(t, "order", 2)); diff != "" {
						t.Fatalf("sound answer (-want +got):\n%s", diff)
					}
				}
				if diff := cmp.Diff(want, h.sendLong(t, path, size)); diff != "" {
					t.Fatalf("round %d, what the caller gets (-want +got):\n%s", round, diff)
				}
			}
		})
	}
}

// Guards against a health check that returns an endpoint to service, and against a report that is used, although the answer was broken off or is not
// valid HTTP, and against a connection that is kept with a part of such an answer.
func TestBrokenChecks(t *testing.T) {
	const started = "1700000000000"
	head := "HTTP/1.1 200 OK\r\nX-Instance-Id: e1\r\n"
	for name, c := range map[string]struct {
		answer, end string
		sound       bool
	}{
		"sound":                  {head + "Content-Length: 13\r\n\r\n" + started, "keep", true},
		"sound without a length": {head + "\r\n" + started, "fin", true},
		"reset":                  {head + "\r\n" + started, "reset", false},
		"cut length":             {head + "Content-Length: 14\r\n\r\n" + started, "fin", false},
		"cut chunks":             {head + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + started + "\r\n", "fin", false},
		"status 000":             {"HTTP/1.1 000 None\r\n\r\n" + head + "Content-Length: 13\r\n\r\n" + started, "keep", false},
		"blank in a name":        {head + "X Odd: 1\r\nContent-Length: 13\r\n\r\n" + started, "keep", false},
		"control in a name":      {head + "X\x01Odd: 1\r\nContent-Length: 13\r\n\r\n" + started, "keep", false},
		"coding of HTTP/1.0":     {"HTTP/1.0 200 OK\r\nX-Instance-Id: e1\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + started + "\r\n0\r\n\r\n", "fin", false},
		"too large":              {head + "Content-Length: 9000000\r\n\r\n" + started + strings.Repeat(" ", 9_000_000-len(started)), "keep", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &rawEndpoint{answer: c.answer, end: c.end}
			endpoint := balancer.Endpoint{ID: "e1", Pool: "p", Addr: e.start(t)}
			h := startTestHost(t, &fakeEndpoint{id: "e1", addr: endpoint.Addr})
			var returned bool
			h.gateway.OnEndpointStatus = func(s gateway.EndpointStatus) { returned = returned || s.Returned }
			h.gateway.CheckHealth(endpoint, "/health")
			e.requests.Store(0)
			h.gateway.SelfReport = gateway.SelfReport{Path: "/report", DecodeStart: func(body []byte) (time.Time, bool) {
				ms, err := strconv.ParseInt(strings.TrimSpace(string(body)), 10, 64)
				return time.UnixMilli(ms), err == nil
			}}
			_, known := h.gateway.ReadStart(t.Context(), endpoint)
			got := []any{returned, known, h.sendLong(t, "order", 2)}
			if diff := cmp.Diff([]any{c.sound, c.sound, "200 " + soundEvent}, got); diff != "" {
				t.Errorf("endpoint returned, start known, next answer (-want +got):\n%s", diff)
			}
		})
	}
}
