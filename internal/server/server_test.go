package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
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

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/dispatcher"
)

// fakeRequests accepts every request; the test produces the answers.
type fakeRequests struct {
	mu       sync.Mutex
	accepted []describer.Request
	answers  []*answerer.Answer
	arrived  chan struct{}
}

func (r *fakeRequests) Accept(req describer.Request) (*answerer.Answer, *answerer.Reader, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := answerer.New(answerer.Meta{RequestID: fmt.Sprintf("r%d", len(r.answers)), Kind: req.Kind, Model: req.Model, Created: time.Unix(1, 0)}, nil)
	r.accepted, r.answers = append(r.accepted, req), append(r.answers, a)
	r.arrived <- struct{}{}
	return a, a.NewReader(0), nil
}

func (r *fakeRequests) Fetch(_, id string, _ int) (*answerer.Answer, *answerer.Reader, error) {
	return nil, nil, &dispatcher.NotFoundError{RequestID: id}
}

func (r *fakeRequests) NewID(string) string { return "refused" }

// acceptedAt returns request number i and its answer.
func (r *fakeRequests) acceptedAt(i int) (describer.Request, *answerer.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted[i], r.answers[i]
}

// finish waits for the next request, which must be number i, and ends its answer.
func (r *fakeRequests) finish(i int, end answerer.End) {
	<-r.arrived
	_, a := r.acceptedAt(i)
	a.Finish(end)
}

func (r *fakeRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.accepted)
}

func startServer(t *testing.T, s *Server) (*fakeRequests, string) {
	t.Helper()
	sum := sha256.Sum256([]byte("key"))
	cfg := &configurer.Config{
		Tiers: []configurer.Tier{{Name: "fast"}, {Name: "bulk", Order: 1}},
		Workspaces: []configurer.Workspace{{Name: "w", Callers: []configurer.Caller{
			{Name: "c", KeySHA256: hex.EncodeToString(sum[:]), Tiers: []string{"fast", "bulk"}},
		}}},
		Pools:    []configurer.Pool{{Name: "chat", Kind: configurer.KindModel, Models: []string{"m"}}, {Name: "s", Kind: configurer.KindService}},
		Services: []configurer.Service{{Name: "s", Pool: "s", Routes: []configurer.Route{{Method: "POST", Path: "/a/*"}}}},
	}
	r := &fakeRequests{arrived: make(chan struct{}, 64)}
	s.ListenAddr, s.Requests = "127.0.0.1:0", r
	if s.Config == nil {
		s.Config = func() (uint64, *configurer.Config, bool) { return 1, cfg, true }
	}
	s.UnreadyReason = func() string { return "" }
	if s.RefusalReason == nil {
		s.RefusalReason = s.UnreadyReason
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Close(ctx)
		<-ended
	})
	return r, "http://" + s.Addr()
}

func post(ctx context.Context, url, tier string, body io.Reader, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set(HeaderTier, tier)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return http.DefaultClient.Do(req)
}

func chatBody(size int) string {
	body := `{"model":"m","messages":[{"role":"user","content":""}]}`
	return strings.Replace(body, `""`, `"`+strings.Repeat("x", max(0, size-len(body)))+`"`, 1)
}

// Guards against a configuration without workspaces that lets callers in without a known key.
func TestKeysWithoutWorkspaces(t *testing.T) {
	cfg := &configurer.Config{Tiers: []configurer.Tier{{Name: "fast"}}, Pools: []configurer.Pool{{Name: "chat", Kind: configurer.KindModel, Models: []string{"m"}}}}
	r, url := startServer(t, &Server{Config: func() (uint64, *configurer.Config, bool) { return 1, cfg, true }})
	for _, key := range []string{"Bearer key", "Bearer other", ""} {
		resp, err := post(t.Context(), url+"/v1/chat/completions", "fast", strings.NewReader(chatBody(100)), map[string]string{"Authorization": key})
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("status %d with %q, want 401", resp.StatusCode, key)
		}
	}
	if n := r.count(); n > 0 {
		t.Errorf("%d requests were accepted", n)
	}
}

// Guards against three failures when the memory for bodies is used up: requests are refused, bodies of one tier block those of
// another, or the reserved bytes are not released.
func TestBodyMemory(t *testing.T) {
	const size = 1 << 20
	before := bodyBytes.Value()
	s := &Server{MaxBodyBytes: size, BodyMemoryBytes: 4 * size}
	r, url := startServer(t, s)
	var wg sync.WaitGroup
	send := func(tier string) {
		wg.Go(func() {
			resp, err := post(t.Context(), url+"/v1/chat/completions", tier, strings.NewReader(chatBody(size)), nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("tier %s: %v %v", tier, resp, err)
				return
			}
			resp.Body.Close()
		})
	}
	// Two bodies fit into the shared half, one into the reserve of each tier.
	for range 5 {
		send("bulk")
	}
	for range 3 {
		<-r.arrived
	}
	send("fast")
	<-r.arrived
	if n := r.count(); n != 4 {
		t.Errorf("%d bodies were read, want 4", n)
	}
	for done := 0; done < 6; done++ {
		if done >= 4 {
			<-r.arrived
		}
		req, a := r.acceptedAt(done)
		req.Release()
		a.Finish(answerer.End{Outcome: answerer.Done})
	}
	wg.Wait()
	if n := bodyBytes.Value() - before; n != 0 {
		t.Errorf("%d bytes are still reserved", n)
	}
}

// Guards against bodies of unknown length that are not bounded, and against headers that are lost or that send the API key to the
// endpoint.
func TestServiceCall(t *testing.T) {
	r, url := startServer(t, &Server{MaxBodyBytes: 1 << 16})
	chunked := func(n int) io.Reader { return io.MultiReader(bytes.NewReader(make([]byte, n)), strings.NewReader("!")) }
	resp, err := post(t.Context(), url+"/v1/services/s/a/b", "fast", chunked(1<<17), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(HeaderOutcome) != "not_run" {
		t.Fatalf("%v %v", resp, err)
	}
	resp.Body.Close()
	go r.finish(0, answerer.End{Outcome: answerer.Done, Response: &connector.Response{
		Status: 418, Header: map[string]string{"X-Own": "1", "Content-Type": "text/x"}, Body: []byte("tea"),
	}})
	resp, err = post(t.Context(), url+"/v1/services/s/a/b%2Fc?q=1&r=%20", "fast", chunked(10), map[string]string{"X-Other": "2", HeaderIdempotencyKey: "k"})
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	if resp.StatusCode != 418 || string(body) != "tea" || resp.Header.Get("X-Own") != "1" || resp.Header.Get("Content-Type") != "text/x" || resp.Header.Get(HeaderRequestID) != "r0" {
		t.Errorf("%v %q", resp, body)
	}
	got, _ := r.acceptedAt(0)
	if len(got.Call.Body) != 11 || got.Call.Path != "/a/b%2Fc?q=1&r=%20" || got.Call.Method != "POST" || got.Key != "k" || got.Idempotent {
		t.Errorf("%+v", got)
	}
	delete(got.Call.Header, "User-Agent")
	if diff := cmp.Diff(map[string]string{"X-Other": "2", HeaderIdempotencyKey: "k"}, got.Call.Header); diff != "" {
		t.Error(diff)
	}
}

// slowReader returns one byte every 5 ms.
type slowReader struct{ remaining int }

func (s *slowReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	s.remaining--
	time.Sleep(5 * time.Millisecond)
	p[0] = 'x'
	return 1, nil
}

// Guards against a slow sender whose body keeps its memory reserved without a time limit.
func TestSlowBody(t *testing.T) {
	before := bodyBytes.Value()
	_, url := startServer(t, &Server{BodyTimeout: 20 * time.Millisecond})
	resp, err := post(t.Context(), url+"/v1/chat/completions", "fast", &slowReader{remaining: 40}, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout || resp.Header.Get(HeaderOutcome) != "not_run" || bodyBytes.Value() != before {
		t.Errorf("%v, %d bytes are reserved", resp, bodyBytes.Value()-before)
	}
}

// Guards against a caller that receives a connection reset instead of the reason, because it was still sending its body.
func TestRefusalOfLargeBodies(t *testing.T) {
	_, url := startServer(t, &Server{RefusalReason: func() string { return "it is stopping" }})
	for range 20 {
		resp, err := post(t.Context(), url+"/v1/chat/completions", "fast", strings.NewReader(chatBody(4<<20)), nil)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderOutcome) != "not_run" {
			t.Fatalf("%v", resp)
		}
	}
}

// Guards against a key that is looked up in an earlier configuration than the one that was found confirmed: the agent may replace
// the configuration, and confirm the new one, between the two steps.
func TestKeyRemovedDuringTheCheck(t *testing.T) {
	var removed atomic.Bool
	s := &Server{RefusalReason: func() string {
		removed.Store(true)
		return ""
	}}
	r, url := startServer(t, s)
	config := s.Config
	s.Config = func() (uint64, *configurer.Config, bool) {
		if removed.Load() {
			return 2, &configurer.Config{}, true
		}
		return config()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := post(ctx, url+"/v1/chat/completions", "fast", strings.NewReader(chatBody(100)), nil)
	if err != nil {
		t.Fatalf("%v, %d requests accepted; want status 401 and none", err, r.count())
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized || r.count() != 0 {
		t.Errorf("status %d, %d requests accepted; want 401 and none", resp.StatusCode, r.count())
	}
}

// Guards against a panic in the handler of one request that ends other requests.
func TestPanic(t *testing.T) {
	_, url := startServer(t, &Server{RefusalReason: func() string { panic("fault") }})
	resp, err := post(t.Context(), url+"/v1/chat/completions", "fast", strings.NewReader("{}"), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusInternalServerError || resp.Header.Get(HeaderOutcome) != "unknown" {
		t.Errorf("%v", resp)
	}
}

// Guards against a header of unbounded size, which is read before the API key is checked.
func TestHeaderSize(t *testing.T) {
	_, url := startServer(t, &Server{MaxHeaderBytes: 8 << 10})
	resp, err := post(t.Context(), url+"/v1/chat/completions", "fast", strings.NewReader("{}"), map[string]string{"X-Big": strings.Repeat("x", 32<<10)})
	if err == nil {
		resp.Body.Close()
		if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}

// Guards against a stream that does not report a failure after its first chunk, and against chunks without the index (the event
// id) that a caller needs to resume the stream.
func TestStreamEvents(t *testing.T) {
	r, url := startServer(t, &Server{})
	go func() {
		<-r.arrived
		_, a := r.acceptedAt(0)
		_ = a.Append(0, "one ")
		_ = a.Append(1, "two")
		a.Finish(answerer.End{Outcome: answerer.Unknown, Reason: "endpoint_lost", Message: "lost"})
	}()
	resp, err := post(t.Context(), url+"/v1/chat/completions", "fast", strings.NewReader(`{"model":"m","stream":true,"messages":[{"content":"x"}]}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	const head = `"id":"r0","object":"chat.completion.chunk","created":1,"model":"m",`
	want := []string{
		"id:0", `data:{` + head + `"choices":[{"index":0,"delta":{"role":"assistant","content":"one "},"finish_reason":null}]}`, "",
		"id:1", `data:{` + head + `"choices":[{"index":0,"delta":{"content":"two"},"finish_reason":null}]}`, "",
		"event:outcome", `data:{` + head + `"choices":[],"outcome":"unknown","error":{"outcome":"unknown","reason":"endpoint_lost","message":"lost","request_id":"r0"}}`, "",
		"data:[DONE]", "", "",
	}
	got := strings.ReplaceAll(string(body), ": ", ":")
	if diff := cmp.Diff(strings.Join(want, "\n"), got); diff != "" {
		t.Error(diff)
	}
}

// Guards against error responses without the outcome, the retry delay, or the header that stops clients from retrying a request
// that may have run.
func TestFailures(t *testing.T) {
	r, url := startServer(t, &Server{})
	for i, test := range []struct {
		end                     answerer.End
		status                  int
		retryAfter, shouldRetry string
	}{
		{answerer.End{Outcome: answerer.Refused, Reason: "overload", RetryAfter: 1500 * time.Millisecond}, 503, "2", ""},
		{answerer.End{Outcome: answerer.Refused, Reason: "limit", RetryAfter: time.Second}, 429, "1", ""},
		{answerer.End{Outcome: answerer.Refused, Reason: "unserved"}, 404, "", ""},
		{answerer.End{Outcome: answerer.NotRun, Reason: "deadline"}, 504, "", ""},
		{answerer.End{Outcome: answerer.Unknown, Reason: "endpoint_lost"}, 502, "", "false"},
		{answerer.End{Outcome: answerer.Unknown, Reason: "endpoint_rejected", Response: &connector.Response{Status: 400}}, 400, "", "false"},
		{answerer.End{Outcome: answerer.Unknown, Reason: "endpoint_rejected", Response: &connector.Response{Status: 500}}, 502, "", "false"},
	} {
		go r.finish(i, test.end)
		resp, err := post(t.Context(), url+"/v1/chat/completions", "fast", strings.NewReader(chatBody(0)), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		got := []string{fmt.Sprint(resp.StatusCode), resp.Header.Get("Retry-After"), resp.Header.Get("X-Should-Retry"), resp.Header.Get(HeaderOutcome), resp.Header.Get(HeaderRequestID)}
		want := []string{fmt.Sprint(test.status), test.retryAfter, test.shouldRetry, string(test.end.Outcome), fmt.Sprintf("r%d", i)}
		if diff := cmp.Diff(want, got); diff != "" || !strings.Contains(string(body), fmt.Sprintf(`"reason":%q`, test.end.Reason)) {
			t.Errorf("%s: %s\n%s", test.end.Reason, diff, body)
		}
	}
}

// Guards against request smuggling. A request with both Content-Length and Transfer-Encoding, or with two lengths, was processed
// up to the check of the API key; a proxy on the path may parse the bytes after it as a separate request.
func TestAmbiguousLength(t *testing.T) {
	for name, lines := range map[string]string{
		"length and encoding": "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":         "Content-Length: 5\r\nContent-Length: 6\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r, url := startServer(t, &Server{})
			c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
				t.Fatal(err)
			}
			raw := "POST /v1/services/s/a/b HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n" + lines + "\r\n0\r\n\r\nGET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"
			if _, err := io.WriteString(c, raw); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(c)
			if err != nil && len(got) == 0 {
				t.Fatal(err)
			}
			if n := strings.Count(string(got), "HTTP/1.1 "); !strings.HasPrefix(string(got), "HTTP/1.1 400 ") || n != 1 || r.count() != 0 {
				t.Errorf("%d answers, %d requests accepted: %q", n, r.count(), got)
			}
		})
	}
}

// Guards against a panic of a host that is stopped at the moment at which it starts: the listener is closed before it is served.
func TestCloseDuringStart(t *testing.T) {
	for range 100 {
		s := &Server{ListenAddr: "127.0.0.1:0"}
		if err := s.Listen(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.Run() // the error depends on how far the start has got
		}()
		if err := s.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		<-ended
	}
}
