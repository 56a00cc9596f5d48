package gateway

import (
	"context"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// DrainConnections marks all connections as draining, but not the gateway.
func (g *Gateway) DrainConnections() { g.tracker.drain() }

// CloseIdleConnections closes all connections on which no request is in progress.
func (g *Gateway) CloseIdleConnections() { g.tracker.closeIdle(0) }

// CheckHealth performs a health check of an endpoint.
func (g *Gateway) CheckHealth(e balancer.Endpoint, path string) { g.checkHealth(e, path) }

// ReadStart asks an endpoint when its process started.
func (g *Gateway) ReadStart(ctx context.Context, e balancer.Endpoint) (time.Time, bool) {
	return g.readStart(ctx, e)
}
