// Package watcher polls load reports, cache events and the platform's host list for the scheduler of a pool.
package watcher

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/lister"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// Defaults of a Watcher.
const (
	DefaultInterval = 500 * time.Millisecond
	// DefaultDeadline bounds one poll of one endpoint.
	DefaultDeadline = time.Second
)

var (
	loadFailures  = expvar.NewInt("watcher_load_failures")
	cacheFailures = expvar.NewInt("watcher_cache_failures")
	listFailures  = expvar.NewInt("watcher_list_failures")
)

// Engines gives the engines of a pool.
type Engines interface {
	Engine(name string) (connector.Engine, bool)
	EnginesOf(pool string) []string
}

// Watcher polls for one pool. Each endpoint has a goroutine and a deadline of its own, so that a silent endpoint delays no other.
type Watcher struct {
	Pool     string
	Engines  Engines
	Interval time.Duration
	Deadline time.Duration
	// List is the platform's host list; it may be nil.
	List lister.Source
	// Post hands an event to the scheduler. It returns false when the scheduler has stopped.
	Post func(ctx context.Context, ev scheduler.Event) bool

	wg      sync.WaitGroup
	polling map[string]context.CancelFunc
}

func (w *Watcher) interval() time.Duration {
	if w.Interval > 0 {
		return w.Interval
	}
	return DefaultInterval
}

func (w *Watcher) deadline() time.Duration {
	if w.Deadline > 0 {
		return w.Deadline
	}
	return DefaultDeadline
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.wg.Wait()
	w.polling = make(map[string]context.CancelFunc)
	if w.List != nil {
		w.wg.Go(func() { w.watchList(ctx) })
	}
	ticker := time.NewTicker(w.interval())
	defer ticker.Stop()
	for {
		w.match(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// match starts and stops the polling of endpoints, so that it follows the configuration.
func (w *Watcher) match(ctx context.Context) {
	names := make(map[string]bool)
	for _, name := range w.Engines.EnginesOf(w.Pool) {
		names[name] = true
		if w.polling[name] == nil {
			pollCtx, cancel := context.WithCancel(ctx)
			w.polling[name] = cancel
			w.wg.Go(func() { w.watchEngine(pollCtx, name) })
		}
	}
	for name, cancel := range w.polling {
		if !names[name] {
			cancel()
			delete(w.polling, name)
		}
	}
}

func (w *Watcher) pause(ctx context.Context) bool {
	d := w.interval()
	timer := time.NewTimer(d*3/4 + rand.N(d/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (w *Watcher) watchEngine(ctx context.Context, name string) {
	var seen uint64
	for {
		if e, ok := w.Engines.Engine(name); ok {
			w.pollLoad(ctx, name, e)
			seen = w.pollCache(ctx, name, e, seen)
		}
		if !w.pause(ctx) {
			return
		}
	}
}

func (w *Watcher) pollLoad(ctx context.Context, name string, e connector.Engine) {
	began := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, w.deadline())
	defer cancel()
	report, err := e.Load(pollCtx)
	if err != nil {
		if ctx.Err() == nil {
			loadFailures.Add(1)
			klog.V(1).Infof("watcher: no load report endpoint=%s reason=%q", name, err)
		}
		return
	}
	w.Post(ctx, scheduler.LoadReported{
		Endpoint:      name,
		Age:           report.Age + time.Since(began),
		Running:       report.Running,
		Waiting:       report.Waiting,
		RunningTokens: report.RunningTokens,
	})
}

func (w *Watcher) pollCache(ctx context.Context, name string, e connector.Engine, since uint64) uint64 {
	pollCtx, cancel := context.WithTimeout(ctx, w.deadline())
	defer cancel()
	events, err := e.CacheEvents(pollCtx, since)
	if err != nil {
		if ctx.Err() == nil {
			cacheFailures.Add(1)
		}
		return since
	}
	for _, ev := range events {
		since = max(since, ev.Seq)
		w.Post(ctx, scheduler.CacheChanged{Endpoint: name, Seq: ev.Seq, Added: ev.Added, Removed: ev.Removed})
	}
	return since
}

func (w *Watcher) watchList(ctx context.Context) {
	for {
		began := time.Now()
		pollCtx, cancel := context.WithTimeout(ctx, w.deadline())
		list, err := w.List.Fetch(pollCtx)
		cancel()
		if err == nil {
			w.Post(ctx, scheduler.HostsListed{Age: list.Age + time.Since(began), Live: list.Live, Leaving: list.Leaving})
		} else if ctx.Err() == nil {
			listFailures.Add(1)
			klog.Warningf("watcher: no host list pool=%s reason=%q", w.Pool, err)
		}
		if !w.pause(ctx) {
			return
		}
	}
}
