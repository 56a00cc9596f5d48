package acquirer

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

// link is the connection to one coordinator. Its fields are guarded by a.mu.
type link struct {
	a         *Acquirer
	addr      string
	connected bool
	// probing is true while an attempt to connect is in progress, and probedAt is the start of the last attempt or the time of
	// the last disconnect.
	probing  bool
	probedAt time.Time
	// failures counts the consecutive failed attempts and disconnects. A link that was closed because it was not used has none.
	failures int
	// closedUnused is true if the link was closed for that reason since the start of the last attempt to connect.
	closedUnused bool
	stream       Stream
	seq          uint64
	pending      *coordinatorpb.Report
	wake         chan struct{}
	cancel       context.CancelFunc
	waiting      map[uint64]chan *answer
	// fullReportSent is true once the full usage of this host was reported on this stream.
	fullReportSent bool
	// sentOriginSeq is the number of the last origin of a stream that was sent on this stream.
	sentOriginSeq uint64
	// receivedAt is the time of the last message, and unansweredSince the time of the first report that awaits an answer.
	receivedAt, unansweredSince time.Time
}

// answer is the answer of a coordinator to a placement request. One that is neither granted nor refused nor redirected to
// a spill zone means that the link was closed.
type answer struct {
	ticket    uint64
	choice    balancer.Choice
	queued    int
	refused   *admitter.RefusedError
	spillZone string
	granted   bool
}

// acquire sends a placement request to the coordinator and waits for its answer. It returns errCoordinatorLost,
// errAnswerTimeout or errAnswerMissing if there is none.
func (l *link) acquire(ctx context.Context, shard sharder.Shard, req admitter.Request, spilled bool) (*answer, error) {
	a := l.a
	p := &coordinatorpb.Ask{
		Shard: encodeShard(shard), Tier: uint32(max(req.Tier, 0)), PatienceMs: uint32(max(1, req.Patience.Milliseconds())),
		Work: encodeWork(req.Work), Spilled: spilled, Units: uint32(max(req.Units, 0)),
		Fingerprint: req.Fingerprint,
	}
	if req.Units > 0 {
		p.Workspace = coordinator.Digest(req.Workspace)
	}
	for id := range req.Except {
		p.Except = append(p.Except, coordinator.Digest(id))
	}
	result := make(chan *answer, 1)
	a.mu.Lock()
	if !l.connected {
		a.mu.Unlock()
		return nil, errCoordinatorLost
	}
	a.lastTicket++
	ticket := a.lastTicket
	p.Ticket = ticket
	l.waiting[ticket] = result
	l.requestAnswerLocked(func(r *coordinatorpb.Report) { r.Asks = append(r.Asks, p) })
	a.mu.Unlock()
	overdue := time.Now().Add(max(req.Patience, 0) + answerTimeout)
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case got := <-result:
			if !got.granted && got.refused == nil && got.spillZone == "" {
				return nil, errCoordinatorLost
			}
			return got, nil
		case <-ctx.Done():
			l.withdraw(ticket, result)
			return nil, ctx.Err()
		case <-timer.C:
			switch silence := l.checkSilence(); {
			case silence >= lossTimeout:
				l.fail("silent")
				return nil, errCoordinatorLost
			case silence >= answerTimeout:
				l.withdraw(ticket, result)
				return nil, errAnswerTimeout
			case !time.Now().Before(overdue):
				l.withdraw(ticket, result)
				klog.InfoS("asker: placement request not answered", "addr", l.addr, "ticket", ticket, "patience", req.Patience)
				return nil, errAnswerMissing
			}
			timer.Reset(pingInterval)
		}
	}
}

// checkSilence returns for how long the coordinator has owed an answer. If it owes none, checkSilence sends a ping and returns 0.
func (l *link) checkSilence() time.Duration {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	if !l.unansweredSince.IsZero() {
		return time.Since(l.unansweredSince)
	}
	l.requestAnswerLocked(func(*coordinatorpb.Report) {})
	return 0
}

// withdraw withdraws a placement request, and gives the place back if it was granted in the meantime.
func (l *link) withdraw(ticket uint64, result chan *answer) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	if _, waits := l.waiting[ticket]; waits {
		delete(l.waiting, ticket)
		l.reportLocked(func(p *coordinatorpb.Report) { p.Withdrawn = append(p.Withdrawn, ticket) })
		return
	}
	if got := <-result; got.granted && l.connected {
		l.reportLocked(releaseGrant(ticket))
	}
}

// releaseGrant returns the change to a report that gives a granted place back.
func releaseGrant(ticket uint64) func(*coordinatorpb.Report) {
	return func(p *coordinatorpb.Report) {
		p.Ends = append(p.Ends, &coordinatorpb.End{Ticket: ticket, Outcome: coordinatorpb.End_UNUSED})
	}
}

// reportLocked adds to the next report. The caller holds l.a.mu.
func (l *link) reportLocked(add func(*coordinatorpb.Report)) {
	if l.pending == nil {
		l.pending = &coordinatorpb.Report{}
	}
	add(l.pending)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// requestAnswerLocked adds to the next report and requests an immediate answer to it. The caller holds l.a.mu.
func (l *link) requestAnswerLocked(add func(*coordinatorpb.Report)) {
	l.reportLocked(add)
	l.pending.Answer = true
	if l.unansweredSince.IsZero() {
		l.unansweredSince = time.Now()
	}
}

// maintainLinks opens missing links, pings idle ones, and closes those that are unresponsive or no longer used.
func (a *Acquirer) maintainLinks(ctx context.Context, now time.Time) {
	hosts := a.ControlHosts()
	a.mu.Lock()
	defer a.mu.Unlock()
	needed := map[string]bool{}
	for zone, at := range a.zoneUsedAt {
		if now.Sub(at) > linkIdleTimeout {
			delete(a.zoneUsedAt, zone)
			continue
		}
		a.connectOwners(ctx, now, sharder.Owners(zone, hosts), needed)
	}
	for addr, l := range a.links {
		switch {
		case l.connected && !needed[addr] && len(l.waiting) == 0:
			l.closeLocked("not used")
			l.closedUnused, l.failures = true, 0
		case l.connected && !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= lossTimeout:
			l.closeLocked("silent")
			a.Network.DropSession(addr)
			a.wakeRun()
		case l.connected && now.Sub(l.receivedAt) >= idlePingInterval:
			l.requestAnswerLocked(func(*coordinatorpb.Report) {})
		}
	}
}

// connectOwners keeps the first connected coordinator and tries to connect to those before it. While none is connected, the next
// one is tried if the one before it does not answer within failoverDelay. The caller holds a.mu.
func (a *Acquirer) connectOwners(ctx context.Context, now time.Time, owners []sharder.Host, needed map[string]bool) {
	anyConnected := slices.ContainsFunc(owners, func(h sharder.Host) bool { return a.links[h.Addr] != nil && a.links[h.Addr].connected })
	for _, h := range owners {
		needed[h.Addr] = true
		l := a.links[h.Addr]
		if l == nil {
			l = &link{a: a, addr: h.Addr}
			a.links[h.Addr] = l
		}
		if l.connected {
			return
		}
		if !l.probing && now.Sub(l.probedAt) >= probeInterval {
			l.probing, l.probedAt = true, now
			a.wg.Go(func() { a.connect(ctx, l) })
		}
		if !anyConnected && l.probing && now.Sub(l.probedAt) < failoverDelay && l.failures == 0 {
			return
		}
	}
}

// connect opens the stream to a coordinator and reports the runs in progress.
func (a *Acquirer) connect(ctx context.Context, l *link) {
	a.mu.Lock()
	l.closedUnused = false
	a.mu.Unlock()
	opened := false
	defer func() {
		a.mu.Lock()
		l.probing = false
		l.failures++
		if opened || l.closedUnused {
			l.failures = 0
		}
		a.mu.Unlock()
		a.wakeRun()
	}()
	if a.Incarnation() == 0 || !a.probe(ctx, l.addr) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := a.Network.OpenStream(ctx, l.addr, coordinator.MethodPlace)
	if err != nil {
		cancel()
		klog.V(1).Infof("asker: stream not opened addr=%s reason=%q", l.addr, err)
		return
	}
	hello := &coordinatorpb.Report{Seq: 1, Answer: true, Hello: &coordinatorpb.Hello{
		Incarnation: a.Incarnation(), AgeMs: uint64(time.Since(a.started).Milliseconds()),
	}}
	if a.Windows != nil {
		hello.Hello.History = a.Windows()
	}
	now := time.Now()
	a.mu.Lock()
	l.stream, l.cancel, l.seq, l.pending = stream, cancel, 1, nil
	wake := make(chan struct{}, 1)
	l.waiting, l.wake = map[uint64]chan *answer{}, wake
	l.fullReportSent = false
	l.connected, l.receivedAt, l.unansweredSince = true, now, now
	a.origins.Sweep(now)
	origins, last := a.origins.All()
	hello.Hello.Streams, l.sentOriginSeq = coordinator.EncodeStreams(origins), last
	owner := map[string]*link{}
	hosts := a.ControlHosts()
	for _, ticket := range slices.Sorted(maps.Keys(a.runs)) {
		r := a.runs[ticket]
		if _, known := owner[r.shard.Zone]; !known {
			owner[r.shard.Zone] = a.firstConnected(r.shard.Zone, hosts)
		}
		if owner[r.shard.Zone] == l {
			r.link = l
			hello.Runs = append(hello.Runs, r.encode())
		}
	}
	a.mu.Unlock()
	if a.EndpointLimits != nil {
		// The link is connected, so a limit that changes from now on is reported.
		hello.Hello.Limits = a.EndpointLimits()
	}
	klog.InfoS("asker: coordinator reached", "addr", l.addr, "runs", len(hello.GetRuns()))
	if err := stream.Send(hello); err != nil {
		l.fail("hello not sent")
		return
	}
	opened = true
	a.wg.Go(func() { l.sendReports(ctx, stream, wake) })
	a.wg.Go(func() { l.receiveOrders(stream) })
}

// firstConnected returns the link to the first connected coordinator of a zone, or nil. The caller holds a.mu.
func (a *Acquirer) firstConnected(zone string, hosts []sharder.Host) *link {
	for _, h := range sharder.Owners(zone, hosts) {
		if l := a.links[h.Addr]; l != nil && l.connected {
			return l
		}
	}
	return nil
}

func (l *link) sendReports(ctx context.Context, stream Stream, wake chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		l.a.mu.Lock()
		if l.stream != stream {
			l.a.mu.Unlock()
			return
		}
		r := l.pending
		l.pending = nil
		if r != nil {
			l.seq++
			r.Seq = l.seq
		}
		l.a.mu.Unlock()
		if r == nil {
			continue
		}
		if err := stream.Send(r); err != nil {
			l.failStream(stream, "report not sent")
			return
		}
	}
}

func (l *link) receiveOrders(stream Stream) {
	for {
		o := &coordinatorpb.Orders{}
		if err := stream.Recv(o); err != nil {
			l.failStream(stream, err.Error())
			return
		}
		l.applyOrders(stream, o)
	}
}

// applyOrders delivers the orders of a coordinator to the requests that wait for them.
func (l *link) applyOrders(stream Stream, o *coordinatorpb.Orders) {
	a := l.a
	var names map[uint64]string
	if known := a.endpointNames.Load(); known != nil {
		names = *known
	}
	a.mu.Lock()
	if l.stream != stream {
		a.mu.Unlock()
		return
	}
	l.receivedAt, l.unansweredSince = time.Now(), time.Time{}
	for _, g := range o.GetGrants() {
		got := &answer{ticket: g.GetTicket(), granted: true, queued: int(g.GetQueued()), choice: balancer.Choice{
			Endpoint: balancer.Endpoint{ID: names[g.GetEndpoint()], Version: g.GetVersion()}, Cost: float64(g.GetCostMs()), Running: int(g.GetRunning()),
			PromptBacklog: int(g.GetUnread()), CachedTokens: int(g.GetKept()), PlacedBy: l.addr,
		}}
		if !l.deliver(g.GetTicket(), got) {
			l.reportLocked(releaseGrant(g.GetTicket()))
		}
	}
	for _, r := range o.GetRefusals() {
		l.deliver(r.GetTicket(), &answer{ticket: r.GetTicket(), refused: &admitter.RefusedError{
			Reason: admitter.Reason(r.GetReason()), RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond, QueueLength: int(r.GetQueue()),
			Taken: int(r.GetTaken()), Places: int(r.GetPlaces()),
		}})
	}
	for _, e := range o.GetElsewhere() {
		l.deliver(e.GetTicket(), &answer{ticket: e.GetTicket(), spillZone: e.GetZone()})
	}
	a.mu.Unlock()
	if o.GetOthers() != nil || o.GetVersions() != nil || len(o.GetCrashes())+len(o.GetCleared())+len(o.GetEvidence())+len(o.GetLimits()) > 0 {
		a.ApplyOrders(o)
	}
}

// deliver passes an answer to the request that waits for it. It returns false if none does. The caller holds l.a.mu.
func (l *link) deliver(ticket uint64, got *answer) bool {
	result, waits := l.waiting[ticket]
	if waits {
		delete(l.waiting, ticket)
		result <- got
	}
	return waits
}

// fail closes the link because of a failure.
func (l *link) fail(reason string) {
	l.a.mu.Lock()
	stream := l.stream
	l.a.mu.Unlock()
	l.failStream(stream, reason)
}

func (l *link) failStream(stream Stream, reason string) {
	a := l.a
	a.mu.Lock()
	if !l.connected || l.stream != stream {
		a.mu.Unlock()
		return
	}
	l.closeLocked(reason)
	a.mu.Unlock()
	a.Network.DropSession(l.addr)
	a.wakeRun()
}

// closeLocked closes the link. The waiting requests are sent to the next coordinator. The caller holds l.a.mu.
func (l *link) closeLocked(reason string) {
	klog.InfoS("asker: coordinator lost", "addr", l.addr, "waiting", len(l.waiting), "reason", reason)
	l.connected, l.probedAt = false, time.Now()
	l.failures++
	l.cancel()
	stream := l.stream
	l.stream = nil
	go func() {
		if err := stream.Close(); err != nil {
			klog.V(1).Infof("asker: stream not closed addr=%s reason=%q", l.addr, err)
		}
	}()
	for ticket, result := range l.waiting {
		delete(l.waiting, ticket)
		result <- &answer{}
	}
	for _, r := range l.a.runs {
		if r.link == l {
			l.a.track(r)
		}
	}
}
