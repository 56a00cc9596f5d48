// Package confirmer confirms leadership with a quorum and shares each confirmation among concurrent callers.
package confirmer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// timeout bounds one confirmation.
const timeout = 2 * time.Second

// Log confirms that this host is the leader. The quorum exchange must start after the call to ConfirmLeader.
type Log interface {
	ConfirmLeader(ctx context.Context) (term, applied uint64, err error)
}

// Confirmer batches confirmations of leadership: all calls made while a confirmation is in progress share the next one, which
// starts after they were made. With 640 hosts, this keeps the rate of quorum exchanges independent of the number of
// heartbeats. Set Log before Start.
type Confirmer struct {
	Log Log

	mu      sync.Mutex
	running bool
	next    *confirmation
	ctx     context.Context
	wg      sync.WaitGroup
}

// errClosed is returned for a confirmation that is requested before Start or after Stop.
var errClosed = eris.New("the control service does not run")

// Start enables confirmations, which run until ctx ends.
func (c *Confirmer) Start(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx = ctx
}

// Stop disables confirmations and waits for the ones in progress. Cancel the context passed to Start before.
func (c *Confirmer) Stop() {
	c.mu.Lock()
	c.ctx = nil
	c.mu.Unlock()
	c.wg.Wait()
}

type confirmation struct {
	done chan struct{}
	term uint64
	err  error
}

// ConfirmLeadership returns the term in which a quorum confirmed, after the call began, that this host is the leader. It returns
// an error if the confirmation fails or ctx ends.
func (c *Confirmer) ConfirmLeadership(ctx context.Context) (uint64, error) {
	c.mu.Lock()
	if c.ctx == nil {
		c.mu.Unlock()
		return 0, errClosed
	}
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	current := c.next
	if !c.running {
		c.running = true
		runCtx := c.ctx
		c.wg.Go(func() { c.run(runCtx) })
	}
	c.mu.Unlock()
	select {
	case <-current.done:
		return current.term, current.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (c *Confirmer) run(runCtx context.Context) {
	for {
		c.mu.Lock()
		round := c.next
		c.next = nil
		if round == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(runCtx, timeout)
		round.term, _, round.err = c.Log.ConfirmLeader(ctx)
		cancel()
		close(round.done)
	}
}
