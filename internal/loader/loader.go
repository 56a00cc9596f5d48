package loader

import (
	"context"
	"expvar"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Defaults of a Loader.
const (
	DefaultInterval      = time.Second
	DefaultLoadInterval  = 10 * time.Second
	DefaultOrderDelay    = 5 * time.Second
	DefaultOrderTimeout  = time.Minute
	defaultPreviousLease = time.Second
	readTimeout          = 2 * time.Second
)

var (
	ordersSent   = expvar.NewInt("loader_orders_given")
	ordersFailed = expvar.NewInt("loader_orders_failed")
)

// Engine is the part of an engine that the loader uses.
type Engine interface {
	Inventory(ctx context.Context) (connector.Inventory, error)
	Order(ctx context.Context, order connector.Order) error
}

// Loader sends the orders of the placement leader while the leader holds the lease. Set the exported fields before Run.
type Loader struct {
	// Epoch is the fencing number of the lease. LeaseValid reports whether the lease is still held.
	Epoch      uint64
	LeaseValid func() bool
	// Config returns the configuration in force.
	Config func() *configurer.Config
	// EngineOf returns the client of an engine.
	EngineOf func(e configurer.Endpoint) Engine
	// Interval is the time between two reads of the inventories, LoadInterval the least time between two loads. OrderDelay is
	// that of Options. Zero means the default.
	Interval     time.Duration
	LoadInterval time.Duration
	OrderDelay   time.Duration
}

// Run reads inventories and sends orders until ctx ends or the lease is lost.
func (l *Loader) Run(ctx context.Context) {
	planner := New(Options{
		Epoch: l.Epoch, PreviousLease: defaultPreviousLease, OrderTimeout: DefaultOrderTimeout,
		LoadInterval: orDefault(l.LoadInterval, DefaultLoadInterval), OrderDelay: orDefault(l.OrderDelay, DefaultOrderDelay),
	})
	started := time.Now()
	ticker := time.NewTicker(orDefault(l.Interval, DefaultInterval))
	defer ticker.Stop()
	klog.Infof("loader: started epoch=%d", l.Epoch)
	for l.LeaseValid() && ctx.Err() == nil {
		cfg := l.Config()
		if cfg != nil {
			planner.Configure(cfg)
			engines := l.readInventories(ctx, planner)
			for _, planned := range planner.Plan(time.Since(started)) {
				l.send(ctx, engines[planned.Endpoint], planned)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	klog.Infof("loader: stopped epoch=%d", l.Epoch)
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}

// readInventories reads all inventories concurrently within readTimeout, so that an unresponsive engine delays the orders to
// the others by no more than that. It returns the engines by endpoint name.
func (l *Loader) readInventories(ctx context.Context, planner *Planner) map[string]Engine {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	type reading struct {
		inventory connector.Inventory
		err       error
	}
	engines := make(map[string]Engine, len(planner.endpoints))
	readings := make([]reading, len(planner.endpoints))
	var wg sync.WaitGroup
	for i, e := range planner.endpoints {
		engine := l.EngineOf(e.config)
		engines[e.config.Name] = engine
		wg.Go(func() { readings[i].inventory, readings[i].err = engine.Inventory(ctx) })
	}
	wg.Wait()
	for i, e := range planner.endpoints {
		planner.Observe(e.config.Name, readings[i].inventory, readings[i].err)
	}
	return engines
}

func (l *Loader) send(ctx context.Context, engine Engine, planned PlannedOrder) {
	if !l.LeaseValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ordersSent.Add(1)
	err := engine.Order(ctx, planned.Order)
	klog.Infof("loader: order endpoint=%s kind=%s model=%s fence=%d reason=%q error=%v",
		planned.Endpoint, planned.Order.Kind, planned.Order.Model, planned.Order.Fence, planned.Reason, err)
	if err != nil {
		ordersFailed.Add(1)
	}
}
