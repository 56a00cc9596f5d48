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

// A server sends a second copy of an answer, late, when the connection is in use again. The next caller must get its own answer.
func TestLateSecondCopy(t *testing.T) {
	earlier := ""
	e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		own := answer(r, 200, signed, "for "+r.Header.Get("X-Id"))
		pieces := []string{earlier, own}
		earlier = own
		return pieces, false
	})
	h := startHost(t, e)
	var got, want []string
	for i := range 6 {
		id := fmt.Sprintf("caller-%d", i)
		_, _, body, _ := h.send(t, strings.Replace(post("/order/", "k"), "X-Id: 1\r\n", "X-Id: "+id+"\r\n", 1))
		got, want = append(got, body), append(want, "for "+id)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// An answer without a length ends with its connection. One that is reset on the way must not reach the caller as whole, whether it
// is held until it is whole or passed on in events.
func TestUnframedAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		body   string
		reset  bool
		status int
		whole  bool
	}{
		"order to its end":  {"/order/", "done", false, 200, true},
		"order reset":       {"/order/", "do", true, 502, true},
		"stream to its end": {"/chat/", "id: 1\ndata: a\n\n", false, 200, true},
		"stream reset":      {"/chat/", "id: 1\ndata: a\n\n", true, 200, false},
		"stream cut":        {"/chat/", "id: 1\ndata: a\n\nid: 2\nda", false, 200, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := startTroubled(t, "e1", func(conn net.Conn, r *http.Request) error {
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
			status, _, _, whole := startHost(t, e).send(t, post(c.path, "k"))
			if diff := cmp.Diff([]any{c.status, c.whole}, []any{status, whole}); diff != "" {
				t.Errorf("status, whole (-want +got):\n%s", diff)
			}
		})
	}
}

// A request that no endpoint answers ends at the timeout of its rule, also when its caller would wait for longer, and holds no
// caller beyond it.
func TestTimeoutOfRule(t *testing.T) {
	mute := startTroubled(t, "e1", func(net.Conn, *http.Request) error {
		time.Sleep(5 * time.Second)
		return io.EOF
	})
	h := startHost(t, mute)
	for _, path := range []string{"/order/", "/chat/"} {
		began := time.Now()
		status, _, _, _ := h.send(t, post(path, "k", "X-Deadline-Ms: 60000\r\n"))
		if took := time.Since(began); status != 504 || took < 1900*time.Millisecond || took > 2500*time.Millisecond {
			t.Errorf("%s: status %d after %v, want 504 after 2 s", path, status, took)
		}
	}
}

// An answer is lost after its request has run. The caller is not told that it did not run, and what must not run twice does not.
func TestLostAnswer(t *testing.T) {
	var runs atomic.Int32
	e := startTroubled(t, "e1", func(_ net.Conn, r *http.Request) error {
		_, _ = bufio.NewReader(r.Body).ReadByte()
		runs.Add(1)
		return io.EOF
	})
	h := startHost(t, e)
	order, _, _, _ := h.send(t, post("/order/", "k"))
	afterOrder := int(runs.Load())
	stream, _, _, _ := h.send(t, post("/chat/", "k"))
	if diff := cmp.Diff([]int{502, 1, 502, 2}, []int{order, afterOrder, stream, int(runs.Load())}); diff != "" {
		t.Errorf("status and runs of an order, status and all runs with a stream (-want +got):\n%s", diff)
	}
}
