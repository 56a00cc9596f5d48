package replicator

import "fmt"

// NotLeaderError refuses what only a leader can do.
type NotLeaderError struct {
	Leader string
	Addr   string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s at %s", e.Leader, e.Addr)
}

// ErrorCode is the code under which the error crosses the transport.
func (e *NotLeaderError) ErrorCode() string { return "not_leader" }

// ChangeError refuses a change of membership.
type ChangeError struct {
	ID     string
	Reason string
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("cannot change member %s: %s", e.ID, e.Reason)
}

// ErrorCode is the code under which the error crosses the transport.
func (e *ChangeError) ErrorCode() string { return "change_refused" }

// ChangePendingError refuses a change of membership while another one is not yet committed.
type ChangePendingError struct{ Index uint64 }

// Error implements error.
func (e *ChangePendingError) Error() string {
	return fmt.Sprintf("the change of membership at index %d is not committed yet", e.Index)
}

// ErrorCode is the code under which the error crosses the transport.
func (e *ChangePendingError) ErrorCode() string { return "change_pending" }

// NotCaughtUpError refuses to promote a learner that is too far behind.
type NotCaughtUpError struct {
	ID     string
	Behind uint64
}

// Error implements error.
func (e *NotCaughtUpError) Error() string {
	return fmt.Sprintf("learner %s is %d entries behind or silent", e.ID, e.Behind)
}

// ErrorCode is the code under which the error crosses the transport.
func (e *NotCaughtUpError) ErrorCode() string { return "not_caught_up" }
