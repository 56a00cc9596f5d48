// Package messenger defines the events that a scheduler receives.
package messenger

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

// Event is an input of the scheduler.
type Event interface{ event() }

// Descriptor describes a request to the scheduler; the body stays at the entry host.
type Descriptor struct {
	RequestID string
	Workspace string
	Caller    string
	Tier      string
	// Kind is "chat" or "service".
	Kind    string
	Model   string
	Adapter string
	// PromptTokens is estimated from the length of the body.
	PromptTokens    int
	MaxOutputTokens int
	// PrefixBlocks are hashes of the prompt's blocks, each over the whole prefix up to the block's end.
	PrefixBlocks []uint64
	// Fingerprint identifies the workspace and the digest of the body.
	Fingerprint string
	// IdempotencyKey is empty when the caller gave none.
	IdempotencyKey string
	Idempotent     bool
	Zone           string
	// Waited is how long the request has waited so far.
	Waited time.Duration
	// Remaining is the time left until the caller's own deadline; 0 means none.
	Remaining time.Duration
}

// Run is a request that has been dispatched, as its entry host reports it.
type Run struct {
	Descriptor   Descriptor
	Endpoint     string
	OutputTokens int
	RunningFor   time.Duration
}

// Configure applies a configuration version.
type Configure struct {
	Version uint64
	Config  *configurer.Config
}

// Suspect is a fingerprint that ran at endpoints when they crashed. Crashes is 0 when it has been cleared.
type Suspect struct {
	Fingerprint string
	Crashes     int
	// RefusedFor is how long requests with the fingerprint are still refused.
	RefusedFor time.Duration
}

// HostSynced replaces all that is known of an entry host by its own account.
type HostSynced struct {
	Host    string
	Zone    string
	Waiting []Descriptor
	Running []Run
	// Suspects are those that the host remembers from ShareSuspect actions of earlier holders.
	Suspects []Suspect
}

// HostLost reports that an entry host's session has ended.
type HostLost struct{ Host string }

// Submit adds a waiting request.
type Submit struct {
	Host       string
	Descriptor Descriptor
}

// Started reports that a granted request has been dispatched.
type Started struct{ Host, RequestID, Endpoint string }

// DeclineReason says why a grant was not used.
type DeclineReason string

// The reasons for a declined grant.
const (
	// DeclineExpired means that the grant ran out before dispatch; the request still waits.
	DeclineExpired DeclineReason = "expired"
	// DeclineConnect means that the endpoint could not be reached and nothing was sent; the request still waits.
	DeclineConnect DeclineReason = "connect"
	// DeclineGone means that the request no longer needs a run.
	DeclineGone DeclineReason = "gone"
)

// Declined reports a grant that was not used.
type Declined struct {
	Host, RequestID, Endpoint string
	Reason                    DeclineReason
}

// Progress reports the output of a run so far. The first report marks the first token.
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

// Cancelled reports that the caller of a waiting request has left.
type Cancelled struct{ RequestID string }

// FailureCause classifies a sign that an endpoint is in trouble.
type FailureCause string

// The failure causes.
const (
	FailureRefused FailureCause = "refused"
	FailureReset   FailureCause = "reset"
	FailureSilent  FailureCause = "silent"
)

// EndpointFailed reports a sign of failure at an endpoint, with the requests that ran there.
type EndpointFailed struct {
	Endpoint   string
	Cause      FailureCause
	RequestIDs []string
}

// LoadReported carries an endpoint's own, possibly stale, load report.
type LoadReported struct {
	Endpoint      string
	Age           time.Duration
	Running       int
	Waiting       int
	RunningTokens int
}

// CacheChanged carries one cache event of an endpoint.
type CacheChanged struct {
	Endpoint string
	Seq      uint64
	Added    []uint64
	Removed  []uint64
}

// HostsListed carries the platform's list of endpoints by name.
type HostsListed struct {
	Age     time.Duration
	Live    []string
	Leaving []string
}

// TiersClosed sets the shed level: tiers with an order above Below take no new work and are emptied.
// A Below of at least the highest order opens all tiers.
type TiersClosed struct{ Below int }

// ShedPermitted allows requests of a tier to be shed for a time.
type ShedPermitted struct {
	Tier int
	For  time.Duration
}

// Tick lets time-driven decisions happen.
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
