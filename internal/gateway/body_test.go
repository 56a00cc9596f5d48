package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// pipeListener accepts connections in memory, for tests in virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against closing the connection without a response if the body of a request does not come in time, also while the host
// stops.
func TestLateBodyIsRefused(t *testing.T) {
	for _, drain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			table := &router.Table{Revision: 1, Pools: []router.Pool{{Name: "p"}}, Rules: []router.Rule{{
				Name: "r", Host: "h", PathPrefix: "/", Kind: router.NonIdempotent, Timeout: time.Minute, LatencyTarget: time.Minute, Attempts: 1,
				Targets: []router.Target{{Pool: "p", Weight: 1}},
			}}}
			index := router.NewIndex(table)
			l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
			g := &gateway.Gateway{
				Listener: l, Headers: testHeaders, Table: func() (*router.Index, bool) { return index, true },
				Admitter: admitter.New(balancer.New("z")), Client: &exchanger.Client{DialTimeout: time.Second},
			}
			g.Init()
			ran := make(chan error, 1)
			go func() { ran <- g.Run(t.Context()) }()
			caller, host := net.Pipe()
			l.conns <- host
			if _, err := io.WriteString(caller, strings.TrimSuffix(postRequest("/", ""), "i")); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if drain {
				g.DrainConnections()
			}
			r, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			if r.StatusCode != http.StatusRequestTimeout || !r.Close {
				t.Errorf("status %d, close announced %v, want 408 and true", r.StatusCode, r.Close)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Error(err)
			}
			_ = caller.Close()
			if err := g.Close(t.Context()); err != nil {
				t.Error(err)
			}
			if err := <-ran; err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a request that still waits for an endpoint when the grace period of a stop ends: its connection was closed without a
// response.
func TestQueuedRequestIsRefusedAtTheEndOfAStop(t *testing.T) {
	waiting := make(chan struct{})
	h := startTestHostWithPlacer(t, placerFunc(func(ctx context.Context, _ admitter.Request) (*admitter.Grant, error) {
		close(waiting)
		<-ctx.Done()
		return nil, ctx.Err()
	}))
	status := make(chan int, 1)
	go func() {
		got, _, _, _ := h.send(t, postRequest("/order/", "k"))
		status <- got
	}()
	<-waiting
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := h.gateway.Close(ctx); err != nil {
		t.Error(err)
	}
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got)
	}
}

// Guards against a request that is sent on to an endpoint and whose connection is then closed without a response, because the idle limit
// closes connections while requests arrive on them. The responses are larger than the write buffer, so that they are complete at the
// caller before the handler returns.
func TestIdleLimitBetweenRequests(t *testing.T) {
	large := strings.Repeat("x", 64<<10)
	e := startFakeEndpoint(t, "e1", func(_ int, r *http.Request) ([]string, bool) {
		return []string{response(r, http.StatusOK, signed, large)}, false
	})
	h := startTestHost(t, e)
	stop := make(chan struct{})
	var sweeping, calling sync.WaitGroup
	sweeping.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				h.gateway.CloseIdleConnections()
				time.Sleep(100 * time.Microsecond)
			}
		}
	})
	var mu sync.Mutex
	answered := map[string]bool{}
	for caller := range 4 {
		calling.Go(func() {
			var c net.Conn
			var reader *bufio.Reader
			for n := range 200 {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", h.addr); err != nil {
						t.Error(err)
						return
					}
					reader = bufio.NewReader(c)
				}
				id := strconv.Itoa(caller*1000 + n)
				_, err := io.WriteString(c, strings.Replace(postRequest("/order/", "k"), "X-Id: 1\r\n", "X-Id: "+id+"\r\n", 1))
				if err == nil {
					var r *http.Response
					if r, err = http.ReadResponse(reader, nil); err == nil {
						_, err = io.Copy(io.Discard, r.Body)
						if err == nil && r.Close {
							_ = c.Close()
							c = nil
						}
					}
				}
				mu.Lock()
				answered[id] = err == nil
				mu.Unlock()
				if err != nil {
					_ = c.Close()
					c = nil
				}
			}
			if c != nil {
				_ = c.Close()
			}
		})
	}
	calling.Wait()
	close(stop)
	sweeping.Wait()
	if len(e.received()) == 0 {
		t.Error("no request was sent on")
	}
	for _, line := range e.received() {
		_, rest, _ := strings.Cut(line, "id=")
		if id, _, _ := strings.Cut(rest, " "); !answered[id] {
			t.Errorf("request %s was sent on and not answered", id)
		}
	}
	lost := 0
	for _, ok := range answered {
		if !ok {
			lost++
		}
	}
	t.Logf("%d requests, %d sent on, %d crossed a close", len(answered), len(e.received()), lost)
}
