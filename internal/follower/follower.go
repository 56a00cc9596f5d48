// Package follower copies the answer of a request from the entry host that owns it, or recovers it when that host is lost.
package follower

import (
	"context"
	"errors"
	"expvar"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/attacher"
	"github.com/dragonflycroft/dragonflycroft/internal/booker"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/finder"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/resumer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// attempts bounds the attempts to reach the owner; with their back-off they take about a second.
	attempts = 6
	// searchBackoff is the first step of the back-off between two searches for a run.
	searchBackoff = 3
)

var (
	countFollowed = expvar.NewInt("follower_followed")
	countAdopted  = expvar.NewInt("follower_adopted")
)

// Hosts gives the peer addresses of entry hosts.
type Hosts interface {
	Addr(hostID string) (string, bool)
}

// Follower follows one request of another host. Set the exported fields before Follow.
type Follower struct {
	RequestID, Workspace string
	// Host and Owner are those of the request, Self is the owner name of this host.
	Host, Owner, Self string
	// Order names the order to look up in the ledger when the owner is lost.
	Order    *booker.Order
	OrderKey recorder.Key
	// Service is true when the request is known to be a service call, which leaves no run at an engine.
	Service   bool
	Answer    *answerer.Answer
	Transport *transporter.Transport
	Hosts     Hosts
	Endpoints finder.Endpoints
	// Locate asks the schedulers of all pools where a request is.
	Locate func(ctx context.Context, id string) []indexer.Location
	Limits resumer.Limits
	// Search bounds the search for a run.
	Search time.Duration
}

// Ending is how following ended. With all fields zero the request was not found.
type Ending struct {
	// Copied is true when the answer has ended as it did at the owner.
	Copied bool
	// Record is the order in the ledger.
	Record *recorder.Record
	// Engine and Result are those of a run that was copied from its engine.
	Engine connector.Engine
	Result resumer.Result
}

// Follow copies the answer. The owner is asked first, then the ledger, the schedulers and the engines.
func (f *Follower) Follow(ctx context.Context) Ending {
	countFollowed.Add(1)
	if f.copyFromOwner(ctx) {
		return Ending{Copied: true}
	}
	if ctx.Err() != nil {
		return Ending{}
	}
	if record, ok := f.Order.LookUp(ctx, f.OrderKey); ok {
		return Ending{Record: &record}
	}
	if f.Service {
		return Ending{}
	}
	return f.adopt(ctx)
}

func (f *Follower) copyFromOwner(ctx context.Context) bool {
	had := 0
	for attempt := 0; attempt < attempts; attempt++ {
		if attempt > 0 && !f.Limits.Pause(ctx, attempt) {
			return false
		}
		if chunks, _ := f.Answer.Len(); chunks > had {
			had, attempt = chunks, 0
		}
		addr, ok := f.Hosts.Addr(f.Host)
		if !ok || f.Owner == f.Self {
			return false
		}
		err := attacher.Follow(ctx, f.Transport, addr, f.RequestID, f.Workspace, f.Answer)
		if err == nil {
			return true
		}
		var missing *attacher.NotFoundError
		if errors.As(err, &missing) || ctx.Err() != nil {
			return false
		}
		klog.V(1).Infof("follower: cannot follow request=%s owner=%s reason=%q", f.RequestID, f.Owner, err)
	}
	return false
}

// adopt finds the run and copies the rest of its answer from the engine.
func (f *Follower) adopt(ctx context.Context) Ending {
	searchCtx, cancel := context.WithTimeout(ctx, f.Search)
	defer cancel()
	search := &finder.Finder{
		RequestID: f.RequestID, Workspace: f.Workspace, Endpoints: f.Endpoints,
		Locate: func(ctx context.Context) []indexer.Location { return f.Locate(ctx, f.RequestID) },
		Pause:  func(attempt int) bool { return f.Limits.Pause(ctx, attempt+searchBackoff) },
	}
	from, _ := f.Answer.Len()
	found := search.Find(searchCtx, ctx, from)
	if found == nil {
		return Ending{}
	}
	countAdopted.Add(1)
	klog.Infof("follower: adopted request=%s endpoint=%s reason=%q", f.RequestID, found.Endpoint, "its entry host is lost")
	m := f.Answer.Meta()
	f.Answer.Follow(f.RequestID, answerer.KindChat, m.Model, m.Created)
	f.Answer.Settle()
	copier := &resumer.Resumer{
		RequestID: f.RequestID, Endpoint: found.Endpoint, Engine: found.Engine, Answer: f.Answer, Limits: f.Limits,
	}
	return Ending{Engine: found.Engine, Result: copier.Copy(ctx, found.Stream, nil)}
}
