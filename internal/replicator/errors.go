package replicator

import "fmt"

// NotLeaderError is returned for operations that only the leader can perform. Leader and Addr are empty if no leader is known.
type NotLeaderError struct {
	Leader string
	Addr   string
}

// Error implements the error interface.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s at %s", e.Leader, e.Addr)
}

// ErrorCode returns the code that identifies the error in responses of the transport.
func (e *NotLeaderError) ErrorCode() string { return "not_leader" }

// ChangeError is returned for a membership change that is not possible.
type ChangeError struct {
	ID     string
	Reason string
}

// Error implements the error interface.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("cannot change member %s: %s", e.ID, e.Reason)
}

// ErrorCode returns the code that identifies the error in responses of the transport.
func (e *ChangeError) ErrorCode() string { return "change_refused" }

// ChangePendingError is returned for a membership change while the entry at Index, which must be committed first, is pending.
type ChangePendingError struct{ Index uint64 }

// Error implements the error interface.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("the change of membership at index %d is not committed yet", e.Index)
}

// ErrorCode returns the code that identifies the error in responses of the transport.
func (e *ChangePendingError) ErrorCode() string { return "change_pending" }

// NotCaughtUpError is returned for the promotion of a learner that lacks too many entries or doesn't respond.
type NotCaughtUpError struct {
	ID     string
	Behind uint64
}

// Error implements the error interface.
func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("learner %s is %d entries behind or silent", e.ID, e.Behind)
}

// ErrorCode returns the code that identifies the error in responses of the transport.
func (e *NotCaughtUpError) ErrorCode() string { return "not_caught_up" }
