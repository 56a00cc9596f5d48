package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

const modelStep = 10 * time.Millisecond

// model is a small queueing model: engines that process prompts first come, first served, beside a batch that decodes
// more slowly as it grows.
type model struct {
	s       *scheduler.Scheduler
	rngs    []*rand.Rand // one for each load, so that its arrivals do not depend on the others
	now     time.Duration
	engines []*modelEngine
	jobs    []*modelJob
	log     []string
	lost    int
	served  map[string]float64 // tokens by tier since the count began
	onEnd   func(*modelJob)
}

type modelEngine struct {
	name     string
	gap      float64 // seconds between tokens of a run alone
	rate     float64 // prompt tokens per second
	runs     []*modelJob
	deadTill time.Duration
}

type modelJob struct {
	d                    scheduler.Descriptor
	output               int
	poison               bool
	at, first, last, end time.Duration
	prompt, tokens       float64
	reported             time.Duration
	refused              scheduler.RefuseReason
	failed               bool
}

func newModel(endpoints int) *model {
	cfg := &configurer.Config{
		Tiers: []configurer.Tier{
			{Name: "snappy", Order: 0, FirstTokenTargetMS: 740, TokenGapTargetMS: 46, Share: 0.5},
			{Name: "normal", Order: 1, Share: 0.3},
			{Name: "bulk", Order: 2, Share: 0.2},
		},
		Pools: []configurer.Pool{{Name: "pool", Kind: configurer.KindModel, Models: []string{"m"}}},
	}
	m := &model{served: make(map[string]float64)}
	m.s = scheduler.New(scheduler.Options{Pool: "pool", Seed: 3, Hosts: []string{"h"}})
	for i := range endpoints {
		e := &modelEngine{name: fmt.Sprintf("e%d", i), gap: 0.012 + 0.004*float64(i%4), rate: 12000 / float64(1+i%4)}
		m.engines = append(m.engines, e)
		cfg.Endpoints = append(cfg.Endpoints, configurer.Endpoint{
			Name: e.name, Pool: "pool", Models: []string{"m"}, Hardware: fmt.Sprint(i % 4),
		})
	}
	m.step(scheduler.Configure{Version: 1, Config: cfg})
	m.step(scheduler.HostSynced{Host: "h"})
	return m
}

func (m *model) submit(tier, workspace, caller string, prompt, output int) *modelJob {
	id := fmt.Sprint(len(m.jobs))
	j := &modelJob{output: output, at: m.now, d: scheduler.Descriptor{
		RequestID: id, Workspace: workspace, Caller: caller, Tier: tier, Kind: "chat", Model: "m",
		PromptTokens: prompt, MaxOutputTokens: 2000, Fingerprint: "f" + id,
	}}
	m.jobs = append(m.jobs, j)
	return j
}

func (m *model) send(j *modelJob) { m.step(scheduler.Submit{Host: "h", Descriptor: j.d}) }

func (m *model) job(id string) *modelJob {
	var i int
	fmt.Sscan(id, &i)
	return m.jobs[i]
}

func (m *model) step(ev scheduler.Event) {
	for _, a := range m.s.Step(m.now, ev) {
		m.log = append(m.log, fmt.Sprintf("%s %+v", m.now, a))
		switch a := a.(type) {
		case scheduler.Grant:
			e := m.engines[slices.IndexFunc(m.engines, func(e *modelEngine) bool { return e.name == a.Endpoint })]
			if m.now < e.deadTill {
				m.step(scheduler.Declined{Host: "h", RequestID: a.RequestID, Endpoint: e.name, Reason: scheduler.DeclineConnect})
				continue
			}
			e.runs = append(e.runs, m.job(a.RequestID))
			m.step(scheduler.Started{Host: "h", RequestID: a.RequestID, Endpoint: e.name})
		case scheduler.Refuse:
			j := m.job(a.RequestID)
			j.refused, j.end = a.Reason, m.now
			if m.onEnd != nil {
				m.onEnd(j)
			}
		}
	}
}

// advance runs all engines for one step of the model.
func (m *model) advance() {
	m.now += modelStep
	for _, e := range m.engines {
		m.advanceEngine(e)
	}
	m.step(scheduler.Tick{})
}

func (m *model) advanceEngine(e *modelEngine) {
	budget := e.rate * modelStep.Seconds()
	decoding := 0
	for _, j := range e.runs {
		if j.first > 0 {
			decoding++
		}
	}
	gap := e.gap * (1 + 0.02*float64(decoding-1))
	if decoding > 0 && len(e.runs) > decoding {
		budget /= 2
	}
	for _, j := range slices.Clone(e.runs) {
		if j.poison {
			m.crash(e)
			return
		}
		if j.first == 0 {
			n := min(budget, float64(j.d.PromptTokens)-j.prompt)
			j.prompt += n
			budget -= n
			m.served[j.d.Tier] += n
			if j.prompt < float64(j.d.PromptTokens) {
				continue
			}
			j.first, j.last, j.tokens = m.now, m.now, 1
		} else {
			n := modelStep.Seconds() / gap
			j.tokens += n
			j.last = m.now
			m.served[j.d.Tier] += n
		}
		m.report(e, j)
	}
}

func (m *model) report(e *modelEngine, j *modelJob) {
	if int(j.tokens) >= j.output {
		j.end = m.now
		e.runs = slices.DeleteFunc(e.runs, func(o *modelJob) bool { return o == j })
		m.step(scheduler.Finished{
			RequestID: j.d.RequestID, Outcome: scheduler.OutcomeDone, PromptTokens: j.d.PromptTokens, OutputTokens: j.output,
		})
		if m.onEnd != nil {
			m.onEnd(j)
		}
		return
	}
	if j.first == m.now || m.now-j.reported >= 200*time.Millisecond {
		j.reported = m.now
		m.step(scheduler.Progress{RequestID: j.d.RequestID, OutputTokens: int(j.tokens)})
	}
}

// crash ends an engine for three seconds; its entry host reports it and then each interrupted run.
func (m *model) crash(e *modelEngine) {
	m.lost++
	lost := e.runs
	e.runs, e.deadTill = nil, m.now+3*time.Second
	failed := scheduler.EndpointFailed{Endpoint: e.name, Cause: scheduler.FailureReset}
	for _, j := range lost {
		failed.RequestIDs = append(failed.RequestIDs, j.d.RequestID)
	}
	m.step(failed)
	for _, j := range lost {
		j.failed, j.end = true, m.now
		m.step(scheduler.Finished{RequestID: j.d.RequestID, Outcome: scheduler.OutcomeInterrupted})
	}
	for _, j := range lost {
		if m.onEnd != nil {
			m.onEnd(j)
		}
	}
}

// load is a stream of requests with a rate per second.
type load struct {
	tier, workspace string
	callers         int
	rate            float64
	prompt, output  int
	from, to        time.Duration
}

func (m *model) run(until time.Duration, loads ...load) {
	for m.now < until {
		for i, l := range loads {
			if i == len(m.rngs) {
				m.rngs = append(m.rngs, rand.New(rand.NewPCG(11, uint64(i))))
			}
			rng := m.rngs[i]
			if m.now < l.from || (l.to > 0 && m.now >= l.to) {
				continue
			}
			for n := l.rate*modelStep.Seconds() - rng.Float64(); n > 0; n-- {
				vary := 0.5 + rng.Float64()
				caller := fmt.Sprint("c", rng.IntN(l.callers))
				if l.callers == 1 {
					caller = "big"
				}
				m.send(m.submit(l.tier, l.workspace, caller, int(vary*float64(l.prompt)), max(1, int(vary*float64(l.output)))))
			}
		}
		m.advance()
	}
}

// prompt returns the part of a tier's requests, submitted in a time, that met both targets of the page.
func (m *model) promptPart(tier string, from, to time.Duration) float64 {
	n, good := 0, 0
	for _, j := range m.jobs {
		if j.d.Tier != tier || j.at < from || j.at >= to {
			continue
		}
		n++
		gap := (j.last - j.first).Seconds() / max(j.tokens-1, 1)
		if j.first > 0 && j.first-j.at <= 740*time.Millisecond && gap <= 0.046 {
			good++
		}
	}
	return float64(good) / float64(max(n, 1))
}

// TestFloodOfLowerWork guards the first tokens and token gaps of the top tier while lower tiers flood.
func TestFloodOfLowerWork(t *testing.T) {
	for _, tier := range []string{"bulk", "normal"} {
		m := newModel(8)
		m.run(40*time.Second,
			load{tier: "snappy", workspace: "w", callers: 5, rate: 10, prompt: 200, output: 40},
			load{tier: tier, workspace: "v", callers: 5, rate: 60, prompt: 900, output: 300, from: 10 * time.Second},
		)
		if part := m.promptPart("snappy", 10*time.Second, 38*time.Second); part < 0.95 {
			t.Errorf("in a flood of %s, %.3f of the top tier met its targets, want 0.95", tier, part)
		}
	}
}

// TestFloodOfUrgentWork guards the shares of lower tiers while the top tier asks for far more than the pool gives.
func TestFloodOfUrgentWork(t *testing.T) {
	m := newModel(8)
	loads := []load{
		{tier: "snappy", workspace: "w", callers: 5, rate: 10, prompt: 200, output: 40, to: 10 * time.Second},
		{tier: "snappy", workspace: "w", callers: 5, rate: 200, prompt: 200, output: 40, from: 10 * time.Second},
		{tier: "normal", workspace: "v", callers: 5, rate: 30, prompt: 300, output: 200},
		{tier: "bulk", workspace: "u", callers: 5, rate: 30, prompt: 300, output: 200},
	}
	m.run(20*time.Second, loads...)
	clear(m.served)
	m.run(80*time.Second, loads...)
	sum := m.served["snappy"] + m.served["normal"] + m.served["bulk"]
	for tier, share := range map[string]float64{"normal": 0.3, "bulk": 0.2} {
		if got := m.served[tier] / sum; got < 0.9*share {
			t.Errorf("%s received %.3f of the service, want 0.9 of its share %.1f", tier, got, share)
		}
	}
}

// TestFloodByOneCaller guards the goodput of small callers in the flood of another one, of another workspace or of their
// own.
func TestFloodByOneCaller(t *testing.T) {
	small := load{tier: "normal", workspace: "w", callers: 6, rate: 3, prompt: 300, output: 100}
	answered := func(flood ...load) int {
		m := newModel(8)
		m.run(60*time.Second, append([]load{small}, flood...)...)
		n := 0
		for _, j := range m.jobs {
			// Requests sent in the last ten seconds may still run at the end and are left out.
			inTime := j.end > 0 && j.end-j.at <= 8*time.Second && j.refused == ""
			if j.d.Workspace == "w" && j.d.Caller != "big" && j.at < 50*time.Second && inTime {
				n++
			}
		}
		return n
	}
	alone := answered()
	for _, workspace := range []string{"v", "w"} {
		flood := load{tier: "normal", workspace: workspace, callers: 1, rate: 60, prompt: 1200, output: 300, from: 5 * time.Second}
		if got := answered(flood); float64(got) < 0.9*float64(alone) {
			t.Errorf("%d small requests answered in a flood by workspace %s, %d without it", got, workspace, alone)
		}
	}
}

// TestPoisonRequest guards the bound of two endpoints lost to one request, however often its caller sends it at once.
func TestPoisonRequest(t *testing.T) {
	for _, parallel := range []int{1, 2, 6} {
		m := newModel(8)
		background := load{tier: "normal", workspace: "v", callers: 4, rate: 8, prompt: 300, output: 100}
		m.run(3*time.Second, background)
		var again []*modelJob
		m.onEnd = func(j *modelJob) {
			if j.poison {
				again = append(again, j)
			}
		}
		for range parallel {
			again = append(again, &modelJob{poison: true})
		}
		refused := 0
		for m.now < 40*time.Second {
			sent := again
			again = nil
			for _, old := range sent {
				if old.refused == scheduler.RefuseQuarantine {
					refused++
				}
				j := m.submit("snappy", "w", "c", 100, 50)
				j.poison, j.d.Fingerprint = true, "poison"
				m.send(j)
			}
			m.run(m.now+100*time.Millisecond, background)
		}
		if m.lost > 2 || refused == 0 {
			t.Errorf("%d endpoints lost to %d equal requests, %d refused; want at most 2 lost", m.lost, parallel, refused)
		}
		for _, j := range m.jobs {
			if !j.poison && j.refused != "" {
				t.Errorf("request %s refused: %s", j.d.RequestID, j.refused)
			}
		}
	}
}

// TestDeterminism guards against an order of map iteration in the actions, which would break replays.
func TestDeterminism(t *testing.T) {
	run := func() []string {
		m := newModel(8)
		m.run(4*time.Second,
			load{tier: "snappy", workspace: "w", callers: 5, rate: 60, prompt: 200, output: 40},
			load{tier: "bulk", workspace: "v", callers: 5, rate: 40, prompt: 900, output: 300},
		)
		m.crash(m.engines[0])
		m.crash(m.engines[1])
		m.run(6*time.Second, load{tier: "bulk", workspace: "v", callers: 5, rate: 40, prompt: 900, output: 300})
		m.step(scheduler.HostLost{Host: "h"})
		return m.log
	}
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Errorf("two equal runs differ:\n%s", diff)
	}
}
