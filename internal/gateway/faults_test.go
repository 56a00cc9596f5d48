package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A server sends a response twice, and the duplicate arrives when the connection is reused. The next caller must get its own
// response.
func TestDuplicateResponse(t *testing.T) {
	earlier := ""
	e := startFakeEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		own := response(r, 200, signed, "for "+r.Header.Get("X-Id"))
		pieces := []string{earlier, own}
		earlier = own
		return pieces, false
	})
	h := startTestHost(t, e)
	var got, want []string
	for i := range 6 {
		id := fmt.Sprintf("caller-%d", i)
		_, _, body, _ := h.send(t, strings.Replace(postRequest("/order/", "k"), "X-Id: 1\r\n", "X-Id: "+id+"\r\n", 1))
		got, want = append(got, body), append(want, "for "+id)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("responses (-want +got):\n%s", diff)
	}
}

// A response without a length ends with its connection. If the connection is reset, the response must not look complete to the
// caller, whether it is buffered or forwarded as events.
func TestResponseWithoutLength(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		body     string
		reset    bool
		status   int
		complete bool
	}{
		"order to its end":  {"/order/", "done", false, 200, true},
		"order reset":       {"/order/", "do", true, 502, true},
		"stream to its end": {"/chat/", "id: 1\ndata: a\n\n", false, 200, true},
		"stream reset":      {"/chat/", "id: 1\ndata: a\n\n", true, 200, false},
		"stream cut":        {"/chat/", "id: 1\ndata: a\n\nid: 2\nda", false, 200, false},
		"stream not begun":  {"/chat/", "", false, 502, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := startRawEndpoint(t, "e1", func(conn net.Conn, r *http.Request) error {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\n"+signed+"\r\n"+c.body)
				if err != nil {
					return err
				}
				time.Sleep(50 * time.Millisecond)
				if tcp, ok := conn.(*net.TCPConn); ok && c.reset {
					_ = tcp.SetLinger(0)
				}
				return io.EOF
			})
			status, _, _, complete := startTestHost(t, e).send(t, postRequest(c.path, "k"))
			if diff := cmp.Diff([]any{c.status, c.complete}, []any{status, complete}); diff != "" {
				t.Errorf("status, complete (-want +got):\n%s", diff)
			}
		})
	}
}

// A request without a response ends at the timeout of its rule, even if its caller would wait longer.
func TestRuleTimeout(t *testing.T) {
	unresponsive := startRawEndpoint(t, "e1", func(net.Conn, *http.Request) error {
		time.Sleep(5 * time.Second)
		return io.EOF
	})
	h := startTestHost(t, unresponsive)
	for _, path := range []string{"/order/", "/chat/"} {
		began := time.Now()
		status, _, _, _ := h.send(t, postRequest(path, "k", "X-Deadline-Ms: 60000\r\n"))
		if took := time.Since(began); status != 504 || took < 1900*time.Millisecond || took > 2500*time.Millisecond {
			t.Errorf("%s: status %d after %v, want 504 after 2 s", path, status, took)
		}
	}
}

// The response is lost after the request has run. The status must not mean that it did not run, and a request that must not run
// twice is not retried.
func TestLostResponse(t *testing.T) {
	var runs atomic.Int32
	e := startRawEndpoint(t, "e1", func(_ net.Conn, r *http.Request) error {
		_, _ = bufio.NewReader(r.Body).ReadByte()
		runs.Add(1)
		return io.EOF
	})
	h := startTestHost(t, e)
	order, _, _, _ := h.send(t, postRequest("/order/", "k"))
	afterOrder := int(runs.Load())
	stream, _, _, _ := h.send(t, postRequest("/chat/", "k"))
	if diff := cmp.Diff([]int{502, 1, 502, 2}, []int{order, afterOrder, stream, int(runs.Load())}); diff != "" {
		t.Errorf("status and runs of the order, status of the stream and runs in total (-want +got):\n%s", diff)
	}
}

// Guards against an earlier refusal that an endpoint writes once more on a kept connection, and that is taken for the refusal of the next
// request: its caller would be told that it has not run, or it would run at another endpoint too. The endpoint writes the refusal
// before the response to the second request on the connection.
func TestRepeatedRefusal(t *testing.T) {
	refusal := func(status int, lines, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, lines, len(body), body)
	}
	for _, c := range []struct {
		name, path, repeated string
		// status is the status for the caller of the second request.
		status int
	}{
		{"order, with the earlier ID", "/order/", refusal(503, "X-Id: 1\r\nX-Not-Run: 1\r\n", "full"), 200},
		{"order, with the earlier ID, misdirected", "/order/", refusal(421, "X-Id: 1\r\n", ""), 200},
		{"order, without an ID", "/order/", refusal(503, "X-Not-Run: 1\r\n", "full"), 502},
		{"order, without an ID, misdirected", "/order/", refusal(421, "", ""), 502},
		{"order, without an ID, too many requests", "/order/", refusal(429, "X-Not-Run: 1\r\nRetry-After: 1\r\n", ""), 502},
		{"order, without an ID, signed", "/order/", refusal(503, signed+"X-Not-Run: 1\r\n", "full"), 502},
		{"order, without an ID, a success", "/order/", refusal(200, signed, "earlier"), 502},
		{"stream, without an ID", "/chat/", refusal(503, "X-Not-Run: 1\r\n", "full"), 502},
		{"read, with the earlier ID", "/read/", refusal(503, "X-Id: 1\r\nX-Not-Run: 1\r\n", "full"), 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := startFakeEndpoint(t, "e1", func(n int, r *http.Request) ([]string, bool) {
				if n == 0 {
					return []string{response(r, 503, "X-Not-Run: 1\r\n", "full")}, false
				}
				return []string{c.repeated + response(r, 200, signed, "id: 1\ndata: own\n\n")}, false
			})
			h := startTestHost(t, e)
			var got []any
			for _, id := range []string{"1", "2"} {
				status, _, body, _ := h.send(t, strings.Replace(postRequest(c.path, "k"), "X-Id: 1\r\n", "X-Id: "+id+"\r\n", 1))
				got = append(got, status, strings.Contains(body, "own"))
			}
			got = append(got, len(e.received()))
			if diff := cmp.Diff([]any{503, false, c.status, c.status == 200, 2}, got); diff != "" {
				t.Errorf("status and own body of both requests, requests at the endpoint (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a request that an endpoint runs on a kept connection and a second one runs too, because of a refusal of an earlier
// request that came in between.
func TestRepeatedRefusalIsNoReasonForASecondRun(t *testing.T) {
	for _, path := range []string{"/order/", "/chat/"} {
		var runs atomic.Int64
		respond := func(n int, r *http.Request) ([]string, bool) {
			if n == 0 {
				return []string{response(r, 503, "X-Not-Run: 1\r\n", "full")}, false
			}
			runs.Add(1)
			return []string{"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" + response(r, 200, signed, "own")}, false
		}
		h := startTestHost(t, startFakeEndpoint(t, "e1", respond), startFakeEndpoint(t, "e2", respond))
		for i := range 4 {
			runs.Store(0)
			status, _, _, _ := h.send(t, strings.Replace(postRequest(path, "k"), "X-Id: 1\r\n", fmt.Sprintf("X-Id: %d\r\n", i), 1))
			if n := runs.Load(); n > 1 || n == 1 && status == http.StatusServiceUnavailable {
				t.Errorf("%s %d: status %d after %d runs", path, i, status, n)
			}
		}
	}
}

// Guards against a response whose head is cut off at any byte, by a close or a reset, and that the caller gets as a success: empty or
// short, but framed as whole.
func TestCutHead(t *testing.T) {
	for name, c := range map[string]struct{ path, response string }{
		"order with a length":     {"/order/", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + signed + "Content-Length: 12\r\n\r\nhello, there"},
		"order with chunks":       {"/order/", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\nc\r\nhello, there\r\n0\r\n\r\n"},
		"order without a length":  {"/order/", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + signed + "\r\nhello, there"},
		"order after an interim":  {"/order/", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n" + signed + "Content-Length: 12\r\n\r\nhello, there"},
		"stream with chunks":      {"/chat/", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"},
		"stream without a length": {"/chat/", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + signed + "\r\nid: 1\ndata: a\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			head := strings.LastIndex(c.response, signed)
			head += strings.Index(c.response[head:], "\r\n\r\n") + len("\r\n\r\n")
			for n := range head {
				reached := make(chan struct{}, 8)
				e := startRawEndpoint(t, "e1", func(conn net.Conn, r *http.Request) error {
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return err
					}
					reached <- struct{}{}
					if _, err := io.WriteString(conn, c.response[:n]); err != nil {
						return err
					}
					if tcp, ok := conn.(*net.TCPConn); ok && n%4 == 3 {
						time.Sleep(5 * time.Millisecond)
						_ = tcp.SetLinger(0)
					}
					return io.EOF
				})
				// A host of its own, since one that has seen such responses refuses the request.
				status, _, body, complete := startTestHost(t, e).send(t, postRequest(c.path, "k"))
				if status/100 == 2 && complete || len(reached) == 0 {
					t.Errorf("head cut after %d of %d bytes (%q): status %d with body %q, framed as whole", n, head, c.response[:n], status, body)
				}
			}
		})
	}
}
