package forwarder_test

import (
	"bufio"
	"context"
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

	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
)

// restartDelay is the time after which a crashed test endpoint accepts connections again, under the same ID and address.
const restartDelay = 1500 * time.Millisecond

// crashingEndpoints is a set of endpoints that crash on a request for /a/fatal, or when they begin to answer one with
// the prompt part "dead".
type crashingEndpoints struct {
	entries []cataloguer.Entry
	crashes atomic.Int64
}

// Read implements cataloguer.Source.
func (s *crashingEndpoints) Read(context.Context) ([]cataloguer.Entry, error) { return s.entries, nil }

func startCrashingEndpoints(t *testing.T, ids ...string) *crashingEndpoints {
	t.Helper()
	s := &crashingEndpoints{}
	for _, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.entries = append(s.entries, cataloguer.Entry{ID: id, Pool: "p", Addr: l.Addr().String(), Zone: "z", Slots: 4})
		var closed atomic.Bool
		var open atomic.Pointer[net.Listener]
		open.Store(&l)
		t.Cleanup(func() {
			closed.Store(true)
			_ = (*open.Load()).Close()
		})
		go func() {
			for addr := l.Addr().String(); !closed.Load(); {
				s.serve(*open.Load())
				time.Sleep(restartDelay)
				if reopened, err := net.Listen("tcp", addr); err == nil {
					open.Store(&reopened)
				}
			}
		}()
	}
	return s
}

// serve answers requests until the endpoint crashes.
func (s *crashingEndpoints) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			for reader := bufio.NewReader(c); ; {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				hasPart := strings.Contains(r.Header.Get("X-Parts"), "dead:")
				if hasPart {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 1\r\n\r\n")
				}
				if strings.HasSuffix(r.URL.Path, "/fatal") || hasPart {
					s.crashes.Add(1)
					_ = l.Close()
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 1\r\n\r\nw")
			}
		}()
	}
}

// startHost runs an entry host until stop is called, which waits for its graceful shutdown.
func startHost(t *testing.T, id, controlAddr string, endpoints cataloguer.Source) (addr string, stop func()) {
	t.Helper()
	caller := freeAddr(t)
	h := newHost(id, freeAddr(t), caller, freeAddr(t), controlAddr, endpoints)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- h.Run(ctx) }()
	return caller, func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Errorf("graceful shutdown returned %v", err)
		}
	}
}

// importFirst submits the first configuration and waits until a host applies it.
func importFirst(t *testing.T, c *control, host string) {
	t.Helper()
	waitForStatus(t, host, "k1", http.StatusServiceUnavailable, 10*time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := c.participant.Client().ImportConfig(ctx, 1, document(t, 1, "k1"), "operator"); err != nil {
		t.Fatal(err)
	}
	waitForStatus(t, host, "k1", http.StatusOK, 5*time.Second)
}

// Guards against a request that crashes endpoints and is no longer quarantined on hosts that start later. The crashes that the
// first host has counted must reach the second host through the coordinator, even after the first has stopped. Uses real sockets.
func TestCrashingRequestAtHostThatStartsLater(t *testing.T) {
	controlAddr := freeAddr(t)
	endpoints := startCrashingEndpoints(t, "e1", "e2", "e3")
	c := startControl(t, controlAddr, endpoints)
	first, stopFirst := startHost(t, "h1", controlAddr, endpoints)
	importFirst(t, c, first)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if status, body := getPath(t, first, "k1", "/a/fatal"); status == http.StatusServiceUnavailable && body == "quarantine\n" {
			break
		}
	}
	got := []any{endpoints.crashes.Load()}
	time.Sleep(500 * time.Millisecond) // until the coordinator has received the crashes
	stopFirst()
	second, stopSecond := startHost(t, "h2", controlAddr, endpoints)
	defer stopSecond()
	waitForStatus(t, second, "k1", http.StatusOK, 10*time.Second)
	time.Sleep(time.Second) // until the host has joined its coordinator
	status, body := getPath(t, second, "k1", "/a/fatal")
	got = append(got, status, body, endpoints.crashes.Load())
	if diff := cmp.Diff([]any{int64(2), 503, "quarantine\n", int64(2)}, got); diff != "" {
		t.Errorf("crashes, response of the second host, crashes after that response (-want +got):\n%s", diff)
	}
}

// Guards against a prompt part that crashes endpoints at one entry host after the other: each host sees only a few of the requests
// with the part, and no two requests are alike. A host that starts later must refuse them at once, and requests with the same first
// part must be served. Uses real sockets.
func TestCrashingPromptPartAtAllHosts(t *testing.T) {
	controlAddr := freeAddr(t)
	endpoints := startCrashingEndpoints(t, "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8")
	c := startControl(t, controlAddr, endpoints)
	first, stopFirst := startHost(t, "h1", controlAddr, endpoints)
	importFirst(t, c, first)
	second, stopSecond := startHost(t, "h2", controlAddr, endpoints)
	defer stopSecond()
	waitForStatus(t, second, "k1", http.StatusOK, 10*time.Second)
	n := 0
	send := func(addr, part string) (int, string) {
		n++
		return getWithParts(t, addr, "k1", fmt.Sprintf("/a/%d", n), fmt.Sprintf("common:60,%s:500,own%d:9", part, n))
	}
	for range 4 {
		send(first, "usual")
		send(second, "usual")
	}
	for _, host := range []string{first, second, first, second, first, second} {
		if status, body := send(host, "dead"); status == http.StatusServiceUnavailable && body == "quarantine\n" {
			break
		}
		time.Sleep(500 * time.Millisecond) // until the other host has received the crash
	}
	got := []any{endpoints.crashes.Load() <= 3}
	stopFirst()
	third, stopThird := startHost(t, "h3", controlAddr, endpoints)
	defer stopThird()
	waitForStatus(t, third, "k1", http.StatusOK, 10*time.Second)
	time.Sleep(time.Second) // until the host has joined its coordinator
	before := endpoints.crashes.Load()
	for _, host := range []string{second, third} {
		status, body := send(host, "dead")
		soundStatus, _ := send(host, "usual")
		got = append(got, status, body, soundStatus)
	}
	got = append(got, endpoints.crashes.Load()-before)
	want := []any{true, 503, "quarantine\n", 200, 503, "quarantine\n", 200, int64(0)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("at most three crashes, responses of two hosts with and without the part, crashes after them (-want +got):\n%s", diff)
	}
}

// Guards against a request that crashes all endpoints of a pool at once and is not counted, because the hosts take the refused
// connections for lost paths of their own: it crashes them again whenever they are back. Uses real sockets.
func TestRequestThatCrashesAllEndpointsAtOnce(t *testing.T) {
	controlAddr := freeAddr(t)
	endpoints := startCrashingEndpoints(t, "e1", "e2", "e3")
	c := startControl(t, controlAddr, endpoints)
	first, stopFirst := startHost(t, "h1", controlAddr, endpoints)
	defer stopFirst()
	importFirst(t, c, first)
	second, stopSecond := startHost(t, "h2", controlAddr, endpoints)
	defer stopSecond()
	waitForStatus(t, second, "k1", http.StatusOK, 10*time.Second)
	time.Sleep(time.Second) // until the hosts know each other
	var crashes []int64
	for range 4 {
		before := endpoints.crashes.Load()
		var wave sync.WaitGroup
		for _, host := range []string{first, second} {
			for range 3 {
				wave.Go(func() { getPath(t, host, "k1", "/a/fatal") })
			}
		}
		wave.Wait()
		time.Sleep(restartDelay + 1500*time.Millisecond) // until the endpoints are back and the hosts use them
		crashes = append(crashes, endpoints.crashes.Load()-before)
	}
	if crashes[0] < 2 {
		t.Errorf("%d endpoints crashed in the first wave, want 2 or more", crashes[0])
	}
	if diff := cmp.Diff([]int64{0, 0, 0}, crashes[1:]); diff != "" {
		t.Errorf("crashes in the waves after the first (-want +got):\n%s", diff)
	}
	waitForStatus(t, first, "k1", http.StatusOK, 10*time.Second)
}
