package executor

import (
	"context"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/committer"
	"github.com/dragonflycroft/dragonflycroft/internal/follower"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/resumer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/sender"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Session is the entry host's session with the scheduler of a pool; granter.Session implements it.
type Session interface {
	Submit(d scheduler.Descriptor, cb granter.Callbacks)
	Started(id, endpoint string)
	Declined(id, endpoint string, reason scheduler.DeclineReason)
	Progress(id string, outputTokens int)
	Finished(f scheduler.Finished)
	Cancelled(id string)
	EndpointFailed(endpoint string, cause scheduler.FailureCause, ids ...string)
	Claim(ctx context.Context, c indexer.Claim) (indexer.Location, error)
	Locate(ctx context.Context, id string) (indexer.Location, error)
}

// Timeouts are the time limits of requests; zero fields mean the defaults of WithDefaults.
type Timeouts struct {
	// Total bounds a run from dispatch to its end.
	Total time.Duration
	// Linger is how long a run without a reader continues, so that its caller can reconnect and fetch the answer.
	Linger time.Duration
	// Ledger bounds one commit to the ledger.
	Ledger time.Duration
	// Resume bounds the attempts to resume a stream.
	Resume resumer.Limits
	// Search bounds the search for a run whose entry host is lost; the default is longer than a change of holder takes.
	Search time.Duration
}

// WithDefaults returns t with the default in place of each limit that is zero or negative.
func (t Timeouts) WithDefaults() Timeouts {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&t.Total, 15*time.Minute)
	set(&t.Linger, 30*time.Second)
	set(&t.Ledger, 2*time.Second)
	set(&t.Resume.Backoff, 20*time.Millisecond)
	set(&t.Resume.MaxBackoff, time.Second)
	set(&t.Search, 4*time.Second)
	if t.Resume.Attempts <= 0 {
		t.Resume.Attempts = 8
	}
	return t
}

// Environment holds what the runs of one entry host share.
type Environment struct {
	// Owner is the ID of the entry host with its incarnation.
	Owner     string
	Zone      string
	Transport *transporter.Transport
	// Sessions returns the sessions of all pools.
	Sessions  func() []Session
	Endpoints sender.Endpoints
	Ledger    committer.Ledger
	Hosts     follower.Hosts
	Store     *answerer.Store
	Timeouts  Timeouts
	// Go runs fn in the background. It returns false if the host is stopping.
	Go func(fn func(ctx context.Context)) bool
}
