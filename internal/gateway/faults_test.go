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
