package heartbeater

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/leaseholder"
	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
)

// AskFor is how long an ask for a shed permit lasts unless it is repeated.
const AskFor = 2 * time.Second

// shedState is the host's part of the shed level.
type shedState struct {
	// level is the last one received, told the last one that the callbacks have seen.
	level permitter.Level
	told  permitter.Level
	asks  map[string]shedAsk
	// confirmed holds, per role, the order above which no work is left.
	confirmed map[string]int
}

type shedAsk struct {
	tier  int
	until time.Time
}

func newShedState() shedState {
	open := permitter.Level{ClosedBelow: permitter.Open}
	return shedState{level: open, told: open, asks: map[string]shedAsk{}, confirmed: map[string]int{}}
}

func (s *shedState) forget(role string) {
	delete(s.asks, role)
	delete(s.confirmed, role)
}

func (s *shedState) reports(now time.Time, held map[string]leaseholder.Lease) []*controllerpb.ShedReport {
	var out []*controllerpb.ShedReport
	for role, l := range held {
		r := &controllerpb.ShedReport{
			Role: role, Epoch: l.Epoch, ConfirmedBelow: permitter.Open,
			Level: &controllerpb.ShedLevel{Term: s.told.Term, Number: s.told.Number, ClosedBelow: int64(s.told.ClosedBelow)},
		}
		if below, ok := s.confirmed[role]; ok {
			r.ConfirmedBelow = int64(below)
		}
		if ask, ok := s.asks[role]; ok && now.Before(ask.until) {
			r.Asks, r.AskedTier = true, int64(ask.tier)
		}
		out = append(out, r)
	}
	return out
}

// ShedLevel returns the level in force: tiers with an order above it take no new work. permitter.Open closes none.
func (a *Agent) ShedLevel() (closedBelow int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	return a.shed.level.ClosedBelow
}

// AskShedPermit asks the leader to close all tiers below a tier and to permit shedding it. An ask lasts AskFor and is
// repeated while it is needed; a negative tier takes it back.
func (a *Agent) AskShedPermit(role string, tier int) {
	a.mu.Lock()
	a.init()
	_, asking := a.shed.asks[role]
	if tier < 0 {
		delete(a.shed.asks, role)
		a.mu.Unlock()
		return
	}
	changed := !asking || a.shed.asks[role].tier != tier
	a.shed.asks[role] = shedAsk{tier: tier, until: a.Clock.Now().Add(AskFor)}
	a.mu.Unlock()
	if changed {
		a.Wake()
	}
}

// ConfirmClosed states that the scheduler of a role has no waiting or running request of a tier with an order above below,
// and takes none while the level stays closed. It lasts until the level reopens or the role ends.
func (a *Agent) ConfirmClosed(role string, below int) {
	a.mu.Lock()
	a.init()
	// A confirmation counts for no more than the level that the scheduler has seen and that still stands.
	below = max(below, a.shed.told.ClosedBelow, a.shed.level.ClosedBelow)
	before, known := a.shed.confirmed[role]
	a.shed.confirmed[role] = below
	a.mu.Unlock()
	if !known || before != below {
		a.Wake()
	}
}

// OnShed registers a function that is called when the level changes and with each permit: requests of tiers with an order
// of at least permitTier may be shed for permitFor. A permitTier of -1 permits nothing.
func (a *Agent) OnShed(fn func(closedBelow, permitTier int, permitFor time.Duration)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.onShed = append(a.onShed, fn)
}

func (a *Agent) acceptShed(sent time.Time, r *controllerpb.HeartbeatReply) {
	p := r.GetLevel()
	if p == nil {
		return
	}
	next := permitter.Level{Term: p.GetTerm(), Number: p.GetNumber(), ClosedBelow: int(p.GetClosedBelow())}
	changed := next.ClosedBelow != a.shed.level.ClosedBelow
	if next.ClosedBelow > a.shed.level.ClosedBelow {
		for role, below := range a.shed.confirmed {
			a.shed.confirmed[role] = max(below, next.ClosedBelow)
		}
	}
	a.shed.level = next
	tier, until := -1, sent.Add(time.Duration(r.GetPermitMs())*time.Millisecond)
	if r.GetPermits() {
		tier = int(r.GetPermitTier())
	}
	if !changed && tier < 0 {
		a.enqueue(func() { a.setTold(next) })
		return
	}
	functions := a.onShed
	a.enqueue(func() {
		left := max(time.Until(until), 0)
		if tier < 0 || left == 0 {
			tier, left = -1, 0
		}
		for _, fn := range functions {
			fn(next.ClosedBelow, tier, left)
		}
		a.setTold(next)
	})
}

func (a *Agent) setTold(level permitter.Level) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shed.told = level
}
