// Package participant takes part in the control of the system for one host: every host runs an agent and a client, and a host
// with a data folder also runs the replicated log and the control service.
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
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Options describe a host.
type Options struct {
	HostID, Zone, CallersAddr string
	// Controllers are the ids and addresses of the control hosts from the settings.
	Controllers map[string]string
	// DataDir is empty on hosts without the replicated log.
	DataDir string
	// Bootstrap lets an empty data folder form the cluster with Controllers.
	Bootstrap bool
	// Voters is the number of voters that the leader keeps by itself; 0 leaves changes of the voters to operators.
	Voters int
	// ExchangeTimeout bounds one exchange of the client with a control host; 0 means the client's default.
	ExchangeTimeout time.Duration
}

// Participant connects a host with the control part.
type Participant struct {
	agent     *controller.Agent
	client    *controller.Client
	machine   *controller.Machine
	sequencer *sequencer.Sequencer
	service   *controller.Service
	relay     *distributor.Relay
	running   atomic.Bool
}

// New builds the parts of a host over its transport.
func New(t *transporter.Transport, o Options) *Participant {
	p := &Participant{}
	p.agent = &controller.Agent{
		HostID: o.HostID, Zone: o.Zone, Addr: t.Addr(), CallersAddr: o.CallersAddr, Control: o.DataDir != "", Network: t,
	}
	p.client = &controller.Client{Network: t, Known: p.known, ExchangeTimeout: o.ExchangeTimeout}
	if o.DataDir != "" {
		p.machine = controller.NewMachine()
		p.sequencer = &sequencer.Sequencer{
			HostID: o.HostID, DataDir: o.DataDir, Bootstrap: o.Bootstrap, Transport: t, Machine: p.machine,
		}
		p.agent.Folder = p.sequencer.Folder
		p.service = &controller.Service{HostID: o.HostID, Network: t, Log: p.sequencer, Machine: p.machine, Voters: o.Voters}
	}
	p.relay = &distributor.Relay{HostID: o.HostID, Network: t, Holder: p.agent}
	p.SetControllers(o.Controllers)
	return p
}

// SetControllers sets the ids and addresses of the control hosts. While the participant runs, it changes only where the hosts
// look for the leader when all control hosts they know are gone.
func (p *Participant) SetControllers(controllers map[string]string) {
	addrs := slices.Sorted(maps.Values(controllers))
	p.agent.SetControllers(addrs)
	p.client.SetControllers(addrs)
	if p.sequencer != nil && !p.running.Load() {
		p.sequencer.Voters = maps.Clone(controllers)
	}
}

// known returns the addresses of the control hosts among the members, the leader first.
func (p *Participant) known() []string {
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

// Client returns the client of the control part.
func (p *Participant) Client() *controller.Client { return p.client }

// Agent returns the agent of this host.
func (p *Participant) Agent() *controller.Agent { return p.agent }

// Register adds the methods of all parts to the transport before it runs.
func (p *Participant) Register() {
	p.agent.Register()
	p.relay.Register()
	if p.service != nil {
		p.service.Register()
	}
}

// Run takes part until ctx ends. It returns an error when the replicated log cannot go on.
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

// Joined is closed once the leader has given this process an incarnation.
func (p *Participant) Joined() <-chan struct{} { return p.agent.Joined() }

// Incarnation returns the number of this process among the processes of its host.
func (p *Participant) Incarnation() uint64 { return p.agent.Incarnation() }

// Owners names the live processes with their incarnations.
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

// Config returns the configuration that this host acts on.
func (p *Participant) Config() (version uint64, cfg *configurer.Config, fresh bool) {
	return p.agent.Config()
}

// Subscribe registers a function that is called with each new configuration version.
func (p *Participant) Subscribe(fn func(version uint64, cfg *configurer.Config)) {
	p.agent.Subscribe(fn)
}

// Holder returns the holder of a role.
func (p *Participant) Holder(role string) (hostID, addr string, epoch uint64, ok bool) {
	return p.agent.Holder(role)
}

// OnRole registers a function that is called when this host starts or stops holding a role.
func (p *Participant) OnRole(fn func(role string, epoch uint64, held bool)) { p.agent.OnRole(fn) }

// RoleValid reports whether this host may act under a role at this moment.
func (p *Participant) RoleValid(role string, epoch uint64) bool {
	return p.agent.RoleValid(role, epoch)
}

// ShedLevel returns the level in force.
func (p *Participant) ShedLevel() (closedBelow int) { return p.agent.ShedLevel() }

// AskShedPermit asks for a permit to shed a tier.
func (p *Participant) AskShedPermit(role string, tier int) { p.agent.AskShedPermit(role, tier) }

// ConfirmClosed confirms that no work of the tiers below a level is left.
func (p *Participant) ConfirmClosed(role string, below int) { p.agent.ConfirmClosed(role, below) }

// OnShed registers a function that is called with each change of the level and each permit.
func (p *Participant) OnShed(fn func(closedBelow, permitTier int, permitFor time.Duration)) {
	p.agent.OnShed(fn)
}

// Intend records an order before its dispatch.
func (p *Participant) Intend(ctx context.Context, o recorder.Intent) (recorder.Record, error) {
	return p.client.Intend(ctx, o)
}

// Conclude records the outcome of an order.
func (p *Participant) Conclude(ctx context.Context, key recorder.Key, owner string, out recorder.Outcome) error {
	return p.client.Conclude(ctx, key, owner, out)
}

// Withdraw frees the key of an order that was never sent.
func (p *Participant) Withdraw(ctx context.Context, key recorder.Key, owner string) error {
	return p.client.Withdraw(ctx, key, owner)
}

// Order returns an order of the ledger.
func (p *Participant) Order(ctx context.Context, key recorder.Key) (recorder.Record, bool, error) {
	return p.client.Order(ctx, key)
}

// HandOver gives up all roles.
func (p *Participant) HandOver(ctx context.Context) error { return p.agent.HandOver(ctx) }

// Leave removes this process from the members and hands the lead of the replicated log over.
func (p *Participant) Leave(ctx context.Context) error {
	err := p.agent.Leave(ctx)
	if p.sequencer != nil {
		err = errors.Join(err, p.sequencer.Close())
	}
	return err
}
