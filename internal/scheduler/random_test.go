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

// TestMain sets a fixed seed for the random events, so that test runs are reproducible. Flags set explicitly take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	explicit := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !explicit[name] {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// referenceModel tracks the state of entry hosts and endpoints, against which the actions of the scheduler are checked.
type referenceModel struct {
	t              *rapid.T
	scheduler      *scheduler.Scheduler
	now            time.Duration
	version        uint64
	cfg            configurer.Config
	requests       map[string]*requestView
	ids            []string
	drained        map[string]bool
	unlisted       map[string]bool // leaving or missing in a current host list
	ejectedUntil   map[string]time.Duration
	failedAt       map[string]time.Duration // last failure that the progress of an earlier run retracts
	suspects       map[string]bool
	permittedUntil map[int]time.Duration
	nextID         int
}

// requestView is a request as its entry host sees it.
type requestView struct {
	desc      scheduler.Descriptor
	host      string
	state     string // waiting, granted, running, ended
	endpoint  string
	expiresAt time.Duration
	isolated  bool
	tokens    int
	startedAt time.Duration
}

// TestRandomEvents guards against a request granted twice or after it has started, grants to endpoints that must not receive
// work, shedding of a higher tier without a permit, suspects that share an endpoint or run at two endpoints, and counters
// that drift from the work in flight.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReferenceModel(t)
		m.step(scheduler.Configure{Version: 1, Config: &m.cfg})
		m.step(scheduler.HostSynced{Host: "h"})
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			m.randomEvent()
		}
		m.finishAll()
	})
}

// finishAll completes all requests and checks that none without a deadline waits forever.
func (m *referenceModel) finishAll() {
	for i := range m.cfg.Endpoints {
		m.cfg.Endpoints[i].Drain = false
		m.drained[m.cfg.Endpoints[i].Name] = false
	}
	m.version++
	m.step(scheduler.Configure{Version: m.version + 1, Config: &m.cfg})
	clear(m.unlisted)
	m.step(scheduler.HostsListed{Live: []string{"e1", "e2", "e3"}})
	m.step(scheduler.TiersClosed{Below: 2})
	for range 200 {
		m.now += 500 * time.Millisecond
		m.step(scheduler.Tick{})
		for _, id := range m.ids {
			v := m.requests[id]
			if v.state == "granted" && m.now < v.expiresAt {
				v.state, v.startedAt = "running", m.now
				m.step(scheduler.Started{Host: v.host, RequestID: id, Endpoint: v.endpoint})
			}
			if v.state == "running" {
				v.state = "ended"
				delete(m.suspects, v.desc.Fingerprint)
				m.retractFailure(v)
				m.step(scheduler.Finished{RequestID: id, Outcome: scheduler.OutcomeDone, OutputTokens: 1})
			}
		}
	}
	for _, id := range m.ids {
		v := m.requests[id]
		if v.state == "waiting" && v.desc.Remaining == 0 {
			m.t.Fatalf("request %s is still waiting: %+v", id, v.desc)
		}
	}
}

func newReferenceModel(t *rapid.T) *referenceModel {
	m := &referenceModel{
		t: t, requests: make(map[string]*requestView), drained: make(map[string]bool), unlisted: make(map[string]bool),
		ejectedUntil: make(map[string]time.Duration), failedAt: make(map[string]time.Duration), suspects: make(map[string]bool),
		permittedUntil: make(map[int]time.Duration),
		scheduler:      scheduler.New(scheduler.Options{Pool: "pool", Seed: 7, Hosts: []string{"h"}}),
	}
	data, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, &m.cfg); err != nil {
		t.Fatal(err)
	}
	return m
}

// pickRequest returns a random request in one of the states, or nil if there is none.
func (m *referenceModel) pickRequest(states ...string) (string, *requestView) {
	var ids []string
	for _, id := range m.ids {
		if slices.Contains(states, m.requests[id].state) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", nil
	}
	id := rapid.SampledFrom(ids).Draw(m.t, "id")
	return id, m.requests[id]
}

func (m *referenceModel) randomEvent() {
	switch rapid.IntRange(0, 17).Draw(m.t, "kind") {
	case 0, 1, 2, 3, 4:
		m.submit()
	case 5, 6, 7:
		if id, v := m.pickRequest("granted"); v != nil && m.now < v.expiresAt {
			v.state, v.startedAt = "running", m.now
			m.step(scheduler.Started{Host: v.host, RequestID: id, Endpoint: v.endpoint})
		}
	case 8:
		if id, v := m.pickRequest("granted"); v != nil {
			reason := rapid.SampledFrom([]scheduler.DeclineReason{"expired", "connect", "gone"}).Draw(m.t, "reason")
			e := v.endpoint
			if v.state = "waiting"; reason == scheduler.DeclineGone {
				v.state = "ended"
			}
			m.step(scheduler.Declined{Host: v.host, RequestID: id, Endpoint: e, Reason: reason})
		}
	case 9, 10:
		if id, v := m.pickRequest("running"); v != nil {
			v.tokens += rapid.SampledFrom([]int{1, 9, 60, 500, 1 << 40}).Draw(m.t, "tokens")
			m.retractFailure(v)
			m.step(scheduler.Progress{RequestID: id, OutputTokens: v.tokens})
		}
	case 11, 12:
		m.finish()
	case 13:
		if id, v := m.pickRequest("waiting", "granted"); v != nil {
			v.state = "ended"
			m.step(scheduler.Cancelled{RequestID: id})
		}
	case 14:
		m.crash()
	case 15:
		m.listOrConfigure()
	case 16:
		m.changeShedLevel()
	case 17:
		m.changeHosts()
	}
}

func (m *referenceModel) submit() {
	m.nextID++
	d := scheduler.Descriptor{
		RequestID: fmt.Sprintf("r%d", m.nextID), Kind: "chat", Zone: "z1",
		Workspace:       rapid.SampledFrom([]string{"w", "v", "narrow", "slow"}).Draw(m.t, "workspace"),
		Caller:          rapid.SampledFrom([]string{"c", "d"}).Draw(m.t, "caller"),
		Tier:            rapid.SampledFrom([]string{"snappy", "normal", "bulk"}).Draw(m.t, "tier"),
		Model:           rapid.SampledFrom([]string{"m", "m", "m", "x"}).Draw(m.t, "model"),
		Adapter:         rapid.SampledFrom([]string{"", "", "a"}).Draw(m.t, "adapter"),
		Fingerprint:     rapid.SampledFrom([]string{"", "p", "q", "r"}).Draw(m.t, "print"),
		PromptTokens:    rapid.SampledFrom([]int{-9, 0, 300, 300, 1900, 6000, math.MaxInt}).Draw(m.t, "prompt"),
		MaxOutputTokens: rapid.IntRange(0, 400).Draw(m.t, "output"),
		Remaining:       time.Duration(rapid.SampledFrom([]int{0, 0, 3000}).Draw(m.t, "remaining")) * time.Millisecond,
	}
	m.requests[d.RequestID] = &requestView{desc: d, host: "h", state: "waiting"}
	m.ids = append(m.ids, d.RequestID)
	m.step(scheduler.Submit{Host: "h", Descriptor: d})
}

func (m *referenceModel) finish() {
	id, v := m.pickRequest("running")
	if v == nil {
		return
	}
	v.state = "ended"
	outcome := rapid.SampledFrom([]string{scheduler.OutcomeDone, scheduler.OutcomeDone, scheduler.OutcomeFailed}).
		Draw(m.t, "outcome")
	if outcome == scheduler.OutcomeDone && v.desc.Fingerprint != "" {
		delete(m.suspects, v.desc.Fingerprint)
	}
	if outcome == scheduler.OutcomeDone {
		m.retractFailure(v)
	}
	m.step(scheduler.Finished{RequestID: id, Outcome: outcome, PromptTokens: v.desc.PromptTokens, OutputTokens: v.tokens})
}

// retractFailure ends the ejection of a view's endpoint if the run, which has made progress, started before the last failure.
func (m *referenceModel) retractFailure(v *requestView) {
	if at, ok := m.failedAt[v.endpoint]; ok && v.startedAt < at && m.now >= at+time.Second {
		delete(m.ejectedUntil, v.endpoint)
	}
}

// crash reports a failure of a random endpoint. Unless connections were refused, it ends all runs there.
func (m *referenceModel) crash() {
	e := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(m.t, "endpoint")
	cause := rapid.SampledFrom([]scheduler.FailureCause{"refused", "reset", "silent"}).Draw(m.t, "cause")
	var interrupted []string
	for _, id := range m.ids {
		if v := m.requests[id]; v.state == "running" && v.endpoint == e && cause != scheduler.FailureRefused {
			interrupted = append(interrupted, id)
			if v.desc.Fingerprint != "" {
				m.suspects[v.desc.Fingerprint] = true
			}
		}
	}
	if m.failedAt[e] = m.now; cause == scheduler.FailureRefused {
		delete(m.failedAt, e)
	}
	m.step(scheduler.EndpointFailed{Endpoint: e, Cause: cause, RequestIDs: interrupted})
	for _, id := range interrupted {
		m.requests[id].state = "ended"
		m.step(scheduler.Finished{RequestID: id, Outcome: scheduler.OutcomeInterrupted})
	}
}

func (m *referenceModel) listOrConfigure() {
	names := []string{"e1", "e2", "e3"}
	if rapid.Bool().Draw(m.t, "configure") {
		m.version++
		for i := range m.cfg.Endpoints {
			drain := rapid.IntRange(0, 4).Draw(m.t, "drain") == 0
			m.cfg.Endpoints[i].Drain = drain
			m.drained[m.cfg.Endpoints[i].Name] = drain
		}
		c := m.cfg
		c.Endpoints = slices.Clone(c.Endpoints)
		m.step(scheduler.Configure{Version: m.version + 1, Config: &c})
		return
	}
	l := scheduler.HostsListed{Age: time.Duration(rapid.SampledFrom([]int{0, 0, 30}).Draw(m.t, "age")) * time.Second}
	for _, n := range names {
		switch rapid.IntRange(0, 5).Draw(m.t, "listing") {
		case 0:
			l.Leaving = append(l.Leaving, n)
			m.unlisted[n] = true
		case 1:
			m.unlisted[n] = m.unlisted[n] || l.Age == 0
		default:
			l.Live = append(l.Live, n)
			m.unlisted[n] = m.unlisted[n] && l.Age > 0
		}
	}
	m.step(l)
}

func (m *referenceModel) changeShedLevel() {
	if rapid.Bool().Draw(m.t, "permit") {
		tier := rapid.IntRange(0, 2).Draw(m.t, "tier")
		m.permittedUntil[tier] = m.now + time.Second
		m.step(scheduler.ShedPermitted{Tier: tier, Duration: time.Second})
		return
	}
	m.step(scheduler.TiersClosed{Below: rapid.IntRange(0, 2).Draw(m.t, "below")})
}

func (m *referenceModel) changeHosts() {
	switch rapid.IntRange(0, 2).Draw(m.t, "hosts") {
	case 0:
		m.step(scheduler.Tick{})
	case 1:
		ev := scheduler.HostSynced{Host: "h"}
		for _, id := range m.ids {
			switch v := m.requests[id]; v.state {
			case "waiting", "granted":
				ev.Waiting = append(ev.Waiting, v.desc)
			case "running":
				ev.Running = append(ev.Running, scheduler.Run{Descriptor: v.desc, Endpoint: v.endpoint, OutputTokens: v.tokens})
			}
		}
		m.step(ev)
	case 2:
		for _, v := range m.requests {
			v.state = "ended"
		}
		m.step(scheduler.HostLost{Host: "h"})
	}
}

// step applies an event and checks the actions that follow and the invariants.
func (m *referenceModel) step(ev scheduler.Event) {
	for _, a := range m.scheduler.Step(m.now, ev) {
		switch a := a.(type) {
		case scheduler.Grant:
			m.checkGrant(a)
		case scheduler.Refuse:
			m.checkRefusal(a)
		case scheduler.Decision:
			if a.Verb == "eject" {
				m.ejectedUntil[a.Endpoint] = m.now + 500*time.Millisecond
				if a.Reason == "no progress" {
					m.failedAt[a.Endpoint] = m.now
				}
			}
		}
	}
	if err := m.scheduler.CheckInvariants(); err != nil {
		m.t.Fatalf("after %T %+v: %v", ev, ev, err)
	}
}

func (m *referenceModel) checkGrant(g scheduler.Grant) {
	v := m.requests[g.RequestID]
	if v.state == "granted" && m.now >= v.expiresAt {
		v.state = "waiting"
	}
	if v.state != "waiting" {
		m.t.Fatalf("request %s granted while %s", g.RequestID, v.state)
	}
	if m.drained[g.Endpoint] || m.unlisted[g.Endpoint] || m.now < m.ejectedUntil[g.Endpoint] {
		m.t.Fatalf("request %s granted to endpoint %s, which must not receive work", g.RequestID, g.Endpoint)
	}
	if v.desc.Model != "m" || (v.desc.Adapter != "" && g.Endpoint != "e1") || g.Endpoint == "other" {
		m.t.Fatalf("request %s for model %s, adapter %q granted to endpoint %s", g.RequestID, v.desc.Model, v.desc.Adapter, g.Endpoint)
	}
	suspect := m.suspects[v.desc.Fingerprint]
	for _, id := range m.ids {
		other := m.requests[id]
		open := other.state == "running" || other.state == "granted" && m.now < other.expiresAt
		if !open || id == g.RequestID {
			continue
		}
		if other.endpoint == g.Endpoint && (suspect || other.isolated) {
			m.t.Fatalf("request %s (suspect=%t) granted to endpoint %s, which already has request %s",
				g.RequestID, suspect, g.Endpoint, id)
		}
		if suspect && other.desc.Fingerprint == v.desc.Fingerprint {
			m.t.Fatalf("suspect request %s granted while request %s with the same fingerprint is running", g.RequestID, id)
		}
	}
	v.state, v.endpoint, v.expiresAt, v.isolated = "granted", g.Endpoint, m.now+g.TTL, suspect
}

func (m *referenceModel) checkRefusal(r scheduler.Refuse) {
	v := m.requests[r.RequestID]
	if v.state == "granted" && m.now >= v.expiresAt {
		v.state = "waiting"
	}
	if v.state != "waiting" {
		m.t.Fatalf("request %s refused while %s", r.RequestID, v.state)
	}
	v.state = "ended"
	order := map[string]int{"snappy": 0, "normal": 1, "bulk": 2}[v.desc.Tier]
	shed := r.Reason == scheduler.RefuseOverload || r.Reason == scheduler.RefusePatience
	if shed && order < 2 && m.now >= m.permittedUntil[order] {
		m.t.Fatalf("request %s of tier %s refused with reason %s without a permit", r.RequestID, v.desc.Tier, r.Reason)
	}
	if r.Reason == scheduler.RefuseUnserved && v.desc.Model == "m" {
		m.t.Fatalf("request %s refused as unserved although its model is served", r.RequestID)
	}
}
