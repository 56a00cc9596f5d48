package recorder

import "fmt"

// DigestMismatchError reports a key that was used before with another method, path or body.
type DigestMismatchError struct{ Key Key }

// Error implements error.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("key %q of workspace %q was used with another request", e.Key.Value, e.Key.Workspace)
}

// LedgerFullError reports that the ledger holds as many unexpired orders as it may.
type LedgerFullError struct {
	Orders int
	Bytes  int64
}

// Error implements error.
func (e *LedgerFullError) Error() string {
	return fmt.Sprintf("the ledger is full with %d unexpired orders in %d bytes", e.Orders, e.Bytes)
}

// NotOwnerError reports a change by a host that does not own the order.
type NotOwnerError struct {
	Key   Key
	Owner string
	Asked string
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("order %q of workspace %q belongs to %s, not to %s", e.Key.Value, e.Key.Workspace, e.Owner, e.Asked)
}

// UnknownOrderError reports an order that the ledger does not hold.
type UnknownOrderError struct{ Key Key }

// Error implements error.
func (e *UnknownOrderError) Error() string {
	return fmt.Sprintf("the ledger holds no order %q of workspace %q", e.Key.Value, e.Key.Workspace)
}

// ConcludedError reports a withdrawal of an order that was already concluded.
type ConcludedError struct{ Key Key }

// Error implements error.
func (e *ConcludedError) Error() string {
	return fmt.Sprintf("order %q of workspace %q is already concluded", e.Key.Value, e.Key.Workspace)
}

// InvalidIntentError reports an intent or outcome with a missing or oversized field.
type InvalidIntentError struct{ Reason string }

// Error implements error.
func (e *InvalidIntentError) Error() string { return "invalid order: " + e.Reason }

// WithdrawnError reports an intent that arrived after its owner had withdrawn it.
type WithdrawnError struct{ Key Key }

// Error implements error.
func (e *WithdrawnError) Error() string {
	return fmt.Sprintf("the intent for order %q of workspace %q was withdrawn", e.Key.Value, e.Key.Workspace)
}
