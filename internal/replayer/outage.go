package replayer

import (
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// loseZone silences all hosts and endpoints of a zone.
func (s *sim) loseZone(zone string) {
	var lost []*host
	for _, h := range s.hosts {
		if h.zone == zone {
			lost = append(lost, h)
		}
	}
	s.loseHosts(lost, func() {
		for _, e := range s.endpoints {
			if e.cfg.Zone == zone {
				s.crash(e, true)
			}
		}
	})
}

// loseHosts ends entry hosts, and with them the pools that they hold. Also runs once they no longer act.
func (s *sim) loseHosts(lost []*host, also func()) {
	lost = slices.DeleteFunc(lost, func(h *host) bool { return !h.up })
	for _, h := range lost {
		h.up = false
	}
	also()
	for _, h := range lost {
		s.orphan(h)
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
			s.replaceLater(p, failoverTime)
		}
	}
}

// replaceLater gives a pool to another host unless that has happened by then.
func (s *sim) replaceLater(p *pool, wait time.Duration) {
	epoch := p.epoch
	s.after(wait, func() {
		if p.epoch == epoch {
			s.failOver(p)
		}
	})
}

// failOver gives a pool to the first host in contact with the others; without one it tries again.
func (s *sim) failOver(p *pool) {
	for _, h := range s.hosts {
		if h.up && !h.cut {
			p.holder = h
			s.install(p)
			return
		}
	}
	s.replaceLater(p, failoverTime)
}

func (s *sim) hostNamed(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// cutOff ends the contact of a host to all other hosts of the system; callers and endpoints still reach it. Its streams
// are reopened with full accounts afterwards. Pools that it holds lapse with its lease.
func (s *sim) cutOff(h *host, length time.Duration) {
	if !h.up || h.cut {
		return
	}
	h.cut, h.cutAt = true, s.now
	for _, p := range s.pools {
		epoch := p.epoch
		if p.holder == h {
			s.after(leaseTime, func() {
				if h.cut && p.epoch == epoch {
					p.lapsed = true
					s.replaceLater(p, failoverTime-leaseTime)
				}
			})
			continue
		}
		s.after(sessionTimeout, func() {
			if h.cut && h.up && p.epoch == epoch {
				s.step(p, scheduler.HostLost{Host: h.name})
			}
		})
	}
	s.after(length, func() {
		h.cut = false
		for _, p := range s.pools {
			for _, other := range s.hosts {
				if other == h || p.holder == h {
					s.toPool(other, p, s.account(other, p))
				}
			}
		}
	})
}
