// Package heartbeater runs the agent of a host: heartbeats to the control leader, the confirmed configuration, role leases
// and the shed level.
package heartbeater

import (
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/leaseholder"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Methods of the exchanges between agents and the control leader.
const (
	MethodHeartbeat = "control.heartbeat"
	MethodWake      = "agent.wake"
)

const (
	// HeartbeatInterval is the time between the heartbeats of a host that holds a role or is directly under the leader.
	HeartbeatInterval = 250 * time.Millisecond
	// RelayedInterval is the time between the heartbeats of other hosts, which confirm their configuration with a parent.
	RelayedInterval = time.Second
	// FreshFor is how long a confirmed configuration stays in use without another confirmation.
	FreshFor = 3 * time.Second
	// ExchangeTimeout bounds one heartbeat, so that a silent leader leaves time to ask two others within a lease.
	ExchangeTimeout = 300 * time.Millisecond
	// expiryInterval is how often lapsed leases are reported; RoleValid itself is exact.
	expiryInterval = 25 * time.Millisecond
	// rejoinDelay is the pause of a process whose host id another process has taken, so that two processes with one id by
	// mistake do not replace each other at every heartbeat.
	rejoinDelay = 5 * time.Second
	// maxWakes bounds the requests for a heartbeat that wait.
	maxWakes = 64
	// retryDelay is the pause after all control hosts have failed to answer.
	retryDelay = 50 * time.Millisecond
)

// Metrics of the agent.
var (
	countBeats    = expvar.NewMap("heartbeater_heartbeats")
	configVersion = expvar.NewInt("heartbeater_config_version")
)

// Network carries exchanges; *transporter.Transport implements it.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
	Handle(method string, h transporter.Handler)
}

// Agent represents a host towards the control leader. Set the exported fields before Run; the methods are safe for
// concurrent use. Callbacks run one after another on one goroutine and must not block for long.
type Agent struct {
	HostID string
	Zone   string
	// Addr is the address of the host's transport.
	Addr string
	// CallersAddr is the address of the host's callers' listener, for information.
	CallersAddr string
	// Control is true on hosts that hold the replicated log.
	Control bool
	// Folder returns the identity of the data folder once it is open; it is nil on hosts without one.
	Folder  func() (incarnation uint64, open bool)
	Network Network
	// Clock is that of this machine unless it is set.
	Clock *clocker.Clock
	// Controllers are the addresses of the control hosts from the settings.
	Controllers []string

	mu          sync.Mutex
	nonce       uint64
	seq         uint64
	incarnation uint64
	joined      chan struct{}
	leader      string
	leaderAddr  string
	term        uint64
	rejoinAt    time.Time

	version        uint64
	document       []byte
	config         *configurer.Config
	confirmedAt    time.Time
	relayedAt      time.Time
	members        []marshaller.Member
	membersVersion uint64

	holders  map[string]marshaller.Assignment
	leases   *leaseholder.Leases
	draining bool
	leaving  bool
	shed     shedState

	subscribers []func(uint64, *configurer.Config)
	onRole      []func(string, uint64, bool)
	onShed      []func(int, int, time.Duration)
	onMembers   []func([]marshaller.Member)
	calls       []func()
	pending     chan struct{}
	wake        chan chan bool
	cancel      context.CancelFunc
	done        chan struct{}
	initOnce    sync.Once
}

func (a *Agent) init() {
	a.initOnce.Do(func() {
		a.nonce = rand.Uint64()
		a.joined = make(chan struct{})
		a.holders, a.leases = map[string]marshaller.Assignment{}, leaseholder.New()
		a.shed = newShedState()
		a.pending = make(chan struct{}, 1)
		a.wake = make(chan chan bool, maxWakes)
		a.done = make(chan struct{})
	})
}

// Register adds the agent's methods to the network. Call it before the network runs.
func (a *Agent) Register() {
	a.init()
	a.Network.Handle(MethodWake, func(context.Context, transporter.Peer, []byte) ([]byte, error) {
		a.Wake()
		return proto.Marshal(&controllerpb.WakeReply{})
	})
}

// Wake sends the next heartbeat at once.
func (a *Agent) Wake() {
	a.init()
	select {
	case a.wake <- nil:
	default:
	}
}

// Run sends heartbeats until ctx ends or Close is called.
func (a *Agent) Run(ctx context.Context) error {
	a.init()
	ctx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	a.cancel = cancel
	a.mu.Unlock()
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { a.deliver(ctx) })
	wg.Go(func() { a.expireLoop(ctx) })
	a.heartbeatLoop(ctx)
	wg.Wait()
	a.mu.Lock()
	a.report(a.leases.EndAll())
	a.mu.Unlock()
	a.runCalls()
	close(a.done)
	return nil
}

// Close stops the heartbeats and waits; roles still held end at once.
func (a *Agent) Close() error {
	a.init()
	a.mu.Lock()
	cancel := a.cancel
	a.mu.Unlock()
	if cancel != nil {
		cancel()
		<-a.done
	}
	return nil
}

func (a *Agent) heartbeatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		started := a.Clock.Now()
		answered := a.beat(ctx)
		wait := a.interval() - a.Clock.Since(started)
		if !answered {
			wait = retryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(wait, 0)):
		case waiter := <-a.wake:
			a.answerWakes(ctx, waiter)
		}
	}
}

// answerWakes sends one heartbeat for all requests that are waiting.
func (a *Agent) answerWakes(ctx context.Context, first chan bool) {
	waiters := []chan bool{first}
	for range len(a.wake) {
		waiters = append(waiters, <-a.wake)
	}
	answered := a.beat(ctx)
	for _, w := range waiters {
		if w != nil {
			w <- answered
		}
	}
}

func (a *Agent) interval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.relayed(a.Clock.Now()) && len(a.leases.Held()) == 0 {
		return RelayedInterval
	}
	return HeartbeatInterval
}

// beat sends one heartbeat to the leader, or to the next control host when it does not answer.
func (a *Agent) beat(ctx context.Context) bool {
	a.mu.Lock()
	paused := a.Clock.Now().Before(a.rejoinAt)
	a.mu.Unlock()
	if paused {
		return false
	}
	tried := map[string]bool{}
	for _, addr := range a.targets() {
		for addr != "" && !tried[addr] && ctx.Err() == nil {
			tried[addr] = true
			ok, next := a.exchange(ctx, addr)
			if ok {
				return true
			}
			addr = next
		}
	}
	return false
}

// exchange returns true when the leader answered, and otherwise the address of the leader if the host named one.
func (a *Agent) exchange(ctx context.Context, addr string) (bool, string) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	req := a.heartbeat()
	resp := &controllerpb.HeartbeatReply{}
	sent := a.Clock.Now()
	if err := a.Network.Call(ctx, addr, MethodHeartbeat, req, resp); err != nil {
		countBeats.Add("failed", 1)
		klog.V(1).Infof("heartbeater: no answer addr=%s reason=%q", addr, err)
		a.forgetLeader(addr)
		return false, ""
	}
	if r := resp.GetRedirect(); r != nil {
		countBeats.Add("redirected", 1)
		a.forgetLeader(addr)
		return false, r.GetAddr()
	}
	countBeats.Add("answered", 1)
	a.accept(addr, sent, resp)
	return true, ""
}

// heartbeat builds the next heartbeat.
func (a *Agent) heartbeat() *controllerpb.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.seq++
	hb := &controllerpb.Heartbeat{
		Host: a.HostID, Nonce: a.nonce, Incarnation: a.incarnation, Zone: a.Zone, Addr: a.Addr, CallersAddr: a.CallersAddr,
		Control: a.Control, Seq: a.seq, ConfigVersion: a.version, Draining: a.draining, Leaving: a.leaving,
		MembersVersion: a.membersVersion, Relayed: a.relayed(now), IntervalMs: HeartbeatInterval.Milliseconds(),
	}
	if hb.Relayed && len(a.leases.Held()) == 0 {
		hb.IntervalMs = RelayedInterval.Milliseconds()
	}
	for role, l := range a.leases.Held() {
		if now.Before(l.Until) {
			hb.Held = append(hb.Held, &controllerpb.HeldRole{Role: role, Epoch: l.Epoch})
		}
	}
	for role, epoch := range a.leases.Ended() {
		hb.Released = append(hb.Released, &controllerpb.HeldRole{Role: role, Epoch: epoch})
	}
	if a.Folder != nil {
		if incarnation, open := a.Folder(); open {
			hb.Folder = &controllerpb.LogFolder{Incarnation: incarnation}
		}
	}
	hb.Reports = a.shed.reports(now, a.leases.Held())
	return hb
}

// accept applies the leader's answer to a heartbeat sent at a time.
func (a *Agent) accept(addr string, sent time.Time, r *controllerpb.HeartbeatReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.GetTerm() < a.term {
		klog.Warningf("heartbeater: dropped answer of an old leader term=%d current=%d", r.GetTerm(), a.term)
		return
	}
	if r.GetSuperseded() {
		klog.Errorf("heartbeater: another process runs under this host id host=%s incarnation=%d", a.HostID, a.incarnation)
		a.report(a.leases.EndAll())
		a.nonce, a.incarnation, a.rejoinAt = rand.Uint64(), 0, a.Clock.Now().Add(rejoinDelay)
		return
	}
	a.term, a.leader, a.leaderAddr = r.GetTerm(), r.GetLeader(), addr
	if a.incarnation != r.GetIncarnation() && r.GetIncarnation() != 0 {
		first := a.incarnation == 0
		a.incarnation = r.GetIncarnation()
		if first {
			a.closeJoined()
		}
	}
	a.acceptMembers(r)
	a.acceptConfig(r.GetConfigVersion(), r.GetDocument(), sent)
	// The shed level comes first, so that a new holder starts with the lower tiers closed.
	a.acceptShed(sent, r)
	a.acceptRoles(sent, r)
}

func (a *Agent) closeJoined() {
	select {
	case <-a.joined:
	default:
		close(a.joined)
	}
}

func (a *Agent) acceptMembers(r *controllerpb.HeartbeatReply) {
	if r.GetMembersVersion() == a.membersVersion {
		return
	}
	byHost := make(map[string]marshaller.Member, len(a.members)+len(r.GetMembers()))
	if !r.GetMembersFull() {
		for _, m := range a.members {
			byHost[m.Host] = m
		}
	}
	for _, p := range r.GetMembers() {
		m := marshaller.MemberOf(p)
		byHost[m.Host] = m
		if m.Removed {
			delete(byHost, m.Host)
		}
	}
	a.membersVersion = r.GetMembersVersion()
	a.members = slices.SortedFunc(maps.Values(byHost), func(x, y marshaller.Member) int { return strings.Compare(x.Host, y.Host) })
	members := a.members
	for _, fn := range a.onMembers {
		a.enqueue(func() { fn(members) })
	}
}

// Joined is closed once the leader has given this process an incarnation.
func (a *Agent) Joined() <-chan struct{} {
	a.init()
	return a.joined
}

// Incarnation returns the number of this process among the processes of its host, or 0 before the first answer.
func (a *Agent) Incarnation() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation
}

// Owner returns the name of this process in the ledger and in request ids, HOST.INCARNATION.
func (a *Agent) Owner() string { return marshaller.Owner(a.HostID, a.Incarnation()) }

// Members returns the live members, sorted by host.
func (a *Agent) Members() []marshaller.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members
}

// OnMembers registers a function that is called with each new list of members.
func (a *Agent) OnMembers(fn func([]marshaller.Member)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onMembers = append(a.onMembers, fn)
}

// Leader returns the control leader's host id and address as last heard.
func (a *Agent) Leader() (id, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader, a.leaderAddr
}

// enqueue adds a callback; the caller holds the lock.
func (a *Agent) enqueue(fn func()) {
	a.calls = append(a.calls, fn)
	select {
	case a.pending <- struct{}{}:
	default:
	}
}

func (a *Agent) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.pending:
			a.runCalls()
		}
	}
}

func (a *Agent) runCalls() {
	for {
		a.mu.Lock()
		if len(a.calls) == 0 {
			a.mu.Unlock()
			return
		}
		fn := a.calls[0]
		a.calls = a.calls[1:]
		a.mu.Unlock()
		fn()
	}
}
