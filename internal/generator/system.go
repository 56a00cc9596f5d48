package generator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

const (
	poolChat        = "chat"
	poolServices    = "orders"
	largeWorkspaces = 2
	serviceRunners  = 3
	entryHosts      = 6
)

func zones() []string { return []string{"a", "b", "c"} }

func callerNames(workspace int) []string {
	if workspace < largeWorkspaces {
		return []string{"gateway", "desk", "night"}
	}
	return []string{"desk", "night"}
}

func (b *traceBuilder) newHeader() tracecoder.Header {
	c := b.scenario
	h := tracecoder.Header{
		Record: "header", Version: tracecoder.Version, Name: c.Name(), User: c.User, Shape: c.Shape, Seed: c.Seed,
		DurationUS: c.DurationMS * 1000, Config: b.newConfig(), Engines: map[string]string{}, Weights: map[string]float64{},
		Conditions: tracecoder.Conditions{
			ReportAgeUS: 2 * second, ListAgeUS: 3 * second, CacheDelayUS: second / 2, CacheGapRate: 0.02, RestartUS: 12 * second,
		},
	}
	for i := range entryHosts {
		h.Hosts = append(h.Hosts, tracecoder.Host{Name: fmt.Sprintf("e%d", i+1), Zone: zones()[i%len(zones())]})
	}
	generations := emulator.HardwareGenerations()
	for i := range b.profile.runners {
		h.Engines[runnerName(i)] = generations[i%len(generations)]
	}
	for i := range largeWorkspaces {
		h.LargeCallers = append(h.LargeCallers, b.profile.workspaces[i]+"/"+callerNames(i)[0])
	}
	for _, k := range b.profile.classes {
		h.Weights[k.name] = k.weight
	}
	return h
}

func runnerName(i int) string { return fmt.Sprintf("m%02d", i+1) }

func (b *traceBuilder) newConfig() *configurer.Config {
	p := b.profile
	c := &configurer.Config{
		Pools: []configurer.Pool{
			{Name: poolChat, Kind: configurer.KindModel, Models: []string{p.model}},
			{Name: poolServices, Kind: configurer.KindService},
		},
		Services: []configurer.Service{{Name: poolServices, Pool: poolServices, Routes: []configurer.Route{
			{Method: "GET", Path: "/stock/*", Idempotent: true},
			{Method: "POST", Path: "/orders", RequireKey: true},
		}}},
	}
	var tiers []string
	for i, t := range p.tiers {
		tiers = append(tiers, t.name)
		c.Tiers = append(c.Tiers, configurer.Tier{
			Name: t.name, Order: i, FirstTokenTargetMS: t.firstMS, TokenGapTargetMS: t.gapMS, PatienceMS: t.patienceMS, Share: t.share,
		})
	}
	for i, name := range p.workspaces {
		w := configurer.Workspace{Name: name, Weight: 1}
		for _, caller := range callerNames(i) {
			key := sha256.Sum256([]byte(name + "/" + caller))
			w.Callers = append(w.Callers, configurer.Caller{Name: caller, KeySHA256: hex.EncodeToString(key[:]), Tiers: tiers})
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	generations := emulator.HardwareGenerations()
	for i := range p.runners {
		c.Endpoints = append(c.Endpoints, configurer.Endpoint{
			Name: runnerName(i), Pool: poolChat, Address: fmt.Sprintf("10.0.1.%d:8000", i+1), Zone: zones()[i%len(zones())],
			Hardware: generations[i%len(generations)], Models: []string{p.model},
		})
	}
	for i := range serviceRunners {
		c.Endpoints = append(c.Endpoints, configurer.Endpoint{
			Name: fmt.Sprintf("s%d", i+1), Pool: poolServices, Address: fmt.Sprintf("10.0.2.%d:8000", i+1), Zone: zones()[i%len(zones())],
			MaxConcurrent: 8,
		})
	}
	return c
}
