package forwarder

import (
	"context"

	"github.com/dragonflycroft/dragonflycroft/internal/duplicator"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// buildDuplicator sets up the copy of this host's stream origins at another host, and the copies that it keeps for others.
func (h *Host) buildDuplicator() {
	h.duplicator = &duplicator.Duplicator{
		HostID: h.HostID, Zone: h.Zone, Network: h.transport, Origins: h.acquirer,
		Peers: func() []duplicator.Peer {
			var out []duplicator.Peer
			for _, p := range h.entryHosts() {
				out = append(out, duplicator.Peer(p))
			}
			return out
		},
	}
	h.duplicator.Init()
	h.acquirer.OnOrigin = h.duplicator.Notify
	h.transport.Handle(duplicator.Method, func(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
		return h.duplicator.Handle(payload)
	})
}
