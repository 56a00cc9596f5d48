package acquirer

import (
	"context"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
)

// ReportStream records which version began the stream of a request, and reports it to the coordinators.
func (a *Acquirer) ReportStream(request uint64, o registrar.Origin) { a.ReportStreamAt(request, o, "") }

// ReportStreamAt is like ReportStream, for a stream that began at a known endpoint. If the list shows another version of that
// endpoint soon afterwards, the stream is reported as not joinable.
func (a *Acquirer) ReportStreamAt(request uint64, o registrar.Origin, endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.origins.Add(time.Now(), registrar.Record{Request: request, Origin: o, Endpoint: endpoint})
}

// StreamOrigin returns which version began the stream of a request. It returns false if this is not known.
func (a *Acquirer) StreamOrigin(ctx context.Context, request uint64, pool string) (registrar.Origin, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.origins.Lookup(time.Now(), request)
}

// applyVersions records the versions in the endpoint list.
func (a *Acquirer) applyVersions(list []balancer.Endpoint) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	versions, pools := make(map[string]string, len(list)), map[string]map[string]bool{}
	for _, e := range list {
		if before, known := a.listedVersions[e.ID]; known && before != e.Version {
			a.origins.EndpointChanged(now, e.ID)
		}
		versions[e.ID] = e.Version
		if pools[e.Pool] == nil {
			pools[e.Pool] = map[string]bool{}
		}
		pools[e.Pool][e.Version] = true
	}
	a.listedVersions, a.poolVersions = versions, pools
}
