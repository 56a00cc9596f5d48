// Package loader implements the work of the placement leader: it sends load and unload orders to the engines until each has
// loaded the models in its configuration.
package loader

import (
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Options configures a Planner.
type Options struct {
	// Epoch is the fencing number of the placement lease.
	Epoch uint64
	// LoadInterval is the least time between two loads. It follows from the size of a model and the bandwidth of the weight
	// store.
	LoadInterval time.Duration
	// PreviousLease plus OrderDelay must pass before the first order to an engine that ignores fencing numbers: the previous
	// leader may send an order until its lease ends, and the order may take effect up to OrderDelay later.
	PreviousLease time.Duration
	OrderDelay    time.Duration
	// OrderTimeout is the time after which an order is planned again unless the inventory confirms it.
	OrderTimeout time.Duration
}

// PlannedOrder is an order for one engine, with its reason for the log.
type PlannedOrder struct {
	Endpoint string
	Order    connector.Order
	Reason   string
}

// Planner plans the orders. It performs no I/O and reads no clock: inventories and the time are arguments. It is not safe for
// concurrent use.
type Planner struct {
	opts      Options
	startedAt time.Duration
	started   bool
	endpoints []*engineState
	byName    map[string]*engineState
	nextLoad  time.Duration
}

// engineState is the last known state of one engine.
type engineState struct {
	config configurer.Endpoint
	// loaded holds the models of the inventory as last read, and inventoryKnown is false when the last read failed.
	loaded         []string
	inventoryKnown bool
	fence          uint64
	pending        *pendingOrder
}

// pendingOrder is an order that the inventory has not confirmed yet.
type pendingOrder struct {
	order  connector.Order
	sentAt time.Duration
}

// New returns a planner for one term of the placement lease.
func New(o Options) *Planner {
	return &Planner{opts: o, byName: make(map[string]*engineState)}
}

// Configure applies the endpoints of a configuration. It keeps the state of endpoints whose name and address are unchanged.
func (p *Planner) Configure(cfg *configurer.Config) {
	pools := make(map[string]string)
	for _, pool := range cfg.Pools {
		pools[pool.Name] = pool.Kind
	}
	byName := make(map[string]*engineState)
	p.endpoints = p.endpoints[:0]
	for _, e := range cfg.Endpoints {
		if pools[e.Pool] != configurer.KindModel {
			continue
		}
		state := p.byName[e.Name]
		if state == nil || state.config.Address != e.Address {
			state = &engineState{}
		}
		state.config = e
		byName[e.Name] = state
		p.endpoints = append(p.endpoints, state)
	}
	p.byName = byName
}

// Observe records the inventory of an endpoint, or the error of reading it.
func (p *Planner) Observe(endpoint string, inventory connector.Inventory, err error) {
	e := p.byName[endpoint]
	if e == nil {
		return
	}
	e.inventoryKnown = err == nil
	if err != nil {
		return
	}
	e.loaded, e.fence = inventory.Models, inventory.Fence
	if e.pending != nil && e.confirms(e.pending.order) {
		e.pending = nil
	}
}

func (e *engineState) confirms(o connector.Order) bool {
	loaded := slices.Contains(e.loaded, o.Model)
	return loaded == (o.Kind == connector.OrderLoad)
}

// Plan returns the orders to send now: at most one per engine, and at most one load per LoadInterval.
func (p *Planner) Plan(now time.Duration) []PlannedOrder {
	if !p.started {
		p.started, p.startedAt = true, now
	}
	var planned []PlannedOrder
	for _, e := range p.endpoints {
		if !p.mayOrder(now, e) {
			continue
		}
		next, ok := p.nextOrder(now, e)
		if !ok {
			continue
		}
		next.Order.Fence = p.opts.Epoch
		e.pending = &pendingOrder{order: next.Order, sentAt: now}
		planned = append(planned, next)
	}
	return planned
}

// mayOrder reports whether an order may be sent to an engine now.
func (p *Planner) mayOrder(now time.Duration, e *engineState) bool {
	if !e.inventoryKnown || e.config.Drain {
		return false
	}
	if e.config.ChecksFencing && e.fence > p.opts.Epoch {
		return false
	}
	if !e.config.ChecksFencing && now < p.startedAt+p.opts.PreviousLease+p.opts.OrderDelay {
		return false
	}
	if e.pending != nil && now < e.pending.sentAt+p.opts.OrderTimeout {
		return false
	}
	return true
}

func (p *Planner) nextOrder(now time.Duration, e *engineState) (PlannedOrder, bool) {
	for _, m := range e.config.Models {
		if slices.Contains(e.loaded, m) {
			continue
		}
		if now < p.nextLoad {
			return PlannedOrder{}, false
		}
		p.nextLoad = now + p.opts.LoadInterval
		return PlannedOrder{e.config.Name, connector.Order{Kind: connector.OrderLoad, Model: m}, "configured model is missing"}, true
	}
	for _, m := range e.loaded {
		if !slices.Contains(e.config.Models, m) && p.servedElsewhere(e, m) {
			return PlannedOrder{e.config.Name, connector.Order{Kind: connector.OrderUnload, Model: m}, "model is not configured"}, true
		}
	}
	return PlannedOrder{}, false
}

// servedElsewhere reports whether e may unload a model: another endpoint serves it, or no other endpoint is configured with
// it, so that it is no longer needed.
func (p *Planner) servedElsewhere(e *engineState, model string) bool {
	configured := false
	for _, other := range p.endpoints {
		if other == e || !slices.Contains(other.config.Models, model) {
			continue
		}
		configured = true
		unloading := other.pending != nil && other.pending.order.Kind == connector.OrderUnload && other.pending.order.Model == model
		if other.inventoryKnown && !other.config.Drain && !unloading && slices.Contains(other.loaded, model) {
			return true
		}
	}
	return !configured
}
