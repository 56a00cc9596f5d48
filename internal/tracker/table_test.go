package tracker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/limiter"
)

func newTestTable(kind string, names ...string) *Table {
	t := New()
	configure(t, kind, names...)
	t.EndWarmup(0)
	return t
}

func configure(t *Table, kind string, names ...string) []*Endpoint {
	var list []configurer.Endpoint
	for _, n := range names {
		list = append(list, configurer.Endpoint{Name: n, Pool: "p", Adapters: []string{"a" + n}, Hardware: "h"})
	}
	list = append(list, configurer.Endpoint{Name: "foreign", Pool: "q"})
	pool := configurer.Pool{Name: "p", Kind: kind, Models: []string{"m"}}
	return t.Configure(0, pool, list, limiter.Targets{Gap: 46 * time.Millisecond}, func(e *Endpoint) bool { return e.PendingTokens > 0 })
}

func leastLoaded(t *Table, model, adapter string) string {
	c, _ := t.Class(0, model, adapter)
	if c == nil {
		return ""
	}
	return strings.Join(c.Least(nil, 9), " ")
}

// Guards against a stale host list that makes an endpoint available, and against a fresh one that does not.
func TestHostList(t *testing.T) {
	table := newTestTable(configurer.KindModel, "e1", "e2", "e3")
	for i, c := range []struct {
		now, age      time.Duration
		live, leaving string
		want          string
	}{
		{0, time.Minute, "e1 e2", "e3", "e1 e2"},              // a stale first list may remove
		{0, 0, "e1 e2 e3", "", "e1 e2 e3"},                    // a fresh one makes available again
		{time.Second, 0, "e1 e3", "e1", "e3"},                 // e2 absent, e1 leaving
		{2 * time.Second, 2 * time.Second, "e1 e2", "", "e3"}, // made before the last: no change
		{2 * time.Second, 2 * time.Second, "e1 e2", "e3", ""}, // but leaving applies
		{3 * time.Second, 0, "e1 e2 e3", "", "e1 e2 e3"},
		{30 * time.Second, 20 * time.Second, "e1", "", "e1"}, // newer, beyond the age limit: removes
		{31 * time.Second, 20 * time.Second, "e1 e2", "", "e1"},
	} {
		table.ApplyHostList(c.now, c.age, strings.Fields(c.live), strings.Fields(c.leaving))
		if got := leastLoaded(table, "m", ""); got != c.want {
			t.Errorf("list %d: %q may take work, want %q", i, got, c.want)
		}
	}
	table.ApplyHostList(40*time.Second, 0, []string{"e1", "e2"}, nil)
	if got := leastLoaded(table, "m", ""); got != "e1 e2" {
		t.Errorf("after a fresh list %q may take work", got)
	}
	configure(table, configurer.KindModel, "e1", "e2", "e4")
	if got := leastLoaded(table, "m", ""); got != "e1 e2" {
		t.Errorf("%q may take work; e4 is not in the last list", got)
	}
}

// Guards against work for a model or adapter that an endpoint does not serve, and against the removal of an endpoint with runs.
func TestClasses(t *testing.T) {
	table := newTestTable(configurer.KindModel, "e1", "e2")
	for _, c := range []struct{ model, adapter, want string }{
		{"m", "", "e1 e2"}, {"m", "ae2", "e2"}, {"x", "", ""}, {"", "", "e1 e2"}, {"m", "b", ""},
	} {
		if got := leastLoaded(table, c.model, c.adapter); got != c.want {
			t.Errorf("%s/%s is served by %q, want %q", c.model, c.adapter, got, c.want)
		}
	}
	if n := len(table.classes); n != 3 {
		t.Errorf("%d classes are kept, want the 3 that are served", n)
	}
	table.Get("e1").PendingTokens = 1
	removed := configure(table, configurer.KindModel, "e3")
	if len(removed) != 1 || removed[0].Name != "e2" || leastLoaded(table, "m", "") != "e3" || table.Get("e1") == nil {
		t.Errorf("removed %v, serving %q", removed, leastLoaded(table, "m", ""))
	}
}

// Guards against a limit of a plain service that is adapted to measurements, or that loses its count when the configuration
// changes.
func TestServiceBound(t *testing.T) {
	table := newTestTable(configurer.KindService, "e1")
	e := table.Get("e1")
	for range defaultMaxConcurrent {
		e.Limit.Add(1, true)
	}
	configure(table, configurer.KindService, "e1")
	if runs, _ := e.Limit.Used(); runs != defaultMaxConcurrent || e.Fits(1, 1, 1) {
		t.Errorf("%d calls, room for one more: %t", runs, e.Fits(1, 1, 1))
	}
	if leastLoaded(table, "any", "thing") != "" {
		t.Error("a service endpoint without room is ranked")
	}
}

// Guards against a new holder that uses more than a small fraction of the limits before the previous holder's grants expire.
func TestWarmup(t *testing.T) {
	table := New()
	configure(table, configurer.KindModel, "e1")
	e := table.Get("e1")
	if part, _ := table.UsableShare(0, e, false); part != 0 {
		t.Errorf("other work may use %.2f of the limit during warm-up, want 0", part)
	}
	if part, _ := table.UsableShare(0, e, true); part != warmupFraction {
		t.Errorf("urgent work may use %.2f of the limit during warm-up", part)
	}
	table.EndWarmup(0)
	if part, _ := table.UsableShare(0, e, false); part != 1 {
		t.Errorf("after warm-up %.2f of the limit may be used, want 1", part)
	}
}

// Guards against an endpoint that stays unavailable after its back-off has ended.
func TestAdvance(t *testing.T) {
	table := newTestTable(configurer.KindModel, "e1")
	e := table.Get("e1")
	e.Avail.RecordFailure(0, true, rand.New(rand.NewPCG(1, 1)))
	table.UpdateRank(0, e)
	var got []string
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		table.Advance(now)
		got = append(got, fmt.Sprint(leastLoaded(table, "m", "") != ""))
	}
	if diff := cmp.Diff("false false false false false false", strings.Join(got[:6], " ")); diff != "" || got[9] != "true" {
		t.Errorf("available %v (-want +got):\n%s", got, diff)
	}
}

// Guards against stale reports that count ended runs again, and against ignoring runs that the scheduler has not granted.
func TestUnaccountedRuns(t *testing.T) {
	table := newTestTable(configurer.KindModel, "e1")
	e := table.Get("e1")
	e.RecordEnd(9 * time.Second)
	e.RecordEnd(9 * time.Second)
	table.ApplyLoadReport(10*time.Second, 3*time.Second, "e1", 2, 0)
	if e.UnaccountedRuns() != 0 {
		t.Errorf("%d unaccounted runs after a report from before the runs ended", e.UnaccountedRuns())
	}
	table.ApplyLoadReport(20*time.Second, 0, "e1", 6, 2)
	if e.UnaccountedRuns() != 4 {
		t.Errorf("%d unaccounted runs after one report of 8", e.UnaccountedRuns())
	}
	table.ApplyLoadReport(21*time.Second, time.Minute, "e1", 0, 0)
	if e.UnaccountedRuns() != 4 {
		t.Errorf("%d unaccounted runs: a report beyond the age limit was applied", e.UnaccountedRuns())
	}
	for range 3 {
		table.ApplyLoadReport(22*time.Second, 0, "e1", 0, 0)
	}
	if e.UnaccountedRuns() != 0 {
		t.Errorf("%d unaccounted runs after reports of none", e.UnaccountedRuns())
	}
}

// Guards against work for an endpoint none of whose runs makes progress, and against the ejection of an idle endpoint.
func TestStalledEndpoint(t *testing.T) {
	table := newTestTable(configurer.KindModel, "busy", "idle")
	for _, e := range table.All() {
		e.Speed.ObserveGap(1, 20*time.Millisecond)
	}
	table.Get("busy").Limit.Add(100, false)
	r := rand.New(rand.NewPCG(1, 1))
	if got := table.EjectUnhealthy(4*time.Second, 0, r); got != nil {
		t.Errorf("ejected before the stall timeout: %v", got)
	}
	if diff := cmp.Diff([]Ejection{{"busy", "no progress"}}, table.EjectUnhealthy(6*time.Second, 0, r)); diff != "" {
		t.Errorf("ejections (-want +got):\n%s", diff)
	}
}
