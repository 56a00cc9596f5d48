package coordinator

import (
	"expvar"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
	"github.com/dragonflycroft/dragonflycroft/internal/spiller"
)

// summaryTTL is the age beyond which the shard summary of another coordinator is ignored.
const summaryTTL = 600 * time.Millisecond

// zoneAsks and zoneTokens count the placement requests and their prompt tokens that left their availability zone, by HOME/ZONE/REASON;
// zoneAsks also those that stayed, by HOME/stay.
var (
	zoneAsks   = expvar.NewMap("coordinator_zone_asks")
	zoneTokens = expvar.NewMap("coordinator_zone_tokens")
)

// updateOwnedShards determines the shards whose figures this coordinator states to the others also while no requests arrive for them.
// Requests of another zone could not leave for a zone without callers of its own otherwise.
func (c *Coordinator) updateOwnedShards(now time.Time, peers []sharder.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownedShards = map[sharder.Shard]bool{}
	reached := c.reachedPeers(now, peers)
	if c.shardMap == nil || !c.readyWith(peers, len(reached)) {
		return
	}
	hosts := append(reached, sharder.Host{ID: c.HostID, Zone: c.Zone})
	for _, key := range c.shardMap.ZoneShards() {
		if sharder.Owners(key.Zone, hosts)[0].ID == c.HostID {
			c.ownedShards[key] = true
			c.shard(key)
		}
	}
}

// isBusy reports whether requests for a shard of a zone have arrived lately.
func (s *shard) isBusy(now time.Time) bool {
	return s.key.Zone != "" && now.Sub(s.lastAskAt) <= shardIdleTimeout
}

// summary returns the figures of a shard for the other coordinators.
func (s *shard) summary(now time.Time) *coordinatorpb.Summary {
	z := s.figures(now)
	return &coordinatorpb.Summary{
		Shard: &coordinatorpb.Shard{Pool: s.key.Pool, Zone: s.key.Zone}, Free: uint32(max(z.Free, 0)), Queue: uint32(z.Queue), Rate: float32(z.Rate),
		Refusing: z.Refusing,
	}
}

// figures returns the figures of a shard.
func (s *shard) figures(now time.Time) spiller.Zone {
	free, waiting := s.admitter.Room(now, s.key.Pool)
	return spiller.Zone{Name: s.key.Zone, Free: free, Queue: waiting, Rate: s.admitter.Rate(now, s.key.Pool), Refusing: s.admitter.Refusing(now, s.key.Pool), At: now}
}

// mergeSummary records the figures of a shard of another coordinator. The caller holds c.mu.
func (c *Coordinator) mergeSummary(now time.Time, from string, in *coordinatorpb.Summary) {
	key := shardOf(in.GetShard())
	z := spiller.Zone{Name: key.Zone, Free: int(in.GetFree()), Queue: int(in.GetQueue()), Rate: float64(in.GetRate()), Refusing: in.GetRefusing(), At: now}
	if p := c.peers[from]; p != nil {
		z.RoundTrip = p.roundTrip
	}
	c.setZone(key.Pool, z)
}

// setZone passes the figures of a zone to the shards of all others. The caller holds c.mu.
func (c *Coordinator) setZone(pool string, z spiller.Zone) {
	for key, s := range c.shards {
		if key.Pool == pool && key.Zone != "" && key.Zone != z.Name {
			s.spiller.SetZone(z)
		}
	}
}

// shareOwnFigures passes the figures of the shards of this coordinator to each other. It has several zones of a pool after the loss of
// another coordinator.
func (c *Coordinator) shareOwnFigures(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, s := range c.shards {
		if s.isBusy(now) || c.ownedShards[key] {
			c.setZone(key.Pool, s.figures(now))
		}
	}
}

// spillZone returns another zone for a placement request that its own zone cannot start at once.
func (c *Coordinator) spillZone(now time.Time, s *shard, req admitter.Request) (zone string, found bool) {
	if s.key.Zone == "" {
		return "", false
	}
	home, wait := s.figures(now), s.admitter.PredictWait(now, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.spiller.Forget(now.Add(-summaryTTL))
	for _, change := range s.spiller.Plan(now, home) {
		klog.InfoS("coordinator: requests that leave the zone", "pool", s.key.Pool, "zone", s.key.Zone, "to", change.Zone, "leave", change.Leave, "gain", change.Gain)
	}
	choice, found := s.spiller.Choose(home, wait, req.Patience)
	if !found {
		zoneAsks.Add(s.key.Zone+"/stay", 1)
		return "", false
	}
	label := s.key.Zone + "/" + choice.Zone + "/" + string(choice.Reason)
	zoneAsks.Add(label, 1)
	zoneTokens.Add(label, int64(req.Work.Prompt))
	return choice.Zone, true
}
