package submitter

import (
	"context"
	"errors"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// Intend records an order before it is dispatched. The order may be dispatched only if the returned record is granted. The
// errors are *recorder.DigestMismatchError, *recorder.LedgerFullError, *recorder.WithdrawnError and *UnavailableError; after
// an *UnavailableError the caller must withdraw the order, since the intent may have been recorded.
func (c *Client) Intend(ctx context.Context, in recorder.Intent) (recorder.Record, error) {
	in.Attempt = c.nextAttempt()
	at := attemptKey{key: in.Key, owner: in.Owner}
	result, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_IntendOrder{IntendOrder: marshaller.IntentToProto(in)}})
	if err != nil {
		var unavailable *UnavailableError
		if errors.As(err, &unavailable) {
			c.setAttempt(at, in.Attempt)
		}
		return recorder.Record{}, err
	}
	record := marshaller.OrderFromProto(result.GetOrder())
	if record.Granted {
		c.setAttempt(at, in.Attempt)
	}
	return record, nil
}

// Conclude records the outcome of an order. Only its owner may do so. A body too large for the ledger is not sent; the
// outcome is marked as truncated instead.
func (c *Client) Conclude(ctx context.Context, key recorder.Key, owner string, out recorder.Outcome) error {
	if len(out.Body) > recorder.DefaultMaxBodyBytes {
		out.Body, out.Header, out.Truncated = nil, nil, true
	}
	_, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_ConcludeOrder{
		ConcludeOrder: &controllerpb.ConcludeOrder{Key: keyToProto(key), Owner: owner, Outcome: marshaller.OutcomeToProto(out)},
	}})
	if err == nil {
		c.clearAttempt(attemptKey{key: key, owner: owner})
	}
	return err
}

// Withdraw frees the key of an order. The owner must be certain that no byte of the order was sent to an endpoint. The
// withdrawal carries the number of this Client's last attempt, so that a delayed or retried one never frees a later attempt.
func (c *Client) Withdraw(ctx context.Context, key recorder.Key, owner string) error {
	at := attemptKey{key: key, owner: owner}
	c.mu.Lock()
	attempt, known := c.attempts[at]
	if !known {
		attempt = c.lastAttempt
	}
	c.mu.Unlock()
	_, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_WithdrawOrder{
		WithdrawOrder: &controllerpb.WithdrawOrder{Key: keyToProto(key), Owner: owner, Attempt: attempt},
	}})
	if err == nil {
		c.clearAttempt(at)
	}
	return err
}

// Order returns the record of an order, and false if the ledger does not have it.
func (c *Client) Order(ctx context.Context, key recorder.Key) (recorder.Record, bool, error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_Order{Order: &controllerpb.OrderQuery{Key: keyToProto(key)}}}
	if err := c.call(ctx, MethodQuery, req, resp); err != nil {
		return recorder.Record{}, false, err
	}
	if resp.GetOrder() == nil {
		return recorder.Record{}, false, nil
	}
	return marshaller.OrderFromProto(resp.GetOrder()), true, nil
}

func keyToProto(k recorder.Key) *controllerpb.Key {
	return &controllerpb.Key{Workspace: k.Workspace, Value: k.Value}
}

func (c *Client) nextAttempt() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAttempt++
	return c.lastAttempt
}

// setAttempt records the highest attempt of an order, for a later withdrawal.
func (c *Client) setAttempt(at attemptKey, attempt uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = map[attemptKey]uint64{}
	}
	c.attempts[at] = max(c.attempts[at], attempt)
}

func (c *Client) clearAttempt(at attemptKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, at)
}
