// Package localcontroller is the control part for a trial in one process: configuration from a file, roles and the ledger of
// orders in memory. Nothing outlives the process, so that it is no replacement for control hosts.
package localcontroller

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// Controller is shared by the hosts of one process.
type Controller struct {
	mu      sync.Mutex
	version uint64
	cfg     *configurer.Config
	hosts   map[string]*Host
	roles   map[string]role
	orders  map[recorder.Key]*recorder.Record
}

type role struct {
	host  string
	epoch uint64
}

// New returns a controller with a first configuration version.
func New(cfg *configurer.Config) *Controller {
	return &Controller{
		version: 1,
		cfg:     cfg,
		hosts:   make(map[string]*Host),
		roles:   make(map[string]role),
		orders:  make(map[recorder.Key]*recorder.Record),
	}
}

// Host is the view of one host. Its methods have the meaning of those of the replicated control part.
type Host struct {
	c           *Controller
	id, addr    string
	incarnation uint64
	joined      chan struct{}
	live        bool
	draining    bool
	stale       bool
	roleFns     []func(role string, epoch uint64, held bool)
	configFns   []func(version uint64, cfg *configurer.Config)
}

// Host adds a host that peers reach at addr.
func (c *Controller) Host(id, addr string) *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &Host{c: c, id: id, addr: addr, incarnation: 1, joined: make(chan struct{})}
	if old := c.hosts[id]; old != nil {
		h.incarnation = old.incarnation + 1
	}
	c.hosts[id] = h
	return h
}

// Join makes the host eligible for roles. Call it when its handlers are registered.
func (h *Host) Join() { h.setLive(true) }

// Lose gives the host's roles to the other hosts, as after its death.
func (h *Host) Lose() { h.setLive(false) }

func (h *Host) setLive(live bool) {
	h.c.mu.Lock()
	h.live = live
	notify := h.c.assign()
	h.c.mu.Unlock()
	notify()
}

// Register has no methods to add.
func (h *Host) Register() {}

// Run joins and stays until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.Join()
	close(h.joined)
	<-ctx.Done()
	h.Lose()
	return nil
}

// Joined is closed when the host has joined.
func (h *Host) Joined() <-chan struct{} { return h.joined }

// Incarnation numbers the processes of a host.
func (h *Host) Incarnation() uint64 { return h.incarnation }

// Owners names the live hosts with their incarnations.
func (h *Host) Owners() []string {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	var owners []string
	for _, other := range h.c.hosts {
		if other.live {
			owners = append(owners, fmt.Sprintf("%s.%d", other.id, other.incarnation))
		}
	}
	slices.Sort(owners)
	return owners
}

// HandOver gives the host's roles to the other hosts, which can still reach it.
func (h *Host) HandOver(context.Context) error {
	h.c.mu.Lock()
	h.draining = true
	notify := h.c.assign()
	h.c.mu.Unlock()
	notify()
	return nil
}

// Leave removes the host.
func (h *Host) Leave(context.Context) error {
	h.Lose()
	return nil
}

// OnShed has no effect: nothing above the lowest tier is ever shed here.
func (h *Host) OnShed(func(closedBelow, permitTier int, permitFor time.Duration)) {}

// AskShedPermit has no effect.
func (h *Host) AskShedPermit(string, int) {}

// ConfirmClosed has no effect.
func (h *Host) ConfirmClosed(string, int) {}

// ShedLevel closes no tier.
func (h *Host) ShedLevel() (closedBelow int) { return math.MaxInt32 }

// SetFresh sets whether the host can confirm its configuration.
func (h *Host) SetFresh(fresh bool) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	h.stale = !fresh
}

// Configure puts a new configuration version in force.
func (c *Controller) Configure(cfg *configurer.Config) {
	c.mu.Lock()
	c.version++
	c.cfg = cfg
	version := c.version
	var fns []func(uint64, *configurer.Config)
	for _, h := range c.hosts {
		fns = append(fns, h.configFns...)
	}
	notify := c.assign()
	c.mu.Unlock()
	for _, fn := range fns {
		fn(version, cfg)
	}
	notify()
}

// assign gives each role without a live holder to the live host with the fewest roles. The result informs the hosts.
func (c *Controller) assign() func() {
	live := make([]string, 0, len(c.hosts))
	held := make(map[string]int)
	for id, h := range c.hosts {
		if h.live && !h.draining {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	for _, r := range c.roles {
		held[r.host]++
	}
	var calls []func()
	for _, p := range c.cfg.Pools {
		name := "pool/" + p.Name
		r, ok := c.roles[name]
		if current := c.hosts[r.host]; ok && current != nil && current.live && (!current.draining || len(live) == 0) {
			continue
		}
		if old := c.hosts[r.host]; ok && old != nil {
			for _, fn := range old.roleFns {
				calls = append(calls, func() { fn(name, r.epoch, false) })
			}
		}
		if len(live) == 0 {
			delete(c.roles, name)
			c.roles[name] = role{epoch: r.epoch}
			continue
		}
		next := slices.MinFunc(live, func(a, b string) int { return held[a] - held[b] })
		held[next]++
		granted := role{host: next, epoch: r.epoch + 1}
		c.roles[name] = granted
		for _, fn := range c.hosts[next].roleFns {
			calls = append(calls, func() { fn(name, granted.epoch, true) })
		}
	}
	return func() {
		for _, call := range calls {
			call()
		}
	}
}

// Config returns the configuration in force.
func (h *Host) Config() (version uint64, cfg *configurer.Config, fresh bool) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.c.version, h.c.cfg, !h.stale
}

// Subscribe calls fn for each later version.
func (h *Host) Subscribe(fn func(version uint64, cfg *configurer.Config)) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	h.configFns = append(h.configFns, fn)
}

// OnRole calls fn when the host gains or loses a role.
func (h *Host) OnRole(fn func(role string, epoch uint64, held bool)) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	h.roleFns = append(h.roleFns, fn)
}

// Holder returns the holder of a role.
func (h *Host) Holder(name string) (hostID, addr string, epoch uint64, ok bool) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	r, ok := h.c.roles[name]
	if !ok || h.c.hosts[r.host] == nil {
		return "", "", 0, false
	}
	return r.host, h.c.hosts[r.host].addr, r.epoch, true
}

// RoleValid reports whether the host holds a role under an epoch.
func (h *Host) RoleValid(name string, epoch uint64) bool {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.live && h.c.roles[name] == role{host: h.id, epoch: epoch}
}

// Addr returns the peer address of a live host.
func (h *Host) Addr(id string) (string, bool) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	other := h.c.hosts[id]
	if other == nil || !other.live {
		return "", false
	}
	return other.addr, true
}

// Intend records that an order is about to be dispatched. Granted is true for the one request that may do so.
func (h *Host) Intend(_ context.Context, o recorder.Intent) (recorder.Record, error) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	if r := h.c.orders[o.Key]; r != nil {
		out := *r
		out.Granted = r.Phase == recorder.PhaseIntended && r.RequestID == o.RequestID && r.Owner == o.Owner
		return out, nil
	}
	r := &recorder.Record{Intent: o, Phase: recorder.PhaseIntended}
	h.c.orders[o.Key] = r
	out := *r
	out.Granted = true
	return out, nil
}

// Conclude records the result of an order.
func (h *Host) Conclude(_ context.Context, key recorder.Key, owner string, out recorder.Outcome) error {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	r := h.c.orders[key]
	if r == nil || r.Owner != owner {
		return eris.Errorf("order %q is not held by %s", key.Value, owner)
	}
	r.Phase, r.Outcome = recorder.PhaseConcluded, &out
	if out.Outcome != "done" {
		r.Phase = recorder.PhaseUnknown
	}
	return nil
}

// Withdraw removes an order that was never sent.
func (h *Host) Withdraw(_ context.Context, key recorder.Key, owner string) error {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	r := h.c.orders[key]
	if r == nil {
		return nil
	}
	if r.Owner != owner || r.Phase != recorder.PhaseIntended {
		return eris.Errorf("order %q is not an open intent of %s", key.Value, owner)
	}
	delete(h.c.orders, key)
	return nil
}

// Order returns an order of the ledger.
func (h *Host) Order(_ context.Context, key recorder.Key) (recorder.Record, bool, error) {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	r := h.c.orders[key]
	if r == nil {
		return recorder.Record{}, false, nil
	}
	return *r, true, nil
}

// Orders returns a copy of the ledger.
func (c *Controller) Orders() map[recorder.Key]recorder.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[recorder.Key]recorder.Record, len(c.orders))
	for k, r := range maps.All(c.orders) {
		out[k] = *r
	}
	return out
}
