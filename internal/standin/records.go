package standin

import (
	"maps"
	"sync"
)

// Records counts what the stand-ins ran. Checks of the promises compare against them.
type Records struct {
	mu         sync.Mutex
	dispatches map[string]int
	finished   map[string]int
	canceled   map[string]int
	executions map[string]int
	byEndpoint map[string]int
}

func count(m *map[string]int, key string) {
	if *m == nil {
		*m = make(map[string]int)
	}
	(*m)[key]++
}

func (r *Records) dispatched(endpoint, requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count(&r.dispatches, requestID)
	count(&r.byEndpoint, endpoint)
}

func (r *Records) finish(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count(&r.finished, requestID)
}

func (r *Records) cancel(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count(&r.canceled, requestID)
}

func (r *Records) execute(orderKey string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count(&r.executions, orderKey)
}

func (r *Records) copyOf(m *map[string]int) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(*m)
}

// Dispatches returns how often each request id was dispatched.
func (r *Records) Dispatches() map[string]int { return r.copyOf(&r.dispatches) }

// Finished returns how often each request id ran to its end.
func (r *Records) Finished() map[string]int { return r.copyOf(&r.finished) }

// Canceled returns how often each request id was cancelled.
func (r *Records) Canceled() map[string]int { return r.copyOf(&r.canceled) }

// Executions returns how often each order key was executed by a plain service.
func (r *Records) Executions() map[string]int { return r.copyOf(&r.executions) }

// ByEndpoint returns how many dispatches each endpoint received.
func (r *Records) ByEndpoint() map[string]int { return r.copyOf(&r.byEndpoint) }
