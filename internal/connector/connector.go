// Package connector implements the HTTP clients of the two kinds of endpoints: model engines and plain services.
package connector

import (
	"context"
	"fmt"
	"time"
)

// Call is one request as an endpoint receives it.
type Call struct {
	RequestID string
	Method    string
	Path      string
	Header    map[string]string
	Body      []byte
	Stream    bool
}

// Usage counts the tokens of one finished run.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// Chunk is one indexed part of a streamed response. The last chunk carries the usage.
type Chunk struct {
	RequestID string `json:"request_id"`
	Index     int    `json:"index"`
	Text      string `json:"text"`
	Last      bool   `json:"last"`
	Usage     *Usage `json:"usage,omitempty"`
}

// Stream yields the chunks of one run in order.
type Stream interface {
	// Next returns the next chunk, and io.EOF after the last one.
	Next(ctx context.Context) (Chunk, error)
	// Close releases the connection without cancelling the run.
	Close() error
}

// Response is the complete response of a plain service.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
}

// LoadReport is the load that an engine reports for itself. Age is the time since the engine measured it.
type LoadReport struct {
	Age           time.Duration
	Running       int
	Waiting       int
	RunningTokens int
}

// CacheEvent reports prompt blocks added to or removed from an engine's prefix cache.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Added   []uint64 `json:"added,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
}

// OrderKind is the type of change that an order requests.
type OrderKind string

// The kinds of orders that engines accept.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order instructs an engine to load or unload a model, adapter or version, or to change role.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fence is the epoch of the placement leader that issues the order. Engines that check fencing reject an order whose fence is
	// lower than the highest that they have accepted.
	Fence uint64 `json:"fence"`
}

// Inventory lists what an engine reports as loaded, its role, and the highest fence that it has accepted.
type Inventory struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters,omitempty"`
	Versions []string `json:"versions,omitempty"`
	Role     string   `json:"role"`
	Fence    uint64   `json:"fence"`
}

// Engine is the client of a model engine.
type Engine interface {
	// Dispatch starts a run. It calls beforeSend once, before the first byte is written.
	Dispatch(ctx context.Context, call Call, beforeSend func()) (Stream, error)
	// Resume continues the stream of a run from chunk index from. It doesn't start another run.
	Resume(ctx context.Context, requestID string, from int) (Stream, error)
	// Cancel ends a run.
	Cancel(ctx context.Context, requestID string) error
	// Load returns the latest load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the cache events after sequence number since.
	CacheEvents(ctx context.Context, since uint64) ([]CacheEvent, error)
	// Order sends a load, unload or role order. It returns an *OrderRefusedError when the engine rejects the fence.
	Order(ctx context.Context, order Order) error
	// Inventory returns what the engine has loaded.
	Inventory(ctx context.Context) (Inventory, error)
	// ExportKV returns the KV cache of a prefix.
	ExportKV(ctx context.Context, prefix string) ([]byte, error)
	// ImportKV stores the KV cache of a prefix.
	ImportKV(ctx context.Context, prefix string, data []byte) error
}

// Service is the client of a plain service.
type Service interface {
	// Do sends one call and returns its response. It calls beforeSend once, before the first byte is written.
	Do(ctx context.Context, call Call, beforeSend func()) (*Response, error)
}

// NotSentError reports a failure before any byte reached the endpoint: the call did not run.
type NotSentError struct {
	Endpoint string
	Err      error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("endpoint %s: nothing was sent: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Cause is the reason why an exchange with an endpoint failed after its first byte was written.
type Cause string

// The causes of an interrupted exchange.
const (
	CauseReset    Cause = "reset"
	CauseTimeout  Cause = "silent"
	CauseProtocol Cause = "protocol"
	CauseRejected Cause = "rejected"
	CauseNotFound Cause = "not_found"
	CauseCanceled Cause = "canceled"
)

// InterruptedError reports a failure after the first byte was written: the call may have run.
type InterruptedError struct {
	Endpoint string
	Cause    Cause
	// Status and Body are set when the endpoint responded with an error status.
	Status int
	Body   []byte
	Err    error
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("endpoint %s: exchange interrupted (%s, status %d): %v", e.Endpoint, e.Cause, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Err }

// OrderRefusedError reports an order whose fencing number is lower than the engine's current one.
type OrderRefusedError struct {
	Endpoint string
	Fence    uint64
	Current  uint64
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("endpoint %s: order with fence %d refused, current fence is %d", e.Endpoint, e.Fence, e.Current)
}
