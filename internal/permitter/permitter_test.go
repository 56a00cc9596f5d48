package permitter_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
)

// TestMain fixes the seed, so that runs are reproducible. Pass -rapid.seed to use another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

const (
	permitFor  = time.Second
	margin     = permitFor / 10
	lowestTier = 3
)

func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// schedulerModel is a model of a pool's scheduler: which tiers it serves and which it may shed.
type schedulerModel struct {
	epoch uint64
	// dead is true between the failure of a holder and the start of its successor.
	dead   bool
	diedAt time.Duration
	level  permitter.Level
	// busy tiers have work waiting or running.
	busy      [lowestTier + 1]bool
	confirmed int
	asks      bool
	askedTier int
	permit    int
	until     time.Duration
}

func newSchedulerModel() *schedulerModel {
	return &schedulerModel{epoch: 1, level: permitter.Level{ClosedBelow: permitter.Open}, confirmed: permitter.Open, permit: -1}
}

// Guards against a tier being shed by one pool while any pool serves a less urgent tier, under lost replies, failed holders,
// changes of leader and a level that closes and reopens.
func TestNoTierIsShedWhileLowerTiersAreServed(t *testing.T) {
	permits := 0
	rapid.Check(t, func(t *rapid.T) {
		// A single draw seeds the schedule: rapid favors small values, which makes long delays too rare.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0))
		now, term := time.Duration(0), uint64(1)
		options := func() permitter.Options {
			return permitter.Options{Term: term, PermitTTL: permitFor, Margin: margin, ReportTTL: permitFor + margin}
		}
		p := permitter.New(now, options())
		pools := map[string]*schedulerModel{"pool/a": newSchedulerModel(), "pool/b": newSchedulerModel()}
		names := []string{"pool/a", "pool/b"}
		roles := func() []permitter.Role {
			var out []permitter.Role
			for _, name := range names {
				// The leader detects the failure of a holder with a delay.
				out = append(out, permitter.Role{Name: name, Epoch: pools[name].epoch, Live: !pools[name].dead || now < pools[name].diedAt+permitFor})
			}
			return out
		}
		for range 1_000 {
			now += time.Duration(pick(rng, 0, 0, 0, 10, 50, 120, 400)) * time.Millisecond
			name := pick(rng, names...)
			s := pools[name]
			tier := rng.IntN(lowestTier + 1)
			rare := pick(rng, "ask", "stop asking", "die", "leader")
			switch pick(rng, "beat", "beat", "beat", "beat", "beat", "work", "drain", "drain", "drain", "confirm", "confirm", rare) {
			case "beat":
				if s.dead {
					// The next holder is granted the role when the lease of the previous one has ended, and starts when it
					// receives the grant and the level in one reply.
					level, known := p.Level()
					if now < s.diedAt+permitFor+margin || !known {
						break
					}
					next := newSchedulerModel()
					next.epoch, next.level = s.epoch+1, level
					if rng.IntN(5) == 0 {
						next.dead, next.diedAt = true, now
					}
					*s = *next
					break
				}
				sent := now
				now += time.Duration(pick(rng, 0, 5, 60, 300)) * time.Millisecond
				p.Report(now, name, permitter.Report{Epoch: s.epoch, Level: s.level, ConfirmedBelow: s.confirmed, RequestsPermit: s.asks, RequestedTier: s.askedTier})
				p.Step(now, roles(), lowestTier)
				level, known := p.Level()
				permit, permits := p.Permit(now)
				if !known || rng.IntN(5) == 0 {
					break
				}
				if level.ClosedBelow > s.level.ClosedBelow {
					s.confirmed = max(s.confirmed, level.ClosedBelow)
				}
				s.level = level
				if permits {
					s.permit, s.until = permit, sent+permitFor
				}
			case "work":
				// New work is accepted for open tiers only.
				if !s.dead && tier <= s.level.ClosedBelow {
					s.busy[tier] = true
				}
			case "drain":
				s.busy[tier] = false
			case "confirm":
				below := lowestTier
				for below > 0 && !s.busy[below] && below > s.level.ClosedBelow {
					below--
				}
				s.confirmed = max(below, s.level.ClosedBelow)
			case "ask":
				s.asks, s.askedTier = true, tier
			case "stop asking":
				s.asks = false
			case "die":
				if !s.dead && rng.IntN(4) == 0 {
					s.dead, s.diedAt, s.permit = true, now, -1
					s.busy = [lowestTier + 1]bool{}
				}
			case "leader":
				if rng.IntN(4) == 0 {
					term++
					p = permitter.New(now, options())
				}
			}
			for _, shedding := range pools {
				if shedding.permit < 0 || now >= shedding.until {
					continue
				}
				permits++
				for name, other := range pools {
					for lower := shedding.permit + 1; lower <= lowestTier; lower++ {
						if other.busy[lower] {
							t.Fatalf("at %v tier %d may be shed while %s serves tier %d", now, shedding.permit, name, lower)
						}
					}
				}
			}
		}
	})
	if permits == 0 {
		t.Error("no run issued a permit; the test does not exercise shedding")
	}
}

// Guards against a permit that is never issued, and against a level that never reopens.
func TestLevelClosesPermitsAndReopens(t *testing.T) {
	p := permitter.New(0, permitter.Options{Term: 5, PermitTTL: permitFor, Margin: margin, ReportTTL: permitFor + margin})
	roles := []permitter.Role{{Name: "pool/a", Epoch: 1, Live: true}, {Name: "pool/b", Epoch: 2, Live: true}}
	step := func(now time.Duration, confirmed int, asks bool) (int, int, bool) {
		level, _ := p.Level()
		p.Report(now, "pool/a", permitter.Report{Epoch: 1, Level: level, ConfirmedBelow: permitter.Open, RequestsPermit: asks, RequestedTier: 1})
		p.Report(now, "pool/b", permitter.Report{Epoch: 2, Level: level, ConfirmedBelow: confirmed})
		if confirmed != permitter.Open {
			p.Report(now, "pool/a", permitter.Report{Epoch: 1, Level: level, ConfirmedBelow: 1, RequestsPermit: asks, RequestedTier: 1})
		}
		p.Step(now, roles, lowestTier)
		level, _ = p.Level()
		tier, ok := p.Permit(now)
		return level.ClosedBelow, tier, ok
	}
	if level, _, ok := step(permitFor, permitter.Open, true); level != permitter.Open || ok {
		t.Fatalf("level %d permit %t before the permits of an earlier leader have expired", level, ok)
	}
	now := permitFor + margin
	step(now, permitter.Open, true)
	if level, tier, ok := step(now, permitter.Open, true); level != 1 || !ok || tier != lowestTier {
		t.Fatalf("level %d, permit %t for tier %d; want level 1 and a permit for the lowest tier", level, ok, tier)
	}
	if _, tier, ok := step(now, 2, true); !ok || tier != 2 {
		t.Fatalf("permit %t for tier %d after b has closed below 2, want tier 2", ok, tier)
	}
	if _, tier, ok := step(now, 1, true); !ok || tier != 1 {
		t.Fatalf("permit %t for tier %d after both have closed below 1, want tier 1", ok, tier)
	}
	if level, _, ok := step(now+permitFor, 1, false); level != 1 || ok {
		t.Fatalf("level %d permit %t while a permit is in use", level, ok)
	}
	if level, _, _ := step(now+permitFor+margin, 1, false); level != permitter.Open {
		t.Fatalf("level %d after all permits have expired, want open", level)
	}
	roles[1].Live = false
	if _, _, ok := step(now+3*permitFor, 1, true); ok {
		t.Fatal("a permit although pool b has no live holder")
	}
}
