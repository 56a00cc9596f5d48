package acquirer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

const (
	// ownerTimeout is how long bound work waits for the link to the first coordinator of another zone, and ownerPollInterval the time
	// between two checks of it.
	ownerTimeout      = 2 * failoverDelay
	ownerPollInterval = 5 * time.Millisecond
)

// boundZones returns the zones that are asked in turn for a place for bound work of a divided pool: those with an endpoint that may
// take it, this host's own one first and the others in random order, weighted by their numbers of endpoints. If no zone has one, only
// the own one is asked, whose coordinator may have a newer list.
func (a *Acquirer) boundZones(now time.Time, home string, req admitter.Request) (first string, others []string) {
	var zones []string
	a.Local.View(func(b *balancer.Balancer) {
		zones = b.UsableZones(now, req.Pool, req.Work, func(id string) bool { return req.Except[id] })
	})
	rand.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	var order []string
	if len(zones) == 0 || slices.Contains(zones, home) {
		order = append(order, home)
	}
	for _, zone := range zones {
		if len(order) < maxAsks && !slices.Contains(order, zone) {
			order = append(order, zone)
		}
	}
	return order[0], order[1:]
}

// awaitOwner waits until the first coordinator of a zone is connected, unless it cannot be reached. Another coordinator does not know
// the runs in the zone and would place work at endpoints without a free place.
func (a *Acquirer) awaitOwner(ctx context.Context, zone string) {
	owners := sharder.Owners(zone, a.ControlHosts())
	if len(owners) == 0 {
		return
	}
	for began := time.Now(); time.Since(began) < ownerTimeout; {
		a.linkFor(zone)
		a.mu.Lock()
		l := a.links[owners[0].Addr]
		settled := l != nil && (l.connected || l.failures > 0)
		a.mu.Unlock()
		if settled {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(ownerPollInterval):
		}
	}
}
