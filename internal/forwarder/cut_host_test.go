package forwarder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
	"github.com/dragonflycroft/dragonflycroft/internal/forwarder"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

const (
	// contactTime is the time after the start of a cut from which requests count.
	contactTime = 4 * time.Second
	// cutLength is the length of a cut.
	cutLength = 7 * time.Second
)

// cutMode is what happens to the connections of a host to its endpoints during a cut.
type cutMode int

const (
	// hang drops all data, and connection attempts time out.
	hang cutMode = iota
	// reset resets the open connections and refuses new ones.
	reset
	// refuseNew leaves the open connections alone and refuses new ones.
	refuseNew
)

// endpointLink is the network between one host and the endpoints.
type endpointLink struct {
	mode cutMode
	cut  atomic.Bool

	mu    sync.Mutex
	conns map[*cutConn]struct{}
}

// dial implements forwarder.Host.DialEndpoint.
func (l *endpointLink) dial(ctx context.Context, addr string) (net.Conn, error) {
	if l.cut.Load() {
		if l.mode != hang {
			return nil, syscall.ECONNREFUSED
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	k := &cutConn{Conn: c, link: l, dead: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*cutConn]struct{}{}
	}
	l.conns[k] = struct{}{}
	return k, nil
}

// set begins or ends a cut.
func (l *endpointLink) set(cut bool) {
	l.cut.Store(cut)
	if !cut || l.mode == refuseNew {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.conns {
		k.lost.Store(true)
		if l.mode == reset {
			k.once.Do(func() { close(k.dead) })
		} else {
			// The kernel gives up a second after the first unacknowledged byte.
			_ = k.SetReadDeadline(time.Time{})
		}
	}
	clear(l.conns)
}

// cutConn is a connection that a cut can break. The endpoint does not learn of it.
type cutConn struct {
	net.Conn
	link *endpointLink
	lost atomic.Bool
	dead chan struct{}
	once sync.Once
}

// Read implements net.Conn.
func (k *cutConn) Read(b []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	done := make(chan result, 1)
	buffer := make([]byte, len(b))
	go func() {
		n, err := k.Conn.Read(buffer)
		if !k.lost.Load() {
			done <- result{n, err}
		}
	}()
	select {
	case got := <-done:
		copy(b, buffer[:got.n])
		return got.n, got.err
	case <-k.dead:
		if k.link.mode == reset {
			return 0, syscall.ECONNRESET
		}
		return 0, syscall.ETIMEDOUT
	}
}

// Write implements net.Conn.
func (k *cutConn) Write(b []byte) (int, error) {
	if !k.lost.Load() {
		return k.Conn.Write(b)
	}
	if k.link.mode == reset {
		return 0, syscall.ECONNRESET
	}
	time.AfterFunc(time.Second, func() { k.once.Do(func() { close(k.dead) }) })
	return len(b), nil
}

// Close implements net.Conn.
func (k *cutConn) Close() error {
	k.once.Do(func() { close(k.dead) })
	return k.Conn.Close()
}

// streamEvents are the numbers of events of the streams by path.
var streamEvents = map[string]int{"/s/short": 5, "/s/long": 50}

// streamBody returns the whole body of a stream.
func streamBody(path, id string) string {
	out := ""
	for i := range streamEvents[path] {
		out += fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, id)
	}
	return out
}

// countingEndpoints answer requests after a few milliseconds and count the runs of each request that must not run twice.
type countingEndpoints struct {
	entries []cataloguer.Entry
	mu      sync.Mutex
	runs    map[string]int
	running atomic.Int64
}

// Read implements cataloguer.Source.
func (s *countingEndpoints) Read(context.Context) ([]cataloguer.Entry, error) { return s.entries, nil }

func startCountingEndpoints(t *testing.T, n int) *countingEndpoints {
	t.Helper()
	s := &countingEndpoints{runs: map[string]int{}}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(s.serve)}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		s.entries = append(s.entries, cataloguer.Entry{ID: fmt.Sprintf("e%d", i), Pool: "p", Addr: l.Addr().String(), Zone: "z", Slots: 4})
	}
	return s
}

func (s *countingEndpoints) serve(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Id")
	if !strings.HasPrefix(r.URL.Path, "/a/") {
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
	}
	w.Header().Set("X-Signature", "s")
	w.Header().Set("X-Id", id)
	if r.URL.Path == "/s/endless" {
		for i := 1; r.Context().Err() == nil; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		return
	}
	time.Sleep(10 * time.Millisecond)
	if r.URL.Path == "/s/short" || r.URL.Path == "/s/long" {
		for i := range streamEvents[r.URL.Path] {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, id)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		return
	}
	_, _ = io.WriteString(w, id+" "+string(body))
}

// repeated returns the number of requests that ran more than once.
func (s *countingEndpoints) repeated() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// kindsDocument is a configuration with a rule for each kind of request.
func kindsDocument(t *testing.T, w router.Workspace) []byte {
	t.Helper()
	w.Name, w.Keys = "w", []string{"k1"}
	rule := func(path string, kind router.Kind, attempts int) router.Rule {
		return router.Rule{
			Name: path, Host: "h", PathPrefix: path, Kind: kind, Timeout: 3 * time.Second, LatencyTarget: 500 * time.Millisecond,
			Attempts: attempts, EventGap: 300 * time.Millisecond, Targets: []router.Target{{Pool: "p", Weight: 1}},
		}
	}
	raw, err := json.Marshal(router.Table{
		Revision: 1, Pools: []router.Pool{{Name: "p"}}, Workspaces: []router.Workspace{w},
		Rules: []router.Rule{rule("/a/", router.Idempotent, 2), rule("/o/", router.NonIdempotent, 1), rule("/s/", router.Streaming, 1)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// cutLoad sends requests of each kind to a host and counts the answers to those sent while counting is true. In that time it sends
// more of them at once, so that the host needs further connections.
type cutLoad struct {
	t             *testing.T
	addr, name    string
	counting      *atomic.Bool
	asked, served atomic.Int64
	wrong         atomic.Int64
}

func (l *cutLoad) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(75 * time.Millisecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		counts := l.counting.Load()
		for j := range 3 {
			if !counts && j != i%3 {
				continue
			}
			path, method := []string{"/a/x", "/o/x", "/s/short"}[j], []string{http.MethodGet, http.MethodPost, http.MethodPost}[j]
			wg.Go(func() { l.send(method, path, fmt.Sprintf("%s-%d-%d", l.name, i, j), counts) })
		}
	}
}

func (l *cutLoad) send(method, path, id string, counts bool) {
	if counts {
		l.asked.Add(1)
	}
	status, body := sendWithID(l.t, l.addr, method, path, id)
	want := id + " "
	if path == "/s/short" {
		want = streamBody(path, id)
	}
	switch {
	case status == http.StatusOK && body != want:
		l.wrong.Add(1)
	case status == http.StatusOK && counts:
		l.served.Add(1)
	}
}

func sendWithID(t *testing.T, addr, method, path, id string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("X-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// startLinkedHost runs an entry host of an availability zone whose connections to endpoints go through a link.
func startLinkedHost(t *testing.T, id, zone, controlAddr string, endpoints cataloguer.Source, link *endpointLink) (addr string, stop func()) {
	t.Helper()
	addr = freeAddr(t)
	h := newHost(id, freeAddr(t), addr, freeAddr(t), controlAddr, endpoints)
	h.Zone, h.DialEndpoint = zone, link.dial
	return addr, runHost(t, h)
}

// runHost runs a host until the test ends or stop is called, which waits for its graceful shutdown.
func runHost(t *testing.T, h *forwarder.Host) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- h.Run(ctx) }()
	var once sync.Once
	stop = func() {
		once.Do(func() {
			cancel()
			if err := <-stopped; err != nil {
				t.Errorf("graceful shutdown returned %v", err)
			}
		})
	}
	t.Cleanup(stop)
	return stop
}

// Guards against hosts that serve hardly any request while they have lost their paths to all endpoints, and against other hosts
// that are served worse because of the vain attempts of those. The hosts still reach each other and their coordinator. Cuts off
// one host, or a whole availability zone; connections hang, are reset, or live on while new ones are refused. Uses real sockets.
func TestHostsWithoutPathToEndpointsServe(t *testing.T) {
	for _, test := range []struct {
		name string
		mode cutMode
		cut  []int
	}{
		{"one host, hang", hang, []int{0}},
		{"one host, reset", reset, []int{0}},
		{"one host, new connections refused", refuseNew, []int{0}},
		{"zone, hang", hang, []int{0, 1}},
		{"zone, reset", reset, []int{0, 1}},
		{"zone, new connections refused", refuseNew, []int{0, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoints := startCountingEndpoints(t, 6)
			controlAddr := freeAddr(t)
			c := startControl(t, controlAddr, endpoints)
			var counting atomic.Bool
			var links []*endpointLink
			var loads []*cutLoad
			for i, zone := range []string{"z1", "z1", "z2", "z2"} {
				link := &endpointLink{mode: test.mode}
				id := fmt.Sprintf("h%d", i)
				links = append(links, link)
				addr, _ := startLinkedHost(t, id, zone, controlAddr, endpoints, link)
				loads = append(loads, &cutLoad{t: t, addr: addr, name: id, counting: &counting})
			}
			waitForStatus(t, loads[0].addr, "k1", http.StatusServiceUnavailable, 10*time.Second)
			if _, err := c.participant.Client().ImportConfig(t.Context(), 1, kindsDocument(t, router.Workspace{}), "operator"); err != nil {
				t.Fatal(err)
			}
			for _, l := range loads {
				waitForStatus(t, l.addr, "k1", http.StatusOK, 5*time.Second)
			}
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			for _, l := range loads {
				wg.Go(func() { l.run(ctx) })
			}
			time.Sleep(2 * time.Second)
			for _, i := range test.cut {
				links[i].set(true)
			}
			time.Sleep(contactTime)
			counting.Store(true)
			time.Sleep(cutLength - contactTime)
			counting.Store(false)
			stop()
			wg.Wait()
			isCut := map[int]bool{}
			for _, i := range test.cut {
				isCut[i] = true
			}
			var asked, served [2]int64
			for i, l := range loads {
				group := 0
				if isCut[i] {
					group = 1
				}
				asked[group] += l.asked.Load()
				served[group] += l.served.Load()
				if n := l.wrong.Load(); n > 0 {
					t.Errorf("%d successes of %s with another body", n, l.name)
				}
			}
			t.Logf("cut off: served %d of %d, others: %d of %d", served[1], asked[1], served[0], asked[0])
			if failed := asked[1] - served[1]; 3*served[1]*asked[0] < 2*served[0]*asked[1] || failed > 10+asked[1]/50 {
				t.Errorf("hosts without a path to endpoints served %d of %d, the others %d of %d", served[1], asked[1], served[0], asked[0])
			}
			if 50*(asked[0]-served[0]) > asked[0] {
				t.Errorf("the other hosts served %d of %d", served[0], asked[0])
			}
			if n := endpoints.repeated(); n > 0 {
				t.Errorf("%d requests ran more than once", n)
			}
		})
	}
}

// startWithCutHost runs a control host and two entry hosts, of which the first has lost its paths to the endpoints.
func startWithCutHost(t *testing.T, w router.Workspace) (endpoints *countingEndpoints, cut string, stopOther func()) {
	t.Helper()
	endpoints = startCountingEndpoints(t, 3)
	controlAddr := freeAddr(t)
	c := startControl(t, controlAddr, endpoints)
	link := &endpointLink{mode: refuseNew}
	cut, _ = startLinkedHost(t, "h0", "z1", controlAddr, endpoints, link)
	other, stopOther := startLinkedHost(t, "h1", "z2", controlAddr, endpoints, &endpointLink{})
	waitForStatus(t, cut, "k1", http.StatusServiceUnavailable, 10*time.Second)
	if _, err := c.participant.Client().ImportConfig(t.Context(), 1, kindsDocument(t, w), "operator"); err != nil {
		t.Fatal(err)
	}
	waitForStatus(t, other, "k1", http.StatusOK, 5*time.Second)
	link.set(true)
	waitForStatus(t, cut, "k1", http.StatusOK, 5*time.Second)
	time.Sleep(time.Second) // until both hosts have joined their coordinator
	return endpoints, cut, stopOther
}

// Guards against requests through another host that are not counted in the allotment of their workspace, or twice.
func TestAllotmentOfRequestsThroughOtherHosts(t *testing.T) {
	t.Parallel()
	const burst = 30
	endpoints, cut, _ := startWithCutHost(t, router.Workspace{Rate: 1, Burst: burst, DefaultCost: 1})
	statuses := map[int]int{}
	for i := range 2 * burst {
		status, _ := sendWithID(t, cut, http.MethodPost, "/o/x", fmt.Sprint(i))
		statuses[status]++
	}
	endpoints.mu.Lock()
	runs := 0
	for id, n := range endpoints.runs {
		if id != "" {
			runs += n
		}
	}
	endpoints.mu.Unlock()
	served := statuses[http.StatusOK]
	// The requests that waited for the configuration count too, and the rate allows a few more.
	if served < burst/2 || served > burst+10 || runs != served || statuses[http.StatusTooManyRequests] != 2*burst-served {
		t.Errorf("responses by status %v after %d runs, with an allotment of %d", statuses, runs, burst)
	}
}

// Guards against a stream that is cut off because the host that sends it on for another host stops as planned.
func TestStopOfHostThatSendsForAnother(t *testing.T) {
	t.Parallel()
	_, cut, stopOther := startWithCutHost(t, router.Workspace{})
	var status int
	var body string
	done := make(chan struct{})
	go func() {
		defer close(done)
		status, body = sendWithID(t, cut, http.MethodPost, "/s/long", "1")
	}()
	time.Sleep(200 * time.Millisecond)
	stopOther()
	<-done
	if diff := cmp.Diff([]any{200, streamBody("/s/long", "1")}, []any{status, body}); diff != "" {
		t.Errorf("status and body (-want +got):\n%s", diff)
	}
	// No host is left that could send a request.
	if status, _ := sendWithID(t, cut, http.MethodPost, "/o/x", "2"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d without any path, want 503", status)
	}
}

// Guards against an endpoint that works on for a caller who has left a host without paths.
func TestCallerOfRequestThroughOtherHostLeaves(t *testing.T) {
	t.Parallel()
	endpoints, cut, _ := startWithCutHost(t, router.Workspace{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cut+"/s/endless", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("X-Id", "1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadFull(resp.Body, make([]byte, 40))
	running := endpoints.running.Load()
	cancel()
	_ = resp.Body.Close()
	for deadline := time.Now().Add(2 * time.Second); endpoints.running.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if diff := cmp.Diff([]int64{1, 0}, []int64{running, endpoints.running.Load()}); diff != "" {
		t.Errorf("requests at the endpoints before and after (-want +got):\n%s", diff)
	}
}
