// Package recorder keeps the ledger of non-idempotent orders as a deterministic state machine.
package recorder

// Key identifies an order: the idempotency key within a workspace.
type Key struct {
	Workspace string
	Value     string
}

// Phase is the progress of an order.
type Phase string

// The phases of an order.
const (
	PhaseIntended  Phase = "intended"
	PhaseConcluded Phase = "concluded"
	PhaseUnknown   Phase = "unknown"
)

// Intent states that an owner is about to dispatch an order.
type Intent struct {
	Key Key
	// Digest is the SHA-256 of method, path and body in hexadecimal.
	Digest    string
	RequestID string
	// Owner is the entry host, with its incarnation, that may dispatch.
	Owner    string
	Endpoint string
	// Attempt orders the intents of one owner, so that a delayed message of an earlier attempt changes nothing. The
	// control client sets it.
	Attempt uint64
}

// Outcome is the final answer of an order.
type Outcome struct {
	// Outcome is "done" or "unknown".
	Outcome string
	Status  int
	Header  map[string]string
	Body    []byte
	// Truncated is true when the ledger had no room for the body; the order is concluded all the same.
	Truncated bool
}

// Outcomes that an order can be concluded with.
const (
	OutcomeDone    = "done"
	OutcomeUnknown = "unknown"
)

// Record is the ledger's entry of one order.
type Record struct {
	Intent
	Phase   Phase
	Outcome *Outcome
	// Granted is true in the answer to the one intent that may dispatch.
	Granted bool
	// RecordedUnixMS is the leader's wall clock at the intent, in milliseconds. It is for display only.
	RecordedUnixMS int64
	// ChangedMS is the ledger clock at the last change; the retention counts from it.
	ChangedMS int64
}
