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
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
)

// The list of endpoints shows with a delay that an endpoint is draining, and the endpoint reports it in each response. Guards
// against sending it further requests, which would be interrupted by its exit or never start.
func TestEndpointReportsDraining(t *testing.T) {
	const drainingHeader = "X-Leaving: 1\r\n"
	for name, c := range map[string]struct {
		path  string
		first func(r *http.Request) string
		// status is the status of the first request, which may be retried elsewhere if its rule allows that.
		status int
	}{
		"success":       {"/order/", func(r *http.Request) string { return response(r, 200, signed+drainingHeader, "done") }, 200},
		"refusal":       {"/order/", func(r *http.Request) string { return response(r, 503, "X-Not-Run: 1\r\n"+drainingHeader, "") }, 503},
		"failure":       {"/order/", func(r *http.Request) string { return response(r, 500, signed+drainingHeader, "failed") }, 500},
		"misdirected":   {"/order/", func(r *http.Request) string { return response(r, 421, drainingHeader, "") }, 503},
		"stream's head": {"/chat/", func(r *http.Request) string { return drainingStream(r, drainingHeader) }, 200},
	} {
		t.Run(name, func(t *testing.T) {
			drainingEndpoint := startFakeEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) { return []string{c.first(r)}, false })
			h := startTestHost(t, drainingEndpoint)
			status, _, _, _ := h.send(t, postRequest(c.path, "k"))
			got := []any{status, len(drainingEndpoint.received())}
			for range 5 {
				status, header, _, _ := h.send(t, postRequest(c.path, "k"))
				got = append(got, status, header.Get("Retry-After") != "")
			}
			got = append(got, len(drainingEndpoint.received()))
			want := []any{c.status, 1, 503, true, 503, true, 503, true, 503, true, 503, true, 1}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("statuses and requests received by the endpoint (-want +got):\n%s", diff)
			}
		})
	}
}

func drainingStream(r *http.Request, header string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + signed + header +
		"Transfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"
}

// An endpoint that refuses a request may send Retry-After. Until then it gets no requests of this host, which would cost it work
// and be refused again; other endpoints take them.
func TestEndpointSendsRetryAfter(t *testing.T) {
	refusing := startFakeEndpoint(t, "e1", func(n int, r *http.Request) ([]string, bool) {
		if n == 0 {
			return []string{response(r, 503, "X-Not-Run: 1\r\nRetry-After: 0.6\r\n", "")}, false
		}
		return []string{response(r, 200, signed, "done")}, false
	})
	h := startTestHost(t, refusing)
	first, _, _, _ := h.send(t, postRequest("/read/", "k"))
	began := time.Now()
	var early []int
	for time.Since(began) < 400*time.Millisecond {
		status, _, _, _ := h.send(t, postRequest("/read/", "k", "X-Deadline-Ms: 50\r\n"))
		early = append(early, status)
	}
	received := len(refusing.received())
	time.Sleep(700*time.Millisecond - time.Since(began))
	late, _, _, _ := h.send(t, postRequest("/read/", "k"))
	for _, status := range early {
		if status != 503 {
			t.Errorf("status %d before the end of Retry-After, want 503", status)
		}
	}
	if diff := cmp.Diff([]int{503, 1, 200}, []int{first, received, late}); diff != "" {
		t.Errorf("first status, requests received before the end of Retry-After, status afterwards (-want +got):\n%s", diff)
	}
}

// startRawEndpoint starts an endpoint that calls write for the first request of each connection, repeatedly until it returns an
// error.
func startRawEndpoint(t *testing.T, id string, write func(c net.Conn, r *http.Request) error) *fakeEndpoint {
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
	return &fakeEndpoint{id: id, addr: l.Addr().String()}
}

// A faulty server may send bytes without end, at full speed or one at a time. Neither may exhaust the memory of this host or keep
// a caller waiting for as long as bytes arrive.
func TestUnboundedResponse(t *testing.T) {
	const block = 32 << 10
	headThenRepeat := func(head func(r *http.Request) string, more string, pause time.Duration) func(net.Conn, *http.Request) error {
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
		// status is the status of the failure, or 200 for a stream that must end incomplete.
		status int
		within time.Duration
	}{
		"head": {"/order/", headThenRepeat(func(*http.Request) string { return "HTTP/1.1 200 OK\r\nX-A: " },
			strings.Repeat("a", block), 0), 502, time.Second},
		"header lines": {"/order/", headThenRepeat(func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" },
			strings.Repeat("X-A: a\r\n", block/8), 0), 502, time.Second},
		"interim answers": {"/order/", headThenRepeat(func(*http.Request) string { return "" },
			"HTTP/1.1 100 Continue\r\n\r\n", 0), 502, time.Second},
		"no protocol at all": {"/order/", headThenRepeat(func(*http.Request) string { return "" }, strings.Repeat("z", block), 0), 502, time.Second},
		"body": {"/order/", headThenRepeat(func(r *http.Request) string { return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "\r\n" },
			strings.Repeat("a", block), 0), 502, time.Second},
		"refusal's body": {"/order/", headThenRepeat(func(r *http.Request) string { return "HTTP/1.1 503 X\r\n" + id(r) + "X-Not-Run: 1\r\n\r\n" },
			"a", 20*time.Millisecond), 503, time.Second},
		"event": {"/chat/", headThenRepeat(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "\r\nid: 1\ndata: a\n\ndata: "
		},
			strings.Repeat("a", block), 0), 200, time.Second},
		"byte now and then in a stream": {"/resume/", headThenRepeat(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "\r\nid: 1\ndata: a\n\nid: 2\ndata: "
		}, "b", 50*time.Millisecond), 200, 1900 * time.Millisecond},
		"comment now and then in a stream": {"/resume/", headThenRepeat(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "\r\nid: 1\ndata: a\n\n"
		}, ": still here\n\n", 50*time.Millisecond), 200, 1900 * time.Millisecond},
		"byte now and then in a body": {"/read/", headThenRepeat(func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + id(r) + signed + "Content-Length: 100000\r\n\r\n"
		}, "a", 50*time.Millisecond), 502, 1900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := startTestHost(t, startRawEndpoint(t, "e1", c.write))
			var status int
			var complete bool
			took := sleptDuring(func() { status, _, _, complete = h.send(t, postRequest(c.path, "k")) })
			if status != c.status || status == 200 && complete {
				t.Errorf("status %d (complete: %t), want %d and no complete success", status, complete, c.status)
			}
			if took > c.within {
				t.Errorf("the caller waited %v, want at most %v", took, c.within)
			}
		})
	}
}

// sleptDuring returns the time that a goroutine of this process can sleep in short steps while do runs. Unlike the wall-clock time,
// it does not include the time for which the whole process waits for a processor.
func sleptDuring(do func()) time.Duration {
	const step = 10 * time.Millisecond
	stop, slept := make(chan struct{}), make(chan time.Duration)
	go func() {
		for total := time.Duration(0); ; total += step {
			select {
			case <-stop:
				slept <- total
				return
			default:
				time.Sleep(step)
			}
		}
	}()
	do()
	close(stop)
	return <-slept
}

// A slow stream is not interrupted as long as its events arrive within the idle timeout.
func TestSlowStreamIsNotInterrupted(t *testing.T) {
	const events = 8
	slow := startRawEndpoint(t, "e1", func(c net.Conn, r *http.Request) error {
		if _, err := io.WriteString(c, streamHead(r)); err != nil {
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
	h := startTestHost(t, slow)
	status, _, body, complete := h.send(t, postRequest("/resume/", "k"))
	if diff := cmp.Diff([]any{200, events, true}, []any{status, strings.Count(body, "data: a"), complete}); diff != "" {
		t.Errorf("slow stream (-want +got):\n%s", diff)
	}
}

// An endpoint drops idle connections without closing them and resets the connection at the next request. The endpoint is healthy
// and must stay usable in a pool of its own. A request that may have run is still not retried unless its rule allows that.
func TestIdleConnectionReset(t *testing.T) {
	var responses, reset atomic.Int32
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
				responses.Add(1)
				_, _ = io.WriteString(c, response(r, 200, signed, "done"))
				// The next request is read in part and the connection is reset.
				if _, err := reader.ReadByte(); err == nil {
					reset.Add(1)
				}
			}()
		}
	}()
	h := startTestHost(t, &fakeEndpoint{id: "e1", addr: l.Addr().String()})
	const requests = 8
	var got []int
	lost := int32(0)
	for i := range requests {
		before := reset.Load()
		status, _, _, _ := h.send(t, postRequest("/order/", "k"))
		got = append(got, status)
		// A request fails if and only if its connection was reset.
		want := http.StatusOK
		if reset.Load() > before {
			want, lost = http.StatusBadGateway, lost+1
		}
		if status != want {
			t.Errorf("status %d of %v, want %d", i, got, want)
		}
	}
	// The second request immediately reuses the connection of the first. Later ones may use the connection that was opened to
	// check for a crash.
	if diff := cmp.Diff([]int{200, 502, 200}, got[:3]); diff != "" {
		t.Errorf("first statuses of orders (-want +got):\n%s", diff)
	}
	if n := responses.Load(); n+lost != requests || n < requests/2 {
		t.Errorf("the endpoint responded to %d requests and reset %d, want %d in total and at least half of them with a response", n, lost, requests)
	}
	cost := func(h *testHost) (cost float64) {
		h.gateway.Admitter.View(func(b *balancer.Balancer) {
			c, _ := b.Pick(time.Now(), "p", balancer.Work{}, nil)
			cost = c.Cost
		})
		return cost
	}
	if got, fresh := cost(h), cost(startTestHost(t, &fakeEndpoint{id: "e1", addr: "unused"})); got != fresh {
		t.Errorf("the healthy endpoint has a cost of %v ms, an unused one %v ms; want equal costs", got, fresh)
	}
}

// Guards against a limit that is taken for lifted because of a response that does not tell: a refusal, a failure, or one that the
// endpoint did not generate. Any response may state a limit, but for one from another endpoint at the address.
func TestLimitEndsWithSuccessfulResponse(t *testing.T) {
	const limit = "X-Limit: 2.5\r\n"
	script := []struct {
		status int
		header string
		want   float64
	}{
		{200, signed, 0},
		{503, limit + "X-Not-Run: 1\r\n", 2.5},
		{500, signed, 2.5},
		{503, "X-Not-Run: 1\r\n", 2.5},
		{200, "", 2.5},
		{200, signed + "X-Limit: 0\r\n", 0.1},
		{200, signed + "X-Limit: many\r\n", 0.1},
		{200, signed + limit, 2.5},
		{200, signed, 0},
		{421, limit, 0},
	}
	e := startFakeEndpoint(t, "e1", func(n int, r *http.Request) ([]string, bool) {
		return []string{response(r, script[n].status, script[n].header, "x")}, false
	})
	h := startTestHost(t, e)
	var got, want []float64
	for i, step := range script {
		// A limit must not delay the next request of this test.
		h.gateway.Admitter.Update(func(b *balancer.Balancer) { b.SetLimit(time.Now(), "e1", 0) })
		h.send(t, postRequest(fmt.Sprintf("/order/%d", i), "k"))
		got, want = append(got, h.gateway.EndpointLimits()["e1"]), append(want, step.want)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("limits after each response (-want +got):\n%s", diff)
	}
}

// Guards against an endpoint that says that it is brittle, in whatever answer, and that the coordinators hear of only once or never: a
// coordinator that starts later would fill its queue.
func TestBrittleEndpointIsReportedAgain(t *testing.T) {
	headers := []string{signed, signed + "X-Brittle: 5\r\n", "X-Not-Run: 1\r\nX-Brittle: 5\r\n", signed + "X-Brittle: soon\r\n", signed + "X-Brittle: 0\r\n"}
	e := startFakeEndpoint(t, "e1", func(n int, r *http.Request) ([]string, bool) {
		status := 200
		if !strings.HasPrefix(headers[n], signed) {
			status = 503
		}
		return []string{response(r, status, headers[n], "x")}, false
	})
	h := startTestHost(t, e)
	var reports atomic.Int64
	h.gateway.OnEndpointStatus = func(s gateway.EndpointStatus) {
		if s.Brittle && s.Endpoint == "e1" {
			reports.Add(1)
		}
	}
	var got []int64
	for i := range headers {
		if i == len(headers)-1 {
			time.Sleep(1100 * time.Millisecond) // until the next report is due
		}
		h.send(t, postRequest("/order/", "k"))
		got = append(got, reports.Load())
	}
	if diff := cmp.Diff([]int64{0, 1, 1, 1, 2}, got); diff != "" {
		t.Errorf("reports after each response (-want +got):\n%s", diff)
	}
}
