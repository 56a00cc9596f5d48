// Package resumer copies the output of a request's run from its engine into an answer, and reopens the stream where it breaks.
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
	// progressInterval is the shortest time between two progress reports of one run.
	progressInterval = 100 * time.Millisecond
	// maxResumes bounds the resume attempts of one run, so that a run whose stream breaks after each chunk ends.
	maxResumes = 1024
	// maxAnswerBytes bounds the memory of one answer.
	maxAnswerBytes = 32 << 20
	// maxNotFound bounds the not-found responses that are tolerated before the first chunk. With the back-off they allow about
	// 0.3 s for a request that was written just before its connection broke and that the endpoint has not read yet.
	maxNotFound = 4
)

var (
	countResumes  = expvar.NewInt("resumer_resumes")
	countRejected = expvar.NewInt("resumer_chunks_rejected")
)

// Reporter receives the progress of a run and the failures of its endpoint.
type Reporter interface {
	Progress(id string, outputTokens int)
	EndpointFailed(endpoint string, cause scheduler.FailureCause, ids ...string)
}

// Limits bound the attempts to resume a stream.
type Limits struct {
	// Attempts bounds the consecutive attempts without a new chunk.
	Attempts int
	// Backoff is the initial delay between attempts; it doubles up to MaxBackoff.
	Backoff, MaxBackoff time.Duration
}

// WaitBackoff waits for a random part, at least half, of the back-off delay of an attempt. It returns false when ctx ended first.
func (l Limits) WaitBackoff(ctx context.Context, attempt int) bool {
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
	// Reporter receives the progress and the failures; it is nil for a run whose entry host is lost.
	Reporter Reporter
	// OnFirstChunk is called once, when the first chunk has been received; it may be nil.
	OnFirstChunk func()

	firstChunkSeen bool
	reportedCauses map[scheduler.FailureCause]bool
	lastProgress   time.Time
	// notFoundCount counts the not-found responses of the endpoint before the first chunk.
	notFoundCount int
}

// Result describes how the copying of a run ended.
type Result struct {
	Usage *connector.Usage
	// Done is true when the answer is complete.
	Done bool
	// Canceled is true when ctx ended or the answer became too large. The run may continue at the endpoint.
	Canceled bool
	// Rejected is true when the endpoint responded with an error status.
	Rejected bool
	// Reason identifies a failure.
	Reason string
	Err    error
}

// Copy copies stream until the run has ended, and resumes it where it breaks. err is the error of opening the stream, if any.
func (s *Resumer) Copy(ctx context.Context, stream connector.Stream, err error) Result {
	attempts, total := 0, 0
	for {
		if err != nil {
			if res := s.openFailure(ctx, err); res != nil {
				return *res
			}
		}
		if stream != nil {
			res, advanced := s.copyStream(ctx, stream)
			_ = stream.Close()
			if res != nil {
				return *res
			}
			if advanced {
				attempts = 0
			}
		}
		if attempts >= s.Limits.Attempts || total >= maxResumes {
			if len(s.reportedCauses) == 0 {
				s.reportFailure(scheduler.FailureSilent)
			}
			return Result{Reason: "endpoint_lost", Err: err}
		}
		// The first attempt has no delay, since most failures affect only one connection.
		if attempts > 0 && !s.Limits.WaitBackoff(ctx, attempts) || ctx.Err() != nil {
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

// openFailure handles an error of opening a stream. It returns a result when the error ends the run, and nil when the stream has
// to be resumed.
func (s *Resumer) openFailure(ctx context.Context, err error) *Result {
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
		case connector.CauseTimeout:
			s.reportFailure(scheduler.FailureSilent)
		}
	}
	var unsent *connector.NotSentError
	var timeout net.Error
	switch {
	case !errors.As(err, &unsent):
	case errors.As(err, &timeout) && timeout.Timeout():
		s.reportFailure(scheduler.FailureSilent)
	default:
		// The stream broke and the endpoint accepts no connection, which means that it crashed.
		s.reportFailure(scheduler.FailureReset)
	}
	return nil
}

// notFound ends a run that is unknown at its endpoint. Before the first chunk it returns nil up to maxNotFound times, since the
// endpoint may not have read the request yet, or may never have received it.
func (s *Resumer) notFound(err error) *Result {
	chunks, _ := s.Answer.Len()
	if chunks == 0 && s.notFoundCount < maxNotFound {
		s.notFoundCount++
		return nil
	}
	if chunks > 0 {
		s.reportFailure(scheduler.FailureReset)
	}
	return &Result{Reason: "run_lost", Err: err}
}

// reportFailure reports a failure of the endpoint, once for each cause, however many attempts meet it.
func (s *Resumer) reportFailure(cause scheduler.FailureCause) {
	if s.Reporter == nil || s.reportedCauses[cause] {
		return
	}
	if s.reportedCauses == nil {
		s.reportedCauses = make(map[scheduler.FailureCause]bool)
	}
	s.reportedCauses[cause] = true
	s.Reporter.EndpointFailed(s.Endpoint, cause, s.RequestID)
}

// copyStream copies one stream. It returns a result when the run has ended, and nil when the stream has to be resumed. advanced
// states whether it added a chunk.
func (s *Resumer) copyStream(ctx context.Context, stream connector.Stream) (res *Result, advanced bool) {
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
		if !s.firstChunkSeen {
			s.firstChunkSeen = true
			if s.OnFirstChunk != nil {
				s.OnFirstChunk()
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
		s.reportProgress(chunk.Index + 1)
	}
}

// reportProgress reports the first chunk without delay and later ones at most once per progressInterval.
func (s *Resumer) reportProgress(tokens int) {
	if s.Reporter == nil || time.Since(s.lastProgress) < progressInterval {
		return
	}
	s.lastProgress = time.Now()
	s.Reporter.Progress(s.RequestID, tokens)
}
