// Package describer builds the scheduler descriptor of an accepted request.
package describer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// Request is an accepted request of a caller.
type Request struct {
	Kind                                          string
	Pool, Workspace, Caller, Tier, Model, Adapter string
	Key                                           string
	Digest                                        string
	Idempotent                                    bool
	Call                                          connector.Call
	PromptTokens, MaxOutputTokens                 int
	PrefixBlocks                                  []uint64
	// Deadline is the deadline that the caller set; the zero time means none.
	Deadline time.Time
	// Release is called once, when the body is no longer needed; it may be nil.
	Release func()
}

// NeedsLedger reports whether the request is a service call that must run at most once for its idempotency key.
func (r *Request) NeedsLedger() bool { return r.Kind == answerer.KindService && !r.Idempotent }

// Describe returns the descriptor of the request, which does not include the body.
func (r *Request) Describe(id, zone string) scheduler.Descriptor {
	var remaining time.Duration
	if !r.Deadline.IsZero() {
		remaining = max(time.Millisecond, time.Until(r.Deadline))
	}
	return scheduler.Descriptor{
		RequestID:       id,
		Workspace:       r.Workspace,
		Caller:          r.Caller,
		Tier:            r.Tier,
		Kind:            r.Kind,
		Model:           r.Model,
		Adapter:         r.Adapter,
		PromptTokens:    r.PromptTokens,
		MaxOutputTokens: r.MaxOutputTokens,
		PrefixBlocks:    r.PrefixBlocks,
		Fingerprint:     r.Digest,
		IdempotencyKey:  r.Key,
		Idempotent:      r.Idempotent,
		Zone:            zone,
		Remaining:       remaining,
	}
}
