package heartbeater

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/leaseholder"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
)

// Holder returns the host that holds a role, "pool/NAME" or "placement", as last heard from the leader.
func (a *Agent) Holder(role string) (hostID, addr string, epoch uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, known := a.holders[role]
	if !known {
		return "", "", 0, false
	}
	i := slices.IndexFunc(a.members, func(m marshaller.Member) bool {
		return m.Host == at.Host && m.Incarnation == at.Incarnation
	})
	if i < 0 {
		return "", "", 0, false
	}
	return at.Host, a.members[i].Addr, at.Epoch, true
}

// OnRole registers a function that is called when this host starts or stops holding a role. It is called at once for the
// roles held already.
func (a *Agent) OnRole(fn func(role string, epoch uint64, held bool)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.onRole = append(a.onRole, fn)
	for role, l := range a.leases.Held() {
		a.enqueue(func() { fn(role, l.Epoch, true) })
	}
}

// RoleValid reports whether this host may act under a role at this moment.
func (a *Agent) RoleValid(role string, epoch uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	return a.leases.Valid(a.Clock.Now(), role, epoch)
}

// HandOver gives up all roles and takes no new ones. It returns once the callbacks have run and the leader has answered,
// so that the roles are free for others.
func (a *Agent) HandOver(ctx context.Context) error {
	a.mu.Lock()
	a.init()
	a.draining = true
	a.report(a.leases.EndAll())
	delivered := make(chan struct{})
	a.enqueue(func() { close(delivered) })
	a.mu.Unlock()
	select {
	case <-delivered:
	case <-ctx.Done():
		return ctx.Err()
	}
	return a.beatNow(ctx)
}

// Leave hands the roles over and removes this process from the members. Its open orders become unknown, so that it is
// called when no request is in progress.
func (a *Agent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.init()
	a.leaving = true
	a.mu.Unlock()
	return a.HandOver(ctx)
}

// beatNow sends a heartbeat at once, and again until a leader has answered.
func (a *Agent) beatNow(ctx context.Context) error {
	for {
		answered := make(chan bool, 1)
		select {
		case a.wake <- answered:
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case ok := <-answered:
			if ok {
				return nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *Agent) acceptRoles(sent time.Time, r *controllerpb.HeartbeatReply) {
	a.holders = make(map[string]marshaller.Assignment, len(r.GetHolders()))
	for _, h := range r.GetHolders() {
		a.holders[h.GetName()] = marshaller.Assignment{Host: h.GetHost(), Incarnation: h.GetIncarnation(), Epoch: h.GetEpoch()}
		a.leases.Observe(h.GetName(), h.GetEpoch())
	}
	if a.draining {
		return
	}
	now, until := a.Clock.Now(), sent.Add(time.Duration(r.GetLeaseMs())*time.Millisecond)
	for _, g := range r.GetGranted() {
		a.report(a.leases.Grant(now, g.GetRole(), g.GetEpoch(), until))
	}
}

// report logs changes of roles and passes them to the callbacks; the caller holds the lock.
func (a *Agent) report(changes []leaseholder.Change) {
	for _, c := range changes {
		klog.Infof("heartbeater: role host=%s role=%s epoch=%d held=%t", a.HostID, c.Role, c.Epoch, c.Held)
		if !c.Held {
			a.shed.forget(c.Role)
		}
		for _, fn := range a.onRole {
			a.enqueue(func() { fn(c.Role, c.Epoch, c.Held) })
		}
	}
}

// expireLoop ends the roles whose lease has lapsed.
func (a *Agent) expireLoop(ctx context.Context) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.mu.Lock()
			a.report(a.leases.Expire(a.Clock.Now()))
			a.mu.Unlock()
		}
	}
}
