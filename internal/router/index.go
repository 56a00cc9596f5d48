package router

import (
	"crypto/sha256"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Index answers look-ups of one table. It is immutable.
type Index struct {
	table      *Table
	hosts      map[string][]*Rule
	pools      map[string]*Pool
	workspaces map[[sha256.Size]byte]*Workspace
	byName     map[string]*Workspace
}

// NewIndex returns the look-ups of a valid table.
func NewIndex(t *Table) *Index {
	x := &Index{
		table: t, hosts: map[string][]*Rule{}, pools: map[string]*Pool{},
		workspaces: map[[sha256.Size]byte]*Workspace{}, byName: map[string]*Workspace{},
	}
	for i := range t.Rules {
		r := &t.Rules[i]
		host := strings.ToLower(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, rules := range x.hosts {
		slices.SortStableFunc(rules, func(a, b *Rule) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range t.Pools {
		x.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		x.byName[w.Name] = w
		for _, k := range w.Keys {
			// Comparing digests takes the same time for every key.
			x.workspaces[sha256.Sum256([]byte(k))] = w
		}
	}
	return x
}

// Table returns the indexed table.
func (x *Index) Table() *Table { return x.table }

// Rule returns the rule with the longest prefix of the path among those of the host, or nil.
func (x *Index) Rule(host, path string) *Rule {
	host = strings.ToLower(host)
	rules, ok := x.hosts[host]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		rules = x.hosts[name]
	}
	for _, r := range rules {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Pool returns a pool by name, or nil.
func (x *Index) Pool(name string) *Pool { return x.pools[name] }

// WorkspaceByKey returns the workspace that holds an API key, or nil.
func (x *Index) WorkspaceByKey(key string) *Workspace {
	return x.workspaces[sha256.Sum256([]byte(key))]
}

// Workspace returns a workspace by name, or nil.
func (x *Index) Workspace(name string) *Workspace { return x.byName[name] }

// HasKeys reports whether requests need an API key at all.
func (x *Index) HasKeys() bool { return len(x.table.Workspaces) > 0 }

// Choose returns the pool of a request. The same request id gives the same pool on every host.
func (r *Rule) Choose(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Pool
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(xxhash.Sum64String(requestID) % uint64(max(total, 1)))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Pool
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Pool
}
