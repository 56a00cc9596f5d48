// Package booker keeps a non-idempotent order in the ledger in step with its dispatch.
package booker

import (
	"context"
	"errors"
	"expvar"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

const (
	// retryTime bounds the background attempts to conclude or withdraw an order.
	retryTime  = time.Minute
	retryDelay = 200 * time.Millisecond
)

var countIntents = expvar.NewMap("booker_intents")

// Ledger records non-idempotent orders by quorum commit.
type Ledger interface {
	Intend(ctx context.Context, o recorder.Intent) (recorder.Record, error)
	Conclude(ctx context.Context, key recorder.Key, owner string, out recorder.Outcome) error
	Withdraw(ctx context.Context, key recorder.Key, owner string) error
	// Order returns an order, and false when the ledger does not hold it.
	Order(ctx context.Context, key recorder.Key) (recorder.Record, bool, error)
}

// Order is one order of an entry host. Set the exported fields before use.
type Order struct {
	Ledger Ledger
	// Intent names the order; its endpoint is set by Intend.
	Intent recorder.Intent
	// Timeout bounds one commit.
	Timeout time.Duration
	// Go runs an attempt in the background unless the host is stopping.
	Go func(fn func(ctx context.Context)) bool

	// endpoint is named by an intent that is or may be in the ledger.
	endpoint string
	// committed is true when that intent is known to be in the ledger and granted to this order.
	committed bool
}

func (o *Order) bounded(ctx context.Context, commit func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return commit(ctx)
}

// Intend commits the intent to dispatch the order to an endpoint. It returns granted when this order may be dispatched, and
// otherwise the earlier order that holds the key. After an error nothing may be dispatched, and Intend may be called again.
func (o *Order) Intend(ctx context.Context, endpoint string) (granted bool, earlier recorder.Record, err error) {
	if o.endpoint != "" && o.endpoint != endpoint {
		err := o.bounded(ctx, func(ctx context.Context) error {
			return o.Ledger.Withdraw(ctx, o.Intent.Key, o.Intent.Owner)
		})
		if err != nil {
			return false, recorder.Record{}, o.failed(err)
		}
		o.endpoint, o.committed = "", false
	}
	if o.committed {
		return true, recorder.Record{}, nil
	}
	o.endpoint, o.Intent.Endpoint = endpoint, endpoint
	var record recorder.Record
	err = o.bounded(ctx, func(ctx context.Context) (err error) {
		record, err = o.Ledger.Intend(ctx, o.Intent)
		return err
	})
	if err != nil {
		return false, recorder.Record{}, o.failed(err)
	}
	// An intent under this request's id is its own, also when the answer to an earlier attempt was lost: this request has
	// written no byte, so that it may be dispatched.
	own := record.RequestID == o.Intent.RequestID && record.Phase == recorder.PhaseIntended
	if !record.Granted && !own {
		countIntents.Add("attached", 1)
		o.endpoint = ""
		return false, record, nil
	}
	countIntents.Add("committed", 1)
	o.committed = true
	return true, record, nil
}

// failed forgets the intent when the ledger has refused it.
func (o *Order) failed(err error) error {
	countIntents.Add("failed", 1)
	klog.Warningf("booker: ledger failed request=%s reason=%q", o.Intent.RequestID, err)
	var mismatch *recorder.DigestMismatchError
	var full *recorder.LedgerFullError
	if errors.As(err, &mismatch) || errors.As(err, &full) {
		o.endpoint = ""
	}
	return err
}

// LookUp reads an order. A failure counts as an unknown order, since the intent decides later.
func (o *Order) LookUp(ctx context.Context, key recorder.Key) (record recorder.Record, ok bool) {
	err := o.bounded(ctx, func(ctx context.Context) (err error) {
		record, ok, err = o.Ledger.Order(ctx, key)
		return err
	})
	return record, ok && err == nil
}

// Conclude commits the result. Attempts after the first continue in the background; until one succeeds a repeated key is
// attached to this host or answered as unknown.
func (o *Order) Conclude(ctx context.Context, out recorder.Outcome) {
	ledger, key, owner := o.Ledger, o.Intent.Key, o.Intent.Owner
	o.retry(ctx, "conclude", func(ctx context.Context) error { return ledger.Conclude(ctx, key, owner, out) })
}

// Withdraw removes the intent of an order of which no byte was written.
func (o *Order) Withdraw(ctx context.Context) {
	if o.endpoint == "" {
		return
	}
	o.endpoint, o.committed = "", false
	ledger, key, owner := o.Ledger, o.Intent.Key, o.Intent.Owner
	o.retry(ctx, "withdraw", func(ctx context.Context) error { return ledger.Withdraw(ctx, key, owner) })
}

func (o *Order) retry(ctx context.Context, verb string, commit func(ctx context.Context) error) {
	err := o.bounded(context.WithoutCancel(ctx), commit)
	if err == nil || final(err) {
		return
	}
	id := o.Intent.RequestID
	klog.Warningf("booker: cannot %s order request=%s reason=%q", verb, id, err)
	o.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, retryTime)
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				klog.Errorf("booker: gave up to %s order request=%s", verb, id)
				return
			case <-time.After(retryDelay):
			}
			if err := o.bounded(ctx, commit); err == nil || final(err) {
				return
			}
		}
	})
}

// final reports whether the ledger has decided, so that another attempt cannot succeed.
func final(err error) bool {
	var (
		owner     *recorder.NotOwnerError
		unknown   *recorder.UnknownOrderError
		concluded *recorder.ConcludedError
	)
	return errors.As(err, &owner) || errors.As(err, &unknown) || errors.As(err, &concluded)
}
