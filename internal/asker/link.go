package asker

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

// link is the connection with one coordinator. The asker's lock covers its fields.
type link struct {
	a    *Asker
	addr string
	up   bool
	// probing is true while an attempt to reach the coordinator is in progress, and probedAt the time of the last one.
	probing  bool
	probedAt time.Time
	// failures counts the attempts in a row that have failed.
	failures int
	stream   Stream
	seq      uint64
	pending  *coordinatorpb.Report
	wake     chan struct{}
	cancel   context.CancelFunc
	waiting  map[uint64]chan *answer
	// usesTold is true once the coordinator was told all that this host has used.
	usesTold bool
	// heardAt is when the coordinator was heard last, and unheardSince the time of the first report that it has not answered yet.
	heardAt, unheardSince time.Time
}

// answer is what a coordinator says to an ask. One that is neither granted nor refused nor sent elsewhere means that the
// coordinator is lost.
type answer struct {
	ticket    uint64
	choice    balancer.Choice
	queued    int
	refused   *admitter.RefusedError
	elsewhere string
	granted   bool
}

// ask asks the coordinator and waits for its answer.
func (l *link) ask(ctx context.Context, shard sharder.Shard, ask admitter.Ask, spilled bool) (*answer, error) {
	a := l.a
	p := &coordinatorpb.Ask{
		Shard: encodeShard(shard), Tier: uint32(max(ask.Tier, 0)), PatienceMs: uint32(max(1, ask.Patience.Milliseconds())),
		Work: encodeWork(ask.Work), Spilled: spilled, Units: uint32(max(ask.Units, 0)),
	}
	if ask.Units > 0 {
		p.Workspace = coordinator.Digest(ask.Workspace)
	}
	for id := range ask.Except {
		p.Except = append(p.Except, coordinator.Digest(id))
	}
	result := make(chan *answer, 1)
	a.mu.Lock()
	if !l.up {
		a.mu.Unlock()
		return nil, errLost
	}
	a.ticket++
	ticket := a.ticket
	p.Ticket = ticket
	l.waiting[ticket] = result
	l.question(func(r *coordinatorpb.Report) { r.Asks = append(r.Asks, p) })
	a.mu.Unlock()
	timer := time.NewTimer(silentFor)
	defer timer.Stop()
	for {
		select {
		case got := <-result:
			if !got.granted && got.refused == nil && got.elsewhere == "" {
				return nil, errLost
			}
			return got, nil
		case <-ctx.Done():
			l.withdraw(ticket, result)
			return nil, ctx.Err()
		case <-timer.C:
			switch silence := l.silence(); {
			case silence >= lostFor:
				l.fail("silent")
				return nil, errLost
			case silence >= silentFor:
				l.withdraw(ticket, result)
				return nil, errSlow
			}
			timer.Reset(pingAfter)
		}
	}
}

// silence returns for how long the coordinator has not answered, and asks it for a sign of life if it owes none.
func (l *link) silence() time.Duration {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	if !l.unheardSince.IsZero() {
		return time.Since(l.unheardSince)
	}
	l.question(func(*coordinatorpb.Report) {})
	return 0
}

// withdraw takes an ask back.
func (l *link) withdraw(ticket uint64, result chan *answer) {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	if _, waits := l.waiting[ticket]; waits {
		delete(l.waiting, ticket)
		l.reportLocked(func(p *coordinatorpb.Report) { p.Withdrawn = append(p.Withdrawn, ticket) })
		return
	}
	if got := <-result; got.granted && l.up {
		l.reportLocked(unused(ticket))
	}
}

// unused gives a granted place back.
func unused(ticket uint64) func(*coordinatorpb.Report) {
	return func(p *coordinatorpb.Report) {
		p.Ends = append(p.Ends, &coordinatorpb.End{Ticket: ticket, Outcome: coordinatorpb.End_UNUSED})
	}
}

// reportLocked adds to the next report. The caller holds the lock.
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

// question adds to the next report, which the coordinator answers at once. The caller holds the lock.
func (l *link) question(add func(*coordinatorpb.Report)) {
	l.reportLocked(add)
	l.pending.Answer = true
	if l.unheardSince.IsZero() {
		l.unheardSince = time.Now()
	}
}

// keepLinks opens links that are missing, tells silent ones something, and closes those that are not used any more.
func (a *Asker) keepLinks(ctx context.Context, now time.Time) {
	hosts := a.Hosts()
	a.mu.Lock()
	defer a.mu.Unlock()
	needed := map[string]bool{}
	for zone, at := range a.wanted {
		if now.Sub(at) > wantedFor {
			delete(a.wanted, zone)
			continue
		}
		a.seek(ctx, now, sharder.Owners(zone, hosts), needed)
	}
	for addr, l := range a.links {
		switch {
		case l.up && !needed[addr] && len(l.waiting) == 0:
			l.closeLocked("not used")
		case l.up && !l.unheardSince.IsZero() && now.Sub(l.unheardSince) >= lostFor:
			l.closeLocked("silent")
			a.Network.DropSession(addr)
			a.poke()
		case l.up && now.Sub(l.heardAt) >= idlePing:
			l.question(func(*coordinatorpb.Report) {})
		}
	}
}

// seek keeps the first coordinator that is up, and tries to reach those before it. While none is up, the next one is tried if
// the one before does not answer soon. The caller holds the lock.
func (a *Asker) seek(ctx context.Context, now time.Time, owners []sharder.Host, needed map[string]bool) {
	up := slices.ContainsFunc(owners, func(h sharder.Host) bool { return a.links[h.Addr] != nil && a.links[h.Addr].up })
	for _, h := range owners {
		needed[h.Addr] = true
		l := a.links[h.Addr]
		if l == nil {
			l = &link{a: a, addr: h.Addr}
			a.links[h.Addr] = l
		}
		if l.up {
			return
		}
		if !l.probing && now.Sub(l.probedAt) >= probeInterval {
			l.probing, l.probedAt = true, now
			a.wg.Go(func() { a.open(ctx, l) })
		}
		if !up && l.probing && now.Sub(l.probedAt) < nextAfter && l.failures == 0 {
			return
		}
	}
}

// open reaches a coordinator and tells it what is in progress.
func (a *Asker) open(ctx context.Context, l *link) {
	opened := false
	defer func() {
		a.mu.Lock()
		l.probing = false
		l.failures++
		if opened {
			l.failures = 0
		}
		a.mu.Unlock()
		a.poke()
	}()
	if a.Incarnation() == 0 || !a.ready(ctx, l.addr) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := a.Network.Open(ctx, l.addr, coordinator.MethodPlace)
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
	l.usesTold = false
	l.up, l.heardAt, l.unheardSince = true, now, now
	owner := map[string]*link{}
	hosts := a.Hosts()
	for _, ticket := range slices.Sorted(maps.Keys(a.runs)) {
		r := a.runs[ticket]
		if _, known := owner[r.shard.Zone]; !known {
			owner[r.shard.Zone] = a.firstUp(r.shard.Zone, hosts)
		}
		if owner[r.shard.Zone] == l {
			r.link = l
			hello.Runs = append(hello.Runs, r.message())
		}
	}
	a.mu.Unlock()
	klog.InfoS("asker: coordinator reached", "addr", l.addr, "runs", len(hello.GetRuns()))
	if err := stream.Send(hello); err != nil {
		l.fail("hello not sent")
		return
	}
	opened = true
	a.wg.Go(func() { l.sendReports(ctx, stream, wake) })
	a.wg.Go(func() { l.receive(stream) })
}

// firstUp returns the first coordinator of a zone that is up. The caller holds the lock.
func (a *Asker) firstUp(zone string, hosts []sharder.Host) *link {
	for _, h := range sharder.Owners(zone, hosts) {
		if l := a.links[h.Addr]; l != nil && l.up {
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

func (l *link) receive(stream Stream) {
	for {
		o := &coordinatorpb.Orders{}
		if err := stream.Recv(o); err != nil {
			l.failStream(stream, err.Error())
			return
		}
		l.take(stream, o)
	}
}

// take hands the orders of a coordinator to those who wait.
func (l *link) take(stream Stream, o *coordinatorpb.Orders) {
	a := l.a
	var names map[uint64]string
	if known := a.names.Load(); known != nil {
		names = *known
	}
	a.mu.Lock()
	if l.stream != stream {
		a.mu.Unlock()
		return
	}
	l.heardAt, l.unheardSince = time.Now(), time.Time{}
	for _, g := range o.GetGrants() {
		got := &answer{ticket: g.GetTicket(), granted: true, queued: int(g.GetQueued()), choice: balancer.Choice{
			Endpoint: balancer.Endpoint{ID: names[g.GetEndpoint()]}, Cost: float64(g.GetCostMs()), Running: int(g.GetRunning()),
			Unread: int(g.GetUnread()), Kept: int(g.GetKept()), PlacedBy: l.addr,
		}}
		if !l.hand(g.GetTicket(), got) {
			l.reportLocked(unused(g.GetTicket()))
		}
	}
	for _, r := range o.GetRefusals() {
		l.hand(r.GetTicket(), &answer{ticket: r.GetTicket(), refused: &admitter.RefusedError{
			Reason: admitter.Reason(r.GetReason()), RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond, Queue: int(r.GetQueue()),
			Taken: int(r.GetTaken()), Places: int(r.GetPlaces()),
		}})
	}
	for _, e := range o.GetElsewhere() {
		l.hand(e.GetTicket(), &answer{ticket: e.GetTicket(), elsewhere: e.GetZone()})
	}
	a.mu.Unlock()
	if o.GetOthers() != nil || len(o.GetCrashes())+len(o.GetCleared()) > 0 {
		a.Heard(o)
	}
}

// hand gives an answer to the request that waits for it. It returns false if none does. The caller holds the lock.
func (l *link) hand(ticket uint64, got *answer) bool {
	result, waits := l.waiting[ticket]
	if waits {
		delete(l.waiting, ticket)
		result <- got
	}
	return waits
}

// fail gives the coordinator up.
func (l *link) fail(reason string) {
	l.a.mu.Lock()
	stream := l.stream
	l.a.mu.Unlock()
	l.failStream(stream, reason)
}

func (l *link) failStream(stream Stream, reason string) {
	a := l.a
	a.mu.Lock()
	if !l.up || l.stream != stream {
		a.mu.Unlock()
		return
	}
	l.closeLocked(reason)
	a.mu.Unlock()
	a.Network.DropSession(l.addr)
	a.poke()
}

// closeLocked ends the link. Those who wait ask the next coordinator.
func (l *link) closeLocked(reason string) {
	klog.InfoS("asker: coordinator lost", "addr", l.addr, "waiting", len(l.waiting), "reason", reason)
	l.up, l.probedAt = false, time.Now()
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
