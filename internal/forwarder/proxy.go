package forwarder

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// proxyPollInterval is the time between two checks for requests of other hosts in progress while this host stops.
const proxyPollInterval = 10 * time.Millisecond

// proxyNetwork adapts the transport to the network interface of the proxier.
type proxyNetwork struct{ *transporter.Transport }

// OpenStream opens a stream for a method on the host at addr.
func (n proxyNetwork) OpenStream(ctx context.Context, addr, method string) (proxier.Stream, error) {
	return n.Transport.OpenStream(ctx, addr, method)
}

// buildProxy sets up the ways to endpoints through other hosts, and for other hosts through this one.
func (h *Host) buildProxy(client *exchanger.Client) {
	h.sender = &proxier.Sender{Zone: h.Zone, Client: client, Network: proxyNetwork{h.transport}, Peers: h.entryHosts, Endpoints: h.endpoints}
	h.sender.Init()
	h.proxy = &proxier.Server{
		Sender: h.sender, Unavailable: h.unreadyReason, Admit: h.admitProxied, Endpoint: h.endpoint,
		OnResponse: func(id string, r *exchanger.Response) { h.gateway.RecordStatus(id, r) },
	}
	h.transport.HandleStream(proxier.Method, func(ctx context.Context, peer transporter.Peer, s *transporter.Stream) error {
		return h.proxy.Serve(ctx, peer.HostID, s)
	})
}

// entryHosts returns the entry hosts among the members, except the one with excludedID.
func entryHosts(members []marshaller.Member, excludedID string) []proxier.Peer {
	var out []proxier.Peer
	for _, m := range members {
		if !m.Control && !m.Removed && m.Host != excludedID {
			out = append(out, proxier.Peer{ID: m.Host, Zone: m.Zone, Addr: m.Addr})
		}
	}
	return out
}

// entryHosts returns the other entry hosts.
func (h *Host) entryHosts() []proxier.Peer {
	if hosts := h.knownEntryHosts.Load(); hosts != nil {
		return *hosts
	}
	return nil
}

// endpoints returns all endpoints in the list of this host.
func (h *Host) endpoints() (out []balancer.Endpoint) {
	h.admitter.View(func(b *balancer.Balancer) { out = b.Endpoints() })
	return out
}

// endpoint returns an endpoint in the list of this host.
func (h *Host) endpoint(id string) (e balancer.Endpoint, known bool) {
	h.admitter.View(func(b *balancer.Balancer) { e, known = b.Endpoint(id) })
	return e, known
}

// admitProxied returns an endpoint for a request of another host, or false if the endpoint is not known or accepts nothing from this host.
func (h *Host) admitProxied(id string) (e balancer.Endpoint, ok bool) {
	h.admitter.View(func(b *balancer.Balancer) {
		e, _ = b.Endpoint(id)
		ok = b.Admits(time.Now(), id, balancer.Work{})
	})
	return e, ok
}

// awaitProxied waits for the requests of other hosts in progress until ctx ends.
func (h *Host) awaitProxied(ctx context.Context) error {
	tick := time.NewTicker(proxyPollInterval)
	defer tick.Stop()
	for h.proxy.Active() > 0 {
		select {
		case <-ctx.Done():
			klog.InfoS("forwarder: requests of other hosts cut off at the end of a stop", "active", h.proxy.Active())
			return nil
		case <-tick.C:
		}
	}
	return nil
}
