package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
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

// takeUp returns a request that goes on with a stream after its second event.
func takeUp(id, headers string) string {
	return "POST /resume/ HTTP/1.1\r\nHost: h\r\nX-Id: " + id + "\r\nAuthorization: Token k\r\nLast-Event-Id: 2\r\n" + headers +
		"Content-Length: 2\r\n\r\nhi"
}

// originFuncs are Origins whose pools have had one version each, and that call reported for each stream.
type originFuncs struct {
	sole     map[string]string
	reported func()
}

func (o originFuncs) ReportStreamAt(uint64, registrar.Origin, string) { o.reported() }

func (o originFuncs) StreamOrigin(_ context.Context, _ uint64, pool string) (registrar.Origin, bool) {
	version, known := o.sole[pool]
	return registrar.Origin{Pool: pool, Version: version, Joinable: true}, known
}

// Guards against a stream that goes on in one answer although the list has shown another version of the endpoint that began it, so that
// it is not known which version that was.
func TestListChangesDuringStream(t *testing.T) {
	first, other := startVersion(t, "e1", "v1", true), startVersion(t, "e3", "v1", false)
	h := startTestHost(t, first)
	h.gateway.Origins = originFuncs{reported: func() {
		first.version = "v2"
		h.setEndpoints([]*fakeEndpoint{first, other})
	}}
	_, _, body, complete := h.send(t, postRequest("/resume/", "k"))
	if diff := cmp.Diff([]any{event("1", "e1") + event("2", "e1"), false}, []any{body, complete}); diff != "" {
		t.Errorf("body, complete (-want +got):\n%s", diff)
	}
}

// Guards against a take-up without the name of a request that goes on at the version of some stream whose request had no ID.
func TestTakeUpOfStreamWithoutID(t *testing.T) {
	first := startVersion(t, "e1", "v1", false)
	h := startTestHost(t, first)
	h.send(t, "POST /resume/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\nContent-Length: 2\r\n\r\nhi")
	h.setEndpoints([]*fakeEndpoint{first, startVersion(t, "e3", "v2", false)})
	if status, _, body, _ := h.send(t, takeUp("2", "")); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, body %q, want 503", status, body)
	}
}

// Guards against a stream of unknown origin that goes on in a pool which may not be the one that began it.
func TestUnknownOriginOfSeveralPools(t *testing.T) {
	h := startTestHost(t, startVersion(t, "e1", "v2", false))
	h.gateway.Origins = originFuncs{sole: map[string]string{"p": "v2", "q": "v1"}, reported: func() {}}
	table := *h.index.Load().Table()
	table.Rules = append([]router.Rule(nil), table.Rules...)
	for i := range table.Rules {
		table.Rules[i].Targets = []router.Target{{Pool: "p", Weight: 1}, {Pool: "q", Weight: 1}}
	}
	table.Pools = []router.Pool{{Name: "p"}, {Name: "q"}}
	h.index.Store(router.NewIndex(&table))
	for i := range 8 {
		if status, _, body, _ := h.send(t, takeUp(strconv.Itoa(i), "Resumes: gone\r\n")); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, body %q, want 503", status, body)
		}
	}
}

// slowReplacement is a Placer that grants the first endpoint to new requests, and another one only after a delay.
type slowReplacement struct {
	*admitter.Admitter
	n atomic.Int64
}

func (*slowReplacement) Checks(string) bool { return false }

func (s *slowReplacement) Acquire(ctx context.Context, req admitter.Request) (*admitter.Grant, error) {
	if s.n.Add(1) > 1 {
		time.Sleep(250 * time.Millisecond)
	} else {
		req.Except = map[string]bool{"e2": true}
	}
	return s.Admitter.Acquire(ctx, req)
}

// Guards against a stream that is cut because it was bound to a version, by a comment, while an endpoint of another version was sought.
func TestBoundDuringSearch(t *testing.T) {
	first := startRawEndpoint(t, "e1", func(c net.Conn, r *http.Request) error {
		time.Sleep(1300 * time.Millisecond)
		if _, err := io.WriteString(c, streamHead(r)+chunk(": ping\n\n")); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
		_, err := io.WriteString(c, chunk("id: 1\ndata: b\n\n")+chunk(""))
		return err
	})
	first.version = "v1"
	h := startTestHost(t, first, startVersion(t, "e2", "v2", false))
	h.gateway.Placer = &slowReplacement{Admitter: h.admitter}
	_, _, body, complete := h.send(t, postRequest("/resume/", "k"))
	if diff := cmp.Diff([]any{": ping\n\n" + event("1", "b"), true}, []any{body, complete}); diff != "" {
		t.Errorf("body, complete (-want +got):\n%s", diff)
	}
}

// Guards against a place that stays taken after a panic during an exchange.
func TestPanicReleasesPlace(t *testing.T) {
	h := startTestHost(t, startVersion(t, "e1", "v1", false))
	h.gateway.Origins = originFuncs{reported: func() { panic("report") }}
	if status, _, _, _ := h.send(t, postRequest("/resume/", "k")); status != http.StatusInternalServerError {
		t.Errorf("status %d, want 500", status)
	}
	free, _ := h.admitter.Room(time.Now(), "p")
	if diff := cmp.Diff(4, free); diff != "" {
		t.Errorf("free places (-want +got):\n%s", diff)
	}
}
