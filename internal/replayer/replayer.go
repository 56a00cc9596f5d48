// Package replayer replays recorded traces through a scheduling policy on virtual time.
//
// It simulates everything around the policy: callers with their recorded behaviour, entry hosts, network delays, engines and
// plain services, late and incomplete reports, and the control leader. Equal traces and policies give bit-identical results.
package replayer

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/auditor"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

// Policy is the scheduling policy under test: the scheduler of one pool, or a baseline.
type Policy interface {
	Step(now time.Duration, ev scheduler.Event) []scheduler.Action
}

// Setup holds the parameters with which a new holder of a pool starts. A later holder has a higher epoch.
type Setup struct {
	Pool        string
	Epoch, Seed uint64
	// Hosts are the entry hosts that will report their requests.
	Hosts []string
}

// Builder returns a new policy for one pool.
type Builder func(Setup) Policy

// Options configure a replay.
type Options struct {
	Build Builder
	// Decisions receives one line for each action of the policy; nil drops them.
	Decisions io.Writer
}

// One-way network delays, and timeouts and intervals of the entry hosts.
const (
	delayClient       = 3 * time.Millisecond
	delayBetweenZones = 500 * time.Microsecond
	delayWithinZone   = 100 * time.Microsecond
	delayWithinHost   = 10 * time.Microsecond
	connectTimeout    = 300 * time.Millisecond
	streamIdleTimeout = 2 * time.Second // for an open stream that receives no data
	sessionTimeout    = time.Second     // for an entry host's stream to the holder
	failoverTime      = 2 * time.Second // from the failure of a holder to the start of the next one
	configFreshness   = 3 * time.Second // after which an isolated host accepts no new requests
	suspectTTL        = 10 * time.Minute
	ledgerWriteTime   = 2 * time.Millisecond
	reconnectWait     = time.Second // before a caller whose connection broke retries
	heartbeatInterval = 250 * time.Millisecond
	progressInterval  = 200 * time.Millisecond
	tickInterval      = 20 * time.Millisecond
	reportInterval    = time.Second
	cacheInterval     = 250 * time.Millisecond
	// minRetryWait is the shortest wait of a refused caller; it applies when the policy gives no time or a shorter one.
	minRetryWait = 100 * time.Millisecond
	drainTime    = 150 * time.Second
)

type sim struct {
	trace          *tracecoder.Trace
	opts           Options
	now            time.Duration
	timeline       timeline
	rng            *rand.Rand
	hosts          []*host
	endpoints      []*endpoint
	endpointByName map[string]*endpoint
	pools          []*pool
	poolByName     map[string]*pool
	tierOrders     map[string]int // tier name -> order
	maxOrder       int
	leader         *leader
	audit          *auditor.Auditor
	requests       []*logicalRequest
	attempts       map[string]*attempt
	ledger         map[string]bool // keys of orders that may have run
	unfinished     int
	digest         *xxhash.Digest
	result         *Result
}

// Replay runs the whole trace through the policies that o.Build returns and reports the outcome of every request.
func Replay(t *tracecoder.Trace, o Options) (*Result, error) {
	if o.Build == nil {
		return nil, fmt.Errorf("replay of %s: no policy is given", t.Header.Name)
	}
	s := newSim(t, o)
	s.start()
	end := tracecoder.Micros(t.Header.DurationUS)
	for s.unfinished > 0 || s.now < end {
		if s.now > end+drainTime || !s.timeline.next(&s.now) {
			break
		}
	}
	s.collect()
	return s.result, nil
}

func newSim(t *tracecoder.Trace, o Options) *sim {
	s := &sim{
		trace: t, opts: o, rng: rand.New(rand.NewPCG(t.Header.Seed, 0x7265706c)),
		endpointByName: map[string]*endpoint{}, poolByName: map[string]*pool{}, tierOrders: map[string]int{},
		audit: auditor.New(), attempts: map[string]*attempt{}, ledger: map[string]bool{}, digest: xxhash.New(),
		result: &Result{Trace: t.Header.Name},
	}
	for _, tier := range t.Header.Config.Tiers {
		s.tierOrders[tier.Name] = tier.Order
		s.maxOrder = max(s.maxOrder, tier.Order)
	}
	for _, h := range t.Header.Hosts {
		s.hosts = append(s.hosts, &host{name: h.Name, zone: h.Zone, up: true, active: map[string]*attempt{}, suspects: map[string]suspect{}})
	}
	for i, e := range t.Header.Config.Endpoints {
		ep := newEndpoint(e, t.Header.Engines[e.Name], t.Header.Seed+uint64(i))
		s.endpoints = append(s.endpoints, ep)
		s.endpointByName[e.Name] = ep
	}
	for i, p := range t.Header.Config.Pools {
		pl := &pool{name: p.Name, holder: s.hosts[i%len(s.hosts)], seed: t.Header.Seed}
		s.pools = append(s.pools, pl)
		s.poolByName[p.Name] = pl
	}
	s.leader = newLeader(s)
	return s
}

// start schedules the trace's requests and changes, and the periodic work of hosts, endpoints and holders.
func (s *sim) start() {
	for _, p := range s.pools {
		s.startHolder(p)
	}
	for i := range s.trace.Requests {
		s.scheduleRequest(&s.trace.Requests[i])
	}
	for i := range s.trace.Changes {
		c := &s.trace.Changes[i]
		s.at(tracecoder.Micros(c.AtUS), func() { s.applyChange(c) })
	}
	s.every(0, tickInterval, func() {
		for _, p := range s.pools {
			s.step(p, scheduler.Tick{})
		}
	})
	for i, p := range s.pools {
		s.every(time.Duration(i+1)*heartbeatInterval/time.Duration(len(s.pools)), heartbeatInterval, func() { s.leader.heartbeat(p) })
	}
	s.every(time.Second, time.Second, s.sendLists)
	s.every(cacheInterval, cacheInterval, func() { s.sampleLoad(); s.sendCacheEvents() })
	for i, h := range s.hosts {
		s.every(time.Duration(i)*progressInterval/time.Duration(len(s.hosts)), progressInterval, func() { s.sendProgress(h) })
	}
	for i, e := range s.endpoints {
		s.every(time.Duration(i+1)*reportInterval/time.Duration(len(s.endpoints)), reportInterval, func() { s.sendReport(e) })
	}
}

func (s *sim) at(t time.Duration, fn func()) { s.timeline.add(max(t, s.now), fn) }

func (s *sim) after(d time.Duration, fn func()) { s.timeline.add(s.now+d, fn) }

func (s *sim) every(first, interval time.Duration, fn func()) {
	s.at(first, func() {
		fn()
		s.every(s.now+interval, interval, fn)
	})
}

func networkDelay(a, b string) time.Duration {
	if a == b {
		return delayWithinZone
	}
	return delayBetweenZones
}

func (s *sim) collect() {
	for _, l := range s.requests {
		if l.outcome == "" {
			s.audit.Unanswered(s.now, l.req.ID)
			l.outcome = OutcomeLost
		}
		s.result.Records = append(s.result.Records, l.record(s))
	}
	s.result.finalize(s)
}
