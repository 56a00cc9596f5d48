// Package holder runs the schedulers of the pools whose leases this host holds. A Holder serializes the events of one scheduler
// and executes its actions; the package also starts and stops the holders of a host as leases are granted and lost.
package holder

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// tickInterval is well below the token gap target of 46 ms of the snappy tier.
	tickInterval = 20 * time.Millisecond
	eventBuffer  = 4096
	// maxOutbox bounds the messages queued to one entry host. When the queue is full, the session ends; the entry host then
	// reconnects and sends its state in a new Hello.
	maxOutbox = 1 << 16
)

var (
	holderGrants    = expvar.NewInt("holder_grants")
	holderRefusals  = expvar.NewMap("holder_refusals")
	holderCancels   = expvar.NewInt("holder_cancelled_runs")
	holderEvents    = expvar.NewInt("holder_events")
	holderSyncs     = expvar.NewInt("holder_host_syncs")
	holderHostsLost = expvar.NewInt("holder_hosts_lost")
	holderClaims    = expvar.NewInt("holder_claims")
)

// Stepper decides on the requests of one pool: it turns an event into actions. It is called from one goroutine.
type Stepper interface {
	Step(now time.Duration, ev scheduler.Event) []scheduler.Action
}

// Shedder sends the scheduler's load shedding messages to the control leader and returns the current shed level. Its methods
// must not block.
type Shedder interface {
	AskShedPermit(role string, tier int)
	ConfirmClosed(role string, below int)
	ShedLevel() (closedBelow int)
}

// Holder runs the scheduler of one pool under one epoch. Set the exported fields before Run.
type Holder struct {
	Pool      string
	Epoch     uint64
	Scheduler Stepper
	// LeaseValid reports whether this host still holds the lease by its own clock.
	LeaseValid func() bool
	Shedder    Shedder

	events chan input
	done   chan struct{}
	once   sync.Once
	peers  map[string]*peer
	index  *indexer.Index
	start  time.Time
}

// input is one unit of work for the goroutine of Run: run if it is set, otherwise a step with event.
type input struct {
	event scheduler.Event
	run   func(now time.Duration)
}

// peer is the holder's state of a session with one entry host.
type peer struct {
	host         string
	heartbeatSeq uint64
	mu           sync.Mutex
	outbox       []*granterpb.HolderMessage
	wake         chan struct{}
	cancel       context.CancelFunc
}

func (p *peer) send(m *granterpb.HolderMessage) {
	p.mu.Lock()
	full := len(p.outbox) >= maxOutbox
	if !full {
		p.outbox = append(p.outbox, m)
	}
	p.mu.Unlock()
	if full {
		p.cancel()
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (h *Holder) init() {
	h.once.Do(func() {
		h.events = make(chan input, eventBuffer)
		h.done = make(chan struct{})
		h.peers = make(map[string]*peer)
		h.index = indexer.New()
		h.start = time.Now()
	})
}

// Run passes queued events and periodic ticks to the scheduler until ctx ends or the lease is no longer valid.
func (h *Holder) Run(ctx context.Context) error {
	h.init()
	defer close(h.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var in input
		select {
		case <-ctx.Done():
			return nil
		case in = <-h.events:
		case <-ticker.C:
			in.event = scheduler.Tick{}
		}
		if !h.LeaseValid() {
			return &granter.NoHolderError{Pool: h.Pool}
		}
		now := time.Since(h.start)
		if in.run != nil {
			in.run(now)
			continue
		}
		h.step(now, in.event)
	}
}

func (h *Holder) step(now time.Duration, ev scheduler.Event) {
	holderEvents.Add(1)
	h.index.Observe(now, ev)
	actions := h.Scheduler.Step(now, ev)
	// The lease is checked again after the step: if it ended meanwhile, the actions are dropped.
	if len(actions) == 0 || !h.LeaseValid() {
		return
	}
	for _, a := range actions {
		h.execute(a)
	}
}

func (h *Holder) execute(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Decision:
		klog.Infof("holder: decision pool=%s epoch=%d verb=%s request=%s tier=%s workspace=%s endpoint=%s reason=%q",
			h.Pool, h.Epoch, a.Verb, a.RequestID, a.Tier, a.Workspace, a.Endpoint, a.Reason)
		return
	case scheduler.AskShedPermit:
		if h.Shedder != nil {
			h.Shedder.AskShedPermit(granter.RoleOf(h.Pool), a.Tier)
		}
		return
	case scheduler.ConfirmClosed:
		if h.Shedder != nil {
			h.Shedder.ConfirmClosed(granter.RoleOf(h.Pool), a.Below)
		}
		return
	case scheduler.ShareSuspect:
		h.shareSuspect(a.Suspect)
		return
	case scheduler.Grant:
		holderGrants.Add(1)
	case scheduler.Refuse:
		holderRefusals.Add(string(a.Reason), 1)
		h.index.Remove(a.RequestID)
	case scheduler.CancelRun:
		holderCancels.Add(1)
	}
	host, m := translator.EncodeAction(a, h.heartbeatSeq)
	if p := h.peers[host]; p != nil && m != nil {
		p.send(m)
	}
}

// shareSuspect sends a suspect to all entry hosts, which include it in their next Hello, so that a later holder receives it.
func (h *Holder) shareSuspect(suspect scheduler.Suspect) {
	m := &granterpb.HolderMessage{Body: &granterpb.HolderMessage_Suspect{Suspect: translator.EncodeSuspect(suspect)}}
	for _, p := range h.peers {
		p.send(m)
	}
}

func (h *Holder) heartbeatSeq(host string) uint64 {
	if p := h.peers[host]; p != nil {
		return p.heartbeatSeq
	}
	return 0
}

// Post queues an event for the scheduler. It returns false if the holder has stopped or ctx ends first.
func (h *Holder) Post(ctx context.Context, ev scheduler.Event) bool {
	return h.post(ctx, input{event: ev})
}

func (h *Holder) post(ctx context.Context, in input) bool {
	h.init()
	select {
	case h.events <- in:
		return true
	case <-h.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// call runs fn on the goroutine of Run and waits for it.
func (h *Holder) call(ctx context.Context, fn func(now time.Duration)) error {
	ran := make(chan struct{})
	ok := h.post(ctx, input{run: func(now time.Duration) {
		fn(now)
		close(ran)
	}})
	if !ok {
		return &granter.NoHolderError{Pool: h.Pool}
	}
	select {
	case <-ran:
		return nil
	case <-h.done:
		return &granter.NoHolderError{Pool: h.Pool}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Configure queues a configuration version for the scheduler.
func (h *Holder) Configure(ctx context.Context, version uint64, cfg *configurer.Config) {
	h.Post(ctx, scheduler.Configure{Version: version, Config: cfg})
}

// Claim binds an idempotency key to a request unless another request holds it, and returns the request that holds the key.
func (h *Holder) Claim(ctx context.Context, host string, c indexer.Claim) (indexer.Location, error) {
	holderClaims.Add(1)
	var out indexer.Location
	err := h.call(ctx, func(now time.Duration) { out = h.index.Claim(now, host, c) })
	return out, err
}

// Locate returns where a request is; its State is empty if the request is unknown.
func (h *Holder) Locate(ctx context.Context, id string) (indexer.Location, error) {
	var out indexer.Location
	err := h.call(ctx, func(time.Duration) { out, _ = h.index.Locate(id) })
	return out, err
}

// serveSession runs the session of one entry host until it ends; hello is the first part of its Hello.
func (h *Holder) serveSession(ctx context.Context, stream *transporter.Stream, hello *granterpb.Hello) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	synced, err := readHello(stream, hello)
	if err != nil {
		return err
	}
	p := &peer{host: hello.GetHost(), heartbeatSeq: hello.GetHeartbeatSeq(), wake: make(chan struct{}, 1), cancel: cancel}
	if err := h.call(ctx, func(now time.Duration) { h.attach(now, p, synced, hello) }); err != nil {
		return err
	}
	defer h.post(context.WithoutCancel(ctx), input{run: func(now time.Duration) { h.detach(now, p) }})
	sent := make(chan struct{})
	defer func() { <-sent }()
	defer cancel()
	go func() {
		defer close(sent)
		defer func() { _ = stream.Close() }()
		h.sendLoop(ctx, stream, p)
	}()
	for {
		m := &granterpb.EntryMessage{}
		if err := stream.Recv(m); err != nil {
			return err
		}
		if !h.post(ctx, h.messageInput(p, m)) {
			return &granter.NoHolderError{Pool: h.Pool}
		}
	}
}

// messageInput returns the input that handles a message. Heartbeats go through the goroutine of Run too, so that a grant never
// names a heartbeat that was received after the step that decided it.
func (h *Holder) messageInput(p *peer, m *granterpb.EntryMessage) input {
	return input{run: func(now time.Duration) {
		if h.peers[p.host] != p {
			return
		}
		if hb := m.GetHeartbeat(); hb != nil {
			p.heartbeatSeq = hb.GetSeq()
			p.send(heartbeatAck(hb.GetSeq()))
			return
		}
		if ev := translator.DecodeEvent(p.host, m); ev != nil {
			h.step(now, ev)
		}
	}}
}

func heartbeatAck(seq uint64) *granterpb.HolderMessage {
	return &granterpb.HolderMessage{Body: &granterpb.HolderMessage_HeartbeatAck{HeartbeatAck: &granterpb.HeartbeatAck{Seq: seq}}}
}

func readHello(stream *transporter.Stream, hello *granterpb.Hello) (scheduler.HostSynced, error) {
	synced := scheduler.HostSynced{Host: hello.GetHost(), Zone: hello.GetZone()}
	for part := hello; ; {
		for _, d := range part.GetWaiting() {
			synced.Waiting = append(synced.Waiting, translator.DecodeDescriptor(d))
		}
		for _, r := range part.GetRunning() {
			synced.Running = append(synced.Running, translator.DecodeRun(r))
		}
		for _, suspect := range part.GetSuspects() {
			synced.Suspects = append(synced.Suspects, translator.DecodeSuspect(suspect))
		}
		if part != hello {
			hello.Kept = append(hello.Kept, part.GetKept()...)
		}
		if !part.GetMore() {
			return synced, nil
		}
		m := &granterpb.EntryMessage{}
		if err := stream.Recv(m); err != nil {
			return synced, eris.Wrap(err, "receive hello")
		}
		if part = m.GetHello(); part == nil {
			return synced, eris.New("a hello was not completed")
		}
	}
}

func (h *Holder) attach(now time.Duration, p *peer, synced scheduler.HostSynced, hello *granterpb.Hello) {
	if old := h.peers[p.host]; old != nil {
		old.cancel()
	}
	h.peers[p.host] = p
	holderSyncs.Add(1)
	klog.Infof("holder: host synced pool=%s epoch=%d host=%s waiting=%d running=%d", h.Pool, h.Epoch, p.host, len(synced.Waiting), len(synced.Running))
	p.send(heartbeatAck(p.heartbeatSeq))
	for _, k := range hello.GetKept() {
		h.index.AddFinished(now, p.host, translator.DecodeClaim(k))
	}
	h.step(now, synced)
}

func (h *Holder) detach(now time.Duration, p *peer) {
	if h.peers[p.host] != p {
		return
	}
	delete(h.peers, p.host)
	holderHostsLost.Add(1)
	klog.Infof("holder: host lost pool=%s epoch=%d host=%s", h.Pool, h.Epoch, p.host)
	h.step(now, scheduler.HostLost{Host: p.host})
}

func (h *Holder) sendLoop(ctx context.Context, stream *transporter.Stream, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.done:
			return
		case <-p.wake:
		}
		p.mu.Lock()
		batch := p.outbox
		p.outbox = nil
		p.mu.Unlock()
		for _, m := range batch {
			if !h.LeaseValid() || stream.Send(proto.Message(m)) != nil {
				return
			}
		}
	}
}
