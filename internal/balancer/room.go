package balancer

import "time"

const (
	// brittleTTL is how long after its last statement an endpoint counts as brittle.
	brittleTTL = 4 * time.Second
	// roomProbeInterval is the time after which an endpoint that has rejected a request for want of room is given one more than it took.
	roomProbeInterval = 2 * time.Second
)

// learnedRoom is what the rejections of an endpoint show of its room. It grows by one with each roomProbeInterval.
type learnedRoom struct {
	requests int
	at       time.Time
}

// MarkBrittle records that an endpoint fails if it must reject many requests. It returns true if that was not known.
func (b *Balancer) MarkBrittle(now time.Time, id string) (unknown bool) {
	e := b.endpoints[id]
	if e == nil {
		return false
	}
	unknown = !e.isBrittle(now)
	e.brittleUntil = now.Add(brittleTTL)
	return unknown
}

func (e *endpoint) isBrittle(now time.Time) bool { return now.Before(e.brittleUntil) }

// EndRejected counts the end of a run that the endpoint rejected for want of room: it takes fewer requests than it had.
func (b *Balancer) EndRejected(now time.Time, r *Run) {
	if !r.finish() {
		return
	}
	e := r.endpoint
	if !e.Engine || e.isBrittle(now) {
		e.room = learnedRoom{requests: max(1, e.load.Running), at: now}
	}
}

// maxRunning returns the number of requests that an endpoint takes, running or queued. The work of a plain service is short, and an idle
// place costs more than the wait in its queue, unless it is brittle.
func (e *endpoint) maxRunning(now time.Time) float64 {
	most := float64(max(e.Slots, 1))
	if !e.Engine && !e.isBrittle(now) {
		most *= serviceQueueFactor
	}
	if e.room.requests > 0 {
		most = min(most, float64(e.room.requests)+float64(now.Sub(e.room.at)/roomProbeInterval))
	}
	return most
}
