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

// firstCome grants each request at once to one endpoint while the pool has room.
type firstCome struct {
	mu      sync.Mutex
	room    int
	waiting []scheduler.Submit
	events  []string
	ttl     time.Duration
}

func (f *firstCome) Step(_ time.Duration, ev scheduler.Event) (actions []scheduler.Action) {
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
		f.room++
		f.events = append(f.events, "finished "+ev.RequestID)
	default:
		f.events = append(f.events, fmt.Sprintf("%T", ev))
	}
	for f.room > 0 && len(f.waiting) > 0 {
		f.room--
		s := f.waiting[0]
		f.waiting = f.waiting[1:]
		actions = append(actions, scheduler.Grant{Host: s.Host, RequestID: s.Descriptor.RequestID, Endpoint: "e", TTL: f.ttl})
	}
	return actions
}

func (f *firstCome) seen(event string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e == event {
			return true
		}
	}
	return false
}

// roles are held by one host until they are moved.
type roles struct {
	mu    sync.Mutex
	addr  string
	epoch uint64
	valid bool
	fns   []func(role string, epoch uint64, held bool)
	tiers []configurer.Tier
}

func (r *roles) Holder(string) (string, string, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return "h", r.addr, r.epoch, r.epoch > 0
}

func (r *roles) OnRole(fn func(role string, epoch uint64, held bool)) { r.fns = append(r.fns, fn) }

func (r *roles) RoleValid(_ string, epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.valid && r.epoch == epoch
}

func (r *roles) grant(epoch uint64) {
	r.mu.Lock()
	r.epoch, r.valid = epoch, true
	r.mu.Unlock()
	for _, fn := range r.fns {
		fn("pool/p", epoch, true)
	}
}

func (r *roles) Config() (uint64, *configurer.Config, bool) {
	return 1, &configurer.Config{Tiers: r.tiers}, true
}
func (r *roles) Subscribe(func(version uint64, cfg *configurer.Config)) {}

type rig struct {
	t       *testing.T
	roles   *roles
	policy  *firstCome
	session *granter.Session
	kept    atomic.Pointer[[]indexer.Claim]
}

// newRig connects a session with a desk over loopback.
func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, roles: &roles{}, policy: &firstCome{room: 1, ttl: time.Minute}}
	tr := &transporter.Transport{HostID: "h", Zone: "z", ListenAddr: "127.0.0.1:0", Key: []byte("key")}
	if err := tr.Listen(); err != nil {
		t.Fatal(err)
	}
	r.roles.addr = tr.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	desk := &Desk{
		Transport: tr, Roles: r.roles, Configuration: r.roles,
		NewStepper: func(string, uint64) Stepper { return r.policy },
	}
	desk.Start(ctx)
	r.session = &granter.Session{Pool: "p", Host: "h.1", Zone: "z", Transport: tr, Locator: r.roles, Kept: r.keptClaims}
	var wg sync.WaitGroup
	wg.Go(func() { _ = tr.Run(ctx) })
	wg.Go(func() { _ = r.session.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = tr.Close()
		desk.Wait()
		wg.Wait()
	})
	return r
}

func (r *rig) keptClaims() []indexer.Claim {
	if k := r.kept.Load(); k != nil {
		return *k
	}
	return nil
}

func (r *rig) until(ok func() bool) {
	r.t.Helper()
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

func (r *rig) submit(id string) <-chan string {
	return r.submitDescriptor(scheduler.Descriptor{RequestID: id, Workspace: "w"})
}

func (r *rig) submitDescriptor(d scheduler.Descriptor) <-chan string {
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

// Guards against requests that are lost while there is no holder, or when the holder changes.
func TestSessionFollowsTheHolder(t *testing.T) {
	r := newRig(t)
	first := r.submit("one")
	r.roles.grant(1)
	if got := <-first; got != "e" {
		t.Fatalf("granted %q", got)
	}
	r.session.Started("one", "e")
	second := r.submit("two")
	r.until(func() bool {
		r.policy.mu.Lock()
		defer r.policy.mu.Unlock()
		return len(r.policy.waiting) == 1
	})
	r.policy.mu.Lock()
	r.policy.waiting = nil
	r.policy.mu.Unlock()
	r.roles.grant(2)
	r.until(func() bool { return r.policy.seen("synced h.1 waiting=1 running=1") })
	r.session.Finished(scheduler.Finished{RequestID: "one", Outcome: scheduler.OutcomeDone})
	if got := <-second; got != "e" {
		t.Fatalf("granted %q", got)
	}
}

// Guards against a new holder that does not know which requests have crashed endpoints, and lets them crash two more.
func TestSuspectsOutliveTheHolder(t *testing.T) {
	r := newRig(t)
	r.roles.grant(1)
	r.until(func() bool { return r.policy.seen("synced h.1 waiting=0 running=0") })
	// The grant follows the suspect on the same stream.
	<-r.submitDescriptor(scheduler.Descriptor{RequestID: "poison", Workspace: "w", Fingerprint: "f"})
	r.roles.grant(2)
	r.until(func() bool { return r.policy.seen("suspect f crashes=2 refused=true") })
}

// shedder records what the control leader is told.
type shedder struct {
	mu   sync.Mutex
	told []string
}

func (s *shedder) tell(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, fmt.Sprintf(format, args...))
}

func (s *shedder) AskShedPermit(role string, tier int)  { s.tell("ask %s %d", role, tier) }
func (s *shedder) ConfirmClosed(role string, below int) { s.tell("confirm %s %d", role, below) }
func (s *shedder) ShedLevel() (closedBelow int)         { return 1 }

// closing asks and confirms as the events come.
type closing struct{ permits chan scheduler.ShedPermitted }

func (c *closing) Step(_ time.Duration, ev scheduler.Event) []scheduler.Action {
	switch ev := ev.(type) {
	case scheduler.TiersClosed:
		return []scheduler.Action{scheduler.ConfirmClosed(ev), scheduler.AskShedPermit{Tier: ev.Below}}
	case scheduler.ShedPermitted:
		c.permits <- ev
	}
	return nil
}

// Guards against a new holder that opens closed tiers, and against asks, confirmations or permits that are lost or widened.
func TestShedding(t *testing.T) {
	told, policy, r := &shedder{}, &closing{permits: make(chan scheduler.ShedPermitted, 8)}, &roles{}
	r.tiers = []configurer.Tier{{Name: "a", Order: 0}, {Name: "b", Order: 1}, {Name: "c", Order: 2}}
	ctx, cancel := context.WithCancel(t.Context())
	desk := &Desk{
		Transport: &transporter.Transport{}, Roles: r, Configuration: r, Shedder: told,
		NewStepper: func(string, uint64) Stepper { return policy },
	}
	desk.Start(ctx)
	r.grant(1)
	desk.Shed(0, 1, time.Second)
	desk.Shed(2, -1, 0)
	got := []scheduler.ShedPermitted{<-policy.permits, <-policy.permits}
	if diff := cmp.Diff([]scheduler.ShedPermitted{{Tier: 1, For: time.Second}, {Tier: 2, For: time.Second}}, got); diff != "" {
		t.Error(diff)
	}
	want := []string{"confirm pool/p 1", "ask pool/p 1", "confirm pool/p 0", "ask pool/p 0", "confirm pool/p 2", "ask pool/p 2"}
	for {
		told.mu.Lock()
		now := append([]string{}, told.told...)
		told.mu.Unlock()
		if len(now) >= len(want) {
			if diff := cmp.Diff(want, now); diff != "" {
				t.Error(diff)
			}
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	desk.Wait()
	if len(policy.permits) != 0 {
		t.Error("a permit was given to a tier that it does not cover")
	}
}

// Guards against a state that is lost or cut when it does not fit one message.
func TestLongHello(t *testing.T) {
	r := newRig(t)
	for i := range 1300 {
		r.submit(fmt.Sprint(i))
	}
	var kept []indexer.Claim
	for i := range 1100 {
		kept = append(kept, indexer.Claim{Workspace: "w", Key: fmt.Sprint(i), RequestID: fmt.Sprintf("kept %d", i)})
	}
	r.kept.Store(&kept)
	r.roles.grant(1)
	r.until(func() bool { return r.policy.seen("synced h.1 waiting=1300 running=0") })
	for _, i := range []int{0, 600, 1099} {
		l, err := r.session.Claim(t.Context(), indexer.Claim{Workspace: "w", Key: fmt.Sprint(i), RequestID: "new"})
		if err != nil || l.RequestID != fmt.Sprintf("kept %d", i) || l.State != indexer.StateFinished {
			t.Errorf("key %d: %+v %v", i, l, err)
		}
	}
}

// Guards against a holder that acts after its lease has ended.
func TestHolderStopsWithItsLease(t *testing.T) {
	r := newRig(t)
	r.roles.grant(1)
	granted := r.submit("one")
	<-granted
	r.roles.mu.Lock()
	r.roles.valid = false
	r.roles.mu.Unlock()
	r.session.Finished(scheduler.Finished{RequestID: "one"})
	r.submit("two")
	r.until(func() bool { return !r.session.Connected() })
	if r.policy.seen("finished one") {
		t.Error("the holder acted on an event without a lease")
	}
}
