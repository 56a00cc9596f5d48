// Package loader is the placement leader's duty: it orders engines to load and unload models until each has what the
// configuration names.
package loader

import (
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Options configure a Planner.
type Options struct {
	// Epoch is the fencing number of the placement lease.
	Epoch uint64
	// LoadInterval is the least time between two loads; the weight store's rate divided by a model's size gives it.
	LoadInterval time.Duration
	// OldLease and OrderDelay are waited out before an engine that ignores fencing numbers gets its first order: an
	// order of the previous leader may be given until its lease ends and take effect as much as OrderDelay later.
	OldLease   time.Duration
	OrderDelay time.Duration
	// OrderTimeout is when an order that the inventory does not confirm is given again.
	OrderTimeout time.Duration
}

// Give is an order for one engine.
type Give struct {
	Endpoint string
	Order    connector.Order
	Reason   string
}

// Planner decides which order is given next. It is pure: time and inventories are inputs.
type Planner struct {
	opts      Options
	started   time.Duration
	began     bool
	endpoints []*engine
	byName    map[string]*engine
	nextLoad  time.Duration
}

// engine is what the planner knows of one engine.
type engine struct {
	config configurer.Endpoint
	// loaded is the inventory as last read; it is nil while unknown.
	loaded  []string
	known   bool
	fence   uint64
	pending *pendingOrder
}

// pendingOrder is an order that the inventory has not confirmed yet.
type pendingOrder struct {
	order connector.Order
	at    time.Duration
}

// New returns a planner for one term of the placement lease.
func New(o Options) *Planner {
	return &Planner{opts: o, byName: make(map[string]*engine)}
}

// Configure applies the endpoints of a configuration; knowledge about endpoints that stay is kept.
func (p *Planner) Configure(cfg *configurer.Config) {
	pools := make(map[string]string)
	for _, pool := range cfg.Pools {
		pools[pool.Name] = pool.Kind
	}
	byName := make(map[string]*engine)
	p.endpoints = p.endpoints[:0]
	for _, e := range cfg.Endpoints {
		if pools[e.Pool] != configurer.KindModel {
			continue
		}
		known := p.byName[e.Name]
		if known == nil || known.config.Address != e.Address {
			known = &engine{}
		}
		known.config = e
		byName[e.Name] = known
		p.endpoints = append(p.endpoints, known)
	}
	p.byName = byName
}

// Observe records the inventory of an endpoint, or that it could not be read.
func (p *Planner) Observe(endpoint string, inventory connector.Inventory, err error) {
	e := p.byName[endpoint]
	if e == nil {
		return
	}
	e.known = err == nil
	if err != nil {
		return
	}
	e.loaded, e.fence = inventory.Models, inventory.Fence
	if e.pending != nil && e.confirms(e.pending.order) {
		e.pending = nil
	}
}

func (e *engine) confirms(o connector.Order) bool {
	loaded := slices.Contains(e.loaded, o.Model)
	return loaded == (o.Kind == connector.OrderLoad)
}

// Plan returns the orders to give now: at most one per engine, and at most one load per load interval.
func (p *Planner) Plan(now time.Duration) []Give {
	if !p.began {
		p.began, p.started = true, now
	}
	var gives []Give
	for _, e := range p.endpoints {
		if !p.mayOrder(now, e) {
			continue
		}
		give, ok := p.next(now, e)
		if !ok {
			continue
		}
		give.Order.Fence = p.opts.Epoch
		e.pending = &pendingOrder{order: give.Order, at: now}
		gives = append(gives, give)
	}
	return gives
}

// mayOrder reports whether an engine can take an order now.
func (p *Planner) mayOrder(now time.Duration, e *engine) bool {
	if !e.known || e.config.Drain {
		return false
	}
	if e.config.ChecksFencing && e.fence > p.opts.Epoch {
		return false
	}
	if !e.config.ChecksFencing && now < p.started+p.opts.OldLease+p.opts.OrderDelay {
		return false
	}
	if e.pending != nil && now < e.pending.at+p.opts.OrderTimeout {
		return false
	}
	return true
}

func (p *Planner) next(now time.Duration, e *engine) (Give, bool) {
	for _, m := range e.config.Models {
		if slices.Contains(e.loaded, m) {
			continue
		}
		if now < p.nextLoad {
			return Give{}, false
		}
		p.nextLoad = now + p.opts.LoadInterval
		return Give{e.config.Name, connector.Order{Kind: connector.OrderLoad, Model: m}, "configured model is missing"}, true
	}
	for _, m := range e.loaded {
		if !slices.Contains(e.config.Models, m) && p.servedElsewhere(e, m) {
			return Give{e.config.Name, connector.Order{Kind: connector.OrderUnload, Model: m}, "model is not configured"}, true
		}
	}
	return Give{}, false
}

// servedElsewhere reports whether a model stays available without e. A model that no pool names any more is not needed.
func (p *Planner) servedElsewhere(e *engine, model string) bool {
	configured := false
	for _, other := range p.endpoints {
		if other == e || !slices.Contains(other.config.Models, model) {
			continue
		}
		configured = true
		unloading := other.pending != nil && other.pending.order.Kind == connector.OrderUnload && other.pending.order.Model == model
		if other.known && !other.config.Drain && !unloading && slices.Contains(other.loaded, model) {
			return true
		}
	}
	return !configured
}
