package coordinator

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
)

// crashSeen notes crashes and tells those that are new to all hosts. The caller holds the lock.
func (c *Coordinator) crashSeen(now time.Time, seen []*coordinatorpb.Crash) {
	var news []quarantiner.Crash
	for _, crash := range DecodeCrashes(now, seen) {
		if c.crashes.Add(now, crash) {
			news = append(news, crash)
		}
	}
	if len(news) == 0 {
		return
	}
	for _, s := range c.sessions {
		s.order(func(o *coordinatorpb.Orders) { o.Crashes = append(o.Crashes, EncodeCrashes(now, news)...) })
	}
}

// clearSeen forgets the crashes of requests that have been answered since, and tells all hosts. It returns those that were cleared.
// The caller holds the lock.
func (c *Coordinator) clearSeen(fingerprints []uint64) []uint64 {
	var cleared []uint64
	for _, fingerprint := range fingerprints {
		if c.crashes.Clear(fingerprint) {
			cleared = append(cleared, fingerprint)
		}
	}
	if len(cleared) == 0 {
		return nil
	}
	for _, s := range c.sessions {
		s.order(func(o *coordinatorpb.Orders) { o.Cleared = append(o.Cleared, cleared...) })
	}
	return cleared
}

// maxCleared bounds the cleared requests that wait to be told to another coordinator.
const maxCleared = 256

// clear notes a request that was cleared. What finds no room is lost: the request counts as having crashed one endpoint.
func (p *peer) clear(fingerprint uint64) {
	if len(p.cleared) < maxCleared {
		p.cleared = append(p.cleared, fingerprint)
	}
}

// EncodeCrashes returns the message form of crashes. Hosts have clocks of their own, so that times are sent as ages.
func EncodeCrashes(now time.Time, crashes []quarantiner.Crash) []*coordinatorpb.Crash {
	var out []*coordinatorpb.Crash
	for _, c := range crashes {
		out = append(out, &coordinatorpb.Crash{
			Request: c.Fingerprint, Endpoint: c.Endpoint, BeganMs: uint64(max(0, now.Sub(c.Began).Milliseconds())),
			AgeMs: uint64(max(0, now.Sub(c.At).Milliseconds())),
		})
	}
	return out
}

// DecodeCrashes returns the crashes of a message that has just arrived.
func DecodeCrashes(now time.Time, crashes []*coordinatorpb.Crash) []quarantiner.Crash {
	out := make([]quarantiner.Crash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, quarantiner.Crash{
			Fingerprint: c.GetRequest(), Endpoint: c.GetEndpoint(),
			Began: now.Add(-age(c.GetBeganMs())), At: now.Add(-age(c.GetAgeMs())),
		})
	}
	return out
}

// longestAge bounds the ages in messages; a larger figure is no age.
const longestAge = 24 * time.Hour

func age(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(longestAge.Milliseconds()))) * time.Millisecond
}
