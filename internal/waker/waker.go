// Package waker asks hosts to send their heartbeat at once, so that they learn of a change without waiting for the interval.
package waker

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
)

// timeout bounds one request; a host that does not answer learns of the change with its next heartbeat.
const timeout = 300 * time.Millisecond

// Waker keeps at most one request to a host in flight and one more waiting. Set Network before use.
type Waker struct {
	Network heartbeater.Network

	mu    sync.Mutex
	hosts map[string]*state
	wg    sync.WaitGroup
}

// state is the request to one address.
type state struct {
	running bool
	again   bool
}

// Wake asks the host at an address; it returns at once. It does nothing once ctx has ended.
func (w *Waker) Wake(ctx context.Context, addr, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == "" || ctx.Err() != nil {
		return
	}
	if w.hosts == nil {
		w.hosts = map[string]*state{}
	}
	s := w.hosts[addr]
	if s == nil {
		s = &state{}
		w.hosts[addr] = s
	}
	if s.running {
		s.again = true
		return
	}
	s.running = true
	w.wg.Go(func() {
		for again := true; again; again = w.finish(ctx, s) {
			w.call(ctx, addr, reason)
		}
	})
}

// Wait returns when no request is in flight; the context of all requests has ended.
func (w *Waker) Wait() { w.wg.Wait() }

// finish returns true when the host was to be woken again meanwhile.
func (w *Waker) finish(ctx context.Context, s *state) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	again := s.again && ctx.Err() == nil
	s.running, s.again = again, false
	return again
}

func (w *Waker) call(ctx context.Context, addr, reason string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := w.Network.Call(ctx, addr, heartbeater.MethodWake, &controllerpb.WakeRequest{Reason: reason}, &controllerpb.WakeReply{})
	if err != nil {
		klog.V(1).Infof("waker: cannot wake addr=%s reason=%q", addr, err)
	}
}
