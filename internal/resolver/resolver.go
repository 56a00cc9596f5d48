// Package resolver maps endpoint names of the configuration to connectors.
package resolver

import (
	"slices"
	"sync/atomic"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Resolver holds the connectors of the latest configuration. Set the exported fields before Apply.
type Resolver struct {
	Timeouts connector.Timeouts

	current atomic.Pointer[snapshot]
}

type snapshot struct {
	engines  map[string]connector.Engine
	services map[string]connector.Service
	pools    map[string][]string
	names    []string
}

// Apply replaces the connectors by those of a configuration.
func (r *Resolver) Apply(cfg *configurer.Config) {
	kinds := make(map[string]string)
	for _, p := range cfg.Pools {
		kinds[p.Name] = p.Kind
	}
	s := &snapshot{
		engines:  make(map[string]connector.Engine),
		services: make(map[string]connector.Service),
		pools:    make(map[string][]string),
	}
	for _, e := range cfg.Endpoints {
		if kinds[e.Pool] == configurer.KindService {
			s.services[e.Name] = connector.NewService(e.Name, e.Address, r.Timeouts)
			continue
		}
		s.engines[e.Name] = connector.NewEngine(e.Name, e.Address, r.Timeouts)
		s.pools[e.Pool] = append(s.pools[e.Pool], e.Name)
		s.names = append(s.names, e.Name)
	}
	slices.Sort(s.names)
	r.current.Store(s)
}

// Engine returns the engine of an endpoint.
func (r *Resolver) Engine(name string) (connector.Engine, bool) {
	s := r.current.Load()
	if s == nil {
		return nil, false
	}
	e, ok := s.engines[name]
	return e, ok
}

// Service returns the plain service of an endpoint.
func (r *Resolver) Service(name string) (connector.Service, bool) {
	s := r.current.Load()
	if s == nil {
		return nil, false
	}
	e, ok := s.services[name]
	return e, ok
}

// Engines returns the names of all model engines in order.
func (r *Resolver) Engines() []string {
	if s := r.current.Load(); s != nil {
		return s.names
	}
	return nil
}

// EnginesOf returns the names of the model engines of a pool.
func (r *Resolver) EnginesOf(pool string) []string {
	if s := r.current.Load(); s != nil {
		return s.pools[pool]
	}
	return nil
}
