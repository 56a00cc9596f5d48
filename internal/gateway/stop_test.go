package gateway_test

import (
	"bufio"
	"context"
	_ "embed"
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

//go:embed testdata/stops.txt
var stops string

// Guards against a request that arrives late in the grace period of a stop and is sent on to an endpoint although it cannot be finished:
// at the end of the period, its connection was closed without a response.
func TestLateRequestInStop(t *testing.T) {
	const gracePeriod = 1200 * time.Millisecond
	for line := range strings.Lines(stops) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var path, work, arrival string
		var status, reached int
		if _, err := fmt.Sscan(line, &path, &work, &arrival, &status, &reached); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		t.Run(strings.Trim(path, "/")+"-"+work+"-"+arrival, func(t *testing.T) {
			t.Parallel()
			var ran atomic.Int32
			e := startFakeEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
				ran.Add(1)
				time.Sleep(duration(t, work))
				if path == "/chat/" {
					return []string{streamHead(r), chunk("id: 1\ndata: a\n\n"), "0\r\n\r\n"}, false
				}
				return []string{response(r, 200, signed, "done")}, false
			})
			h := startTestHost(t, e)
			// The host learns how long responses take.
			for range 4 {
				if got, _, _, _ := h.send(t, postRequest(path, "k")); got != 200 {
					t.Fatalf("status %d before the stop", got)
				}
			}
			ran.Store(0)
			c, err := net.Dial("tcp", h.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			raw := postRequest(path, "k")
			if _, err := io.WriteString(c, raw[:len(raw)-1]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), gracePeriod)
			defer cancel()
			h.gateway.Drain(time.Now().Add(gracePeriod))
			stopped := make(chan error, 1)
			go func() { stopped <- h.gateway.Close(ctx) }()
			time.Sleep(duration(t, arrival))
			if _, err := io.WriteString(c, raw[len(raw)-1:]); err != nil {
				t.Fatal(err)
			}
			got := 0
			if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					got = r.StatusCode
				}
			}
			if diff := cmp.Diff([]int{status, reached}, []int{got, int(ran.Load())}); diff != "" {
				t.Errorf("status, 0 without a response, and requests at the endpoint (-want +got):\n%s", diff)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a connection that is closed without a response at the end of a stop, while the endpoint is still at work on a request.
// The status must promise nothing, and the request must not be sent again. A stream that has begun can only be cut.
func TestRequestInProgressAtTheEndOfAStop(t *testing.T) {
	for path, want := range map[string][]any{
		"/order/": {502, true, 1},
		"/read/":  {502, true, 1},
		"/chat/":  {200, false, 1},
	} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			var ran atomic.Int32
			began := make(chan struct{}, 4)
			e := startRawEndpoint(t, "e1", func(c net.Conn, r *http.Request) error {
				ran.Add(1)
				if path == "/chat/" {
					if _, err := io.WriteString(c, streamHead(r)+chunk("id: 1\ndata: a\n\n")); err != nil {
						return err
					}
				}
				began <- struct{}{}
				time.Sleep(1800 * time.Millisecond)
				return io.EOF
			})
			h := startTestHost(t, e)
			got := make(chan []any, 1)
			go func() {
				status, _, _, complete := h.send(t, postRequest(path, "k"))
				got <- []any{status, complete, int(ran.Load())}
			}()
			<-began
			time.Sleep(20 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
			defer cancel()
			if err := h.gateway.Close(ctx); err != nil {
				t.Error(err)
			}
			if diff := cmp.Diff(want, <-got); diff != "" {
				t.Errorf("status, complete response and requests at the endpoint (-want +got):\n%s", diff)
			}
		})
	}
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
