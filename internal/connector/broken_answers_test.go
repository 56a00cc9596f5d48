package connector_test

import (
	"bufio"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Each line of the file is a case: its name, the call ("service", "report" or "stream") and the size of its body, the bytes of the answer, how
// its connection ends, and what the call returns: the status and the body, or the cause of an error.
//
//go:embed testdata/broken_answers.txt
var brokenAnswers string

// answerOnce sends an answer to one request, and ends the connection: by the end of the stream ("fin") or by a "reset". The answer comes before the
// request is read if end begins with "early-".
func answerOnce(t *testing.T, answer, end string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			t.Error(err)
			return
		}
		how, early := strings.CutPrefix(end, "early-")
		if early {
			_, _ = io.WriteString(c, answer)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !early {
			_, _ = io.WriteString(c, answer)
		}
		// The answer and the end of the connection must arrive apart.
		time.Sleep(10 * time.Millisecond)
		if how == "reset" {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}()
	return l.Addr().String()
}

// play makes a call and returns the status and the body of its answer, or the cause of its error.
func play(t *testing.T, call, addr string, size int) string {
	t.Helper()
	upload := []byte(strings.Repeat("u", size))
	status, got := http.StatusOK, ""
	var err error
	switch call {
	case "service":
		var r *connector.Response
		r, err = connector.NewService("s", addr, timeouts()).Do(t.Context(), connector.Call{Method: http.MethodPost, Path: "/", Body: upload}, func() {})
		if err == nil {
			status, got = r.Status, string(r.Body)
		}
	case "report":
		var r connector.LoadReport
		r, err = connector.NewEngine("e", addr, timeouts()).Load(t.Context())
		got = fmt.Sprint(r.Running)
	case "stream":
		var s connector.Stream
		if s, err = connector.NewEngine("e", addr, timeouts()).Dispatch(t.Context(), connector.Call{RequestID: "r", Body: []byte(body)}, func() {}); err == nil {
			for chunk := (connector.Chunk{}); err == nil && !chunk.Last; got += chunk.Text {
				chunk, err = s.Next(t.Context())
			}
		}
	default:
		t.Fatalf("unknown call %q", call)
	}
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		return string(interrupted.Cause)
	}
	return fmt.Sprintf("%d %s", status, got)
}

// Guards against an answer that an endpoint has broken off, or that is not valid HTTP, and that is taken for a complete one.
func TestBrokenAnswers(t *testing.T) {
	for line := range strings.Lines(brokenAnswers) {
		if strings.TrimSpace(line) == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var name, call, end, answer, want string
		var size int
		if _, err := fmt.Sscanf(line, "%s %s %d %q %s %q", &name, &call, &size, &answer, &end, &want); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if diff := cmp.Diff(want, play(t, call, answerOnce(t, answer, end), size)); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}
