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
	"github.com/dragonflycroft/dragonflycroft/internal/router"
)

const (
	// maxDials bounds the endpoints that a request tries without a byte written.
	maxDials = 4
	// orderProven bounds the time since the last whole answer on a connection that carries a request which must not run
	// twice. A connection can go silent for good, and such a request cannot be sent again.
	orderProven = time.Second
	// repeatAfter is the silence, in targets, after which an idempotent request goes to another endpoint.
	repeatAfter = 2.5
	// waitShare is the part of the target that a request may wait for an endpoint; the rest is for its first event.
	waitShare = 0.6
	// maxAnswerBytes bounds an answer that is held before it is passed on.
	maxAnswerBytes = 8 << 20
	// refusedRetry is the time after which a caller may return when an endpoint has refused its request.
	refusedRetry = 250 * time.Millisecond
)

// verdict is what became of one send.
type verdict int

const (
	// answered means that the caller has its answer.
	answered verdict = iota
	// notRun means that the endpoint did not run the request.
	notRun
	// interrupted means that the request may have run and has no whole answer.
	interrupted
	// failed means that the endpoint ran the request and answered with a failure that is held.
	failed
)

// replacedError reports that another endpoint answers at an address.
type replacedError struct{ Endpoint string }

// Error implements error.
func (e *replacedError) Error() string { return "another endpoint answers in place of " + e.Endpoint }

// held is an endpoint's own answer that was read whole.
type held struct {
	status int
	header http.Header
	body   []byte
}

// run sends the request to endpoints until one has answered it or nothing more may be tried.
func (q *request) run() {
	var last held
	for dials := 0; ; {
		grant, err := q.acquire()
		if err != nil {
			q.giveUp(err, last)
			return
		}
		began := time.Now()
		if left := q.beginRun(began); left > 0 {
			grant.Refuse(began, false)
			q.giveUp(&admitter.RefusedError{Reason: quarantined, RetryAfter: left}, last)
			return
		}
		v, answer, err := q.send(grant)
		q.log(grant, v, err)
		var unreachable *exchanger.NotSentError
		var replaced *replacedError
		givenUp := errors.Is(err, errCallerLeft) || errors.Is(err, errSilent)
		q.watchCrash(grant.Choice.Endpoint, sendEnd{
			began: began, unreachable: errors.As(err, &unreachable), replaced: errors.As(err, &replaced),
			brokenOff: v == interrupted && !givenUp, givenUp: v == interrupted && givenUp,
			succeeded: v == answered && answer.status < http.StatusMultipleChoices, notRun: v == notRun,
		})
		switch v {
		case answered:
			countRequests.Add("answered", 1)
			answerTimes.Observe(q.label(), time.Since(q.started))
			return
		case failed:
			last = answer
		}
		q.tried[grant.Choice.Endpoint.ID] = true
		var unsent *exchanger.NotSentError
		if errors.As(err, &unsent) {
			if dials++; dials < maxDials {
				continue
			}
		} else if q.maySendAgain(v) {
			continue
		}
		q.conclude(v, err, last)
		return
	}
}

// acquire waits for an endpoint for as long as the request can still be prompt.
func (q *request) acquire() (*admitter.Grant, error) {
	patience := min(time.Duration(waitShare*float64(q.rule.Target)), time.Until(q.deadline))
	if q.streaming {
		patience = min(q.rule.EventGap*2, time.Until(q.deadline))
	}
	began := time.Now()
	grant, err := q.g.Placer.Acquire(q.r.Context(), admitter.Ask{
		Pool: q.pool, Work: q.work, Tier: q.tier, Patience: patience,
		Except: q.tried, Workspace: q.workspaceName(), Units: q.unpaid(),
	})
	if err == nil && grant.Choice.PlacedBy == "" {
		// Its units were taken from what this host admits, and are given back here.
		q.checked = false
	}
	q.wait += time.Since(began)
	waitTimes.Observe(q.label(), time.Since(began))
	return grant, err
}

// unpaid returns the units that the next endpoint's run takes from an allotment which the coordinator checks. What did not run was
// given back.
func (q *request) unpaid() float64 {
	if !q.checked || q.ran {
		return 0
	}
	return q.units
}

// maySendAgain reports whether the rule and the budget allow another send after a verdict.
func (q *request) maySendAgain(v verdict) bool {
	switch {
	case q.sends >= max(q.rule.Attempts, 1), time.Now().After(q.deadline), q.r.Context().Err() != nil:
		return false
	case v != notRun && !q.rule.Repeatable():
		return false
	}
	return q.g.mayRepeat(q.pool)
}

// giveUp answers a request that was given no endpoint.
func (q *request) giveUp(err error, last held) {
	if !q.ran && !q.streaming {
		q.release()
	}
	var refused *admitter.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == admitter.Allotment && !q.ran && !q.streaming && last.status == 0:
		q.refuse(http.StatusTooManyRequests, string(refused.Reason), refused.RetryAfter)
	case last.status != 0:
		q.pass(last)
	case q.ran || q.streaming:
		q.refuse(http.StatusBadGateway, "no_endpoint_for_repeat", 0)
	case errors.As(err, &refused):
		klog.InfoS("gateway: no endpoint", "request", q.id, "pool", q.pool, "reason", refused.Reason, "queue", refused.Queue,
			"taken", refused.Taken, "places", refused.Places, "waited", refused.Waited)
		q.refuse(http.StatusServiceUnavailable, string(refused.Reason), refused.RetryAfter)
	default:
		q.abandoned(err)
	}
}

// conclude answers a request after its last send.
func (q *request) conclude(v verdict, err error, last held) {
	var unsent *exchanger.NotSentError
	switch {
	case v == failed:
		q.pass(last)
	case !q.ran && (v == notRun || errors.As(err, &unsent)):
		q.release()
		q.refuse(http.StatusServiceUnavailable, "endpoint_refused", refusedRetry)
	case q.r.Context().Err() != nil:
		q.abandoned(err)
	case errors.Is(err, context.DeadlineExceeded) || !time.Now().Before(q.deadline):
		q.refuse(http.StatusGatewayTimeout, "timeout", 0)
	default:
		q.refuse(http.StatusBadGateway, "interrupted", 0)
	}
}

// abandoned ends a request whose caller is gone.
func (q *request) abandoned(err error) {
	countRequests.Add("abandoned", 1)
	klog.V(1).Infof("gateway: caller is gone request=%s after=%v reason=%v", q.id, time.Since(q.started), err)
	panic(http.ErrAbortHandler)
}

// send performs one exchange under a grant.
func (q *request) send(grant *admitter.Grant) (verdict, held, error) {
	ctx, cancel := q.workContext()
	defer cancel()
	e := grant.Choice.Endpoint
	req := &exchanger.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: q.forwardHeader(e.ID), Body: q.body,
		EchoHeader: q.g.Headers.RequestID,
	}
	if !q.rule.Repeatable() {
		req.ProvenWithin = orderProven
	}
	first := q.sends == 0
	limit := q.silenceLimit()
	silence := time.AfterFunc(limit, cancel)
	defer silence.Stop()
	response, err := q.g.Client.Do(ctx, e.Addr, req)
	if exchanger.Sent(err) || err == nil {
		q.sends++
		if first {
			q.g.sent(q.pool)
		}
	}
	if err != nil {
		return q.broken(grant, err)
	}
	defer response.Close()
	q.g.heed(e.ID, response)
	if response.Status == http.StatusMisdirectedRequest || response.Header.Get(q.g.Headers.NotRun) != "" {
		// The head decides; a body that does not end must not keep the caller.
		silence.Reset(refusalWait)
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes)); err == nil {
			response.Finish()
		}
		grant.Refuse(time.Now(), response.Status == http.StatusMisdirectedRequest)
		if response.Status == http.StatusMisdirectedRequest {
			return notRun, held{}, &replacedError{Endpoint: e.ID}
		}
		return notRun, held{}, eris.Errorf("endpoint refused with status %d", response.Status)
	}
	if response.Header.Get(q.g.Headers.Signature) == "" || response.Header.Get("Content-Encoding") != "" {
		return q.broken(grant, eris.Errorf("status %d is no answer of the endpoint", response.Status))
	}
	if response.Status == http.StatusOK && q.rule.Kind == router.Streaming {
		return q.relay(grant, response, silence, limit)
	}
	if limit < time.Until(q.deadline) {
		// The time for the whole body starts now; an endpoint that sends a byte now and then makes no progress.
		silence.Reset(limit)
	}
	return q.whole(grant, response)
}

// silenceLimit bounds the silence of an endpoint that a request is about to be sent to. Only a request that may go elsewhere
// is taken from a silent one.
func (q *request) silenceLimit() time.Duration {
	switch {
	case !q.rule.Repeatable() || q.sends+1 >= q.rule.Attempts:
		return time.Until(q.deadline)
	case q.rule.Kind == router.Idempotent:
		return time.Duration(repeatAfter * float64(q.rule.Target))
	}
	return streamSilence
}

// errCallerLeft and errSilent say why this host itself ended an exchange, which shows as a closed connection only.
var (
	errCallerLeft = eris.New("the caller has left")
	errSilent     = eris.New("the endpoint was silent for too long")
)

// lostIdle reports whether a kept connection was closed or reset before any byte of an answer.
func lostIdle(err error) bool {
	var interrupted *exchanger.InterruptedError
	return errors.As(err, &interrupted) && interrupted.Kept && !interrupted.Begun &&
		(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))
}

// broken counts an exchange without a whole answer.
func (q *request) broken(grant *admitter.Grant, err error) (verdict, held, error) {
	sent := exchanger.Sent(err)
	switch {
	case q.r.Context().Err() != nil && q.rule.Kind != router.NonIdempotent:
		// That says nothing about the endpoint.
		grant.EndAbandoned(time.Now())
		err = errCallerLeft
	case !sent:
		grant.EndUnreachable(time.Now())
	case lostIdle(err):
		// The endpoint may have forgotten the connection while it rested, which says nothing about the endpoint. The request may
		// have run all the same.
		grant.EndAbandoned(time.Now())
	default:
		grant.End(time.Now(), true)
		if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
			err = errSilent
		}
	}
	if sent {
		q.ran = true
	}
	return interrupted, held{}, err
}

// whole reads an answer to its end before any of it is passed on, so that one that is cut off can be told from a whole one.
func (q *request) whole(grant *admitter.Grant, response *exchanger.Response) (verdict, held, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = eris.Errorf("the answer has more than %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return q.broken(grant, err)
	}
	response.Finish()
	q.ran = true
	answer := held{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError {
		grant.End(time.Now(), true)
		return failed, answer, eris.Errorf("endpoint failed with status %d", response.Status)
	}
	grant.End(time.Now(), false)
	q.pass(answer)
	return answered, answer, nil
}

// pass delivers an endpoint's own answer. A status that promises that the request did not run is not passed on, because the
// endpoint has run it.
func (q *request) pass(a held) {
	if q.streaming {
		// The caller has the head and some events of a stream already; this answer cannot follow them.
		q.refuse(http.StatusBadGateway, "resume_failed", 0)
		return
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		q.refuse(http.StatusBadGateway, "endpoint_failed", 0)
		return
	}
	q.copyHeader(a.header)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	q.w.WriteHeader(a.status)
	if _, err := q.w.Write(a.body); err != nil {
		klog.V(1).Infof("gateway: answer not delivered request=%s reason=%q", q.id, err)
	}
}

// copyHeader takes the header of an endpoint's answer.
func (q *request) copyHeader(in http.Header) {
	out := q.w.Header()
	for name, values := range in {
		out[name] = values
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	if q.g.stopping.Load() {
		out.Set("Connection", "close")
	}
}

// label names the kind of request in metrics.
func (q *request) label() string { return string(q.rule.Kind) + "/" + strconv.Itoa(q.rule.Tier) }

func (q *request) log(grant *admitter.Grant, v verdict, err error) {
	c := grant.Choice
	outcome := [...]string{"answered", "not_run", "interrupted", "failed"}[v]
	countSends.Add(outcome, 1)
	klog.InfoS("gateway: request sent", "request", q.id, "endpoint", c.Endpoint.ID, "outcome", outcome, "rule", q.rule.Name,
		"pool", q.pool, "send", q.sends, "cost_ms", c.Cost, "running", c.Running, "unread", c.Unread, "kept", c.Kept,
		"queued", grant.Queued, "placed_by", c.PlacedBy, "revision", q.revision, "workspace", q.workspaceName(), "tier", q.tier,
		"units", q.units, "prompt", q.work.Prompt, "output", q.work.Output, "events", q.events, "first_event", q.firstEvent,
		"left", q.deadline.Sub(q.started), "longest_gap", q.longestGap, "waited", q.wait, "reason", err, "after", time.Since(q.started))
}
