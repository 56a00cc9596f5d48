package recorder

import "fmt"

// DigestMismatchError reports that the key of an order was used before with another method, path or body.
type DigestMismatchError struct{ Key Key }

// Error implements error.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("key %q of workspace %q was used with another request", e.Key.Value, e.Key.Workspace)
}

// LedgerFullError reports that the unexpired orders have reached a limit of the ledger.
type LedgerFullError struct {
	Orders int
	Bytes  int64
}

// Error implements error.
func (e *LedgerFullError) Error() string {
	return fmt.Sprintf("the ledger is full with %d unexpired orders in %d bytes", e.Orders, e.Bytes)
}

// NotOwnerError reports that a host other than the order's owner tried to change it.
type NotOwnerError struct {
	Key         Key
	Owner       string
	RequestedBy string
}

// Error implements error.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("order %q of workspace %q belongs to %s, not to %s", e.Key.Value, e.Key.Workspace, e.Owner, e.RequestedBy)
}

// UnknownOrderError reports that the ledger has no order with the key.
type UnknownOrderError struct{ Key Key }

// Error implements error.
func (e *UnknownOrderError) Error() string {
	return fmt.Sprintf("the ledger holds no order %q of workspace %q", e.Key.Value, e.Key.Workspace)
}

// ConcludedError reports a withdrawal of an order that already has an outcome.
type ConcludedError struct{ Key Key }

// Error implements error.
func (e *ConcludedError) Error() string {
	return fmt.Sprintf("order %q of workspace %q is already concluded", e.Key.Value, e.Key.Workspace)
}

// InvalidIntentError reports an intent or outcome with a missing or oversized field.
type InvalidIntentError struct{ Reason string }

// Error implements error.
func (e *InvalidIntentError) Error() string { return "invalid order: " + e.Reason }

// WithdrawnError reports an intent that arrived after its owner's withdrawal.
type WithdrawnError struct{ Key Key }

// Error implements error.
func (e *WithdrawnError) Error() string {
	return fmt.Sprintf("the intent for order %q of workspace %q was withdrawn", e.Key.Value, e.Key.Workspace)
}
