package coordinator

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
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
