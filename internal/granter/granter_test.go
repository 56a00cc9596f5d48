package granter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
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
	case scheduler.HostSynced:
		for _, d := range ev.Waiting {
			f.waiting = append(f.waiting, scheduler.Submit{Host: ev.Host, Descriptor: d})
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

func (r *roles) Config() (uint64, *configurer.Config, bool)             { return 1, &configurer.Config{}, true }
func (r *roles) Subscribe(func(version uint64, cfg *configurer.Config)) {}

type rig struct {
	t       *testing.T
	roles   *roles
	policy  *firstCome
	session *Session
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
	r.session = &Session{Pool: "p", Host: "h.1", Zone: "z", Transport: tr, Locator: r.roles}
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

func (r *rig) until(ok func() bool) {
	r.t.Helper()
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

func (r *rig) submit(id string) <-chan string {
	granted := make(chan string, 8)
	r.session.Submit(scheduler.Descriptor{RequestID: id, Workspace: "w"}, Callbacks{
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

// Guards against grants that are used after the entry host's own deadline, and against grants of unknown requests.
func TestGrantDeadline(t *testing.T) {
	s := &Session{Pool: "p", requests: map[string]*tracked{}, wake: make(chan struct{}, 1)}
	var deadlines []time.Time
	s.Submit(scheduler.Descriptor{RequestID: "r"}, Callbacks{Grant: func(_ string, d time.Time) { deadlines = append(deadlines, d) }})
	sent := time.Now()
	hb := s.nextHeartbeat().GetHeartbeat().GetSeq()
	grant := func(id string, seq uint64, ttl time.Duration) {
		_, m := encodeAction(scheduler.Grant{Host: "h", RequestID: id, Endpoint: "e", TTL: ttl}, func(string) uint64 { return seq })
		s.onGrant(m.GetGrant())
	}
	grant("r", hb, -time.Second)
	grant("r", hb+heartbeatsKept, time.Hour)
	grant("unknown", hb, time.Hour)
	if len(deadlines) != 0 {
		t.Fatalf("a grant that is not valid was used: %v", deadlines)
	}
	var declined []string
	for _, m := range s.outbox {
		if d := m.GetDeclined(); d != nil {
			declined = append(declined, d.GetRequestId()+" "+d.GetReason())
		}
	}
	if diff := cmp.Diff([]string{"r expired", "r expired", "unknown gone"}, declined); diff != "" {
		t.Error(diff)
	}
	grant("r", hb, time.Hour)
	if len(deadlines) != 1 || deadlines[0].Before(sent.Add(time.Hour)) || deadlines[0].After(time.Now().Add(time.Hour)) {
		t.Errorf("deadlines %v", deadlines)
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

// Guards against two requests that hold one key, and against keys that stay taken by requests that cannot run.
func TestIndex(t *testing.T) {
	x := newIndex()
	claim := func(now time.Duration, host, id string) string {
		return x.claim(now, host, Claim{Workspace: "w", Key: "k", Digest: "d", RequestID: id}).RequestID
	}
	steps := []struct {
		name, want string
		do         func() string
	}{
		{"first", "a1", func() string { return claim(0, "a", "a1") }},
		{"second host", "a1", func() string { return claim(0, "b", "b1") }},
		{"host just lost", "a1", func() string {
			x.observe(time.Second, scheduler.HostLost{Host: "a"})
			return claim(2*time.Second, "b", "b1")
		}},
		{"host lost, grants expired", "b1", func() string { return claim(4*time.Second, "b", "b1") }},
		{"running at a lost host", "b1", func() string {
			x.observe(4*time.Second, scheduler.Started{Host: "b", RequestID: "b1", Endpoint: "e"})
			x.observe(5*time.Second, scheduler.HostLost{Host: "b"})
			return claim(60*time.Second, "c", "c1")
		}},
		{"forgotten", "c1", func() string { return claim(10*time.Minute, "c", "c1") }},
		{"cancelled", "d1", func() string {
			x.observe(10*time.Minute, scheduler.Cancelled{RequestID: "c1"})
			return claim(10*time.Minute, "d", "d1")
		}},
		{"declined for good", "e1", func() string {
			x.observe(10*time.Minute, scheduler.Declined{RequestID: "d1", Reason: scheduler.DeclineGone})
			return claim(10*time.Minute, "e", "e1")
		}},
	}
	for _, s := range steps {
		if got := s.do(); got != s.want {
			t.Errorf("%s: the key is held by %q, want %q", s.name, got, s.want)
		}
	}
}

// Guards against an index that grows without bound.
func TestIndexIsBounded(t *testing.T) {
	x := newIndex()
	x.observe(0, scheduler.Submit{Host: "h", Descriptor: scheduler.Descriptor{RequestID: "long", Workspace: "w"}})
	for i := range 4 * maxIndexed {
		id := fmt.Sprint(i)
		x.observe(0, scheduler.Submit{Host: "h", Descriptor: scheduler.Descriptor{RequestID: id, Workspace: "w", IdempotencyKey: id}})
		x.observe(0, scheduler.Finished{RequestID: id})
	}
	if _, ok := x.locate("long"); !ok {
		t.Error("a request in progress was forgotten")
	}
	if len(x.byID) > maxIndexed || len(x.byKey) > maxIndexed || len(x.order) > 2*maxIndexed {
		t.Errorf("%d ids, %d keys, %d in order", len(x.byID), len(x.byKey), len(x.order))
	}
}
