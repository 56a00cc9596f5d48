// Package explainer builds the final results of requests that were refused, failed or were answered earlier, as reported to
// callers.
package explainer

import (
	"errors"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// endedRetryAfter is the retry delay sent after a run was ended to make room. The scheduler provides none, since it cannot
// predict when the tier opens again.
const endedRetryAfter = 5 * time.Second

var refusalMessages = map[scheduler.RefuseReason]string{
	scheduler.RefuseOverload:   "the system is out of room for this tier; the request did not run",
	scheduler.RefusePatience:   "the request waited longer than its tier allows; it did not run",
	scheduler.RefuseDeadline:   "the request can no longer be answered within its time limit; it did not run",
	scheduler.RefuseLimit:      "a limit set by the operators was reached; the request did not run",
	scheduler.RefuseQuarantine: "this request is quarantined because endpoints failed while it ran; it did not run",
	scheduler.RefuseUnserved:   "no endpoint serves this model or adapter; the request did not run",
}

// Refused returns the result of a request that the scheduler refused. A quarantined request has the outcome not_run.
func Refused(reason scheduler.RefuseReason, retryAfter time.Duration) answerer.End {
	end := answerer.End{Outcome: answerer.Refused, Reason: string(reason), Message: refusalMessages[reason], RetryAfter: retryAfter}
	if end.Message == "" {
		end.Message = "the request was refused and did not run"
	}
	if reason == scheduler.RefuseQuarantine {
		end.Outcome = answerer.NotRun
	}
	return end
}

// NotRun returns the result of a request that was not and will not be dispatched.
func NotRun(reason, message string) answerer.End {
	return answerer.End{Outcome: answerer.NotRun, Reason: reason, Message: message}
}

// KeyReused returns the result of a request whose idempotency key belongs to a different request with the given ID.
func KeyReused(id string) answerer.End {
	return answerer.End{
		Outcome: answerer.Refused, Reason: "key_reused",
		Message: "the Idempotency-Key belongs to another request with another method, path or body: " + id,
	}
}

// NotFound returns the result of a request that may have run, but whose run cannot be found.
func NotFound() answerer.End {
	return answerer.End{
		Outcome: answerer.Unknown, Reason: "run_not_found",
		Message: "the request may have run; its run cannot be found and it is not repeated",
	}
}

// Ended returns the result of a run that was ended early. If the scheduler ended it, the result includes a retry delay.
func Ended(reason string, byScheduler bool) answerer.End {
	end := answerer.End{
		Outcome: answerer.Unknown, Reason: reason, Message: "the run was ended before its answer was complete",
	}
	if byScheduler {
		end.Message, end.RetryAfter = "the run was ended to make room for more urgent work", endedRetryAfter
	}
	return end
}

// Lost returns the result of a run whose endpoint was lost.
func Lost(reason string) answerer.End {
	return answerer.End{
		Outcome: answerer.Unknown, Reason: reason, Message: "the endpoint was lost while the request ran; it is not repeated",
	}
}

// Rejected returns the result of a request that an endpoint rejected, with the status and body of the endpoint's response.
func Rejected(err error) answerer.End {
	end := answerer.End{Outcome: answerer.Unknown, Reason: "endpoint_rejected", Message: "the endpoint rejected the request"}
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		end.Response = &connector.Response{Status: interrupted.Status, Body: interrupted.Body}
	}
	return end
}

// OrderUnknown returns the result of an order that may have run with an unknown outcome.
func OrderUnknown() answerer.End {
	return answerer.End{
		Outcome: answerer.Unknown, Reason: "order_unknown",
		Message: "an order with this key may have run; its result is not known and it is not repeated",
	}
}

// Recorded returns the result of an order that is recorded as done in the ledger. It returns false for any other record.
func Recorded(record recorder.Record) (answerer.End, bool) {
	out := record.Outcome
	if out == nil || out.Outcome != recorder.OutcomeDone {
		return answerer.End{}, false
	}
	end := answerer.End{Outcome: answerer.Done, Response: &connector.Response{Status: out.Status, Header: out.Header, Body: out.Body}}
	if out.Truncated {
		end.Reason, end.Message = "answer_not_kept", "the order was done; its answer was too large to be kept"
	}
	return end, true
}
