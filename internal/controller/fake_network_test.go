package controller_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// fakeNetwork is an in-memory network for tests with virtual time. RPCs from and to an isolated host time out.
type fakeNetwork struct {
	mu         sync.Mutex
	transports map[string]*fakeTransport
	isolated   map[string]bool
	// cut are the pairs of hosts between which RPCs time out.
	cut   map[[2]string]bool
	delay time.Duration
	// slow are additional delays of RPCs from and to single hosts.
	slow map[string]time.Duration
	// dropResponse, if set, reports whether to drop the response of an RPC whose handler has run.
	dropResponse func(from, to, method string) bool
	// handlersRunning waits for handlers, which may outlive the RPC that started them.
	handlersRunning sync.WaitGroup
}

type fakeTransport struct {
	network  *fakeNetwork
	id       string
	handlers map[string]transporter.Handler
	down     bool
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{transports: map[string]*fakeTransport{}, isolated: map[string]bool{}, cut: map[[2]string]bool{}, slow: map[string]time.Duration{}, delay: time.Millisecond}
}

func (n *fakeNetwork) attach(id string) *fakeTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := &fakeTransport{network: n, id: id, handlers: map[string]transporter.Handler{}}
	n.transports[id] = t
	return t
}

func (n *fakeNetwork) setIsolated(id string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

func (n *fakeNetwork) setDropResponse(dropResponse func(from, to, method string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropResponse = dropResponse
}

// dropsResponse reports whether the response of an RPC is dropped.
func (n *fakeNetwork) dropsResponse(from, to, method string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropResponse != nil && n.dropResponse(from, to, method)
}

func (n *fakeNetwork) connected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, to := n.transports[a], n.transports[b]
	if from == nil || to == nil || from.down || to.down {
		return false
	}
	return a == b || (!n.isolated[a] && !n.isolated[b] && !n.cut[[2]string{a, b}])
}

// setCut makes the RPCs between two hosts time out.
func (n *fakeNetwork) setCut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = true, true
}

// setSlow delays each message from and to a host.
func (n *fakeNetwork) setSlow(id string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[id] = delay
}

// latency returns the delay of a message between two hosts.
func (n *fakeNetwork) latency(a, b string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay + n.slow[a] + n.slow[b]
}

func (t *fakeTransport) Handle(method string, h transporter.Handler) { t.handlers[method] = h }

// Call performs an RPC. The address of a host is its id.
func (t *fakeTransport) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	n := t.network
	time.Sleep(n.latency(t.id, addr))
	if !n.connected(t.id, addr) {
		<-ctx.Done()
		return ctx.Err()
	}
	n.mu.Lock()
	h := n.transports[addr].handlers[method]
	n.mu.Unlock()
	if h == nil {
		return &transporter.RemoteError{Method: method, Code: transporter.CodeUnknownMethod}
	}
	type response struct {
		out []byte
		err error
	}
	responses := make(chan response, 1)
	n.handlersRunning.Go(func() {
		out, err := h(ctx, transporter.Peer{HostID: t.id, Addr: t.id}, payload)
		responses <- response{out, err}
	})
	select {
	case a := <-responses:
		time.Sleep(n.latency(t.id, addr))
		if !n.connected(t.id, addr) || n.dropsResponse(t.id, addr, method) {
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

// memoryLog is an in-memory replicated log. A replica without a majority commits and confirms nothing, and is notified that it
// is no longer the leader only once it is connected again.
type memoryLog struct {
	network *fakeNetwork

	mu             sync.Mutex
	entries        [][]byte
	replicas       map[string]*logReplica
	replicaIDs     []string
	leader         string
	term           uint64
	majorityLostAt time.Time
}

type logReplica struct {
	log      *memoryLog
	id       string
	machine  *controller.StateMachine
	applied  int
	seenTerm uint64
	onLeader func(term uint64, leader bool)
}

var errNoQuorum = errors.New("no quorum")

// electionTimeout is the time from the loss of a leader to the election of the next one.
const electionTimeout = time.Second

func newMemoryLog(n *fakeNetwork) *memoryLog {
	return &memoryLog{network: n, replicas: map[string]*logReplica{}}
}

func (l *memoryLog) addReplica(id string, m *controller.StateMachine) *logReplica {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &logReplica{log: l, id: id, machine: m}
	if l.replicas[id] == nil {
		l.replicaIDs = append(l.replicaIDs, id)
	}
	l.replicas[id] = r
	return r
}

// run elects a new leader whenever the current one has lost its majority, until ctx ends.
func (l *memoryLog) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.tick()
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (l *memoryLog) hasMajority(id string) bool {
	n := 0
	for _, other := range l.replicaIDs {
		if l.network.connected(id, other) {
			n++
		}
	}
	return 2*n > len(l.replicaIDs)
}

func (l *memoryLog) tick() {
	l.mu.Lock()
	healthy := l.leader != "" && l.hasMajority(l.leader)
	switch {
	case healthy:
		l.majorityLostAt = time.Time{}
	case l.majorityLostAt.IsZero():
		l.majorityLostAt = time.Now()
	case time.Since(l.majorityLostAt) >= electionTimeout || l.leader == "":
		l.leader = ""
		for _, id := range l.replicaIDs {
			if l.hasMajority(id) {
				l.leader = id
				l.term++
				l.majorityLostAt = time.Time{}
				break
			}
		}
	}
	type notification struct {
		fn     func(uint64, bool)
		term   uint64
		leader bool
	}
	var notifications []notification
	for _, id := range l.replicaIDs {
		r := l.replicas[id]
		if l.leader == "" || !l.network.connected(l.leader, id) {
			continue
		}
		l.catchUp(r)
		if r.seenTerm != l.term && r.onLeader != nil {
			r.seenTerm = l.term
			notifications = append(notifications, notification{r.onLeader, l.term, id == l.leader})
		}
	}
	l.mu.Unlock()
	for _, n := range notifications {
		n.fn(n.term, n.leader)
	}
}

func (l *memoryLog) catchUp(r *logReplica) {
	for r.applied < len(l.entries) {
		r.machine.Apply(uint64(r.applied+1), l.entries[r.applied])
		r.applied++
	}
}

func (r *logReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l := r.log
	time.Sleep(2 * l.network.delay)
	l.mu.Lock()
	if l.leader != r.id || r.seenTerm != l.term || !l.hasMajority(r.id) {
		deposed := r.seenTerm != l.term
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
	for _, id := range l.replicaIDs {
		if other := l.replicas[id]; other != r && l.network.connected(r.id, id) {
			l.catchUp(other)
		}
	}
	return result, nil
}

func (r *logReplica) ConfirmLeader(ctx context.Context) (uint64, uint64, error) {
	l := r.log
	time.Sleep(2 * l.network.delay)
	l.mu.Lock()
	if l.leader == r.id && r.seenTerm == l.term && l.hasMajority(r.id) {
		defer l.mu.Unlock()
		l.catchUp(r)
		return l.term, uint64(r.applied), nil
	}
	l.mu.Unlock()
	<-ctx.Done()
	return 0, 0, ctx.Err()
}

func (r *logReplica) Leader() (string, string, uint64) {
	l := r.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.seenTerm != l.term || !l.network.connected(r.id, l.leader) {
		return "", "", r.seenTerm
	}
	return l.leader, l.leader, l.term
}

func (r *logReplica) OnLeader(fn func(uint64, bool)) { r.onLeader = fn }

func (r *logReplica) AddLearner(context.Context, string, string) error { return nil }
func (r *logReplica) Promote(context.Context, string) error            { return nil }
func (r *logReplica) Remove(context.Context, string) error             { return errors.New("not a voter") }

func (r *logReplica) Status() (replicator.Status, uint64) { return replicator.Status{}, 0 }

// runUntilDone runs a component in the background until ctx ends, and fails the test if it returns an error.
func runUntilDone(ctx context.Context, t *testing.T, wg *sync.WaitGroup, fn func(context.Context) error) {
	wg.Go(func() {
		if err := fn(ctx); err != nil {
			t.Error(err)
		}
	})
}
