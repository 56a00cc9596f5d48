package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// sizedConfig returns a configuration of one pool with one model, four tiers and the given numbers of endpoints and workspaces.
func sizedConfig(endpoints, workspaces int) *configurer.Config {
	cfg := &configurer.Config{
		Tiers: []configurer.Tier{
			{Name: "snappy", Order: 0, FirstTokenTargetMS: 740, TokenGapTargetMS: 46, Share: 0.4},
			{Name: "normal", Order: 1, FirstTokenTargetMS: 2000, Share: 0.3},
			{Name: "long", Order: 2, Share: 0.2},
			{Name: "bulk", Order: 3, Share: 0.1},
		},
		Pools: []configurer.Pool{{Name: "pool", Kind: configurer.KindModel, Models: []string{"m"}}},
	}
	for i := range workspaces {
		cfg.Workspaces = append(cfg.Workspaces, configurer.Workspace{Name: fmt.Sprintf("workspace-%04d", i)})
	}
	for i := range endpoints {
		cfg.Endpoints = append(cfg.Endpoints, configurer.Endpoint{
			Name: fmt.Sprintf("runner-%04d", i), Pool: "pool", Zone: fmt.Sprintf("zone-%d", i%7), Models: []string{"m"},
			Hardware: fmt.Sprintf("generation-%d", i%4),
		})
	}
	return cfg
}

func sizedDescriptor(i int) scheduler.Descriptor {
	blocks := make([]uint64, 8)
	for b := range blocks {
		blocks[b] = uint64(i*8+b+1) * 0x9e3779b97f4a7c15
	}
	return scheduler.Descriptor{
		RequestID: fmt.Sprintf("entry-%03d.17.%08d", i%640, i), Workspace: fmt.Sprintf("workspace-%04d", i%3200),
		Caller: fmt.Sprintf("caller-%d", i%2), Tier: []string{"snappy", "normal", "long", "bulk"}[i%4], Kind: "chat", Model: "m",
		Zone: fmt.Sprintf("zone-%d", i%7), PromptTokens: 512, MaxOutputTokens: 448, PrefixBlocks: blocks,
		Fingerprint: fmt.Sprintf("%064x", i), Remaining: time.Minute,
	}
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func sizedScheduler(cfg *configurer.Config) *scheduler.Scheduler {
	s := scheduler.New(scheduler.Options{Pool: "pool", Seed: 1, Hosts: []string{"h"}})
	s.Step(0, scheduler.Configure{Version: 1, Config: cfg})
	s.Step(0, scheduler.HostSynced{Host: "h"})
	return s
}

// BenchmarkMemoryPerWaiting measures the memory per waiting request with eight prefix blocks.
func BenchmarkMemoryPerWaiting(b *testing.B) {
	const requests = 40_000
	cfg := sizedConfig(1, 3200)
	for b.Loop() {
		s := sizedScheduler(cfg)
		before := heapBytes()
		for i := range requests {
			s.Step(time.Duration(i)*time.Microsecond, scheduler.Submit{Host: "h", Descriptor: sizedDescriptor(i)})
		}
		b.ReportMetric(float64(heapBytes()-before)/requests, "B/waiting")
		runtime.KeepAlive(s)
	}
}

// BenchmarkMemoryPerEndpoint measures the memory per endpoint and per workspace of an idle pool, and the time to apply a new
// configuration version.
func BenchmarkMemoryPerEndpoint(b *testing.B) {
	const endpoints = 2500
	cfg, smallConfig := sizedConfig(endpoints, 3200), sizedConfig(1, 3200)
	for b.Loop() {
		before := heapBytes()
		smallScheduler := sizedScheduler(smallConfig)
		afterSmall := heapBytes()
		s := sizedScheduler(cfg)
		afterLarge := heapBytes()
		b.ReportMetric((float64(afterLarge-afterSmall)-float64(afterSmall-before))/endpoints, "B/endpoint")
		b.ReportMetric(float64(afterSmall-before)/3200, "B/workspace")
		start := time.Now()
		s.Step(time.Second, scheduler.Configure{Version: 2, Config: cfg})
		b.ReportMetric(float64(time.Since(start).Microseconds())/1000, "ms/version")
		runtime.KeepAlive(smallScheduler)
		runtime.KeepAlive(s)
	}
}

// BenchmarkEvent measures the time of Step for events whose number grows with tokens, endpoints or time rather than requests.
func BenchmarkEvent(b *testing.B) {
	for _, endpoints := range []int{18, 250, 2500} {
		s := sizedScheduler(sizedConfig(endpoints, 3200))
		now := time.Duration(0)
		var running []scheduler.Grant
		for i := range endpoints * 16 {
			for _, a := range s.Step(now, scheduler.Submit{Host: "h", Descriptor: sizedDescriptor(i)}) {
				if g, ok := a.(scheduler.Grant); ok {
					running = append(running, g)
					s.Step(now, scheduler.Started{Host: "h", RequestID: g.RequestID, Endpoint: g.Endpoint})
					s.Step(now, scheduler.Progress{RequestID: g.RequestID, OutputTokens: 1})
				}
			}
		}
		name := func(event string) string { return fmt.Sprintf("%s/endpoints=%d", event, endpoints) }
		b.Run(name("progress"), func(b *testing.B) {
			for i := range b.N {
				now += time.Microsecond
				s.Step(now, scheduler.Progress{RequestID: running[i%len(running)].RequestID, OutputTokens: 2 + i/len(running)})
			}
			b.ReportMetric(float64(len(running)), "running")
		})
		b.Run(name("load"), func(b *testing.B) {
			for i := range b.N {
				now += time.Microsecond
				s.Step(now, scheduler.LoadReported{
					Endpoint: fmt.Sprintf("runner-%04d", i%endpoints), Age: 100 * time.Millisecond, Running: 8, RunningTokens: 8000,
				})
			}
		})
		b.Run(name("tick"), func(b *testing.B) {
			for range b.N {
				now += 20 * time.Millisecond
				s.Step(now, scheduler.Tick{})
			}
		})
	}
}
