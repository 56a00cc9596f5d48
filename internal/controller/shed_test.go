package controller_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/controller"
)

const lowestTier = 2

// workload is a minimal pool scheduler: it serves open tiers, confirms when closed tiers are empty, and sheds under permits.
type workload struct {
	mu     sync.Mutex
	agent  *controller.Agent
	role   string
	epoch  uint64
	closed int
	busy   [lowestTier + 1]bool
	permit int
	until  time.Time
	asks   int
}

func newWorkload(a *controller.Agent, role string) *workload {
	w := &workload{agent: a, role: role, closed: controller.ShedOpen, permit: -1, asks: -1}
	a.OnShed(func(closedBelow, permitTier int, permitFor time.Duration) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.closed, w.permit, w.until = closedBelow, permitTier, time.Now().Add(permitFor)
	})
	a.OnRole(func(r string, epoch uint64, held bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if r != role {
			return
		}
		w.epoch, w.busy, w.permit = 0, [lowestTier + 1]bool{}, -1
		if held {
			w.epoch = epoch
		}
	})
	return w
}

// step lets work of open tiers arrive, drains closed tiers slowly, and reports to the agent.
func (w *workload) step(rng *rand.Rand) {
	w.mu.Lock()
	if w.epoch == 0 || !w.agent.RoleValid(w.role, w.epoch) {
		w.busy = [lowestTier + 1]bool{}
		w.mu.Unlock()
		return
	}
	below := lowestTier
	for tier := lowestTier; tier >= 0; tier-- {
		switch {
		case tier <= w.closed:
			w.busy[tier] = true
		case rng.IntN(10) == 0:
			w.busy[tier] = false
		}
		if tier == below && tier > w.closed && !w.busy[tier] {
			below--
		}
	}
	confirm, asks := w.closed < lowestTier, w.asks
	w.mu.Unlock()
	if confirm {
		w.agent.ConfirmClosed(w.role, below)
	}
	if asks >= 0 {
		w.agent.AskShedPermit(w.role, asks)
	}
}

// shedding returns the tier that may be shed now, or -1.
func (w *workload) shedding() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.epoch == 0 || !w.agent.RoleValid(w.role, w.epoch) || !time.Now().Before(w.until) {
		return -1
	}
	return w.permit
}

// lowest returns the least urgent tier with work, or -1.
func (w *workload) lowest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for tier := lowestTier; tier >= 0; tier-- {
		if w.busy[tier] {
			return tier
		}
	}
	return -1
}

// Guards against a tier being shed on any host while a less urgent tier is served on any host, through hosts and leaders that
// are isolated and return; and against permits that are never given or levels that never reopen.
func TestNoShedWhileLowerTierIsOpen(t *testing.T) {
	permits := map[int]int{}
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			s := start(t, 6, 3)
			s.configure()
			rng := rand.New(rand.NewPCG(seed, 3))
			var loads []*workload
			for _, id := range s.ids {
				for _, pool := range []string{"a", "b"} {
					loads = append(loads, newWorkload(s.hosts[id].agent, controller.PoolRole(pool)))
				}
			}
			ask := func(tier int) {
				for _, w := range loads[:6] {
					w.mu.Lock()
					w.asks = tier
					w.mu.Unlock()
				}
			}
			cut := ""
			for step := range 12_000 {
				switch step % 600 {
				case 0:
					ask(rng.IntN(lowestTier+2) - 1)
				case 300:
					if cut != "" {
						s.fabric.setCut(cut, false)
						cut = ""
					} else {
						cut = s.ids[rng.IntN(len(s.ids))]
						s.fabric.setCut(cut, true)
					}
				}
				time.Sleep(10 * time.Millisecond)
				for _, w := range loads {
					w.step(rng)
				}
				for _, w := range loads {
					tier := w.shedding()
					if tier < 0 {
						continue
					}
					permits[tier]++
					for _, other := range loads {
						if low := other.lowest(); low > tier {
							t.Fatalf("seed %d step %d: %s may shed tier %d while %s serves tier %d", seed, step, w.agent.HostID, tier, other.agent.HostID, low)
						}
					}
				}
			}
			ask(-1)
			s.fabric.setCut(cut, false)
			time.Sleep(10 * time.Second)
			for _, id := range s.ids {
				if got := s.hosts[id].agent.ShedLevel(); got != controller.ShedOpen {
					t.Errorf("seed %d: level on %s is %d after nobody asked for 10 s", seed, id, got)
				}
			}
		})
	}
	for tier := range lowestTier + 1 {
		if permits[tier] == 0 {
			t.Errorf("no permit for tier %d in any run; the test does not exercise shedding", tier)
		}
	}
}
