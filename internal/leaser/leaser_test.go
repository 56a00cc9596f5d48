package leaser_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dragonflycroft/dragonflycroft/internal/leaser"
)

// TestMain fixes the seed, so that every run gives the same verdict. Another seed can be given with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

const (
	lease  = time.Second
	ttl    = lease + lease/10
	settle = 500 * time.Millisecond
)

// heartbeat is on its way to the leader of a term, or its answer is on its way back.
type heartbeat struct {
	host     string
	sent     time.Duration
	released uint64
}

// Guards against two hosts that may act under a role at the same moment, while heartbeats and answers are delayed or lost,
// grants fail or are decided late, leaders change and holders give their lease up.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const role = "pool/a"
		hosts := []leaser.Host{{ID: "h1", Zone: "z1"}, {ID: "h2", Zone: "z2"}, {ID: "h3", Zone: "z1"}}
		now := time.Duration(0)
		table := leaser.New(now, leaser.Options{TTL: ttl, Settle: settle})
		assigned := leaser.Assignment{}
		var proposed []leaser.Grant
		var travelling []heartbeat
		type hold struct {
			epoch uint64
			until time.Duration
		}
		held, gaveUp := map[string]hold{}, map[string]uint64{}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 0, 0, 5, 50, 250, 950}).Draw(t, "pause")) * time.Millisecond
			host := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host")
			switch rapid.SampledFrom([]string{"send", "send", "arrive", "arrive", "plan", "commit", "leader", "give up"}).Draw(t, "action") {
			case "send":
				travelling = append(travelling, heartbeat{host: host, sent: now, released: gaveUp[host]})
			case "arrive":
				if len(travelling) == 0 {
					break
				}
				i := rapid.IntRange(0, len(travelling)-1).Draw(t, "message")
				hb := travelling[i]
				travelling = slices.Delete(travelling, i, i+1)
				if hb.released > 0 {
					table.Release(now, role, assigned, hb.host, 0, hb.released)
				}
				granted := table.Renew(now, role, assigned, hb.host, 0)
				answered := rapid.Bool().Draw(t, "answered")
				late := time.Duration(rapid.IntRange(0, 400).Draw(t, "late")) * time.Millisecond
				until := hb.sent + lease
				if granted && answered && assigned.Epoch > gaveUp[hb.host] && now+late < until {
					held[hb.host] = hold{assigned.Epoch, until}
				}
			case "plan":
				proposed = append(proposed, table.Plan(now, []string{role}, map[string]leaser.Assignment{role: assigned}, hosts)...)
			case "commit":
				if len(proposed) > 0 {
					g := proposed[0]
					proposed = proposed[1:]
					if g.Previous == assigned.Epoch {
						assigned = leaser.Assignment{Host: g.Host, Incarnation: g.Incarnation, Epoch: g.Previous + 1}
					}
				}
			case "leader":
				// Grants that were not committed by now are refused for their term.
				table, proposed = leaser.New(now, leaser.Options{TTL: ttl, Settle: settle}), nil
				table.Live(now, role, assigned)
				travelling = nil
			case "give up":
				gaveUp[host] = max(gaveUp[host], held[host].epoch)
				delete(held, host)
			}
			var active []string
			for id, h := range held {
				if now < h.until {
					active = append(active, fmt.Sprintf("%s under epoch %d until %v", id, h.epoch, h.until))
				}
			}
			if len(active) > 1 {
				t.Fatalf("at %v: %v", now, active)
			}
		}
	})
}

// Guards against roles heaped on one host or zone, given to the leader, or moved without need.
func TestPlanSpreads(t *testing.T) {
	hosts := []leaser.Host{{ID: "h1", Zone: "z1", Leader: true}, {ID: "h2", Zone: "z1"}, {ID: "h3", Zone: "z2"}, {ID: "h4", Zone: "z3"}}
	roles := []string{"placement", "pool/a", "pool/b", "pool/c"}
	table := leaser.New(0, leaser.Options{TTL: ttl, Settle: settle})
	if got := table.Plan(settle-1, roles, nil, hosts); got != nil {
		t.Errorf("grants before the hosts were heard: %v", got)
	}
	assigned := map[string]leaser.Assignment{}
	for _, g := range table.Plan(settle, roles, assigned, hosts) {
		assigned[g.Role] = leaser.Assignment{Host: g.Host, Epoch: 1}
	}
	want := map[string]leaser.Assignment{
		"placement": {Host: "h2", Epoch: 1}, "pool/a": {Host: "h3", Epoch: 1}, "pool/b": {Host: "h4", Epoch: 1}, "pool/c": {Host: "h2", Epoch: 1},
	}
	if diff := cmp.Diff(want, assigned); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
	now := settle
	for _, role := range roles {
		table.Renew(now, role, assigned[role], assigned[role].Host, 0)
	}
	if got := table.Plan(now+ttl-1, roles, assigned, append(hosts, leaser.Host{ID: "h5", Zone: "z4"})); got != nil {
		t.Errorf("moved without need: %v", got)
	}
	table.Release(now, "pool/a", assigned["pool/a"], "h3", 0, 1)
	got := table.Plan(now, roles, assigned, hosts)
	if len(got) != 1 || got[0].Role != "pool/a" || got[0].Previous != 1 {
		t.Errorf("after a release: %v, want one grant of pool/a", got)
	}
}
