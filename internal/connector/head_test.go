package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// cutServer writes the response that respond returns for a request path and closes the connection.
func cutServer(t *testing.T, respond func(path string) string) string {
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
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					_, _ = io.WriteString(c, respond(r.URL.Path))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a response whose head is cut off at any byte and that is taken for complete, with an empty or short body.
func TestCutHead(t *testing.T) {
	for name, full := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nX-Status: fine\r\nContent-Length: 12\r\n\r\nhello, there",
		"length at last": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Status: fine\r\nContent-Length: 12\r\n\r\nhello, there",
		"chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, there\r\n0\r\n\r\n",
		"no length":      "HTTP/1.1 200 OK\r\nX-Status: fine\r\n\r\nhello, there",
		"not modified":   "HTTP/1.1 204 No Content\r\nX-Status: fine\r\n\r\n",
		"interim":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Status: fine\r\nContent-Length: 12\r\n\r\nhello, there",
	} {
		t.Run(name, func(t *testing.T) {
			head := strings.LastIndex(full, "X-Status")
			head = max(head, 0) + strings.Index(full[max(head, 0):], "\r\n\r\n") + len("\r\n\r\n")
			addr := cutServer(t, func(path string) string {
				n := 0
				_, _ = fmt.Sscanf(path, "/%d", &n)
				return full[:n]
			})
			service := connector.NewService("s", addr, timeouts())
			for n := range head {
				r, err := service.Do(context.Background(), connector.Call{Method: http.MethodPost, Path: fmt.Sprintf("/%d", n), Body: []byte("b")}, func() {})
				if err == nil {
					t.Errorf("head cut after %d of %d bytes (%q): status %d with %d bytes, want an error", n, head, full[:n], r.Status, len(r.Body))
				}
			}
			r, err := service.Do(context.Background(), connector.Call{Method: http.MethodPost, Path: fmt.Sprintf("/%d", len(full)), Body: []byte("b")}, func() {})
			if err != nil || r.Status/100 != 2 {
				t.Errorf("whole response: %+v, %v", r, err)
			}
		})
	}
}
