package replayer

import (
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// failZone fails all hosts and endpoints of a zone; none of them answers or resets its connections.
func (s *sim) failZone(zone string) {
	var lost []*host
	for _, h := range s.hosts {
		if h.zone == zone {
			lost = append(lost, h)
		}
	}
	s.failHosts(lost, func() {
		for _, e := range s.endpoints {
			if e.cfg.Zone == zone {
				s.crash(e, true)
			}
		}
	})
}

// failHosts stops entry hosts and fails over the pools that they hold. It calls afterDown once the hosts are down and before
// their requests are reassigned.
func (s *sim) failHosts(lost []*host, afterDown func()) {
	lost = slices.DeleteFunc(lost, func(h *host) bool { return !h.up })
	for _, h := range lost {
		h.up = false
	}
	afterDown()
	for _, h := range lost {
		s.reassignRequests(h)
	}
	for _, p := range s.pools {
		switch {
		case p.holder.up:
			s.after(sessionTimeout, func() {
				for _, h := range lost {
					s.step(p, scheduler.HostLost{Host: h.name})
				}
			})
		case slices.Contains(lost, p.holder):
			s.scheduleFailover(p, failoverTime)
		}
	}
}

// scheduleFailover fails a pool over after the given time unless it has a new holder by then.
func (s *sim) scheduleFailover(p *pool, wait time.Duration) {
	epoch := p.epoch
	s.after(wait, func() {
		if p.epoch == epoch {
			s.failOver(p)
		}
	})
}

// failOver makes the first host that is up and not isolated the holder of a pool. Without one it tries again later.
func (s *sim) failOver(p *pool) {
	for _, h := range s.hosts {
		if h.up && !h.isolated {
			p.holder = h
			s.startHolder(p)
			return
		}
	}
	s.scheduleFailover(p, failoverTime)
}

func (s *sim) hostByName(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// isolate disconnects a host from all other hosts for the given time; callers and endpoints still reach it. Its streams are
// then reopened and begin with the full state. Pools that it holds fail over after its lease has expired.
func (s *sim) isolate(h *host, length time.Duration) {
	if !h.up || h.isolated {
		return
	}
	h.isolated, h.isolatedAt = true, s.now
	for _, p := range s.pools {
		epoch := p.epoch
		if p.holder == h {
			s.after(leaseTime, func() {
				if h.isolated && p.epoch == epoch {
					p.leaseExpired = true
					s.scheduleFailover(p, failoverTime-leaseTime)
				}
			})
			continue
		}
		s.after(sessionTimeout, func() {
			if h.isolated && h.up && p.epoch == epoch {
				s.step(p, scheduler.HostLost{Host: h.name})
			}
		})
	}
	s.after(length, func() {
		h.isolated = false
		for _, p := range s.pools {
			for _, other := range s.hosts {
				if other == h || p.holder == h {
					s.sendToHolder(other, p, s.syncState(other, p))
				}
			}
		}
	})
}
