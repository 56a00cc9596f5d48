package participant_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const linkLatency = 500 * time.Microsecond

var errRefused = errors.New("connection refused")

// fakeNetwork delivers RPCs in memory. The address of a host is its id.
type fakeNetwork struct {
	mu    sync.Mutex
	hosts map[string]*fakeTransport
	// isolated hosts are up, but RPCs from and to them hang.
	isolated map[string]bool
	// stalled hosts answer no messages of the log.
	stalled  map[string]bool
	handlers sync.WaitGroup
}

type fakeTransport struct {
	network *fakeNetwork
	id      string
	methods map[string]transporter.Handler
	down    bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{hosts: map[string]*fakeTransport{}, isolated: map[string]bool{}, stalled: map[string]bool{}}
}

func (n *fakeNetwork) attach(id string) *fakeTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := &fakeTransport{network: n, id: id, methods: map[string]transporter.Handler{}}
	n.hosts[id] = t
	return t
}

func (n *fakeNetwork) setIsolated(id string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

func (n *fakeNetwork) setStalled(id string, stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled[id] = stalled
}

// Addr implements participant.Network.
func (t *fakeTransport) Addr() string { return t.id }

// Handle implements participant.Network.
func (t *fakeTransport) Handle(method string, h transporter.Handler) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.methods[method] = h
}

// turnOff makes all RPCs from and to the host fail.
func (t *fakeTransport) turnOff() {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.down = true
}

// find returns the handler of a method, an error if a host is down, or neither if a host is isolated.
func (t *fakeTransport) find(addr, method string) (transporter.Handler, error) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	to := t.network.hosts[addr]
	switch {
	case t.down || to == nil || to.down:
		return nil, errRefused
	case addr != t.id && (t.network.isolated[t.id] || t.network.isolated[addr]):
		return nil, nil
	case t.network.stalled[addr] && strings.HasPrefix(method, "sequencer."):
		return nil, nil
	case to.methods[method] == nil:
		return nil, &transporter.RemoteError{Method: method, Code: transporter.CodeUnknownMethod}
	}
	return to.methods[method], nil
}

// Call implements participant.Network.
func (t *fakeTransport) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	time.Sleep(linkLatency)
	handler, err := t.find(addr, method)
	if err != nil {
		return err
	}
	if handler == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	type response struct {
		payload []byte
		err     error
	}
	responses := make(chan response, 1)
	t.network.handlers.Go(func() {
		payload, err := handler(ctx, transporter.Peer{HostID: t.id, Addr: t.id}, payload)
		responses <- response{payload, err}
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case r := <-responses:
		time.Sleep(linkLatency)
		switch handler, err := t.find(addr, method); {
		case err != nil:
			return err
		case handler == nil:
			<-ctx.Done()
			return ctx.Err()
		case r.err != nil:
			return &transporter.RemoteError{Method: method, Code: transporter.CodeInternal, Message: r.err.Error()}
		}
		return proto.Unmarshal(r.payload, resp)
	}
}
