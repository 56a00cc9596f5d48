package coordinator

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// maxEndpointLimits is the number of limits above which those of endpoints that are not in the list are dropped.
const maxEndpointLimits = 4096

// recordLimits records limits of endpoints, applies those that have changed and sends them to all hosts. If onlyUnknown is true, it
// keeps the limits that are known already. The caller holds c.mu.
func (c *Coordinator) recordLimits(now time.Time, stated []*coordinatorpb.EndpointLimit, onlyUnknown bool) {
	var changed []*coordinatorpb.EndpointLimit
	for _, l := range stated {
		rate, known := c.endpointLimits[l.GetEndpoint()]
		if known && (onlyUnknown || rate == l.GetPerS()) || !known && l.GetPerS() == 0 {
			continue
		}
		c.endpointLimits[l.GetEndpoint()] = l.GetPerS()
		changed = append(changed, l)
		klog.InfoS("coordinator: endpoint limit changed", "endpoint", l.GetEndpoint(), "requests_per_s", l.GetPerS(), "before", rate)
		for _, s := range c.shards {
			s.admitter.Update(func(b *balancer.Balancer) { b.SetLimit(now, l.GetEndpoint(), l.GetPerS()) })
		}
	}
	if len(changed) == 0 {
		return
	}
	if len(c.endpointLimits) > maxEndpointLimits {
		maps.DeleteFunc(c.endpointLimits, func(id string, _ float64) bool {
			_, listed := c.endpointNames[Digest(id)]
			return !listed
		})
	}
	for _, s := range c.sessions {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Limits = append(o.Limits, changed...) })
	}
}

// applyLimits applies the limits that endpoints have stated in answers to the host.
func (s *session) applyLimits(now time.Time, limits []*coordinatorpb.EndpointLimit) {
	if len(limits) == 0 {
		return
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.recordLimits(now, limits, false)
}

// limitedPlacements returns the numbers of requests that this coordinator has placed at endpoints with a limit, where they differ
// from those sent before. The caller holds c.mu.
func (c *Coordinator) limitedPlacements(sent map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	if len(c.endpointLimits) == 0 {
		return out
	}
	for _, s := range c.shards {
		s.admitter.View(func(b *balancer.Balancer) { maps.Copy(out, b.LimitedPlacements()) })
	}
	maps.DeleteFunc(out, func(id string, placed uint64) bool { return sent[id] == placed })
	return out
}

// chargePlacements counts the requests that another coordinator has placed at endpoints with a limit since its last report: while
// not all hosts reach the same coordinator, several place at one endpoint. The caller holds c.mu.
func (c *Coordinator) chargePlacements(now time.Time, known map[string]uint64, reported []*coordinatorpb.LimitedPlacements) {
	for _, p := range reported {
		before, seen := known[p.GetEndpoint()]
		known[p.GetEndpoint()] = p.GetPlaced()
		if !seen || p.GetPlaced() <= before {
			// The first number includes requests of the past, and a lower one belongs to a limit that was stated anew.
			continue
		}
		for _, s := range c.shards {
			s.admitter.Update(func(b *balancer.Balancer) { b.ChargeLimit(now, p.GetEndpoint(), p.GetPlaced()-before) })
		}
	}
}

// EncodeLimits returns the message form of limits in requests per second, by endpoint.
func EncodeLimits(limits map[string]float64) []*coordinatorpb.EndpointLimit {
	var out []*coordinatorpb.EndpointLimit
	for id, rate := range limits {
		out = append(out, &coordinatorpb.EndpointLimit{Endpoint: id, PerS: rate})
	}
	return out
}
