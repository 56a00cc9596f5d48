package gateway

import (
	"expvar"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// Reasons for which a request was sent to another availability zone.
const (
	// leftForWait means that the coordinator of the zone has sent it away, because it waits less elsewhere.
	leftForWait = "wait"
	// leftForStream means that it goes on with a stream, which endpoints of another version can't.
	leftForStream = "stream"
	// leftForCost means that a coordinator of all zones found the endpoint cheapest.
	leftForCost = "cost"
	// leftAlone means that this host placed it without a coordinator.
	leftAlone = "alone"
)

// leftRequests and leftBytes count the requests that were sent to other zones, and the bytes of bodies sent and received, by zone and reason.
var (
	leftRequests = expvar.NewMap("gateway_left_zone_requests")
	leftBytes    = expvar.NewMap("gateway_left_zone_bytes")
)

// countLeft counts a send to an endpoint of another zone, in which the caller got some bytes of the response.
func (q *request) countLeft(c balancer.Choice, responseBytes int64) {
	zone := c.Endpoint.Zone
	if q.g.Zone == "" || zone == "" || zone == q.g.Zone {
		return
	}
	reason := leftForCost
	switch {
	case q.work.Bound:
		reason = leftForStream
	case c.LeftZone:
		reason = leftForWait
	case c.PlacedBy == "":
		reason = leftAlone
	}
	key := zone + "/" + reason
	leftRequests.Add(key, 1)
	leftBytes.Add(key, int64(len(q.body))+responseBytes)
}
