package leaser_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dragonflycroft/dragonflycroft/internal/leaser"
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
	lease      = time.Second
	ttl        = lease + lease/10
	grantDelay = 500 * time.Millisecond
)

func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// heartbeat is a heartbeat in flight to the leader of a term.
type heartbeat struct {
	host     string
	sent     time.Duration
	released uint64
}

// Guards against two hosts that hold valid leases on a role at the same time, while heartbeats and replies are delayed or
// lost, grants fail or are committed late, leaders change and holders release their leases.
func TestAtMostOneHolder(t *testing.T) {
	heldSteps := 0
	rapid.Check(t, func(t *rapid.T) {
		// A single draw seeds the schedule: rapid favors small values, which makes long delays and late messages too rare.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "schedule"), 0))
		const role = "pool/a"
		hosts := []leaser.Host{{ID: "h1", Zone: "z1"}, {ID: "h2", Zone: "z2"}, {ID: "h3", Zone: "z1"}}
		now := time.Duration(0)
		table := leaser.New(now, leaser.Options{TTL: ttl, GrantDelay: grantDelay})
		assigned := leaser.Assignment{}
		var proposed []leaser.Grant
		var inFlight []heartbeat
		type hold struct {
			epoch uint64
			until time.Duration
		}
		held, released := map[string]hold{}, map[string]uint64{}
		for range 1_000 {
			now += time.Duration(pick(rng, 0, 0, 0, 5, 50, 250, 950)) * time.Millisecond
			host := pick(rng, "h1", "h2", "h3")
			rare := pick(rng, "send", "arrive", "leader", "give up")
			switch pick(rng, "send", "send", "send", "arrive", "arrive", "arrive", "plan", "plan", "commit", "commit", rare) {
			case "send":
				inFlight = append(inFlight[max(0, len(inFlight)-5):], heartbeat{host: host, sent: now, released: released[host]})
			case "arrive":
				if len(inFlight) == 0 {
					break
				}
				// Most heartbeats arrive at once; a few arrive after later ones.
				i := len(inFlight) - 1
				if rng.IntN(4) == 0 {
					i = rng.IntN(len(inFlight))
				}
				hb := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				if hb.released > 0 {
					table.Release(now, role, assigned, hb.host, 0, hb.released)
				}
				granted := table.Renew(now, role, assigned, hb.host, 0)
				answered := rng.IntN(4) > 0
				late := time.Duration(pick(rng, 0, 0, 100, 400)) * time.Millisecond
				until := hb.sent + lease
				if granted && answered && assigned.Epoch > released[hb.host] && now+late < until {
					held[hb.host] = hold{assigned.Epoch, until}
				}
			case "plan":
				proposed = append(proposed, table.Plan(now, []string{role}, map[string]leaser.Assignment{role: assigned}, []leaser.Host{pick(rng, hosts...)})...)
			case "commit":
				if len(proposed) > 0 {
					g := proposed[0]
					proposed = proposed[1:]
					if g.PreviousEpoch == assigned.Epoch {
						assigned = leaser.Assignment{Host: g.Host, Incarnation: g.Incarnation, Epoch: g.PreviousEpoch + 1}
					}
				}
			case "leader":
				// Grants that have not been committed are refused from now on because of their term.
				table, proposed = leaser.New(now, leaser.Options{TTL: ttl, GrantDelay: grantDelay}), nil
				table.Live(now, role, assigned)
				inFlight = nil
			case "give up":
				released[host] = max(released[host], held[host].epoch)
				delete(held, host)
			}
			var active []string
			for id, h := range held {
				if now < h.until {
					active = append(active, fmt.Sprintf("%s holds epoch %d until %v", id, h.epoch, h.until))
				}
			}
			if len(active) == 1 {
				heldSteps++
			}
			if len(active) > 1 {
				t.Fatalf("more than one holder at %v: %v", now, active)
			}
		}
	})
	if heldSteps < 10_000 {
		t.Errorf("the role had exactly one holder in only %d steps; the test does not exercise leases", heldSteps)
	}
}

// Guards against plans that concentrate roles on one host or zone, grant roles to the leader while other hosts are live, or
// move a role whose lease is still valid.
func TestPlanSpreadsRoles(t *testing.T) {
	hosts := []leaser.Host{{ID: "h1", Zone: "z1", Leader: true}, {ID: "h2", Zone: "z1"}, {ID: "h3", Zone: "z2"}, {ID: "h4", Zone: "z3"}}
	roles := []string{"placement", "pool/a", "pool/b", "pool/c"}
	table := leaser.New(0, leaser.Options{TTL: ttl, GrantDelay: grantDelay})
	if got := table.Plan(grantDelay-1, roles, nil, hosts); got != nil {
		t.Errorf("grants before the initial delay has passed: %v", got)
	}
	assigned := map[string]leaser.Assignment{}
	for _, g := range table.Plan(grantDelay, roles, assigned, hosts) {
		assigned[g.Role] = leaser.Assignment{Host: g.Host, Epoch: 1}
	}
	want := map[string]leaser.Assignment{
		"placement": {Host: "h2", Epoch: 1}, "pool/a": {Host: "h3", Epoch: 1}, "pool/b": {Host: "h4", Epoch: 1}, "pool/c": {Host: "h2", Epoch: 1},
	}
	if diff := cmp.Diff(want, assigned); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
	now := grantDelay
	for _, role := range roles {
		table.Renew(now, role, assigned[role], assigned[role].Host, 0)
	}
	if got := table.Plan(now+ttl-1, roles, assigned, append(hosts, leaser.Host{ID: "h5", Zone: "z4"})); got != nil {
		t.Errorf("grants of roles whose lease is still valid: %v", got)
	}
	table.Release(now, "pool/a", assigned["pool/a"], "h3", 0, 1)
	got := table.Plan(now, roles, assigned, hosts)
	if len(got) != 1 || got[0].Role != "pool/a" || got[0].PreviousEpoch != 1 {
		t.Errorf("after a release: %v, want one grant of pool/a", got)
	}
}
