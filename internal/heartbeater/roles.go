package heartbeater

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/leaseholder"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
)

// Holder returns the host that holds a role, "pool/NAME" or "placement", according to the leader's last reply. ok is false
// if the role has no holder among the live members.
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

// OnRole registers a callback for each role that this host starts or stops holding. For the roles it holds already, the
// callback is queued at once.
func (a *Agent) OnRole(fn func(role string, epoch uint64, held bool)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.onRole = append(a.onRole, fn)
	for role, l := range a.leases.Held() {
		a.enqueueCallback(func() { fn(role, l.Epoch, true) })
	}
}

// RoleValid reports whether this host's lease on a role is valid now, so that it may act as the holder.
func (a *Agent) RoleValid(role string, epoch uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	return a.leases.Valid(a.Clock.Now(), role, epoch)
}

// HandOver releases all roles and accepts no new ones. It returns once the callbacks have run and the leader has answered, so
// that the roles can be granted to other hosts, or with an error when ctx ends.
func (a *Agent) HandOver(ctx context.Context) error {
	a.mu.Lock()
	a.init()
	a.draining = true
	a.reportRoleChanges(a.leases.EndAll())
	delivered := make(chan struct{})
	a.enqueueCallback(func() { close(delivered) })
	a.mu.Unlock()
	select {
	case <-delivered:
	case <-ctx.Done():
		return ctx.Err()
	}
	return a.sendHeartbeatNow(ctx)
}

// Leave releases all roles and removes this process from the members. If the leader has another host for its place as a voter, Leave
// waits for replacementTimeout at most until that host has taken it. Orders of this process that are still open get an unknown
// outcome, so call it only when no request is in progress.
func (a *Agent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.init()
	a.leaving = true
	a.mu.Unlock()
	if err := a.HandOver(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, replacementTimeout)
	defer cancel()
	for a.isReplacing() {
		if err := a.sendHeartbeatNow(ctx); err != nil {
			return eris.Wrap(err, "wait for the replacement as a voter")
		}
		select {
		case <-time.After(replacementInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

func (a *Agent) isReplacing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.replacing
}

// sendHeartbeatNow requests a heartbeat and retries until a leader has answered or ctx ends.
func (a *Agent) sendHeartbeatNow(ctx context.Context) error {
	for {
		answered := make(chan bool, 1)
		select {
		case a.heartbeatRequests <- answered:
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

func (a *Agent) applyRoles(sent time.Time, r *controllerpb.HeartbeatReply) {
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
		a.reportRoleChanges(a.leases.Grant(now, g.GetRole(), g.GetEpoch(), until))
	}
}

// reportRoleChanges logs role changes and queues the callbacks for them. The caller must hold a.mu.
func (a *Agent) reportRoleChanges(changes []leaseholder.Change) {
	for _, c := range changes {
		klog.Infof("heartbeater: role host=%s role=%s epoch=%d held=%t", a.HostID, c.Role, c.Epoch, c.Held)
		if !c.Held {
			a.shed.removeRole(c.Role)
		}
		for _, fn := range a.onRole {
			a.enqueueCallback(func() { fn(c.Role, c.Epoch, c.Held) })
		}
	}
}

// leaseExpiryLoop ends the roles whose lease has expired.
func (a *Agent) leaseExpiryLoop(ctx context.Context) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.mu.Lock()
			a.reportRoleChanges(a.leases.Expire(a.Clock.Now()))
			a.mu.Unlock()
		}
	}
}
