// Package resumer copies the run of a request from its engine into an answer, through any number of streams.
package resumer

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
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
	// maxMissing allows about 0.3 s for a request that was written just before its connection broke.
	maxMissing = 4
)

var (
	countResumes  = expvar.NewInt("resumer_resumes")
	countRejected = expvar.NewInt("resumer_chunks_rejected")
)

// Reporter follows the progress of a run.
type Reporter interface {
	Progress(id string, outputTokens int)
	EndpointFailed(endpoint string, cause scheduler.FailureCause, ids ...string)
}

// Limits bound the attempts to resume a stream.
type Limits struct {
	// Attempts bounds the attempts without a new chunk.
	Attempts int
	// Backoff is the first delay between attempts; it doubles up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// Pause waits for a jittered back-off. It returns false when ctx ended.
func (l Limits) Pause(ctx context.Context, attempt int) bool {
	backoff := min(l.MaxBackoff, l.Backoff<<min(attempt, 10))
	timer := time.NewTimer(backoff/2 + rand.N(backoff/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Resumer copies one run. Set the exported fields before Copy.
type Resumer struct {
	RequestID string
	Endpoint  string
	Engine    connector.Engine
	Answer    *answerer.Answer
	Limits    Limits
	// Report is nil for a run whose entry host is lost.
	Report Reporter
	// Streaming is called once at the first chunk; it may be nil.
	Streaming func()

	streaming    bool
	reported     map[scheduler.FailureCause]bool
	lastProgress time.Time
	// missing counts the attempts at which the endpoint did not know a run that has given no chunk yet.
	missing int
}

// Result is how a run ended.
type Result struct {
	Usage *connector.Usage
	// Done is true when the answer is complete.
	Done bool
	// Canceled is true when ctx ended or the answer grew too large; the run may go on at the endpoint.
	Canceled bool
	// Rejected is true when the endpoint answered with an error status.
	Rejected bool
	// Reason names a failure.
	Reason string
	Err    error
}

// Copy reads stream, or the error of opening it, until the run has ended, and resumes it where it breaks.
func (s *Resumer) Copy(ctx context.Context, stream connector.Stream, err error) Result {
	attempts, total := 0, 0
	for {
		if err != nil {
			if res := s.fatal(ctx, err); res != nil {
				return *res
			}
		}
		if stream != nil {
			res, advanced := s.read(ctx, stream)
			_ = stream.Close()
			if res != nil {
				return *res
			}
			if advanced {
				attempts = 0
			}
		}
		if attempts >= s.Limits.Attempts || total >= maxResumes {
			if len(s.reported) == 0 {
				s.failed(scheduler.FailureSilent)
			}
			return Result{Reason: "endpoint_lost", Err: err}
		}
		// The first attempt follows at once: most breaks are of one connection only.
		if attempts > 0 && !s.Limits.Pause(ctx, attempts) || ctx.Err() != nil {
			return Result{Canceled: true}
		}
		attempts++
		total++
		countResumes.Add(1)
		from, _ := s.Answer.Len()
		stream, err = s.Engine.Resume(ctx, s.RequestID, from)
		if err != nil {
			stream = nil
		}
	}
}

// fatal returns a result when an error of opening a stream ends the run.
func (s *Resumer) fatal(ctx context.Context, err error) *Result {
	if ctx.Err() != nil {
		return &Result{Canceled: true}
	}
	var interrupted *connector.InterruptedError
	if errors.As(err, &interrupted) {
		switch interrupted.Cause {
		case connector.CauseRejected:
			return &Result{Rejected: true, Reason: "endpoint_rejected", Err: err}
		case connector.CauseNotFound:
			return s.notFound(err)
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
	return nil
}

// notFound ends a run that its endpoint does not know. Before the first chunk the endpoint may not have read the request yet,
// or never received it.
func (s *Resumer) notFound(err error) *Result {
	chunks, _ := s.Answer.Len()
	if chunks == 0 && s.missing < maxMissing {
		s.missing++
		return nil
	}
	if chunks > 0 {
		s.failed(scheduler.FailureReset)
	}
	return &Result{Reason: "run_lost", Err: err}
}

// failed reports a sign of failure once for each kind, however many attempts meet it.
func (s *Resumer) failed(cause scheduler.FailureCause) {
	if s.Report == nil || s.reported[cause] {
		return
	}
	if s.reported == nil {
		s.reported = make(map[scheduler.FailureCause]bool)
	}
	s.reported[cause] = true
	s.Report.EndpointFailed(s.Endpoint, cause, s.RequestID)
}

// read copies one stream. It returns a result when the run has ended, and nil when the stream has to be resumed.
func (s *Resumer) read(ctx context.Context, stream connector.Stream) (res *Result, advanced bool) {
	for {
		chunk, err := stream.Next(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return &Result{Canceled: true}, advanced
			}
			return nil, advanced
		}
		if chunk.RequestID != s.RequestID {
			countRejected.Add(1)
			return nil, advanced
		}
		if !s.streaming {
			s.streaming = true
			if s.Streaming != nil {
				s.Streaming()
			}
		}
		if err := s.Answer.Append(chunk.Index, chunk.Text); err != nil {
			countRejected.Add(1)
			return nil, advanced
		}
		advanced = true
		if chunk.Last {
			return &Result{Done: true, Usage: chunk.Usage}, advanced
		}
		if _, bytes := s.Answer.Len(); bytes > maxAnswerBytes {
			return &Result{Canceled: true, Reason: "answer_too_large"}, advanced
		}
		s.progress(chunk.Index + 1)
	}
}

// progress reports the first chunk at once and later ones at intervals.
func (s *Resumer) progress(tokens int) {
	if s.Report == nil || time.Since(s.lastProgress) < progressInterval {
		return
	}
	s.lastProgress = time.Now()
	s.Report.Progress(s.RequestID, tokens)
}
