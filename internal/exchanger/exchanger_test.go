package exchanger

import (
	"bufio"
	"context"
	"errors"
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

// startServer answers each request with the bytes that respond returns. An empty string closes the connection.
func startServer(t *testing.T, respond func(conn, request int) string) (addr string, conns *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = &atomic.Int32{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for i := 1; ; i++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					text := respond(n, i)
					if text == "" {
						return
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), conns
}

func request() *Request {
	return &Request{Method: http.MethodPost, URI: "/a", Host: "h", Header: http.Header{"X-Id": {"7"}}, Body: []byte("hi"), EchoHeader: "X-Id"}
}

func do(t *testing.T, c *Client, addr string, req *Request) (string, error) {
	t.Helper()
	r, err := c.Do(t.Context(), addr, req)
	if err != nil {
		return "", err
	}
	defer r.Close()
	body, err := io.ReadAll(r.Body)
	if err == nil {
		r.MarkComplete()
	}
	return string(body), err
}

const completeResponse = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok"

// Guards against a wrong report of whether a byte may have reached the endpoint, which decides whether a request is sent again.
func TestSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusingAddr := listener.Addr().String()
	_ = listener.Close()
	closingAddr, _ := startServer(t, func(int, int) string { return "" })
	c := &Client{DialTimeout: time.Second}
	_, notSentErr := do(t, c, refusingAddr, request())
	_, interruptedErr := do(t, c, closingAddr, request())
	var interrupted *InterruptedError
	if MaybeSent(notSentErr) || !MaybeSent(interruptedErr) || !errors.As(interruptedErr, &interrupted) {
		t.Errorf("refused connect: sent %t; closed connection: sent %t (%v)", MaybeSent(notSentErr), MaybeSent(interruptedErr), interruptedErr)
	}
}

// Guards against reusing a connection on which anything unexpected has happened, so that the bytes of one response would be read
// as another response.
func TestReuse(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		conns    int32
	}{
		"whole":            {completeResponse, 1},
		"asked to close":   {"HTTP/1.1 200 OK\r\nX-Id: 7\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		"extra bytes":      {completeResponse + "extra", 3},
		"second answer":    {completeResponse + completeResponse, 3},
		"short idle time":  {"HTTP/1.1 200 OK\r\nX-Id: 7\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 3},
		"without a length": {"HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"after other ones": {strings.ReplaceAll(completeResponse, "X-Id: 7", "X-Id: 6") + completeResponse, 1},
		"after a continue": {"HTTP/1.1 100 Continue\r\n\r\n" + completeResponse, 1},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := startServer(t, func(int, int) string { return c.response })
			client := &Client{DialTimeout: time.Second}
			var bodies []string
			for range 3 {
				body, err := do(t, client, addr, request())
				if err != nil {
					t.Fatal(err)
				}
				bodies = append(bodies, body)
				time.Sleep(10 * time.Millisecond)
			}
			if diff := cmp.Diff([]any{[]string{"ok", "ok", "ok"}, c.conns}, []any{bodies, conns.Load()}); diff != "" {
				t.Errorf("bodies and connections (-want +got):\n%s", diff)
			}
			if err := client.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against sending a request that must not run twice over a connection that has been idle for longer than MaxIdleTime.
func TestMaxIdleOfReusedConnection(t *testing.T) {
	addr, conns := startServer(t, func(int, int) string { return completeResponse })
	c := &Client{DialTimeout: time.Second}
	for range 2 {
		req := request()
		req.MaxIdleTime = time.Millisecond
		if _, err := do(t, c, addr, req); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
}

// Guards against accepting a truncated response as complete, with either kind of framing.
func TestTruncatedResponse(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 9\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
				}
				_ = c.Close()
			}()
			if body, err := do(t, &Client{DialTimeout: time.Second}, l.Addr().String(), request()); err == nil {
				t.Errorf("truncated body %q was accepted as complete", body)
			}
		})
	}
}

// Guards against a connection that stays open after the context was canceled, so that the endpoint would keep working.
func TestCancel(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := (&Client{DialTimeout: time.Second}).Do(ctx, l.Addr().String(), request()); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want canceled", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection was not closed within 5s")
	}
}

// Guards against a head above the size of the buffer whose fields or body are lost, on the first response of a connection or a later one.
func TestLongHead(t *testing.T) {
	for size := 3 << 10; size < maxHeaderBytes; size *= 2 {
		addr, conns := startServer(t, func(_, n int) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Long: %s\r\nContent-Length: 6\r\n\r\nbody %d", strings.Repeat("x", size), n)
		})
		client := &Client{DialTimeout: time.Second}
		var got []string
		for range 3 {
			r, err := client.Do(t.Context(), addr, request())
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, fmt.Sprintf("%s %d", body, len(r.Header.Get("X-Long"))))
			r.MarkComplete()
			r.Close()
		}
		want := []string{fmt.Sprintf("body 1 %d", size), fmt.Sprintf("body 2 %d", size), fmt.Sprintf("body 3 %d", size)}
		if diff := cmp.Diff(want, got); diff != "" || conns.Load() != 1 {
			t.Errorf("bodies and lengths, %d connections (-want +got):\n%s", conns.Load(), diff)
		}
	}
}
