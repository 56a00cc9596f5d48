package scheduler_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// TestMain fixes the seed of random schedules, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !set[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// world is what entry hosts and endpoints know, against which grants are judged.
type world struct {
	t        *rapid.T
	s        *scheduler.Scheduler
	now      time.Duration
	version  uint64
	cfg      configurer.Config
	requests map[string]*view
	ids      []string
	drained  map[string]bool
	gone     map[string]bool // leaving or absent by a fresh list
	outUntil map[string]time.Duration
	failed   map[string]time.Duration // last failure that a progressing run may disprove
	suspects map[string]bool
	permits  map[int]time.Duration
	next     int
}

type view struct {
	d        scheduler.Descriptor
	host     string
	state    string // waiting, granted, running, ended
	endpoint string
	expires  time.Duration
	alone    bool
	tokens   int
	started  time.Duration
}

// TestRandomEvents guards against a request granted twice or after it has started, grants to endpoints that may take no
// work, shedding of a higher tier without a permit, suspects with neighbours or at two endpoints, and drift in the
// account of work in flight.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.step(scheduler.Configure{Version: 1, Config: &w.cfg})
		w.step(scheduler.HostSynced{Host: "h"})
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			w.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			w.event()
		}
		w.drain()
	})
}

// drain lets everything end well and checks that no request waits forever.
func (w *world) drain() {
	for i := range w.cfg.Endpoints {
		w.cfg.Endpoints[i].Drain = false
		w.drained[w.cfg.Endpoints[i].Name] = false
	}
	w.version++
	w.step(scheduler.Configure{Version: w.version + 1, Config: &w.cfg})
	clear(w.gone)
	w.step(scheduler.HostsListed{Live: []string{"e1", "e2", "e3"}})
	w.step(scheduler.TiersClosed{Below: 2})
	for range 200 {
		w.now += 500 * time.Millisecond
		w.step(scheduler.Tick{})
		for _, id := range w.ids {
			v := w.requests[id]
			if v.state == "granted" && w.now < v.expires {
				v.state, v.started = "running", w.now
				w.step(scheduler.Started{Host: v.host, RequestID: id, Endpoint: v.endpoint})
			}
			if v.state == "running" {
				v.state = "ended"
				delete(w.suspects, v.d.Fingerprint)
				w.disprove(v)
				w.step(scheduler.Finished{RequestID: id, Outcome: scheduler.OutcomeDone, OutputTokens: 1})
			}
		}
	}
	for _, id := range w.ids {
		v := w.requests[id]
		if v.state == "waiting" && v.d.Remaining == 0 {
			w.t.Fatalf("%s still waits: %+v", id, v.d)
		}
	}
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, requests: make(map[string]*view), drained: make(map[string]bool), gone: make(map[string]bool),
		outUntil: make(map[string]time.Duration), failed: make(map[string]time.Duration), suspects: make(map[string]bool), permits: make(map[int]time.Duration),
		s: scheduler.New(scheduler.Options{Pool: "pool", Seed: 7, Hosts: []string{"h"}}),
	}
	data, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &w.cfg); err != nil {
		t.Fatal(err)
	}
	return w
}

// pick returns a request in one of the states, or nil.
func (w *world) pick(states ...string) (string, *view) {
	var ids []string
	for _, id := range w.ids {
		if slices.Contains(states, w.requests[id].state) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", nil
	}
	id := rapid.SampledFrom(ids).Draw(w.t, "id")
	return id, w.requests[id]
}

func (w *world) event() {
	switch rapid.IntRange(0, 17).Draw(w.t, "kind") {
	case 0, 1, 2, 3, 4:
		w.submit()
	case 5, 6, 7:
		if id, v := w.pick("granted"); v != nil && w.now < v.expires {
			v.state, v.started = "running", w.now
			w.step(scheduler.Started{Host: v.host, RequestID: id, Endpoint: v.endpoint})
		}
	case 8:
		if id, v := w.pick("granted"); v != nil {
			reason := rapid.SampledFrom([]scheduler.DeclineReason{"expired", "connect", "gone"}).Draw(w.t, "reason")
			e := v.endpoint
			if v.state = "waiting"; reason == scheduler.DeclineGone {
				v.state = "ended"
			}
			w.step(scheduler.Declined{Host: v.host, RequestID: id, Endpoint: e, Reason: reason})
		}
	case 9, 10:
		if id, v := w.pick("running"); v != nil {
			v.tokens += rapid.SampledFrom([]int{1, 9, 60, 500, 1 << 40}).Draw(w.t, "tokens")
			w.disprove(v)
			w.step(scheduler.Progress{RequestID: id, OutputTokens: v.tokens})
		}
	case 11, 12:
		w.finish()
	case 13:
		if id, v := w.pick("waiting", "granted"); v != nil {
			v.state = "ended"
			w.step(scheduler.Cancelled{RequestID: id})
		}
	case 14:
		w.crash()
	case 15:
		w.listOrConfigure()
	case 16:
		w.shedLevel()
	case 17:
		w.hosts()
	}
}

func (w *world) submit() {
	w.next++
	d := scheduler.Descriptor{
		RequestID: fmt.Sprintf("r%d", w.next), Kind: "chat", Zone: "z1",
		Workspace:       rapid.SampledFrom([]string{"w", "v", "narrow", "slow"}).Draw(w.t, "workspace"),
		Caller:          rapid.SampledFrom([]string{"c", "d"}).Draw(w.t, "caller"),
		Tier:            rapid.SampledFrom([]string{"snappy", "normal", "bulk"}).Draw(w.t, "tier"),
		Model:           rapid.SampledFrom([]string{"m", "m", "m", "x"}).Draw(w.t, "model"),
		Adapter:         rapid.SampledFrom([]string{"", "", "a"}).Draw(w.t, "adapter"),
		Fingerprint:     rapid.SampledFrom([]string{"", "p", "q", "r"}).Draw(w.t, "print"),
		PromptTokens:    rapid.SampledFrom([]int{-9, 0, 300, 300, 1900, 6000, math.MaxInt}).Draw(w.t, "prompt"),
		MaxOutputTokens: rapid.IntRange(0, 400).Draw(w.t, "output"),
		Remaining:       time.Duration(rapid.SampledFrom([]int{0, 0, 3000}).Draw(w.t, "remaining")) * time.Millisecond,
	}
	w.requests[d.RequestID] = &view{d: d, host: "h", state: "waiting"}
	w.ids = append(w.ids, d.RequestID)
	w.step(scheduler.Submit{Host: "h", Descriptor: d})
}

func (w *world) finish() {
	id, v := w.pick("running")
	if v == nil {
		return
	}
	v.state = "ended"
	outcome := rapid.SampledFrom([]string{scheduler.OutcomeDone, scheduler.OutcomeDone, scheduler.OutcomeFailed}).Draw(w.t, "outcome")
	if outcome == scheduler.OutcomeDone && v.d.Fingerprint != "" {
		delete(w.suspects, v.d.Fingerprint)
	}
	if outcome == scheduler.OutcomeDone {
		w.disprove(v)
	}
	w.step(scheduler.Finished{RequestID: id, Outcome: outcome, PromptTokens: v.d.PromptTokens, OutputTokens: v.tokens})
}

// disprove takes back a sign of failure, since a run that began before it has progressed.
func (w *world) disprove(v *view) {
	if at, ok := w.failed[v.endpoint]; ok && v.started < at && w.now >= at+time.Second {
		delete(w.outUntil, v.endpoint)
	}
}

// crash ends all runs at an endpoint.
func (w *world) crash() {
	e := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(w.t, "endpoint")
	cause := rapid.SampledFrom([]scheduler.FailureCause{"refused", "reset", "silent"}).Draw(w.t, "cause")
	var lost []string
	for _, id := range w.ids {
		if v := w.requests[id]; v.state == "running" && v.endpoint == e && cause != scheduler.FailureRefused {
			lost = append(lost, id)
			if v.d.Fingerprint != "" {
				w.suspects[v.d.Fingerprint] = true
			}
		}
	}
	if w.failed[e] = w.now; cause == scheduler.FailureRefused {
		delete(w.failed, e)
	}
	w.step(scheduler.EndpointFailed{Endpoint: e, Cause: cause, RequestIDs: lost})
	for _, id := range lost {
		w.requests[id].state = "ended"
		w.step(scheduler.Finished{RequestID: id, Outcome: scheduler.OutcomeInterrupted})
	}
}

func (w *world) listOrConfigure() {
	names := []string{"e1", "e2", "e3"}
	if rapid.Bool().Draw(w.t, "configure") {
		w.version++
		for i := range w.cfg.Endpoints {
			drain := rapid.IntRange(0, 4).Draw(w.t, "drain") == 0
			w.cfg.Endpoints[i].Drain = drain
			w.drained[w.cfg.Endpoints[i].Name] = drain
		}
		c := w.cfg
		c.Endpoints = slices.Clone(c.Endpoints)
		w.step(scheduler.Configure{Version: w.version + 1, Config: &c})
		return
	}
	l := scheduler.HostsListed{Age: time.Duration(rapid.SampledFrom([]int{0, 0, 30}).Draw(w.t, "age")) * time.Second}
	for _, n := range names {
		switch rapid.IntRange(0, 5).Draw(w.t, "listing") {
		case 0:
			l.Leaving = append(l.Leaving, n)
			w.gone[n] = true
		case 1:
			w.gone[n] = w.gone[n] || l.Age == 0
		default:
			l.Live = append(l.Live, n)
			w.gone[n] = w.gone[n] && l.Age > 0
		}
	}
	w.step(l)
}

func (w *world) shedLevel() {
	if rapid.Bool().Draw(w.t, "permit") {
		tier := rapid.IntRange(0, 2).Draw(w.t, "tier")
		w.permits[tier] = w.now + time.Second
		w.step(scheduler.ShedPermitted{Tier: tier, For: time.Second})
		return
	}
	w.step(scheduler.TiersClosed{Below: rapid.IntRange(0, 2).Draw(w.t, "below")})
}

func (w *world) hosts() {
	switch rapid.IntRange(0, 2).Draw(w.t, "hosts") {
	case 0:
		w.step(scheduler.Tick{})
	case 1:
		ev := scheduler.HostSynced{Host: "h"}
		for _, id := range w.ids {
			switch v := w.requests[id]; v.state {
			case "waiting", "granted":
				ev.Waiting = append(ev.Waiting, v.d)
			case "running":
				ev.Running = append(ev.Running, scheduler.Run{Descriptor: v.d, Endpoint: v.endpoint, OutputTokens: v.tokens})
			}
		}
		w.step(ev)
	case 2:
		for _, v := range w.requests {
			v.state = "ended"
		}
		w.step(scheduler.HostLost{Host: "h"})
	}
}

// step applies an event and judges the actions.
func (w *world) step(ev scheduler.Event) {
	for _, a := range w.s.Step(w.now, ev) {
		switch a := a.(type) {
		case scheduler.Grant:
			w.judgeGrant(a)
		case scheduler.Refuse:
			w.judgeRefusal(a)
		case scheduler.Decision:
			if a.Verb == "eject" {
				w.outUntil[a.Endpoint] = w.now + 500*time.Millisecond
				if a.Reason == "no progress" {
					w.failed[a.Endpoint] = w.now
				}
			}
		}
	}
	if err := w.s.Check(); err != nil {
		w.t.Fatalf("after %T %+v: %v", ev, ev, err)
	}
}

func (w *world) judgeGrant(g scheduler.Grant) {
	v := w.requests[g.RequestID]
	if v.state == "granted" && w.now >= v.expires {
		v.state = "waiting"
	}
	if v.state != "waiting" {
		w.t.Fatalf("%s granted while %s", g.RequestID, v.state)
	}
	if w.drained[g.Endpoint] || w.gone[g.Endpoint] || w.now < w.outUntil[g.Endpoint] {
		w.t.Fatalf("%s granted to %s, which takes no work", g.RequestID, g.Endpoint)
	}
	if v.d.Model != "m" || (v.d.Adapter != "" && g.Endpoint != "e1") || g.Endpoint == "other" {
		w.t.Fatalf("%s for %s/%s granted to %s", g.RequestID, v.d.Model, v.d.Adapter, g.Endpoint)
	}
	suspect := w.suspects[v.d.Fingerprint]
	for _, id := range w.ids {
		o := w.requests[id]
		open := o.state == "running" || o.state == "granted" && w.now < o.expires
		if !open || id == g.RequestID {
			continue
		}
		if o.endpoint == g.Endpoint && (suspect || o.alone) {
			w.t.Fatalf("%s (suspect %t) granted to %s beside %s", g.RequestID, suspect, g.Endpoint, id)
		}
		if suspect && o.d.Fingerprint == v.d.Fingerprint {
			w.t.Fatalf("suspect %s granted while %s runs", g.RequestID, id)
		}
	}
	v.state, v.endpoint, v.expires, v.alone = "granted", g.Endpoint, w.now+g.TTL, suspect
}

func (w *world) judgeRefusal(r scheduler.Refuse) {
	v := w.requests[r.RequestID]
	if v.state == "granted" && w.now >= v.expires {
		v.state = "waiting"
	}
	if v.state != "waiting" {
		w.t.Fatalf("%s refused while %s", r.RequestID, v.state)
	}
	v.state = "ended"
	order := map[string]int{"snappy": 0, "normal": 1, "bulk": 2}[v.d.Tier]
	shed := r.Reason == scheduler.RefuseOverload || r.Reason == scheduler.RefusePatience
	if shed && order < 2 && w.now >= w.permits[order] {
		w.t.Fatalf("%s of tier %s refused for %s without a permit", r.RequestID, v.d.Tier, r.Reason)
	}
	if r.Reason == scheduler.RefuseUnserved && v.d.Model == "m" {
		w.t.Fatalf("%s refused as unserved", r.RequestID)
	}
}
