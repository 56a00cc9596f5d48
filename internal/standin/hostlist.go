package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/dragonflycroft/dragonflycroft/internal/lister"
)

// HostList is a stand-in for the platform's list of live and leaving endpoints. Set the exported fields before Start.
type HostList struct {
	ListenAddr string
	// Lag is the delay after which a change appears in the served list.
	Lag time.Duration

	server  httpServer
	mu      sync.Mutex
	changes []listChange
}

type listChange struct {
	at    time.Time
	name  string
	state string
}

// Start binds the address and serves until Close.
func (h *HostList) Start() error {
	h.server.registerRoutes = func(r *server.Hertz) { r.GET(lister.Path, h.serve) }
	return h.server.listen(h.ListenAddr)
}

// Addr returns the bound address.
func (h *HostList) Addr() string { return h.server.boundAddr() }

// Close stops serving and waits until the server has ended.
func (h *HostList) Close() error {
	h.server.stop()
	return nil
}

// Set sets the state of an endpoint to "live" or "leaving", or removes it with "".
func (h *HostList) Set(name, state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, listChange{at: time.Now(), name: name, state: state})
}

func (h *HostList) serve(_ context.Context, c *app.RequestContext) {
	type host struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	visible := time.Now().Add(-h.Lag)
	states := make(map[string]string)
	for _, change := range h.changes {
		if !change.at.After(visible) {
			states[change.name] = change.state
		}
	}
	hosts := make([]host, 0, len(states))
	for name, state := range states {
		if state != "" {
			hosts = append(hosts, host{Name: name, State: state})
		}
	}
	slices.SortFunc(hosts, func(a, b host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	c.JSON(http.StatusOK, map[string]any{"age_ms": h.Lag.Milliseconds(), "hosts": hosts})
}
