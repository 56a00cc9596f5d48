package replayer

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

// logicalRequest is one request of the trace with all of its attempts.
type logicalRequest struct {
	req      *tracecoder.Request
	blocks   []uint64
	estimate int // prompt tokens as an entry host estimates them
	start    time.Duration
	attempts int
	current  *attempt
	outcome  string
	ended    time.Duration
}

type attemptState int

const (
	attemptSent attemptState = iota
	attemptWaiting
	attemptConnecting
	attemptDispatched
	attemptEnded
)

// attempt is one submission of a request to an entry host.
type attempt struct {
	id             string
	logical        *logicalRequest
	tierOrder      int
	pool           *pool
	host           *host
	state          attemptState
	received       time.Duration
	endpoint       *endpoint
	attachedAt     time.Duration // when another host takes over after the first one failed
	tokens         int
	reportedTokens int
	hasUnreported  bool
	firstAt        time.Duration
	lastAt         time.Duration
	gaps           []int32 // microseconds between tokens at the caller
}

func fingerprint(r *tracecoder.Request) string {
	return fmt.Sprintf("%s:%x", r.Workspace, xxhash.Sum64String(r.Class+r.ID))
}

// scheduleRequest schedules the first submission of a request of the trace and its deadline.
func (s *sim) scheduleRequest(r *tracecoder.Request) {
	l := &logicalRequest{req: r, blocks: r.Blocks(), start: tracecoder.Micros(r.AtUS)}
	// Entry hosts estimate the tokens of a prompt from its length in bytes, with an error of up to 10%.
	l.estimate = max(1, int(float64(r.PromptTokens)*(0.9+float64(0.2*s.rng.Float64()))))
	s.requests = append(s.requests, l)
	s.unfinished++
	s.at(l.start, func() { s.submit(l) })
	s.at(l.start+tracecoder.Micros(r.DeadlineUS), func() { s.giveUp(l) })
}

func (s *sim) submit(l *logicalRequest) {
	if l.outcome != "" {
		return
	}
	id := l.req.ID
	if l.attempts > 0 {
		id = fmt.Sprintf("%s.%d", id, l.attempts)
	}
	l.attempts++
	h := s.pickHost(xxhash.Sum64String(id))
	if h == nil {
		return
	}
	a := &attempt{id: id, logical: l, tierOrder: s.tierOrders[l.req.Tier], pool: s.poolByName[l.req.Pool], host: h}
	l.current = a
	s.attempts[id] = a
	s.after(delayClient, func() { s.receive(h, a) })
}

func (s *sim) pickHost(n uint64) *host {
	var up []*host
	for _, h := range s.hosts {
		if h.up {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[n%uint64(len(up))]
}

// giveUp ends a request at its deadline, and cancels its current attempt once the entry host has detected it.
func (s *sim) giveUp(l *logicalRequest) {
	if l.outcome != "" {
		return
	}
	s.setOutcome(l, OutcomeGivenUp)
	a := l.current
	if a == nil {
		return
	}
	s.after(delayClient, func() {
		h := a.host
		switch a.state {
		case attemptSent:
			a.state = attemptEnded
		case attemptWaiting:
			s.endAttempt(a)
			s.sendToHolder(h, a.pool, scheduler.Cancelled{RequestID: a.id})
		case attemptConnecting: // dispatch declines the grant once the connect returns
			s.endAttempt(a)
			s.sendToHolder(h, a.pool, scheduler.Cancelled{RequestID: a.id})
		case attemptDispatched:
			if a.endpoint.state != stateGone {
				s.stopRun(h, a)
			}
		}
	})
}

// retry submits a request again after a failure, up to the number of retries that the trace allows. A non-idempotent order
// is submitted again only after a refusal.
func (s *sim) retry(l *logicalRequest, outcome string, wait time.Duration) {
	if l.outcome != "" {
		return
	}
	giveUp := l.attempts > l.req.Retries || l.req.Once && outcome != OutcomeRefused
	if giveUp {
		s.setOutcome(l, outcome)
		return
	}
	s.after(wait, func() { s.submit(l) })
}

// resubmit sends a request that was not dispatched to another host, because its entry host has failed.
func (s *sim) resubmit(a *attempt) {
	a.state = attemptEnded
	s.after(reconnectWait, func() { s.submit(a.logical) })
}

// attach ends an attempt whose idempotency key already has a run.
func (s *sim) attach(a *attempt) {
	s.endAttempt(a)
	s.setOutcome(a.logical, OutcomeAttached)
}

func (s *sim) complete(a *attempt) {
	l := a.logical
	if l.outcome != "" {
		return
	}
	s.audit.Answered(s.now, a.id, a.tokens, max(1, l.req.OutputTokens))
	s.setOutcome(l, OutcomeDone)
	l.current, l.ended = a, a.lastAt
}

func (s *sim) setOutcome(l *logicalRequest, outcome string) {
	l.outcome, l.ended = outcome, s.now
	s.unfinished--
}

// reassignRequests handles the requests of a host that has failed. Requests that were not dispatched are submitted again;
// runs at live endpoints are taken over by another host.
func (s *sim) reassignRequests(h *host) {
	ids := make([]string, 0, len(h.active))
	for id := range h.active {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	newHosts := map[*host]bool{}
	for _, id := range ids {
		a := h.active[id]
		if a.state != attemptDispatched {
			s.endAttempt(a)
			s.resubmit(a)
			continue
		}
		if a.endpoint.state == stateGone {
			continue // failRuns ends it
		}
		next := s.pickHost(xxhash.Sum64String(id))
		if next == nil {
			continue
		}
		delete(h.active, id)
		a.host, a.attachedAt, a.hasUnreported = next, s.now+reconnectWait, false
		next.active[id] = a
		newHosts[next] = true
	}
	for _, next := range s.hosts {
		if newHosts[next] {
			s.after(reconnectWait, func() {
				for _, p := range s.pools {
					s.sendToHolder(next, p, s.syncState(next, p))
				}
			})
		}
	}
}
