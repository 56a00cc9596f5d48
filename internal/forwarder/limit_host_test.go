package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
)

const (
	// limitWindow is the length of the windows in which a limit must hold, with the factor limitFactor and limitSlack more requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNoticeTime is the time after the first statement of a limit from which it must hold.
	limitNoticeTime = 3 * time.Second
)

// limitedEndpoint records the arrivals of requests and states a limit while there is one.
type limitedEndpoint struct {
	limit    atomic.Pointer[string]
	mu       sync.Mutex
	arrivals []time.Time
}

func (e *limitedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, time.Now())
	e.mu.Unlock()
	w.Header().Set("X-Signature", "s")
	if limit := e.limit.Load(); limit != nil {
		w.Header().Set("X-Limit", *limit)
	}
	_, _ = io.WriteString(w, r.Header.Get("X-Workspace"))
}

// most returns the largest number of arrivals in a window from since on.
func (e *limitedEndpoint) most(since time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, first := range e.arrivals {
		n := 0
		for _, at := range e.arrivals[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		if !first.Before(since) {
			most = max(most, n)
		}
	}
	return most
}

// limitedEndpoints is a list of endpoints, the first of which is limited.
type limitedEndpoints []cataloguer.Entry

// Read implements cataloguer.Source.
func (s limitedEndpoints) Read(context.Context) ([]cataloguer.Entry, error) { return s, nil }

func startLimitedEndpoints(t *testing.T, limited *limitedEndpoint, others int) limitedEndpoints {
	t.Helper()
	var list limitedEndpoints
	for i := range others + 1 {
		handler := limited
		if i > 0 {
			handler = &limitedEndpoint{}
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: handler}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		list = append(list, cataloguer.Entry{ID: string(rune('a' + i)), Pool: "p", Addr: l.Addr().String(), Zone: "z", Slots: 4})
	}
	return list
}

// Guards against an endpoint that gets more requests than the limit that it states, summed over the hosts: each host sees only some
// of its answers. A lower limit applies as well, and a lifted one no longer. Uses real sockets.
func TestEndpointLimitOverAllHosts(t *testing.T) {
	const sendInterval = 25 * time.Millisecond
	controlAddr := freeAddr(t)
	e := &limitedEndpoint{}
	endpoints := startLimitedEndpoints(t, e, 1)
	c := startControl(t, controlAddr, endpoints)
	first, stopFirst := startHost(t, "h1", controlAddr, endpoints)
	defer stopFirst()
	importFirst(t, c, first)
	second, stopSecond := startHost(t, "h2", controlAddr, endpoints)
	defer stopSecond()
	waitForStatus(t, second, "k1", http.StatusOK, 10*time.Second)
	failed := 0
	// play states a limit, sends requests at both hosts and returns the largest number of arrivals in a window once the limit must hold.
	play := func(limit string) int {
		e.limit.Store(&limit)
		if limit == "" {
			e.limit.Store(nil)
		}
		began := time.Now()
		for n := 0; time.Since(began) < limitNoticeTime+limitWindow+time.Second; n++ {
			if status, _ := get(t, []string{first, second}[n%2], "k1"); status != http.StatusOK {
				failed++
			}
			time.Sleep(sendInterval)
		}
		return e.most(began.Add(limitNoticeTime))
	}
	got := map[string]bool{}
	for _, c := range []struct {
		text  string
		limit float64
	}{{"2.5", 2.5}, {"1", 1}} {
		most, allowed := play(c.text), int(limitFactor*c.limit*limitWindow.Seconds())+limitSlack
		t.Logf("limit %s: %d requests in a window, %d allowed", c.text, most, allowed)
		got["limit "+c.text+" holds"] = most <= allowed
	}
	lifted := play("")
	t.Logf("no limit: %d requests in a window", lifted)
	got["used again"], got["no failure"] = lifted >= 30, failed == 0
	want := map[string]bool{"limit 2.5 holds": true, "limit 1 holds": true, "used again": true, "no failure": true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
