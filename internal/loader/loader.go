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
	DefaultInterval     = time.Second
	DefaultLoadInterval = 10 * time.Second
	DefaultOrderDelay   = 5 * time.Second
	DefaultOrderTimeout = time.Minute
	defaultOldLease     = time.Second
	readTimeout         = 2 * time.Second
)

var (
	ordersGiven  = expvar.NewInt("loader_orders_given")
	ordersFailed = expvar.NewInt("loader_orders_failed")
)

// Engine is the part of an engine that the loader uses.
type Engine interface {
	Inventory(ctx context.Context) (connector.Inventory, error)
	Order(ctx context.Context, order connector.Order) error
}

// Loader gives the orders of the placement leader while it holds the lease. Set the exported fields before Run.
type Loader struct {
	// Epoch is the fencing number of the lease; Valid reports whether the lease still holds.
	Epoch uint64
	Valid func() bool
	// Config returns the configuration in force.
	Config func() *configurer.Config
	// Connect returns the engine of an endpoint.
	Connect func(e configurer.Endpoint) Engine
	// Interval is the time between two readings of the inventories; LoadInterval the least time between two loads.
	Interval     time.Duration
	LoadInterval time.Duration
	OrderDelay   time.Duration
}

// Run reads inventories and gives orders until ctx ends or the lease is lost.
func (l *Loader) Run(ctx context.Context) {
	planner := New(Options{
		Epoch: l.Epoch, OldLease: defaultOldLease, OrderTimeout: DefaultOrderTimeout,
		LoadInterval: orDefault(l.LoadInterval, DefaultLoadInterval), OrderDelay: orDefault(l.OrderDelay, DefaultOrderDelay),
	})
	started := time.Now()
	ticker := time.NewTicker(orDefault(l.Interval, DefaultInterval))
	defer ticker.Stop()
	klog.Infof("loader: started epoch=%d", l.Epoch)
	for l.Valid() && ctx.Err() == nil {
		cfg := l.Config()
		if cfg != nil {
			planner.Configure(cfg)
			engines := l.observe(ctx, planner)
			for _, give := range planner.Plan(time.Since(started)) {
				l.give(ctx, engines[give.Endpoint], give)
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

// observe reads all inventories at once, each with a deadline of its own, so that a silent engine delays nothing.
func (l *Loader) observe(ctx context.Context, planner *Planner) map[string]Engine {
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
		engine := l.Connect(e.config)
		engines[e.config.Name] = engine
		wg.Go(func() { readings[i].inventory, readings[i].err = engine.Inventory(ctx) })
	}
	wg.Wait()
	for i, e := range planner.endpoints {
		planner.Observe(e.config.Name, readings[i].inventory, readings[i].err)
	}
	return engines
}

func (l *Loader) give(ctx context.Context, engine Engine, give Give) {
	if !l.Valid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	ordersGiven.Add(1)
	err := engine.Order(ctx, give.Order)
	klog.Infof("loader: order endpoint=%s kind=%s model=%s fence=%d reason=%q error=%v",
		give.Endpoint, give.Order.Kind, give.Order.Model, give.Order.Fence, give.Reason, err)
	if err != nil {
		ordersFailed.Add(1)
	}
}
