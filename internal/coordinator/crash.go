package coordinator

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
)

// recordCrashes records crashes and sends the new ones to all hosts. The caller holds c.mu.
func (c *Coordinator) recordCrashes(now time.Time, seen []*coordinatorpb.Crash) {
	var updates []quarantiner.Crash
	for _, crash := range DecodeCrashes(now, seen) {
		if c.crashes.Add(now, crash) {
			updates = append(updates, crash)
		}
	}
	if len(updates) == 0 {
		return
	}
	for _, s := range c.sessions {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Crashes = append(o.Crashes, EncodeCrashes(now, updates)...) })
	}
}

// recordCleared removes the crashes of requests that have been answered since and sends the fingerprints to all hosts. It
// returns the fingerprints that were cleared. The caller holds c.mu.
func (c *Coordinator) recordCleared(fingerprints []uint64) []uint64 {
	var cleared []uint64
	for _, fingerprint := range fingerprints {
		if c.crashes.ClearSingle(fingerprint) {
			cleared = append(cleared, fingerprint)
		}
	}
	if len(cleared) == 0 {
		return nil
	}
	for _, s := range c.sessions {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Cleared = append(o.Cleared, cleared...) })
	}
	return cleared
}

// maxPendingCleared bounds the cleared requests that are queued for another coordinator.
const maxPendingCleared = 256

// queueCleared queues the fingerprint of a cleared request. It is dropped if the queue is full: the peer then goes on counting
// one crash against the request.
func (p *peer) queueCleared(fingerprint uint64) {
	if len(p.pendingCleared) < maxPendingCleared {
		p.pendingCleared = append(p.pendingCleared, fingerprint)
	}
}

// EncodeCrashes returns the message form of crashes. Times are sent as ages, since the clocks of hosts differ.
func EncodeCrashes(now time.Time, crashes []quarantiner.Crash) []*coordinatorpb.Crash {
	var out []*coordinatorpb.Crash
	for _, c := range crashes {
		out = append(out, &coordinatorpb.Crash{
			Request: c.Fingerprint, Endpoint: c.Endpoint, BeganMs: encodeAge(now, c.Began), AgeMs: encodeAge(now, c.At),
		})
	}
	return out
}

// DecodeCrashes returns the crashes of a message that was received at now.
func DecodeCrashes(now time.Time, crashes []*coordinatorpb.Crash) []quarantiner.Crash {
	out := make([]quarantiner.Crash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, quarantiner.Crash{
			Fingerprint: c.GetRequest(), Endpoint: c.GetEndpoint(),
			Began: now.Add(-decodeAge(c.GetBeganMs())), At: now.Add(-decodeAge(c.GetAgeMs())),
		})
	}
	return out
}

// maxAge caps the ages in messages; a larger value cannot be a real age.
const maxAge = 24 * time.Hour

func encodeAge(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

func decodeAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
