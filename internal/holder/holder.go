// Package holder runs the scheduler of a pool while its host holds the lease: Holder is the shell of one scheduler, and Desk
// starts and stops the holders of a host.
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
	// tickInterval is well below the 46 ms between tokens that the snappy tier is promised.
	tickInterval = 20 * time.Millisecond
	eventBuffer  = 4096
	// maxOutbox bounds the messages queued to one entry host; a host that reads slower is dropped and says Hello again.
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

// Stepper is the decision core of a pool.
type Stepper interface {
	Step(now time.Duration, ev scheduler.Event) []scheduler.Action
}

// Shedder carries the scheduler's requests about shedding to the control leader. Its methods must not block.
type Shedder interface {
	AskShedPermit(role string, tier int)
	ConfirmClosed(role string, below int)
	ShedLevel() (closedBelow int)
}

// Holder runs the scheduler of one pool under one epoch. Set the exported fields before Run.
type Holder struct {
	Pool  string
	Epoch uint64
	Step  Stepper
	// Valid reports whether this host still holds the lease by its own clock.
	Valid   func() bool
	Shedder Shedder

	events chan input
	done   chan struct{}
	once   sync.Once
	peers  map[string]*peer
	index  *indexer.Index
	start  time.Time
}

// input is one unit of work of the holder's goroutine.
type input struct {
	event scheduler.Event
	run   func(now time.Duration)
}

// peer is the holder's side of one entry host's session.
type peer struct {
	host      string
	heartbeat uint64
	mu        sync.Mutex
	outbox    []*granterpb.HolderMessage
	wake      chan struct{}
	cancel    context.CancelFunc
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

// Run steps the scheduler until ctx ends or the lease is no longer valid.
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
		if !h.Valid() {
			return &granter.StoppedError{Pool: h.Pool}
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
	actions := h.Step.Step(now, ev)
	// The lease is checked again after the step: actions decided on a lease that ended meanwhile are dropped.
	if len(actions) == 0 || !h.Valid() {
		return
	}
	for _, a := range actions {
		h.act(a)
	}
}

func (h *Holder) act(a scheduler.Action) {
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
	host, m := translator.EncodeAction(a, h.heartbeatOf)
	if p := h.peers[host]; p != nil && m != nil {
		p.send(m)
	}
}

// shareSuspect tells all entry hosts, so that a later holder learns of it from any of them.
func (h *Holder) shareSuspect(suspect scheduler.Suspect) {
	m := &granterpb.HolderMessage{Body: &granterpb.HolderMessage_Suspect{Suspect: translator.EncodeSuspect(suspect)}}
	for _, p := range h.peers {
		p.send(m)
	}
}

func (h *Holder) heartbeatOf(host string) uint64 {
	if p := h.peers[host]; p != nil {
		return p.heartbeat
	}
	return 0
}

// Post hands an event to the scheduler. It returns false when the holder has stopped.
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

// call runs fn on the holder's goroutine and waits for it.
func (h *Holder) call(ctx context.Context, fn func(now time.Duration)) error {
	ran := make(chan struct{})
	ok := h.post(ctx, input{run: func(now time.Duration) {
		fn(now)
		close(ran)
	}})
	if !ok {
		return &granter.StoppedError{Pool: h.Pool}
	}
	select {
	case <-ran:
		return nil
	case <-h.done:
		return &granter.StoppedError{Pool: h.Pool}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Configure hands a configuration version to the scheduler.
func (h *Holder) Configure(ctx context.Context, version uint64, cfg *configurer.Config) {
	h.Post(ctx, scheduler.Configure{Version: version, Config: cfg})
}

// Claim ties a key to a request and returns the request that holds the key.
func (h *Holder) Claim(ctx context.Context, host string, c indexer.Claim) (indexer.Location, error) {
	holderClaims.Add(1)
	var out indexer.Location
	err := h.call(ctx, func(now time.Duration) { out = h.index.Claim(now, host, c) })
	return out, err
}

// Locate finds a request by id.
func (h *Holder) Locate(ctx context.Context, id string) (indexer.Location, error) {
	var out indexer.Location
	err := h.call(ctx, func(time.Duration) { out, _ = h.index.Locate(id) })
	return out, err
}

// serve runs one entry host's session whose first Hello part is hello.
func (h *Holder) serve(ctx context.Context, stream *transporter.Stream, hello *granterpb.Hello) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	synced, err := readHello(stream, hello)
	if err != nil {
		return err
	}
	p := &peer{host: hello.GetHost(), heartbeat: hello.GetHeartbeatSeq(), wake: make(chan struct{}, 1), cancel: cancel}
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
		if !h.post(ctx, h.inputOf(p, m)) {
			return &granter.StoppedError{Pool: h.Pool}
		}
	}
}

// inputOf passes every message through the holder's goroutine, so that a grant names a heartbeat received before its step.
func (h *Holder) inputOf(p *peer, m *granterpb.EntryMessage) input {
	return input{run: func(now time.Duration) {
		if h.peers[p.host] != p {
			return
		}
		if hb := m.GetHeartbeat(); hb != nil {
			p.heartbeat = hb.GetSeq()
			p.send(ack(hb.GetSeq()))
			return
		}
		if ev := translator.DecodeEvent(p.host, m); ev != nil {
			h.step(now, ev)
		}
	}}
}

func ack(seq uint64) *granterpb.HolderMessage {
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
	p.send(ack(p.heartbeat))
	for _, k := range hello.GetKept() {
		h.index.Finished(now, p.host, translator.DecodeClaim(k))
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
			if !h.Valid() || stream.Send(proto.Message(m)) != nil {
				return
			}
		}
	}
}
