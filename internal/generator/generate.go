package generator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/dragonflycroft/dragonflycroft/internal/tracer"
)

const (
	second = 1_000_000 // in microseconds
	// repeatRate is the share of non-idempotent orders that their callers send twice under one key.
	repeatRate = 0.03
	repeatUS   = 40_000
	threads    = 40 // open threads of one workspace and class
)

// build is one trace in the making.
type build struct {
	scenario *Scenario
	profile  profile
	rng      *rand.Rand
	trace    *tracer.Trace
	floodUS  [2]int64
}

// Generate makes the trace of a scenario.
func Generate(c *Scenario) (*tracer.Trace, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	b := &build{
		scenario: c, profile: profiles()[c.User], rng: rand.New(rand.NewPCG(c.Seed, 0x67656e65)), trace: &tracer.Trace{},
		floodUS: [2]int64{c.DurationMS * 1000 / 4, c.DurationMS * 1000 * 5 / 8},
	}
	b.trace.Header = b.header()
	shape := shapes()[c.Shape]
	load := shape.load
	if load == nil {
		load = func(float64) float64 { return 1 }
	}
	for i := range b.profile.classes {
		b.arrivals(&b.profile.classes[i], load)
	}
	if shape.more != nil {
		shape.more(b)
	}
	requests := b.trace.Requests
	slices.SortStableFunc(requests, func(x, y tracer.Request) int { return cmp.Compare(x.AtUS, y.AtUS) })
	for i := range requests {
		requests[i].Record, requests[i].ID = "request", fmt.Sprintf("r%05d", i)
	}
	changes := b.trace.Changes
	slices.SortStableFunc(changes, func(x, y tracer.Change) int { return cmp.Compare(x.AtUS, y.AtUS) })
	return b.trace, nil
}

// arrivals adds the usual traffic of a class. The load function scales it over the trace's time, given from 0 to 1.
func (b *build) arrivals(c *class, load func(float64) float64) {
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
		b.add(b.request(c, at, workspace, caller))
	}
}

// flood adds requests of one class from the flood's start to its end. The caller is picked per request unless given.
func (b *build) flood(name, workspace, caller string) {
	c := b.class(name)
	mean := c.output.median * math.Exp(c.output.sigma*c.output.sigma/2)
	rate := b.scenario.FloodFactor * b.profile.capacity / mean
	b.trace.Header.Flood = &tracer.Flood{FromUS: b.floodUS[0], ToUS: b.floodUS[1], Tier: c.tier}
	for at := b.floodUS[0]; ; {
		at += int64(b.rng.ExpFloat64() / rate * second)
		if at >= b.floodUS[1] {
			return
		}
		w, k := workspace, caller
		if w == "" {
			w, k = b.pickCaller()
		}
		r := b.request(c, at, w, k)
		r.Flood = true
		b.add(r)
	}
}

func (b *build) class(name string) *class {
	for i := range b.profile.classes {
		if b.profile.classes[i].name == name {
			return &b.profile.classes[i]
		}
	}
	return &b.profile.classes[0]
}

func (b *build) add(r tracer.Request) {
	b.trace.Requests = append(b.trace.Requests, r)
	if r.Once && b.rng.Float64() < repeatRate {
		r.AtUS += repeatUS
		b.trace.Requests = append(b.trace.Requests, r)
	}
}

func (b *build) request(c *class, at int64, workspace, caller string) tracer.Request {
	r := tracer.Request{
		AtUS: at, Workspace: workspace, Caller: caller, Tier: c.tier, Class: c.name,
		DeadlineUS: c.deadlineMS * 1000, TargetUS: c.targetMS * 1000, Retries: c.retries, Once: c.once,
	}
	if c.service.median > 0 {
		r.Pool, r.ServiceUS = poolServices, int64(b.draw(c.service))
		if c.once {
			r.Key = fmt.Sprintf("k%08x", b.rng.Uint32())
		}
		return r
	}
	r.Pool, r.Model = poolChat, b.profile.model
	r.Prefix = []string{fmt.Sprintf("%s*%d", c.name, c.system)}
	shared := c.system
	if c.thread > 0 {
		// A thread's history grows, so later turns share the blocks of the earlier ones.
		turns := 1 + b.rng.IntN(c.thread)
		r.Prefix = append(r.Prefix, fmt.Sprintf("%s-%s-%d*%d", workspace, c.name, b.rng.IntN(threads), turns))
		shared += turns
	}
	r.PromptTokens = shared*tracer.BlockTokens + b.draw(c.prompt)
	r.OutputTokens = b.draw(c.output)
	r.MaxOutputTokens = c.output.high
	return r
}

func (b *build) draw(l lengths) int {
	v := int(l.median * math.Exp(l.sigma*b.rng.NormFloat64()))
	return min(max(v, l.low), l.high)
}

// pickCaller draws a caller. Two workspaces are large, and so is one caller in each of them.
func (b *build) pickCaller() (workspace, caller string) {
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
