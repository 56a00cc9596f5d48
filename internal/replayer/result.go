package replayer

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/auditor"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// Outcomes of a request as its caller observes them.
const (
	OutcomeDone      = "done"
	OutcomeRefused   = "refused"
	OutcomeCancelled = "cut" // the scheduler cancelled the run
	OutcomeUnknown   = "unknown"
	OutcomeGivenUp   = "given_up"
	OutcomeAttached  = "attached" // the order's idempotency key already has a run
	OutcomeLost      = "lost"
)

// Record is the outcome of one request. Times are in microseconds at the caller, from the first submission; AtUS is from the
// start of the trace.
type Record struct {
	ID         string `json:"id"`
	Workspace  string `json:"workspace"`
	Caller     string `json:"caller"`
	Tier       string `json:"tier"`
	Class      string `json:"class"`
	Flood      bool   `json:"flood,omitempty"`
	AtUS       int64  `json:"at_us"`
	TargetUS   int64  `json:"target_us,omitempty"`
	Tokens     int    `json:"tokens"` // prompt and output tokens of the request
	Outcome    string `json:"outcome"`
	Attempts   int    `json:"attempts"`
	Endpoint   string `json:"endpoint,omitempty"`
	FirstUS    int64  `json:"first_us,omitempty"`
	GapP95US   int64  `json:"gap_p95_us,omitempty"`
	FinishedUS int64  `json:"finished_us"`
}

// Result holds the records and totals of one replay.
type Result struct {
	Trace               string
	Records             []Record
	PrefillTokens       int64
	WastedPrefillTokens int64
	// Refusals counts the refusals by reason, over all attempts.
	Refusals       map[scheduler.RefuseReason]int
	CancelledRuns  int
	UnusableGrants int
	LateToLeaving  int
	EndpointsLost  []int
	Breaches       map[auditor.Rule]int
	Violations     []auditor.Violation
	// Digest covers every action and record.
	Digest uint64

	writeErr error
}

func (r *Result) countRefusal(reason scheduler.RefuseReason) {
	if r.Refusals == nil {
		r.Refusals = map[scheduler.RefuseReason]int{}
	}
	r.Refusals[reason]++
}

func (r *Result) finalize(s *sim) {
	r.Breaches = map[auditor.Rule]int{}
	for _, rule := range auditor.Rules() {
		r.Breaches[rule] = s.audit.Count(rule)
	}
	r.Violations = s.audit.Violations()
	r.LateToLeaving = s.audit.LateToLeaving()
	r.EndpointsLost = s.audit.EndpointsLost()
	_, _ = fmt.Fprintf(s.digest, "%d %d %v", r.PrefillTokens, r.WastedPrefillTokens, r.Breaches)
	for i := range r.Records {
		_, _ = fmt.Fprintf(s.digest, "%+v", r.Records[i])
	}
	r.Digest = s.digest.Sum64()
}

// Err returns the first error that occurred while writing the decisions.
func (r *Result) Err() error { return r.writeErr }

// Write writes the records as JSON lines.
func (r *Result) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	for i := range r.Records {
		if err := enc.Encode(&r.Records[i]); err != nil {
			return err
		}
	}
	return nil
}

func (l *logicalRequest) record(_ *sim) Record {
	q := l.req
	rec := Record{
		ID: q.ID, Workspace: q.Workspace, Caller: q.Caller, Tier: q.Tier, Class: q.Class, Flood: q.Flood, AtUS: q.AtUS,
		TargetUS: q.TargetUS, Tokens: q.PromptTokens + q.OutputTokens, Outcome: l.outcome, Attempts: l.attempts,
		FinishedUS: int64((l.ended - l.start) / time.Microsecond),
	}
	if a := l.current; a != nil && a.endpoint != nil {
		rec.Endpoint = a.endpoint.cfg.Name
		if a.tokens > 0 {
			rec.FirstUS = int64((a.firstAt - l.start) / time.Microsecond)
			rec.GapP95US = percentile(a.gaps, 95)
		}
	}
	return rec
}

// percentile returns the nearest-rank percentile and sorts its input.
func percentile(values []int32, p int) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	rank := (len(values)*p + 99) / 100
	return int64(values[max(rank, 1)-1])
}
