package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// The list lags behind an endpoint that leaves, and the endpoint itself says so in every answer. Work that is sent to it
// afterwards is cut off with it, or never begins.
func TestEndpointSaysThatItLeaves(t *testing.T) {
	const leaving = "X-Leaving: 1\r\n"
	for name, c := range map[string]struct {
		path  string
		first func(r *http.Request) string
		// status is the answer to the first request, which may go elsewhere where its rule allows that.
		status int
	}{
		"success":       {"/order/", func(r *http.Request) string { return answer(r, 200, signed+leaving, "done") }, 200},
		"refusal":       {"/order/", func(r *http.Request) string { return answer(r, 503, "X-Not-Run: 1\r\n"+leaving, "") }, 503},
		"failure":       {"/order/", func(r *http.Request) string { return answer(r, 500, signed+leaving, "failed") }, 500},
		"misdirected":   {"/order/", func(r *http.Request) string { return answer(r, 421, leaving, "") }, 503},
		"stream's head": {"/chat/", func(r *http.Request) string { return leavingStream(r, leaving) }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			leaver := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) { return []string{c.first(r)}, false })
			h := startHost(t, leaver)
			status, _, _, _ := h.send(t, post(c.path, "k"))
			got := []any{status, len(leaver.seen())}
			for range 5 {
				status, header, _, _ := h.send(t, post(c.path, "k"))
				got = append(got, status, header.Get("Retry-After") != "")
			}
			got = append(got, len(leaver.seen()))
			want := []any{c.status, 1, 503, true, 503, true, 503, true, 503, true, 503, true, 1}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("answers and requests seen by the endpoint (-want +got):\n%s", diff)
			}
		})
	}
}

func leavingStream(r *http.Request, header string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + signed + header +
		"Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
}

// An endpoint that turns a request away may say for how long it wants nothing from this host. Requests sent meanwhile cost it
// work and are turned away again; other endpoints take them.
func TestEndpointWantsNothingForATime(t *testing.T) {
	turning := startEndpoint(t, "e1", func(n int, r *http.Request) ([]string, bool) {
		if n == 0 {
			return []string{answer(r, 503, "X-Not-Run: 1\r\nRetry-After: 0.6\r\n", "")}, false
		}
		return []string{answer(r, 200, signed, "done")}, false
	})
	h := startHost(t, turning)
	first, _, _, _ := h.send(t, post("/read/", "k"))
	began := time.Now()
	var early []int
	for time.Since(began) < 400*time.Millisecond {
		status, _, _, _ := h.send(t, post("/read/", "k", "X-Deadline-Ms: 50\r\n"))
		early = append(early, status)
	}
	seen := len(turning.seen())
	time.Sleep(700*time.Millisecond - time.Since(began))
	late, _, _, _ := h.send(t, post("/read/", "k"))
	for _, status := range early {
		if status != 503 {
			t.Errorf("status %d while the endpoint wants nothing, want 503", status)
		}
	}
	if diff := cmp.Diff([]int{503, 1, 200}, []int{first, seen, late}); diff != "" {
		t.Errorf("first answer, requests seen in time, late answer (-want +got):\n%s", diff)
	}
}

// startTroubled serves each connection with bytes that are no answer, until the caller closes.
func startTroubled(t *testing.T, id string, write func(c net.Conn, r *http.Request) error) *endpoint {
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
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				for err == nil {
					err = write(c, r)
				}
			}()
		}
	}()
	return &endpoint{id: id, addr: l.Addr().String()}
}

// A server in trouble sends bytes without end, or one now and then. Neither may fill the memory of this host nor keep a caller
// for as long as the bytes come.
func TestBytesWithoutEnd(t *testing.T) {
	const block = 32 << 10
	once := func(head func(r *http.Request) string, more string, pause time.Duration) func(net.Conn, *http.Request) error {
		var begun sync.Map // of connections, each served by one goroutine
		return func(c net.Conn, r *http.Request) error {
			if _, known := begun.LoadOrStore(c, true); !known {
				if _, err := io.WriteString(c, head(r)); err != nil {
					return err
				}
			}
			time.Sleep(pause)
			_, err := io.WriteString(c, more)
			return err
		}
	}
	id := func(r *http.Request) string { return "X-Id: " + r.Header.Get("X-Id") + "\r\n" }
	for name, c := range map[string]struct {
		path  string
		write func(net.Conn, *http.Request) error
		// status is 502 for a failure, or 200 for a stream that must end cut off.
		status int
		within time.Duration
	}{
		"head": {"/order/", once(func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-A: " },
			strings.Repeat("a", block), 0), 502, time.Second},
		"header lines": {"/order/", once(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" },
			strings.Repeat("X-A: a\r\n", block/8), 0), 502, time.Second},
		"interim answers": {"/order/", once(func(*http.Request) string { return "" },
			"HTTP/1.1 100 Continue\r\n\r\n", 0), 502, time.Second},
		"no protocol at all": {"/order/", once(func(*http.Request) string { return "" }, strings.Repeat("z", block), 0), 502, time.Second},
		"body": {"/order/", once(func(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "\r\n" },
			strings.Repeat("a", block), 0), 502, time.Second},
		"refusal's body": {"/order/", once(func(r *http.Request) string { return "HTTP/1.1 503 X\r\n" + id(r) + "X-Not-Run: 1\r\n\r\n" },
			"a", 20*time.Millisecond), 503, time.Second},
		"event": {"/chat/", once(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "\r\nid: 1\ndata: a\n\ndata: "
		},
			strings.Repeat("a", block), 0), 200, time.Second},
		"byte now and then in a stream": {"/resume/", once(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "\r\nid: 1\ndata: a\n\nid: 2\ndata: "
		}, "b", 50*time.Millisecond), 200, 1900 * time.Millisecond},
		"comment now and then in a stream": {"/resume/", once(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "\r\nid: 1\ndata: a\n\n"
		}, ": still here\n\n", 50*time.Millisecond), 200, 1900 * time.Millisecond},
		"byte now and then in a body": {"/read/", once(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "Content-Length: 100000\r\n\r\n"
		}, "a", 50*time.Millisecond), 502, 1900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, startTroubled(t, "e1", c.write))
			began := time.Now()
			status, _, _, whole := h.send(t, post(c.path, "k"))
			took := time.Since(began)
			if status != c.status || status == 200 && whole {
				t.Errorf("status %d (whole: %t), want %d and no whole success", status, whole, c.status)
			}
			if took > c.within {
				t.Errorf("the caller waited for %v, want at most %v", took, c.within)
			}
		})
	}
}

// A slow but sound stream goes on for as long as its events come within the allowed silence, and a stalled one ends.
func TestSlowStreamIsNotCut(t *testing.T) {
	const events = 8
	slow := startTroubled(t, "e1", func(c net.Conn, r *http.Request) error {
		if _, err := io.WriteString(c, stream(r)); err != nil {
			return err
		}
		for i := range events {
			time.Sleep(220 * time.Millisecond)
			if _, err := io.WriteString(c, chunk(fmt.Sprintf("id: %d\ndata: a\n\n", i+1))); err != nil {
				return err
			}
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return err
		}
		return io.EOF
	})
	h := startHost(t, slow)
	status, _, body, whole := h.send(t, post("/resume/", "k"))
	if diff := cmp.Diff([]any{200, events, true}, []any{status, strings.Count(body, "data: a"), whole}); diff != "" {
		t.Errorf("slow stream (-want +got):\n%s", diff)
	}
}

// An endpoint forgets connections that rest, without notice. What is sent next on one is reset; the endpoint is sound, and a pool
// of one endpoint must go on. What may have run is still not sent again unless its rule allows that.
func TestForgottenConnection(t *testing.T) {
	var answered, reset atomic.Int32
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
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				answered.Add(1)
				_, _ = io.WriteString(c, answer(r, 200, signed, "done"))
				// The next request is read in part, and the connection reset.
				if _, err := reader.ReadByte(); err == nil {
					reset.Add(1)
				}
			}()
		}
	}()
	h := startHost(t, &endpoint{id: "e1", addr: l.Addr().String()})
	const requests = 8
	var got []int
	lost := int32(0)
	for i := range requests {
		before := reset.Load()
		status, _, _, _ := h.send(t, post("/order/", "k"))
		got = append(got, status)
		// A request is lost if and only if its connection was reset.
		want := http.StatusOK
		if reset.Load() > before {
			want, lost = http.StatusBadGateway, lost+1
		}
		if status != want {
			t.Errorf("answer %d of %v, want %d", i, got, want)
		}
	}
	// The second request follows on the connection of the first at once. Later ones may meet the connection that was opened to see
	// whether the endpoint has crashed.
	if diff := cmp.Diff([]int{200, 502, 200}, got[:3]); diff != "" {
		t.Errorf("first answers of orders (-want +got):\n%s", diff)
	}
	if n := answered.Load(); n+lost != requests || n < requests/2 {
		t.Errorf("the endpoint answered %d requests and reset %d, want %d in all and at least half answered", n, lost, requests)
	}
	cost := func(h *host) (cost float64) {
		h.gateway.Admitter.View(func(b *balancer.Balancer) {
			c, _ := b.Pick(time.Now(), "p", balancer.Work{}, nil)
			cost = c.Cost
		})
		return cost
	}
	if got, fresh := cost(h), cost(startHost(t, &endpoint{id: "e1", addr: "unused"})); got != fresh {
		t.Errorf("the sound endpoint has a cost of %v ms, one without any answers %v ms", got, fresh)
	}
}
