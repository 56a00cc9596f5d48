package holder

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// fifoScheduler grants requests in order of arrival to one endpoint while it has free slots.
type fifoScheduler struct {
	mu        sync.Mutex
	freeSlots int
	waiting   []scheduler.Submit
	events    []string
	ttl       time.Duration
}

func (f *fifoScheduler) Step(_ time.Duration, ev scheduler.Event) (actions []scheduler.Action) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch ev := ev.(type) {
	case scheduler.Tick:
		return nil
	case scheduler.Submit:
		f.waiting = append(f.waiting, ev)
		if ev.Descriptor.Fingerprint != "" {
			suspect := scheduler.Suspect{Fingerprint: ev.Descriptor.Fingerprint, Crashes: 2, RefusedFor: time.Hour}
			actions = append(actions, scheduler.ShareSuspect{Suspect: suspect})
		}
	case scheduler.HostSynced:
		for _, d := range ev.Waiting {
			f.waiting = append(f.waiting, scheduler.Submit{Host: ev.Host, Descriptor: d})
		}
		for _, suspect := range ev.Suspects {
			f.events = append(f.events, fmt.Sprintf("suspect %s crashes=%d refused=%v",
				suspect.Fingerprint, suspect.Crashes, suspect.RefusedFor > 59*time.Minute))
		}
		f.events = append(f.events, fmt.Sprintf("synced %s waiting=%d running=%d", ev.Host, len(ev.Waiting), len(ev.Running)))
	case scheduler.Finished:
		f.freeSlots++
		f.events = append(f.events, "finished "+ev.RequestID)
	default:
		f.events = append(f.events, fmt.Sprintf("%T", ev))
	}
	for f.freeSlots > 0 && len(f.waiting) > 0 {
		f.freeSlots--
		s := f.waiting[0]
		f.waiting = f.waiting[1:]
		actions = append(actions, scheduler.Grant{Host: s.Host, RequestID: s.Descriptor.RequestID, Endpoint: "e", TTL: f.ttl})
	}
	return actions
}

func (f *fifoScheduler) hasEvent(event string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e == event {
			return true
		}
	}
	return false
}

// fakeRoles grants the role of one pool to this host and serves a fixed configuration.
type fakeRoles struct {
	mu        sync.Mutex
	addr      string
	epoch     uint64
	valid     bool
	callbacks []func(role string, epoch uint64, held bool)
	tiers     []configurer.Tier
}

func (r *fakeRoles) Holder(string) (string, string, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return "h", r.addr, r.epoch, r.epoch > 0
}

func (r *fakeRoles) OnRole(fn func(role string, epoch uint64, held bool)) {
	r.callbacks = append(r.callbacks, fn)
}

func (r *fakeRoles) RoleValid(_ string, epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.valid && r.epoch == epoch
}

func (r *fakeRoles) grant(epoch uint64) {
	r.mu.Lock()
	r.epoch, r.valid = epoch, true
	r.mu.Unlock()
	for _, fn := range r.callbacks {
		fn("pool/p", epoch, true)
	}
}

func (r *fakeRoles) Config() (uint64, *configurer.Config, bool) {
	return 1, &configurer.Config{Tiers: r.tiers}, true
}
func (r *fakeRoles) Subscribe(func(version uint64, cfg *configurer.Config)) {}

type fixture struct {
	t       *testing.T
	roles   *fakeRoles
	stepper *fifoScheduler
	session *granter.Session
	kept    atomic.Pointer[[]indexer.Claim]
}

// newFixture connects a session to the holders of a host over loopback.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	r := &fixture{t: t, roles: &fakeRoles{}, stepper: &fifoScheduler{freeSlots: 1, ttl: time.Minute}}
	tr := &transporter.Transport{HostID: "h", Zone: "z", ListenAddr: "127.0.0.1:0", Key: []byte("key")}
	if err := tr.Listen(); err != nil {
		t.Fatal(err)
	}
	r.roles.addr = tr.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	manager := &Manager{
		Transport: tr, Roles: r.roles, Configuration: r.roles,
		NewStepper: func(string, uint64) Stepper { return r.stepper },
	}
	manager.Start(ctx)
	r.session = &granter.Session{Pool: "p", Host: "h.1", Zone: "z", Transport: tr, Locator: r.roles, FinishedClaims: r.keptClaims}
	var wg sync.WaitGroup
	wg.Go(func() { _ = tr.Run(ctx) })
	wg.Go(func() { _ = r.session.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = tr.Close()
		manager.Wait()
		wg.Wait()
	})
	return r
}

func (r *fixture) keptClaims() []indexer.Claim {
	if k := r.kept.Load(); k != nil {
		return *k
	}
	return nil
}

func (r *fixture) waitUntil(ok func() bool) {
	r.t.Helper()
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

func (r *fixture) submit(id string) <-chan string {
	return r.submitDescriptor(scheduler.Descriptor{RequestID: id, Workspace: "w"})
}

func (r *fixture) submitDescriptor(d scheduler.Descriptor) <-chan string {
	granted := make(chan string, 8)
	r.session.Submit(d, granter.Callbacks{
		Grant: func(endpoint string, deadline time.Time) {
			if deadline.After(time.Now()) {
				granted <- endpoint
			}
		},
		Refuse:    func(scheduler.RefuseReason, time.Duration) {},
		CancelRun: func(string) {},
	})
	return granted
}

// Guards against requests that are lost while the pool has no holder or when the holder changes.
func TestSessionReconnectsToNewHolder(t *testing.T) {
	r := newFixture(t)
	first := r.submit("one")
	r.roles.grant(1)
	if got := <-first; got != "e" {
		t.Fatalf("granted endpoint %q, want e", got)
	}
	r.session.Started("one", "e")
	second := r.submit("two")
	r.waitUntil(func() bool {
		r.stepper.mu.Lock()
		defer r.stepper.mu.Unlock()
		return len(r.stepper.waiting) == 1
	})
	r.stepper.mu.Lock()
	r.stepper.waiting = nil
	r.stepper.mu.Unlock()
	r.roles.grant(2)
	r.waitUntil(func() bool { return r.stepper.hasEvent("synced h.1 waiting=1 running=1") })
	r.session.Finished(scheduler.Finished{RequestID: "one", Outcome: scheduler.OutcomeDone})
	if got := <-second; got != "e" {
		t.Fatalf("granted endpoint %q, want e", got)
	}
}

// Guards against the loss of crash counts at a change of holder: the new holder would dispatch a request that has already
// crashed endpoints, and it would crash two more.
func TestSuspectsSurviveHolderChange(t *testing.T) {
	r := newFixture(t)
	r.roles.grant(1)
	r.waitUntil(func() bool { return r.stepper.hasEvent("synced h.1 waiting=0 running=0") })
	// The suspect precedes the grant on the same stream, so the session has received it when the grant arrives.
	<-r.submitDescriptor(scheduler.Descriptor{RequestID: "poison", Workspace: "w", Fingerprint: "f"})
	r.roles.grant(2)
	r.waitUntil(func() bool { return r.stepper.hasEvent("suspect f crashes=2 refused=true") })
}

// recordingShedder records the messages to the control leader.
type recordingShedder struct {
	mu    sync.Mutex
	calls []string
}

func (s *recordingShedder) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
}

func (s *recordingShedder) AskShedPermit(role string, tier int) { s.record("ask %s %d", role, tier) }

func (s *recordingShedder) ConfirmClosed(role string, below int) {
	s.record("confirm %s %d", role, below)
}
func (s *recordingShedder) ShedLevel() (closedBelow int) { return 1 }

// sheddingScheduler answers each TiersClosed with a confirmation and a permit request, and records the permits.
type sheddingScheduler struct{ permits chan scheduler.ShedPermitted }

func (c *sheddingScheduler) Step(_ time.Duration, ev scheduler.Event) []scheduler.Action {
	switch ev := ev.(type) {
	case scheduler.TiersClosed:
		return []scheduler.Action{scheduler.ConfirmClosed(ev), scheduler.AskShedPermit{Tier: ev.Below}}
	case scheduler.ShedPermitted:
		c.permits <- ev
	}
	return nil
}

// Guards against a new holder that reopens closed tiers, and against permit requests, confirmations and permits that are lost or
// extended to tiers that they do not cover.
func TestShedding(t *testing.T) {
	shedder, stepper, r := &recordingShedder{}, &sheddingScheduler{permits: make(chan scheduler.ShedPermitted, 8)}, &fakeRoles{}
	r.tiers = []configurer.Tier{{Name: "a", Order: 0}, {Name: "b", Order: 1}, {Name: "c", Order: 2}}
	ctx, cancel := context.WithCancel(t.Context())
	manager := &Manager{
		Transport: &transporter.Transport{}, Roles: r, Configuration: r, Shedder: shedder,
		NewStepper: func(string, uint64) Stepper { return stepper },
	}
	manager.Start(ctx)
	r.grant(1)
	manager.PostShedding(0, 1, time.Second)
	manager.PostShedding(2, -1, 0)
	got := []scheduler.ShedPermitted{<-stepper.permits, <-stepper.permits}
	if diff := cmp.Diff([]scheduler.ShedPermitted{{Tier: 1, Duration: time.Second}, {Tier: 2, Duration: time.Second}}, got); diff != "" {
		t.Error(diff)
	}
	want := []string{"confirm pool/p 1", "ask pool/p 1", "confirm pool/p 0", "ask pool/p 0", "confirm pool/p 2", "ask pool/p 2"}
	for {
		shedder.mu.Lock()
		calls := append([]string{}, shedder.calls...)
		shedder.mu.Unlock()
		if len(calls) >= len(want) {
			if diff := cmp.Diff(want, calls); diff != "" {
				t.Error(diff)
			}
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	manager.Wait()
	if len(stepper.permits) != 0 {
		t.Error("a permit was posted for a tier that it does not cover")
	}
}

// Guards against state that is lost or truncated when a Hello does not fit in one message.
func TestMultipartHello(t *testing.T) {
	r := newFixture(t)
	for i := range 1300 {
		r.submit(fmt.Sprint(i))
	}
	var kept []indexer.Claim
	for i := range 1100 {
		kept = append(kept, indexer.Claim{Workspace: "w", Key: fmt.Sprint(i), RequestID: fmt.Sprintf("kept %d", i)})
	}
	r.kept.Store(&kept)
	r.roles.grant(1)
	r.waitUntil(func() bool { return r.stepper.hasEvent("synced h.1 waiting=1300 running=0") })
	for _, i := range []int{0, 600, 1099} {
		l, err := r.session.Claim(t.Context(), indexer.Claim{Workspace: "w", Key: fmt.Sprint(i), RequestID: "new"})
		if err != nil || l.RequestID != fmt.Sprintf("kept %d", i) || l.State != indexer.StateFinished {
			t.Errorf("key %d: location %+v, error %v", i, l, err)
		}
	}
}

// Guards against a holder that handles events after its lease has ended.
func TestHolderStopsWhenLeaseEnds(t *testing.T) {
	r := newFixture(t)
	r.roles.grant(1)
	granted := r.submit("one")
	<-granted
	r.roles.mu.Lock()
	r.roles.valid = false
	r.roles.mu.Unlock()
	r.session.Finished(scheduler.Finished{RequestID: "one"})
	r.submit("two")
	r.waitUntil(func() bool { return !r.session.Connected() })
	if r.stepper.hasEvent("finished one") {
		t.Error("the holder handled an event after its lease had ended")
	}
}
