package admitter_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// newVersionedAdmitter returns an admitter with one engine of one slot for each software version.
func newVersionedAdmitter(versions ...string) *admitter.Admitter {
	b := balancer.New("z")
	var list []balancer.Endpoint
	for _, v := range versions {
		list = append(list, balancer.Endpoint{ID: v, Addr: v, Pool: "p", Slots: 1, Engine: true, MemoryTokens: 1000, Version: v})
	}
	b.SetEndpoints(time.Now(), list)
	return admitter.New(b)
}

func boundTo(version string, tier int) admitter.Request {
	return admitter.Request{Pool: "p", Tier: tier, Patience: time.Minute, Work: balancer.Work{Bound: true, Version: version}}
}

// waiters are requests that wait in virtual time.
type waiters struct {
	t     *testing.T
	a     *admitter.Admitter
	wg    sync.WaitGroup
	mu    sync.Mutex
	order []string
}

// enter starts a request that holds its place for a time once it is granted.
func (w *waiters) enter(name string, req admitter.Request, holds time.Duration) {
	w.wg.Go(func() {
		g, err := w.a.Acquire(w.t.Context(), req)
		w.mu.Lock()
		if err != nil {
			w.order = append(w.order, name+" refused")
			w.mu.Unlock()
			return
		}
		w.order = append(w.order, name)
		w.mu.Unlock()
		time.Sleep(holds)
		g.End(time.Now(), false)
	})
	synctest.Wait()
}

// take returns the grants and refusals since the last call.
func (w *waiters) take() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.order
	w.order = nil
	return out
}

// Guards against a stream that waits behind new requests of its tier while its caller holds the first part of the answer, or goes
// before more urgent ones.
func TestBoundWorkGoesFirstInItsTier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &waiters{t: t, a: newVersionedAdmitter("v1")}
		w.enter("running", admitter.Request{Pool: "p"}, time.Second)
		long := boundTo("v1", 1)
		long.Work.Output = 500
		for _, r := range []struct {
			name string
			req  admitter.Request
		}{
			{"new", admitter.Request{Pool: "p", Tier: 1, Patience: time.Minute}},
			{"urgent", admitter.Request{Pool: "p", Patience: time.Minute}},
			{"bound", long},
			{"bound, less urgent", boundTo("v1", 2)},
		} {
			w.enter(r.name, r.req, 10*time.Millisecond)
		}
		w.wg.Wait()
		if diff := cmp.Diff([]string{"running", "urgent", "bound", "new", "bound, less urgent"}, w.take()); diff != "" {
			t.Errorf("order of the grants (-want +got):\n%s", diff)
		}
	})
}

// Guards against a stream that is refused because of the new requests of its tier that wait, although it goes before them.
func TestPredictedWaitOfBoundWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &waiters{t: t, a: newVersionedAdmitter("v1")}
		for i := range 8 {
			w.enter(fmt.Sprint(i), admitter.Request{Pool: "p", Patience: time.Second}, 100*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
		w.take()
		for range 20 {
			w.enter("new", admitter.Request{Pool: "p", Patience: time.Minute}, 100*time.Millisecond)
		}
		impatient := admitter.Request{Pool: "p", Patience: 500 * time.Millisecond}
		w.enter("late", impatient, 0)
		impatient.Work = balancer.Work{Bound: true, Version: "v1"}
		w.enter("bound", impatient, 0)
		time.Sleep(150 * time.Millisecond)
		if diff := cmp.Diff([]string{"new", "late refused", "bound", "new"}, w.take()); diff != "" {
			t.Errorf("order of the grants and refusals (-want +got):\n%s", diff)
		}
		w.wg.Wait()
	})
}

// Guards against streams whose version has no room that keep others from free places, and against streams that find no place of
// their version because many other requests wait.
func TestVersionWithoutRoomBlocksNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &waiters{t: t, a: newVersionedAdmitter("v1", "v2", "v3")}
		w.enter("v1 runs", boundTo("v1", 0), time.Minute)
		w.enter("v2 runs", boundTo("v2", 0), time.Second)
		w.enter("v3 runs", boundTo("v3", 0), 2*time.Second)
		w.take()
		blocked := boundTo("v1", 0)
		blocked.Patience = 4 * time.Second
		for range 100 {
			w.enter("blocked", blocked, 0)
		}
		w.enter("new", admitter.Request{Pool: "p", Tier: 1, Patience: time.Minute, Except: map[string]bool{"v3": true}}, time.Minute)
		for range 100 {
			except := map[string]bool{"v2": true, "v3": true}
			w.enter("excluded", admitter.Request{Pool: "p", Tier: 1, Patience: 4 * time.Second, Except: except}, 0)
		}
		w.enter("v3", boundTo("v3", 2), time.Minute)
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff([]string{"new", "v3"}, w.take()); diff != "" {
			t.Errorf("grants (-want +got):\n%s", diff)
		}
		w.wg.Wait()
	})
}
