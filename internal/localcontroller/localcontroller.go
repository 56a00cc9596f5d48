// Package localcontroller implements the control functions within one process, for tests and trials. It keeps the given
// configuration, the roles and the ledger of orders in memory only. All of it is lost when the process ends, so it does not
// replace control hosts.
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

// Controller is the state that the hosts of one process share. It is safe for concurrent use.
type Controller struct {
	mu      sync.Mutex
	version uint64
	cfg     *configurer.Config
	hosts   map[string]*Host
	roles   map[string]roleHolder
	orders  map[recorder.Key]*recorder.Record
}

type roleHolder struct {
	hostID string
	epoch  uint64
}

// New returns a controller with cfg as configuration version 1.
func New(cfg *configurer.Config) *Controller {
	return &Controller{
		version: 1,
		cfg:     cfg,
		hosts:   make(map[string]*Host),
		roles:   make(map[string]roleHolder),
		orders:  make(map[recorder.Key]*recorder.Record),
	}
}

// Host is the controller as used by one host. Its methods correspond to those of the replicated implementation.
type Host struct {
	controller      *Controller
	id, addr        string
	incarnation     uint64
	joined          chan struct{}
	live            bool
	draining        bool
	stale           bool
	roleCallbacks   []func(role string, epoch uint64, held bool)
	configCallbacks []func(version uint64, cfg *configurer.Config)
}

// Host adds a host with the given id, which peers dial at addr. An id that was used before gets the next incarnation.
func (c *Controller) Host(id, addr string) *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &Host{controller: c, id: id, addr: addr, incarnation: 1, joined: make(chan struct{})}
	if old := c.hosts[id]; old != nil {
		h.incarnation = old.incarnation + 1
	}
	c.hosts[id] = h
	return h
}

// Join makes the host eligible for roles. It must be called after the host has registered its handlers.
func (h *Host) Join() { h.setLive(true) }

// MarkLost assigns the host's roles to other hosts, as after a crash of the host.
func (h *Host) MarkLost() { h.setLive(false) }

func (h *Host) setLive(live bool) {
	h.controller.mu.Lock()
	h.live = live
	runRoleCallbacks := h.controller.assignRoles()
	h.controller.mu.Unlock()
	runRoleCallbacks()
}

// Register has no effect, because this implementation has no transport methods.
func (h *Host) Register() {}

// Run joins the host, waits until ctx is done and then marks the host as lost.
func (h *Host) Run(ctx context.Context) error {
	h.Join()
	close(h.joined)
	<-ctx.Done()
	h.MarkLost()
	return nil
}

// Joined returns a channel that is closed when the host has joined.
func (h *Host) Joined() <-chan struct{} { return h.joined }

// Incarnation returns the number of this instance of the host, counted from 1.
func (h *Host) Incarnation() uint64 { return h.incarnation }

// Owners returns the live hosts with their incarnations, as they appear as owners of orders.
func (h *Host) Owners() []string {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	var owners []string
	for _, other := range h.controller.hosts {
		if other.live {
			owners = append(owners, fmt.Sprintf("%s.%d", other.id, other.incarnation))
		}
	}
	slices.Sort(owners)
	return owners
}

// HandOver assigns the host's roles to other hosts. The host stays live and reachable.
func (h *Host) HandOver(context.Context) error {
	h.controller.mu.Lock()
	h.draining = true
	runRoleCallbacks := h.controller.assignRoles()
	h.controller.mu.Unlock()
	runRoleCallbacks()
	return nil
}

// Leave marks the host as lost.
func (h *Host) Leave(context.Context) error {
	h.MarkLost()
	return nil
}

// OnShed has no effect, because this controller never closes a tier.
func (h *Host) OnShed(func(closedBelow, permitTier int, permitFor time.Duration)) {}

// AskShedPermit has no effect, because this controller never closes a tier.
func (h *Host) AskShedPermit(string, int) {}

// ConfirmClosed has no effect, because this controller never closes a tier.
func (h *Host) ConfirmClosed(string, int) {}

// ShedLevel returns a level that closes no tier.
func (h *Host) ShedLevel() (closedBelow int) { return math.MaxInt32 }

// SetFresh sets whether Config reports the configuration as fresh, which means confirmed to be the current one.
func (h *Host) SetFresh(fresh bool) {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	h.stale = !fresh
}

// Configure sets cfg as the next configuration version, calls the subscribers and assigns the roles of new pools.
func (c *Controller) Configure(cfg *configurer.Config) {
	c.mu.Lock()
	c.version++
	c.cfg = cfg
	version := c.version
	var callbacks []func(uint64, *configurer.Config)
	for _, h := range c.hosts {
		callbacks = append(callbacks, h.configCallbacks...)
	}
	runRoleCallbacks := c.assignRoles()
	c.mu.Unlock()
	for _, fn := range callbacks {
		fn(version, cfg)
	}
	runRoleCallbacks()
}

// assignRoles assigns each role without a live holder to the live host that holds the fewest roles. The caller must hold
// the lock, and after releasing it call the returned function, which runs the callbacks of the affected hosts.
func (c *Controller) assignRoles() func() {
	live := make([]string, 0, len(c.hosts))
	held := make(map[string]int)
	for id, h := range c.hosts {
		if h.live && !h.draining {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	for _, r := range c.roles {
		held[r.hostID]++
	}
	var callbacks []func()
	for _, p := range c.cfg.Pools {
		name := "pool/" + p.Name
		r, ok := c.roles[name]
		if current := c.hosts[r.hostID]; ok && current != nil && current.live && (!current.draining || len(live) == 0) {
			continue
		}
		if old := c.hosts[r.hostID]; ok && old != nil {
			for _, fn := range old.roleCallbacks {
				callbacks = append(callbacks, func() { fn(name, r.epoch, false) })
			}
		}
		if len(live) == 0 {
			delete(c.roles, name)
			c.roles[name] = roleHolder{epoch: r.epoch}
			continue
		}
		next := slices.MinFunc(live, func(a, b string) int { return held[a] - held[b] })
		held[next]++
		granted := roleHolder{hostID: next, epoch: r.epoch + 1}
		c.roles[name] = granted
		for _, fn := range c.hosts[next].roleCallbacks {
			callbacks = append(callbacks, func() { fn(name, granted.epoch, true) })
		}
	}
	return func() {
		for _, callback := range callbacks {
			callback()
		}
	}
}

// Config returns the current configuration and whether it is fresh; see SetFresh.
func (h *Host) Config() (version uint64, cfg *configurer.Config, fresh bool) {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	return h.controller.version, h.controller.cfg, !h.stale
}

// Subscribe registers fn to be called for each later configuration version.
func (h *Host) Subscribe(fn func(version uint64, cfg *configurer.Config)) {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	h.configCallbacks = append(h.configCallbacks, fn)
}

// OnRole registers fn to be called when the host gains or loses a role.
func (h *Host) OnRole(fn func(role string, epoch uint64, held bool)) {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	h.roleCallbacks = append(h.roleCallbacks, fn)
}

// Holder returns the host that holds a role, its peer address and the epoch.
func (h *Host) Holder(name string) (hostID, addr string, epoch uint64, ok bool) {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	r, ok := h.controller.roles[name]
	if !ok || h.controller.hosts[r.hostID] == nil {
		return "", "", 0, false
	}
	return r.hostID, h.controller.hosts[r.hostID].addr, r.epoch, true
}

// RoleValid reports whether the host is live and holds a role with the given epoch.
func (h *Host) RoleValid(name string, epoch uint64) bool {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	return h.live && h.controller.roles[name] == roleHolder{hostID: h.id, epoch: epoch}
}

// Addr returns the peer address of a live host.
func (h *Host) Addr(id string) (string, bool) {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	other := h.controller.hosts[id]
	if other == nil || !other.live {
		return "", false
	}
	return other.addr, true
}

// Intend records that an order is about to be dispatched. Granted is true only for the request that may dispatch it.
func (h *Host) Intend(_ context.Context, o recorder.Intent) (recorder.Record, error) {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	if r := h.controller.orders[o.Key]; r != nil {
		out := *r
		out.Granted = r.Phase == recorder.PhaseIntended && r.RequestID == o.RequestID && r.Owner == o.Owner
		return out, nil
	}
	r := &recorder.Record{Intent: o, Phase: recorder.PhaseIntended}
	h.controller.orders[o.Key] = r
	out := *r
	out.Granted = true
	return out, nil
}

// Conclude records the outcome of an order.
func (h *Host) Conclude(_ context.Context, key recorder.Key, owner string, out recorder.Outcome) error {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	r := h.controller.orders[key]
	if r == nil || r.Owner != owner {
		return eris.Errorf("order %q is not held by %s", key.Value, owner)
	}
	r.Phase, r.Outcome = recorder.PhaseConcluded, &out
	if out.Outcome != "done" {
		r.Phase = recorder.PhaseUnknown
	}
	return nil
}

// Withdraw removes an order of which no byte was sent. It has no effect if the ledger has no such order.
func (h *Host) Withdraw(_ context.Context, key recorder.Key, owner string) error {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	r := h.controller.orders[key]
	if r == nil {
		return nil
	}
	if r.Owner != owner || r.Phase != recorder.PhaseIntended {
		return eris.Errorf("order %q is not an open intent of %s", key.Value, owner)
	}
	delete(h.controller.orders, key)
	return nil
}

// Order returns an order of the ledger and whether it exists.
func (h *Host) Order(_ context.Context, key recorder.Key) (recorder.Record, bool, error) {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	r := h.controller.orders[key]
	if r == nil {
		return recorder.Record{}, false, nil
	}
	return *r, true, nil
}

// Orders returns a copy of all orders of the ledger.
func (c *Controller) Orders() map[recorder.Key]recorder.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[recorder.Key]recorder.Record, len(c.orders))
	for k, r := range maps.All(c.orders) {
		out[k] = *r
	}
	return out
}
