package forwarder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
	"github.com/dragonflycroft/dragonflycroft/internal/forwarder"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/participant"
	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

var key = []byte("a key of sixteen bytes or more")

// freeAddr returns an address to listen on. It has a loopback IP address of its own, because outgoing connections take any free port of
// 127.0.0.1 until the host under test listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(254), rand.N(256), 1+rand.N(254)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

type source struct{ addr string }

func (s source) Read(context.Context) ([]cataloguer.Entry, error) {
	return []cataloguer.Entry{{ID: "e", Pool: "p", Addr: s.addr, Zone: "z", Slots: 4}}, nil
}

// decode parses a router.Table in JSON.
func decode(document []byte) (*router.Table, error) {
	t := &router.Table{}
	if err := json.Unmarshal(document, t); err != nil {
		return nil, err
	}
	return t, t.Validate()
}

func document(t *testing.T, revision uint64, keys ...string) []byte {
	t.Helper()
	raw, err := json.Marshal(router.Table{
		Revision: revision,
		Rules: []router.Rule{{
			Name: "r", Host: "h", PathPrefix: "/a/", Kind: router.Idempotent, Timeout: time.Second, LatencyTarget: 500 * time.Millisecond,
			Attempts: 1, Targets: []router.Target{{Pool: "p", Weight: 1}},
		}},
		Pools: []router.Pool{{Name: "p"}}, Workspaces: []router.Workspace{{Name: "w", Keys: keys}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// startEndpoint starts an endpoint that answers every request with its signature and the name of the workspace.
func startEndpoint(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signature", "s")
		_, _ = io.WriteString(w, r.Header.Get("X-Workspace"))
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

type control struct {
	participant *participant.Participant
	// historyPath is the path of the file with the history of versions.
	historyPath string
	stop        func()
}

// startControl runs a control host that is the only voter of its cluster.
func startControl(t *testing.T, addr string, endpoints cataloguer.Source) *control {
	t.Helper()
	tr := &transporter.Transport{HostID: "c", Zone: "z", ListenAddr: addr, Key: key}
	if err := tr.Listen(); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	p := participant.New(tr, participant.Options{
		HostID: "c", Zone: "z", Controllers: map[string]string{"c": addr}, DataDir: dir, Bootstrap: true, Voters: 1,
	})
	p.Register()
	controlPart := &forwarder.Control{HostID: "c", Transport: tr, Participant: p, Decode: decode, Endpoints: endpoints, HistoryPath: filepath.Join(dir, "versions.json"), Bootstrap: true}
	controlPart.Register()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, run := range []func(context.Context) error{tr.Run, p.Run, controlPart.Run} {
		wg.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				t.Error(err)
			}
		})
	}
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			_ = tr.Close()
			wg.Wait()
		})
	}
	t.Cleanup(stop)
	return &control{participant: p, historyPath: controlPart.HistoryPath, stop: stop}
}

// waitForStatus repeats a request with an API key until the response has the status.
func waitForStatus(t *testing.T, addr, apiKey string, status int, within time.Duration) {
	t.Helper()
	last := 0
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if last, _ = get(t, addr, apiKey); last == status {
			return
		}
	}
	t.Fatalf("key %s: status %d after %v, want %d", apiKey, last, within, status)
}

func get(t *testing.T, addr, apiKey string) (int, string) {
	t.Helper()
	return getPath(t, addr, apiKey, "/a/x")
}

func getPath(t *testing.T, addr, apiKey, path string) (int, string) {
	t.Helper()
	return getWithParts(t, addr, apiKey, path, "")
}

func getWithParts(t *testing.T, addr, apiKey, path, parts string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Token "+apiKey)
	if parts != "" {
		req.Header.Set("X-Parts", parts)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

func newHost(id, peer, caller, ready, controlAddr string, endpoints cataloguer.Source) *forwarder.Host {
	return &forwarder.Host{
		HostID: id, Zone: "z", PeerAddr: peer, CallerAddr: caller, ReadyAddr: ready, ReadyPath: "/ready", Key: key,
		Controllers: map[string]string{"c": controlAddr}, Decode: decode, Endpoints: endpoints,
		Headers: gateway.Headers{
			RequestID: "X-Id", Deadline: "X-Deadline-Ms", Workspace: "X-Workspace", Instance: "X-Instance", NotRun: "X-Not-Run",
			Signature: "X-Signature", KeyScheme: "Token", PromptParts: "X-Parts", Limit: "X-Limit",
		},
		RetryLimit: ratelimiter.RetryLimit{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, GracePeriod: 2 * time.Second,
	}
}

// Checks an entry host on real sockets. It must answer 503 before it has a configuration, apply the newest revision and reject a
// removed key. It must stop serving when it can no longer confirm its configuration, because a key may have been removed since.
func TestHost(t *testing.T) {
	peer, caller, ready := freeAddr(t), freeAddr(t), freeAddr(t)
	controlAddr := freeAddr(t)
	endpoints := source{addr: startEndpoint(t)}
	c := startControl(t, controlAddr, endpoints)
	h := newHost("h1", peer, caller, ready, controlAddr, endpoints)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() {
		err := h.Run(ctx)
		stopped <- err
	}()
	waitForStatus(t, caller, "k1", http.StatusServiceUnavailable, 10*time.Second)
	submit := func(revision uint64, keys ...string) {
		t.Helper()
		importCtx, cancelImport := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancelImport()
		if _, err := c.participant.Client().ImportConfig(importCtx, revision, document(t, revision, keys...), "operator"); err != nil {
			t.Fatal(err)
		}
	}
	submit(3, "k1", "k2")
	waitForStatus(t, caller, "k1", http.StatusOK, 5*time.Second)
	submit(2, "k1", "k3")
	submit(5, "k1")
	waitForStatus(t, caller, "k2", http.StatusUnauthorized, 2*time.Second)
	status, body := get(t, caller, "k1")
	removedStatus, _ := get(t, caller, "k3")
	if diff := cmp.Diff([]any{200, "w", 401}, []any{status, body, removedStatus}); diff != "" {
		t.Errorf("responses under revision 5 (-want +got):\n%s", diff)
	}
	c.stop()
	waitForStatus(t, caller, "k1", http.StatusServiceUnavailable, 5*time.Second)
	resp, err := http.Get("http://" + ready + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a host without a confirmed configuration is ready: status %d", resp.StatusCode)
	}
	cancel()
	select {
	case err := <-stopped:
		if err != nil {
			t.Errorf("graceful shutdown returned %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the host did not stop within 10s")
	}
}

// Guards against a large configuration that does not reach hosts in time. A parent forwards it to many children, and an exchange
// that exceeds its timeout is restarted on the same link. Over 10 Mbit/s a child must be able to receive the document twice, as a
// push and with a confirmation, within half of the timeout.
func TestLargeConfigurationOnSlowLinks(t *testing.T) {
	const (
		bytesPerSecond = 10_000_000 / 8
		limit          = 400 * time.Millisecond
		rules          = 1449
	)
	addr := freeAddr(t)
	c := startControl(t, addr, source{addr: startEndpoint(t)})
	rng := rand.New(rand.NewPCG(1, 2))
	table := router.Table{Revision: 1, Pools: []router.Pool{{Name: "p"}}, Workspaces: []router.Workspace{{Name: "w", Keys: []string{"k"}}}}
	for range rules {
		table.Rules = append(table.Rules, router.Rule{
			Name: fmt.Sprintf("r-%07x", rng.Uint32()), Host: fmt.Sprintf("%x.example", rng.Uint32()),
			PathPrefix: fmt.Sprintf("/%08x/", rng.Uint32()), Kind: router.Idempotent, Timeout: time.Second, LatencyTarget: 500 * time.Millisecond,
			Attempts: 1, Targets: []router.Target{{Pool: "p", Weight: 1}},
		})
	}
	raw, err := json.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	ctx, done := context.WithTimeout(t.Context(), 10*time.Second)
	defer done()
	if _, err := c.participant.Client().ImportConfig(ctx, 1, raw, "operator"); err != nil {
		t.Fatal(err)
	}
	var sent []byte
	for ctx.Err() == nil && len(sent) == 0 {
		time.Sleep(20 * time.Millisecond)
		_, sent, _ = c.participant.Agent().ConfirmedConfig()
	}
	if maxBytes := int(bytesPerSecond * limit.Seconds() / 2 / 2); len(sent) == 0 || len(sent) > maxBytes {
		t.Errorf("a document of %d bytes is sent in %d bytes, want at most %d", len(raw), len(sent), maxBytes)
	}
}
