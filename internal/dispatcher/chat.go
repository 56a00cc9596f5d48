package dispatcher

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

const (
	// progressInterval bounds the progress messages of one run.
	progressInterval = 100 * time.Millisecond
	// maxResumes bounds all attempts of one run, so that a stream that breaks after each chunk ends.
	maxResumes = 1024
	// maxAnswerBytes bounds the memory of one answer.
	maxAnswerBytes = 32 << 20
	cancelTimeout  = 2 * time.Second
	// maxMissing allows about 0.3 s for a request that was written just before its connection broke.
	maxMissing = 4
)

// sending tracks whether the first byte of a dispatch may have been written.
func (r *run) sending(endpoint string, sent *bool) func() {
	return func() {
		*sent = true
		r.fire(triggerDispatch)
		countDispatched.Add(1)
		r.session.Started(r.id, endpoint)
	}
}

// chat dispatches a chat request. It returns false when nothing was sent and the request waits on.
func (r *run) chat(g grant) bool {
	var engine connector.Engine
	known := func() (ok bool) {
		engine, ok = r.d.Endpoints.Engine(g.endpoint)
		return ok
	}
	if !r.endpointKnown(g, known) {
		return r.decline(g, scheduler.DeclineExpired)
	}
	stop := time.AfterFunc(r.d.Times.Total, func() { r.cancelRun("time_limit") })
	defer stop.Stop()
	sent := false
	call := r.req.Call
	call.RequestID = r.id
	stream, err := engine.Dispatch(dialContext{r.ctx, g.deadline}, call, r.sending(g.endpoint, &sent))
	if !sent {
		return r.unsent(g, err)
	}
	r.release()
	src := source{run: r, engine: engine, endpoint: g.endpoint, id: r.id, report: r.session}
	src.finish(src.copy(stream, err))
	return true
}

// unsent gives the grant of a dispatch back that wrote no byte.
func (r *run) unsent(g grant, err error) bool {
	var n *connector.NotSentError
	if errors.As(err, &n) && time.Now().Before(g.deadline) {
		return r.decline(g, scheduler.DeclineConnect)
	}
	return r.decline(g, scheduler.DeclineExpired)
}

// reporter is the part of a session that follows a run.
type reporter interface {
	Progress(id string, outputTokens int)
	Finished(f scheduler.Finished)
	EndpointFailed(endpoint string, cause scheduler.FailureCause, ids ...string)
}

// source copies the run of one request at one endpoint into the answer, through any number of streams.
type source struct {
	run      *run
	engine   connector.Engine
	endpoint string
	id       string
	// report is nil for a run whose entry host is lost.
	report   reporter
	reported map[scheduler.FailureCause]bool
	// missing counts the attempts at which the endpoint did not know a run that has given no chunk yet.
	missing      int
	lastProgress time.Time
	progressed   bool
}

// result is how a run ended.
type result struct {
	usage  *connector.Usage
	reason string
	err    error
	// canceled is true when this host ended the run.
	canceled bool
	// rejected is true when the endpoint answered with an error status.
	rejected bool
}

// copy reads stream, or the error of opening it, until the run has ended, and resumes it where it breaks.
func (s *source) copy(stream connector.Stream, err error) result {
	r := s.run
	attempts, total := 0, 0
	for {
		if err != nil {
			if done, res := s.fatal(err); done {
				return res
			}
		}
		if stream != nil {
			res, advanced := s.read(stream)
			_ = stream.Close()
			if res != nil {
				return *res
			}
			if advanced {
				attempts = 0
			}
		}
		if attempts >= r.d.Times.ResumeAttempts || total >= maxResumes {
			if len(s.reported) == 0 {
				s.failed(scheduler.FailureSilent)
			}
			return result{reason: "endpoint_lost", err: err}
		}
		// The first attempt follows at once: most breaks are of one connection only.
		if attempts > 0 && !r.pause(attempts) || r.ctx.Err() != nil {
			return result{canceled: true, reason: r.cancelReason()}
		}
		attempts++
		total++
		countResumes.Add(1)
		from, _ := r.answer.Len()
		stream, err = s.engine.Resume(r.ctx, s.id, from)
		if err != nil {
			stream = nil
		}
	}
}

// fatal reports whether an error of opening a stream ends the run.
func (s *source) fatal(err error) (bool, result) {
	r := s.run
	if r.ctx.Err() != nil {
		return true, result{canceled: true, reason: r.cancelReason()}
	}
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		switch interrupted.Cause {
		case connector.CauseRejected:
			return true, result{rejected: true, reason: "endpoint_rejected", err: err}
		case connector.CauseNotFound:
			chunks, _ := r.answer.Len()
			if chunks == 0 && s.missing < maxMissing {
				// The connection broke early: the endpoint may not have read the request yet, or never received it.
				s.missing++
				return false, result{}
			}
			if chunks > 0 {
				s.failed(scheduler.FailureReset)
			}
			return true, result{reason: "run_lost", err: err}
		case connector.CauseSilent:
			s.failed(scheduler.FailureSilent)
		}
	}
	var unsent *connector.NotSentError
	var timeout net.Error
	switch {
	case !errors.As(err, &unsent):
	case errors.As(err, &timeout) && timeout.Timeout():
		s.failed(scheduler.FailureSilent)
	default:
		// The stream broke and the endpoint takes no connection: it crashed.
		s.failed(scheduler.FailureReset)
	}
	return false, result{}
}

// failed reports a sign of failure once for each kind, however many attempts meet it.
func (s *source) failed(cause scheduler.FailureCause) {
	if s.report == nil || s.reported[cause] {
		return
	}
	if s.reported == nil {
		s.reported = make(map[scheduler.FailureCause]bool)
	}
	s.reported[cause] = true
	s.report.EndpointFailed(s.endpoint, cause, s.id)
}

// read copies one stream. It returns a result when the run has ended, and nil when the stream has to be resumed.
func (s *source) read(stream connector.Stream) (res *result, advanced bool) {
	r := s.run
	for {
		chunk, err := stream.Next(r.ctx)
		if err != nil {
			if r.ctx.Err() != nil {
				return &result{canceled: true, reason: r.cancelReason()}, advanced
			}
			return nil, advanced
		}
		if chunk.RequestID != s.id {
			countRejected.Add(1)
			return nil, advanced
		}
		if r.machine.State() == StateDispatched {
			r.fire(triggerStream)
		}
		if err := r.answer.Append(chunk.Index, chunk.Text); err != nil {
			countRejected.Add(1)
			return nil, advanced
		}
		advanced = true
		if chunk.Last {
			return &result{usage: chunk.Usage}, advanced
		}
		if _, bytes := r.answer.Len(); bytes > maxAnswerBytes {
			return &result{canceled: true, reason: "answer_too_large"}, advanced
		}
		s.progress(chunk.Index + 1)
	}
}

// progress reports the first chunk at once and later ones at intervals.
func (s *source) progress(tokens int) {
	if s.report == nil || s.progressed && time.Since(s.lastProgress) < progressInterval {
		return
	}
	s.progressed, s.lastProgress = true, time.Now()
	s.report.Progress(s.id, tokens)
}

// finish ends the request, then the run at the endpoint if it still goes on, and reports to the scheduler.
func (s *source) finish(res result) {
	r := s.run
	outcome := scheduler.OutcomeDone
	switch {
	case res.usage != nil || res.reason == "":
		r.finish(triggerDone, answerer.End{Outcome: answerer.Done, Usage: res.usage})
	case res.rejected:
		outcome = scheduler.OutcomeFailed
		r.finish(triggerFail, rejection(res.err))
	case res.canceled:
		outcome = scheduler.OutcomeCanceled
		r.finish(triggerFail, answerer.End{
			Outcome: answerer.Unknown, Reason: res.reason, Message: "the run was ended before its answer was complete",
		})
		if res.reason != reasonStopped {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), cancelTimeout)
			_ = s.engine.Cancel(ctx, s.id)
			cancel()
		}
	default:
		outcome = scheduler.OutcomeInterrupted
		r.finish(triggerLose, answerer.End{
			Outcome: answerer.Unknown, Reason: res.reason, Message: "the endpoint was lost while the request ran",
		})
	}
	if s.report == nil {
		return
	}
	f := scheduler.Finished{RequestID: s.id, Outcome: outcome}
	f.OutputTokens, _ = r.answer.Len()
	if res.usage != nil {
		f.PromptTokens, f.CachedTokens, f.OutputTokens = res.usage.PromptTokens, res.usage.CachedTokens, res.usage.OutputTokens
	}
	s.report.Finished(f)
}

// rejection passes an endpoint's error status on.
func rejection(err error) answerer.End {
	end := answerer.End{Outcome: answerer.Unknown, Reason: "endpoint_rejected", Message: "the endpoint rejected the request"}
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		end.Response = &connector.Response{Status: interrupted.Status, Body: interrupted.Body}
	}
	return end
}
