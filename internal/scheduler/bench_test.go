package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// BenchmarkDecision measures one request from Submit to Finished with a fixed number of endpoints and of waiting requests.
// The time per operation covers one grant and all events of one run.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{18, 250, 2500} {
		for _, waiting := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", endpoints, waiting), func(b *testing.B) {
				benchmarkDecision(b, endpoints, waiting)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, endpoints, waiting int) {
	cfg := &configurer.Config{
		Tiers: []configurer.Tier{
			{Name: "snappy", Order: 0, FirstTokenTargetMS: 740, TokenGapTargetMS: 46, Share: 0.5},
			{Name: "bulk", Order: 1, Share: 0.5},
		},
		Pools: []configurer.Pool{{Name: "pool", Kind: configurer.KindModel, Models: []string{"m"}}},
	}
	for i := range endpoints {
		cfg.Endpoints = append(cfg.Endpoints, configurer.Endpoint{
			Name: fmt.Sprintf("e%04d", i), Pool: "pool", Zone: "z", Models: []string{"m"}, Hardware: "g",
		})
	}
	s := scheduler.New(scheduler.Options{Pool: "pool", Seed: 1, Hosts: []string{"h"}})
	s.Step(0, scheduler.Configure{Version: 1, Config: cfg})
	s.Step(0, scheduler.HostSynced{Host: "h"})
	var now time.Duration
	var running []scheduler.Grant
	grants, submitted := 0, 0
	step := func(ev scheduler.Event) {
		for _, a := range s.Step(now, ev) {
			if g, ok := a.(scheduler.Grant); ok {
				running = append(running, g)
				grants++
			}
		}
	}
	submit := func() {
		submitted++
		tier := "bulk"
		if submitted%4 == 0 {
			tier = "snappy"
		}
		blocks := []uint64{1, 2, uint64(submitted % 5000), uint64(submitted)}
		step(scheduler.Submit{Host: "h", Descriptor: scheduler.Descriptor{
			RequestID: fmt.Sprintf("r%d", submitted), Workspace: fmt.Sprintf("w%d", submitted%100),
			Caller: fmt.Sprintf("c%d", submitted%7),
			Tier:   tier, Kind: "chat", Model: "m", Zone: "z", PromptTokens: 256, MaxOutputTokens: 100, PrefixBlocks: blocks,
		}})
	}
	started := 0
	start := func() {
		for ; started < len(running); started++ {
			g := running[started]
			step(scheduler.Started{Host: "h", RequestID: g.RequestID, Endpoint: g.Endpoint})
			step(scheduler.Progress{RequestID: g.RequestID, OutputTokens: 1})
		}
	}
	for grants == submitted || submitted-grants < waiting {
		submit()
		start()
	}
	b.ResetTimer()
	grantsBefore := grants
	for i := range b.N {
		now += 120 * time.Microsecond
		submit()
		g := running[i]
		step(scheduler.Progress{RequestID: g.RequestID, OutputTokens: 50})
		step(scheduler.Finished{RequestID: g.RequestID, Outcome: scheduler.OutcomeDone, PromptTokens: 256, OutputTokens: 100})
		start()
	}
	b.ReportMetric(float64(grants-grantsBefore)/float64(b.N), "grants/op")
}
