// Package finder locates and resumes the run of a request whose entry host was lost.
package finder

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
)

// maxConcurrentQueries bounds the number of engines that are queried concurrently.
const maxConcurrentQueries = 8

// Endpoints provides the clients of the configured model engines by endpoint name.
type Endpoints interface {
	Engine(name string) (connector.Engine, bool)
	// Engines returns the names of all model engines.
	Engines() []string
}

// Finder searches for one run. Set the exported fields before Find.
type Finder struct {
	RequestID, Workspace string
	Endpoints            Endpoints
	// Locate returns the locations of the run from the schedulers of all pools.
	Locate func(ctx context.Context) []indexer.Location
	// Pause waits before the next attempt. It returns false when the search should end.
	Pause func(attempt int) bool
}

// ResumedRun is a run, its engine and a stream that continues its response.
type ResumedRun struct {
	Endpoint string
	Engine   connector.Engine
	Stream   connector.Stream
}

// Find locates the run and resumes it from chunk index from. It queries the schedulers, and all engines when no location of the
// schedulers can be resumed, as after the loss of a host that was both the entry host of the run and the lease holder of its
// pool. The context runCtx bounds the stream, and ctx the search. Find returns nil when the run was not found.
func (f *Finder) Find(ctx, runCtx context.Context, from int) *ResumedRun {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		for _, l := range f.Locate(ctx) {
			if l.Endpoint == "" || l.Workspace != f.Workspace {
				continue
			}
			if found, _ := f.resume(runCtx, l.Endpoint, from); found != nil {
				return found
			}
		}
		found, absent := f.queryEngines(runCtx, from)
		if found != nil || absent || !f.Pause(attempt) {
			return found
		}
	}
	return nil
}

func (f *Finder) resume(runCtx context.Context, endpoint string, from int) (*ResumedRun, error) {
	engine, ok := f.Endpoints.Engine(endpoint)
	if !ok {
		return nil, nil
	}
	stream, err := engine.Resume(runCtx, f.RequestID, from)
	if err != nil {
		return nil, err
	}
	return &ResumedRun{Endpoint: endpoint, Engine: engine, Stream: stream}, nil
}

// queryEngines queries every engine for the run. It reports absent when all have responded and none has the run.
func (f *Finder) queryEngines(runCtx context.Context, from int) (found *ResumedRun, absent bool) {
	names := f.Endpoints.Engines()
	results := make(chan *ResumedRun, len(names))
	notFound := make(chan struct{}, len(names))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for _, name := range names {
		group.Go(func() error {
			resumed, err := f.resume(runCtx, name, from)
			var interrupted *connector.InterruptedError
			switch {
			case resumed != nil:
				results <- resumed
			case errors.As(err, &interrupted) && interrupted.Cause == connector.CauseNotFound:
				notFound <- struct{}{}
			}
			return nil
		})
	}
	_ = group.Wait()
	select {
	case found = <-results:
		return found, false
	default:
		return nil, len(notFound) == len(names)
	}
}
