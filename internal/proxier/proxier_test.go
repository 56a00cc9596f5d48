package proxier_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier/proxierpb"
)

// memoryStream is one end of a stream in memory.
type memoryStream struct {
	in, out    chan []byte
	own, other *closer
}

// closer is the end of one direction of a stream.
type closer struct {
	once sync.Once
	done chan struct{}
}

func newCloser() *closer    { return &closer{done: make(chan struct{})} }
func (c *closer) closeNow() { c.once.Do(func() { close(c.done) }) }

// newStreams returns the two ends of a stream.
func newStreams() (a, b *memoryStream) {
	x, y, ca, cb := make(chan []byte, 64), make(chan []byte, 64), newCloser(), newCloser()
	return &memoryStream{in: x, out: y, own: ca, other: cb}, &memoryStream{in: y, out: x, own: cb, other: ca}
}

// Send implements proxier.Stream.
func (s *memoryStream) Send(m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	select {
	case <-s.own.done:
		return net.ErrClosed
	case <-s.other.done:
		return io.ErrClosedPipe
	case s.out <- raw:
		return nil
	}
}

// Recv implements proxier.Stream.
func (s *memoryStream) Recv(m proto.Message) error {
	select {
	case raw := <-s.in:
		return proto.Unmarshal(raw, m)
	default:
	}
	select {
	case raw := <-s.in:
		return proto.Unmarshal(raw, m)
	case <-s.own.done:
		return net.ErrClosed
	case <-s.other.done:
		return io.EOF
	}
}

// Close implements proxier.Stream.
func (s *memoryStream) Close() error {
	s.own.closeNow()
	return nil
}

// memoryNetwork connects a sender to the hosts that serve its streams.
type memoryNetwork map[string]func(s proxier.Stream)

// OpenStream implements proxier.Network.
func (n memoryNetwork) OpenStream(_ context.Context, addr, _ string) (proxier.Stream, error) {
	serve := n[addr]
	if serve == nil {
		return nil, syscall.ECONNREFUSED
	}
	a, b := newStreams()
	go func() {
		serve(b)
		_ = b.Close()
	}()
	return a, nil
}

// errCut is the error of each connection attempt of a host without paths.
var errCut = syscall.EHOSTUNREACH

func cutOff(context.Context, string) (net.Conn, error) { return nil, errCut }

// testHost is a sender with its endpoints. It has no path to them if dial fails.
func testHost(t *testing.T, endpoints []balancer.Endpoint, dial func(context.Context, string) (net.Conn, error), network memoryNetwork) *proxier.Sender {
	t.Helper()
	var peers []proxier.Peer
	for addr := range network {
		peers = append(peers, proxier.Peer{ID: addr, Zone: "z", Addr: addr})
	}
	client := &exchanger.Client{DialTimeout: 5 * time.Second, Dial: dial}
	s := &proxier.Sender{
		Zone: "z", Client: client, Network: network, Peers: func() []proxier.Peer { return peers },
		Endpoints: func() []balancer.Endpoint { return endpoints },
	}
	s.Init()
	t.Cleanup(func() {
		_ = s.Close()
		_ = client.Close()
	})
	return s
}

// serveFor returns a handler of streams for a host.
func serveFor(t *testing.T, s *proxier.Sender, endpoints []balancer.Endpoint, unavailable string, served *atomic.Int64) func(proxier.Stream) {
	server := &proxier.Server{
		Sender: s, Unavailable: func() string { return unavailable },
		Admit: func(id string) (balancer.Endpoint, bool) {
			for _, e := range endpoints {
				if e.ID == id {
					return e, true
				}
			}
			return balancer.Endpoint{}, false
		},
		Endpoint:   func(id string) (balancer.Endpoint, bool) { return endpoints[0], id == endpoints[0].ID },
		OnResponse: func(string, *exchanger.Response) { served.Add(1) },
	}
	return func(stream proxier.Stream) {
		if err := server.Serve(context.Background(), "cut", stream); err != nil {
			t.Logf("serve: %v", err)
		}
	}
}

// result is what the sender of a request learns.
type result struct {
	Status      int
	Body, Error string
	// Sent is true if the request may have run, and Blamed if the endpoint counts as unreachable.
	Sent, Blamed bool
}

func send(ctx context.Context, s *proxier.Sender, e balancer.Endpoint, body string) result {
	response, _, err := s.Do(ctx, e, &exchanger.Request{
		Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"X-Id": {"7"}}, Body: []byte(body), EchoHeader: "X-Id",
	}, "7")
	if err != nil {
		var noPeer *proxier.NoPeerError
		var unsent *exchanger.NotSentError
		return result{Error: "head", Sent: exchanger.MaybeSent(err), Blamed: errors.As(err, &unsent) && !errors.As(err, &noPeer)}
	}
	defer response.Close()
	out := result{Status: response.Status, Sent: true}
	raw, err := io.ReadAll(response.Body)
	if out.Body = string(raw); err != nil {
		out.Error = "body"
	} else {
		response.MarkComplete()
	}
	return out
}

// Guards against requests of a host without paths that are lost, run twice, or are told not to have run although they may have, by
// what the other hosts do. Each case has one other host, and a second one that serves if the first refuses.
func TestOtherHosts(t *testing.T) {
	for _, test := range []struct {
		name string
		// first is how the first other host serves; nil means like the second one.
		first func(t *testing.T, s proxier.Stream)
		// endpoint is how the endpoint answers.
		endpoint http.HandlerFunc
		// gone is true if the endpoint accepts no connections.
		gone       bool
		withSecond bool
		want       result
	}{
		{name: "served", want: result{Status: 200, Body: "ran hello", Sent: true}},
		{
			name: "endpoint fails", want: result{Status: 500, Body: "no\n", Sent: true},
			endpoint: func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusInternalServerError) },
		},
		{name: "endpoint gone", gone: true, want: result{Error: "head", Blamed: true}},
		{
			name: "endpoint breaks off before the head", want: result{Error: "head", Sent: true},
			endpoint: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		},
		{
			name: "endpoint breaks off the body", want: result{Status: 200, Body: "ran", Error: "body", Sent: true},
			endpoint: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "ran")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
		},
		{
			name: "host refuses", withSecond: true, want: result{Status: 200, Body: "ran hello", Sent: true},
			first: func(t *testing.T, s proxier.Stream) { receive(t, s, &proxierpb.Open{}) },
		},
		{
			name: "host of an earlier version", withSecond: true, want: result{Status: 200, Body: "ran hello", Sent: true},
			first: func(t *testing.T, s proxier.Stream) {
				receive(t, s, &proxierpb.Open{})
				_ = s.Send(&proxierpb.Opened{})
			},
		},
		{
			name: "host hangs", withSecond: true, want: result{Status: 200, Body: "ran hello", Sent: true},
			first: func(*testing.T, proxier.Stream) { time.Sleep(3 * time.Second) },
		},
		{
			name: "host loses its paths after it has accepted", withSecond: true, want: result{Status: 200, Body: "ran hello", Sent: true},
			first: func(t *testing.T, s proxier.Stream) {
				receive(t, s, &proxierpb.Open{})
				_ = s.Send(&proxierpb.Opened{Accepted: true})
				receive(t, s, &proxierpb.Request{})
				_ = s.Send(&proxierpb.Reply{Failure: &proxierpb.Failure{Reason: "no path", NoPath: true}})
			},
		},
		{
			name: "host dies with the request", withSecond: true, want: result{Error: "head", Sent: true},
			first: func(t *testing.T, s proxier.Stream) {
				receive(t, s, &proxierpb.Open{})
				_ = s.Send(&proxierpb.Opened{Accepted: true})
				receive(t, s, &proxierpb.Request{})
			},
		},
		{
			name: "host dies within the body", withSecond: true, want: result{Status: 200, Body: "par", Error: "body", Sent: true},
			first: func(t *testing.T, s proxier.Stream) {
				receive(t, s, &proxierpb.Open{})
				_ = s.Send(&proxierpb.Opened{Accepted: true})
				receive(t, s, &proxierpb.Request{})
				_ = s.Send(&proxierpb.Reply{Head: &proxierpb.Head{Status: 200, Length: 7, Framed: true}})
				_ = s.Send(&proxierpb.Reply{Data: []byte("par")})
			},
		},
		{name: "all hosts refuse", want: result{Error: "head"}, first: func(t *testing.T, s proxier.Stream) { receive(t, s, &proxierpb.Open{}) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if test.endpoint == nil {
				test.endpoint = func(w http.ResponseWriter, r *http.Request) {
					body, _ := io.ReadAll(r.Body)
					_, _ = fmt.Fprintf(w, "ran %s", body)
				}
			}
			server := httptest.NewUnstartedServer(test.endpoint)
			server.Config.ErrorLog = nil
			server.Start()
			defer server.Close()
			addr := strings.TrimPrefix(server.URL, "http://")
			endpoints := []balancer.Endpoint{{ID: "e1", Addr: addr, Pool: "p"}, {ID: "e2", Addr: addr, Pool: "p"}}
			if test.gone {
				endpoints[0].Addr = "127.0.0.1:1"
			}
			var served atomic.Int64
			sound := serveFor(t, testHost(t, endpoints, nil, nil), endpoints, "", &served)
			network := memoryNetwork{}
			var asked atomic.Int64
			network["h1"] = func(s proxier.Stream) {
				// The first stream is served by the first host, whichever address was chosen.
				if n := asked.Add(1); test.first == nil || test.withSecond && n > 1 {
					sound(s)
				} else {
					test.first(t, s)
				}
			}
			network["h2"] = network["h1"]
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if diff := cmp.Diff(test.want, send(ctx, testHost(t, endpoints, cutOff, network), endpoints[0], "hello")); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

func receive(t *testing.T, s proxier.Stream, m proto.Message) {
	t.Helper()
	if err := s.Recv(m); err != nil {
		t.Errorf("receive %T: %v", m, err)
	}
}

// Guards against an endpoint that works on for a caller who has left the host without paths, and against a connection that is
// kept open for it.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "id: 1\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * time.Millisecond)
		}
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	endpoints := []balancer.Endpoint{{ID: "e1", Addr: addr, Pool: "p"}, {ID: "e2", Addr: addr, Pool: "p"}}
	var served atomic.Int64
	network := memoryNetwork{"h": serveFor(t, testHost(t, endpoints, nil, nil), endpoints, "", &served)}
	ctx, cancel := context.WithCancel(t.Context())
	response, via, err := testHost(t, endpoints, cutOff, network).Do(ctx, endpoints[0], &exchanger.Request{Method: http.MethodGet, URI: "/", Host: "h"}, "7")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(response.Body, make([]byte, 20)); err != nil {
		t.Fatal(err)
	}
	cancel()
	response.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the endpoint still works on the request")
	}
	if diff := cmp.Diff([]any{"h", int64(1)}, []any{via, served.Load()}); diff != "" {
		t.Errorf("host and response heads (-want +got):\n%s", diff)
	}
}

// Guards against a failed endpoint that is taken for lost paths: its request must not go through another host while this one
// reaches the other endpoints.
func TestFailedEndpoint(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	endpoints := []balancer.Endpoint{{ID: "e1", Addr: "127.0.0.1:1", Pool: "p"}, {ID: "e2", Addr: addr, Pool: "p"}, {ID: "e3", Addr: addr, Pool: "p"}}
	network := memoryNetwork{"h": func(proxier.Stream) { t.Error("another host was asked") }}
	if diff := cmp.Diff(result{Error: "head", Blamed: true}, send(t.Context(), testHost(t, endpoints, nil, network), endpoints[0], "hello")); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}
