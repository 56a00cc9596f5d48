// Package asker finds places for the requests of an entry host by asking the coordinators of its endpoints, and places by
// itself while none answers.
package asker

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
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

const (
	// silentFor is the time without a message after which a request is placed without the coordinator that was asked. It is several
	// times what a busy one needs, and a fraction of the time in which a request must begin.
	silentFor = 200 * time.Millisecond
	// lostFor is the time after which the coordinator counts as lost. It covers a packet that is lost once: the one sent again comes
	// 200 to 400 ms later, and all that follows waits for it.
	lostFor = 500 * time.Millisecond
	// pingAfter is the silence after which a coordinator that holds a request back is asked for a sign of life.
	pingAfter = 100 * time.Millisecond
	// probeInterval is the time between two attempts to reach a coordinator that does not answer.
	probeInterval = 250 * time.Millisecond
	// nextAfter is the time after which the next coordinator is tried while one has not answered.
	nextAfter = 50 * time.Millisecond
	// probeTimeout bounds one of them.
	probeTimeout = 300 * time.Millisecond
	// tellInterval is the time between two reports of what this host has used.
	tellInterval = 100 * time.Millisecond
	// idlePing is the time after which a link without reports is checked.
	idlePing = 250 * time.Millisecond
	// maxAsks bounds the coordinators that are asked for one request.
	maxAsks = 4
	// wantedFor is how long after its last use the link for a zone is kept up.
	wantedFor = 30 * time.Second
)

var countPlaced = expvar.NewMap("asker_placed")

// errLost reports a coordinator that was lost while it was asked, and errSlow one that has not answered for silentFor.
var (
	errLost = errors.New("the coordinator is lost")
	errSlow = errors.New("the coordinator does not answer")
)

// Stream carries messages in both directions in order.
type Stream = coordinator.Stream

// Network carries exchanges with coordinators.
type Network interface {
	coordinator.Network
	Open(ctx context.Context, addr, method string) (Stream, error)
	// DropSession closes the connection to a host, so that the next exchange opens a new one.
	DropSession(addr string)
}

// Asker asks for places. Set the exported fields before Run.
type Asker struct {
	Zone    string
	Network Network
	// Hosts returns the control hosts.
	Hosts func() []sharder.Host
	// Incarnation counts the processes of this host.
	Incarnation func() uint64
	// Local knows the endpoints, and places while no coordinator answers.
	Local *admitter.Admitter
	// Admit takes units from the allotment of a workspace by what this host alone knows, for requests that no coordinator checks;
	// it may be nil.
	Admit func(workspace string, units float64) (ok bool, retryAfter time.Duration)
	// Tell adds what the other hosts should know to a report, all of it or what is new; it returns false if there is nothing.
	Tell func(r *coordinatorpb.Report, all bool) bool
	// Windows returns the windows of allotments as this host knows them; it may be nil.
	Windows func() *coordinatorpb.Uses
	// Heard takes what other hosts have used and seen.
	Heard func(*coordinatorpb.Orders)

	started time.Time
	shards  atomic.Pointer[sharder.Map]
	names   atomic.Pointer[map[uint64]string]

	mu     sync.Mutex
	ctx    context.Context
	ticket uint64
	links  map[string]*link
	// lastTold is the link by which others were last told what this host has used and seen.
	lastTold *link
	runs     map[uint64]*run
	// wanted are the zones whose coordinators are in use, with the time of the last use.
	wanted map[string]time.Time
	wake   chan struct{}
	wg     sync.WaitGroup
}

// Init prepares the state. Call it before Run and Acquire.
func (a *Asker) Init() {
	a.started = time.Now()
	a.links, a.runs, a.wanted = map[string]*link{}, map[uint64]*run{}, map[string]time.Time{}
	a.wake = make(chan struct{}, 1)
}

// SetEndpoints replaces the list of endpoints.
func (a *Asker) SetEndpoints(list []balancer.Endpoint) {
	shards := make([]sharder.Endpoint, 0, len(list))
	names := make(map[uint64]string, len(list))
	for _, e := range list {
		shards = append(shards, sharder.Endpoint{Pool: e.Pool, Zone: e.Zone})
		names[coordinator.Digest(e.ID)] = e.ID
	}
	a.names.Store(&names)
	a.shards.Store(sharder.New(shards))
	a.poke()
}

// poke lets Run look at the links at once.
func (a *Asker) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run keeps links to the coordinators in use until ctx ends.
func (a *Asker) Run(ctx context.Context) error {
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	defer a.wg.Wait()
	tick := time.NewTicker(tellInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			a.tell()
		case <-a.wake:
		}
		a.keepLinks(ctx, time.Now())
	}
}

// Reader returns the address of the coordinator that adds up for this host, if it can be reached.
func (a *Asker) Reader() string {
	if l := a.home(); l != nil {
		return l.addr
	}
	return ""
}

// home returns the link to the coordinator that adds up the use of allotments.
func (a *Asker) home() *link {
	shards := a.shards.Load()
	zone := ""
	if shards != nil {
		zone = shards.Meeting(a.Zone)
	}
	return a.linkFor(zone)
}

// linkFor returns the link to the first coordinator of a zone that can be reached, or nil.
func (a *Asker) linkFor(zone string) *link {
	owners := sharder.Owners(zone, a.Hosts())
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.wanted[zone]; !known {
		a.poke()
	}
	a.wanted[zone] = time.Now()
	for _, h := range owners {
		if l := a.links[h.Addr]; l != nil && l.up {
			return l
		}
	}
	return nil
}

// tell reports what this host has used to its home.
func (a *Asker) tell() {
	l := a.home()
	if l == nil {
		return
	}
	a.mu.Lock()
	// What was told to another coordinator since may be lost with that one.
	all := !l.usesTold || a.lastTold != l
	a.mu.Unlock()
	r := &coordinatorpb.Report{}
	if !a.Tell(r, all) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !l.up {
		a.lastTold = nil
		return
	}
	a.lastTold = l
	l.usesTold = l.usesTold || all
	l.reportLocked(func(p *coordinatorpb.Report) {
		if p.Uses == nil {
			p.Uses = &coordinatorpb.Uses{}
		}
		proto.Merge(p.Uses, r.GetUses())
		p.Crashes, p.Cleared = append(p.Crashes, r.GetCrashes()...), append(p.Cleared, r.GetCleared()...)
	})
}

// Notice tells the coordinators what an endpoint has said of itself.
func (a *Asker) Notice(endpoint string, leaving, returned bool, hold time.Duration) {
	n := &coordinatorpb.Notice{
		Endpoint: coordinator.Digest(endpoint), Leaving: leaving, Returned: returned, HoldMs: uint32(hold.Milliseconds()),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.up {
			l.reportLocked(func(p *coordinatorpb.Report) { p.Notices = append(p.Notices, n) })
		}
	}
}

// Stated tells the coordinators with the next report how long work takes at an endpoint, in percent of the usual time.
func (a *Asker) Stated(endpoint string, percent float64) {
	p := &coordinatorpb.Stated{Endpoint: coordinator.Digest(endpoint), Percent: uint32(percent)}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.up {
			if l.pending == nil {
				l.pending = &coordinatorpb.Report{}
			}
			l.pending.Stated = append(l.pending.Stated, p)
		}
	}
}

// Checks implements the gateway's Placer.
func (a *Asker) Checks(pool string) bool {
	shards := a.shards.Load()
	return shards != nil && a.linkFor(shards.Home(pool, a.Zone).Zone) != nil
}

// Acquire implements the gateway's Placer.
func (a *Asker) Acquire(ctx context.Context, ask admitter.Ask) (*admitter.Grant, error) {
	began := time.Now()
	shards := a.shards.Load()
	if shards == nil {
		return a.Local.Acquire(ctx, ask)
	}
	shard, spilled := shards.Home(ask.Pool, a.Zone), false
	except := ask.Except
	for range maxAsks {
		left := ask
		left.Patience, left.Except = ask.Patience-time.Since(began), except
		l := a.linkFor(shard.Zone)
		if l == nil && spilled {
			// The coordinator of the other zone is not reached yet.
			shard = shards.Home(ask.Pool, a.Zone)
			l = a.linkFor(shard.Zone)
		}
		if l == nil || left.Patience <= 0 {
			break
		}
		answer, err := l.ask(ctx, shard, left, spilled)
		switch {
		case errors.Is(err, errLost):
			countPlaced.Add("lost", 1)
			continue
		case errors.Is(err, errSlow):
			return a.placeLocally(ctx, shard, ask, began)
		case err != nil:
			return nil, err
		case answer.elsewhere != "":
			shard.Zone, spilled = answer.elsewhere, true
			continue
		case answer.refused != nil:
			answer.refused.Waited = time.Since(began)
			return nil, answer.refused
		}
		if g, ok := a.adopt(l, shard, answer, left); ok {
			countPlaced.Add("granted", 1)
			return g, nil
		}
		// The endpoint is not known here yet, or has turned this host away.
		countPlaced.Add("declined", 1)
		id := answer.choice.Endpoint.ID
		more := map[string]bool{id: true}
		for name := range except {
			more[name] = true
		}
		except = more
	}
	return a.placeLocally(ctx, shard, ask, began)
}

// placeLocally places a request by what this host alone knows.
func (a *Asker) placeLocally(ctx context.Context, shard sharder.Shard, ask admitter.Ask, began time.Time) (*admitter.Grant, error) {
	countPlaced.Add("locally", 1)
	ask.Patience = max(0, ask.Patience-time.Since(began))
	klog.V(1).InfoS("asker: placed without a coordinator", "pool", shard.Pool, "zone", shard.Zone, "waited", time.Since(began))
	if a.Admit != nil && ask.Units > 0 {
		if ok, retry := a.Admit(ask.Workspace, ask.Units); !ok {
			return nil, &admitter.RefusedError{Reason: admitter.Allotment, Waited: time.Since(began), RetryAfter: retry}
		}
	}
	g, err := a.Local.Acquire(ctx, ask)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	a.ticket++
	r := &run{a: a, ticket: a.ticket, shard: shard, endpoint: g.Choice.Endpoint.ID, work: ask.Work}
	a.track(r)
	a.mu.Unlock()
	g.Watch(r)
	return g, nil
}

// track notes a run, and tells it to the coordinator of its shard unless that one has placed it. The caller holds the lock.
func (a *Asker) track(r *run) {
	a.runs[r.ticket] = r
	if r.link != nil && r.link.up {
		return
	}
	if r.link = a.firstUp(r.shard.Zone, a.Hosts()); r.link != nil {
		r.link.reportLocked(func(p *coordinatorpb.Report) { p.Runs = append(p.Runs, r.message()) })
	}
}

// adopt takes a granted place.
func (a *Asker) adopt(l *link, shard sharder.Shard, answer *answer, ask admitter.Ask) (*admitter.Grant, bool) {
	r := &run{a: a, ticket: answer.ticket, shard: shard, endpoint: answer.choice.Endpoint.ID, work: ask.Work, link: l}
	a.mu.Lock()
	a.track(r)
	a.mu.Unlock()
	g, ok := a.Local.Adopt(time.Now(), answer.choice, ask.Work, r)
	if !ok {
		r.ended(coordinatorpb.End_UNUSED, 0)
		return nil, false
	}
	g.Queued = answer.queued
	return g, true
}

// run is a request in progress that a coordinator knows of, or will know of.
type run struct {
	a        *Asker
	ticket   uint64
	shard    sharder.Shard
	endpoint string
	work     balancer.Work
	// link is where the run was told, and read is true once its first event has arrived. The asker's lock covers both.
	link *link
	read bool
}

// FirstEvent implements admitter.Watcher.
func (r *run) FirstEvent() {
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	r.read = true
	if r.link != nil {
		r.link.reportLocked(func(p *coordinatorpb.Report) { p.FirstEvents = append(p.FirstEvents, r.ticket) })
	}
}

// outcomes are the message forms of outcomes.
var outcomes = map[admitter.Outcome]coordinatorpb.End_Outcome{
	admitter.Answered: coordinatorpb.End_ANSWERED, admitter.Failed: coordinatorpb.End_FAILED, admitter.NotRun: coordinatorpb.End_NOT_RUN,
	admitter.Replaced: coordinatorpb.End_REPLACED, admitter.Unreachable: coordinatorpb.End_UNREACHABLE,
	admitter.Abandoned: coordinatorpb.End_ABANDONED,
}

// Ended implements admitter.Watcher.
func (r *run) Ended(o admitter.Outcome, pace float64) { r.ended(outcomes[o], pace) }

func (r *run) ended(o coordinatorpb.End_Outcome, pace float64) {
	r.a.mu.Lock()
	defer r.a.mu.Unlock()
	delete(r.a.runs, r.ticket)
	if r.link != nil {
		r.link.reportLocked(func(p *coordinatorpb.Report) {
			p.Ends = append(p.Ends, &coordinatorpb.End{Ticket: r.ticket, Outcome: o, PaceUs: uint32(max(pace, 0) * 1000)})
		})
	}
}

func (r *run) message() *coordinatorpb.Run {
	return &coordinatorpb.Run{
		Ticket: r.ticket, Shard: encodeShard(r.shard), Endpoint: coordinator.Digest(r.endpoint), Work: encodeWork(r.work), Read: r.read,
	}
}

func encodeShard(s sharder.Shard) *coordinatorpb.Shard {
	return &coordinatorpb.Shard{Pool: s.Pool, Zone: s.Zone}
}

func encodeWork(w balancer.Work) *coordinatorpb.Work {
	p := &coordinatorpb.Work{
		Prompt: uint32(max(w.Prompt, 0)), Output: uint32(max(w.Output, 0)), TokensPerEvent: uint32(max(w.TokensPerEvent, 0)),
		EventGapMs: uint32(w.EventGap.Milliseconds()),
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

// ready asks whether a coordinator serves.
func (a *Asker) ready(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := &coordinatorpb.ReadyReply{}
	if err := a.Network.Call(ctx, addr, coordinator.MethodReady, &coordinatorpb.ReadyRequest{}, reply); err != nil {
		klog.V(1).Infof("asker: coordinator not reached addr=%s reason=%q", addr, err)
		return false
	}
	return reply.GetReady()
}
