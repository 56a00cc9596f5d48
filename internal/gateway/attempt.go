package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier"
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

const (
	// maxDials is the number of endpoints that a request may try to connect to before a byte of it is written.
	maxDials = 4
	// nonIdempotentMaxIdleTime is the longest time since the last complete response on a connection that is reused for a request
	// which must not run twice. A connection can stop delivering data without an error, and such a request cannot be retried.
	nonIdempotentMaxIdleTime = time.Second
	// idempotentTimeoutFactor is the time without a response after which an idempotent request is retried at another endpoint, as
	// a multiple of the rule's target.
	idempotentTimeoutFactor = 2.5
	// maxWaitFraction is the fraction of the rule's target that a request may wait for an endpoint. The rest is left for its
	// first event.
	maxWaitFraction = 0.6
	// maxResponseBytes is the largest response body that is buffered before it is forwarded.
	maxResponseBytes = 8 << 20
	// refusedRetryAfter is the retry delay sent to a caller whose request was refused by the endpoints.
	refusedRetryAfter = 250 * time.Millisecond
)

// sendOutcome is the outcome of sending a request to one endpoint.
type sendOutcome int

const (
	// answered means that the response was sent to the caller.
	answered sendOutcome = iota
	// notRun means that the endpoint did not run the request.
	notRun
	// interrupted means that there is no complete response; the request may have run.
	interrupted
	// failed means that the endpoint ran the request and responded with a 5xx status; the response is buffered.
	failed
)

// replacedError reports that another endpoint responded at the address of Endpoint.
type replacedError struct{ Endpoint string }

// Error implements error.
func (e *replacedError) Error() string { return "another endpoint responded in place of " + e.Endpoint }

// bufferedResponse is an endpoint's response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request to endpoints until one has responded or no further attempt is allowed. In the latter case it responds
// with the last failure of an endpoint or an error of the gateway.
func (q *request) run() {
	var last bufferedResponse
	var next *admitter.Grant
	for dials := 0; ; {
		grant, err := next, error(nil)
		if grant == nil {
			grant, err = q.acquire()
		}
		if err != nil {
			q.respondNoGrant(err, last)
			return
		}
		if !q.fits(grant.Choice.Endpoint) {
			// The lists of this host and the coordinator differ.
			grant.EndRefused(time.Now(), false)
			q.tried[grant.Choice.Endpoint.ID], next = true, nil
			continue
		}
		began := time.Now()
		if q.endsTooLate() {
			grant.EndRefused(began, false)
			q.respondNoGrant(&admitter.RefusedError{Reason: stopping, RetryAfter: noTableRetryAfter}, last)
			return
		}
		if left := q.beginRun(began); left > 0 {
			grant.EndRefused(began, false)
			q.respondNoGrant(&admitter.RefusedError{Reason: quarantined, RetryAfter: left}, last)
			return
		}
		written := q.w.bytes
		outcome, response, replacement, err := q.send(grant)
		q.unjoinable = q.unjoinable || q.g.versionChanged(q.boundBy, q.work.Version)
		next = q.checkReplacement(replacement, outcome)
		q.logSend(grant, outcome, err)
		// A failure that is kept for the end was received, and not written yet.
		q.countLeft(grant.Choice, max(q.w.bytes-written, int64(len(response.body))))
		var unreachable *exchanger.NotSentError
		var replaced *replacedError
		var noPeer *proxier.NoPeerError
		noPath := errors.As(err, &noPeer)
		canceled := errors.Is(err, errCallerDisconnected) || errors.Is(err, errEndpointTimeout) || errors.Is(err, errStopping)
		q.recordCrashEvidence(grant.Choice.Endpoint, sendResult{
			unreachable: errors.As(err, &unreachable) && !noPath, replaced: errors.As(err, &replaced),
			interrupted: outcome == interrupted && !canceled && !noPath, canceled: outcome == interrupted && canceled,
			succeeded: outcome == answered && response.status < http.StatusMultipleChoices, notRun: outcome == notRun || noPeer != nil,
		})
		switch outcome {
		case answered:
			requestCounts.Add("answered", 1)
			q.g.sendTimes.observe(q.rule.Name, time.Since(began))
			responseTimes.Observe(q.metricLabel(), time.Since(q.started))
			return
		case failed:
			last = response
		}
		q.tried[grant.Choice.Endpoint.ID] = true
		if next != nil {
			continue
		}
		var unsent *exchanger.NotSentError
		if errors.As(err, &unsent) {
			if dials++; dials < maxDials && noPeer == nil {
				continue
			}
		} else if q.mayRetry(outcome) {
			continue
		}
		q.respondLastOutcome(outcome, err, last)
		return
	}
}

// checkReplacement returns the grant that replaces an ended send, or nil if there is none or if it is not needed: the response was complete
// or the stream was bound to a version just before the send was canceled, or the request has ended.
func (q *request) checkReplacement(grant *admitter.Grant, o sendOutcome) *admitter.Grant {
	if grant == nil {
		return nil
	}
	if o == answered || !q.fits(grant.Choice.Endpoint) || q.r.Context().Err() != nil || !time.Now().Before(q.deadline) {
		q.returnReplacement(grant)
		return nil
	}
	return grant
}

// returnReplacement gives back a grant that replaces a send, and its retry.
func (q *request) returnReplacement(grant *admitter.Grant) {
	grant.EndRefused(time.Now(), false)
	q.g.returnRetry(q.pool)
}

// acquire waits for an endpoint. The wait is limited so that the request can still meet its target, or resume its stream in time.
func (q *request) acquire() (*admitter.Grant, error) {
	maxWait := min(time.Duration(maxWaitFraction*float64(q.rule.LatencyTarget)), time.Until(q.deadline))
	switch {
	case q.streaming:
		maxWait = min(q.rule.EventGap*2, time.Until(q.deadline))
	case q.work.Bound:
		maxWait = max(maxWait, min(takeUpMaxWait, time.Duration(maxTakeUpWaitFraction*float64(time.Until(q.deadline)))))
	}
	began := time.Now()
	grant, err := q.g.Placer.Acquire(q.r.Context(), admitter.Request{
		Pool: q.pool, Work: q.work, Tier: q.tier, Patience: maxWait,
		Except: q.tried, Workspace: q.workspaceName(), Units: q.unchargedUnits(), Fingerprint: q.fingerprint,
	})
	if err == nil && grant.Choice.PlacedBy == "" {
		// The units were taken from the allotment on this host, so this host returns them if the request does not run.
		q.placerChecksAllotment = false
	}
	q.waited += time.Since(began)
	waitTimes.Observe(q.metricLabel(), time.Since(began))
	return grant, err
}

// unchargedUnits returns the units that the coordinator takes from the allotment for the next send. It is 0 if the coordinator
// does not check the allotment or an earlier send may have run; the units of a send that did not run were returned.
func (q *request) unchargedUnits() float64 {
	if !q.placerChecksAllotment || q.mayHaveRun {
		return 0
	}
	return q.units
}

// mayRetry reports whether the rule, the deadline and the retry budget allow another send after an outcome.
func (q *request) mayRetry(o sendOutcome) bool {
	switch {
	case q.sends >= max(q.rule.Attempts, 1), time.Now().After(q.deadline), q.r.Context().Err() != nil, q.g.sendsEnded.Err() != nil:
		return false
	case o != notRun && !q.rule.Repeatable(), q.unjoinable:
		return false
	}
	return q.g.takeRetry(q.pool)
}

// respondNoGrant responds to a request that was granted no endpoint.
func (q *request) respondNoGrant(err error, last bufferedResponse) {
	if !q.mayHaveRun && !q.streaming {
		q.returnAllotment()
	}
	var refused *admitter.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == admitter.AllotmentExhausted && !q.mayHaveRun && !q.streaming && last.status == 0:
		q.refuse(http.StatusTooManyRequests, string(refused.Reason), refused.RetryAfter)
	case last.status != 0:
		q.writeResponse(last)
	case q.mayHaveRun || q.streaming:
		q.refuse(http.StatusBadGateway, "no_endpoint_for_repeat", 0)
	case errors.As(err, &refused):
		klog.InfoS("gateway: no endpoint", "request", q.id, "pool", q.pool, "reason", refused.Reason, "queue", refused.QueueLength,
			"taken", refused.Taken, "places", refused.Places, "waited", refused.Waited)
		q.refuse(http.StatusServiceUnavailable, string(refused.Reason), refused.RetryAfter)
	default:
		q.abortDisconnected(err)
	}
}

// respondLastOutcome responds to a request after its last unsuccessful send.
func (q *request) respondLastOutcome(o sendOutcome, err error, last bufferedResponse) {
	var unsent *exchanger.NotSentError
	switch {
	case o == failed:
		q.writeResponse(last)
	case !q.mayHaveRun && (o == notRun || errors.As(err, &unsent)):
		q.returnAllotment()
		q.refuse(http.StatusServiceUnavailable, "endpoint_refused", refusedRetryAfter)
	case q.r.Context().Err() != nil:
		q.abortDisconnected(err)
	case errors.Is(err, errStopping):
		q.refuse(http.StatusBadGateway, string(stopping), 0)
	case errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(q.deadline):
		q.refuse(http.StatusGatewayTimeout, "timeout", 0)
	default:
		q.refuse(http.StatusBadGateway, "interrupted", 0)
	}
}

// abortDisconnected aborts a request whose caller has disconnected.
func (q *request) abortDisconnected(err error) {
	requestCounts.Add("abandoned", 1)
	klog.V(1).Infof("gateway: caller disconnected request=%s after=%v reason=%v", q.id, time.Since(q.started), err)
	panic(http.ErrAbortHandler)
}

// send performs one exchange under a grant. It returns the grant for the next send if it was canceled in favor of another endpoint.
func (q *request) send(grant *admitter.Grant) (outcome sendOutcome, response bufferedResponse, next *admitter.Grant, err error) {
	ctx, cancel := q.sendContext()
	defer cancel()
	f := q.startFailover(ctx, cancel, grant.Choice.Endpoint.ID)
	ended := false
	defer func() {
		if next = f.close(); ended {
			return
		}
		// The exchange has panicked. Ending a run twice has no effect.
		grant.EndAbandoned(time.Now())
		if next != nil {
			q.returnReplacement(next)
		}
	}()
	outcome, response, err = q.exchange(ctx, cancel, f, grant)
	ended = true
	return outcome, response, nil, err
}

// exchange sends the request to the granted endpoint and handles the response.
func (q *request) exchange(ctx context.Context, cancel context.CancelFunc, f *failover, grant *admitter.Grant) (sendOutcome, bufferedResponse, error) {
	e := grant.Choice.Endpoint
	req := &exchanger.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: q.forwardHeader(e.ID), Body: q.body,
		EchoHeader: q.g.Headers.RequestID,
	}
	if !q.rule.Repeatable() {
		req.MaxIdleTime = nonIdempotentMaxIdleTime
	}
	q.answering, q.sendEvents, q.survived = false, 0, false
	first := q.sends == 0
	response, via, err := q.g.Sender.Do(ctx, e, req, q.id)
	q.via = via
	if exchanger.MaybeSent(err) || err == nil {
		q.sends++
		if first {
			q.g.recordFirstSend(q.pool)
		}
	}
	if err != nil {
		return q.recordInterrupted(grant, err)
	}
	defer response.Close()
	q.answering = true
	q.g.RecordStatus(e.ID, response)
	if response.Status == http.StatusMisdirectedRequest || response.Header.Get(q.g.Headers.NotRun) != "" {
		// The head is sufficient; an endless body must not delay the caller.
		defer time.AfterFunc(refusalBodyTimeout, cancel).Stop()
		_ = copyBody(io.Discard, response, maxResponseBytes)
		if response.Status == http.StatusServiceUnavailable {
			grant.EndRejected(time.Now())
		} else {
			grant.EndRefused(time.Now(), response.Status == http.StatusMisdirectedRequest)
		}
		if response.Status == http.StatusMisdirectedRequest {
			return notRun, bufferedResponse{}, &replacedError{Endpoint: e.ID}
		}
		return notRun, bufferedResponse{}, eris.Errorf("endpoint refused with status %d", response.Status)
	}
	if response.Header.Get(q.g.Headers.Signature) == "" || response.Header.Get("Content-Encoding") != "" {
		return q.recordInterrupted(grant, eris.Errorf("response with status %d was not generated by the endpoint", response.Status))
	}
	if response.Status == http.StatusOK && q.rule.Kind == router.Streaming {
		return q.relay(grant, response, f)
	}
	// The limit now applies to the whole body and is not extended per byte, because single bytes are no progress.
	f.recordProgress()
	return q.bufferResponse(grant, response, f)
}

// idleTimeout returns the time without progress after which another endpoint is sought for the next send. It is below the deadline
// only if the request may then be sent to another endpoint.
func (q *request) idleTimeout() time.Duration {
	switch {
	case !q.rule.Repeatable() || q.sends+1 >= q.rule.Attempts:
		return time.Until(q.deadline)
	case q.rule.Kind == router.Idempotent:
		return time.Duration(idempotentTimeoutFactor * float64(q.rule.LatencyTarget))
	}
	return streamIdleTimeout
}

// errCallerDisconnected and errEndpointTimeout replace the error of an exchange that this host itself canceled, because the
// exchange only reports a closed connection.
var (
	errCallerDisconnected = eris.New("caller disconnected")
	errEndpointTimeout    = eris.New("endpoint timed out")
)

// errPathLost replaces the error of an exchange that ended because this host has lost its paths to all endpoints.
var errPathLost = eris.New("this host has lost its paths to the endpoints")

// closedWhileIdle reports whether a reused connection was closed or reset before any byte of the response.
func closedWhileIdle(err error) bool {
	var interrupted *exchanger.InterruptedError
	return errors.As(err, &interrupted) && interrupted.Reused && !interrupted.ResponseStarted &&
		(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// recordInterrupted ends the grant of an exchange without a complete response.
func (q *request) recordInterrupted(grant *admitter.Grant, err error) (sendOutcome, bufferedResponse, error) {
	sent := exchanger.MaybeSent(err)
	var noPeer *proxier.NoPeerError
	switch {
	case q.r.Context().Err() != nil && q.rule.Kind != router.NonIdempotent:
		// This is no evidence about the endpoint.
		grant.EndAbandoned(time.Now())
		err = errCallerDisconnected
	case sent && q.g.sendsEnded.Err() != nil:
		grant.EndAbandoned(time.Now())
		err = errStopping
	case errors.As(err, &noPeer):
		grant.EndRefused(time.Now(), false)
	case !sent:
		grant.EndUnreachable(time.Now())
	case q.via == "" && q.g.Sender.CheckPath(q.r.Context(), q.pool):
		// The other hosts still reach the endpoint.
		grant.EndAbandoned(time.Now())
		err = errPathLost
	case closedWhileIdle(err):
		// The endpoint may have dropped the connection while it was idle, which is no evidence of a failure. The request may
		// still have run.
		grant.EndAbandoned(time.Now())
	default:
		grant.End(time.Now(), true)
		if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
			err = errEndpointTimeout
		}
	}
	if sent {
		q.mayHaveRun = true
	}
	return interrupted, bufferedResponse{}, err
}

// metricLabel returns the label of the request in the histograms.
func (q *request) metricLabel() string { return string(q.rule.Kind) + "/" + strconv.Itoa(q.rule.Tier) }

func (q *request) logSend(grant *admitter.Grant, o sendOutcome, err error) {
	c := grant.Choice
	outcome := [...]string{"answered", "not_run", "interrupted", "failed"}[o]
	sendCounts.Add(outcome, 1)
	klog.InfoS("gateway: request sent", "request", q.id, "endpoint", c.Endpoint.ID, "outcome", outcome, "rule", q.rule.Name,
		"pool", q.pool, "send", q.sends, "cost_ms", c.Cost, "running", c.Running, "unread", c.PromptBacklog, "kept", c.CachedTokens,
		"version", c.Endpoint.Version, "bound", q.work.Bound, "queued", grant.QueueLength, "placed_by", c.PlacedBy, "via", q.via, "revision", q.revision, "workspace", q.workspaceName(), "tier", q.tier,
		"units", q.units, "prompt", q.work.Prompt, "output", q.work.Output, "events", q.events, "first_event", q.firstEvent,
		"left", q.deadline.Sub(q.started), "longest_gap", q.longestGap, "waited", q.waited, "reason", err, "after", time.Since(q.started))
}
