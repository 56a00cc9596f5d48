package balancer

import (
	"slices"
	"time"
)

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

// HasRoom reports whether any endpoint of a pool that the work fits by its version could take a small piece of work now.
func (b *Balancer) HasRoom(now time.Time, pool string, w Work) bool {
	small := Work{Bound: w.Bound, Version: w.Version}
	return slices.ContainsFunc(b.pools[pool], func(e *endpoint) bool { return b.available(now, e, small) && b.hasRoom(now, e, small) })
}

// FreePlaces returns the number of free places of the available endpoints of a pool.
func (b *Balancer) FreePlaces(now time.Time, pool string) int {
	free := 0
	for _, e := range b.pools[pool] {
		if b.available(now, e, Work{}) && b.hasRoom(now, e, Work{}) {
			free += min(min(max(e.Slots, 1), int(e.maxRunning(now)))-e.load.Running, b.freePermits(now, e))
		}
	}
	return free
}

// hasRoom reports whether an endpoint could take a piece of work now.
func (b *Balancer) hasRoom(now time.Time, e *endpoint, w Work) bool {
	running := e.load.Running
	if float64(running) >= e.maxRunning(now) {
		return false
	}
	if !e.Engine || running == 0 {
		return true
	}
	if e.MemoryTokens > 0 && float64(e.load.Memory+w.Prompt+w.Output) > maxMemoryShare*float64(e.MemoryTokens) {
		return false
	}
	unread := float64(e.load.PromptBacklog)
	return b.slowness(e)*unread/promptTokensPerMS < float64(maxPromptBacklog.Milliseconds())
}
