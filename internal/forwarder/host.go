// Package forwarder runs an entry host that forwards requests by an imported configuration: the control part that confirms the
// configuration, the platform's list of endpoints, the exchange of loads between entry hosts, and the gateway.
package forwarder

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/gossiper"
	"github.com/dragonflycroft/dragonflycroft/internal/participant"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// dialTimeout bounds a connect to an endpoint: several round trips between availability zones.
	dialTimeout = 300 * time.Millisecond
	// leaveTimeout bounds the last heartbeat of a stop.
	leaveTimeout = 500 * time.Millisecond
	// stopReserve is kept of the grace of a stop for the end of the process.
	stopReserve = 400 * time.Millisecond
)

// Host is one entry host. Set the exported fields before Run.
type Host struct {
	HostID string
	Zone   string
	// PeerAddr is where other hosts reach this one, by TCP and UDP; CallerAddr where callers do; ReadyAddr serves health.
	PeerAddr   string
	CallerAddr string
	ReadyAddr  string
	ReadyPath  string
	Key        []byte
	// Controllers are the peer addresses of control hosts by host id.
	Controllers map[string]string
	// Decode reads an imported configuration.
	Decode      func(document []byte) (*router.Table, error)
	Headers     gateway.Headers
	Endpoints   cataloguer.Source
	RepeatLimit allotter.RepeatLimit
	// AllotmentWindow is the time over which allotments are added up; 0 means the default.
	AllotmentWindow time.Duration
	// BalancerDelay is how long a stopping host still takes new connections, and Grace bounds the whole stop.
	BalancerDelay time.Duration
	Grace         time.Duration

	transport   *transporter.Transport
	participant *participant.Participant
	cataloguer  *cataloguer.Cataloguer
	gossiper    *gossiper.Gossiper
	admitter    *admitter.Admitter
	gateway     *gateway.Gateway
	index       atomic.Pointer[router.Index]
	entries     atomic.Pointer[[]cataloguer.Entry]
	stopping    atomic.Bool
	running     atomic.Pointer[participant.Participant]
	told        int
	toldLast    map[string]load
	// endpointNames finds the endpoints of the list by their digests.
	endpointNames atomic.Pointer[map[uint32]string]
	usesAt        time.Time
}

// SetControllers replaces the control hosts of the settings while the host runs.
func (h *Host) SetControllers(controllers map[string]string) {
	if p := h.running.Load(); p != nil {
		p.SetControllers(controllers)
	}
}

// Run serves until ctx ends, and then stops as planned within Grace.
func (h *Host) Run(ctx context.Context) error {
	started := time.Now()
	if err := h.build(); err != nil {
		return err
	}
	klog.InfoS("forwarder: started", "host", h.HostID, "zone", h.Zone, "peers", h.PeerAddr, "callers", h.CallerAddr,
		"control_hosts", h.Controllers)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	health := &http.Server{Addr: h.ReadyAddr, Handler: http.HandlerFunc(h.serveHealth), ReadHeaderTimeout: time.Second}
	group, groupCtx := errgroup.WithContext(work)
	group.Go(func() error { return h.transport.Run(work) })
	group.Go(func() error { return h.participant.Run(work) })
	group.Go(func() error { return h.cataloguer.Run(work) })
	group.Go(func() error { return h.gossiper.Run(work) })
	group.Go(func() error { return h.gateway.Run(work) })
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
	stopErr := h.stop(work)
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
	h.running.Store(h.participant)
	h.participant.Subscribe(h.applyConfig)
	b := balancer.New(h.Zone)
	b.HostID = h.HostID
	h.admitter = admitter.New(b)
	listener, err := net.Listen("tcp", h.CallerAddr)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", h.CallerAddr)
	}
	h.gateway = &gateway.Gateway{
		Listener: listener, Headers: h.Headers, Table: h.table, Admitter: h.admitter,
		Client: &exchanger.Client{DialTimeout: dialTimeout}, RepeatLimit: h.RepeatLimit,
		AllotmentWindow: h.AllotmentWindow,
	}
	h.gateway.Init()
	relay := &cataloguer.Relay{Platform: h.Endpoints, Network: h.transport, Reader: h.listReader}
	relay.Register()
	h.cataloguer = &cataloguer.Cataloguer{Source: relay, Changed: func(list []cataloguer.Entry) {
		h.entries.Store(&list)
		h.applyEndpoints()
	}}
	h.gossiper = &gossiper.Gossiper{
		HostID: h.HostID, Addr: h.PeerAddr, Key: h.Key, Peers: h.peers, Busy: h.busy, State: h.state, Heard: h.heard,
	}
	return h.gossiper.Listen()
}

// table returns the table in force with whether this host may still act on it.
func (h *Host) table() (*router.Index, bool) {
	_, _, fresh := h.participant.Config()
	return h.index.Load(), fresh
}

func (h *Host) applyConfig(version uint64, cfg *configurer.Config) {
	if cfg.Import == nil {
		klog.ErrorS(nil, "forwarder: configuration has no imported document", "version", version)
		return
	}
	table, err := h.Decode(cfg.Import.Document)
	if err != nil {
		klog.ErrorS(err, "forwarder: imported configuration cannot be read", "version", version, "revision", cfg.Import.Revision)
		return
	}
	x := router.NewIndex(table)
	h.gateway.SetTable(x)
	h.index.Store(x)
	h.applyEndpoints()
	h.gateway.Open()
	klog.InfoS("forwarder: configuration in force", "version", version, "revision", table.Revision, "rules", len(table.Rules),
		"pools", len(table.Pools), "workspaces", len(table.Workspaces))
}

// applyEndpoints joins the platform's list with what the configuration says of the pools.
func (h *Host) applyEndpoints() {
	list, index := h.entries.Load(), h.index.Load()
	if list == nil {
		return
	}
	endpoints := make([]balancer.Endpoint, 0, len(*list))
	names := make(map[uint32]string, len(*list))
	for _, e := range *list {
		endpoint := balancer.Endpoint{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Pool: e.Pool, Slots: e.Slots, Leaving: e.Leaving}
		if index != nil {
			if p := index.Pool(e.Pool); p != nil && p.Engine != nil {
				endpoint.Engine, endpoint.MemoryTokens = true, p.Engine.MemoryTokens
			}
		}
		endpoints = append(endpoints, endpoint)
		names[digest(e.ID)] = e.ID
	}
	h.endpointNames.Store(&names)
	h.admitter.Update(func(b *balancer.Balancer) { b.SetEndpoints(endpoints) })
}

// peers returns the addresses of the other entry hosts.
func (h *Host) peers() []string {
	var out []string
	for _, m := range h.participant.Agent().Members() {
		if !m.Control && !m.Removed && m.Host != h.HostID {
			out = append(out, m.Addr)
		}
	}
	return out
}

// listReader returns the address of the entry host that reads the platform's list for the hosts of this availability zone, or
// an empty text if that is this host or none is known.
func (h *Host) listReader() string {
	reader, least := "", uint64(math.MaxUint64)
	for _, m := range h.participant.Agent().Members() {
		if m.Control || m.Removed || m.Zone != h.Zone {
			continue
		}
		if key := xxhash.Sum64String(m.Host); key < least {
			reader, least = m.Addr, key
			if m.Host == h.HostID {
				reader = ""
			}
		}
	}
	return reader
}

// unready returns an empty text, or why this host should receive no more connections.
func (h *Host) unready() string {
	index, fresh := h.table()
	switch {
	case h.stopping.Load():
		return "stopping"
	case index == nil:
		return "no configuration"
	case !fresh:
		return "configuration not confirmed"
	case !h.cataloguer.Known():
		return "no list of endpoints"
	}
	return ""
}

func (h *Host) serveHealth(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != h.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if reason := h.unready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop leaves the balancer, lets callers move on and waits for the requests in progress.
func (h *Host) stop(ctx context.Context) error {
	deadline := time.Now().Add(h.Grace - stopReserve)
	h.stopping.Store(true)
	klog.InfoS("forwarder: stopping", "host", h.HostID, "active", h.gateway.Active())
	h.gateway.Drain()
	time.Sleep(min(h.BalancerDelay, time.Until(deadline)))
	closing, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := h.gateway.Close(closing)
	leaving, done := context.WithTimeout(ctx, leaveTimeout)
	defer done()
	if failed := h.participant.Leave(leaving); failed != nil {
		klog.InfoS("forwarder: did not leave the members", "reason", failed)
	}
	return err
}
