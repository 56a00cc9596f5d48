package router

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Index provides lookups in one table. It is immutable.
type Index struct {
	table            *Table
	rulesByHost      map[string][]*Rule
	poolsByName      map[string]*Pool
	workspacesByKey  map[[sha256.Size]byte]*Workspace
	workspacesByName map[string]*Workspace
}

// NewIndex returns the index of a valid table. The table must not be changed afterwards.
func NewIndex(t *Table) *Index {
	x := &Index{
		table: t, rulesByHost: map[string][]*Rule{}, poolsByName: map[string]*Pool{},
		workspacesByKey: map[[sha256.Size]byte]*Workspace{}, workspacesByName: map[string]*Workspace{},
	}
	for i := range t.Rules {
		r := &t.Rules[i]
		host := strings.ToLower(r.Host)
		x.rulesByHost[host] = append(x.rulesByHost[host], r)
	}
	for _, rules := range x.rulesByHost {
		slices.SortStableFunc(rules, func(a, b *Rule) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range t.Pools {
		x.poolsByName[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		x.workspacesByName[w.Name] = w
		for _, k := range w.Keys {
			// Lookups by digest do not leak through their timing how much of a key matches.
			x.workspacesByKey[sha256.Sum256([]byte(k))] = w
		}
	}
	return x
}

// Table returns the indexed table.
func (x *Index) Table() *Table { return x.table }

// Rule returns the rule of the host with the longest matching path prefix, or nil. The host may contain a port.
func (x *Index) Rule(host, path string) *Rule {
	host = strings.ToLower(host)
	rules, ok := x.rulesByHost[host]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		rules = x.rulesByHost[name]
	}
	for _, r := range rules {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Pool returns the pool with a name, or nil.
func (x *Index) Pool(name string) *Pool { return x.poolsByName[name] }

// WorkspaceByKey returns the workspace that owns an API key, or nil.
func (x *Index) WorkspaceByKey(key string) *Workspace {
	return x.workspacesByKey[sha256.Sum256([]byte(key))]
}

// Workspace returns the workspace with a name, or nil.
func (x *Index) Workspace(name string) *Workspace { return x.workspacesByName[name] }

// RequiresKeys reports whether requests of rules that are not public need an API key. A table with workspaces always requires them.
func (x *Index) RequiresKeys() bool { return x.table.RequiresKeys || len(x.table.Workspaces) > 0 }

// KeyCount returns the number of API keys.
func (x *Index) KeyCount() int { return len(x.workspacesByKey) }

// ChoosePool selects the pool of a request by weight, from a hash of the request ID, so that all hosts select the same pool.
func (r *Rule) ChoosePool(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	offset := int(xxhash.Sum64String(requestID) % uint64(max(total, 1)))
	for _, t := range r.Targets {
		if offset < t.Weight {
			return t.Pool
		}
		offset -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}
