// Package committer commits the intent and the outcome of non-idempotent orders to the ledger, so that no order is dispatched
// twice.
package committer

import (
	"context"
	"errors"
	"expvar"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

const (
	// maxRetryTime bounds the background attempts to conclude or withdraw an order.
	maxRetryTime = time.Minute
	retryDelay   = 200 * time.Millisecond
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

// Order is one non-idempotent order of an entry host. Set the exported fields before use.
type Order struct {
	Ledger Ledger
	// Intent identifies the order; Intend sets its endpoint.
	Intent recorder.Intent
	// Timeout bounds one commit.
	Timeout time.Duration
	// Go runs fn in the background. It returns false if the host is stopping.
	Go func(fn func(ctx context.Context)) bool

	// recordedEndpoint is the endpoint of the intent that is or may be in the ledger; it is empty if there is none.
	recordedEndpoint string
	// committed is true when the ledger has confirmed that intent and granted it to this order.
	committed bool
}

func (o *Order) withTimeout(ctx context.Context, commit func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	return commit(ctx)
}

// Intend commits the intent to dispatch the order to an endpoint. If granted is true, the order may be dispatched; otherwise
// earlier is the order that holds the key. After an error the order must not be dispatched, and Intend may be called again.
func (o *Order) Intend(ctx context.Context, endpoint string) (granted bool, earlier recorder.Record, err error) {
	if o.recordedEndpoint != "" && o.recordedEndpoint != endpoint {
		err := o.withTimeout(ctx, func(ctx context.Context) error {
			return o.Ledger.Withdraw(ctx, o.Intent.Key, o.Intent.Owner)
		})
		if err != nil {
			return false, recorder.Record{}, o.recordFailure(err)
		}
		o.recordedEndpoint, o.committed = "", false
	}
	if o.committed {
		return true, recorder.Record{}, nil
	}
	o.recordedEndpoint, o.Intent.Endpoint = endpoint, endpoint
	var record recorder.Record
	err = o.withTimeout(ctx, func(ctx context.Context) (err error) {
		record, err = o.Ledger.Intend(ctx, o.Intent)
		return err
	})
	if err != nil {
		return false, recorder.Record{}, o.recordFailure(err)
	}
	// An intent with this request's ID is its own, even if the response to an earlier attempt was lost. Nothing has been sent
	// to an endpoint yet, so the order may be dispatched.
	own := record.RequestID == o.Intent.RequestID && record.Phase == recorder.PhaseIntended
	if !record.Granted && !own {
		countIntents.Add("attached", 1)
		o.recordedEndpoint = ""
		return false, record, nil
	}
	countIntents.Add("committed", 1)
	o.committed = true
	return true, record, nil
}

// recordFailure counts and logs a failed ledger call and returns err. If the ledger refused the intent, it is not in the ledger
// and its endpoint is cleared.
func (o *Order) recordFailure(err error) error {
	countIntents.Add("failed", 1)
	klog.Warningf("booker: ledger failed request=%s reason=%q", o.Intent.RequestID, err)
	var mismatch *recorder.DigestMismatchError
	var full *recorder.LedgerFullError
	if errors.As(err, &mismatch) || errors.As(err, &full) {
		o.recordedEndpoint = ""
	}
	return err
}

// LookUp returns an order from the ledger. A failure is reported as an unknown order, since the later Intend detects a duplicate.
func (o *Order) LookUp(ctx context.Context, key recorder.Key) (record recorder.Record, ok bool) {
	err := o.withTimeout(ctx, func(ctx context.Context) (err error) {
		record, ok, err = o.Ledger.Order(ctx, key)
		return err
	})
	return record, ok && err == nil
}

// Conclude commits the outcome. If the first attempt fails, further attempts run in the background; until one succeeds, a request
// with the same key is attached to this host or ends as unknown.
func (o *Order) Conclude(ctx context.Context, out recorder.Outcome) {
	ledger, key, owner := o.Ledger, o.Intent.Key, o.Intent.Owner
	o.retry(ctx, "conclude", func(ctx context.Context) error { return ledger.Conclude(ctx, key, owner, out) })
}

// Withdraw removes the intent of an order of which nothing was sent to an endpoint.
func (o *Order) Withdraw(ctx context.Context) {
	if o.recordedEndpoint == "" {
		return
	}
	o.recordedEndpoint, o.committed = "", false
	ledger, key, owner := o.Ledger, o.Intent.Key, o.Intent.Owner
	o.retry(ctx, "withdraw", func(ctx context.Context) error { return ledger.Withdraw(ctx, key, owner) })
}

func (o *Order) retry(ctx context.Context, verb string, commit func(ctx context.Context) error) {
	err := o.withTimeout(context.WithoutCancel(ctx), commit)
	if err == nil || isFinal(err) {
		return
	}
	id := o.Intent.RequestID
	klog.Warningf("booker: cannot %s order request=%s reason=%q", verb, id, err)
	o.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, maxRetryTime)
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				klog.Errorf("booker: out of time to %s order request=%s", verb, id)
				return
			case <-time.After(retryDelay):
			}
			if err := o.withTimeout(ctx, commit); err == nil || isFinal(err) {
				return
			}
		}
	})
}

// isFinal reports whether the ledger has rejected the change for good, so that another attempt cannot succeed.
func isFinal(err error) bool {
	var (
		owner     *recorder.NotOwnerError
		unknown   *recorder.UnknownOrderError
		concluded *recorder.ConcludedError
	)
	return errors.As(err, &owner) || errors.As(err, &unknown) || errors.As(err, &concluded)
}
