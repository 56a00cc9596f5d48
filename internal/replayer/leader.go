package replayer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

const (
	permitTime = 2 * time.Second
	// askMemory is how long a pool's request for a permit stands without being repeated.
	askMemory = time.Second
)

// leader plays the control leader: it closes tiers, collects the confirmations of all pools and permits shedding.
// Its messages travel with the heartbeats of the hosts.
type leader struct {
	sim       *sim
	zone      string
	level     int // tiers with an order above it are closed
	asks      map[*pool]ask
	confirmed map[*pool]bool
	until     time.Duration // end of the permit that was given last
}

type ask struct {
	tier int
	at   time.Duration
}

func newLeader(s *sim) *leader {
	return &leader{sim: s, zone: s.hosts[0].zone, level: s.maxOrder, asks: map[*pool]ask{}, confirmed: map[*pool]bool{}}
}

func (l *leader) ask(p *pool, tier int) {
	l.asks[p] = ask{tier: tier, at: l.sim.now}
}

func (l *leader) confirm(p *pool, below int) {
	if below <= l.level {
		l.confirmed[p] = true
	}
}

// beat acts on what the heartbeats have brought.
func (l *leader) beat() {
	want := l.sim.maxOrder
	for _, a := range l.asks {
		if l.sim.now-a.at <= askMemory {
			want = min(want, a.tier)
		}
	}
	switch {
	case want < l.level:
		l.close(want)
	case want > l.level && l.sim.now >= l.until:
		l.close(want)
	}
	if l.level < l.sim.maxOrder && want == l.level && l.allConfirmed() {
		l.until = l.sim.now + permitTime
		l.broadcast(scheduler.ShedPermitted{Tier: l.level, For: permitTime - heartbeatInterval})
	}
}

func (l *leader) close(level int) {
	l.level = level
	clear(l.confirmed)
	l.broadcast(scheduler.TiersClosed{Below: level})
}

func (l *leader) allConfirmed() bool {
	for _, p := range l.sim.pools {
		if !l.confirmed[p] {
			return false
		}
	}
	return true
}

func (l *leader) broadcast(ev scheduler.Event) {
	for _, p := range l.sim.pools {
		l.sim.after(heartbeatInterval/2, func() { l.sim.step(p, ev) })
	}
}
