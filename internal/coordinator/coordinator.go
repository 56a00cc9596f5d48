// Package coordinator places the requests of entry hosts at the endpoints of its shards.
//
// Each endpoint has one coordinator at a time, which tracks every run there, so that no place is assigned twice and the most
// urgent of all waiting requests goes first, however many entry hosts there are. The state of a coordinator is built from the
// reports of the hosts; after its loss, the hosts report their runs in progress to its successor.
package coordinator

import (
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/attributor"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
	"github.com/dragonflycroft/dragonflycroft/internal/spiller"
)

// RPC methods of coordinators.
const (
	// MethodPlace opens the stream of an entry host.
	MethodPlace = "coordinator.place"
	// MethodReady queries whether a coordinator can serve.
	MethodReady = "coordinator.ready"
	// MethodPeer reports the state of this coordinator to another one.
	MethodPeer = "coordinator.peer"
	// MethodOrigin queries which software version began a stream.
	MethodOrigin = "coordinator.origin"
)

const (
	// reportInterval is the time between two reports to another coordinator while there are changes, and idleReportInterval
	// while there are none.
	reportInterval     = 100 * time.Millisecond
	idleReportInterval = 300 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 300 * time.Millisecond
	// peerReachableFor is how long another coordinator counts as reachable after an answered report.
	peerReachableFor = 900 * time.Millisecond
	// reconnectGrace is the time in which a host whose stream has ended may report its runs again before they count as ended.
	reconnectGrace = 500 * time.Millisecond
	// unreachableHold is how long a host gets no place at an endpoint that it could not connect to. Others may reach it.
	unreachableHold = 500 * time.Millisecond
	// othersUsageInterval is the longest time between two messages with the usage of other hosts. Hosts treat the others as
	// silent after half a second without one.
	othersUsageInterval = 250 * time.Millisecond
	// historyMaxAge is the age of a process up to which it is sent the allotment windows.
	historyMaxAge = 2 * time.Second
	// maxPause is the time between two iterations of Run beyond which the host counts as having been paused.
	maxPause = time.Second
	// peerUsageTTL is the time without a report after which the hosts of another coordinator are no longer counted.
	peerUsageTTL = 5 * time.Second
)

var (
	countAsks    = expvar.NewMap("coordinator_asks")
	countReports = expvar.NewInt("coordinator_reports")
)

// Stream is an ordered, bidirectional message stream.
type Stream interface {
	Send(m proto.Message) error
	Recv(m proto.Message) error
	// Close ends the stream and unblocks a Recv in progress.
	Close() error
}

// Network calls other coordinators.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// Digest returns the 64-bit hash that stands for the name of an endpoint or workspace in messages.
func Digest(name string) uint64 { return xxhash.Sum64String(name) }

// Coordinator serves entry hosts. Set the exported fields before Run.
type Coordinator struct {
	// HostID and Zone are the ID and the availability zone of this control host.
	HostID, Zone string
	Network      Network
	// Peers returns the other control hosts.
	Peers func() []sharder.Host
	// AllotmentWindow is the length of the sliding window of allotments; 0 means the default.
	AllotmentWindow time.Duration
	// HistoryPath is the path of the file that keeps the history of versions over restarts; empty means none. Bootstrap is true if
	// the whole system starts for the first time.
	HistoryPath string
	Bootstrap   bool
	// ListedAt returns the time, on the clock of package clocker, at which the platform began to send the endpoint list in use. It may
	// be nil.
	ListedAt func() time.Time
	// Rollouts keeps the rollouts; nil if there are none in this deployment. Exposure is the part of the requests that may reach a bad version.
	Rollouts RolloutStore
	Exposure float64

	mu        sync.Mutex
	processID uint64
	started   time.Time
	// allotmentsKnownSince is the time since which this coordinator has tracked the allotments without interruption.
	allotmentsKnownSince time.Time
	limits               map[string]ratelimiter.Limit
	endpoints            []balancer.Endpoint
	endpointNames        map[uint64]string
	shards               map[sharder.Shard]*shard
	sessions             map[string]*session
	// disconnected holds sessions that ended less than reconnectGrace ago, by host. Their hosts may reconnect.
	disconnected map[string]*session
	incarnations map[string]uint64
	tally        *ratelimiter.Tally
	// allotments checks the allotments of requests placed here, by workspace name.
	allotments     *ratelimiter.Limiter
	peerUses       map[string]*peerUse
	workspaceNames map[uint64]string
	peers          map[string]*peer
	// shardMap divides the endpoints. ownedShards are the shards of zones whose first reachable coordinator this one is.
	shardMap    *sharder.Map
	ownedShards map[sharder.Shard]bool
	// peerIDs are the other control hosts as of the last round of reports.
	peerIDs  []string
	crashes  quarantiner.CrashLog
	evidence attributor.Log
	// endpointLimits are the limits that endpoints state, in requests per second by ID; 0 if the endpoint has lifted it.
	endpointLimits map[string]float64
	// rollouts are the newest rollouts by pool, and versionShares the shares that follow from them. rolloutsKnown is true once they were read.
	rollouts      map[string]*rollout
	versionShares map[string]balancer.VersionShare
	rolloutsKnown bool
	origins       registrar.Registry
	versions      *registrar.History
	historyFile   historyFile
	// wakeReports makes Run send reports to the other coordinators at once.
	wakeReports chan struct{}
	wg          sync.WaitGroup
}

// shard is a part of a pool that this coordinator places requests in.
type shard struct {
	key       sharder.Shard
	admitter  *admitter.Admitter
	lastAskAt time.Time
	// spiller decides which requests leave the availability zone of the shard.
	spiller spiller.Spiller
}

// Init initializes the state. Call it before the network delivers messages.
func (c *Coordinator) Init() {
	now := time.Now()
	c.processID, c.started, c.allotmentsKnownSince = rand.Uint64(), now, now
	c.endpointNames, c.shards, c.sessions = map[uint64]string{}, map[sharder.Shard]*shard{}, map[string]*session{}
	c.peerUses = map[string]*peerUse{}
	c.disconnected = map[string]*session{}
	c.incarnations, c.peers = map[string]uint64{}, map[string]*peer{}
	c.endpointLimits = map[string]float64{}
	c.tally = ratelimiter.NewTally(now, c.AllotmentWindow)
	c.allotments, c.workspaceNames = c.newAllotments(now), map[uint64]string{}
	c.versions = c.readHistory(now)
	c.historyFile.pending = make(chan []byte, 1)
	c.wakeReports = make(chan struct{}, 1)
}

// Run exchanges reports with the other coordinators until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.wg.Wait()
	if c.Rollouts != nil {
		c.wg.Go(func() { c.runRollouts(ctx) })
	}
	if c.HistoryPath != "" {
		c.wg.Go(func() { c.writeHistory(ctx) })
	}
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for last := clocker.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-c.wakeReports:
		}
		now := time.Now()
		if pause := clocker.Since(last); pause > maxPause {
			c.resetAllotments(now, pause)
		}
		last = clocker.Now()
		if !c.Ready() {
			c.cancelSessions()
		}
		peers := c.Peers()
		c.setPeerIDs(peers)
		c.updateOwnedShards(now, peers)
		for _, p := range peers {
			if call := c.nextPeerReport(now, p.ID); call != nil {
				c.wg.Go(func() { c.sendPeerReport(ctx, p, call) })
			}
		}
		c.shareOwnFigures(now)
		c.sendOthersUsage(now)
		c.sweepOrigins(now)
	}
}

// resetAllotments discards the allotment state from before a pause of the host. Usage from that time that is reported now would
// count as used at this moment.
func (c *Coordinator) resetAllotments(now time.Time, pause time.Duration) {
	klog.InfoS("coordinator: long pause, allotment state reset", "pause", pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allotmentsKnownSince = now
	c.allotments = c.newAllotments(now)
	c.allotments.SetLimits(now, c.limits)
	c.peerUses = map[string]*peerUse{}
}

// cancelSessions cancels the sessions of all hosts, which then connect to another coordinator.
func (c *Coordinator) cancelSessions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, s := range c.sessions {
		klog.InfoS("coordinator: host dismissed", "host", host, "reason", "no majority of the control hosts is reached")
		s.cancel()
	}
}

// SetEndpoints replaces the list of endpoints.
func (c *Coordinator) SetEndpoints(list []balancer.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints = withLeavingTimes(time.Now(), c.endpoints, list)
	c.endpointNames = make(map[uint64]string, len(list))
	divisible := make([]sharder.Endpoint, 0, len(list))
	for _, e := range list {
		c.endpointNames[Digest(e.ID)] = e.ID
		divisible = append(divisible, sharder.Endpoint{Pool: e.Pool, Zone: e.Zone})
	}
	c.shardMap = sharder.New(divisible)
	for _, s := range c.shards {
		s.setEndpoints(c.endpoints)
	}
	c.versions.Observe(time.Now(), versionsOf(list))
}

// withLeavingTimes returns a list with the times since which its endpoints leave, as far as the previous list tells. Shards are
// created when they are first used and would not know.
func withLeavingTimes(now time.Time, previous, list []balancer.Endpoint) []balancer.Endpoint {
	known := make(map[string]balancer.Endpoint, len(previous))
	for _, e := range previous {
		known[e.ID] = e
	}
	out := slices.Clone(list)
	for i, e := range out {
		before, listed := known[e.ID]
		switch {
		case !e.Leaving || !listed || before.Addr != e.Addr:
		case before.Leaving:
			out[i].LeavingSince = before.LeavingSince
		default:
			out[i].LeavingSince = now
		}
	}
	return out
}

// newAllotments returns allotments without known past usage. Hosts join no coordinator in its first half second. If all hosts
// have just started, nothing was admitted in that time; otherwise the other coordinators report the past usage.
func (c *Coordinator) newAllotments(now time.Time) *ratelimiter.Limiter {
	a := ratelimiter.New(now, c.AllotmentWindow)
	a.AllowInitialBurst = true
	// Silent peers may be treated as idle: a coordinator that does not reach most of the others ends its sessions.
	a.SilentPeersIdle = true
	return a
}

// SetLimits replaces the allotment limits, by workspace name.
func (c *Coordinator) SetLimits(limits map[string]ratelimiter.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	c.allotments.SetLimits(time.Now(), limits)
	c.workspaceNames = make(map[uint64]string, len(limits))
	for name := range limits {
		c.workspaceNames[Digest(name)] = name
	}
}

func (s *shard) setEndpoints(list []balancer.Endpoint) {
	var own []balancer.Endpoint
	for _, e := range list {
		if s.key.Contains(sharder.Endpoint{Pool: e.Pool, Zone: e.Zone}) {
			own = append(own, e)
		}
	}
	s.admitter.Update(func(b *balancer.Balancer) { b.SetEndpoints(time.Now(), own) })
}

// shard returns the shard for a key and creates it without work if it is missing. The caller holds c.mu.
func (c *Coordinator) shard(key sharder.Shard) *shard {
	s := c.shards[key]
	if s == nil {
		s = &shard{key: key, admitter: admitter.New(balancer.New(key.Zone))}
		s.admitter.Update(func(b *balancer.Balancer) {
			for id, rate := range c.endpointLimits {
				b.SetLimit(time.Now(), id, rate)
			}
			b.SetVersionShares(c.versionShares)
		})
		s.setEndpoints(c.endpoints)
		c.shards[key] = s
	}
	return s
}

// allShards returns all shards. It calls read with the endpoint names under c.mu.
func (c *Coordinator) allShards(read func(names map[uint64]string)) []*shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	read(c.endpointNames)
	return slices.Collect(maps.Values(c.shards))
}

// Ready reports whether this coordinator may serve: it has a list of endpoints and reaches a majority of the control hosts. A
// partitioned minority would place requests at endpoints that the majority also uses.
func (c *Coordinator) Ready() bool {
	peers := c.Peers()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readyWith(peers, len(c.reachedPeers(now, peers)))
}

// readyWith reports whether this coordinator may serve while it reaches a number of its peers. The caller holds c.mu.
func (c *Coordinator) readyWith(peers []sharder.Host, reached int) bool {
	return len(c.endpoints) > 0 && 2*(reached+1) > len(peers)+1 && (c.Rollouts == nil || c.rolloutsKnown)
}

// reachedPeers returns the peers that have answered a report lately. The caller holds c.mu.
func (c *Coordinator) reachedPeers(now time.Time, peers []sharder.Host) []sharder.Host {
	var out []sharder.Host
	for _, p := range peers {
		if known := c.peers[p.ID]; known != nil && now.Sub(known.reachedAt) <= peerReachableFor {
			out = append(out, p)
		}
	}
	return out
}

// HandleReady answers MethodReady.
func (c *Coordinator) HandleReady([]byte) ([]byte, error) {
	return proto.Marshal(&coordinatorpb.ReadyReply{Ready: c.Ready()})
}

func (c *Coordinator) recordAsk(outcome string) {
	countAsks.Add(outcome, 1)
	klog.V(2).Infof("coordinator: ask outcome=%s", outcome)
}
