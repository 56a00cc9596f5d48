// Package watcher polls load reports, cache events and the host list of the platform, and posts them to the scheduler of a
// pool.
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
	// DefaultPollTimeout bounds one request of a poll.
	DefaultPollTimeout = time.Second
)

var (
	loadFailures  = expvar.NewInt("watcher_load_failures")
	cacheFailures = expvar.NewInt("watcher_cache_failures")
	listFailures  = expvar.NewInt("watcher_list_failures")
)

// Engines provides the clients of engines by endpoint name, and the names of the engines of a pool.
type Engines interface {
	Engine(name string) (connector.Engine, bool)
	EnginesOf(pool string) []string
}

// Watcher polls for one pool. Each endpoint has its own goroutine and timeout, so that an unresponsive endpoint delays no
// other. Set the exported fields before Run; a zero Interval or PollTimeout means the default.
type Watcher struct {
	Pool        string
	Engines     Engines
	Interval    time.Duration
	PollTimeout time.Duration
	// List is the source of the platform's host list, or nil.
	List lister.Source
	// Post sends an event to the scheduler. It returns false when the scheduler has stopped.
	Post func(ctx context.Context, ev scheduler.Event) bool

	wg      sync.WaitGroup
	cancels map[string]context.CancelFunc
}

func (w *Watcher) interval() time.Duration {
	if w.Interval > 0 {
		return w.Interval
	}
	return DefaultInterval
}

func (w *Watcher) pollTimeout() time.Duration {
	if w.PollTimeout > 0 {
		return w.PollTimeout
	}
	return DefaultPollTimeout
}

// Run polls until ctx ends, and returns after all polls have ended.
func (w *Watcher) Run(ctx context.Context) {
	defer w.wg.Wait()
	w.cancels = make(map[string]context.CancelFunc)
	if w.List != nil {
		w.wg.Go(func() { w.pollHostList(ctx) })
	}
	ticker := time.NewTicker(w.interval())
	defer ticker.Stop()
	for {
		w.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts polling the endpoints that were added to the pool and stops polling those that were removed.
func (w *Watcher) reconcile(ctx context.Context) {
	names := make(map[string]bool)
	for _, name := range w.Engines.EnginesOf(w.Pool) {
		names[name] = true
		if w.cancels[name] == nil {
			pollCtx, cancel := context.WithCancel(ctx)
			w.cancels[name] = cancel
			w.wg.Go(func() { w.pollEngine(pollCtx, name) })
		}
	}
	for name, cancel := range w.cancels {
		if !names[name] {
			cancel()
			delete(w.cancels, name)
		}
	}
}

func (w *Watcher) waitForNextPoll(ctx context.Context) bool {
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

func (w *Watcher) pollEngine(ctx context.Context, name string) {
	var lastSeq uint64
	for {
		if e, ok := w.Engines.Engine(name); ok {
			w.pollLoad(ctx, name, e)
			lastSeq = w.pollCache(ctx, name, e, lastSeq)
		}
		if !w.waitForNextPoll(ctx) {
			return
		}
	}
}

func (w *Watcher) pollLoad(ctx context.Context, name string, e connector.Engine) {
	start := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, w.pollTimeout())
	defer cancel()
	report, err := e.Load(pollCtx)
	if err != nil {
		if ctx.Err() == nil {
			loadFailures.Add(1)
			klog.V(1).Infof("watcher: load poll failed endpoint=%s reason=%q", name, err)
		}
		return
	}
	w.Post(ctx, scheduler.LoadReported{
		Endpoint:      name,
		Age:           report.Age + time.Since(start),
		Running:       report.Running,
		Waiting:       report.Waiting,
		RunningTokens: report.RunningTokens,
	})
}

func (w *Watcher) pollCache(ctx context.Context, name string, e connector.Engine, since uint64) uint64 {
	pollCtx, cancel := context.WithTimeout(ctx, w.pollTimeout())
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

func (w *Watcher) pollHostList(ctx context.Context) {
	for {
		start := time.Now()
		pollCtx, cancel := context.WithTimeout(ctx, w.pollTimeout())
		list, err := w.List.Fetch(pollCtx)
		cancel()
		if err == nil {
			w.Post(ctx, scheduler.HostsListed{Age: list.Age + time.Since(start), Live: list.Live, Leaving: list.Leaving})
		} else if ctx.Err() == nil {
			listFailures.Add(1)
			klog.Warningf("watcher: host list poll failed pool=%s reason=%q", w.Pool, err)
		}
		if !w.waitForNextPoll(ctx) {
			return
		}
	}
}
