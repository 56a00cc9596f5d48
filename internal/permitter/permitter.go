// Package permitter decides which tiers are closed and when a tier may be shed. It is pure: time and reports are inputs.
//
// A permit for tier T lets every pool shed requests of tiers with an order of at least T. It is given only while the
// scheduler of every pool has confirmed, under the level in force, that no work of the tiers below T is left.
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

// Report is what the scheduler of a role says in a heartbeat.
type Report struct {
	Epoch uint64
	// Level is the one that the scheduler acts on.
	Level Level
	// ConfirmedBelow is the order above which no work is left; Open confirms nothing.
	ConfirmedBelow int
	Asks           bool
	AskedTier      int
}

// Role is a pool's scheduler role as the leader knows it.
type Role struct {
	Name  string
	Epoch uint64
	// Live is true while the lease of the holder has been renewed in time.
	Live bool
}

// Options are the parameters of a Permitter.
type Options struct {
	// Term is the leader's term.
	Term uint64
	// PermitFor is how long a host may use a permit, from the time it sent its heartbeat.
	PermitFor time.Duration
	// Margin is added wherever the leader waits for a permit to expire, for clocks that run at different rates.
	Margin time.Duration
	// ReportFor is how long a report counts.
	ReportFor time.Duration
}

// Permitter is the leader's state of shedding in one term. Times are durations since an arbitrary origin.
type Permitter struct {
	options  Options
	holdEnd  time.Duration
	known    bool
	level    Level
	reports  map[string]timedReport
	expiry   map[int]time.Duration
	reopened time.Duration
	permit   int
	permits  bool
}

type timedReport struct {
	Report
	at time.Duration
}

// New starts a term. The level is not known, and nothing is permitted or reopened, until the permits of an earlier leader
// have expired.
func New(now time.Duration, o Options) *Permitter {
	return &Permitter{
		options: o, holdEnd: now + o.PermitFor + o.Margin, level: Level{Term: o.Term, ClosedBelow: Open},
		reports: map[string]timedReport{}, expiry: map[int]time.Duration{}, reopened: math.MinInt64 / 2,
	}
}

// Report stores the latest report of a role's holder.
func (p *Permitter) Report(now time.Duration, role string, r Report) {
	if last, ok := p.reports[role]; ok && last.Epoch > r.Epoch {
		return
	}
	p.reports[role] = timedReport{Report: r, at: now}
}

// Level returns the level in force, and false while a new leader does not know it.
func (p *Permitter) Level() (Level, bool) { return p.level, p.known }

// Step takes the roles of all pools and the order of the least urgent tier, moves the level and decides on permits. It
// returns true when the level changed.
func (p *Permitter) Step(now time.Duration, roles []Role, lowest int) bool {
	p.permits = false
	if now < p.holdEnd {
		return false
	}
	changed := !p.known
	p.known = true
	current := p.current(now, roles)
	target := p.target(current, lowest)
	switch {
	case target < p.level.ClosedBelow && now >= p.reopened+p.options.PermitFor:
		// The pause after a reopening keeps a confirmation from before it apart from one after the next closing.
		p.setLevel(target)
		changed = true
	case target > p.level.ClosedBelow && !p.outstandingBelow(now, target):
		p.setLevel(target)
		p.reopened = now
		changed = true
	}
	p.decide(current, roles, target, lowest)
	return changed
}

func (p *Permitter) setLevel(closedBelow int) {
	p.level.Number++
	p.level.ClosedBelow = closedBelow
}

// current returns the reports of the present holders.
func (p *Permitter) current(now time.Duration, roles []Role) map[string]Report {
	out := make(map[string]Report, len(roles))
	for _, role := range roles {
		r, ok := p.reports[role.Name]
		if ok && role.Live && role.Epoch > 0 && r.Epoch == role.Epoch && now-r.at < p.options.ReportFor {
			out[role.Name] = r.Report
		}
	}
	return out
}

// target returns the most urgent tier asked for, or Open when nobody asks.
func (p *Permitter) target(current map[string]Report, lowest int) int {
	target := Open
	for _, r := range current {
		if r.Asks {
			target = min(target, max(0, min(r.AskedTier, lowest)))
		}
	}
	return target
}

// outstandingBelow reports whether a permit for a tier more urgent than tier may still be in use.
func (p *Permitter) outstandingBelow(now time.Duration, tier int) bool {
	for t, until := range p.expiry {
		if now >= until {
			delete(p.expiry, t)
		} else if t < tier {
			return true
		}
	}
	return false
}

// decide permits the most urgent tier that is asked for and below which every pool is empty.
func (p *Permitter) decide(current map[string]Report, roles []Role, target, lowest int) {
	if target == Open || len(roles) == 0 {
		return
	}
	tier := max(target, min(p.level.ClosedBelow, lowest))
	for _, role := range roles {
		r, ok := current[role.Name]
		if !ok || r.Level != p.level {
			return
		}
		tier = max(tier, min(r.ConfirmedBelow, lowest))
	}
	p.permit, p.permits = tier, true
}

// Permit returns the tier that may be shed, for the answer to a heartbeat. Call it directly after Step.
func (p *Permitter) Permit(now time.Duration) (tier int, ok bool) {
	if !p.permits {
		return 0, false
	}
	p.expiry[p.permit] = now + p.options.PermitFor + p.options.Margin
	return p.permit, true
}
