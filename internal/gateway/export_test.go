package gateway

// DrainConnections marks all connections as draining, but not the gateway.
func (g *Gateway) DrainConnections() { g.tracker.drain() }

// CloseIdleConnections closes all connections on which no request is in progress.
func (g *Gateway) CloseIdleConnections() { g.tracker.closeIdle(0) }
