// Package router maps requests to the rules of an ingress table by host and path, and API keys to workspaces.
package router

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind states whether the requests of a rule may be repeated, and whether the response is a stream.
type Kind string

// The kinds of rules.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests return server-sent events. They run at most once unless the rule is resumable.
	Streaming Kind = "streaming"
)

// Table is a complete ingress configuration.
type Table struct {
	Revision   uint64
	Rules      []Rule
	Pools      []Pool
	Workspaces []Workspace
	// RequiresKeys is true if requests of rules that are not public need the key of a workspace. It does not follow from Workspaces, since
	// the last workspace may be taken away.
	RequiresKeys bool
	Limits       Limits
}

// MaxTiers is the exclusive upper bound of rule tiers, so that the tiers of a workspace and a rule fit into one number.
const MaxTiers = 1000

// Rule routes the requests for a host and path prefix to pools.
type Rule struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds the complete response.
	Timeout time.Duration
	// LatencyTarget is the latency objective of a response, or of the first event of a stream.
	LatencyTarget time.Duration
	// EventGap is the objective for the time between two events of a stream; 0 for other kinds.
	EventGap time.Duration
	// Tier is the priority; 0 is the highest.
	Tier int
	// Targets are the pools with their weights.
	Targets []Target
	// Attempts bounds the number of endpoints that one request may be sent to.
	Attempts int
	// Public rules need no API key.
	Public bool
	// Model is true for model requests, which contain a prompt.
	Model bool
	// Resumable is true for streams that may be continued on another endpoint.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Rule) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// TargetCount returns the number of pools that the rule sends requests to.
func (r *Rule) TargetCount() int {
	n := 0
	for _, t := range r.Targets {
		if t.Weight > 0 {
			n++
		}
	}
	return n
}

// HasTarget reports whether the rule sends requests to a pool.
func (r *Rule) HasTarget(pool string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Pool == pool && t.Weight > 0 })
}

// Target is a pool of a rule with its weight.
type Target struct {
	Pool   string
	Weight int
}

// Pool is a set of endpoints that the platform lists under one name.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the total connections of all hosts to one endpoint.
	MaxConnections int
	// Engine describes the model engines of the pool; nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a pool.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// MemoryTokens is the capacity of an engine's KV cache for prompts and outputs, in tokens.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Workspace is a tenant with its API keys and its rate limit across all hosts.
type Workspace struct {
	Name string
	Keys []string
	// Tier replaces the tier of the rule if TierSet.
	Tier    int
	TierSet bool
	// Rate is in units per second and Burst in units; 0 means no limit.
	Rate  float64
	Burst float64
	// DefaultCost is the cost in units of a request that does not state its number of tokens.
	DefaultCost float64
}

// Limits bound the size of requests and how long a connection may stay idle or take to send its headers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// InvalidError reports why a table is invalid and must not be applied.
type InvalidError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Path + ": " + e.Reason }

// Validate returns an *InvalidError for the first problem found in a table.
func (t *Table) Validate() error {
	if t.Revision == 0 {
		return &InvalidError{Path: "version", Reason: "must be above 0"}
	}
	pools := map[string]bool{}
	for _, p := range t.Pools {
		if p.Name == "" || pools[p.Name] {
			return &InvalidError{Path: "pools", Reason: fmt.Sprintf("name %q is empty or used twice", p.Name)}
		}
		pools[p.Name] = true
	}
	ruleByPrefix := map[string]string{}
	for i := range t.Rules {
		if err := t.Rules[i].validate(pools, ruleByPrefix); err != nil {
			return err
		}
	}
	keys := map[string]string{}
	for _, w := range t.Workspaces {
		for _, k := range w.Keys {
			if owner, taken := keys[k]; taken && owner != w.Name {
				return &InvalidError{Path: "workspaces." + w.Name, Reason: fmt.Sprintf("shares a key with workspace %q", owner)}
			}
			keys[k] = w.Name
		}
	}
	return nil
}

func (r *Rule) validate(pools map[string]bool, ruleByPrefix map[string]string) error {
	path := "rules." + r.Name
	hostAndPrefix := strings.ToLower(r.Host) + " " + r.PathPrefix
	if other, taken := ruleByPrefix[hostAndPrefix]; taken {
		return &InvalidError{Path: path, Reason: fmt.Sprintf("has the host and prefix of rule %q", other)}
	}
	ruleByPrefix[hostAndPrefix] = r.Name
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return &InvalidError{Path: path, Reason: "the path prefix must begin and end with a slash"}
	}
	switch r.Kind {
	case Idempotent, NonIdempotent, Streaming:
	default:
		return &InvalidError{Path: path, Reason: fmt.Sprintf("kind %q is not known", r.Kind)}
	}
	if r.Tier < 0 || r.Tier >= MaxTiers {
		return &InvalidError{Path: path, Reason: fmt.Sprintf("tier %d is not from 0 to %d", r.Tier, MaxTiers-1)}
	}
	if r.Timeout <= 0 {
		return &InvalidError{Path: path, Reason: "the timeout must be above 0"}
	}
	total := 0
	for _, t := range r.Targets {
		if !pools[t.Pool] {
			return &InvalidError{Path: path, Reason: fmt.Sprintf("pool %q is not known", t.Pool)}
		}
		if t.Weight < 0 {
			return &InvalidError{Path: path, Reason: "a weight is negative"}
		}
		total += t.Weight
	}
	if total == 0 {
		return &InvalidError{Path: path, Reason: "the weights add up to 0"}
	}
	return nil
}
