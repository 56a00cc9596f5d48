package coordinator

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// applyNotice applies a state change that an endpoint has announced to the host.
func (s *session) applyNotice(now time.Time, n *coordinatorpb.Notice) {
	name := ""
	shards := s.c.allShards(func(names map[uint64]string) { name = names[n.GetEndpoint()] })
	if name == "" {
		return
	}
	if hold := time.Duration(n.GetHoldMs()) * time.Millisecond; hold > 0 {
		s.hold(name, now.Add(hold))
	}
	for _, sh := range shards {
		sh.admitter.Update(func(b *balancer.Balancer) {
			switch {
			case n.GetLeaving():
				b.MarkLeaving(now, name)
			case n.GetReturned():
				b.MarkReturned(now, name)
			case n.GetBrittle() && b.MarkBrittle(now, name):
				klog.InfoS("coordinator: endpoint is brittle", "endpoint", name, "host", s.host)
			}
		})
	}
}

// applyStated applies the speeds that endpoints report.
func (s *session) applyStated(now time.Time, stated []*coordinatorpb.Stated) {
	if len(stated) == 0 {
		return
	}
	figures := make(map[string]float64, len(stated))
	shards := s.c.allShards(func(names map[uint64]string) {
		for _, p := range stated {
			figures[names[p.GetEndpoint()]] = float64(p.GetPercent())
		}
	})
	for _, sh := range shards {
		sh.admitter.Update(func(b *balancer.Balancer) {
			for id, percent := range figures {
				b.RecordSpeed(now, id, percent)
			}
		})
	}
}
