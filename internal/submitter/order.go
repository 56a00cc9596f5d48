package submitter

import (
	"context"
	"errors"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// Intend records an order before its dispatch. The order may be dispatched only if the record has Granted set. The errors
// are *recorder.DigestMismatchError, *recorder.LedgerFullError, *recorder.WithdrawnError and *UnavailableError; after the
// last one the caller withdraws, since the intent may have been recorded.
func (c *Client) Intend(ctx context.Context, in recorder.Intent) (recorder.Record, error) {
	in.Attempt = c.nextAttempt()
	at := attemptKey{key: in.Key, owner: in.Owner}
	result, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_IntendOrder{IntendOrder: marshaller.IntentProto(in)}})
	if err != nil {
		var uncertain *UnavailableError
		if errors.As(err, &uncertain) {
			c.remember(at, in.Attempt)
		}
		return recorder.Record{}, err
	}
	record := marshaller.OrderOf(result.GetOrder())
	if record.Granted {
		c.remember(at, in.Attempt)
	}
	return record, nil
}

// Conclude records the outcome of an order. Only its owner may do so. A body that the ledger would not keep is not sent.
func (c *Client) Conclude(ctx context.Context, key recorder.Key, owner string, out recorder.Outcome) error {
	if len(out.Body) > recorder.DefaultMaxBodyBytes {
		out.Body, out.Header, out.Truncated = nil, nil, true
	}
	_, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_ConcludeOrder{
		ConcludeOrder: &controllerpb.ConcludeOrder{Key: keyProto(key), Owner: owner, Outcome: marshaller.OutcomeProto(out)},
	}})
	if err == nil {
		c.forget(attemptKey{key: key, owner: owner})
	}
	return err
}

// Withdraw frees the key of an order whose owner knows that no byte was written. It names the last attempt of this Client,
// so that a delayed or repeated withdrawal never frees a later attempt.
func (c *Client) Withdraw(ctx context.Context, key recorder.Key, owner string) error {
	at := attemptKey{key: key, owner: owner}
	c.mu.Lock()
	attempt, known := c.attempts[at]
	if !known {
		attempt = c.attempt
	}
	c.mu.Unlock()
	_, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_WithdrawOrder{
		WithdrawOrder: &controllerpb.WithdrawOrder{Key: keyProto(key), Owner: owner, Attempt: attempt},
	}})
	if err == nil {
		c.forget(at)
	}
	return err
}

// Order returns an order of the ledger and false when the ledger does not hold it.
func (c *Client) Order(ctx context.Context, key recorder.Key) (recorder.Record, bool, error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_Order{Order: &controllerpb.OrderQuery{Key: keyProto(key)}}}
	if err := c.do(ctx, MethodQuery, req, resp); err != nil {
		return recorder.Record{}, false, err
	}
	if resp.GetOrder() == nil {
		return recorder.Record{}, false, nil
	}
	return marshaller.OrderOf(resp.GetOrder()), true, nil
}

func keyProto(k recorder.Key) *controllerpb.Key {
	return &controllerpb.Key{Workspace: k.Workspace, Value: k.Value}
}

func (c *Client) nextAttempt() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt++
	return c.attempt
}

func (c *Client) remember(at attemptKey, attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = map[attemptKey]uint64{}
	}
	c.attempts[at] = max(c.attempts[at], attempt)
}

func (c *Client) forget(at attemptKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, at)
}
