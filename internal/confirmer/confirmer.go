// Package confirmer shares confirmations of leadership among the exchanges that wait for one.
package confirmer

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// timeout bounds one confirmation.
const timeout = 2 * time.Second

// Log confirms that this host leads; a confirmation begins after the call.
type Log interface {
	ConfirmLeader(ctx context.Context) (term, applied uint64, err error)
}

// Confirmer shares confirmations of leadership: all callers that arrive while one is in progress are answered by the next
// one, which begins after their arrival. At 640 hosts this keeps quorum exchanges independent of the number of heartbeats.
// Set Log before Start.
type Confirmer struct {
	Log Log

	mu      sync.Mutex
	running bool
	next    *confirmation
	ctx     context.Context
	wg      sync.WaitGroup
}

// errClosed reports a confirmation asked of a service that does not run.
var errClosed = eris.New("the control service does not run")

// Start allows confirmations until ctx ends.
func (c *Confirmer) Start(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx = ctx
}

// Stop waits for the confirmation in progress; the context passed to Start has ended.
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

// Leader returns the term in which a quorum confirmed, after the call began, that this host leads.
func (c *Confirmer) Leader(ctx context.Context) (uint64, error) {
	c.mu.Lock()
	if c.ctx == nil {
		c.mu.Unlock()
		return 0, errClosed
	}
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	mine := c.next
	if !c.running {
		c.running = true
		runCtx := c.ctx
		c.wg.Go(func() { c.run(runCtx) })
	}
	c.mu.Unlock()
	select {
	case <-mine.done:
		return mine.term, mine.err
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
