package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

var testHeaders = gateway.Headers{
	RequestID: "X-Id", Deadline: "X-Deadline-Ms", Tokens: "X-Tokens", Expected: "X-Expected", Parts: "X-Parts", Workspace: "X-Workspace",
	Instance: "X-Instance", NotRun: "X-Not-Run", Signature: "X-Signature", LastEvent: "Last-Event-Id", KeyScheme: "Token", Leaving: "X-Leaving", InstanceID: "X-Instance-Id",
	Internal: []string{"X-Hold"},
}

// endpoint is a stand-in that answers each connection's requests with scripted bytes.
type endpoint struct {
	id, addr string

	mu       sync.Mutex
	requests []string
	// answer returns the pieces to write for a request; after the last one the connection is closed if done is true.
	answer func(n int, r *http.Request) (pieces []string, done bool)
}

func startEndpoint(t *testing.T, id string, answer func(n int, r *http.Request) ([]string, bool)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{id: id, addr: l.Addr().String(), answer: answer}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { e.serve(c) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return e
}

func (e *endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		n := len(e.requests)
		e.requests = append(e.requests, fmt.Sprintf("%s %s id=%s workspace=%q hold=%q auth=%q last=%q body=%q", r.Method, r.RequestURI,
			r.Header.Get("X-Id"), r.Header.Get("X-Workspace"), r.Header.Get("X-Hold"), r.Header.Get("Authorization"),
			r.Header.Get("Last-Event-Id"), body))
		e.mu.Unlock()
		pieces, done := e.answer(n, r)
		for _, p := range pieces {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
			// Each piece reaches the reader by itself.
			time.Sleep(5 * time.Millisecond)
		}
		if done {
			return
		}
	}
}

func (e *endpoint) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.requests...)
}

// answer is a whole answer with a length.
func answer(r *http.Request, status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Id"), header, len(body), body)
}

const signed = "X-Signature: s\r\n"

// stream is the head of a stream whose pieces are chunks.
func stream(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n"
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

type host struct {
	addr    string
	gateway *gateway.Gateway
	fresh   bool
	// index is nil until the first table.
	index atomic.Pointer[router.Index]
}

// startHost runs a gateway with the rules /order/, /read/, /chat/ and /resume/ before the endpoints.
func startHost(t *testing.T, endpoints ...*endpoint) *host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rule := func(path string, kind router.Kind, attempts int, resumable bool) router.Rule {
		return router.Rule{
			Name: path, Host: "h", PathPrefix: "/" + path + "/", Kind: kind, Timeout: 2 * time.Second, Target: 300 * time.Millisecond,
			Attempts: attempts, Resumable: resumable, EventGap: 200 * time.Millisecond, Targets: []router.Target{{Pool: "p", Weight: 1}},
		}
	}
	table := &router.Table{
		Revision: 1,
		Rules: []router.Rule{
			rule("order", router.NonIdempotent, 1, false), rule("read", router.Idempotent, 2, false),
			rule("chat", router.Streaming, 1, false), rule("resume", router.Streaming, 2, true),
		},
		Pools: []router.Pool{{Name: "p"}},
		Workspaces: []router.Workspace{
			{Name: "w", Keys: []string{"k"}, PlainCost: 1},
			{Name: "small", Keys: []string{"small-key"}, Rate: 0.001, Burst: 0.001, PlainCost: 1},
		},
	}
	if err := table.Validate(); err != nil {
		t.Fatal(err)
	}
	index := router.NewIndex(table)
	b := balancer.New("z")
	var list []balancer.Endpoint
	for _, e := range endpoints {
		list = append(list, balancer.Endpoint{ID: e.id, Addr: e.addr, Zone: "z", Pool: "p", Slots: 4})
	}
	b.SetEndpoints(list)
	h := &host{addr: l.Addr().String(), fresh: true}
	h.index.Store(index)
	h.gateway = &gateway.Gateway{
		Listener: l, Headers: testHeaders, Table: func() (*router.Index, bool) { return h.index.Load(), h.fresh }, Admitter: admitter.New(b),
		Client: &exchanger.Client{DialTimeout: time.Second}, RepeatLimit: allotter.RepeatLimit{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	}
	h.gateway.Init()
	h.gateway.SetTable(index)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := h.gateway.Run(context.Background()); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = h.gateway.Close(ctx) // a second time in some tests
		wg.Wait()
	})
	return h
}

// send writes a raw request and returns the head and body of the answer, with how it ended.
func (h *host) send(t *testing.T, raw string) (status int, header http.Header, body string, whole bool) {
	t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, "", false
	}
	got, err := io.ReadAll(r.Body)
	return r.StatusCode, r.Header, string(got), err == nil
}

func post(path, key string, more ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nAuthorization: Token " + key + "\r\n" + strings.Join(more, "") +
		"Content-Length: 2\r\n\r\nhi"
}

// A wrong status, a key that reaches an endpoint or a header that only the system may set would be found here.
func TestForward(t *testing.T) {
	e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		return []string{answer(r, http.StatusOK, signed, "done")}, false
	})
	h := startHost(t, e)
	status, header, body, whole := h.send(t, post("/order/a?b=c", "k", "X-Hold: forged\r\nX-Workspace: forged\r\n"))
	got := []any{status, header.Get("X-Signature"), body, whole, e.seen()}
	want := []any{200, "s", "done", true, []string{`POST /order/a?b=c id=1 workspace="w" hold="" auth="" last="" body="hi"`}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("forwarded request (-want +got):\n%s", diff)
	}
}

// After a start of all hosts callers come before the control plane has agreed on a table again. Sent away, they mostly met a
// host without one again and were lost; held, they are answered as soon as there is a table, or else in time to go elsewhere.
func TestBeforeFirstTable(t *testing.T) {
	e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		return []string{answer(r, http.StatusOK, signed, "done")}, false
	})
	h := startHost(t, e)
	index := h.index.Swap(nil)
	early, header, _, _ := h.send(t, post("/read/", "k", "X-Deadline-Ms: 200\r\n"))
	time.AfterFunc(100*time.Millisecond, func() {
		h.index.Store(index)
		h.gateway.Open()
	})
	held, _, _, _ := h.send(t, post("/read/", "k", "X-Deadline-Ms: 2000\r\n"))
	got := []any{early, header.Get("Retry-After") != "", held, len(e.seen())}
	if diff := cmp.Diff([]any{503, true, 200, 1}, got); diff != "" {
		t.Errorf("answers before the first table (-want +got):\n%s", diff)
	}
}

// Guards against a body that is taken for the beginning of the next request: the host answers without the body, and the rest of it
// arrives afterwards. A connection in that state was not ended when its host stopped, and its next request was cut off; a long body
// counted as a header that is too long; and what the next head states was not checked.
func TestRefusalBeforeBody(t *testing.T) {
	e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		return []string{answer(r, http.StatusOK, signed, "done")}, false
	})
	h := startHost(t, e)
	refused := func(more string) (*net.TCPConn, *bufio.Reader) {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		body := strings.Repeat("b", 20<<10) + more
		head := fmt.Sprintf("POST /order/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nAuthorization: Token x\r\nContent-Length: %d\r\n\r\n", len(body))
		if _, err := io.WriteString(c, head); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		if _, err := io.WriteString(c, body); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(c)
		if status := nextStatus(t, reader); status != http.StatusUnauthorized {
			t.Fatalf("status %d, want 401", status)
		}
		return c.(*net.TCPConn), reader
	}
	next, reader := refused("")
	if _, err := io.WriteString(next, post("/order/", "k")); err != nil {
		t.Fatal(err)
	}
	got := []any{nextStatus(t, reader)}
	ambiguous, reader := refused("\r\n\r\n")
	if _, err := io.WriteString(ambiguous, post("/order/", "k", "Transfer-Encoding: chunked\r\n")); err != nil {
		t.Fatal(err)
	}
	got = append(got, nextStatus(t, reader))
	refused("")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := h.gateway.Close(ctx); err != nil {
		t.Error(err)
	}
	got = append(got, ctx.Err())
	if diff := cmp.Diff([]any{200, 400, nil}, got); diff != "" {
		t.Errorf("next request, one with two lengths, end of a stop (-want +got):\n%s", diff)
	}
}

// nextStatus reads an answer and returns its status.
func nextStatus(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Fatal(err)
	}
	return r.StatusCode
}

// Refusals are true and come with the status that tells callers what to do; nothing reaches an endpoint.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		raw    string
		stale  bool
		status int
		retry  bool
	}{
		"unknown path":        {raw: post("/none/", "k"), status: 404},
		"unknown key":         {raw: post("/order/", "x"), status: 401},
		"empty allotment":     {raw: post("/order/", "small-key"), status: 429, retry: true},
		"unconfirmed table":   {raw: post("/order/", "k"), stale: true, status: 503, retry: true},
		"two lengths":         {raw: post("/order/", "k", "Content-Length: 3\r\n"), status: 400},
		"length and encoding": {raw: post("/order/", "k", "Transfer-Encoding: chunked\r\n"), status: 400},
		"long header":         {raw: post("/order/", "k", "X-Long: "+strings.Repeat("a", 20<<10)+"\r\n"), status: 431},
		"endless header":      {raw: post("/order/", "k", "X-Long: "+strings.Repeat("a", 80<<10)+"\r\n"), status: 431},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
				return []string{answer(r, http.StatusOK, signed, "done")}, false
			})
			h := startHost(t, e)
			h.fresh = !c.stale
			var spent []string
			if strings.Contains(c.raw, "small-key") {
				// One request may take the allotment below zero; the next one is refused.
				h.send(t, c.raw)
				spent = e.seen()
			}
			status, header, _, _ := h.send(t, c.raw)
			got := []any{status, header.Get("Retry-After") != "", header.Get("X-Signature"), e.seen()}
			if diff := cmp.Diff([]any{c.status, c.retry, "", spent}, got); diff != "" {
				t.Errorf("refusal (-want +got):\n%s", diff)
			}
		})
	}
}

// A stream is cut into pieces at any byte. An event that is overwritten by the beginning of the next one, or one that is lost
// at a boundary, would be found here.
func TestStreamInPieces(t *testing.T) {
	var events strings.Builder
	for i := range 40 {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i, strings.Repeat(string(rune('a'+i%26)), i*3))
	}
	text := events.String()
	for _, size := range []int{1, 7, 33, 250} {
		e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
			pieces := []string{stream(r)}
			var batch string
			for at := 0; at < len(text); at += size {
				batch += chunk(text[at:min(at+size, len(text))])
				if len(batch) > 600 {
					pieces, batch = append(pieces, batch), ""
				}
			}
			return append(pieces, batch, "0\r\n\r\n"), false
		})
		h := startHost(t, e)
		status, _, body, whole := h.send(t, post("/chat/", "k"))
		if diff := cmp.Diff([]any{200, text, true}, []any{status, body, whole}); diff != "" {
			t.Errorf("pieces of %d bytes (-want +got):\n%s", size, diff)
		}
	}
}

// resumable answers the first request with a stream that breaks off within an event.
func resumable(n int, r *http.Request) ([]string, bool) {
	if n == 0 {
		return []string{stream(r), chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")}, true
	}
	return nil, true
}

// A stream that may be resumed goes on at another endpoint after its last whole event, in one answer.
func TestResume(t *testing.T) {
	first := startEndpoint(t, "e1", resumable)
	second := startEndpoint(t, "e2", func(_ int, r *http.Request) ([]string, bool) {
		return []string{stream(r), chunk("id: 2\ndata: b\n\nid: 3\ndata: c\n\n"), "0\r\n\r\n"}, false
	})
	h := startHost(t, first, second)
	status, _, body, whole := h.send(t, post("/resume/", "k"))
	want := []any{200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", true}
	if diff := cmp.Diff(want, []any{status, body, whole}); diff != "" {
		t.Errorf("resumed stream (-want +got):\n%s", diff)
	}
	if got := second.seen(); len(got) != 1 || !strings.Contains(got[0], `last="2"`) {
		t.Errorf("second endpoint saw %q, want one request that goes on after event 2", got)
	}
}

// The endpoint at which a stream should go on answers with a failure. Its body must not follow the events that the caller has,
// and the answer must not look complete.
func TestResumeMeetsFailure(t *testing.T) {
	first := startEndpoint(t, "e1", resumable)
	second := startEndpoint(t, "e2", func(_ int, r *http.Request) ([]string, bool) {
		return []string{answer(r, http.StatusInternalServerError, signed, "failed")}, false
	})
	h := startHost(t, first, second)
	status, _, body, whole := h.send(t, post("/resume/", "k"))
	if diff := cmp.Diff([]any{200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false}, []any{status, body, whole}); diff != "" {
		t.Errorf("stream (-want +got):\n%s", diff)
	}
}

// Faulty answers of endpoints: what may have run is never answered with a status that promises that it has not, is not sent
// again unless that is allowed, and no foreign bytes reach the caller.
func TestFaultyAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		answer func(n int, r *http.Request) ([]string, bool)
		status int
		body   string
		runs   int
	}{
		"order cut off": {"/order/", func(_ int, r *http.Request) ([]string, bool) {
			return []string{strings.TrimSuffix(answer(r, 200, signed, "done"), "ne")}, true
		}, 502, "", 1},
		"order closed": {"/order/", func(int, *http.Request) ([]string, bool) { return nil, true }, 502, "", 1},
		"order without signature": {"/order/", func(_ int, r *http.Request) ([]string, bool) {
			return []string{answer(r, 200, "", "forged")}, false
		}, 502, "", 1},
		"order refused": {"/order/", func(_ int, r *http.Request) ([]string, bool) {
			return []string{answer(r, 503, "X-Not-Run: 1\r\n", "")}, false
		}, 503, "", 1},
		"order that ran with status 503": {"/order/", func(_ int, r *http.Request) ([]string, bool) {
			return []string{answer(r, 503, signed, "failed")}, false
		}, 502, "", 1},
		"order that failed": {"/order/", func(_ int, r *http.Request) ([]string, bool) {
			return []string{answer(r, 500, signed, "failed")}, false
		}, 500, "failed", 1},
		"order after a stray answer": {"/order/", func(_ int, r *http.Request) ([]string, bool) {
			stray := &http.Request{Header: http.Header{"X-Id": {"0"}}}
			return []string{answer(stray, 200, signed, "stray") + answer(r, 200, signed, "own")}, false
		}, 200, "own", 1},
		"read that fails once": {"/read/", func(_ int, r *http.Request) ([]string, bool) {
			return []string{answer(r, 500, signed, "failed")}, false
		}, 500, "failed", 1},
		"stream with another encoding": {"/chat/", func(_ int, r *http.Request) ([]string, bool) {
			return []string{answer(r, 200, signed+"Content-Encoding: br\r\n", "x")}, false
		}, 502, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := startEndpoint(t, "e1", c.answer)
			h := startHost(t, e)
			status, _, body, _ := h.send(t, post(c.path, "k"))
			if status != c.status || c.body != "" && body != c.body || len(e.seen()) != c.runs {
				t.Errorf("status %d body %q after %d runs, want %d %q after %d", status, body, len(e.seen()), c.status, c.body, c.runs)
			}
		})
	}
}

// A repeatable request goes to a second endpoint after a failure, and to no third one.
func TestAttempts(t *testing.T) {
	fail := func(_ int, r *http.Request) ([]string, bool) {
		return []string{answer(r, 500, signed, "failed")}, false
	}
	a, b, c := startEndpoint(t, "e1", fail), startEndpoint(t, "e2", fail), startEndpoint(t, "e3", fail)
	h := startHost(t, a, b, c)
	status, _, _, _ := h.send(t, post("/read/", "k"))
	if runs := len(a.seen()) + len(b.seen()) + len(c.seen()); status != 500 || runs != 2 {
		t.Errorf("status %d after %d runs, want 500 after 2", status, runs)
	}
}

// A caller that leaves ends the run of a stream at the endpoint, whose place is then free.
func TestCallerLeaves(t *testing.T) {
	gone := make(chan struct{})
	e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		return []string{stream(r), chunk("id: 1\n\n")}, false
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, stream(r)+chunk("id: 1\n\n"))
		_, _ = io.Copy(io.Discard, c)
		close(gone)
	}()
	e.addr = l.Addr().String()
	h := startHost(t, e)
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, post("/chat/", "k")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint still works for a caller that has left")
	}
}

// Callers keep using their connections while a host stops. A request that has reached an endpoint must be answered: the HTTP
// library closes idle connections without a look at a request that has just been read.
func TestPlannedStop(t *testing.T) {
	const callers = 16
	e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		return []string{answer(r, http.StatusOK, signed, "done")}, false
	})
	h := startHost(t, e)
	var mu sync.Mutex
	answered := map[string]bool{}
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := 0; ; {
				c, err := net.Dial("tcp", h.addr)
				if err != nil {
					return
				}
				reader := bufio.NewReader(c)
				for {
					id := fmt.Sprintf("%d-%d", caller, n)
					n++
					raw := "POST /order/ HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nAuthorization: Token k\r\nContent-Length: 2\r\n\r\nhi"
					if _, err := io.WriteString(c, raw); err != nil {
						break
					}
					r, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					body, err := io.ReadAll(r.Body)
					mu.Lock()
					answered[id] = err == nil && (r.StatusCode != http.StatusOK || string(body) == "done")
					mu.Unlock()
					if r.Close {
						break
					}
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	h.gateway.Drain()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.gateway.Close(ctx); err != nil {
		t.Error(err)
	}
	wg.Wait()
	for _, line := range e.seen() {
		_, rest, _ := strings.Cut(line, "id=")
		id, _, _ := strings.Cut(rest, " ")
		if !answered[id] {
			t.Errorf("request %s reached the endpoint and has no answer", id)
		}
	}
	if n := len(e.seen()); n < callers {
		t.Errorf("only %d requests were served", n)
	}
}

// crashPool is stand-ins that a request for /order/poison crashes. Their ports take no connections from then on.
type crashPool struct {
	endpoints []*endpoint
	// silent lets a stand-in that has crashed keep its connections open without a byte.
	silent bool
	mu     sync.Mutex
	runs   int
}

// startCrashPool starts n stand-ins. While fails is true, they answer with a failure instead.
func startCrashPool(t *testing.T, n int, silent bool, fails func() bool) *crashPool {
	t.Helper()
	p := &crashPool{silent: silent}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		p.endpoints = append(p.endpoints, &endpoint{id: fmt.Sprintf("e%d", i), addr: l.Addr().String()})
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				switch {
				case fails():
					_, _ = io.WriteString(c, answer(r, 500, signed, "failed"))
				case strings.HasSuffix(r.RequestURI, "/poison"):
					p.mu.Lock()
					p.runs++
					p.mu.Unlock()
					_ = l.Close()
					if p.silent {
						t.Cleanup(func() { _ = c.Close() })
						continue
					}
				default:
					_, _ = io.WriteString(c, answer(r, 200, signed, "done"))
				}
				_ = c.Close()
			}
		}()
	}
	return p
}

func (p *crashPool) crashes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs
}

// A request that crashes each endpoint that runs it comes again. Without a limit one caller empties the pool. An endpoint that
// only broke one answer off has not crashed, and other requests are not refused.
func TestCrashingRequest(t *testing.T) {
	p := startCrashPool(t, 4, false, func() bool { return false })
	h := startHost(t, p.endpoints...)
	statuses := map[int]int{}
	for range 12 {
		status, _, _, _ := h.send(t, post("/order/poison", "k"))
		statuses[status]++
		// Other work meets the dead endpoint, which shows that it has crashed.
		for range 6 {
			h.send(t, post("/order/other", "k"))
		}
		time.Sleep(120 * time.Millisecond)
	}
	if runs := p.crashes(); runs > 2 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("the request crashed %d endpoints, want at most 2; statuses %v", runs, statuses)
	}
	if status, _, body, _ := h.send(t, post("/order/other", "k")); status != 200 || body != "done" {
		t.Errorf("another request: status %d, %q", status, body)
	}
}

// Guards against a failure answer that clears a request that crashes endpoints: an endpoint that fails each request without
// running it says nothing of the request, and the crashes before it must go on to count.
func TestFailureAnswerClearsNothing(t *testing.T) {
	var failing atomic.Bool
	p := startCrashPool(t, 5, false, failing.Load)
	h := startHost(t, p.endpoints...)
	var got []int
	for _, fails := range []bool{false, true, false, false} {
		failing.Store(fails)
		status, _, _, _ := h.send(t, post("/order/poison", "k"))
		got = append(got, status)
		time.Sleep(120 * time.Millisecond)
	}
	if diff := cmp.Diff([]int{502, 500, 502, 503}, got); diff != "" {
		t.Errorf("statuses after a crash, a failure, a crash and then (-want +got):\n%s", diff)
	}
}

// Guards against a request that waits for a place while the same request crashes endpoints, and then runs all the same.
func TestWaitingRequestIsRefusedAfterCrashes(t *testing.T) {
	release := make(chan struct{})
	e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		if r.RequestURI == "/order/slow" {
			<-release
		}
		return []string{answer(r, 200, signed, "done")}, false
	})
	h := startHost(t, e)
	var wg sync.WaitGroup
	const more = 12 // than the endpoint has places
	var refused atomic.Int64
	for range more {
		wg.Go(func() {
			if status, _, _, _ := h.send(t, post("/order/slow", "k")); status != 200 {
				refused.Add(1)
			}
		})
	}
	for refused.Load()+int64(len(e.seen())) < more {
		time.Sleep(time.Millisecond)
	}
	var status int
	wg.Go(func() { status, _, _, _ = h.send(t, post("/order/poison", "k")) })
	time.Sleep(40 * time.Millisecond)
	now, print := time.Now(), xxhash.Sum64String("w\nPOST\n/order/poison\nhi")
	h.gateway.HeardCrashes(crashwatcher.News{Crashes: []quarantiner.Crash{
		{Fingerprint: print, Endpoint: 1, Began: now, At: now}, {Fingerprint: print, Endpoint: 2, Began: now, At: now},
	}})
	close(release)
	wg.Wait()
	ran := slices.ContainsFunc(e.seen(), func(line string) bool { return strings.Contains(line, "poison") })
	if diff := cmp.Diff([]any{503, false}, []any{status, ran}); diff != "" {
		t.Errorf("status, and whether the endpoint has run it (-want +got):\n%s", diff)
	}
	// A caller that is told to come back before the end of the hold is refused again each time.
	_, header, _, _ := h.send(t, post("/order/poison", "k"))
	if wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || wait < 55 {
		t.Errorf("Retry-After %q, want what is left of a minute or more", header.Get("Retry-After"))
	}
}

// Guards against a request that makes endpoints fall silent instead of closing their connections: its caller leaves, or another
// endpoint is asked, before anything shows that the first one has crashed.
func TestSilentCrashCounts(t *testing.T) {
	p := startCrashPool(t, 6, true, func() bool { return false })
	h := startHost(t, p.endpoints...)
	for range 5 {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, post("/chat/poison", "k")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(900 * time.Millisecond)
		_ = c.Close()
		// Other work goes on meanwhile.
		h.send(t, post("/order/other", "k"))
		time.Sleep(150 * time.Millisecond)
	}
	status, _, _, _ := h.send(t, post("/chat/poison", "k"))
	if diff := cmp.Diff([]int{2, 503}, []int{p.crashes(), status}); diff != "" {
		t.Errorf("crashes, status afterwards (-want +got):\n%s", diff)
	}
}

// Guards against work that is refused because its callers leave: an endpoint that takes connections has not crashed, however long
// it was silent.
func TestCallersThatLeaveMakeNoSuspect(t *testing.T) {
	e := startEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		time.Sleep(time.Second)
		return []string{stream(r), chunk("id: 1\ndata: x\n\n"), "0\r\n\r\n"}, false
	})
	h := startHost(t, e)
	for range 3 {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, post("/chat/long", "k")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(800 * time.Millisecond)
		_ = c.Close()
	}
	if status, _, _, _ := h.send(t, post("/chat/long", "k")); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
}
