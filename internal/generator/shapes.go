package generator

import (
	"fmt"
	"math"

	"github.com/dragonflycroft/dragonflycroft/internal/tracer"
)

// shape says how a trace differs from steady traffic.
type shape struct {
	// load scales the traffic over the trace's time, given from 0 to 1; nil means steady.
	load func(float64) float64
	// more adds floods, changes and conditions.
	more func(b *build)
}

func shapes() map[string]shape {
	return map[string]shape{
		ShapeQuietDay:           {load: day},
		ShapeFloodLeastUrgent:   {more: func(b *build) { b.flood(b.profile.floodLeast, "", "") }},
		ShapeFloodMostUrgent:    {more: func(b *build) { b.flood(b.profile.floodMost, "", "") }},
		ShapeFloodOneCaller:     {more: func(b *build) { b.flood(b.profile.floodCaller, b.profile.workspaces[0], callerNames(0)[0]) }},
		ShapeSlowRunners:        {more: slowRunners},
		ShapeStaleReports:       {load: bursts, more: func(b *build) { b.trace.Header.Conditions.ReportAgeUS = 10 * second }},
		ShapeZoneLoss:           {more: func(b *build) { b.change(b.floodUS[0], tracer.Change{Change: tracer.ChangeZoneDown, Zone: zones()[1]}) }},
		ShapePoisonRequest:      {more: poison},
		ShapeRollingReplacement: {more: replacement},
		ShapeHolderLoss:         {more: holderLoss},
		ShapeWaitingLimit: {more: func(b *build) {
			b.flood(b.profile.floodMost, "", "")
			b.trace.Header.Config.Limits.MaxWaiting = 1000
		}},
	}
}

// day is one slow rise and fall.
func day(x float64) float64 { return 0.3 + 0.7*math.Sin(math.Pi*x) }

// bursts doubles the traffic for a quarter of each sixth of the trace.
func bursts(x float64) float64 {
	if _, part := math.Modf(x * 6); part < 0.25 {
		return 2
	}
	return 1
}

func (b *build) change(at int64, c tracer.Change) {
	c.Record, c.AtUS = "change", at
	b.trace.Changes = append(b.trace.Changes, c)
}

// slowRunners runs one runner in three at a quarter of its speed for the middle of the trace.
func slowRunners(b *build) {
	for i, n := range b.rng.Perm(b.profile.runners) {
		if i%3 == 0 {
			b.change(b.floodUS[0], tracer.Change{Change: tracer.ChangeSpeed, Endpoint: runnerName(n), Factor: 0.25})
			b.change(b.floodUS[1]+15*second, tracer.Change{Change: tracer.ChangeSpeed, Endpoint: runnerName(n), Factor: 1})
		}
	}
}

// poison adds two requests that crash each endpoint that runs them; their callers keep sending them.
func poison(b *build) {
	for i, name := range []string{b.profile.floodMost, b.profile.floodCaller} {
		workspace, caller := b.pickCaller()
		r := b.request(b.class(name), b.floodUS[0]+int64(i)*20*second, workspace, caller)
		r.PoisonUS, r.Retries, r.DeadlineUS = second/5, 12, 45*second
		r.OutputTokens = 300 // long enough to be running when it crashes the endpoint
		r.MaxOutputTokens = 300
		b.trace.Requests = append(b.trace.Requests, r)
	}
}

// replacement restarts the runners one after the other: each one is listed as leaving, stops and starts afresh.
func replacement(b *build) {
	const stopAfter, startAfter = 30 * second, 33 * second
	end := b.scenario.DurationMS * 1000
	gap := (end - startAfter - 10*second) / int64(b.profile.runners)
	for i := range b.profile.runners {
		at := 10*second + int64(i)*gap
		b.change(at, tracer.Change{Change: tracer.ChangeLeave, Endpoint: runnerName(i)})
		b.change(at+stopAfter, tracer.Change{Change: tracer.ChangeStop, Endpoint: runnerName(i)})
		b.change(at+startAfter, tracer.Change{Change: tracer.ChangeStart, Endpoint: runnerName(i)})
	}
}

// holderLoss ends three of the six hosts, two of them shortly after another.
func holderLoss(b *build) {
	for i, at := range []int64{0, 4 * second, 30 * second} {
		b.change(b.floodUS[0]+at, tracer.Change{Change: tracer.ChangeHostDown, Host: fmt.Sprintf("e%d", i+1)})
	}
}
