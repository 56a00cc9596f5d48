package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor/distributorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// RPC methods of the relay tree.
const (
	MethodPush    = "distributor.push"
	MethodConfirm = "distributor.confirm"
)

const (
	// ConfirmInterval is the time between confirmation requests to the parent. Three levels of the tree add up to about 1.3 s,
	// within the 3 s for which a confirmation is valid.
	ConfirmInterval = 500 * time.Millisecond
	requestTimeout  = 400 * time.Millisecond
)

// ConfigStore holds the confirmed configuration of a host; *heartbeater.Agent implements it.
type ConfigStore interface {
	ConfirmedConfig() (version uint64, document []byte, at time.Time)
	ApplyRelayedConfig(version uint64, document []byte, confirmedAt time.Time)
	Subscribe(fn func(version uint64, cfg *configurer.Config))
	Members() []marshaller.Member
	Leader() (id, addr string)
}

// Relay forwards the configuration from a host's parent in the relay tree to its children. Set the exported fields before
// Register.
type Relay struct {
	HostID  string
	Network heartbeater.Network
	Store   ConfigStore

	confirmSignal chan struct{}
	pushSignal    chan struct{}

	mu     sync.Mutex
	cancel context.CancelFunc
	done   chan struct{}
	wg     sync.WaitGroup
}

// Register adds the relay's methods to the network. Call it before the network runs.
func (r *Relay) Register() {
	r.confirmSignal, r.pushSignal, r.done = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	r.Network.Handle(MethodPush, r.handlePush)
	r.Network.Handle(MethodConfirm, r.handleConfirm)
	r.Store.Subscribe(func(uint64, *configurer.Config) { signal(r.pushSignal) })
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run requests confirmations from the parent and pushes new versions to the children until ctx ends or Close is called.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	defer close(r.done)
	defer r.wg.Wait()
	r.wg.Go(func() { r.pushLoop(ctx) })
	tick := time.NewTicker(ConfirmInterval)
	defer tick.Stop()
	for {
		r.confirm(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-r.confirmSignal:
		}
	}
}

// Close stops the relay and waits for Run to return.
func (r *Relay) Close() error {
	r.mu.Lock()
	cancel := r.cancel
	r.mu.Unlock()
	if cancel != nil {
		cancel()
		<-r.done
	}
	return nil
}

// position returns this host's parent and children in the relay tree and the host id of the leader, which is empty if there
// is no known leader.
func (r *Relay) position() (parent marshaller.Member, children []marshaller.Member, leader string) {
	leader, _ = r.Store.Leader()
	if leader == "" {
		return marshaller.Member{}, nil, ""
	}
	parent, children = Position(leader, r.HostID, r.Store.Members())
	return parent, children, leader
}

// confirm requests a confirmation of the active version from the parent. Direct children of the leader use their heartbeat
// instead. If the parent does not answer, the agent falls back to the leader.
func (r *Relay) confirm(ctx context.Context) {
	parent, _, leader := r.position()
	if parent.Addr == "" || parent.Host == leader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	version, _, _ := r.Store.ConfirmedConfig()
	reply := &distributorpb.ConfirmReply{}
	sent := clocker.Now()
	err := r.Network.Call(ctx, parent.Addr, MethodConfirm, &distributorpb.ConfirmRequest{Version: version}, reply)
	if err != nil {
		klog.V(1).Infof("distributor: confirmation request failed host=%s parent=%s reason=%q", r.HostID, parent.Host, err)
		return
	}
	var confirmedAt time.Time
	if reply.GetConfirmed() {
		// The parent measured the age after this request was sent, so the computed time is never later than the confirmation.
		confirmedAt = sent.Add(-time.Duration(reply.GetAgeMs()) * time.Millisecond)
	}
	r.Store.ApplyRelayedConfig(reply.GetVersion(), reply.GetDocument(), confirmedAt)
}

func (r *Relay) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pushSignal:
		}
		version, document, _ := r.Store.ConfirmedConfig()
		_, children, _ := r.position()
		if len(children) == 0 || children[0].Host == "" || r.isLeader() {
			// The leader requests a heartbeat from its children, which fetch the version with it.
			continue
		}
		req := &distributorpb.PushRequest{Version: version, Document: document}
		for _, child := range children {
			r.wg.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, requestTimeout)
				defer cancel()
				if err := r.Network.Call(ctx, child.Addr, MethodPush, req, &distributorpb.PushReply{}); err != nil {
					// The child receives the version with its next confirmation.
					klog.V(1).Infof("distributor: push failed version=%d child=%s reason=%q", version, child.Host, err)
				}
			})
		}
	}
}

func (r *Relay) isLeader() bool {
	leader, _ := r.Store.Leader()
	return leader == r.HostID
}

func (r *Relay) handlePush(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	req := &distributorpb.PushRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, eris.Wrap(err, "decode push")
	}
	r.Store.ApplyRelayedConfig(req.GetVersion(), req.GetDocument(), time.Time{})
	signal(r.confirmSignal)
	return proto.Marshal(&distributorpb.PushReply{})
}

func (r *Relay) handleConfirm(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	req := &distributorpb.ConfirmRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, eris.Wrap(err, "decode confirmation")
	}
	version, document, at := r.Store.ConfirmedConfig()
	reply := &distributorpb.ConfirmReply{Version: version}
	if age := clocker.Since(at); !at.IsZero() && age < heartbeater.ConfirmationTTL {
		// The age is rounded up, so that the child never treats the confirmation as more recent than it is.
		reply.Confirmed, reply.AgeMs = true, age.Milliseconds()+1
	}
	if req.GetVersion() < version {
		reply.Document = document
	}
	return proto.Marshal(reply)
}
