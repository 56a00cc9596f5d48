package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"expvar"
	"flag"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
)

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// captureLog returns the log of the rest of the test. Call it before goroutines that write to the log are started, because klog
// restores its settings without a lock.
func captureLog(t *testing.T) *syncBuffer {
	t.Helper()
	flags := flag.NewFlagSet("klog", flag.PanicOnError)
	klog.InitFlags(flags)
	previous := klog.CaptureState()
	t.Cleanup(previous.Restore)
	for _, name := range []string{"logtostderr", "alsologtostderr"} {
		if err := flags.Set(name, "false"); err != nil {
			t.Fatal(err)
		}
	}
	if err := flags.Set("stderrthreshold", "FATAL"); err != nil {
		t.Fatal(err)
	}
	out := &syncBuffer{}
	klog.SetOutput(out)
	return out
}

// counter returns the value of a key of an expvar map.
func counter(name, key string) int64 {
	counts, ok := expvar.Get(name).(*expvar.Map)
	if !ok {
		return 0
	}
	if n, ok := counts.Get(key).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// placerFunc is a Placer.
type placerFunc func(ctx context.Context, req admitter.Request) (*admitter.Grant, error)

func (f placerFunc) Acquire(ctx context.Context, req admitter.Request) (*admitter.Grant, error) {
	return f(ctx, req)
}

func (placerFunc) Checks(string) bool { return false }

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// Guards against a panic that closes the connection of a request without an answer and without a log line.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	log := captureLog(t)
	h := startTestHostWithPlacer(t, placerFunc(func(context.Context, admitter.Request) (*admitter.Grant, error) {
		panic("unexpected state")
	}))
	before := counter("gateway_unanswered", "panic")
	status, _, _, complete := h.send(t, postRequest("/order/", "k"))
	got := []any{
		status, complete, counter("gateway_unanswered", "panic") - before,
		strings.Contains(log.String(), "TestPanicIsAnsweredAndLogged"), strings.Contains(log.String(), `"gateway: request not answered" request="1" reason="panic" stage="read"`),
	}
	if diff := cmp.Diff([]any{500, true, int64(1), true, true}, got); diff != "" {
		t.Errorf("status, complete, count, stack and line in the log (-want +got):\n%s\n%s", diff, log)
	}
}

// Guards against a stream that is cut off without a log line at the default level that shows how far it had got.
func TestCutStreamIsLogged(t *testing.T) {
	log := captureLog(t)
	e := startFakeEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		return []string{streamHead(r), chunk("id: 1\ndata: a\n\n")}, true
	})
	h := startTestHost(t, e)
	before := counter("gateway_unanswered", "interrupted")
	status, _, _, complete := h.send(t, postRequest("/chat/", "k"))
	got := []any{status, complete}
	if diff := cmp.Diff([]any{200, false}, got); diff != "" {
		t.Errorf("status, complete (-want +got):\n%s", diff)
	}
	waitFor(t, "count", func() bool { return counter("gateway_unanswered", "interrupted") == before+1 })
	waitFor(t, "log line", func() bool {
		return strings.Contains(log.String(), `"gateway: request not answered" request="1" reason="interrupted" stage="streaming"`)
	})
}

// Guards against a response without "Connection: close" on a connection that is closed after it, because the idle timeout or a stop
// met the request: the caller sent its next request on that connection and lost it. This is so for requests that began before.
func TestResponseAnnouncesClose(t *testing.T) {
	for _, path := range []string{"/order/", "/chat/"} {
		running, proceed := make(chan struct{}), make(chan struct{})
		e := startFakeEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
			close(running)
			<-proceed
			return []string{response(r, http.StatusOK, signed, "id: 1\ndata: a\n\n")}, false
		})
		h := startTestHost(t, e)
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, postRequest(path, "k")); err != nil {
			t.Fatal(err)
		}
		<-running
		h.gateway.DrainConnections()
		close(proceed)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(r.Body); err != nil || string(body) != "id: 1\ndata: a\n\n" {
			t.Errorf("%s: body %q, %v", path, body, err)
		}
		if r.StatusCode != 200 || !r.Close {
			t.Errorf("%s: status %d, close announced %v, want 200 and true", path, r.StatusCode, r.Close)
		}
		_ = c.Close()
	}
}

// Guards against counting a request that its caller has abandoned as one that this host has not answered.
func TestAbandonedRequestIsCountedApart(t *testing.T) {
	log := captureLog(t)
	waiting := make(chan struct{})
	h := startTestHostWithPlacer(t, placerFunc(func(ctx context.Context, _ admitter.Request) (*admitter.Grant, error) {
		close(waiting)
		<-ctx.Done()
		return nil, ctx.Err()
	}))
	before := counter("gateway_abandoned", "read")
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, postRequest("/order/", "k")); err != nil {
		t.Fatal(err)
	}
	<-waiting
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "count of abandoned requests", func() bool { return counter("gateway_abandoned", "read") == before+1 })
	if strings.Contains(log.String(), "not answered") {
		t.Errorf("log of an abandoned request:\n%s", log)
	}
}
