package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
)

// silence is longer than the times after which another endpoint is sought, for streams and for idempotent requests.
const silence = 1400 * time.Millisecond

// silentStream writes the first event of a stream, and the rest after a pause.
func silentStream(c net.Conn, r *http.Request) error {
	if _, err := io.WriteString(c, streamHead(r)+chunk("id: 1\ndata: a\n\n")); err != nil {
		return err
	}
	time.Sleep(silence)
	_, err := io.WriteString(c, chunk("id: 2\ndata: b\n\n")+chunk(""))
	return err
}

// silentAnswer writes a complete answer after a pause.
func silentAnswer(c net.Conn, r *http.Request) error {
	time.Sleep(silence)
	_, err := io.WriteString(c, response(r, http.StatusOK, signed, "done"))
	return err
}

// Guards against an answer that is cut because its endpoint is silent for a moment, while no other endpoint can take the request.
func TestSilentEndpointIsKeptWithoutAnother(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		respond    func(net.Conn, *http.Request) error
	}{
		"stream":     {"/resume/", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", silentStream},
		"idempotent": {"/read/", "done", silentAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startTestHost(t, startRawEndpoint(t, "e1", c.respond))
			status, _, body, complete := h.send(t, postRequest(c.path, "k"))
			if diff := cmp.Diff([]any{http.StatusOK, c.body, true}, []any{status, body, complete}); diff != "" {
				t.Errorf("status, body, complete (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a stream that is cut because its endpoint is silent for a moment, while the retry budget is used up: when many
// endpoints are silent at once, their streams together exceed it.
func TestSilentEndpointIsKeptWithoutBudget(t *testing.T) {
	t.Parallel()
	other := startFakeEndpoint(t, "e2", func(_ int, r *http.Request) ([]string, bool) {
		return []string{streamHead(r), chunk("id: 2\ndata: b\n\n"), chunk("")}, false
	})
	h := startTestHost(t, startRawEndpoint(t, "e1", silentStream), other)
	h.gateway.RetryLimit = ratelimiter.RetryLimit{Window: 10 * time.Second}
	status, _, body, complete := h.send(t, postRequest("/resume/", "k"))
	want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	if diff := cmp.Diff([]any{http.StatusOK, want, true}, []any{status, body, complete}); diff != "" {
		t.Errorf("status, body, complete (-want +got):\n%s", diff)
	}
}

// Guards against a stream that stays with a silent endpoint although another one could go on with it.
func TestSilentEndpointIsReplaced(t *testing.T) {
	t.Parallel()
	other := startFakeEndpoint(t, "e2", func(_ int, r *http.Request) ([]string, bool) {
		return []string{streamHead(r), chunk("id: 2\ndata: c\n\n"), chunk("")}, false
	})
	h := startTestHost(t, startRawEndpoint(t, "e1", silentStream), other)
	_, _, body, complete := h.send(t, postRequest("/resume/", "k"))
	if diff := cmp.Diff([]any{"id: 1\ndata: a\n\nid: 2\ndata: c\n\n", true}, []any{body, complete}); diff != "" {
		t.Errorf("body, complete (-want +got):\n%s", diff)
	}
}
