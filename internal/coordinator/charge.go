package coordinator

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

const (
	// maxUnconfirmedShare is the share of an allotment in a window that a coordinator may admit before a majority of the control hosts knows
	// of it. One that is cut off admits no more, and its successor may admit the same units again.
	maxUnconfirmedShare = 0.04
	// unconfirmedRetryAfter is the retry delay of a request that was refused because of it. In that time the reports are answered, or the hosts
	// have another coordinator.
	unconfirmedRetryAfter = 300 * time.Millisecond
)

// applyUsage applies the crashes and the evidence in a report and counts the units that the host has admitted without a coordinator.
func (s *session) applyUsage(now time.Time, r *coordinatorpb.Report) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordCrashes(now, r.GetCrashes())
	c.recordEvidence(now, r.GetEvidence())
	for _, fingerprint := range c.recordCleared(r.GetCleared()) {
		for _, p := range c.peers {
			p.queueCleared(fingerprint)
		}
	}
	if r.GetUses() == nil {
		return
	}
	s.usageReceived = true
	changed := c.tally.ApplyReport(now, s.host, ratelimiter.Report{
		Process: c.incarnations[s.host], Age: s.hostAge + now.Sub(s.startedAt), Totals: DecodeUses(r.GetUses()), Hosts: 1,
	})
	for workspace, units := range changed {
		c.allotments.Charge(now, c.workspaceNames[workspace], units)
	}
}

// chargeAllotment takes the units of a placement request from the allotment of its workspace. It returns a refusal if the
// allotment is exhausted.
func (s *session) chargeAllotment(now time.Time, p *coordinatorpb.Ask) *admitter.RefusedError {
	c, units := s.c, float64(p.GetUnits())
	if units == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	name, limited := c.workspaceNames[p.GetWorkspace()]
	if !limited {
		return nil
	}
	if c.exceedsUnconfirmed(p.GetWorkspace(), units) {
		countAsks.Add("unconfirmed", 1)
		klog.V(1).InfoS("coordinator: units not confirmed", "host", s.host, "workspace", name, "units", units)
		return &admitter.RefusedError{Reason: admitter.AllotmentExhausted, RetryAfter: unconfirmedRetryAfter}
	}
	ok, retry := c.allotments.Take(now, name, units)
	if !ok {
		klog.V(1).InfoS("coordinator: allotment used up", "host", s.host, "workspace", name, "units", units, "level", c.allotments.Available(name),
			"peers", c.allotments.PeerHosts(), "retry_after", retry)
		return &admitter.RefusedError{Reason: admitter.AllotmentExhausted, RetryAfter: retry}
	}
	c.tally.Add(now, p.GetWorkspace(), units)
	s.charges[p.GetTicket()] = allotmentCharge{workspace: p.GetWorkspace(), units: units}
	return nil
}

// exceedsUnconfirmed reports whether a charge would exceed the units that this coordinator may admit before the others know of them. It
// sends reports early once half of them is used up. The caller holds c.mu.
func (c *Coordinator) exceedsUnconfirmed(workspace uint64, units float64) bool {
	needed := (len(c.peerIDs) + 1) / 2
	if needed == 0 {
		return false
	}
	confirmed := make([]float64, 0, len(c.peerIDs))
	for _, id := range c.peerIDs {
		if p := c.peers[id]; p != nil {
			confirmed = append(confirmed, p.ackedTotals[workspace])
		} else {
			confirmed = append(confirmed, 0)
		}
	}
	slices.Sort(confirmed)
	l := c.limits[c.workspaceNames[workspace]]
	most := maxUnconfirmedShare * (l.Rate*c.allotmentWindow().Seconds() + l.Burst)
	unconfirmed := max(0, c.tally.LocalTotal(workspace)-confirmed[len(confirmed)-needed])
	if unconfirmed+units > most/2 {
		select {
		case c.wakeReports <- struct{}{}:
		default:
		}
	}
	return unconfirmed > 0 && unconfirmed+units > most
}

// setPeerIDs sets the other control hosts.
func (c *Coordinator) setPeerIDs(peers []sharder.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerIDs = c.peerIDs[:0]
	for _, p := range peers {
		c.peerIDs = append(c.peerIDs, p.ID)
	}
}

// allotmentWindow returns the length of the sliding window of allotments.
func (c *Coordinator) allotmentWindow() time.Duration {
	if c.AllotmentWindow > 0 {
		return c.AllotmentWindow
	}
	return ratelimiter.DefaultWindow
}

// allotmentCharge is the units that a placement request has taken from an allotment.
type allotmentCharge struct {
	workspace uint64
	units     float64
}

// settleCharge removes the charge of a ticket, and refunds it if the request did not run.
func (s *session) settleCharge(now time.Time, ticket uint64, ran bool) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	charge, known := s.charges[ticket]
	delete(s.charges, ticket)
	if !known || ran {
		return
	}
	c.allotments.Return(now, c.workspaceNames[charge.workspace], charge.units)
	c.tally.Add(now, charge.workspace, -charge.units)
}
