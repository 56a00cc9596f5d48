// Package permitter decides which tiers are closed and when a tier may be shed. It does no I/O and reads no clock: time and
// reports are inputs.
//
// A permit for tier T lets every pool shed requests of tiers with an order of at least T. It is issued only while the
// scheduler of every pool has confirmed, at the current level, that it has no work left of tiers with an order above T.
package permitter

import (
	"math"
	"time"
)

// Open is the level that closes no tier.
const Open = math.MaxInt32

// Level closes the tiers with an order above ClosedBelow. Term and Number grow with each change.
type Level struct {
	Term        uint64
	Number      uint64
	ClosedBelow int
}

// Report is the part of a heartbeat that comes from the scheduler of a role.
type Report struct {
	Epoch uint64
	// Level is the level that the scheduler has applied.
	Level Level
	// ConfirmedBelow is the tier order above which no work is left; Open confirms nothing.
	ConfirmedBelow int
	RequestsPermit bool
	RequestedTier  int
}

// Role is the leader's view of a pool's scheduler role.
type Role struct {
	Name  string
	Epoch uint64
	// Live is true while the holder may still have a valid lease.
	Live bool
}

// Options are the parameters of a Permitter.
type Options struct {
	// Term is the leader's term.
	Term uint64
	// PermitTTL is how long a host may use a permit, counted from the time it sent the heartbeat.
	PermitTTL time.Duration
	// Margin is added whenever the leader waits for a permit to expire, because clocks run at different rates.
	Margin time.Duration
	// ReportTTL is how long a report is valid.
	ReportTTL time.Duration
}

// Permitter is the leader's state of load shedding in one term. Times are durations since an arbitrary origin.
type Permitter struct {
	options      Options
	decideFrom   time.Duration
	known        bool
	level        Level
	reports      map[string]timedReport
	permitExpiry map[int]time.Duration
	reopenedAt   time.Duration
	permit       int
	permits      bool
}

type timedReport struct {
	Report
	at time.Duration
}

// New returns the state of a term that starts now. Until the permits of an earlier leader have expired, the level is unknown
// and nothing is permitted or reopened.
func New(now time.Duration, o Options) *Permitter {
	return &Permitter{
		options: o, decideFrom: now + o.PermitTTL + o.Margin, level: Level{Term: o.Term, ClosedBelow: Open},
		reports: map[string]timedReport{}, permitExpiry: map[int]time.Duration{}, reopenedAt: math.MinInt64 / 2,
	}
}

// Report records the latest report of a role's holder. A report with an older epoch is ignored.
func (p *Permitter) Report(now time.Duration, role string, r Report) {
	if last, ok := p.reports[role]; ok && last.Epoch > r.Epoch {
		return
	}
	p.reports[role] = timedReport{Report: r, at: now}
}

// Level returns the current level, and false while it is unknown after a change of leader.
func (p *Permitter) Level() (Level, bool) { return p.level, p.known }

// Step updates the level and decides whether to issue permits, given the roles of all pools and the order of the least urgent
// tier. It reports whether the level changed or became known.
func (p *Permitter) Step(now time.Duration, roles []Role, lowestTier int) bool {
	p.permits = false
	if now < p.decideFrom {
		return false
	}
	changed := !p.known
	p.known = true
	current := p.currentReports(now, roles)
	target := p.targetLevel(current, lowestTier)
	switch {
	case target < p.level.ClosedBelow && now >= p.reopenedAt+p.options.PermitTTL:
		// The level does not close again within PermitTTL of a reopening, so that a confirmation from before the reopening is
		// not taken for one after the next closing.
		p.setLevel(target)
		changed = true
	case target > p.level.ClosedBelow && !p.outstandingBelow(now, target):
		p.setLevel(target)
		p.reopenedAt = now
		changed = true
	}
	p.decidePermit(current, roles, target, lowestTier)
	return changed
}

func (p *Permitter) setLevel(closedBelow int) {
	p.level.Number++
	p.level.ClosedBelow = closedBelow
}

// currentReports returns the valid reports of live holders, by role.
func (p *Permitter) currentReports(now time.Duration, roles []Role) map[string]Report {
	out := make(map[string]Report, len(roles))
	for _, role := range roles {
		r, ok := p.reports[role.Name]
		if ok && role.Live && role.Epoch > 0 && r.Epoch == role.Epoch && now-r.at < p.options.ReportTTL {
			out[role.Name] = r.Report
		}
	}
	return out
}

// targetLevel returns the order of the most urgent tier that a report requests a permit for, or Open if there is none.
func (p *Permitter) targetLevel(current map[string]Report, lowestTier int) int {
	target := Open
	for _, r := range current {
		if r.RequestsPermit {
			target = min(target, max(0, min(r.RequestedTier, lowestTier)))
		}
	}
	return target
}

// outstandingBelow reports whether a permit for a tier more urgent than tier may still be in use, and drops expired permits.
func (p *Permitter) outstandingBelow(now time.Duration, tier int) bool {
	for t, until := range p.permitExpiry {
		if now >= until {
			delete(p.permitExpiry, t)
		} else if t < tier {
			return true
		}
	}
	return false
}

// decidePermit permits the most urgent requested tier for which every pool has confirmed that it has no work of less urgent
// tiers.
func (p *Permitter) decidePermit(current map[string]Report, roles []Role, target, lowestTier int) {
	if target == Open || len(roles) == 0 {
		return
	}
	tier := max(target, min(p.level.ClosedBelow, lowestTier))
	for _, role := range roles {
		r, ok := current[role.Name]
		if !ok || r.Level != p.level {
			return
		}
		tier = max(tier, min(r.ConfirmedBelow, lowestTier))
	}
	p.permit, p.permits = tier, true
}

// Permit returns the tier that may be shed, for the reply to a heartbeat, and records when that permit expires. Call it
// directly after Step.
func (p *Permitter) Permit(now time.Duration) (tier int, ok bool) {
	if !p.permits {
		return 0, false
	}
	p.permitExpiry[p.permit] = now + p.options.PermitTTL + p.options.Margin
	return p.permit, true
}
