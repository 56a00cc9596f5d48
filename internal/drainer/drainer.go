// Package drainer waits for the responses of a listener that stops.
package drainer

import (
	"context"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
)

// Drainer counts the requests whose responses have not been written yet.
type Drainer struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

// Begin counts a request until the library has written its response. Call returned when the handler returns.
func (f *Drainer) Begin(c *app.RequestContext) (returned func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	written := c.Finished()
	return func() {
		go func() {
			<-written
			f.end()
		}()
	}
}

func (f *Drainer) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.n--; f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// Wait blocks until all responses have been written.
func (f *Drainer) Wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-idle:
		return nil
	}
}
