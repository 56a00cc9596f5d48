package generator

import (
	"fmt"
	"math"

	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

// shape defines how a trace differs from steady traffic.
type shape struct {
	// load scales the traffic at a time given as a fraction of the trace's duration; nil means steady traffic.
	load func(float64) float64
	// modify adds floods and changes and adapts the header.
	modify func(b *traceBuilder)
}

func shapes() map[string]shape {
	return map[string]shape{
		ShapeQuietDay:         {load: dayCurve},
		ShapeFloodLeastUrgent: {modify: func(b *traceBuilder) { b.addFlood(b.profile.floodLeast, "", "") }},
		ShapeFloodMostUrgent:  {modify: func(b *traceBuilder) { b.addFlood(b.profile.floodMost, "", "") }},
		ShapeFloodOneCaller:   {modify: func(b *traceBuilder) { b.addFlood(b.profile.floodCaller, b.profile.workspaces[0], callerNames(0)[0]) }},
		ShapeSlowRunners:      {modify: slowRunners},
		ShapeStaleReports:     {load: bursts, modify: func(b *traceBuilder) { b.trace.Header.Conditions.ReportAgeUS = 10 * second }},
		ShapeZoneLoss: {modify: func(b *traceBuilder) {
			b.addChange(b.floodWindowUS[0], tracecoder.Change{Change: tracecoder.ChangeZoneDown, Zone: zones()[1]})
		}},
		ShapePoisonRequest:      {modify: poisonRequests},
		ShapeRollingReplacement: {modify: rollingReplacement},
		ShapeHolderLoss:         {modify: holderLoss},
		ShapeWaitingLimit: {modify: func(b *traceBuilder) {
			b.addFlood(b.profile.floodMost, "", "")
			b.trace.Header.Config.Limits.MaxWaiting = 1000
		}},
	}
}

// dayCurve rises and falls once over the trace, as half a sine wave.
func dayCurve(x float64) float64 { return 0.3 + 0.7*math.Sin(math.Pi*x) }

// bursts doubles the traffic for a quarter of each sixth of the trace.
func bursts(x float64) float64 {
	if _, part := math.Modf(x * 6); part < 0.25 {
		return 2
	}
	return 1
}

func (b *traceBuilder) addChange(at int64, c tracecoder.Change) {
	c.Record, c.AtUS = "change", at
	b.trace.Changes = append(b.trace.Changes, c)
}

// slowRunners reduces one runner in three to a quarter of its speed in the middle of the trace.
func slowRunners(b *traceBuilder) {
	for i, n := range b.rng.Perm(b.profile.runners) {
		if i%3 == 0 {
			b.addChange(b.floodWindowUS[0], tracecoder.Change{Change: tracecoder.ChangeSpeed, Endpoint: runnerName(n), Factor: 0.25})
			b.addChange(b.floodWindowUS[1]+15*second, tracecoder.Change{Change: tracecoder.ChangeSpeed, Endpoint: runnerName(n), Factor: 1})
		}
	}
}

// poisonRequests adds two requests that crash each endpoint that runs them and that their callers retry.
func poisonRequests(b *traceBuilder) {
	for i, name := range []string{b.profile.floodMost, b.profile.floodCaller} {
		workspace, caller := b.pickCaller()
		r := b.newRequest(b.class(name), b.floodWindowUS[0]+int64(i)*20*second, workspace, caller)
		r.PoisonUS, r.Retries, r.DeadlineUS = second/5, 12, 45*second
		r.OutputTokens = 300 // long enough to be running when it crashes the endpoint
		r.MaxOutputTokens = 300
		b.trace.Requests = append(b.trace.Requests, r)
	}
}

// rollingReplacement restarts the runners one after the other: each is listed as leaving, stops and starts again.
func rollingReplacement(b *traceBuilder) {
	const stopAfter, startAfter = 30 * second, 33 * second
	end := b.scenario.DurationMS * 1000
	gap := (end - startAfter - 10*second) / int64(b.profile.runners)
	for i := range b.profile.runners {
		at := 10*second + int64(i)*gap
		b.addChange(at, tracecoder.Change{Change: tracecoder.ChangeLeave, Endpoint: runnerName(i)})
		b.addChange(at+stopAfter, tracecoder.Change{Change: tracecoder.ChangeStop, Endpoint: runnerName(i)})
		b.addChange(at+startAfter, tracecoder.Change{Change: tracecoder.ChangeStart, Endpoint: runnerName(i)})
	}
}

// holderLoss stops three of the six hosts, the second one shortly after the first.
func holderLoss(b *traceBuilder) {
	for i, at := range []int64{0, 4 * second, 30 * second} {
		b.addChange(b.floodWindowUS[0]+at, tracecoder.Change{Change: tracecoder.ChangeHostDown, Host: fmt.Sprintf("e%d", i+1)})
	}
}
