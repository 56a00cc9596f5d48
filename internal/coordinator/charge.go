package coordinator

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// takeUses counts what the host has admitted itself.
func (s *session) takeUses(now time.Time, r *coordinatorpb.Report) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashSeen(now, r.GetCrashes())
	for _, fingerprint := range c.clearSeen(r.GetCleared()) {
		for _, p := range c.peers {
			p.clear(fingerprint)
		}
	}
	if r.GetUses() == nil {
		return
	}
	s.usesTold = true
	news := c.tally.Heard(now, s.host, allotter.Report{
		Process: c.incarnation[s.host], Age: s.age + now.Sub(s.since), Totals: DecodeUses(r.GetUses()), Hosts: 1,
	})
	for workspace, units := range news {
		c.allots.Charge(now, c.workspaces[workspace], units)
	}
}

// charge takes the units of an ask from the allotment of its workspace. It returns an answer if the allotment is used up.
func (s *session) charge(now time.Time, p *coordinatorpb.Ask) *admitter.RefusedError {
	c, units := s.c, float64(p.GetUnits())
	if units == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	name, limited := c.workspaces[p.GetWorkspace()]
	if !limited {
		return nil
	}
	ok, retry := c.allots.Take(now, name, units)
	if !ok {
		klog.V(1).InfoS("coordinator: allotment used up", "host", s.host, "workspace", name, "units", units, "level", c.allots.Level(name),
			"peers", c.allots.Peers(), "retry_after", retry)
		return &admitter.RefusedError{Reason: admitter.Allotment, RetryAfter: retry}
	}
	c.tally.Add(now, p.GetWorkspace(), units)
	s.paid[p.GetTicket()] = payment{workspace: p.GetWorkspace(), units: units}
	return nil
}

// payment is what an ask has taken from an allotment.
type payment struct {
	workspace uint64
	units     float64
}

// settle forgets the payment of a ticket, or gives it back if the request did not run.
func (s *session) settle(now time.Time, ticket uint64, ran bool) {
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	paid, known := s.paid[ticket]
	delete(s.paid, ticket)
	if !known || ran {
		return
	}
	c.allots.Return(now, c.workspaces[paid.workspace], paid.units)
	c.tally.Add(now, paid.workspace, -paid.units)
}
