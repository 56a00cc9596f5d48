package observer_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/observer"
)

// Guards against an unbounded number of labels in a histogram, which would exhaust the memory of a small host.
func TestServe(t *testing.T) {
	h := observer.NewHistogram("test_latency_ms")
	for i := range 1000 {
		h.Observe("read", time.Duration(i+1)*time.Millisecond)
		h.Observe(strings.Repeat("x", i%200), time.Millisecond)
	}
	w := httptest.NewRecorder()
	observer.Serve(w, nil)
	body := w.Body.String()
	if !strings.Contains(body, `test_latency_ms_count{label="read"} 1000`) {
		t.Error("the count of a label is missing")
	}
	if n := strings.Count(body, "test_latency_ms_count"); n > 65 {
		t.Errorf("%d labels are served, want at most 65", n)
	}
}
