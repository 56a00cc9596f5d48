// Package messenger defines the input events of a scheduler and the types that they carry.
package messenger

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// Event is an input of the scheduler.
type Event interface{ event() }

// Descriptor holds the properties of a request that the scheduler needs. The body stays at the entry host.
type Descriptor struct {
	RequestID string
	Workspace string
	Caller    string
	Tier      string
	// Kind is "chat" or "service".
	Kind    string
	Model   string
	Adapter string
	// PromptTokens is an estimate from the length of the body.
	PromptTokens    int
	MaxOutputTokens int
	// PrefixBlocks has one hash per block of the prompt. Each covers the whole prefix up to the end of its block.
	PrefixBlocks []uint64
	// Fingerprint identifies requests of the same workspace with the same body digest.
	Fingerprint string
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	Idempotent     bool
	Zone           string
	// Waited is how long the request has been queued.
	Waited time.Duration
	// Remaining is the time until the caller's deadline; 0 means that there is none.
	Remaining time.Duration
}

// Run is the state of a dispatched request as reported by its entry host.
type Run struct {
	Descriptor   Descriptor
	Endpoint     string
	OutputTokens int
	RunningFor   time.Duration
}

// Configure applies a version of the configuration.
type Configure struct {
	Version uint64
	Config  *configurer.Config
}

// Suspect is the fingerprint of requests that were running at endpoints when these crashed. Crashes is the number of crashes, or
// 0 once the fingerprint is cleared.
type Suspect struct {
	Fingerprint string
	Crashes     int
	// RefusedFor is how much longer requests with the fingerprint are refused.
	RefusedFor time.Duration
}

// HostSynced replaces the scheduler's state of an entry host by the one that the host reports.
type HostSynced struct {
	Host    string
	Zone    string
	Waiting []Descriptor
	Running []Run
	// Suspects are those that the host has received in ShareSuspect actions of earlier role holders.
	Suspects []Suspect
}

// HostLost reports that the session of an entry host has ended.
type HostLost struct{ Host string }

// Submit adds a request to the queue.
type Submit struct {
	Host       string
	Descriptor Descriptor
}

// Started reports that a granted request has been dispatched.
type Started struct{ Host, RequestID, Endpoint string }

// DeclineReason is the reason why a grant was not used.
type DeclineReason string

// The reasons for a declined grant.
const (
	// DeclineExpired means that the grant expired before dispatch. The request is still waiting.
	DeclineExpired DeclineReason = "expired"
	// DeclineConnect means that no connection to the endpoint could be opened, so nothing was sent. The request is still
	// waiting.
	DeclineConnect DeclineReason = "connect"
	// DeclineGone means that the request no longer needs a run.
	DeclineGone DeclineReason = "gone"
)

// Declined reports that a grant was not used.
type Declined struct {
	Host, RequestID, Endpoint string
	Reason                    DeclineReason
}

// Progress reports the number of output tokens of a run so far. The first report marks the first token.
type Progress struct {
	RequestID    string
	OutputTokens int
}

// Outcomes of a run.
const (
	OutcomeDone        = "done"
	OutcomeFailed      = "failed"
	OutcomeInterrupted = "interrupted"
	OutcomeCanceled    = "canceled"
)

// Finished reports the end of a run.
type Finished struct {
	RequestID    string
	Outcome      string
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// Cancelled reports that a request ended before it was dispatched, for example because its caller disconnected.
type Cancelled struct{ RequestID string }

// FailureCause is the kind of failure observed at an endpoint.
type FailureCause string

// The failure causes: a refused connection, a connection reset, and a timeout without data.
const (
	FailureRefused FailureCause = "refused"
	FailureReset   FailureCause = "reset"
	FailureSilent  FailureCause = "silent"
)

// EndpointFailed reports a failure observed at an endpoint and the requests that were running there.
type EndpointFailed struct {
	Endpoint   string
	Cause      FailureCause
	RequestIDs []string
}

// LoadReported carries a load report of an endpoint, which is Age old.
type LoadReported struct {
	Endpoint      string
	Age           time.Duration
	Running       int
	Waiting       int
	RunningTokens int
}

// CacheChanged carries one event of an endpoint's prefix cache, with the hashes of added and removed blocks.
type CacheChanged struct {
	Endpoint string
	Seq      uint64
	Added    []uint64
	Removed  []uint64
}

// HostsListed carries the platform's list of endpoints by name. The list is Age old.
type HostsListed struct {
	Age     time.Duration
	Live    []string
	Leaving []string
}

// TiersClosed sets the shed level: in tiers with an order above Below, new and waiting requests are refused and runs are
// cancelled. A Below of at least the highest order opens all tiers.
type TiersClosed struct{ Below int }

// ShedPermitted permits the scheduler to shed requests of a tier for a limited time.
type ShedPermitted struct {
	Tier     int
	Duration time.Duration
}

// Tick has no data; it lets the scheduler make decisions that depend on time.
type Tick struct{}

func (Configure) event()      {}
func (HostSynced) event()     {}
func (HostLost) event()       {}
func (Submit) event()         {}
func (Started) event()        {}
func (Declined) event()       {}
func (Progress) event()       {}
func (Finished) event()       {}
func (Cancelled) event()      {}
func (EndpointFailed) event() {}
func (LoadReported) event()   {}
func (CacheChanged) event()   {}
func (HostsListed) event()    {}
func (TiersClosed) event()    {}
func (ShedPermitted) event()  {}
func (Tick) event()           {}
