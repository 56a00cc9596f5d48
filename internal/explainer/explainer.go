// Package explainer states to callers how a request ended and what that means for them.
package explainer

import (
	"errors"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// endedRetry is the advice after a run was ended; the scheduler gives none, since it cannot know when its tier opens again.
const endedRetry = 5 * time.Second

var refusals = map[scheduler.RefuseReason]string{
	scheduler.RefuseOverload:   "the system is out of room for this tier; the request did not run",
	scheduler.RefusePatience:   "the request waited longer than its tier allows; it did not run",
	scheduler.RefuseDeadline:   "the request can no longer be answered within its time limit; it did not run",
	scheduler.RefuseLimit:      "a limit set by the operators was reached; the request did not run",
	scheduler.RefuseQuarantine: "this request is quarantined because endpoints failed while it ran; it did not run",
	scheduler.RefuseUnserved:   "no endpoint serves this model or adapter; the request did not run",
}

// Refused is a request that the scheduler refused. A quarantined one has the outcome not_run.
func Refused(reason scheduler.RefuseReason, retryAfter time.Duration) answerer.End {
	end := answerer.End{Outcome: answerer.Refused, Reason: string(reason), Message: refusals[reason], RetryAfter: retryAfter}
	if end.Message == "" {
		end.Message = "the request was refused and did not run"
	}
	if reason == scheduler.RefuseQuarantine {
		end.Outcome = answerer.NotRun
	}
	return end
}

// NotRun is a request that was never dispatched and never will be.
func NotRun(reason, message string) answerer.End {
	return answerer.End{Outcome: answerer.NotRun, Reason: reason, Message: message}
}

// KeyReused is a request whose key belongs to request id, which differs from it.
func KeyReused(id string) answerer.End {
	return answerer.End{
		Outcome: answerer.Refused, Reason: "key_reused",
		Message: "the Idempotency-Key belongs to another request with another method, path or body: " + id,
	}
}

// NotFound is a request that may have run and cannot be found.
func NotFound() answerer.End {
	return answerer.End{
		Outcome: answerer.Unknown, Reason: "run_not_found",
		Message: "the request may have run; its run cannot be found and it is not repeated",
	}
}

// Ended is a run that this system ended, at the word of the scheduler with the advice to try again.
func Ended(reason string, byScheduler bool) answerer.End {
	end := answerer.End{
		Outcome: answerer.Unknown, Reason: reason, Message: "the run was ended before its answer was complete",
	}
	if byScheduler {
		end.Message, end.RetryAfter = "the run was ended to make room for more urgent work", endedRetry
	}
	return end
}

// Lost is a run whose endpoint was lost.
func Lost(reason string) answerer.End {
	return answerer.End{
		Outcome: answerer.Unknown, Reason: reason, Message: "the endpoint was lost while the request ran; it is not repeated",
	}
}

// Rejected passes an endpoint's error status on.
func Rejected(err error) answerer.End {
	end := answerer.End{Outcome: answerer.Unknown, Reason: "endpoint_rejected", Message: "the endpoint rejected the request"}
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		end.Response = &connector.Response{Status: interrupted.Status, Body: interrupted.Body}
	}
	return end
}

// OrderUnknown is an order whose result is not known.
func OrderUnknown() answerer.End {
	return answerer.End{
		Outcome: answerer.Unknown, Reason: "order_unknown",
		Message: "an order with this key may have run; its result is not known and it is not repeated",
	}
}

// Recorded is the outcome of an order in the ledger. It returns false when the ledger has none.
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
