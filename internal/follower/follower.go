// Package follower copies the answer of a request from the entry host that owns it. If that host has failed, it recovers the
// answer from the ledger or from the engine.
package follower

import (
	"context"
	"errors"
	"expvar"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/attacher"
	"github.com/dragonflycroft/dragonflycroft/internal/committer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/finder"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/resumer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// maxAttempts bounds the consecutive attempts to reach the owner; with their backoff they take about a second.
	maxAttempts = 6
	// searchBackoffStep is the first step of the backoff between two searches for a run.
	searchBackoffStep = 3
)

var (
	countFollowed = expvar.NewInt("follower_followed")
	countAdopted  = expvar.NewInt("follower_adopted")
)

// Hosts returns the peer addresses of entry hosts.
type Hosts interface {
	Addr(hostID string) (string, bool)
}

// Follower copies the answer of one request of another host. Set the exported fields before calling Follow.
type Follower struct {
	RequestID, Workspace string
	// Host and Owner are the host and the owner name in the request ID; Self is the owner name of this host.
	Host, Owner, Self string
	// Order and OrderKey are used to look up the order in the ledger when the owner has failed.
	Order    *committer.Order
	OrderKey recorder.Key
	// Service is true when the request is a service call, which has no run on an engine.
	Service   bool
	Answer    *answerer.Answer
	Transport *transporter.Transport
	Hosts     Hosts
	Endpoints finder.Endpoints
	// Locate queries the schedulers of all pools for the location of a request.
	Locate func(ctx context.Context, id string) []indexer.Location
	Limits resumer.Limits
	// SearchTimeout is the timeout of the search for a run.
	SearchTimeout time.Duration
}

// CopyResult is the result of Follow. The zero value means that the request was not found.
type CopyResult struct {
	// Copied is true when the whole answer was copied from the owner.
	Copied bool
	// Record is the ledger record of the order, or nil.
	Record *recorder.Record
	// Engine and Result are set when the answer was copied from the engine of its run.
	Engine connector.Engine
	Result resumer.Result
}

// Follow copies the answer from the owner. If that fails, it looks up the order in the ledger and then searches for the run in
// the schedulers and on the engines.
func (f *Follower) Follow(ctx context.Context) CopyResult {
	countFollowed.Add(1)
	if f.copyFromOwner(ctx) {
		return CopyResult{Copied: true}
	}
	if ctx.Err() != nil {
		return CopyResult{}
	}
	if record, ok := f.Order.LookUp(ctx, f.OrderKey); ok {
		return CopyResult{Record: &record}
	}
	if f.Service {
		return CopyResult{}
	}
	return f.resumeFromEngine(ctx)
}

// copyFromOwner copies the answer from the owner and reports whether it has ended. The number of attempts starts anew when
// chunks have arrived since the last one.
func (f *Follower) copyFromOwner(ctx context.Context) bool {
	received := 0
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !f.Limits.WaitBackoff(ctx, attempt) {
			return false
		}
		if chunks, _ := f.Answer.Len(); chunks > received {
			received, attempt = chunks, 0
		}
		addr, ok := f.Hosts.Addr(f.Host)
		if !ok || f.Owner == f.Self {
			return false
		}
		err := attacher.Follow(ctx, f.Transport, addr, f.RequestID, f.Workspace, f.Answer)
		if err == nil {
			return true
		}
		var notFound *attacher.NotFoundError
		if errors.As(err, &notFound) || ctx.Err() != nil {
			return false
		}
		klog.V(1).Infof("follower: copying from owner failed request=%s owner=%s reason=%q", f.RequestID, f.Owner, err)
	}
	return false
}

// resumeFromEngine finds the run and copies the rest of its answer from the engine.
func (f *Follower) resumeFromEngine(ctx context.Context) CopyResult {
	searchCtx, cancel := context.WithTimeout(ctx, f.SearchTimeout)
	defer cancel()
	search := &finder.Finder{
		RequestID: f.RequestID, Workspace: f.Workspace, Endpoints: f.Endpoints,
		Locate: func(ctx context.Context) []indexer.Location { return f.Locate(ctx, f.RequestID) },
		Pause:  func(attempt int) bool { return f.Limits.WaitBackoff(ctx, attempt+searchBackoffStep) },
	}
	from, _ := f.Answer.Len()
	found := search.Find(searchCtx, ctx, from)
	if found == nil {
		return CopyResult{}
	}
	countAdopted.Add(1)
	klog.Infof("follower: resuming from engine request=%s endpoint=%s reason=%q", f.RequestID, found.Endpoint, "entry host lost")
	m := f.Answer.Meta()
	f.Answer.AdoptIdentity(f.RequestID, answerer.KindChat, m.Model, m.Created)
	f.Answer.FinalizeIdentity()
	copier := &resumer.Resumer{
		RequestID: f.RequestID, Endpoint: found.Endpoint, Engine: found.Engine, Answer: f.Answer, Limits: f.Limits,
	}
	return CopyResult{Engine: found.Engine, Result: copier.Copy(ctx, found.Stream, nil)}
}
