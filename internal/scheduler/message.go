package scheduler

import "github.com/dragonflycroft/dragonflycroft/internal/messenger"

type (
	// Event is defined by [messenger.Event].
	Event = messenger.Event
	// Descriptor is defined by [messenger.Descriptor].
	Descriptor = messenger.Descriptor
	// Run is defined by [messenger.Run].
	Run = messenger.Run
	// Configure is defined by [messenger.Configure].
	Configure = messenger.Configure
	// Suspect is defined by [messenger.Suspect].
	Suspect = messenger.Suspect
	// HostSynced is defined by [messenger.HostSynced].
	HostSynced = messenger.HostSynced
	// HostLost is defined by [messenger.HostLost].
	HostLost = messenger.HostLost
	// Submit is defined by [messenger.Submit].
	Submit = messenger.Submit
	// Started is defined by [messenger.Started].
	Started = messenger.Started
	// DeclineReason is defined by [messenger.DeclineReason].
	DeclineReason = messenger.DeclineReason
	// Declined is defined by [messenger.Declined].
	Declined = messenger.Declined
	// Progress is defined by [messenger.Progress].
	Progress = messenger.Progress
	// Finished is defined by [messenger.Finished].
	Finished = messenger.Finished
	// Cancelled is defined by [messenger.Cancelled].
	Cancelled = messenger.Cancelled
	// FailureCause is defined by [messenger.FailureCause].
	FailureCause = messenger.FailureCause
	// EndpointFailed is defined by [messenger.EndpointFailed].
	EndpointFailed = messenger.EndpointFailed
	// LoadReported is defined by [messenger.LoadReported].
	LoadReported = messenger.LoadReported
	// CacheChanged is defined by [messenger.CacheChanged].
	CacheChanged = messenger.CacheChanged
	// HostsListed is defined by [messenger.HostsListed].
	HostsListed = messenger.HostsListed
	// TiersClosed is defined by [messenger.TiersClosed].
	TiersClosed = messenger.TiersClosed
	// ShedPermitted is defined by [messenger.ShedPermitted].
	ShedPermitted = messenger.ShedPermitted
	// Tick is defined by [messenger.Tick].
	Tick = messenger.Tick
)

// Decline reasons, outcomes and failure causes defined by package messenger.
const (
	DeclineExpired     = messenger.DeclineExpired
	DeclineConnect     = messenger.DeclineConnect
	DeclineGone        = messenger.DeclineGone
	OutcomeDone        = messenger.OutcomeDone
	OutcomeFailed      = messenger.OutcomeFailed
	OutcomeInterrupted = messenger.OutcomeInterrupted
	OutcomeCanceled    = messenger.OutcomeCanceled
	FailureRefused     = messenger.FailureRefused
	FailureReset       = messenger.FailureReset
	FailureSilent      = messenger.FailureSilent
)
