// Package forwarder runs an entry host that forwards requests according to an imported configuration. It connects the control
// client that confirms the configuration, the platform's endpoint list, the client of the coordinators and the gateway.
package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/acquirer"
	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connlimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/duplicator"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/participant"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier"
	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// dialTimeout bounds a connection attempt to an endpoint. It covers several round trips between availability zones.
	dialTimeout = 300 * time.Millisecond
	// leaveTimeout bounds the last heartbeat of a shutdown.
	leaveTimeout = 500 * time.Millisecond
	// listInterval is the time between two reads of the endpoint list. listFallbackDelay is the minimum time without a relayed
	// list after which this host reads from the platform directly.
	listInterval      = 500 * time.Millisecond
	listFallbackDelay = 2 * time.Second
	// minPlatformInterval is the minimum time between two reads of the platform's list.
	minPlatformInterval = 800 * time.Millisecond
	// exitReserve is the part of GracePeriod that is reserved for the exit of the process.
	exitReserve = 400 * time.Millisecond
)

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	HostID string
	Zone   string
	// PeerAddr is the TCP and UDP address for other hosts, CallerAddr the address for callers. ReadyAddr and ReadyPath serve
	// the readiness check.
	PeerAddr   string
	CallerAddr string
	ReadyAddr  string
	ReadyPath  string
	Key        []byte
	// Controllers maps host IDs of control hosts to their peer addresses.
	Controllers map[string]string
	// Decode parses an imported configuration document.
	Decode     func(document []byte) (*router.Table, error)
	Headers    gateway.Headers
	SelfReport gateway.SelfReport
	Endpoints  cataloguer.Source
	RetryLimit ratelimiter.RetryLimit
	// Clients bounds what callers' connections take; nil means no bound.
	Clients *connlimiter.Limiter
	// AllotmentWindow is the sliding window over which the use of allotments is summed; 0 means the default.
	AllotmentWindow time.Duration
	// BalancerDelay is how long a stopping host still accepts new connections, until the load balancer has stopped sending
	// them. GracePeriod bounds the whole shutdown.
	BalancerDelay time.Duration
	GracePeriod   time.Duration
	// DialEndpoint opens a connection to an endpoint; nil means TCP.
	DialEndpoint func(ctx context.Context, addr string) (net.Conn, error)

	transport          *transporter.Transport
	participant        *participant.Participant
	cataloguer         *cataloguer.Cataloguer
	acquirer           *acquirer.Acquirer
	duplicator         *duplicator.Duplicator
	admitter           *admitter.Admitter
	gateway            *gateway.Gateway
	sender             *proxier.Sender
	proxy              *proxier.Server
	active             atomic.Pointer[activeTable]
	endpointList       endpointList
	stopping           atomic.Bool
	startedParticipant atomic.Pointer[participant.Participant]
	sharedUse          sharedUse
	knownControlHosts  atomic.Pointer[[]sharder.Host]
	knownEntryHosts    atomic.Pointer[[]proxier.Peer]
}

// SetControllers replaces the configured control hosts while the host runs. It does nothing before Run.
func (h *Host) SetControllers(controllers map[string]string) {
	if p := h.startedParticipant.Load(); p != nil {
		p.SetControlHosts(controllers)
	}
}

// Run serves until ctx ends, and then shuts down gracefully within GracePeriod.
func (h *Host) Run(ctx context.Context) error {
	started := time.Now()
	if err := h.build(); err != nil {
		return err
	}
	klog.InfoS("forwarder: started", "host", h.HostID, "zone", h.Zone, "peers", h.PeerAddr, "callers", h.CallerAddr,
		"control_hosts", h.Controllers)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	health := &http.Server{Addr: h.ReadyAddr, Handler: http.HandlerFunc(h.serveHealth), ReadHeaderTimeout: time.Second}
	group, groupCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return h.transport.Run(runCtx) })
	group.Go(func() error { return h.participant.Run(runCtx) })
	group.Go(func() error { return h.cataloguer.Run(runCtx) })
	group.Go(func() error { return h.acquirer.Run(runCtx) })
	group.Go(func() error { return h.duplicator.Run(runCtx) })
	group.Go(func() error { return h.gateway.Run(runCtx) })
	group.Go(func() error {
		if err := health.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve health")
		}
		return nil
	})
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	stopErr := h.stop(runCtx)
	cancel()
	closeErr := errors.Join(health.Close(), h.transport.Close())
	err := group.Wait()
	klog.InfoS("forwarder: stopped", "host", h.HostID, "ran", time.Since(started), "reason", err, "cut_off", stopErr)
	return errors.Join(err, stopErr, closeErr)
}

func (h *Host) build() error {
	h.transport = &transporter.Transport{HostID: h.HostID, Zone: h.Zone, ListenAddr: h.PeerAddr, Key: h.Key}
	if err := h.transport.Listen(); err != nil {
		return err
	}
	h.participant = participant.New(h.transport, participant.Options{
		HostID: h.HostID, Zone: h.Zone, CallersAddr: h.CallerAddr, Controllers: h.Controllers,
	})
	h.participant.Register()
	h.startedParticipant.Store(h.participant)
	h.participant.Subscribe(h.applyConfig)
	endpoints := balancer.New(h.Zone)
	endpoints.AvoidLimited = true
	h.admitter = admitter.New(endpoints)
	listener, err := net.Listen("tcp", h.CallerAddr)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", h.CallerAddr)
	}
	h.participant.Agent().OnMembers(func(members []marshaller.Member) {
		h.knownControlHosts.Store(new(controlHosts(members, "")))
		h.knownEntryHosts.Store(new(entryHosts(members, h.HostID)))
	})
	h.acquirer = &acquirer.Acquirer{
		Zone: h.Zone, Network: network{h.transport}, ControlHosts: h.controlHosts, Incarnation: h.participant.Incarnation,
		Local: h.admitter, FillReport: h.fillReport, ApplyOrders: h.applyOrders, Windows: h.usageWindows,
		EndpointLimits: func() []*coordinatorpb.EndpointLimit { return coordinator.EncodeLimits(h.gateway.EndpointLimits()) },
		ChargeAllotment: func(workspace string, units float64) (bool, time.Duration) {
			return h.gateway.ChargeAllotment(workspace, units)
		},
	}
	h.buildDuplicator()
	h.acquirer.Init()
	client := &exchanger.Client{DialTimeout: dialTimeout, Dial: h.DialEndpoint}
	h.buildProxy(client)
	h.gateway = &gateway.Gateway{
		Listener: listener, Zone: h.Zone, Headers: h.Headers, SelfReport: h.SelfReport, Clients: h.Clients, Table: h.table, Admitter: h.admitter, Placer: h.acquirer, Origins: h.acquirer, OnEndpointStatus: h.forwardNotice,
		Client: client, Sender: h.sender, RetryLimit: h.RetryLimit,
		AllotmentWindow: h.AllotmentWindow,
	}
	h.gateway.Init()
	// The random part keeps hosts that start together from reading from the platform at the same time.
	fallbackDelay := listFallbackDelay + rand.N(listFallbackDelay)
	relay := &cataloguer.Relay{Platform: h.Endpoints, Network: h.transport, ReaderAddr: h.acquirer.HomeAddr, FallbackDelay: fallbackDelay, MinInterval: minPlatformInterval}
	h.endpointList.Apply = h.applyEndpoints
	h.cataloguer = &cataloguer.Cataloguer{Source: relay, Interval: listInterval, OnChange: h.endpointList.setEntries}
	return nil
}

// activeTable is the routing table in force and the version of the configuration that it was decoded from.
type activeTable struct {
	index   *router.Index
	version uint64
}

// table returns the table in force and whether its own version is confirmed recently enough to be used. The agent confirms a new
// version before its table is decoded.
func (h *Host) table() (*router.Index, bool) {
	active := h.active.Load()
	if active == nil {
		return nil, false
	}
	return active.index, h.participant.IsFresh(active.version)
}

// index returns the routing table in force, or nil before the first one.
func (h *Host) index() *router.Index {
	if active := h.active.Load(); active != nil {
		return active.index
	}
	return nil
}

func (h *Host) applyConfig(version uint64, cfg *configurer.Config) {
	if cfg.Import == nil {
		klog.ErrorS(nil, "forwarder: configuration has no imported document", "version", version)
		return
	}
	table, err := h.Decode(cfg.Import.Document)
	if err != nil {
		klog.ErrorS(err, "forwarder: decoding imported configuration failed", "version", version, "revision", cfg.Import.Revision)
		return
	}
	x := router.NewIndex(table)
	h.gateway.SetTable(x)
	h.active.Store(&activeTable{index: x, version: version})
	h.endpointList.setIndex(x)
	klog.InfoS("forwarder: configuration in force", "version", version, "revision", table.Revision, "rules", len(table.Rules),
		"pools", len(table.Pools), "workspaces", len(table.Workspaces))
	switch {
	case !x.RequiresKeys():
		klog.Warning("forwarder: the configuration has no list of workspaces, requests need no key")
	case x.KeyCount() == 0:
		klog.Warning("forwarder: no workspace has a key, only public rules are served")
	}
}

// applyEndpoints passes the endpoint list to the admitter and to the client of the coordinators.
func (h *Host) applyEndpoints(endpoints []balancer.Endpoint, index *router.Index) {
	h.admitter.Update(func(b *balancer.Balancer) { b.SetEndpoints(time.Now(), endpoints) })
	h.acquirer.SetEndpoints(endpoints)
	if index != nil {
		h.gateway.ReleaseWaiting()
	}
}

// controlHosts returns the control hosts among the members, except the one with excludedID.
func controlHosts(members []marshaller.Member, excludedID string) []sharder.Host {
	var out []sharder.Host
	for _, m := range members {
		if m.Control && !m.Removed && m.Host != excludedID {
			out = append(out, sharder.Host{ID: m.Host, Zone: m.Zone, Addr: m.Addr})
		}
	}
	return out
}

func (h *Host) controlHosts() []sharder.Host {
	if hosts := h.knownControlHosts.Load(); hosts != nil {
		return *hosts
	}
	return nil
}

// unreadyReason returns why this host should receive no new connections. It is empty on a ready host.
func (h *Host) unreadyReason() string {
	index, fresh := h.table()
	switch {
	case h.stopping.Load():
		return "stopping"
	case index == nil:
		return "no configuration"
	case !fresh:
		return "configuration not confirmed"
	case !h.cataloguer.HasList():
		return "no list of endpoints"
	}
	return ""
}

func (h *Host) serveHealth(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != h.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if reason := h.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop fails the readiness check, keeps serving for BalancerDelay, waits for the requests in progress and leaves the cluster.
func (h *Host) stop(ctx context.Context) error {
	deadline := time.Now().Add(h.GracePeriod - exitReserve)
	h.stopping.Store(true)
	klog.InfoS("forwarder: stopping", "host", h.HostID, "active", h.gateway.Active())
	h.gateway.Drain(deadline)
	time.Sleep(min(h.BalancerDelay, time.Until(deadline)))
	closeCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := errors.Join(h.gateway.Close(closeCtx), h.awaitProxied(closeCtx), h.sender.Close())
	leaveCtx, done := context.WithTimeout(ctx, leaveTimeout)
	defer done()
	if leaveErr := h.participant.Leave(leaveCtx); leaveErr != nil {
		klog.InfoS("forwarder: leaving the cluster failed", "reason", leaveErr)
	}
	return err
}
