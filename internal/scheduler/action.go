// Package scheduler decides which waiting request of one pool runs next and at which endpoint.
package scheduler

import "time"

// Action is an output of the scheduler.
type Action interface{ action() }

// Grant allows an entry host to dispatch a request to an endpoint within TTL.
type Grant struct {
	Host, RequestID, Endpoint string
	TTL                       time.Duration
}

// RefuseReason says why a request is refused.
type RefuseReason string

// The reasons of a refusal.
const (
	// RefuseOverload sheds a request because room has ended.
	RefuseOverload RefuseReason = "overload"
	// RefusePatience sheds a request because it waited longer than its tier's patience.
	RefusePatience RefuseReason = "patience"
	// RefuseDeadline sheds a request that can no longer be answered within its caller's time limit.
	RefuseDeadline RefuseReason = "deadline"
	// RefuseLimit answers an operator's explicit limit; it is not shedding.
	RefuseLimit RefuseReason = "limit"
	// RefuseQuarantine refuses a request that crashed two endpoints.
	RefuseQuarantine RefuseReason = "quarantine"
	// RefuseUnserved means that no endpoint of the pool serves the model or adapter.
	RefuseUnserved RefuseReason = "unserved"
)

// Shed reports whether a refusal is for want of room: only the lowest tier may be refused so without a permit.
func (r RefuseReason) Shed() bool {
	return r == RefuseOverload || r == RefusePatience || r == RefuseDeadline
}

// Refuse ends a waiting request that was never dispatched.
type Refuse struct {
	Host, RequestID string
	Reason          RefuseReason
	RetryAfter      time.Duration
}

// CancelRun ends a running request so that a lower tier is emptied.
type CancelRun struct {
	Host, RequestID string
	Reason          string
}

// AskShedPermit asks the control leader to close all tiers below Tier and to permit shedding it.
type AskShedPermit struct{ Tier int }

// ConfirmClosed states that no request of a tier with an order above Below waits or runs here.
type ConfirmClosed struct{ Below int }

// ShareSuspect asks all entry hosts to remember a suspect for RefusedFor or ten minutes, whichever is longer, and to report
// it in HostSynced, so that a new holder keeps the bound on endpoints lost to one request.
type ShareSuspect struct{ Suspect }

// Decision explains one routing decision for the log.
type Decision struct {
	Verb      string
	RequestID string
	Tier      string
	Workspace string
	Endpoint  string
	Reason    string
}

func (Grant) action()         {}
func (Refuse) action()        {}
func (CancelRun) action()     {}
func (AskShedPermit) action() {}
func (ConfirmClosed) action() {}
func (ShareSuspect) action()  {}
func (Decision) action()      {}
