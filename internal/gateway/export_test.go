package gateway

// DrainConnections marks all connections as draining, but not the gateway.
func (g *Gateway) DrainConnections() { g.tracker.drain() }
