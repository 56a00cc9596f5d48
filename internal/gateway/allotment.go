package gateway

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// LimitsOf returns the allotments of a table by workspace.
func LimitsOf(t *router.Table) map[string]ratelimiter.Limit {
	limits := map[string]ratelimiter.Limit{}
	for _, w := range t.Workspaces {
		if w.Rate > 0 {
			limits[w.Name] = ratelimiter.Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	return limits
}

// AllotmentUsage returns the allotment units that this host has admitted since its start, by workspace.
func (g *Gateway) AllotmentUsage() map[string]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allotments.Used()
}

// UsageWindows returns the sliding windows of allotment usage that this host has, by workspace.
func (g *Gateway) UsageWindows() map[string][]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allotments.Windows(time.Now())
}

// MergeUsageWindows merges the sliding windows of allotment usage of a peer.
func (g *Gateway) MergeUsageWindows(history map[string][]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allotments.MergeWindows(time.Now(), history)
}

// UpdatePeerUsage updates the allotment usage of a peer process, which has run for age. The usage may be the sum over several
// hosts. MissedUsage is true if the totals do not include what was used since the previous update.
func (g *Gateway) UpdatePeerUsage(process string, age time.Duration, used map[string]float64, hosts int, missedUsage bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if missedUsage {
		g.allotments.CommitAssumed(time.Now(), process)
	}
	g.allotments.ApplyReport(time.Now(), process, age, used)
	g.allotments.SetPeerHosts(process, hosts)
}

// ChargeAllotment takes units from the allotment of a workspace. If the allotment is exhausted, it returns false and the retry
// delay.
func (g *Gateway) ChargeAllotment(workspace string, units float64) (ok bool, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.allotments.Take(time.Now(), workspace, units)
}
