package replayer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// Durations of the control leader and of the hosts' agents, equal to those of the control service.
const (
	permitTime = time.Second
	leaseTime  = time.Second
	clockSlack = leaseTime / 10
	askTime    = 2 * time.Second // how long an ask for a permit is valid unless it is repeated
)

// leader simulates the control leader and uses the real permitter for its decisions. It does not fail during a replay.
type leader struct {
	sim     *sim
	zone    string
	permits *permitter.Permitter
}

// shedState is the shedding state of a holder's agent: the level that it received, and the asks and confirmations of its
// scheduler.
type shedState struct {
	level     permitter.Level
	askTier   int
	askUntil  time.Duration
	confirmed int
}

func newLeader(s *sim) *leader {
	return &leader{sim: s, zone: s.hosts[0].zone, permits: permitter.New(0, permitter.Options{
		Term: 1, PermitTTL: permitTime, Margin: clockSlack, ReportTTL: leaseTime + clockSlack,
	})}
}

// level returns the level in force; a new holder starts from it.
func (l *leader) level() permitter.Level {
	level, _ := l.permits.Level()
	return level
}

// heartbeat sends the heartbeat of a pool's holder and handles the reply.
func (l *leader) heartbeat(p *pool) {
	if !p.holder.up || p.holder.isolated || p.leaseExpired {
		return
	}
	s, sent, epoch := l.sim, l.sim.now, p.epoch
	report := permitter.Report{
		Epoch: epoch, Level: p.shed.level, ConfirmedBelow: p.shed.confirmed,
		RequestsPermit: s.now < p.shed.askUntil, RequestedTier: p.shed.askTier,
	}
	wait := networkDelay(p.holder.zone, l.zone)
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
				l.applyReply(p, level, tier, permitted, sent+permitTime-s.now)
			}
		})
	})
}

func (l *leader) roles() []permitter.Role {
	var roles []permitter.Role
	for _, p := range l.sim.pools {
		roles = append(roles, permitter.Role{Name: p.name, Epoch: p.epoch, Live: p.holder.up && !p.leaseExpired})
	}
	return roles
}

// applyReply passes the reply to a heartbeat on to the scheduler, as the holder does.
func (l *leader) applyReply(p *pool, level permitter.Level, tier int, permitted bool, left time.Duration) {
	s := l.sim
	changed := level.ClosedBelow != p.shed.level.ClosedBelow
	if level.ClosedBelow > p.shed.level.ClosedBelow {
		p.shed.confirmed = max(p.shed.confirmed, level.ClosedBelow)
	}
	if changed || permitted {
		s.step(p, scheduler.TiersClosed{Below: level.ClosedBelow})
	}
	p.shed.level = level
	if !permitted {
		return
	}
	for _, t := range s.trace.Header.Config.Tiers {
		if t.Order >= tier {
			s.step(p, scheduler.ShedPermitted{Tier: t.Order, Duration: left})
		}
	}
}

// recordAsk records that a pool asks for a permit.
func (l *leader) recordAsk(p *pool, tier int) {
	p.shed.askTier, p.shed.askUntil = tier, l.sim.now+askTime
}

// recordConfirmation records that a pool has no work left in the closed tiers. A confirmation never covers more tiers than
// the level that the holder received.
func (l *leader) recordConfirmation(p *pool, below int) {
	p.shed.confirmed = max(below, p.shed.level.ClosedBelow)
}
