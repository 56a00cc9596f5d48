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
func (r *Requester) Request(ctx context.Context, addr, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr == "" || ctx.Err() != nil {
		return
	}
	if r.hosts == nil {
		r.hosts = map[string]*requestState{}
	}
	s := r.hosts[addr]
	if s == nil {
		s = &requestState{}
		r.hosts[addr] = s
	}
	if s.running {
		s.again = true
		return
	}
	s.running = true
	r.wg.Go(func() {
		for again := true; again; again = r.finish(ctx, s) {
			r.send(ctx, addr, reason)
		}
	})
}

// Wait waits until no request is in flight. Cancel the context of all requests before.
func (r *Requester) Wait() { r.wg.Wait() }

// finish reports whether another heartbeat was requested from the host while a request was in flight.
func (r *Requester) finish(ctx context.Context, s *requestState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := s.again && ctx.Err() == nil
	s.running, s.again = again, false
	return again
}

func (r *Requester) send(ctx context.Context, addr, reason string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := r.Network.Call(ctx, addr, heartbeater.MethodWake, &controllerpb.WakeRequest{Reason: reason}, &controllerpb.WakeReply{})
	if err != nil {
		klog.V(1).Infof("waker: heartbeat request failed addr=%s reason=%q", addr, err)
	}
}
