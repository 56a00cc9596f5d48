package controller

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

// confirmer shares confirmations of leadership: all callers that arrive while one is in progress are answered by the next
// one, which begins after their arrival. At 640 hosts this keeps quorum exchanges independent of the number of heartbeats.
type confirmer struct {
	log Log

	mu      sync.Mutex
	running bool
	next    *confirmation
	ctx     context.Context
	wg      sync.WaitGroup
}

// errClosed reports a confirmation asked of a service that does not run.
var errClosed = eris.New("the control service does not run")

// start allows confirmations until ctx ends.
func (c *confirmer) start(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx = ctx
}

// stop waits for the confirmation in progress; the context passed to start has ended.
func (c *confirmer) stop() {
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

// leader returns the term in which a quorum confirmed, after the call began, that this host leads.
func (c *confirmer) leader(ctx context.Context) (uint64, error) {
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

func (c *confirmer) run(runCtx context.Context) {
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
		ctx, cancel := context.WithTimeout(runCtx, proposeTimeout)
		round.term, _, round.err = c.log.ConfirmLeader(ctx)
		cancel()
		close(round.done)
	}
}
