// Package participant connects one host to the control plane. Every host runs an agent and a client; a host with a data folder
// also runs the replicated log and the control service.
package participant

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer"
)

// Options describe a host.
type Options struct {
	HostID, Zone, CallersAddr string
	// Controllers maps the host IDs of the configured control hosts to their addresses.
	Controllers map[string]string
	// DataDir is empty on hosts without the replicated log.
	DataDir string
	// Bootstrap allows a host with an empty data folder to form a new cluster with Controllers.
	Bootstrap bool
	// Voters is the number of voters that the leader maintains; with 0, only operators change the voters.
	Voters int
	// RequestTimeout bounds one call of the client to a control host; 0 means the client's default.
	RequestTimeout time.Duration
}

// Network sends and serves RPCs between hosts; *transporter.Transport implements it.
type Network interface {
	heartbeater.Network
	// Addr returns the address at which other hosts reach this one.
	Addr() string
}

// Participant is the connection of a host to the control plane.
type Participant struct {
	agent        *controller.Agent
	client       *controller.Client
	stateMachine *controller.StateMachine
	sequencer    *sequencer.Sequencer
	service      *controller.Service
	relay        *distributor.Relay
	running      atomic.Bool
}

// New returns a participant that communicates over the network.
func New(n Network, o Options) *Participant {
	p := &Participant{}
	p.agent = &controller.Agent{
		HostID: o.HostID, Zone: o.Zone, Addr: n.Addr(), CallersAddr: o.CallersAddr, Control: o.DataDir != "", Network: n,
	}
	p.client = &controller.Client{Network: n, DiscoveredHosts: p.controlAddrs, RequestTimeout: o.RequestTimeout}
	if o.DataDir != "" {
		p.stateMachine = controller.NewStateMachine()
		p.sequencer = &sequencer.Sequencer{
			HostID: o.HostID, DataDir: o.DataDir, Bootstrap: o.Bootstrap, Transport: n, StateMachine: p.stateMachine,
		}
		p.agent.FolderIncarnation = p.sequencer.FolderIncarnation
		p.service = &controller.Service{HostID: o.HostID, Network: n, Log: p.sequencer, StateMachine: p.stateMachine, Voters: o.Voters}
	}
	p.relay = &distributor.Relay{HostID: o.HostID, Network: n, Store: p.agent}
	p.SetControlHosts(o.Controllers)
	return p
}

// SetControlHosts sets the host IDs and addresses of the configured control hosts. While the participant runs, it changes only
// the addresses at which it looks for the leader when no control host among the members can be reached.
func (p *Participant) SetControlHosts(controllers map[string]string) {
	addrs := slices.Sorted(maps.Values(controllers))
	p.agent.SetControlHosts(addrs)
	p.client.SetControlHosts(addrs)
	if p.sequencer != nil && !p.running.Load() {
		p.sequencer.Voters = maps.Clone(controllers)
	}
}

// controlAddrs returns the address of the leader, if known, followed by those of all control hosts among the members.
func (p *Participant) controlAddrs() []string {
	var addrs []string
	if _, leader := p.agent.Leader(); leader != "" {
		addrs = append(addrs, leader)
	}
	for _, m := range p.agent.Members() {
		if m.Control {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// Client returns the client of the control hosts.
func (p *Participant) Client() *controller.Client { return p.client }

// Agent returns the agent of this host.
func (p *Participant) Agent() *controller.Agent { return p.agent }

// Register adds the methods of the participant to the transport. Call it before the transport runs.
func (p *Participant) Register() {
	p.agent.Register()
	p.relay.Register()
	if p.service != nil {
		p.service.Register()
	}
}

// Run runs the agent and, on a control host, the replicated log until ctx ends. It returns an error if the replicated log fails.
func (p *Participant) Run(ctx context.Context) error {
	p.running.Store(true)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.agent.Run(ctx) })
	group.Go(func() error { return p.relay.Run(ctx) })
	if p.sequencer != nil {
		group.Go(func() error { return p.sequencer.Run(ctx) })
		group.Go(func() error { return p.service.Run(ctx) })
	}
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Joined returns a channel that is closed once the leader has assigned an incarnation to this process.
func (p *Participant) Joined() <-chan struct{} { return p.agent.Joined() }

// Incarnation returns the sequence number of this process among the processes of its host.
func (p *Participant) Incarnation() uint64 { return p.agent.Incarnation() }

// Owners returns the owner names (host ID and incarnation) of the live processes.
func (p *Participant) Owners() []string {
	members := p.agent.Members()
	owners := make([]string, 0, len(members))
	for _, m := range members {
		if !m.Removed {
			owners = append(owners, m.Owner())
		}
	}
	return owners
}

// Addr returns the peer address of a live host.
func (p *Participant) Addr(hostID string) (string, bool) {
	for _, m := range p.agent.Members() {
		if m.Host == hostID && !m.Removed {
			return m.Addr, true
		}
	}
	return "", false
}

// Config returns the configuration that this host applies. It is fresh if the leader has confirmed it recently enough.
func (p *Participant) Config() (version uint64, cfg *configurer.Config, fresh bool) {
	return p.agent.Config()
}

// IsFresh reports whether the leader has confirmed a version recently enough. Callers that apply versions with a delay pass the
// one that they have applied.
func (p *Participant) IsFresh(version uint64) bool { return p.agent.IsFresh(version) }

// Subscribe registers a callback for each new configuration version.
func (p *Participant) Subscribe(fn func(version uint64, cfg *configurer.Config)) {
	p.agent.Subscribe(fn)
}

// Holder returns the current holder of a role with the epoch of its lease. It returns false if there is none.
func (p *Participant) Holder(role string) (hostID, addr string, epoch uint64, ok bool) {
	return p.agent.Holder(role)
}

// OnRole registers a callback for the start and end of each lease of a role by this host.
func (p *Participant) OnRole(fn func(role string, epoch uint64, held bool)) { p.agent.OnRole(fn) }

// RoleValid reports whether this host currently holds a valid lease of a role in an epoch.
func (p *Participant) RoleValid(role string, epoch uint64) bool {
	return p.agent.RoleValid(role, epoch)
}

// ShedLevel returns the shed level in force.
func (p *Participant) ShedLevel() (closedBelow int) { return p.agent.ShedLevel() }

// AskShedPermit requests a permit to shed a tier.
func (p *Participant) AskShedPermit(role string, tier int) { p.agent.AskShedPermit(role, tier) }

// ConfirmClosed confirms that a role has no waiting or running requests of the tiers closed by a level.
func (p *Participant) ConfirmClosed(role string, below int) { p.agent.ConfirmClosed(role, below) }

// OnShed registers a callback for each change of the shed level and each permit.
func (p *Participant) OnShed(fn func(closedBelow, permitTier int, permitFor time.Duration)) {
	p.agent.OnShed(fn)
}

// Intend records the intent to run an order in the ledger. Call it before the order is dispatched.
func (p *Participant) Intend(ctx context.Context, o recorder.Intent) (recorder.Record, error) {
	return p.client.Intend(ctx, o)
}

// Conclude records the outcome of an order in the ledger.
func (p *Participant) Conclude(ctx context.Context, key recorder.Key, owner string, out recorder.Outcome) error {
	return p.client.Conclude(ctx, key, owner, out)
}

// Withdraw releases the key of an order that was never sent, so that the key can be used again.
func (p *Participant) Withdraw(ctx context.Context, key recorder.Key, owner string) error {
	return p.client.Withdraw(ctx, key, owner)
}

// Order returns an order from the ledger. It returns false if there is none.
func (p *Participant) Order(ctx context.Context, key recorder.Key) (recorder.Record, bool, error) {
	return p.client.Order(ctx, key)
}

// HandOver releases all roles of this host and prevents it from taking new ones.
func (p *Participant) HandOver(ctx context.Context) error { return p.agent.HandOver(ctx) }

// Leave transfers the leadership, releases all roles, removes this process from the members and closes the replicated log.
func (p *Participant) Leave(ctx context.Context) error {
	if p.sequencer != nil {
		// The next leader replaces this host as a voter, if it can, before Leave returns.
		p.sequencer.TransferLeadership()
	}
	err := p.agent.Leave(ctx)
	if p.sequencer != nil {
		err = errors.Join(err, p.sequencer.Close())
	}
	return err
}
