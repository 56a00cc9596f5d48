// Package configurer defines the configuration document, its strict decoding, validation and patching.
package configurer

import "encoding/json"

// Config is one version of the configuration of the whole system.
type Config struct {
	Tiers      []Tier      `json:"tiers"`
	Workspaces []Workspace `json:"workspaces"`
	Pools      []Pool      `json:"pools"`
	Endpoints  []Endpoint  `json:"endpoints"`
	Services   []Service   `json:"services,omitempty"`
	Limits     Limits      `json:"limits"`
	// Import holds a configuration in the format of an outside operator interface. It replaces all other parts.
	Import *Import `json:"import,omitempty"`
}

// Import is a whole configuration in another format. The replicated state orders imports by revision and does not read the
// document; whoever submits one has validated it.
type Import struct {
	Revision uint64          `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Tier is a class of urgency. Order 0 is the most urgent.
type Tier struct {
	Name               string `json:"name"`
	Order              int    `json:"order"`
	FirstTokenTargetMS int    `json:"first_token_target_ms"`
	TokenGapTargetMS   int    `json:"token_gap_target_ms"`
	// PatienceMS bounds the wait in the queue for work of the lowest tier; 0 means no bound.
	PatienceMS int `json:"patience_ms"`
	// Share is the guaranteed part of the service under contention, relative to the sum over the tiers.
	Share float64 `json:"share"`
}

// Workspace is a customer with its callers.
type Workspace struct {
	Name    string          `json:"name"`
	Weight  float64         `json:"weight,omitempty"`
	Callers []Caller        `json:"callers"`
	Limits  WorkspaceLimits `json:"limits"`
}

// Caller is an API key of a workspace. The first allowed tier is the default one.
type Caller struct {
	Name      string   `json:"name"`
	KeySHA256 string   `json:"key_sha256"`
	Tiers     []string `json:"tiers"`
}

// WorkspaceLimits are an operator's explicit limits; 0 means no limit.
type WorkspaceLimits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	Burst             int     `json:"burst,omitempty"`
	MaxWaiting        int     `json:"max_waiting,omitempty"`
	MaxRunning        int     `json:"max_running,omitempty"`
}

// Kinds of pools and endpoints.
const (
	KindModel   = "model"
	KindService = "service"
)

// Pool is a set of endpoints scheduled together: one model, or one plain service.
type Pool struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// Models are served by a pool of kind "model".
	Models []string `json:"models,omitempty"`
}

// Endpoint is one model engine or plain service instance.
type Endpoint struct {
	Name          string   `json:"name"`
	Pool          string   `json:"pool"`
	Address       string   `json:"address"`
	Zone          string   `json:"zone"`
	Hardware      string   `json:"hardware,omitempty"`
	Models        []string `json:"models,omitempty"`
	Adapters      []string `json:"adapters,omitempty"`
	ChecksFencing bool     `json:"checks_fencing,omitempty"`
	// Drain stops new work on the operator's word.
	Drain bool `json:"drain,omitempty"`
	// MaxConcurrent bounds the calls in progress at a plain service; 0 means the pool default.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Service routes calls of a plain service to a pool.
type Service struct {
	Name   string  `json:"name"`
	Pool   string  `json:"pool"`
	Routes []Route `json:"routes"`
}

// Route is one method and path pattern of a service. A pattern that ends in "*" matches by prefix.
type Route struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	// RequireKey refuses calls without an Idempotency-Key.
	RequireKey bool `json:"require_key,omitempty"`
}

// Limits are system-wide bounds; 0 means the built-in default.
type Limits struct {
	// MaxWaiting bounds the waiting requests of one pool; reaching it is the end of room.
	MaxWaiting int `json:"max_waiting,omitempty"`
	// QuarantineMS is how long a request that crashed two endpoints is refused.
	QuarantineMS int `json:"quarantine_ms,omitempty"`
	// OrderRetentionMS is how long the ledger keeps an order.
	OrderRetentionMS int64 `json:"order_retention_ms,omitempty"`
	// MaxOrders bounds the orders that the ledger holds.
	MaxOrders int `json:"max_orders,omitempty"`
	// MaxEjectedShare bounds the share of a pool's endpoints ejected as outliers.
	MaxEjectedShare float64 `json:"max_ejected_share,omitempty"`
}
