// Package router finds the pool of a request: by model for chat requests, by service and route for service calls.
package router

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// UnknownError reports a model, service or route that the configuration does not have.
type UnknownError struct{ Kind, Name string }

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("%s %q is not known", e.Kind, e.Name) }

// MethodError reports a path that a service has with other methods only.
type MethodError struct {
	Method, Path string
	Allowed      []string
}

// Error implements error.
func (e *MethodError) Error() string {
	return fmt.Sprintf("method %s is not allowed for %s, which has %s", e.Method, e.Path, strings.Join(e.Allowed, ", "))
}

// Router finds pools in one configuration version.
type Router struct {
	models   map[string]string
	names    []string
	services map[string]configurer.Service
}

// New indexes a configuration.
func New(cfg *configurer.Config) *Router {
	r := &Router{models: make(map[string]string), services: make(map[string]configurer.Service)}
	for _, p := range cfg.Pools {
		for _, m := range p.Models {
			if _, ok := r.models[m]; !ok {
				r.models[m] = p.Name
				r.names = append(r.names, m)
			}
		}
	}
	slices.Sort(r.names)
	for _, s := range cfg.Services {
		r.services[s.Name] = s
	}
	return r
}

// Models returns the names of all models in order.
func (r *Router) Models() []string { return r.names }

// Model returns the pool that serves a model.
func (r *Router) Model(model string) (pool string, err error) {
	pool, ok := r.models[model]
	if !ok {
		return "", &UnknownError{Kind: "model", Name: model}
	}
	return pool, nil
}

// Service returns the pool and the route of a service call. Exact patterns go before prefixes, longer prefixes before shorter.
func (r *Router) Service(service, method, path string) (pool string, route configurer.Route, err error) {
	s, ok := r.services[service]
	if !ok {
		return "", configurer.Route{}, &UnknownError{Kind: "service", Name: service}
	}
	best := -1
	var allowed []string
	for i, candidate := range s.Routes {
		if !matches(candidate.Path, path) {
			continue
		}
		if !strings.EqualFold(candidate.Method, method) {
			allowed = append(allowed, candidate.Method)
			continue
		}
		if best < 0 || weight(candidate.Path) > weight(s.Routes[best].Path) {
			best = i
		}
	}
	switch {
	case best >= 0:
		return s.Pool, s.Routes[best], nil
	case len(allowed) > 0:
		return "", configurer.Route{}, &MethodError{Method: method, Path: path, Allowed: allowed}
	}
	return "", configurer.Route{}, &UnknownError{Kind: "route", Name: service + path}
}

func matches(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

func weight(pattern string) int {
	if strings.HasSuffix(pattern, "*") {
		return 2 * (len(pattern) - 1)
	}
	return 2*len(pattern) + 1
}
