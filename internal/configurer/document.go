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
	// Import is a configuration in the format of an external operator interface. It replaces all other fields.
	Import *Import `json:"import,omitempty"`
}

// Import is a complete configuration in another format. The replicated state machine orders imports by revision and does not
// parse the document; the submitter must have validated it.
type Import struct {
	Revision uint64          `json:"revision"`
	Document json.RawMessage `json:"document"`
}

// Tier is a priority class of requests. Order 0 is the most urgent one.
type Tier struct {
	Name               string `json:"name"`
	Order              int    `json:"order"`
	FirstTokenTargetMS int    `json:"first_token_target_ms"`
	TokenGapTargetMS   int    `json:"token_gap_target_ms"`
	// PatienceMS bounds the queueing time of requests of the lowest tier; 0 means no bound.
	PatienceMS int `json:"patience_ms"`
	// Share is the tier's guaranteed part of the capacity under contention, relative to the sum of the shares of all tiers.
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

// WorkspaceLimits are the limits of a workspace that an operator sets; 0 means no limit.
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
	// Drain is set by an operator and stops new requests to the endpoint.
	Drain bool `json:"drain,omitempty"`
	// MaxConcurrent bounds the calls in progress at a plain service; 0 means the pool default.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// Service maps the calls to a plain service to a pool.
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
	// MaxWaiting bounds the waiting requests of one pool. Requests above it are shed.
	MaxWaiting int `json:"max_waiting,omitempty"`
	// QuarantineMS is the time for which a request that crashed two endpoints is refused.
	QuarantineMS int `json:"quarantine_ms,omitempty"`
	// OrderRetentionMS is the time for which the ledger retains an order.
	OrderRetentionMS int64 `json:"order_retention_ms,omitempty"`
	// MaxOrders bounds the orders that the ledger holds.
	MaxOrders int `json:"max_orders,omitempty"`
	// MaxEjectedShare bounds the share of a pool's endpoints that are ejected as outliers, from 0 to 1.
	MaxEjectedShare float64 `json:"max_ejected_share,omitempty"`
}
