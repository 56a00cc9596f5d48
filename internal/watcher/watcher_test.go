package watcher

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/lister"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

type fakeEngine struct {
	connector.Engine
	unresponsive bool
}

func (e *fakeEngine) Load(ctx context.Context) (connector.LoadReport, error) {
	if e.unresponsive {
		<-ctx.Done()
		return connector.LoadReport{}, ctx.Err()
	}
	return connector.LoadReport{Age: time.Second}, nil
}

func (e *fakeEngine) CacheEvents(ctx context.Context, since uint64) ([]connector.CacheEvent, error) {
	if e.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return []connector.CacheEvent{{Seq: since + 1}}, nil
}

type fakeEngines struct {
	mu     sync.Mutex
	byName map[string]*fakeEngine
}

func (e *fakeEngines) Engine(name string) (connector.Engine, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.byName[name]
	return x, ok
}

func (e *fakeEngines) EnginesOf(string) (names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name := range e.byName {
		names = append(names, name)
	}
	return names
}

type fakeHostList struct{}

func (fakeHostList) Fetch(context.Context) (lister.List, error) {
	return lister.List{Live: []string{"good"}}, nil
}

// Guards against an unresponsive endpoint that delays the reports of others, against polling an endpoint that was removed,
// and against cache events that are read twice.
func TestUnresponsiveEndpointDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		loads, lists := map[string]int{}, 0
		var seqs []uint64
		all := &fakeEngines{byName: map[string]*fakeEngine{"good": {}, "silent": {unresponsive: true}}}
		w := &Watcher{Pool: "p", Engines: all, List: fakeHostList{}, Interval: 100 * time.Millisecond}
		w.Post = func(_ context.Context, ev scheduler.Event) bool {
			mu.Lock()
			defer mu.Unlock()
			switch ev := ev.(type) {
			case scheduler.LoadReported:
				loads[ev.Endpoint]++
			case scheduler.CacheChanged:
				seqs = append(seqs, ev.Seq)
			case scheduler.HostsListed:
				lists++
			}
			return true
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { w.Run(ctx) })
		time.Sleep(2 * time.Second)
		all.mu.Lock()
		delete(all.byName, "good")
		all.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		mu.Lock()
		before := loads["good"]
		mu.Unlock()
		time.Sleep(time.Second)
		cancel()
		wg.Wait()
		if before < 15 || loads["good"] != before || loads["silent"] != 0 || lists < 20 {
			t.Errorf("load reports %v (good: %d before its removal), %d host lists", loads, before, lists)
		}
		for i, seq := range seqs {
			if seq != uint64(i+1) {
				t.Fatalf("cache events %v, want consecutive sequence numbers", seqs)
			}
		}
	})
}
