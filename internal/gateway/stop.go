package gateway

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/estimator"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

// stopEnd is the time at which a stop closes the remaining connections. It is not set before a stop.
type stopEnd struct{ at atomic.Pointer[time.Time] }

// set sets the end. The zero time changes nothing.
func (s *stopEnd) set(end time.Time) {
	if !end.IsZero() {
		s.at.Store(&end)
	}
}

// left returns the time until the end, or false before a stop.
func (s *stopEnd) left() (time.Duration, bool) {
	if end := s.at.Load(); end != nil {
		return time.Until(*end), true
	}
	return 0, false
}

// sendTimes estimates, by the names of rules, how long endpoints take for complete responses.
type sendTimes struct {
	mu     sync.Mutex
	byRule map[string]*estimator.Duration
}

// observe records the time that an endpoint took for a complete response.
func (s *sendTimes) observe(rule string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRule == nil {
		s.byRule = map[string]*estimator.Duration{}
	}
	if s.byRule[rule] == nil {
		s.byRule[rule] = &estimator.Duration{}
	}
	s.byRule[rule].Observe(took)
}

// bound returns a time within which most responses under a rule are complete. Without observations it is the latency target.
func (s *sendTimes) bound(r *router.Rule) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.byRule[r.Name]; d != nil {
		if bound, known := d.Bound(); known {
			return bound
		}
	}
	return r.LatencyTarget
}

// retain drops the estimates of rules that a table does not have.
func (s *sendTimes) retain(t *router.Table) {
	names := make(map[string]bool, len(t.Rules))
	for _, r := range t.Rules {
		names[r.Name] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byRule, func(name string, _ *estimator.Duration) bool { return !names[name] })
}

// endsTooLate reports whether a request of which nothing was sent is unlikely to be complete before the host has stopped. The caller
// can then repeat it elsewhere at once, instead of losing its connection after it may have run.
func (q *request) endsTooLate() bool {
	left, stopping := q.g.stopEnd.left()
	if !stopping || q.mayHaveRun || q.streaming {
		return false
	}
	need := min(q.g.sendTimes.bound(q.rule), time.Until(q.deadline))
	if need <= left {
		return false
	}
	klog.InfoS("gateway: request cannot be finished before the end of the stop", "request", q.id, "rule", q.rule.Name, "needs", need, "left", left)
	return true
}
