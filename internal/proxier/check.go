package proxier

import (
	"context"
	"math/rand/v2"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier/proxierpb"
)

const (
	// maxCheckPeers is the number of hosts that are asked whether they reach an endpoint.
	maxCheckPeers = 4
	// minCheckPeers is the number of hosts that must not reach an endpoint, if there are so many, before it counts as down. One
	// alone may have lost its paths too.
	minCheckPeers = 2
)

// DownForOthers reports whether other hosts do not reach an endpoint either, so that it is down. It is called while this host reaches no
// endpoint of the pool, which alone may mean that its own paths are lost.
func (s *Sender) DownForOthers(ctx context.Context, e balancer.Endpoint) bool {
	peers := s.checkPeers()
	replies := make(chan *proxierpb.Opened, len(peers))
	for _, p := range peers {
		go func() {
			opened, err := s.askPeer(ctx, p, e.ID)
			if err != nil {
				klog.V(1).InfoS("proxier: host not asked about an endpoint", "endpoint", e.ID, "host", p.ID, "reason", err)
			}
			replies <- opened
		}()
	}
	failed := 0
	for range peers {
		switch r := <-replies; {
		case r.GetReached():
			return false
		case r.GetChecked():
			failed++
		}
	}
	return failed > 0 && failed >= min(minCheckPeers, len(peers))
}

// checkPeers returns the hosts to ask: those of other availability zones first, which share fewer paths with this host.
func (s *Sender) checkPeers() []Peer {
	all := s.Peers()
	var near, far []Peer
	for _, i := range rand.Perm(len(all)) {
		if all[i].Zone == s.Zone {
			near = append(near, all[i])
		} else {
			far = append(far, all[i])
		}
	}
	peers := append(far, near...)
	return peers[:min(len(peers), maxCheckPeers)]
}

// askPeer asks a host to connect to an endpoint. A host of an earlier version does not check.
func (s *Sender) askPeer(ctx context.Context, p Peer, endpoint string) (*proxierpb.Opened, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout+checkTimeout)
	defer cancel()
	stream, err := s.Network.OpenStream(ctx, p.Addr, Method)
	if err != nil {
		return nil, err
	}
	x := &exchange{peer: p, stream: stream}
	defer x.close()
	defer context.AfterFunc(ctx, x.close)()
	opened := &proxierpb.Opened{}
	if err := stream.Send(&proxierpb.Open{Endpoint: endpoint, Check: true}); err != nil {
		return nil, err
	}
	if err := stream.Recv(opened); err != nil {
		return nil, err
	}
	return opened, nil
}

// check answers whether this host can connect to an endpoint.
func (s *Server) check(ctx context.Context, id string, stream Stream) error {
	e, known := s.Endpoint(id)
	if !known {
		return stream.Send(&proxierpb.Opened{Reason: "the endpoint is not known"})
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	opened := &proxierpb.Opened{Checked: true}
	if err := s.Sender.Client.Probe(ctx, e.Addr); err != nil {
		opened.Reason = err.Error()
	} else {
		opened.Reached = true
	}
	return stream.Send(opened)
}
