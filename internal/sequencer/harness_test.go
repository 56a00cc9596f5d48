package sequencer_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

var errUnreachable = errors.New("host is unreachable")

const linkLatency = 500 * time.Microsecond

// fakeNetwork delivers RPCs in memory. A link can be blocked in one direction; RPCs over it then time out.
type fakeNetwork struct {
	mu           sync.Mutex
	transports   map[string]*fakeTransport
	blockedLinks map[[2]string]bool
	callCount    map[[2]string]int
}

type fakeTransport struct {
	network  *fakeNetwork
	id       string
	handlers map[string]transporter.Handler
	up       bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{transports: map[string]*fakeTransport{}, blockedLinks: map[[2]string]bool{}, callCount: map[[2]string]int{}}
}

func (n *fakeNetwork) attach(id string) *fakeTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := &fakeTransport{network: n, id: id, handlers: map[string]transporter.Handler{}, up: true}
	n.transports[id] = t
	return t
}

func (n *fakeNetwork) setLinkBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedLinks[[2]string{from, to}] = blocked
}

// setIsolated blocks or unblocks all links of a host. RPCs over blocked links time out without another error.
func (n *fakeNetwork) setIsolated(id string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.transports {
		n.blockedLinks[[2]string{id, other}], n.blockedLinks[[2]string{other, id}] = isolated, isolated
	}
}

func (n *fakeNetwork) linkBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedLinks[[2]string{from, to}]
}

func (t *fakeTransport) Handle(method string, h transporter.Handler) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.handlers[method] = h
}

func (t *fakeTransport) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	time.Sleep(linkLatency)
	t.network.mu.Lock()
	t.network.callCount[[2]string{t.id, addr}]++
	to, ok := t.network.transports[addr]
	var h transporter.Handler
	if ok && to.up && t.up {
		h = to.handlers[method]
	}
	t.network.mu.Unlock()
	if h == nil {
		return errUnreachable
	}
	if t.network.linkBlocked(t.id, addr) {
		<-ctx.Done()
		return ctx.Err()
	}
	response, err := h(ctx, transporter.Peer{HostID: t.id, Addr: t.id}, payload)
	if err != nil {
		return err
	}
	time.Sleep(linkLatency)
	if t.network.linkBlocked(addr, t.id) {
		<-ctx.Done()
		return ctx.Err()
	}
	return proto.Unmarshal(response, resp)
}

// countingMachine is a state machine that counts its commands and keeps the last one.
type countingMachine struct {
	mu    sync.Mutex
	count uint64
	last  string
}

func (m *countingMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	m.last = string(command)
	return fmt.Appendf(nil, "%d:%s", m.count, command)
}

func (m *countingMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append(binary.BigEndian.AppendUint64(nil, m.count), m.last...), nil
}

func (m *countingMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count, m.last = binary.BigEndian.Uint64(data), string(data[8:])
	return nil
}

func (m *countingMachine) get() (uint64, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.count, m.last
}

type host struct {
	*sequencer.Sequencer
	machine   *countingMachine
	transport *fakeTransport
	runErr    chan error
	cancel    context.CancelFunc
}

type cluster struct {
	t         *testing.T
	network   *fakeNetwork
	dir       string
	hosts     map[string]*host
	ids       []string
	configure func(*sequencer.Sequencer)
}

func newCluster(t *testing.T, dir string, n int, configure func(*sequencer.Sequencer)) *cluster {
	t.Helper()
	c := &cluster{t: t, network: newFakeNetwork(), dir: dir, hosts: map[string]*host{}, configure: configure}
	for i := range n {
		c.ids = append(c.ids, string(rune('a'+i)))
	}
	for _, id := range c.ids {
		c.start(id, true)
	}
	return c
}

func (c *cluster) start(id string, bootstrap bool) *host {
	h := &host{machine: &countingMachine{}, transport: c.network.attach(id), runErr: make(chan error, 1)}
	voters := map[string]string{}
	for _, v := range c.ids {
		voters[v] = v
	}
	h.Sequencer = &sequencer.Sequencer{
		HostID: id, DataDir: filepath.Join(c.dir, id), Voters: voters, Bootstrap: bootstrap,
		Transport: h.transport, StateMachine: h.machine, FileSystem: noSyncFS{persister.OS{}}, Seed: uint64(id[0]),
	}
	if c.configure != nil {
		c.configure(h.Sequencer)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.runErr <- h.Run(ctx) }()
	c.hosts[id] = h
	return h
}

// crash stops a host without a leadership transfer. Its data folder is kept.
func (c *cluster) crash(id string) {
	h := c.hosts[id]
	c.network.mu.Lock()
	h.transport.up = false
	c.network.mu.Unlock()
	h.cancel()
	if err := <-h.runErr; err != nil {
		c.t.Errorf("host %s: %v", id, err)
	}
	delete(c.hosts, id)
}

func (c *cluster) crashAll() {
	for _, id := range c.hostIDs() {
		c.crash(id)
	}
}

func (c *cluster) hostIDs() []string {
	var ids []string
	for id := range c.hosts {
		ids = append(ids, id)
	}
	return ids
}

// leader waits until a quorum confirms a host, other than the first of except, as leader, and returns it.
func (c *cluster) leader(except ...string) *host {
	c.t.Helper()
	for range 400 {
		for id, h := range c.hosts {
			if len(except) > 0 && id == except[0] {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _, err := h.ConfirmLeader(ctx)
			cancel()
			if err == nil {
				return h
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("no leader")
	return nil
}

// write proposes a command on the current leader and fails the test unless it is committed.
func (c *cluster) write(command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := c.leader().Propose(ctx, []byte(command)); err != nil {
		c.t.Fatalf("write %q: %v", command, err)
	}
}

// noSyncFS is a file system that skips syncs. They take time, and the tests simulate no power loss.
type noSyncFS struct{ persister.OS }

type noSyncFile struct{ persister.File }

func (noSyncFile) Sync() error { return nil }

func (f noSyncFS) OpenFile(name string, flag int) (persister.File, error) {
	file, err := f.OS.OpenFile(name, flag)
	return noSyncFile{file}, err
}

func (noSyncFS) SyncDir(string) error { return nil }
