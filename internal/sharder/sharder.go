// Package sharder partitions the endpoints of pools among control hosts, so that exactly one host places work on each
// endpoint.
package sharder

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxUndivided is the number of endpoints up to which a pool is one shard for all availability zones. A larger pool has one
// shard per zone, so that the load of a control host does not grow with the number of zones.
const maxUndivided = 100

// Endpoint holds the attributes of an endpoint that determine its shard.
type Endpoint struct{ Pool, Zone string }

// Shard identifies the endpoints of a pool in one zone. An empty zone means all zones.
type Shard struct{ Pool, Zone string }

// Host is a control host.
type Host struct{ ID, Zone, Addr string }

// Map holds the shards of a list of endpoints. It is immutable.
type Map struct {
	endpoints int
	// zonesByPool holds the sorted availability zones of each pool that is divided.
	zonesByPool map[string][]string
}

// New returns the shards of a list of endpoints.
func New(list []Endpoint) *Map {
	zoneSizes := map[string]map[string]int{}
	poolSizes := map[string]int{}
	for _, e := range list {
		if zoneSizes[e.Pool] == nil {
			zoneSizes[e.Pool] = map[string]int{}
		}
		zoneSizes[e.Pool][e.Zone]++
		poolSizes[e.Pool]++
	}
	m := &Map{endpoints: len(list), zonesByPool: map[string][]string{}}
	for pool, zones := range zoneSizes {
		if poolSizes[pool] > maxUndivided {
			m.zonesByPool[pool] = slices.Sorted(maps.Keys(zones))
		}
	}
	return m
}

// HomeShard returns the shard to which the hosts of a zone send their requests first.
func (m *Map) HomeShard(pool, zone string) Shard {
	zones := m.zonesByPool[pool]
	switch {
	case len(zones) == 0:
		return Shard{Pool: pool}
	case slices.Contains(zones, zone):
		return Shard{Pool: pool, Zone: zone}
	}
	// A zone without endpoints uses the shard of another zone, the same one on every host.
	return Shard{Pool: pool, Zone: slices.MinFunc(zones, func(a, b string) int { return cmp.Compare(rank(zone, a), rank(zone, b)) })}
}

// ZoneShards returns the shards of the pools that are divided.
func (m *Map) ZoneShards() []Shard {
	var out []Shard
	for pool, zones := range m.zonesByPool {
		for _, zone := range zones {
			out = append(out, Shard{Pool: pool, Zone: zone})
		}
	}
	return out
}

// AggregationZone returns the zone whose first owner sums up the usage that the hosts of the given zone report. An empty result
// means one sum for all zones.
func (m *Map) AggregationZone(zone string) string {
	if m.endpoints <= maxUndivided {
		return ""
	}
	return zone
}

// Contains reports whether an endpoint belongs to a shard.
func (s Shard) Contains(e Endpoint) bool {
	return e.Pool == s.Pool && (s.Zone == "" || s.Zone == e.Zone)
}

// Owners returns the control hosts in the order of precedence for a zone: the first live one places its work. Hosts in the zone
// come first. Every host computes the same order, and the loss of a host does not change the order of the others.
func Owners(zone string, hosts []Host) []Host {
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b Host) int {
		if order := cmp.Compare(zoneDistance(a, zone), zoneDistance(b, zone)); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(rank(zone, a.ID), rank(zone, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func zoneDistance(h Host, zone string) int {
	if h.Zone == zone {
		return 0
	}
	return 1
}

func rank(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
