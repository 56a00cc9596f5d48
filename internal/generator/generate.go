package generator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

const (
	second = 1_000_000 // in microseconds
	// duplicateRate is the share of non-idempotent orders that their callers send twice with the same key.
	duplicateRate    = 0.03
	duplicateDelayUS = 40_000
	openThreads      = 40 // conversation threads per workspace and class
)

// traceBuilder builds the trace of one scenario.
type traceBuilder struct {
	scenario      *Scenario
	profile       profile
	rng           *rand.Rand
	trace         *tracecoder.Trace
	floodWindowUS [2]int64
}

// Generate returns the trace of a scenario.
func Generate(c *Scenario) (*tracecoder.Trace, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	b := &traceBuilder{
		scenario: c, profile: profiles()[c.User], rng: rand.New(rand.NewPCG(c.Seed, 0x67656e65)), trace: &tracecoder.Trace{},
		floodWindowUS: [2]int64{c.DurationMS * 1000 / 4, c.DurationMS * 1000 * 5 / 8},
	}
	b.trace.Header = b.newHeader()
	shape := shapes()[c.Shape]
	load := shape.load
	if load == nil {
		load = func(float64) float64 { return 1 }
	}
	for i := range b.profile.classes {
		b.addArrivals(&b.profile.classes[i], load)
	}
	if shape.modify != nil {
		shape.modify(b)
	}
	requests := b.trace.Requests
	slices.SortStableFunc(requests, func(x, y tracecoder.Request) int { return cmp.Compare(x.AtUS, y.AtUS) })
	for i := range requests {
		requests[i].Record, requests[i].ID = "request", fmt.Sprintf("r%05d", i)
	}
	changes := b.trace.Changes
	slices.SortStableFunc(changes, func(x, y tracecoder.Change) int { return cmp.Compare(x.AtUS, y.AtUS) })
	return b.trace, nil
}

// addArrivals adds the usual traffic of a class as a Poisson process. The load function scales its rate; its argument is the
// time as a fraction of the trace's duration.
func (b *traceBuilder) addArrivals(c *class, load func(float64) float64) {
	end := b.scenario.DurationMS * 1000
	peak := 0.0
	for i := range 101 {
		peak = max(peak, load(float64(i)/100))
	}
	for at := int64(0); ; {
		at += int64(b.rng.ExpFloat64() / (c.rate * b.scenario.Load * peak) * second)
		if at >= end {
			return
		}
		if b.rng.Float64()*peak > load(float64(at)/float64(end)) {
			continue
		}
		workspace, caller := b.pickCaller()
		b.addRequest(b.newRequest(c, at, workspace, caller))
	}
}

// addFlood adds requests of one class during the flood window. An empty workspace draws a caller for each request.
func (b *traceBuilder) addFlood(name, workspace, caller string) {
	c := b.class(name)
	mean := c.output.median * math.Exp(c.output.sigma*c.output.sigma/2)
	rate := b.scenario.FloodFactor * b.profile.capacity / mean
	b.trace.Header.Flood = &tracecoder.Flood{FromUS: b.floodWindowUS[0], ToUS: b.floodWindowUS[1], Tier: c.tier}
	for at := b.floodWindowUS[0]; ; {
		at += int64(b.rng.ExpFloat64() / rate * second)
		if at >= b.floodWindowUS[1] {
			return
		}
		w, k := workspace, caller
		if w == "" {
			w, k = b.pickCaller()
		}
		r := b.newRequest(c, at, w, k)
		r.Flood = true
		b.addRequest(r)
	}
}

func (b *traceBuilder) class(name string) *class {
	for i := range b.profile.classes {
		if b.profile.classes[i].name == name {
			return &b.profile.classes[i]
		}
	}
	return &b.profile.classes[0]
}

func (b *traceBuilder) addRequest(r tracecoder.Request) {
	b.trace.Requests = append(b.trace.Requests, r)
	if r.Once && b.rng.Float64() < duplicateRate {
		r.AtUS += duplicateDelayUS
		b.trace.Requests = append(b.trace.Requests, r)
	}
}

func (b *traceBuilder) newRequest(c *class, at int64, workspace, caller string) tracecoder.Request {
	r := tracecoder.Request{
		AtUS: at, Workspace: workspace, Caller: caller, Tier: c.tier, Class: c.name,
		DeadlineUS: c.deadlineMS * 1000, TargetUS: c.targetMS * 1000, Retries: c.retries, Once: c.once,
	}
	if c.service.median > 0 {
		r.Pool, r.ServiceUS = poolServices, int64(b.sample(c.service))
		if c.once {
			r.Key = fmt.Sprintf("k%08x", b.rng.Uint32())
		}
		return r
	}
	r.Pool, r.Model = poolChat, b.profile.model
	r.Prefix = []string{fmt.Sprintf("%s*%d", c.name, c.systemBlocks)}
	shared := c.systemBlocks
	if c.maxThreadBlocks > 0 {
		// A thread's prompt grows with each turn, so later turns share the blocks of earlier ones.
		turns := 1 + b.rng.IntN(c.maxThreadBlocks)
		r.Prefix = append(r.Prefix, fmt.Sprintf("%s-%s-%d*%d", workspace, c.name, b.rng.IntN(openThreads), turns))
		shared += turns
	}
	r.PromptTokens = shared*tracecoder.BlockTokens + b.sample(c.prompt)
	r.OutputTokens = b.sample(c.output)
	r.MaxOutputTokens = c.output.high
	return r
}

func (b *traceBuilder) sample(l logNormal) int {
	v := int(l.median * math.Exp(l.sigma*b.rng.NormFloat64()))
	return min(max(v, l.low), l.high)
}

// pickCaller draws a random caller. Two workspaces send most of the requests, most of them from one caller each.
func (b *traceBuilder) pickCaller() (workspace, caller string) {
	sizes := []float64{0.4, 0.3, 0.15, 0.1, 0.05}
	x, i := b.rng.Float64(), 0
	for i < len(sizes)-1 && x >= sizes[i] {
		x -= sizes[i]
		i++
	}
	names := callerNames(i)
	if i < largeWorkspaces && b.rng.Float64() < 0.7 {
		return b.profile.workspaces[i], names[0]
	}
	return b.profile.workspaces[i], names[b.rng.IntN(len(names))]
}
