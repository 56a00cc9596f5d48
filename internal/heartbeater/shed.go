package heartbeater

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/leaseholder"
	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
)

// PermitRequestTTL is how long a request for a shed permit lasts unless it is repeated.
const PermitRequestTTL = 2 * time.Second

// shedState is the host's state of load shedding.
type shedState struct {
	// level is the last level received; delivered is the last one for which the callbacks have returned.
	level          permitter.Level
	delivered      permitter.Level
	permitRequests map[string]permitRequest
	// confirmedBelow is, per role, the tier order above which no work is left.
	confirmedBelow map[string]int
}

type permitRequest struct {
	tier  int
	until time.Time
}

func newShedState() shedState {
	open := permitter.Level{ClosedBelow: permitter.Open}
	return shedState{level: open, delivered: open, permitRequests: map[string]permitRequest{}, confirmedBelow: map[string]int{}}
}

func (s *shedState) removeRole(role string) {
	delete(s.permitRequests, role)
	delete(s.confirmedBelow, role)
}

func (s *shedState) reports(now time.Time, held map[string]leaseholder.Lease) []*controllerpb.ShedReport {
	var out []*controllerpb.ShedReport
	for role, l := range held {
		r := &controllerpb.ShedReport{
			Role: role, Epoch: l.Epoch, ConfirmedBelow: permitter.Open,
			Level: &controllerpb.ShedLevel{Term: s.delivered.Term, Number: s.delivered.Number, ClosedBelow: int64(s.delivered.ClosedBelow)},
		}
		if below, ok := s.confirmedBelow[role]; ok {
			r.ConfirmedBelow = int64(below)
		}
		if ask, ok := s.permitRequests[role]; ok && now.Before(ask.until) {
			r.Asks, r.AskedTier = true, int64(ask.tier)
		}
		out = append(out, r)
	}
	return out
}

// ShedLevel returns the current shed level: tiers with an order above it accept no new work. permitter.Open closes no tier.
func (a *Agent) ShedLevel() (closedBelow int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	return a.shed.level.ClosedBelow
}

// AskShedPermit requests that the leader close all tiers less urgent than tier and permit shedding tier. The request lasts
// PermitRequestTTL and must be repeated while it is needed; a negative tier withdraws it.
func (a *Agent) AskShedPermit(role string, tier int) {
	a.mu.Lock()
	a.init()
	_, asking := a.shed.permitRequests[role]
	if tier < 0 {
		delete(a.shed.permitRequests, role)
		a.mu.Unlock()
		return
	}
	changed := !asking || a.shed.permitRequests[role].tier != tier
	a.shed.permitRequests[role] = permitRequest{tier: tier, until: a.Clock.Now().Add(PermitRequestTTL)}
	a.mu.Unlock()
	if changed {
		a.RequestHeartbeat()
	}
}

// ConfirmClosed records that the scheduler of a role has no waiting or running request of a tier with an order above below,
// and accepts none while the level stays closed. The confirmation lasts until the level reopens or the role ends.
func (a *Agent) ConfirmClosed(role string, below int) {
	a.mu.Lock()
	a.init()
	// The confirmation covers only tiers that are closed both by the level delivered to the scheduler and by the current one.
	below = max(below, a.shed.delivered.ClosedBelow, a.shed.level.ClosedBelow)
	before, known := a.shed.confirmedBelow[role]
	a.shed.confirmedBelow[role] = below
	a.mu.Unlock()
	if !known || before != below {
		a.RequestHeartbeat()
	}
}

// OnShed registers a callback for level changes and permits: requests of tiers with an order of at least permitTier may be
// shed for permitFor. A permitTier of -1 permits nothing.
func (a *Agent) OnShed(fn func(closedBelow, permitTier int, permitFor time.Duration)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.onShed = append(a.onShed, fn)
}

func (a *Agent) applyShedLevel(sent time.Time, r *controllerpb.HeartbeatReply) {
	p := r.GetLevel()
	if p == nil {
		return
	}
	next := permitter.Level{Term: p.GetTerm(), Number: p.GetNumber(), ClosedBelow: int(p.GetClosedBelow())}
	changed := next.ClosedBelow != a.shed.level.ClosedBelow
	if next.ClosedBelow > a.shed.level.ClosedBelow {
		for role, below := range a.shed.confirmedBelow {
			a.shed.confirmedBelow[role] = max(below, next.ClosedBelow)
		}
	}
	a.shed.level = next
	tier, until := -1, sent.Add(time.Duration(r.GetPermitMs())*time.Millisecond)
	if r.GetPermits() {
		tier = int(r.GetPermitTier())
	}
	if !changed && tier < 0 {
		a.enqueueCallback(func() { a.setDeliveredLevel(next) })
		return
	}
	functions := a.onShed
	a.enqueueCallback(func() {
		left := max(time.Until(until), 0)
		if tier < 0 || left == 0 {
			tier, left = -1, 0
		}
		for _, fn := range functions {
			fn(next.ClosedBelow, tier, left)
		}
		a.setDeliveredLevel(next)
	})
}

func (a *Agent) setDeliveredLevel(level permitter.Level) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shed.delivered = level
}
