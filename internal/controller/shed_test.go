package controller_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/controller"
)

const leastUrgentTier = 2

// fakeScheduler is a minimal pool scheduler: it serves open tiers, confirms when closed tiers have no work left, and sheds
// while it has a permit.
type fakeScheduler struct {
	mu          sync.Mutex
	agent       *controller.Agent
	role        string
	epoch       uint64
	closedBelow int
	busy        [leastUrgentTier + 1]bool
	permitTier  int
	permitUntil time.Time
	askedTier   int
}

func newFakeScheduler(a *controller.Agent, role string) *fakeScheduler {
	s := &fakeScheduler{agent: a, role: role, closedBelow: controller.ShedOpen, permitTier: -1, askedTier: -1}
	a.OnShed(func(closedBelow, permitTier int, permitFor time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closedBelow, s.permitTier, s.permitUntil = closedBelow, permitTier, time.Now().Add(permitFor)
	})
	a.OnRole(func(r string, epoch uint64, held bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r != role {
			return
		}
		s.epoch, s.busy, s.permitTier = 0, [leastUrgentTier + 1]bool{}, -1
		if held {
			s.epoch = epoch
		}
	})
	return s
}

// step adds work to open tiers, finishes work of closed tiers at random, and reports to the agent.
func (s *fakeScheduler) step(rng *rand.Rand) {
	s.mu.Lock()
	if s.epoch == 0 || !s.agent.RoleValid(s.role, s.epoch) {
		s.busy = [leastUrgentTier + 1]bool{}
		s.mu.Unlock()
		return
	}
	below := leastUrgentTier
	for tier := leastUrgentTier; tier >= 0; tier-- {
		switch {
		case tier <= s.closedBelow:
			s.busy[tier] = true
		case rng.IntN(10) == 0:
			s.busy[tier] = false
		}
		if tier == below && tier > s.closedBelow && !s.busy[tier] {
			below--
		}
	}
	confirm, asks := s.closedBelow < leastUrgentTier, s.askedTier
	s.mu.Unlock()
	if confirm {
		s.agent.ConfirmClosed(s.role, below)
	}
	if asks >= 0 {
		s.agent.AskShedPermit(s.role, asks)
	}
}

// permittedTier returns the tier that may be shed now, or -1.
func (s *fakeScheduler) permittedTier() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || !s.agent.RoleValid(s.role, s.epoch) || !time.Now().Before(s.permitUntil) {
		return -1
	}
	return s.permitTier
}

// leastUrgentBusyTier returns the least urgent tier with work, or -1.
func (s *fakeScheduler) leastUrgentBusyTier() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for tier := leastUrgentTier; tier >= 0; tier-- {
		if s.busy[tier] {
			return tier
		}
	}
	return -1
}

// TestNoShedWhileLessUrgentTierIsServed checks that no host may shed a tier while any host serves a less urgent one, although
// hosts and leaders are isolated and reconnected, and that permits are granted and closed tiers reopen.
func TestNoShedWhileLessUrgentTierIsServed(t *testing.T) {
	permits := map[int]int{}
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			s := startSystem(t, 6, 3)
			s.submitInitialDocument()
			rng := rand.New(rand.NewPCG(seed, 3))
			var schedulers []*fakeScheduler
			for _, id := range s.ids {
				for _, pool := range []string{"a", "b"} {
					schedulers = append(schedulers, newFakeScheduler(s.hosts[id].agent, controller.PoolRole(pool)))
				}
			}
			ask := func(tier int) {
				for _, scheduler := range schedulers[:6] {
					scheduler.mu.Lock()
					scheduler.askedTier = tier
					scheduler.mu.Unlock()
				}
			}
			isolated := ""
			for step := range 12_000 {
				switch step % 600 {
				case 0:
					ask(rng.IntN(leastUrgentTier+2) - 1)
				case 300:
					if isolated != "" {
						s.network.setIsolated(isolated, false)
						isolated = ""
					} else {
						isolated = s.ids[rng.IntN(len(s.ids))]
						s.network.setIsolated(isolated, true)
					}
				}
				time.Sleep(10 * time.Millisecond)
				for _, scheduler := range schedulers {
					scheduler.step(rng)
				}
				for _, scheduler := range schedulers {
					tier := scheduler.permittedTier()
					if tier < 0 {
						continue
					}
					permits[tier]++
					for _, other := range schedulers {
						if busyTier := other.leastUrgentBusyTier(); busyTier > tier {
							t.Fatalf("seed %d step %d: %s may shed tier %d while %s serves tier %d", seed, step, scheduler.agent.HostID, tier, other.agent.HostID, busyTier)
						}
					}
				}
			}
			ask(-1)
			s.network.setIsolated(isolated, false)
			time.Sleep(10 * time.Second)
			for _, id := range s.ids {
				if got := s.hosts[id].agent.ShedLevel(); got != controller.ShedOpen {
					t.Errorf("seed %d: shed level on %s is %d after 10 s without permit requests, want no closed tier", seed, id, got)
				}
			}
		})
	}
	for tier := range leastUrgentTier + 1 {
		if permits[tier] == 0 {
			t.Errorf("no permit for tier %d with any seed; the test does not exercise shedding", tier)
		}
	}
}
