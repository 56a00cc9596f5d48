// Package coordinator places the work of entry hosts at the endpoints of its shards.
//
// Each endpoint has one coordinator at a time, which knows exactly what runs there, so that places are taken once and the most
// urgent of all waiting requests goes first, however many entry hosts there are. What a coordinator knows comes from the hosts'
// own reports; after its loss the hosts tell the next one what they have in progress.
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
	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

// Methods of the exchanges with coordinators.
const (
	// MethodPlace opens the stream of an entry host.
	MethodPlace = "coordinator.place"
	// MethodReady asks whether a coordinator can serve.
	MethodReady = "coordinator.ready"
	// MethodPeer tells another coordinator the state of this one.
	MethodPeer = "coordinator.peer"
)

const (
	// exchangeInterval is the time between two reports to another coordinator while there is something new, and quietInterval
	// while there is not.
	exchangeInterval = 100 * time.Millisecond
	quietInterval    = 300 * time.Millisecond
	// exchangeTimeout bounds one of them.
	exchangeTimeout = 300 * time.Millisecond
	// quorumFor is how long an answered report shows that another coordinator is reached.
	quorumFor = 900 * time.Millisecond
	// lingerFor is the time in which a host whose stream has ended may tell its runs again before they count as ended.
	lingerFor = 500 * time.Millisecond
	// othersInterval is the longest time between two messages with the use by other hosts, which count as silent after half a
	// second.
	othersInterval = 250 * time.Millisecond
	// historyFor is the age of a host's process up to which it is told the windows of the allotments.
	historyFor = 2 * time.Second
	// maxPause is the time between two exchanges beyond which this host has stood still.
	maxPause = time.Second
	// useFor is the silence after which the hosts of another coordinator are no longer counted.
	useFor = 5 * time.Second
	// summaryFor is the age after which the summary of another coordinator counts for nothing.
	summaryFor = 600 * time.Millisecond
	// spareFree is the number of free places that a zone keeps for its own hosts.
	spareFree = 2
)

var (
	countAsks    = expvar.NewMap("coordinator_asks")
	countReports = expvar.NewInt("coordinator_reports")
)

// Stream carries messages in both directions in order.
type Stream interface {
	Send(m proto.Message) error
	Recv(m proto.Message) error
	// Close ends the stream; a Recv in progress returns.
	Close() error
}

// Network carries exchanges with other coordinators.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// Digest names an endpoint or workspace in messages.
func Digest(name string) uint64 { return xxhash.Sum64String(name) }

// Coordinator serves entry hosts. Set the exported fields before Run.
type Coordinator struct {
	HostID  string
	Network Network
	// Peers returns the other control hosts.
	Peers func() []sharder.Host
	// AllotmentWindow is the time over which allotments are added up; 0 means the default.
	AllotmentWindow time.Duration

	mu      sync.Mutex
	process uint64
	started time.Time
	// knowsSince is the time since which this coordinator has followed the allotments without a break.
	knowsSince time.Time
	limits     map[string]allotter.Limit
	endpoints  []balancer.Endpoint
	names      map[uint64]string
	shards     map[sharder.Shard]*shard
	sessions   map[string]*session
	// lingering are sessions that have ended a moment ago, whose hosts may come back.
	lingering   map[string]*session
	incarnation map[string]uint64
	tally       *allotter.Tally
	// allots decides about the allotments of requests that are placed here, by the names of workspaces.
	allots     *allotter.Allotter
	heard      map[string]*heardUse
	workspaces map[uint64]string
	peers      map[string]*peer
	summaries  map[sharder.Shard]summary
	crashes    quarantiner.Book
	wg         sync.WaitGroup
}

// shard is a part of a pool that this coordinator places at.
type shard struct {
	key      sharder.Shard
	admitter *admitter.Admitter
	askedAt  time.Time
}

// summary is what another coordinator has told of a shard.
type summary struct {
	free, queue int
	at          time.Time
}

// Init prepares the state. Call it before the network runs.
func (c *Coordinator) Init() {
	now := time.Now()
	c.process, c.started, c.knowsSince = rand.Uint64(), now, now
	c.names, c.shards, c.sessions = map[uint64]string{}, map[sharder.Shard]*shard{}, map[string]*session{}
	c.heard = map[string]*heardUse{}
	c.lingering = map[string]*session{}
	c.incarnation, c.peers = map[string]uint64{}, map[string]*peer{}
	c.summaries = map[sharder.Shard]summary{}
	c.tally = allotter.NewTally(now, c.AllotmentWindow)
	c.allots, c.workspaces = c.newAllotments(now), map[uint64]string{}
}

// Run exchanges reports with the other coordinators until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	defer c.wg.Wait()
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for last := clocker.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		now := time.Now()
		if pause := clocker.Since(last); pause > maxPause {
			c.relearn(now, pause)
		}
		last = clocker.Now()
		if !c.Ready() {
			c.dismiss()
		}
		for _, p := range c.Peers() {
			if call := c.peerReport(now, p.ID); call != nil {
				c.wg.Go(func() { c.tellPeer(ctx, p, call) })
			}
		}
		c.tellOthers(now)
	}
}

// relearn forgets what this coordinator knew of the allotments before its machine stood still. What it hears of that time now would
// count as used at this moment.
func (c *Coordinator) relearn(now time.Time, pause time.Duration) {
	klog.InfoS("coordinator: this host stood still", "pause", pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knowsSince = now
	c.allots = c.newAllotments(now)
	c.allots.SetLimits(now, c.limits)
	c.heard = map[string]*heardUse{}
}

// dismiss ends the sessions of all hosts, which go on with another coordinator.
func (c *Coordinator) dismiss() {
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
	c.endpoints = slices.Clone(list)
	c.names = make(map[uint64]string, len(list))
	for _, e := range list {
		c.names[Digest(e.ID)] = e.ID
	}
	for _, s := range c.shards {
		s.setEndpoints(list)
	}
}

// newAllotments returns allotments whose use before is not known. Hosts join no coordinator in the first half second, in which
// nothing is admitted if all have started; else the others tell what was.
func (c *Coordinator) newAllotments(now time.Time) *allotter.Allotter {
	a := allotter.New(now, c.AllotmentWindow)
	a.OpensWithBurst = true
	// A coordinator that does not reach most of the others ends its sessions.
	a.SilentIdle = true
	return a
}

// SetLimits replaces the allotments of workspaces.
func (c *Coordinator) SetLimits(limits map[string]allotter.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	c.allots.SetLimits(time.Now(), limits)
	c.workspaces = make(map[uint64]string, len(limits))
	for name := range limits {
		c.workspaces[Digest(name)] = name
	}
}

func (s *shard) setEndpoints(list []balancer.Endpoint) {
	var own []balancer.Endpoint
	for _, e := range list {
		if s.key.Holds(sharder.Endpoint{Pool: e.Pool, Zone: e.Zone}) {
			own = append(own, e)
		}
	}
	s.admitter.Update(func(b *balancer.Balancer) { b.SetEndpoints(own) })
}

// shard returns a shard, which begins without work. The caller holds the lock.
func (c *Coordinator) shard(key sharder.Shard) *shard {
	s := c.shards[key]
	if s == nil {
		s = &shard{key: key, admitter: admitter.New(balancer.New(key.Zone))}
		s.setEndpoints(c.endpoints)
		c.shards[key] = s
	}
	return s
}

// inUse returns the shards, and lets the caller read the names of endpoints.
func (c *Coordinator) inUse(read func(names map[uint64]string)) []*shard {
	c.mu.Lock()
	defer c.mu.Unlock()
	read(c.names)
	return slices.Collect(maps.Values(c.shards))
}

// Ready reports whether this coordinator may serve: it knows endpoints and reaches most of the control hosts. A minority that
// is cut off would place at endpoints that the others place at as well.
func (c *Coordinator) Ready() bool {
	peers := c.Peers()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	reached := 1
	for _, p := range peers {
		if known := c.peers[p.ID]; known != nil && now.Sub(known.reachedAt) <= quorumFor {
			reached++
		}
	}
	return len(c.endpoints) > 0 && 2*reached > len(peers)+1
}

// HandleReady answers MethodReady.
func (c *Coordinator) HandleReady([]byte) ([]byte, error) {
	return proto.Marshal(&coordinatorpb.ReadyReply{Ready: c.Ready()})
}

// better returns another zone with free places for an ask that its own zone cannot begin.
func (c *Coordinator) better(now time.Time, s *shard) (zone string, found bool) {
	if s.key.Zone == "" {
		return "", false
	}
	free, waiting := s.admitter.Room(now, s.key.Pool)
	if free > waiting {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	best := spareFree
	for key, other := range c.summaries {
		if key.Pool != s.key.Pool || key.Zone == s.key.Zone || now.Sub(other.at) > summaryFor {
			continue
		}
		if left := other.free - other.queue; left > best || left == best && found && key.Zone < zone {
			best, zone, found = left, key.Zone, true
		}
	}
	if found {
		// The next summary is some time away, and all hosts of this zone read the same one.
		key := sharder.Shard{Pool: s.key.Pool, Zone: zone}
		other := c.summaries[key]
		other.free--
		c.summaries[key] = other
	}
	return zone, found
}

func (c *Coordinator) logAsk(outcome string) {
	countAsks.Add(outcome, 1)
	klog.V(2).Infof("coordinator: ask outcome=%s", outcome)
}
