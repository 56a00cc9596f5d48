// Package finder finds the run of a request whose entry host is lost.
package finder

import (
	"context"
	"errors"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
)

// width bounds the engines asked at once for a run.
const width = 8

// Endpoints reaches the model engines of the configuration by name.
type Endpoints interface {
	Engine(name string) (connector.Engine, bool)
	// Engines returns the names of all model engines.
	Engines() []string
}

// Finder searches for one run. Set the exported fields before Find.
type Finder struct {
	RequestID, Workspace string
	Endpoints            Endpoints
	// Locate asks the schedulers of all pools where the run is.
	Locate func(ctx context.Context) []indexer.Location
	// Pause waits before the next attempt. It returns false when the search should end.
	Pause func(attempt int) bool
}

// Found is a run and a stream that continues its answer.
type Found struct {
	Endpoint string
	Engine   connector.Engine
	Stream   connector.Stream
}

// Find resumes the run from chunk index from. It asks the schedulers, and the engines themselves when the schedulers do not know
// the run, as after the loss of a host that was both owner and holder. The stream lives in run, the search in ctx. It returns nil
// when the run was not found.
func (f *Finder) Find(ctx, run context.Context, from int) *Found {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		for _, l := range f.Locate(ctx) {
			if l.Endpoint == "" || l.Workspace != f.Workspace {
				continue
			}
			if found, _ := f.resume(run, l.Endpoint, from); found != nil {
				return found
			}
		}
		found, certain := f.askEngines(run, from)
		if found != nil || certain || !f.Pause(attempt) {
			return found
		}
	}
	return nil
}

func (f *Finder) resume(run context.Context, endpoint string, from int) (*Found, error) {
	engine, ok := f.Endpoints.Engine(endpoint)
	if !ok {
		return nil, nil
	}
	stream, err := engine.Resume(run, f.RequestID, from)
	if err != nil {
		return nil, err
	}
	return &Found{Endpoint: endpoint, Engine: engine, Stream: stream}, nil
}

// askEngines asks every engine for the run. It returns certain when all have answered and none knows it.
func (f *Finder) askEngines(run context.Context, from int) (found *Found, certain bool) {
	names := f.Endpoints.Engines()
	results := make(chan *Found, len(names))
	missing := make(chan struct{}, len(names))
	var group errgroup.Group
	group.SetLimit(width)
	for _, name := range names {
		group.Go(func() error {
			at, err := f.resume(run, name, from)
			var interrupted *connector.InterruptedError
			switch {
			case at != nil:
				results <- at
			case errors.As(err, &interrupted) && interrupted.Cause == connector.CauseNotFound:
				missing <- struct{}{}
			}
			return nil
		})
	}
	_ = group.Wait()
	select {
	case found = <-results:
		return found, false
	default:
		return nil, len(missing) == len(names)
	}
}
