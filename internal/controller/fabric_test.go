package controller_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// fabric is an in-memory network on virtual time. A cut host exchanges nothing; its calls end at their deadline.
type fabric struct {
	mu    sync.Mutex
	hosts map[string]*endpoint
	cut   map[string]bool
	delay time.Duration
	// drop loses the answer of an exchange that has taken effect when it returns true.
	drop func(from, to, method string) bool
	// calls are the handlers in progress, which may outlive their caller.
	calls sync.WaitGroup
}

type endpoint struct {
	fabric   *fabric
	id       string
	handlers map[string]transporter.Handler
	down     bool
}

func newFabric() *fabric {
	return &fabric{hosts: map[string]*endpoint{}, cut: map[string]bool{}, delay: time.Millisecond}
}

func (f *fabric) host(id string) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &endpoint{fabric: f, id: id, handlers: map[string]transporter.Handler{}}
	f.hosts[id] = e
	return e
}

func (f *fabric) setCut(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id] = cut
}

func (f *fabric) setDrop(drop func(from, to, method string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drop = drop
}

// loses reports whether the answer of an exchange is lost.
func (f *fabric) loses(from, to, method string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drop != nil && f.drop(from, to, method)
}

func (f *fabric) connected(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	from, to := f.hosts[a], f.hosts[b]
	if from == nil || to == nil || from.down || to.down {
		return false
	}
	return a == b || (!f.cut[a] && !f.cut[b])
}

func (e *endpoint) Handle(method string, h transporter.Handler) { e.handlers[method] = h }

// Call performs an exchange; the address of a host is its id.
func (e *endpoint) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	f := e.fabric
	time.Sleep(f.delay)
	if !f.connected(e.id, addr) {
		<-ctx.Done()
		return ctx.Err()
	}
	f.mu.Lock()
	h := f.hosts[addr].handlers[method]
	f.mu.Unlock()
	if h == nil {
		return &transporter.RemoteError{Method: method, Code: transporter.CodeUnknownMethod}
	}
	type answer struct {
		out []byte
		err error
	}
	answered := make(chan answer, 1)
	f.calls.Go(func() {
		out, err := h(ctx, transporter.Peer{HostID: e.id, Addr: e.id}, payload)
		answered <- answer{out, err}
	})
	select {
	case a := <-answered:
		time.Sleep(f.delay)
		if !f.connected(e.id, addr) || f.loses(e.id, addr, method) {
			<-ctx.Done()
			return ctx.Err()
		}
		if a.err != nil {
			return &transporter.RemoteError{Method: method, Code: transporter.CodeInternal, Message: a.err.Error()}
		}
		return proto.Unmarshal(a.out, resp)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// memoryLog replicates commands in memory among replicas of one test. A replica without a majority commits and confirms
// nothing; it learns of its deposition only when it is connected again.
type memoryLog struct {
	fabric *fabric

	mu       sync.Mutex
	entries  [][]byte
	replicas map[string]*replica
	order    []string
	leader   string
	term     uint64
	lostAt   time.Time
}

type replica struct {
	log     *memoryLog
	id      string
	machine *controller.Machine
	applied int
	seen    uint64
	notify  func(term uint64, leader bool)
}

var errNoQuorum = errors.New("no quorum")

// electionTimeout is what the page states as the time to a new leader after a loss.
const electionTimeout = time.Second

func newMemoryLog(f *fabric) *memoryLog {
	return &memoryLog{fabric: f, replicas: map[string]*replica{}}
}

func (l *memoryLog) replica(id string, m *controller.Machine) *replica {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &replica{log: l, id: id, machine: m}
	if l.replicas[id] == nil {
		l.order = append(l.order, id)
	}
	l.replicas[id] = r
	return r
}

// run elects leaders until ctx ends.
func (l *memoryLog) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.tick()
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (l *memoryLog) majority(id string) bool {
	n := 0
	for _, other := range l.order {
		if l.fabric.connected(id, other) {
			n++
		}
	}
	return 2*n > len(l.order)
}

func (l *memoryLog) tick() {
	l.mu.Lock()
	healthy := l.leader != "" && l.majority(l.leader)
	switch {
	case healthy:
		l.lostAt = time.Time{}
	case l.lostAt.IsZero():
		l.lostAt = time.Now()
	case time.Since(l.lostAt) >= electionTimeout || l.leader == "":
		l.leader = ""
		for _, id := range l.order {
			if l.majority(id) {
				l.leader = id
				l.term++
				l.lostAt = time.Time{}
				break
			}
		}
	}
	type notice struct {
		fn     func(uint64, bool)
		term   uint64
		leader bool
	}
	var notices []notice
	for _, id := range l.order {
		r := l.replicas[id]
		if l.leader == "" || !l.fabric.connected(l.leader, id) {
			continue
		}
		l.catchUp(r)
		if r.seen != l.term && r.notify != nil {
			r.seen = l.term
			notices = append(notices, notice{r.notify, l.term, id == l.leader})
		}
	}
	l.mu.Unlock()
	for _, n := range notices {
		n.fn(n.term, n.leader)
	}
}

func (l *memoryLog) catchUp(r *replica) {
	for r.applied < len(l.entries) {
		r.machine.Apply(uint64(r.applied+1), l.entries[r.applied])
		r.applied++
	}
}

func (r *replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l := r.log
	time.Sleep(2 * l.fabric.delay)
	l.mu.Lock()
	if l.leader != r.id || r.seen != l.term || !l.majority(r.id) {
		deposed := r.seen != l.term
		l.mu.Unlock()
		if deposed {
			return nil, errNoQuorum
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer l.mu.Unlock()
	l.catchUp(r)
	l.entries = append(l.entries, command)
	result := r.machine.Apply(uint64(len(l.entries)), command)
	r.applied = len(l.entries)
	for _, id := range l.order {
		if other := l.replicas[id]; other != r && l.fabric.connected(r.id, id) {
			l.catchUp(other)
		}
	}
	return result, nil
}

func (r *replica) ConfirmLeader(ctx context.Context) (uint64, uint64, error) {
	l := r.log
	time.Sleep(2 * l.fabric.delay)
	l.mu.Lock()
	if l.leader == r.id && r.seen == l.term && l.majority(r.id) {
		defer l.mu.Unlock()
		l.catchUp(r)
		return l.term, uint64(r.applied), nil
	}
	l.mu.Unlock()
	<-ctx.Done()
	return 0, 0, ctx.Err()
}

func (r *replica) Leader() (string, string, uint64) {
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.seen != l.term || !l.fabric.connected(r.id, l.leader) {
		return "", "", r.seen
	}
	return l.leader, l.leader, l.term
}

func (r *replica) OnLeader(fn func(uint64, bool)) { r.notify = fn }

func (r *replica) AddLearner(context.Context, string, string) error { return nil }
func (r *replica) Promote(context.Context, string) error            { return nil }
func (r *replica) Remove(context.Context, string) error             { return errors.New("not a voter") }
func (r *replica) Members() journaler.Membership                    { return nil }

// run starts a part that ends with the test.
func run(ctx context.Context, t *testing.T, wg *sync.WaitGroup, fn func(context.Context) error) {
	wg.Go(func() {
		if err := fn(ctx); err != nil {
			t.Error(err)
		}
	})
}
