package logwriter_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/logwriter"
)

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// Guards against a Write that blocks, and with it the requests that log, when the reader of the output stops reading.
func TestReaderStops(t *testing.T) {
	r, out := io.Pipe()
	defer func() { _ = r.Close() }()
	w := &logwriter.Writer{Output: out, LinesPerSecond: 1e6, BytesPerSecond: 1e9}
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 5000 {
			_, _ = w.Write([]byte("a line\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked for 10s")
	}
}

// Guards against dropping failures before low-priority lines when there are too many lines, and against dropping lines without a
// report of their number.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		w := &logwriter.Writer{Output: out, LinesPerSecond: 50, LowPriority: func(line []byte) bool { return bytes.HasPrefix(line, []byte("routine")) }}
		for range 10 {
			for range 100 {
				_, _ = w.Write([]byte("routine\n"))
			}
			for range 10 {
				_, _ = w.Write([]byte("failure\n"))
			}
			time.Sleep(time.Second)
		}
		_, _ = w.Write([]byte("last\n"))
		w.Close(time.Second)
		got := out.String()
		if n := strings.Count(got, "failure"); n != 100 {
			t.Errorf("%d failures are in the log, want 100", n)
		}
		if n := strings.Count(got, "routine\n"); n > 600 || n < 200 {
			t.Errorf("%d low-priority lines are in the log, want 200 to 600", n)
		}
		if !strings.Contains(got, "lines dropped budget=") {
			t.Error("the log does not report the number of dropped lines")
		}
	})
}
