package controller

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/applier"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
)

// wakeState keeps at most one request to a host in flight and one more waiting.
type wakeState struct {
	mu      sync.Mutex
	running bool
	again   bool
}

// wake asks a host to send its heartbeat at once, so that it learns of a change without waiting for the interval.
func (s *Service) wake(ctx context.Context, addr, reason string) {
	if addr == "" {
		return
	}
	w := s.wakeFor(addr)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running {
		w.again = true
		return
	}
	w.running = true
	s.wg.Go(func() {
		for {
			s.wakeOnce(ctx, addr, reason)
			w.mu.Lock()
			if !w.again || ctx.Err() != nil {
				w.running, w.again = false, false
				w.mu.Unlock()
				return
			}
			w.again = false
			w.mu.Unlock()
		}
	})
}

func (s *Service) wakeOnce(ctx context.Context, addr, reason string) {
	ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
	defer cancel()
	err := s.Network.Call(ctx, addr, heartbeater.MethodWake, &controllerpb.WakeRequest{Reason: reason}, &controllerpb.WakeReply{})
	if err != nil {
		klog.V(1).Infof("controller: cannot wake addr=%s reason=%q", addr, err)
	}
}

func (s *Service) wakeFor(addr string) *wakeState {
	w, _ := s.wakes.LoadOrStore(addr, &wakeState{})
	return w.(*wakeState)
}

// wakeHolders wakes the holders of pool roles.
func (s *Service) wakeHolders(ctx context.Context, members []Member, roles map[string]applier.Assignment) {
	holders := map[string]bool{}
	for role, a := range roles {
		if isPoolRole(role) {
			holders[a.Host] = true
		}
	}
	for _, m := range members {
		if holders[m.Host] {
			s.wake(ctx, m.Addr, "shed level")
		}
	}
}
