package proxier_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier/proxierpb"
)

// sendThrough sends a request from a host without paths through a host that is served by serve.
func sendThrough(t *testing.T, addr, body string, serve func(endpoints []balancer.Endpoint) func(proxier.Stream)) result {
	t.Helper()
	endpoints := []balancer.Endpoint{{ID: "e1", Addr: addr, Pool: "p"}, {ID: "e2", Addr: addr, Pool: "p"}}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return send(ctx, testHost(t, endpoints, cutOff, memoryNetwork{"h": serve(endpoints)}), endpoints[0], body)
}

// Guards against the head of an answer that is not valid and that a host passes on, because an earlier build does not check it.
func TestInvalidHeadOfHost(t *testing.T) {
	sound, refused := result{Status: 200, Body: "ran", Sent: true}, result{Error: "head", Sent: true}
	for name, test := range map[string]struct {
		status      uint32
		field, text string
		want        result
	}{
		"sound":              {200, "X-Odd", "1", sound},
		"status 000":         {0, "X-Odd", "1", refused},
		"status 099":         {99, "X-Odd", "1", refused},
		"interim":            {100, "X-Odd", "1", refused},
		"status 101":         {101, "X-Odd", "1", refused},
		"status 600":         {600, "X-Odd", "1", refused},
		"blank in a name":    {200, "X Odd", "1", refused},
		"blank before colon": {200, "Transfer-Encoding ", "chunked", refused},
		"control in a name":  {200, "X\x01Odd", "1", refused},
		"control in a value": {200, "X-Odd", "a\x00b", refused},
	} {
		t.Run(name, func(t *testing.T) {
			got := sendThrough(t, "127.0.0.1:1", "hello", func([]balancer.Endpoint) func(proxier.Stream) {
				return func(s proxier.Stream) {
					receive(t, s, &proxierpb.Open{})
					_ = s.Send(&proxierpb.Opened{Accepted: true})
					receive(t, s, &proxierpb.Request{})
					header := []*proxierpb.Header{{Name: test.field, Values: []string{test.text}}}
					_ = s.Send(&proxierpb.Reply{Head: &proxierpb.Head{Status: test.status, Header: header, Length: 3, Framed: true}})
					_ = s.Send(&proxierpb.Reply{Data: []byte("ran"), Complete: true})
				}
			})
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a broken answer of an endpoint that a host passes on as a complete one.
func TestBrokenAnswerThroughHost(t *testing.T) {
	const upload = 4 << 20
	head := "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
	for name, test := range map[string]struct {
		answer string
		reset  bool
		want   result
	}{
		"reset without a length":   {head + "\r\npart", true, result{Status: 200, Body: "part", Error: "body", Sent: true}},
		"end without a length":     {head + "\r\nsound", false, result{Status: 200, Body: "sound", Sent: true}},
		"reset after a length":     {head + "Content-Length: 5\r\n\r\nsound", true, result{Status: 200, Body: "sound", Sent: true}},
		"status 000":               {"HTTP/1.1 000 None\r\nX-Id: 7\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwrong", false, result{Error: "head", Sent: true}},
		"blank in a name":          {head + "X Odd: 1\r\nContent-Length: 5\r\n\r\nwrong", false, result{Error: "head", Sent: true}},
		"control byte in a name":   {head + "X\x01Odd: 1\r\nContent-Length: 5\r\n\r\nwrong", false, result{Error: "head", Sent: true}},
		"HTTP/1.0 names a coding":  {"HTTP/1.0 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n", false, result{Error: "head", Sent: true}},
		"blank in a trailer":       {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nX Odd: 1\r\n\r\n", false, result{Status: 200, Body: "wrong", Error: "body", Sent: true}},
		"end within a length":      {head + "Content-Length: 8\r\n\r\npart", false, result{Status: 200, Body: "part", Error: "body", Sent: true}},
		"reset within the chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", true, result{Status: 200, Body: "part", Error: "body", Sent: true}},
		"reset before the trailer": {head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n", true, result{Status: 200, Body: "part", Error: "body", Sent: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startEarlyEndpoint(t, test.answer, test.reset)
			var served atomic.Int64
			got := sendThrough(t, addr, strings.Repeat("u", upload), func(endpoints []balancer.Endpoint) func(proxier.Stream) {
				return serveFor(t, testHost(t, endpoints, nil, nil), endpoints, "", &served)
			})
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

// startEarlyEndpoint answers a request before it has read the body, and resets the connection or ends the stream a moment later.
func startEarlyEndpoint(t *testing.T, answer string, reset bool) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		accepted, err := l.Accept()
		if err != nil {
			return
		}
		c := accepted.(*net.TCPConn)
		t.Cleanup(func() { _ = c.Close() })
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(c, answer)
		time.Sleep(10 * time.Millisecond)
		if reset {
			_ = c.SetLinger(0)
			_ = c.Close()
			return
		}
		_ = c.CloseWrite()
	}()
	return l.Addr().String()
}
