package gateway_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// startVersion starts an endpoint of a software version that writes a stream of three events, each with the name of the endpoint. The
// stream begins after the last event that the request names. Its first stream breaks off after two events if breaks is true.
func startVersion(t *testing.T, id, version string, breaks bool) *fakeEndpoint {
	t.Helper()
	e := startFakeEndpoint(t, id, func(n int, r *http.Request) ([]string, bool) {
		from := map[string]int{"": 0, "1": 1, "2": 2, "3": 3}[r.Header.Get("Last-Event-Id")]
		pieces := []string{streamHead(r)}
		for i := from; i < 3; i++ {
			pieces = append(pieces, chunk("id: "+string(rune('1'+i))+"\ndata: "+id+"\n\n"))
			if breaks && n == 0 && i == 1 {
				return pieces, true
			}
		}
		return append(pieces, chunk("")), false
	})
	e.version = version
	return e
}

func event(id, data string) string { return "id: " + id + "\ndata: " + data + "\n\n" }

// Guards against a stream that goes on, within one answer, at an endpoint of another software version than the one that began it, and
// against one that is cut although an endpoint of its version is there.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		others   [][2]string
		body     string
		complete bool
	}{
		"only another version": {[][2]string{{"e2", "v2"}}, event("1", "e1") + event("2", "e1"), false},
		"both versions":        {[][2]string{{"e2", "v2"}, {"e3", "v1"}}, event("1", "e1") + event("2", "e1") + event("3", "e3"), true},
	} {
		t.Run(name, func(t *testing.T) {
			endpoints := []*fakeEndpoint{startVersion(t, "e1", "v1", true)}
			for _, o := range c.others {
				endpoints = append(endpoints, startVersion(t, o[0], o[1], false))
			}
			_, _, body, complete := startTestHost(t, endpoints...).send(t, postRequest("/resume/", "k"))
			if diff := cmp.Diff([]any{c.body, c.complete}, []any{body, complete}); diff != "" {
				t.Errorf("body, complete (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a stream that a caller takes up again and that goes on at another software version than the one that began it, or
// whose version is not known, and against a take-up that is refused although an endpoint of its version is there.
func TestTakeUpAtItsVersion(t *testing.T) {
	for name, c := range map[string]struct {
		resumes string
		others  [][2]string
		status  int
		body    string
	}{
		"version there": {"Resumes: 1\r\n", [][2]string{{"e2", "v2"}, {"e3", "v1"}}, 200, event("3", "e3")},
		"version gone":  {"Resumes: 1\r\n", [][2]string{{"e2", "v2"}}, 503, ""},
		"not known":     {"Resumes: other\r\n", [][2]string{{"e2", "v2"}, {"e3", "v1"}}, 503, ""},
		"not named":     {"", [][2]string{{"e2", "v2"}, {"e3", "v1"}}, 503, ""},
	} {
		t.Run(name, func(t *testing.T) {
			first := startVersion(t, "e1", "v1", true)
			h := startTestHost(t, first)
			_, _, body, complete := h.send(t, postRequest("/resume/", "k"))
			if diff := cmp.Diff([]any{event("1", "e1") + event("2", "e1"), false}, []any{body, complete}); diff != "" {
				t.Fatalf("broken stream (-want +got):\n%s", diff)
			}
			var others []*fakeEndpoint
			for _, o := range c.others {
				others = append(others, startVersion(t, o[0], o[1], false))
			}
			h.setEndpoints(others)
			status, _, body, _ := h.send(t, "POST /resume/ HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nAuthorization: Token k\r\nLast-Event-Id: 2\r\n"+
				c.resumes+"Content-Length: 2\r\n\r\nhi")
			if c.status == http.StatusServiceUnavailable {
				body = ""
				for _, o := range others {
					if got := o.received(); len(got) != 0 {
						t.Errorf("endpoint %s received %q, want nothing", o.id, got)
					}
				}
			}
			if diff := cmp.Diff([]any{c.status, c.body}, []any{status, body}); diff != "" {
				t.Errorf("status, body (-want +got):\n%s", diff)
			}
		})
	}
}
