// Package recorder implements the ledger of non-idempotent orders as a deterministic state machine. It makes sure that at most
// one request per idempotency key is dispatched.
package recorder

// Key identifies an order: the idempotency key within a workspace.
type Key struct {
	Workspace string
	Value     string
}

// Phase is the state of an order in the ledger.
type Phase string

// The phases of an order. An order is intended until its outcome is recorded, and unknown if it may have run without an outcome.
const (
	PhaseIntended  Phase = "intended"
	PhaseConcluded Phase = "concluded"
	PhaseUnknown   Phase = "unknown"
)

// Intent announces that a host is about to dispatch an order.
type Intent struct {
	Key Key
	// Digest is the SHA-256 of method, path and body in hexadecimal.
	Digest    string
	RequestID string
	// Owner is the entry host, with its incarnation, that may dispatch the order.
	Owner    string
	Endpoint string
	// Attempt numbers the intents of one owner, so that a delayed message of an earlier attempt has no effect. The control
	// client sets it.
	Attempt uint64
}

// Outcome is the stored response of an order.
type Outcome struct {
	// Outcome is "done" or "unknown".
	Outcome string
	Status  int
	Header  map[string]string
	Body    []byte
	// Truncated is true if header and body were dropped because of a size limit; the order is concluded all the same.
	Truncated bool
}

// The values of Outcome.Outcome.
const (
	OutcomeDone    = "done"
	OutcomeUnknown = "unknown"
)

// Record is the ledger's entry of one order.
type Record struct {
	Intent
	Phase   Phase
	Outcome *Outcome
	// Granted is true only in the reply to the intent whose owner may dispatch the order.
	Granted bool
	// RecordedUnixMS is the leader's wall clock at the intent, in milliseconds. It is for display only.
	RecordedUnixMS int64
	// ChangedMS is the ledger clock at the last change of phase, in milliseconds. The retention period starts there.
	ChangedMS int64
}
