package replayer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// Times of the control leader and of the hosts' agents, as the control service uses them.
const (
	permitTime = time.Second
	leaseTime  = time.Second
	clockSlack = leaseTime / 10
	askTime    = 2 * time.Second // how long an ask stands unless it is repeated
)

// leader plays the control leader around the real decisions on permits. It stays up during a replay.
type leader struct {
	sim     *sim
	zone    string
	permits *permitter.Permitter
}

// shedState is the part of a holder's agent: what it was told and what its scheduler has said.
type shedState struct {
	told      permitter.Level
	askTier   int
	askUntil  time.Duration
	confirmed int
}

func newLeader(s *sim) *leader {
	return &leader{sim: s, zone: s.hosts[0].zone, permits: permitter.New(0, permitter.Options{
		Term: 1, PermitFor: permitTime, Margin: clockSlack, ReportFor: leaseTime + clockSlack,
	})}
}

// level returns the level in force; a new holder starts from it.
func (l *leader) level() permitter.Level {
	level, _ := l.permits.Level()
	return level
}

// beat sends the heartbeat of a pool's holder and acts on the answer.
func (l *leader) beat(p *pool) {
	if !p.holder.up || p.holder.cut || p.lapsed {
		return
	}
	s, sent, epoch := l.sim, l.sim.now, p.epoch
	report := permitter.Report{
		Epoch: epoch, Level: p.shed.told, ConfirmedBelow: p.shed.confirmed,
		Asks: s.now < p.shed.askUntil, AskedTier: p.shed.askTier,
	}
	wait := delay(p.holder.zone, l.zone)
	s.after(wait, func() {
		l.permits.Report(s.now, p.name, report)
		l.permits.Step(s.now, l.roles(), s.maxOrder)
		level, known := l.permits.Level()
		tier, permitted := l.permits.Permit(s.now)
		if !known {
			return
		}
		s.after(wait, func() {
			if p.epoch == epoch {
				l.accept(p, level, tier, permitted, sent+permitTime-s.now)
			}
		})
	})
}

func (l *leader) roles() []permitter.Role {
	var roles []permitter.Role
	for _, p := range l.sim.pools {
		roles = append(roles, permitter.Role{Name: p.name, Epoch: p.epoch, Live: p.holder.up && !p.lapsed})
	}
	return roles
}

// accept passes the answer of a heartbeat on to the scheduler, as the holder does.
func (l *leader) accept(p *pool, level permitter.Level, tier int, permitted bool, left time.Duration) {
	s := l.sim
	changed := level.ClosedBelow != p.shed.told.ClosedBelow
	if level.ClosedBelow > p.shed.told.ClosedBelow {
		p.shed.confirmed = max(p.shed.confirmed, level.ClosedBelow)
	}
	if changed || permitted {
		s.step(p, scheduler.TiersClosed{Below: level.ClosedBelow})
	}
	p.shed.told = level
	if !permitted {
		return
	}
	for _, t := range s.trace.Header.Config.Tiers {
		if t.Order >= tier {
			s.step(p, scheduler.ShedPermitted{Tier: t.Order, For: left})
		}
	}
}

// ask notes that a pool needs a permit.
func (l *leader) ask(p *pool, tier int) {
	p.shed.askTier, p.shed.askUntil = tier, l.sim.now+askTime
}

// confirm notes that a pool has no work left above an order. It counts for no more than the level that was told.
func (l *leader) confirm(p *pool, below int) {
	p.shed.confirmed = max(below, p.shed.told.ClosedBelow)
}
