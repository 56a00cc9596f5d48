// Package heartbeater implements the agent of a host. The agent sends heartbeats to the control leader and maintains the
// host's confirmed configuration, role leases and shed level.
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

// RPC methods between agents and the control leader.
const (
	MethodHeartbeat = "control.heartbeat"
	MethodWake      = "agent.wake"
)

const (
	// HeartbeatInterval is the time between the heartbeats of a host that holds a role or is directly under the leader.
	HeartbeatInterval = 250 * time.Millisecond
	// RelayedHeartbeatInterval is the time between the heartbeats of the other hosts, which confirm their configuration with
	// a parent of the relay tree.
	RelayedHeartbeatInterval = time.Second
	// ConfirmationTTL is how long a configuration counts as fresh after the leader has confirmed it.
	ConfirmationTTL = 3 * time.Second
	// HeartbeatTimeout bounds one heartbeat, so that after a timeout of the leader, two other control hosts can be tried
	// within a lease.
	HeartbeatTimeout = 300 * time.Millisecond
	// expiryInterval is the interval at which expired leases are detected and reported to callbacks; RoleValid is exact.
	expiryInterval = 25 * time.Millisecond
	// rejoinDelay is how long a process that was superseded by another process with the same host id sends no heartbeats.
	// Two processes that are misconfigured with one id would otherwise supersede each other at every heartbeat.
	rejoinDelay = 5 * time.Second
	// maxHeartbeatRequests bounds the queue of requests for an immediate heartbeat.
	maxHeartbeatRequests = 64
	// replacementTimeout bounds the wait of a leaving host until another one has taken its place as a voter.
	replacementTimeout = 1500 * time.Millisecond
	// replacementInterval is the time between heartbeats during that wait.
	replacementInterval = 20 * time.Millisecond
	// retryDelay is the delay before the next heartbeat when no control host has answered.
	retryDelay = 50 * time.Millisecond
)

// Metrics of the agent.
var (
	heartbeatCounts = expvar.NewMap("heartbeater_heartbeats")
	configVersion   = expvar.NewInt("heartbeater_config_version")
)

// Network sends and serves RPCs; *transporter.Transport implements it.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
	Handle(method string, h transporter.Handler)
}

// Agent is a host's client of the control leader. Set the exported fields before Run; the methods are safe for concurrent
// use. Callbacks run one after another on one goroutine and must not block for long.
type Agent struct {
	HostID string
	Zone   string
	// Addr is the address of the host's transport.
	Addr string
	// CallersAddr is the address of the host's listener for callers. It is informational.
	CallersAddr string
	// Control is true on hosts that hold the replicated log.
	Control bool
	// FolderIncarnation returns the incarnation of the data folder and whether it is open; it is nil on hosts without a data
	// folder.
	FolderIncarnation func() (incarnation uint64, open bool)
	Network           Network
	// Clock defaults to the clock of this machine.
	Clock *clocker.Clock
	// The configured addresses of the control hosts.
	ControlHosts []string

	mu          sync.Mutex
	nonce       uint64
	seq         uint64
	incarnation uint64
	joined      chan struct{}
	leader      string
	leaderAddr  string
	term        uint64
	rejoinAt    time.Time

	version uint64
	// leaderVersion is the highest version that the leader has named.
	leaderVersion uint64
	document      []byte
	config        *configurer.Config
	confirmedAt   time.Time
	// superseded holds the last confirmations of earlier versions that have not expired.
	superseded     []confirmation
	relayedAt      time.Time
	members        []marshaller.Member
	membersVersion uint64

	holders  map[string]marshaller.Assignment
	leases   *leaseholder.Leases
	draining bool
	leaving  bool
	// replacing is true while the leader replaces this leaving host as a voter.
	replacing bool
	shed      shedState

	subscribers       []func(uint64, *configurer.Config)
	onRole            []func(string, uint64, bool)
	onShed            []func(int, int, time.Duration)
	onMembers         []func([]marshaller.Member)
	callbacks         []func()
	callbackSignal    chan struct{}
	heartbeatRequests chan chan bool
	cancel            context.CancelFunc
	done              chan struct{}
	initOnce          sync.Once
}

func (a *Agent) init() {
	a.initOnce.Do(func() {
		a.nonce = rand.Uint64()
		a.joined = make(chan struct{})
		a.holders, a.leases = map[string]marshaller.Assignment{}, leaseholder.New()
		a.shed = newShedState()
		a.callbackSignal = make(chan struct{}, 1)
		a.heartbeatRequests = make(chan chan bool, maxHeartbeatRequests)
		a.done = make(chan struct{})
	})
}

// Register adds the agent's methods to the network. Call it before the network runs.
func (a *Agent) Register() {
	a.init()
	a.Network.Handle(MethodWake, func(context.Context, transporter.Peer, []byte) ([]byte, error) {
		a.RequestHeartbeat()
		return proto.Marshal(&controllerpb.WakeReply{})
	})
}

// RequestHeartbeat makes the agent send the next heartbeat without waiting for the interval. It does not block.
func (a *Agent) RequestHeartbeat() {
	a.init()
	select {
	case a.heartbeatRequests <- nil:
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
	wg.Go(func() { a.callbackLoop(ctx) })
	wg.Go(func() { a.leaseExpiryLoop(ctx) })
	a.heartbeatLoop(ctx)
	wg.Wait()
	a.mu.Lock()
	a.reportRoleChanges(a.leases.EndAll())
	a.mu.Unlock()
	a.runCallbacks()
	close(a.done)
	return nil
}

// Close stops the heartbeats, ends the roles still held and waits for Run to return.
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
		answered := a.sendHeartbeat(ctx)
		wait := a.interval() - a.Clock.Since(started)
		if !answered {
			wait = retryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(wait, 0)):
		case waiter := <-a.heartbeatRequests:
			a.serveHeartbeatRequests(ctx, waiter)
		}
	}
}

// serveHeartbeatRequests sends one heartbeat for all queued requests.
func (a *Agent) serveHeartbeatRequests(ctx context.Context, first chan bool) {
	waiters := []chan bool{first}
	for range len(a.heartbeatRequests) {
		waiters = append(waiters, <-a.heartbeatRequests)
	}
	answered := a.sendHeartbeat(ctx)
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
		return RelayedHeartbeatInterval
	}
	return HeartbeatInterval
}

// sendHeartbeat sends a heartbeat to the last known leader and, until one is answered, to the other control hosts in turn. It
// reports whether a leader answered.
func (a *Agent) sendHeartbeat(ctx context.Context) bool {
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
			ok, next := a.sendHeartbeatTo(ctx, addr)
			if ok {
				return true
			}
			addr = next
		}
	}
	return false
}

// sendHeartbeatTo reports whether the host answered as the leader. If it redirected, the address of the leader is returned.
func (a *Agent) sendHeartbeatTo(ctx context.Context, addr string) (bool, string) {
	ctx, cancel := context.WithTimeout(ctx, HeartbeatTimeout)
	defer cancel()
	req := a.newHeartbeat()
	resp := &controllerpb.HeartbeatReply{}
	sent := a.Clock.Now()
	if err := a.Network.Call(ctx, addr, MethodHeartbeat, req, resp); err != nil {
		heartbeatCounts.Add("failed", 1)
		klog.V(1).Infof("heartbeater: heartbeat failed addr=%s reason=%q", addr, err)
		a.clearLeader(addr)
		return false, ""
	}
	if r := resp.GetRedirect(); r != nil {
		heartbeatCounts.Add("redirected", 1)
		a.clearLeader(addr)
		return false, r.GetAddr()
	}
	heartbeatCounts.Add("answered", 1)
	a.applyReply(addr, sent, resp)
	return true, ""
}

// newHeartbeat returns the next heartbeat, with the next sequence number.
func (a *Agent) newHeartbeat() *controllerpb.Heartbeat {
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
		hb.IntervalMs = RelayedHeartbeatInterval.Milliseconds()
	}
	for role, l := range a.leases.Held() {
		if now.Before(l.Until) {
			hb.Held = append(hb.Held, &controllerpb.HeldRole{Role: role, Epoch: l.Epoch})
		}
	}
	for role, epoch := range a.leases.Ended() {
		hb.Released = append(hb.Released, &controllerpb.HeldRole{Role: role, Epoch: epoch})
	}
	if a.FolderIncarnation != nil {
		if incarnation, open := a.FolderIncarnation(); open {
			hb.Folder = &controllerpb.LogFolder{Incarnation: incarnation}
		}
	}
	hb.Reports = a.shed.reports(now, a.leases.Held())
	return hb
}

// applyReply applies the leader's reply to a heartbeat that was sent at the given time.
func (a *Agent) applyReply(addr string, sent time.Time, r *controllerpb.HeartbeatReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.GetTerm() < a.term {
		klog.Warningf("heartbeater: ignored heartbeat reply from an earlier term term=%d current=%d", r.GetTerm(), a.term)
		return
	}
	if r.GetSuperseded() {
		klog.Errorf("heartbeater: superseded by another process with the same host id host=%s incarnation=%d", a.HostID, a.incarnation)
		a.reportRoleChanges(a.leases.EndAll())
		a.nonce, a.incarnation, a.rejoinAt = rand.Uint64(), 0, a.Clock.Now().Add(rejoinDelay)
		return
	}
	a.term, a.leader, a.leaderAddr, a.replacing = r.GetTerm(), r.GetLeader(), addr, r.GetReplacing()
	if a.incarnation != r.GetIncarnation() && r.GetIncarnation() != 0 {
		first := a.incarnation == 0
		a.incarnation = r.GetIncarnation()
		if first {
			a.closeJoined()
		}
	}
	a.applyMembers(r)
	a.leaderVersion = max(a.leaderVersion, r.GetConfigVersion())
	a.applyConfig(r.GetConfigVersion(), r.GetDocument(), sent)
	// The shed level is applied before the roles, so that a new holder starts with the less urgent tiers closed.
	a.applyShedLevel(sent, r)
	a.applyRoles(sent, r)
}

func (a *Agent) closeJoined() {
	select {
	case <-a.joined:
	default:
		close(a.joined)
	}
}

func (a *Agent) applyMembers(r *controllerpb.HeartbeatReply) {
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
		m := marshaller.MemberFromProto(p)
		byHost[m.Host] = m
		if m.Removed {
			delete(byHost, m.Host)
		}
	}
	a.membersVersion = r.GetMembersVersion()
	a.members = slices.SortedFunc(maps.Values(byHost), func(x, y marshaller.Member) int { return strings.Compare(x.Host, y.Host) })
	members := a.members
	for _, fn := range a.onMembers {
		a.enqueueCallback(func() { fn(members) })
	}
}

// Joined returns a channel that is closed once the leader has assigned an incarnation to this process.
func (a *Agent) Joined() <-chan struct{} {
	a.init()
	return a.joined
}

// Incarnation returns the incarnation of this process, which is unique among the processes of its host, or 0 before the
// leader has assigned one.
func (a *Agent) Incarnation() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation
}

// Owner returns the identifier of this process in the ledger and in request ids, HOST.INCARNATION.
func (a *Agent) Owner() string { return marshaller.Owner(a.HostID, a.Incarnation()) }

// Members returns the live members, sorted by host. The caller must not modify the list.
func (a *Agent) Members() []marshaller.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.members
}

// OnMembers registers a callback for each new list of members.
func (a *Agent) OnMembers(fn func([]marshaller.Member)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onMembers = append(a.onMembers, fn)
}

// Leader returns the host id and address of the last known control leader.
func (a *Agent) Leader() (id, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader, a.leaderAddr
}

// enqueueCallback queues a callback. The caller must hold a.mu.
func (a *Agent) enqueueCallback(fn func()) {
	a.callbacks = append(a.callbacks, fn)
	select {
	case a.callbackSignal <- struct{}{}:
	default:
	}
}

func (a *Agent) callbackLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.callbackSignal:
			a.runCallbacks()
		}
	}
}

func (a *Agent) runCallbacks() {
	for {
		a.mu.Lock()
		if len(a.callbacks) == 0 {
			a.mu.Unlock()
			return
		}
		fn := a.callbacks[0]
		a.callbacks = a.callbacks[1:]
		a.mu.Unlock()
		fn()
	}
}
