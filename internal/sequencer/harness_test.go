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

var errCut = errors.New("no route")

const latency = 500 * time.Microsecond

// network delivers exchanges in memory; links can be cut one way, silently.
type network struct {
	mu    sync.Mutex
	ports map[string]*port
	cut   map[[2]string]bool
	calls map[[2]string]int
}

type port struct {
	net      *network
	id       string
	handlers map[string]transporter.Handler
	up       bool
}

func newNetwork() *network {
	return &network{ports: map[string]*port{}, cut: map[[2]string]bool{}, calls: map[[2]string]int{}}
}

func (n *network) attach(id string) *port {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := &port{net: n, id: id, handlers: map[string]transporter.Handler{}, up: true}
	n.ports[id] = p
	return p
}

func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// isolate cuts or restores all links of a host, without any error to either side.
func (n *network) isolate(id string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for other := range n.ports {
		n.cut[[2]string{id, other}], n.cut[[2]string{other, id}] = cut, cut
	}
}

func (n *network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

func (p *port) Handle(method string, h transporter.Handler) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.handlers[method] = h
}

func (p *port) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	time.Sleep(latency)
	p.net.mu.Lock()
	p.net.calls[[2]string{p.id, addr}]++
	to, ok := p.net.ports[addr]
	var h transporter.Handler
	if ok && to.up && p.up {
		h = to.handlers[method]
	}
	p.net.mu.Unlock()
	if h == nil {
		return errCut
	}
	if p.net.blocked(p.id, addr) {
		<-ctx.Done()
		return ctx.Err()
	}
	answer, err := h(ctx, transporter.Peer{HostID: p.id, Addr: p.id}, payload)
	if err != nil {
		return err
	}
	time.Sleep(latency)
	if p.net.blocked(addr, p.id) {
		<-ctx.Done()
		return ctx.Err()
	}
	return proto.Unmarshal(answer, resp)
}

// register is a state machine that counts and keeps its last command.
type register struct {
	mu    sync.Mutex
	count uint64
	last  string
}

func (r *register) Apply(_ uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	r.last = string(command)
	return fmt.Appendf(nil, "%d:%s", r.count, command)
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(binary.BigEndian.AppendUint64(nil, r.count), r.last...), nil
}

func (r *register) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count, r.last = binary.BigEndian.Uint64(data), string(data[8:])
	return nil
}

func (r *register) get() (uint64, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count, r.last
}

type host struct {
	*sequencer.Sequencer
	machine *register
	port    *port
	ended   chan error
	cancel  context.CancelFunc
}

type cluster struct {
	t     *testing.T
	net   *network
	dir   string
	hosts map[string]*host
	ids   []string
	tune  func(*sequencer.Sequencer)
}

func newCluster(t *testing.T, dir string, n int, tune func(*sequencer.Sequencer)) *cluster {
	t.Helper()
	c := &cluster{t: t, net: newNetwork(), dir: dir, hosts: map[string]*host{}, tune: tune}
	for i := range n {
		c.ids = append(c.ids, string(rune('a'+i)))
	}
	for _, id := range c.ids {
		c.start(id, true)
	}
	return c
}

func (c *cluster) start(id string, bootstrap bool) *host {
	h := &host{machine: &register{}, port: c.net.attach(id), ended: make(chan error, 1)}
	voters := map[string]string{}
	for _, v := range c.ids {
		voters[v] = v
	}
	h.Sequencer = &sequencer.Sequencer{
		HostID: id, DataDir: filepath.Join(c.dir, id), Voters: voters, Bootstrap: bootstrap,
		Transport: h.port, Machine: h.machine, Files: noSync{persister.OS{}}, Seed: uint64(id[0]),
	}
	if c.tune != nil {
		c.tune(h.Sequencer)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.ended <- h.Run(ctx) }()
	c.hosts[id] = h
	return h
}

// crash stops a host without a hand-over; what it wrote stays.
func (c *cluster) crash(id string) {
	h := c.hosts[id]
	c.net.mu.Lock()
	h.port.up = false
	c.net.mu.Unlock()
	h.cancel()
	if err := <-h.ended; err != nil {
		c.t.Errorf("host %s: %v", id, err)
	}
	delete(c.hosts, id)
}

func (c *cluster) stopAll() {
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

// leader waits for a host other than the excepted ones that a quorum confirms as leader.
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

// write proposes at the current leader until it is committed.
func (c *cluster) write(command string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := c.leader().Propose(ctx, []byte(command)); err != nil {
		c.t.Fatalf("write %q: %v", command, err)
	}
}

// noSync leaves out the sync of real files, which costs time and protects nothing in a test without power loss.
type noSync struct{ persister.OS }

type noSyncFile struct{ persister.File }

func (noSyncFile) Sync() error { return nil }

func (f noSync) OpenFile(name string, flag int) (persister.File, error) {
	file, err := f.OS.OpenFile(name, flag)
	return noSyncFile{file}, err
}

func (noSync) SyncDir(string) error { return nil }
