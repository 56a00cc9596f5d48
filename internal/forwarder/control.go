package forwarder

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/participant"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// controlListInterval is the time between two reads of the endpoint list by a control host.
const controlListInterval = 300 * time.Millisecond

// listShard names the shard whose first owner reads the platform's endpoint list for all control hosts.
const listShard = "list"

// Control is the part of a control host that places requests for entry hosts. Set the exported fields before Register.
type Control struct {
	HostID      string
	Transport   *transporter.Transport
	Participant *participant.Participant
	// Decode parses an imported configuration document.
	Decode    func(document []byte) (*router.Table, error)
	Endpoints cataloguer.Source
	// AllotmentWindow is the sliding window over which the use of allotments is summed; 0 means the default.
	AllotmentWindow time.Duration
	// HistoryPath is the path of the file that keeps the history of software versions; empty means none. Bootstrap is true if the
	// whole system starts for the first time.
	HistoryPath string
	Bootstrap   bool
	// Rollouts is true if operators may order rollouts. Exposure is the part of a pool's requests that may reach a bad version; 0 means the default.
	Rollouts bool
	Exposure float64

	coordinator *coordinator.Coordinator
	cataloguer  *cataloguer.Cataloguer

	endpointList endpointList

	mu    sync.Mutex
	hosts []sharder.Host
	// listedAt is the time at which the platform was asked for the list that the coordinator uses.
	listedAt time.Time
}

// Register adds the coordinator's methods to the transport. Call it before the transport runs.
func (c *Control) Register() {
	relay := &cataloguer.Relay{Platform: c.Endpoints, Network: c.Transport, ReaderAddr: c.readerAddr, MinInterval: minPlatformInterval}
	c.coordinator = &coordinator.Coordinator{
		HostID: c.HostID, Zone: c.Transport.Zone, Network: c.Transport, Peers: c.peers, AllotmentWindow: c.AllotmentWindow,
		HistoryPath: c.HistoryPath, Bootstrap: c.Bootstrap, ListedAt: c.listUsedAt,
	}
	if c.Rollouts {
		c.coordinator.Rollouts, c.coordinator.Exposure = Rollouts{c.Participant.Client()}, c.Exposure
	}
	c.coordinator.Init()
	c.Participant.Agent().OnMembers(func(members []marshaller.Member) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.hosts = controlHosts(members, "")
	})
	c.Participant.Subscribe(c.applyConfig)
	relay.Register()
	c.endpointList.Apply = func(endpoints []balancer.Endpoint, index *router.Index) {
		if index != nil {
			c.coordinator.SetEndpoints(endpoints)
		}
	}
	c.cataloguer = &cataloguer.Cataloguer{
		Source: relay, Interval: controlListInterval, OnChange: c.endpointList.setEntries,
		OnRead: func() { c.setListedAt(relay.ListedAt()) },
	}
	c.Transport.HandleStream(coordinator.MethodPlace, func(ctx context.Context, peer transporter.Peer, s *transporter.Stream) error {
		return c.coordinator.Serve(ctx, peer.HostID, peer.Zone, s)
	})
	c.Transport.Handle(coordinator.MethodReady, func(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
		return c.coordinator.HandleReady(payload)
	})
	c.Transport.Handle(coordinator.MethodPeer, func(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
		return c.coordinator.HandlePeer(payload)
	})
	c.Transport.Handle(coordinator.MethodOrigin, func(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
		return c.coordinator.HandleOrigin(payload)
	})
}

// Run places requests until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.cataloguer.Run(ctx) })
	group.Go(func() error { return c.coordinator.Run(ctx) })
	return group.Wait()
}

// peers returns the other control hosts.
func (c *Control) peers() []sharder.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]sharder.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		if h.ID != c.HostID {
			out = append(out, h)
		}
	}
	return out
}

// readerAddr returns the address of the control host that reads the endpoint list for the others. It is empty on that host
// itself and while no control host is known.
func (c *Control) readerAddr() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	owners := sharder.Owners(listShard, c.hosts)
	if len(owners) == 0 || owners[0].ID == c.HostID {
		return ""
	}
	return owners[0].Addr
}

func (c *Control) applyConfig(version uint64, cfg *configurer.Config) {
	if cfg.Import == nil {
		return
	}
	table, err := c.Decode(cfg.Import.Document)
	if err != nil {
		klog.ErrorS(err, "forwarder: decoding imported configuration failed", "version", version, "revision", cfg.Import.Revision)
		return
	}
	c.coordinator.SetLimits(gateway.LimitsOf(table))
	c.endpointList.setIndex(router.NewIndex(table))
}

// listUsedAt returns the time at which the platform was asked for the list that the coordinator uses. The relay holds a newer list
// before the coordinator does.
func (c *Control) listUsedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedAt
}

func (c *Control) setListedAt(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedAt = at
}
