package dragonflycroft

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/executor"
	"github.com/dragonflycroft/dragonflycroft/internal/localcontroller"
	"github.com/dragonflycroft/dragonflycroft/internal/participant"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// system is a complete system in one process: entry hosts and stand-in endpoints on loopback addresses.
type system struct {
	t        testing.TB
	cfg      *configurer.Config
	control  *localcontroller.Controller
	records  *standin.Records
	engines  []*standin.Engine
	services []*standin.Service
	nodes    []*testNode
	client   *http.Client
	// voters are the peer addresses of the control hosts by host id. If it is nil, the local controller is used.
	voters map[string]string
}

type testNode struct {
	*Node
	host        *localcontroller.Host
	participant *participant.Participant
	stop        context.CancelFunc
	ended       chan error
	url         string
}

func (n *testNode) waitReady() {
	for n.Unready() != "" {
		time.Sleep(time.Millisecond)
	}
}

func keyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newSystem starts engines, one plain service and entry hosts.
func newSystem(t testing.TB, nodes, engines int, speed emulator.Options) *system {
	t.Helper()
	s := &system{t: t, records: &standin.Records{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	s.cfg = &configurer.Config{
		Tiers: []configurer.Tier{
			{Name: "snappy", Order: 0, FirstTokenTargetMS: 740, TokenGapTargetMS: 46, Share: 0.6},
			{Name: "bulk", Order: 1, Share: 0.4},
		},
		Workspaces: []configurer.Workspace{
			{Name: "kessler", Callers: []configurer.Caller{{Name: "counter", KeySHA256: keyDigest("key-k"), Tiers: []string{"snappy", "bulk"}}}},
			{Name: "other", Callers: []configurer.Caller{{Name: "x", KeySHA256: keyDigest("key-o"), Tiers: []string{"bulk"}}}},
		},
		Pools: []configurer.Pool{
			{Name: "chat", Kind: configurer.KindModel, Models: []string{"m"}},
			{Name: "orders", Kind: configurer.KindService},
		},
		Services: []configurer.Service{{Name: "stock", Pool: "orders", Routes: []configurer.Route{
			{Method: "POST", Path: "/orders"},
			{Method: "POST", Path: "/charge", RequireKey: true},
			{Method: "GET", Path: "/items/*", Idempotent: true},
		}}},
	}
	for i := range engines {
		e := &standin.Engine{
			Name: fmt.Sprintf("runner-%d", i), ListenAddr: "127.0.0.1:0", Model: speed, Models: []string{"m"}, Records: s.records,
		}
		must(t, e.Start())
		t.Cleanup(func() { _ = e.Close() })
		s.engines = append(s.engines, e)
		s.cfg.Endpoints = append(s.cfg.Endpoints, configurer.Endpoint{Name: e.Name, Pool: "chat", Zone: "z1", Address: e.Addr(), Models: []string{"m"}})
	}
	service := &standin.Service{Name: "stock-0", ListenAddr: "127.0.0.1:0", Records: s.records}
	must(t, service.Start())
	t.Cleanup(func() { _ = service.Close() })
	s.services = append(s.services, service)
	s.cfg.Endpoints = append(s.cfg.Endpoints, configurer.Endpoint{Name: "stock-0", Pool: "orders", Zone: "z1", Address: service.Addr(), MaxConcurrent: 64})
	s.control = localcontroller.New(s.cfg)
	for i := range nodes {
		s.startNode(fmt.Sprintf("entry-%d", i))
	}
	return s
}

// newReplicatedSystem starts a system whose entry hosts all run the replicated control part.
func newReplicatedSystem(t testing.TB, nodes, engines int, speed emulator.Options) *system {
	t.Helper()
	s := newSystem(t, 0, engines, speed)
	s.voters = make(map[string]string)
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(t, err)
		s.voters[fmt.Sprintf("entry-%d", i)] = l.Addr().String()
		must(t, l.Close())
	}
	var first *participant.Participant
	for i := range nodes {
		n := s.launch(fmt.Sprintf("entry-%d", i))
		if i == 0 {
			first = n.participant
		}
	}
	document, err := configurer.Encode(s.cfg)
	must(t, err)
	patch := controller.Patch{ID: "first", Body: document, Author: "test"}
	for {
		if _, err = first.Client().PatchConfig(context.Background(), patch); err == nil {
			break
		}
		var unavailable *controller.UnavailableError
		if !errors.As(err, &unavailable) {
			t.Fatal(err)
		}
	}
	for _, n := range s.nodes {
		n.waitReady()
	}
	return s
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (s *system) startNode(id string) *testNode {
	s.t.Helper()
	n := s.launch(id)
	n.waitReady()
	return n
}

func (s *system) launch(id string) *testNode {
	s.t.Helper()
	n := &testNode{ended: make(chan error, 1)}
	n.Node = &Node{
		HostID: id, Zone: "z1", PeerAddr: "127.0.0.1:0", CallerAddr: "127.0.0.1:0", Key: []byte("shared key of the test"),
		Endpoint: connector.Timeouts{Connect: time.Second, FirstByte: 2 * time.Second, Gap: 2 * time.Second},
		Times:    executor.Timeouts{Linger: time.Minute},
		NewControl: func(t *transporter.Transport) (Control, error) {
			if s.voters != nil {
				n.participant = participant.New(t, participant.Options{
					HostID: id, Zone: "z1", Controllers: s.voters, DataDir: s.t.TempDir(), Bootstrap: true,
				})
				return n.participant, nil
			}
			n.host = s.control.Host(id, t.Addr())
			return n.host, nil
		},
	}
	if s.voters != nil {
		n.PeerAddr = s.voters[id]
	}
	must(s.t, n.Listen())
	n.url = "http://" + n.CallerAddress()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.ended <- n.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		n.Abort()
		<-n.ended
		n.ended <- nil
	})
	s.nodes = append(s.nodes, n)
	return n
}

func chatBody(prompt string, tokens int, stream bool) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": "m", "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
		"metadata": map[string]string{"standin_output_tokens": strconv.Itoa(tokens)},
	})
	return body
}

// reply is what a caller received.
type reply struct {
	status    int
	header    http.Header
	text      string
	outcome   string
	reason    string
	id        string
	indexes   []int
	truncated bool
}

func (s *system) request(ctx context.Context, method, url, key string, body []byte, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return s.client.Do(req)
}

// do sends a request and reads the whole reply.
func (s *system) do(method, url, key string, body []byte, header map[string]string) (*reply, error) {
	resp, err := s.request(context.Background(), method, url, key, body, header)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readReply(resp, -1)
}

// readReply reads a reply. If chunks >= 0, it stops after that many chunks of a stream.
func readReply(resp *http.Response, chunks int) (*reply, error) {
	r := &reply{
		status: resp.StatusCode, header: resp.Header,
		outcome: resp.Header.Get("X-Dragonflycroft-Outcome"), id: resp.Header.Get("X-Dragonflycroft-Request-Id"),
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return r, r.readStream(resp.Body, chunks)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	var wire struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Error struct {
			Outcome string `json:"outcome"`
			Reason  string `json:"reason"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &wire)
	r.text = string(data)
	if len(wire.Choices) > 0 {
		r.text = wire.Choices[0].Message.Content
	}
	r.reason = wire.Error.Reason
	return r, nil
}

func (r *reply) readStream(body io.Reader, chunks int) error {
	r.truncated = true
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	index := -1
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			index, _ = strconv.Atoi(id)
			continue
		}
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			index, _ = strconv.Atoi(id)
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		data = strings.TrimPrefix(data, " ")
		if data == "[DONE]" {
			r.truncated = false
			return nil
		}
		var wire struct {
			ID      string `json:"id"`
			Outcome string `json:"outcome"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error struct {
				Reason string `json:"reason"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &wire); err != nil {
			return err
		}
		if wire.ID != r.id {
			return fmt.Errorf("event of %q in the answer of %q", wire.ID, r.id)
		}
		if wire.Outcome != "" {
			r.outcome, r.reason = wire.Outcome, wire.Error.Reason
		}
		if len(wire.Choices) > 0 && index >= 0 {
			r.text += wire.Choices[0].Delta.Content
			r.indexes = append(r.indexes, index)
			index = -1
		}
		if chunks >= 0 && len(r.indexes) >= chunks {
			return nil
		}
	}
	if err := scanner.Err(); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return nil
}
