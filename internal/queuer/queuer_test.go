package queuer

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against unfair order: workspaces are served by weight, callers of a workspace equally and requests of a caller by
// deadline, independent of how many requests each has.
func TestFairOrder(t *testing.T) {
	a := NewAccounts()
	a.SetWeight("heavy", 2)
	q := New[string](a)
	seq := uint64(0)
	push := func(workspace, caller, name string, deadline time.Duration) {
		seq++
		q.Push(Flow{0, workspace, caller}, deadline, seq, name)
	}
	for range 4 {
		push("heavy", "h", "h", 0)
		push("light", "big", "b", 0)
	}
	push("light", "small", "s2", 2)
	push("light", "small", "s1", 1)
	var got []string
	for q.Len() > 0 {
		e, _, _ := q.Head(0)
		q.Remove(e)
		p := Flow{0, "light", "big"}
		switch e.Value[0] {
		case 'h':
			p = Flow{0, "heavy", "h"}
		case 's':
			p.Caller = "small"
		}
		a.Charge(0, p.Workspace, p.Caller, 10)
		got = append(got, e.Value)
	}
	if diff := cmp.Diff("h b h h s1 h b s2 b b", strings.Join(got, " ")); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against credit for idle time: a caller that becomes active again must not be served first for the time it was idle.
func TestNoCreditForIdleTime(t *testing.T) {
	a := NewAccounts()
	q := New[string](a)
	busy := q.Push(Flow{0, "w", "busy"}, 0, 1, "busy")
	a.Charge(0, "w", "busy", 1000)
	a.Charge(0, "w", "busy", 10)
	q.Push(Flow{0, "w", "late"}, 0, 2, "late")
	a.Charge(0, "w", "late", 20)
	if e, _, _ := q.Head(0); e != busy {
		t.Errorf("head is %s; after one request of each it is the busy caller's turn", e.Value)
	}
	a.Charge(0, "w", "late", -1e6)
	if tag := a.get(accountKey{0, "w", "late"}).tag; tag < 1000 {
		t.Errorf("a refund moved the account back to %.0f, before the virtual time", tag)
	}
	a.Sweep()
	a.Sweep()
	if a.nodes[accountKey{0, "w", "busy"}] == nil {
		t.Error("Sweep deleted the account of a waiting caller")
	}
}

// Guards against the choice of requests of a parked workspace, also of those that arrive later or in a new tier.
func TestPark(t *testing.T) {
	q := New[string](NewAccounts())
	q.Push(Flow{0, "w", "c"}, 0, 1, "w")
	q.SetParked("w", true)
	q.Push(Flow{1, "w", "c"}, 0, 2, "w")
	for tier := range 2 {
		if _, _, ok := q.Head(tier); ok {
			t.Errorf("Head returns a parked request of tier %d", tier)
		}
	}
	q.SetParked("w", false)
	for tier := range 2 {
		if _, _, ok := q.Head(tier); !ok {
			t.Errorf("Head skips tier %d of a workspace that is not parked", tier)
		}
	}
}

func newTestShares() *Shares {
	return NewShares([]TierShare{
		{Order: 0, Share: 0.5, FloodWait: time.Second, AgeWait: 20 * time.Second},
		{Order: 1, Share: 0.3, FloodWait: time.Second, AgeWait: 20 * time.Second},
		{Order: 2, Share: 0.2, FloodWait: time.Second, AgeWait: 20 * time.Second},
	}, nil)
}

// simulate grants 100 requests of 100 tokens per second and returns the tokens that each tier received.
func simulate(s *Shares, from, to time.Duration, demand func(now time.Duration)) [3]float64 {
	var got [3]float64
	for now := from; now < to; now += 10 * time.Millisecond {
		demand(now)
		order := s.Order(now, nil)
		if aged, ok := s.AgedTier(); ok {
			order = []int{aged}
		}
		if len(order) > 0 {
			s.RecordService(now, order[0], 100, 100)
			got[order[0]] += 100
		}
	}
	return got
}

// Guards against a top tier that loses strict priority while its demand is within capacity, and against lower tiers that receive
// less than their shares once all tiers are flooded.
func TestSharesUnderFlood(t *testing.T) {
	s := newTestShares()
	n := 0
	got := simulate(s, 0, 20*time.Second, func(now time.Duration) {
		// The top tier demands 70% of the service, more than its share, and is served at once.
		n++
		arrives := n%10 < 7
		if arrives {
			s.RecordDemand(now, 0, 100)
		}
		s.RecordDemand(now, 2, 200)
		s.SetBacklog(0, arrives, 0)
		s.SetBacklog(2, true, 10*time.Second)
	})
	if got[0] != 0.7*200_000 {
		t.Errorf("within capacity the top tier received %.0f tokens, want 140000", got[0])
	}
	s = newTestShares()
	flood := func(now time.Duration) {
		for tier := range 3 {
			s.RecordDemand(now, tier, 300)
			s.SetBacklog(tier, true, min(now, 10*time.Second))
		}
	}
	simulate(s, 0, 10*time.Second, flood)
	got = simulate(s, 10*time.Second, 70*time.Second, flood)
	for tier, share := range []float64{0.5, 0.3, 0.2} {
		if part := got[tier] / 600_000; part < 0.9*share {
			t.Errorf("with all tiers flooded, tier %d received %.3f of the service, want 0.9 of its share %.1f", tier, part, share)
		}
	}
}

// Guards against starvation of a tier below others that use all service without being flooded.
func TestAgedTierIsServed(t *testing.T) {
	s := newTestShares()
	got := simulate(s, 0, 60*time.Second, func(now time.Duration) {
		s.RecordDemand(now, 0, 100)
		s.SetBacklog(0, true, 0)
		s.SetBacklog(2, true, now)
	})
	if part := got[2] / 600_000; part < 0.01 || part > 0.03 {
		t.Errorf("the aged tier received %.3f of the service, want about 0.02 after AgeWait", part)
	}
}
