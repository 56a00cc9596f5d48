// Package drainer waits until an HTTP listener that is shutting down has written all responses.
package drainer

import (
	"context"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
)

// Drainer counts the requests whose responses have not been written yet.
type Drainer struct {
	mu      sync.Mutex
	pending int
	idle    chan struct{}
}

// Begin counts a request until the HTTP library has written its response. The caller must call handlerReturned when the handler
// returns.
func (d *Drainer) Begin(c *app.RequestContext) (handlerReturned func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending++
	written := c.Finished()
	return func() {
		go func() {
			<-written
			d.end()
		}()
	}
}

func (d *Drainer) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending--; d.pending == 0 && d.idle != nil {
		close(d.idle)
		d.idle = nil
	}
}

// Wait blocks until all responses have been written, or returns the error of ctx if it ends first.
func (d *Drainer) Wait(ctx context.Context) error {
	d.mu.Lock()
	if d.pending == 0 {
		d.mu.Unlock()
		return nil
	}
	if d.idle == nil {
		d.idle = make(chan struct{})
	}
	idle := d.idle
	d.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-idle:
		return nil
	}
}
