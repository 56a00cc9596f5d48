// Package heartbeatrequester requests immediate heartbeats from hosts, so that they receive a change without waiting for the
// heartbeat interval.
package heartbeatrequester

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
)

// timeout bounds one request; a host that does not answer receives the change with its next regular heartbeat.
const timeout = 300 * time.Millisecond

// Requester requests heartbeats, with at most one request per host in flight and one more pending. Set Network before use.
type Requester struct {
	Network heartbeater.Network

	mu    sync.Mutex
	hosts map[string]*requestState
	wg    sync.WaitGroup
}

// requestState is the state of the requests to one address.
type requestState struct {
	running bool
	again   bool
}

// Request requests a heartbeat from the host at an address without blocking. It does nothing once ctx has ended.
func (w *Requester) Request(ctx context.Context, addr, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == "" || ctx.Err() != nil {
		return
	}
	if w.hosts == nil {
		w.hosts = map[string]*requestState{}
	}
	s := w.hosts[addr]
	if s == nil {
		s = &requestState{}
		w.hosts[addr] = s
	}
	if s.running {
		s.again = true
		return
	}
	s.running = true
	w.wg.Go(func() {
		for again := true; again; again = w.finish(ctx, s) {
			w.send(ctx, addr, reason)
		}
	})
}

// Wait waits until no request is in flight. Cancel the context of all requests before.
func (w *Requester) Wait() { w.wg.Wait() }

// finish reports whether another heartbeat was requested from the host while a request was in flight.
func (w *Requester) finish(ctx context.Context, s *requestState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	again := s.again && ctx.Err() == nil
	s.running, s.again = again, false
	return again
}

func (w *Requester) send(ctx context.Context, addr, reason string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := w.Network.Call(ctx, addr, heartbeater.MethodWake, &controllerpb.WakeRequest{Reason: reason}, &controllerpb.WakeReply{})
	if err != nil {
		klog.V(1).Infof("waker: heartbeat request failed addr=%s reason=%q", addr, err)
	}
}
