package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/acquirer"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// othersName identifies all other hosts together in the use of allotments.
	othersName = "others"
	// othersAge is the process age assumed for them, since part of their use precedes the start of this host.
	othersAge = time.Hour
)

// network adapts the transport to the network interface of the coordinator client.
type network struct{ *transporter.Transport }

// OpenStream opens a stream for a method on the host at addr.
func (n network) OpenStream(ctx context.Context, addr, method string) (acquirer.Stream, error) {
	return n.Transport.OpenStream(ctx, addr, method)
}

// sharedUse is the state of the exchange of allotment use with the coordinator.
type sharedUse struct {
	mu       sync.Mutex
	reported map[uint64]float64
	// sumsID identifies the series of sums received last, lastSums holds their values, and totals the increase since the start
	// of this host. The sums of different coordinators are unrelated series.
	sumsID   uint64
	lastSums map[uint64]float64
	totals   map[string]float64
	// hosts is the number of other hosts.
	hosts int
}

// fillReport adds the use of allotments and the crashes to a report: everything if all is set, else what has changed since the
// last report. It returns false if there is nothing to report.
func (h *Host) fillReport(r *coordinatorpb.Report, all bool) bool {
	h.sharedUse.mu.Lock()
	defer h.sharedUse.mu.Unlock()
	totals := map[uint64]float64{}
	for workspace, units := range h.gateway.AllotmentUsage() {
		totals[coordinator.Digest(workspace)] = units
	}
	if all {
		h.sharedUse.reported = nil
	}
	changed := coordinator.ChangedTotals(h.sharedUse.reported, totals)
	h.sharedUse.reported = totals
	hasChanges := all || len(changed) > 0
	if hasChanges {
		r.Uses = coordinator.EncodeUses(changed, 1)
	}
	crashes := h.gateway.TakeCrashUpdates(all)
	r.Crashes, r.Cleared = coordinator.EncodeCrashes(time.Now(), crashes.Crashes), crashes.Cleared
	r.Evidence = coordinator.EncodeEvidence(time.Now(), crashes.Evidence)
	hasChanges = hasChanges || len(crashes.Crashes)+len(crashes.Cleared)+len(crashes.Evidence) > 0
	return hasChanges
}

// usageWindows returns this host's view of the sliding windows of all allotments.
func (h *Host) usageWindows() *coordinatorpb.Uses {
	u := &coordinatorpb.Uses{}
	for workspace, parts := range h.gateway.UsageWindows() {
		coordinator.AppendWindow(u, coordinator.Digest(workspace), parts)
	}
	return u
}

// applyOrders applies the allotment use and the crashes of other hosts as sent by the coordinator.
func (h *Host) applyOrders(o *coordinatorpb.Orders) {
	h.gateway.MergeCrashUpdates(crashwatcher.Updates{
		Crashes: coordinator.DecodeCrashes(time.Now(), o.GetCrashes()), Cleared: o.GetCleared(),
		Evidence: coordinator.DecodeEvidence(time.Now(), o.GetEvidence()),
	})
	h.mergeLimits(o.GetLimits())
	h.applyVersionShares(o.GetVersions())
	index := h.index()
	if o.GetOthers() == nil || index == nil {
		return
	}
	names := map[uint64]string{}
	for _, w := range index.Table().Workspaces {
		names[coordinator.Digest(w.Name)] = w.Name
	}
	sums := coordinator.DecodeUses(o.GetOthers())
	h.sharedUse.mu.Lock()
	defer h.sharedUse.mu.Unlock()
	h.applyHosts(int(o.GetOthers().GetHosts()))
	sumsReset := o.GetOthersId() != h.sharedUse.sumsID
	h.gateway.UpdatePeerUsage(othersName, othersAge, h.sharedUse.addIncrease(o.GetOthersId(), sums, names), int(o.GetOthers().GetHosts()), sumsReset)
	if history := coordinator.DecodeHistory(o.GetOthers(), names); len(history) > 0 {
		h.gateway.MergeUsageWindows(history)
	}
}

// mergeLimits applies the limits of endpoints as sent by a coordinator.
func (h *Host) mergeLimits(limits []*coordinatorpb.EndpointLimit) {
	if len(limits) == 0 {
		return
	}
	rates := make(map[string]float64, len(limits))
	for _, l := range limits {
		rates[l.GetEndpoint()] = l.GetPerS()
	}
	h.gateway.MergeLimits(rates)
}

// applyHosts sets the part of the endpoints' limits that this host uses for requests that it places without a coordinator.
func (h *Host) applyHosts(others int) {
	if h.sharedUse.hosts == others {
		return
	}
	h.sharedUse.hosts = others
	h.admitter.Update(func(b *balancer.Balancer) { b.SetLimitShare(time.Now(), 1/float64(others+1)) })
}

// addIncrease adds the increase of the sums since the last call and returns the totals of the other hosts by workspace. Sums with
// a new id only set the base.
func (s *sharedUse) addIncrease(id uint64, sums map[uint64]float64, names map[uint64]string) map[string]float64 {
	if s.totals == nil {
		s.totals = map[string]float64{}
	}
	if id != s.sumsID || s.lastSums == nil {
		s.sumsID, s.lastSums = id, map[uint64]float64{}
	} else {
		for workspace, units := range sums {
			s.totals[names[workspace]] += max(0, units-s.lastSums[workspace])
		}
	}
	maps.Copy(s.lastSums, sums)
	return s.totals
}

// forwardNotice reports an endpoint's announcement about itself to the coordinators.
func (h *Host) forwardNotice(n gateway.EndpointStatus) {
	if n.LimitChanged {
		h.acquirer.ReportLimit(n.Endpoint, n.Limit)
		return
	}
	if n.Speed > 0 {
		h.acquirer.ReportSpeed(n.Endpoint, n.Speed)
		return
	}
	if n.Brittle {
		h.acquirer.ReportBrittle(n.Endpoint)
		return
	}
	h.acquirer.ReportStatus(n.Endpoint, n.Leaving, n.Returned, n.RetryAfter)
}
