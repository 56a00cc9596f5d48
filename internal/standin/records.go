package standin

import (
	"maps"
	"sync"
)

// Records counts the requests and orders that the stand-ins ran. Tests compare the counts with the outcomes that callers
// received.
type Records struct {
	mu         sync.Mutex
	dispatches map[string]int
	finished   map[string]int
	canceled   map[string]int
	executions map[string]int
	byEndpoint map[string]int
}

func increment(m *map[string]int, key string) {
	if *m == nil {
		*m = make(map[string]int)
	}
	(*m)[key]++
}

func (r *Records) recordDispatch(endpoint, requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	increment(&r.dispatches, requestID)
	increment(&r.byEndpoint, endpoint)
}

func (r *Records) recordFinish(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	increment(&r.finished, requestID)
}

func (r *Records) recordCancel(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	increment(&r.canceled, requestID)
}

func (r *Records) recordExecution(orderKey string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	increment(&r.executions, orderKey)
}

func (r *Records) snapshot(m *map[string]int) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(*m)
}

// Dispatches returns how often each request id was dispatched.
func (r *Records) Dispatches() map[string]int { return r.snapshot(&r.dispatches) }

// Finished returns how often each request id ran to completion.
func (r *Records) Finished() map[string]int { return r.snapshot(&r.finished) }

// Canceled returns how often each request id was cancelled.
func (r *Records) Canceled() map[string]int { return r.snapshot(&r.canceled) }

// Executions returns how often each order key was executed by a plain service.
func (r *Records) Executions() map[string]int { return r.snapshot(&r.executions) }

// ByEndpoint returns how many dispatches each endpoint received.
func (r *Records) ByEndpoint() map[string]int { return r.snapshot(&r.byEndpoint) }
