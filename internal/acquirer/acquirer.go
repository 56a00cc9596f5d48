// Package acquirer acquires places for the requests of an entry host from the coordinators of its endpoints, and places requests
// locally while no coordinator answers.
package acquirer

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

const (
	// answerTimeout is the time without a message from the coordinator after which a request is placed locally. It is several
	// times what a busy coordinator needs, and a fraction of the time in which a request must begin.
	answerTimeout = 200 * time.Millisecond
	// lossTimeout is the time without a message after which the coordinator counts as lost. It covers one lost packet: the
	// retransmission arrives 200 to 400 ms later and delays everything sent after it.
	lossTimeout = 500 * time.Millisecond
	// pingInterval is the time after which a coordinator that has not decided about a placement request is pinged again.
	pingInterval = 100 * time.Millisecond
	// probeInterval is the time between two attempts to connect to a coordinator.
	probeInterval = 250 * time.Millisecond
	// failoverDelay is the time after which the next coordinator is probed while the one before it has not answered.
	failoverDelay = 50 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
	// reportInterval is the time between two reports of this host's allotment usage.
	reportInterval = 100 * time.Millisecond
	// idlePingInterval is the time without a message after which a coordinator is pinged.
	idlePingInterval = 250 * time.Millisecond
	// maxAsks bounds the placement requests sent to coordinators for one request.
	maxAsks = 4
	// linkIdleTimeout is how long after its last use the link for a zone is kept open.
	linkIdleTimeout = 30 * time.Second
)

var countPlaced = expvar.NewMap("asker_placed")

// errCoordinatorLost reports that the link closed while a placement request was pending, and errAnswerTimeout that no
// message arrived for answerTimeout. errAnswerMissing reports that messages arrived, but no answer within the patience.
var (
	errCoordinatorLost = errors.New("coordinator connection lost")
	errAnswerTimeout   = errors.New("coordinator did not answer in time")
	errAnswerMissing   = errors.New("coordinator did not answer the placement request")
)

// Stream is an ordered, bidirectional message stream.
type Stream = coordinator.Stream

// Network calls coordinators and opens streams to them.
type Network interface {
	coordinator.Network
	OpenStream(ctx context.Context, addr, method string) (Stream, error)
	// DropSession closes the connection to a host, so that the next call opens a new one.
	DropSession(addr string)
}

// Acquirer acquires places. Set the exported fields before Run.
type Acquirer struct {
	Zone    string
	Network Network
	// The control hosts.
	ControlHosts func() []sharder.Host
	// Incarnation returns the number of this process among the processes of this host; 0 while it is not known.
	Incarnation func() uint64
	// Local holds the endpoints, and places requests while no coordinator answers.
	Local *admitter.Admitter
	// ChargeAllotment takes units from the allotment of a workspace by the state of this host alone, for requests that no
	// coordinator checks; it may be nil.
	ChargeAllotment func(workspace string, units float64) (ok bool, retryAfter time.Duration)
	// Adds this host's allotment usage and crashes to a report: all of them, or the changes since the last call. Returns false
	// if there is nothing to report.
	FillReport func(r *coordinatorpb.Report, all bool) bool
	// This host's view of the allotment windows; the function may be nil.
	Windows func() *coordinatorpb.Uses
	// EndpointLimits returns the limits of endpoints that this host knows; the function may be nil.
	EndpointLimits func() []*coordinatorpb.EndpointLimit
	// Applies the usage, the crashes and the limits that other hosts have reported.
	ApplyOrders func(*coordinatorpb.Orders)
	// OnOrigin is called after this host has recorded or changed the origin of a stream; it may be nil.
	OnOrigin func()

	started       time.Time
	shards        atomic.Pointer[sharder.Map]
	endpointNames atomic.Pointer[map[uint64]string]

	mu         sync.Mutex
	ctx        context.Context
	lastTicket uint64
	links      map[string]*link
	// lastReportedTo is the link that the last usage report of this host was sent on.
	lastReportedTo *link
	runs           map[uint64]*run
	// zoneUsedAt are the times of the last use of each zone's coordinator.
	zoneUsedAt map[string]time.Time
	origins    registrar.Registry
	// listedVersions are the versions in the endpoint list by endpoint, and poolVersions by pool.
	listedVersions map[string]string
	poolVersions   map[string]map[string]bool
	// recentVersions are the times at which the versions of each pool were last listed, as far as origins are kept.
	recentVersions map[string]map[string]time.Time
	originsEpoch   uint64
	wake           chan struct{}
	wg             sync.WaitGroup
}

// Init initializes the state. Call it before Run and Acquire.
func (a *Acquirer) Init() {
	a.started = time.Now()
	a.links, a.runs, a.zoneUsedAt = map[string]*link{}, map[uint64]*run{}, map[string]time.Time{}
	a.recentVersions = map[string]map[string]time.Time{}
	a.wake = make(chan struct{}, 1)
}

// SetEndpoints replaces the list of endpoints.
func (a *Acquirer) SetEndpoints(list []balancer.Endpoint) {
	shards := make([]sharder.Endpoint, 0, len(list))
	names := make(map[uint64]string, len(list))
	for _, e := range list {
		shards = append(shards, sharder.Endpoint{Pool: e.Pool, Zone: e.Zone})
		names[coordinator.Digest(e.ID)] = e.ID
	}
	a.applyVersions(list)
	a.endpointNames.Store(&names)
	a.shards.Store(sharder.New(shards))
	a.wakeRun()
}

// wakeRun makes Run check the links at once.
func (a *Acquirer) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run maintains links to the coordinators in use until ctx ends.
func (a *Acquirer) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	defer a.wg.Wait()
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			a.sendUsage()
			a.sendOrigins()
		case <-a.wake:
		}
		a.maintainLinks(ctx, time.Now())
	}
}

// HomeAddr returns the address of the coordinator that adds up this host's allotment usage, or "" if it is not connected.
func (a *Acquirer) HomeAddr() string {
	if l := a.homeLink(); l != nil {
		return l.addr
	}
	return ""
}

// homeLink returns the link to the coordinator that adds up this host's allotment usage, or nil.
func (a *Acquirer) homeLink() *link {
	shards := a.shards.Load()
	zone := ""
	if shards != nil {
		zone = shards.AggregationZone(a.Zone)
	}
	return a.linkFor(zone)
}

// linkFor returns the link to the first connected coordinator of a zone, or nil. It marks the zone as used.
func (a *Acquirer) linkFor(zone string) *link {
	owners := sharder.Owners(zone, a.ControlHosts())
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.zoneUsedAt[zone]; !known {
		a.wakeRun()
	}
	a.zoneUsedAt[zone] = time.Now()
	for _, h := range owners {
		if l := a.links[h.Addr]; l != nil && l.connected {
			return l
		}
	}
	return nil
}

// sendUsage adds this host's allotment usage and crashes to the next report to its home coordinator.
func (a *Acquirer) sendUsage() {
	l := a.homeLink()
	if l == nil {
		return
	}
	a.mu.Lock()
	// Changes reported to another coordinator since may have been lost with it.
	all := !l.fullReportSent || a.lastReportedTo != l
	a.mu.Unlock()
	r := &coordinatorpb.Report{}
	if !a.FillReport(r, all) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !l.connected {
		a.lastReportedTo = nil
		return
	}
	a.lastReportedTo = l
	l.fullReportSent = l.fullReportSent || all
	l.reportLocked(func(p *coordinatorpb.Report) {
		if p.Uses == nil {
			p.Uses = &coordinatorpb.Uses{}
		}
		proto.Merge(p.Uses, r.GetUses())
		p.Crashes, p.Cleared = append(p.Crashes, r.GetCrashes()...), append(p.Cleared, r.GetCleared()...)
		p.Evidence = append(p.Evidence, r.GetEvidence()...)
	})
}

// Checks implements the gateway's Placer.
func (a *Acquirer) Checks(pool string) bool {
	shards := a.shards.Load()
	return shards != nil && a.linkFor(shards.HomeShard(pool, a.Zone).Zone) != nil
}

// Acquire implements the gateway's Placer.
func (a *Acquirer) Acquire(ctx context.Context, req admitter.Request) (*admitter.Grant, error) {
	began := time.Now()
	shards := a.shards.Load()
	if shards == nil {
		return a.Local.Acquire(ctx, req)
	}
	shard, spilled := shards.HomeShard(req.Pool, a.Zone), false
	var zones []string
	if req.Work.Bound && shard.Zone != "" {
		shard.Zone, zones = a.boundZones(began, shard.Zone, req)
		a.awaitOwner(ctx, shard.Zone)
	}
	except := req.Except
	var refused *admitter.RefusedError
	for range maxAsks {
		attempt := req
		attempt.Patience, attempt.Except = req.Patience-time.Since(began), except
		// Leave time for the other zones.
		attempt.Patience /= time.Duration(1 + len(zones))
		l := a.linkFor(shard.Zone)
		if l == nil && spilled {
			// The coordinator of the other zone is not connected yet.
			shard = shards.HomeShard(req.Pool, a.Zone)
			l = a.linkFor(shard.Zone)
		}
		if l == nil || attempt.Patience <= 0 {
			break
		}
		answer, err := l.acquire(ctx, shard, attempt, spilled)
		switch {
		case errors.Is(err, errCoordinatorLost):
			countPlaced.Add("lost", 1)
			continue
		case errors.Is(err, errAnswerTimeout):
			return a.placeLocally(ctx, shard, req, began)
		case errors.Is(err, errAnswerMissing):
			countPlaced.Add("missing", 1)
			return nil, &admitter.RefusedError{Reason: admitter.Waited, Waited: time.Since(began), RetryAfter: answerTimeout}
		case err != nil:
			return nil, err
		case answer.spillZone != "":
			shard.Zone, spilled = answer.spillZone, true
			continue
		case answer.refused != nil:
			refused = answer.refused
			refused.Waited = time.Since(began)
			if refused.Reason == admitter.AllotmentExhausted || len(zones) == 0 {
				return nil, refused
			}
			shard.Zone, zones = zones[0], zones[1:]
			a.awaitOwner(ctx, shard.Zone)
			continue
		}
		if g, ok := a.adoptGrant(l, shard, answer, attempt); ok {
			countPlaced.Add("granted", 1)
			g.Choice.LeftZone = spilled
			return g, nil
		}
		// The endpoint is not in this host's list yet, has rejected this host, or is listed here with another version.
		countPlaced.Add("declined", 1)
		id := answer.choice.Endpoint.ID
		extended := map[string]bool{id: true}
		for name := range except {
			extended[name] = true
		}
		except = extended
	}
	if refused != nil {
		return nil, refused
	}
	return a.placeLocally(ctx, shard, req, began)
}

// placeLocally places a request without a coordinator, by the state of this host alone.
func (a *Acquirer) placeLocally(ctx context.Context, shard sharder.Shard, req admitter.Request, began time.Time) (*admitter.Grant, error) {
	countPlaced.Add("locally", 1)
	req.Patience = max(0, req.Patience-time.Since(began))
	klog.V(1).InfoS("asker: placed without a coordinator", "pool", shard.Pool, "zone", shard.Zone, "waited", time.Since(began))
	if a.ChargeAllotment != nil && req.Units > 0 {
		if ok, retry := a.ChargeAllotment(req.Workspace, req.Units); !ok {
			return nil, &admitter.RefusedError{Reason: admitter.AllotmentExhausted, Waited: time.Since(began), RetryAfter: retry}
		}
	}
	g, err := a.Local.Acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.lastTicket++
	if shard.Zone != "" {
		shard.Zone = g.Choice.Endpoint.Zone
	}
	r := &run{a: a, ticket: a.lastTicket, shard: shard, endpoint: g.Choice.Endpoint.ID, work: req.Work}
	a.track(r)
	a.mu.Unlock()
	g.SetObserver(r)
	return g, nil
}

// track records a run and reports it to the coordinator of its shard, unless the one that placed it is still connected. The
// caller holds a.mu.
func (a *Acquirer) track(r *run) {
	a.runs[r.ticket] = r
	if r.link != nil && r.link.connected {
		return
	}
	if r.link = a.firstConnected(r.shard.Zone, a.ControlHosts()); r.link != nil {
		r.link.reportLocked(func(p *coordinatorpb.Report) { p.Runs = append(p.Runs, r.encode()) })
	}
}

// adoptGrant starts a run at a granted place. It returns false and gives the place back if the endpoint is not usable here.
func (a *Acquirer) adoptGrant(l *link, shard sharder.Shard, answer *answer, req admitter.Request) (*admitter.Grant, bool) {
	r := &run{a: a, ticket: answer.ticket, shard: shard, endpoint: answer.choice.Endpoint.ID, work: req.Work, link: l}
	a.mu.Lock()
	a.track(r)
	a.mu.Unlock()
	g, ok := a.Local.AddRemoteRun(time.Now(), answer.choice, req.Work, r)
	if !ok {
		r.reportEnd(coordinatorpb.End_UNUSED, 0)
		return nil, false
	}
	g.QueueLength = answer.queued
	return g, true
}

// run is a request in progress that is reported to a coordinator.
type run struct {
	a        *Acquirer
	ticket   uint64
	shard    sharder.Shard
	endpoint string
	work     balancer.Work
	// link is where the run was reported, and firstEventSeen is true once its first event has arrived; guarded by a.mu.
	link           *link
	firstEventSeen bool
}

// FirstEvent implements admitter.RunObserver.
func (r *run) FirstEvent() {
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	r.firstEventSeen = true
	if r.link != nil {
		r.link.reportLocked(func(p *coordinatorpb.Report) { p.FirstEvents = append(p.FirstEvents, r.ticket) })
	}
}

// outcomeCodes maps outcomes to their message form.
var outcomeCodes = map[admitter.Outcome]coordinatorpb.End_Outcome{
	admitter.Answered: coordinatorpb.End_ANSWERED, admitter.Failed: coordinatorpb.End_FAILED, admitter.NotRun: coordinatorpb.End_NOT_RUN,
	admitter.Replaced: coordinatorpb.End_REPLACED, admitter.Unreachable: coordinatorpb.End_UNREACHABLE,
	admitter.Abandoned: coordinatorpb.End_ABANDONED, admitter.Rejected: coordinatorpb.End_REJECTED,
}

// Ended implements admitter.RunObserver.
func (r *run) Ended(o admitter.Outcome, pace float64) { r.reportEnd(outcomeCodes[o], pace) }

func (r *run) reportEnd(o coordinatorpb.End_Outcome, pace float64) {
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	delete(r.a.runs, r.ticket)
	if r.link != nil {
		r.link.reportLocked(func(p *coordinatorpb.Report) {
			p.Ends = append(p.Ends, &coordinatorpb.End{Ticket: r.ticket, Outcome: o, PaceUs: uint32(max(pace, 0) * 1000)})
		})
	}
}

func (r *run) encode() *coordinatorpb.Run {
	return &coordinatorpb.Run{
		Ticket: r.ticket, Shard: encodeShard(r.shard), Endpoint: coordinator.Digest(r.endpoint), Work: encodeWork(r.work), Read: r.firstEventSeen,
	}
}

func encodeShard(s sharder.Shard) *coordinatorpb.Shard {
	return &coordinatorpb.Shard{Pool: s.Pool, Zone: s.Zone}
}

func encodeWork(w balancer.Work) *coordinatorpb.Work {
	p := &coordinatorpb.Work{
		Prompt: uint32(max(w.Prompt, 0)), Output: uint32(max(w.Output, 0)), TokensPerEvent: uint32(max(w.TokensPerEvent, 0)),
		EventGapMs: uint32(w.EventGap.Milliseconds()), Bound: w.Bound, Version: w.Version,
	}
	if !w.Deadline.IsZero() {
		p.LeftMs = uint32(max(1, time.Until(w.Deadline).Milliseconds()))
	}
	for _, part := range w.Parts {
		p.Part = append(p.Part, part.Key)
		p.PartTokens = append(p.PartTokens, uint32(max(part.Tokens, 0)))
	}
	return p
}

// probe reports whether a coordinator can be reached and is ready to serve.
func (a *Acquirer) probe(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := &coordinatorpb.ReadyReply{}
	if err := a.Network.Call(ctx, addr, coordinator.MethodReady, &coordinatorpb.ReadyRequest{}, reply); err != nil {
		klog.V(1).Infof("asker: coordinator not reached addr=%s reason=%q", addr, err)
		return false
	}
	return reply.GetReady()
}
