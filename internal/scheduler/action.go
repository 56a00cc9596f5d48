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

// RefuseReason is the cause of a refusal. It is sent to entry hosts.
type RefuseReason string

// Reasons for a refusal.
const (
	// RefuseOverload sheds a request because the pool has no capacity for it.
	RefuseOverload RefuseReason = "overload"
	// RefusePatience sheds a request that waited longer than the patience configured for its tier.
	RefusePatience RefuseReason = "patience"
	// RefuseDeadline sheds a request that can no longer be answered before its caller's deadline.
	RefuseDeadline RefuseReason = "deadline"
	// RefuseLimit enforces a limit configured by an operator; it does not count as shedding.
	RefuseLimit RefuseReason = "limit"
	// RefuseQuarantine refuses a request that was running at two endpoints when they crashed.
	RefuseQuarantine RefuseReason = "quarantine"
	// RefuseUnserved means that no endpoint of the pool serves the model or adapter.
	RefuseUnserved RefuseReason = "unserved"
)

// IsShed reports whether the reason counts as load shedding. Any tier but the lowest needs a permit to be shed.
func (r RefuseReason) IsShed() bool {
	return r == RefuseOverload || r == RefusePatience || r == RefuseDeadline
}

// Refuse rejects a waiting request that was never dispatched. RetryAfter is the delay advised to the caller.
type Refuse struct {
	Host, RequestID string
	Reason          RefuseReason
	RetryAfter      time.Duration
}

// CancelRun cancels a running request of a closed tier.
type CancelRun struct {
	Host, RequestID string
	Reason          string
}

// AskShedPermit asks the control leader to close all tiers below Tier and to permit shedding it.
type AskShedPermit struct{ Tier int }

// ConfirmClosed reports that no request of a tier with an order above Below waits or runs in the pool.
type ConfirmClosed struct{ Below int }

// ShareSuspect asks all entry hosts to store a suspect for RefusedFor or ten minutes, whichever is longer, and to report it
// in HostSynced. A new holder of the pool can then enforce the limit on endpoints crashed by one request.
type ShareSuspect struct{ Suspect }

// Decision describes one scheduling decision for the log.
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
