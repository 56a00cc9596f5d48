// Package resolver maps the endpoint names of a configuration to connectors.
package resolver

import (
	"slices"
	"sync/atomic"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Resolver holds the connectors of the latest configuration. Set the exported fields before calling Apply.
type Resolver struct {
	Timeouts connector.Timeouts

	current atomic.Pointer[snapshot]
}

type snapshot struct {
	engines       map[string]connector.Engine
	services      map[string]connector.Service
	enginesByPool map[string][]string
	engineNames   []string
}

// Apply replaces the connectors with those of a configuration.
func (r *Resolver) Apply(cfg *configurer.Config) {
	kinds := make(map[string]string)
	for _, p := range cfg.Pools {
		kinds[p.Name] = p.Kind
	}
	s := &snapshot{
		engines:       make(map[string]connector.Engine),
		services:      make(map[string]connector.Service),
		enginesByPool: make(map[string][]string),
	}
	for _, e := range cfg.Endpoints {
		if kinds[e.Pool] == configurer.KindService {
			s.services[e.Name] = connector.NewService(e.Name, e.Address, r.Timeouts)
			continue
		}
		s.engines[e.Name] = connector.NewEngine(e.Name, e.Address, r.Timeouts)
		s.enginesByPool[e.Pool] = append(s.enginesByPool[e.Pool], e.Name)
		s.engineNames = append(s.engineNames, e.Name)
	}
	slices.Sort(s.engineNames)
	r.current.Store(s)
}

// Engine returns the connector of a model endpoint.
func (r *Resolver) Engine(name string) (connector.Engine, bool) {
	s := r.current.Load()
	if s == nil {
		return nil, false
	}
	e, ok := s.engines[name]
	return e, ok
}

// Service returns the connector of a service endpoint.
func (r *Resolver) Service(name string) (connector.Service, bool) {
	s := r.current.Load()
	if s == nil {
		return nil, false
	}
	e, ok := s.services[name]
	return e, ok
}

// Engines returns the sorted names of all model endpoints.
func (r *Resolver) Engines() []string {
	if s := r.current.Load(); s != nil {
		return s.engineNames
	}
	return nil
}

// EnginesOf returns the names of the model endpoints of a pool.
func (r *Resolver) EnginesOf(pool string) []string {
	if s := r.current.Load(); s != nil {
		return s.enginesByPool[pool]
	}
	return nil
}
