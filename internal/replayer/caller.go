package replayer

import (
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/tracer"
)

// logical is one request in the eyes of its caller, over all attempts.
type logical struct {
	req      *tracer.Request
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
	id         string
	logical    *logical
	order      int
	pool       *pool
	host       *host
	state      attemptState
	received   time.Duration
	endpoint   *endpoint
	attachedAt time.Duration // when a host is attached again after the loss of the first one
	tokens     int
	reported   int
	dirty      bool
	first      time.Duration
	last       time.Duration
	gaps       []int32 // microseconds between tokens at the caller
}

func fingerprint(r *tracer.Request) string {
	return fmt.Sprintf("%s:%x", r.Workspace, xxhash.Sum64String(r.Class+r.ID))
}

// expect schedules a request of the trace and the time at which its caller gives up.
func (s *sim) expect(r *tracer.Request) {
	l := &logical{req: r, blocks: r.Blocks(), start: tracer.Micros(r.AtUS)}
	// Entry hosts estimate prompts from their length in bytes, which is off by up to a tenth.
	l.estimate = max(1, int(float64(r.PromptTokens)*(0.9+float64(0.2*s.rng.Float64()))))
	s.requests = append(s.requests, l)
	s.open++
	s.at(l.start, func() { s.submit(l) })
	s.at(l.start+tracer.Micros(r.DeadlineUS), func() { s.giveUp(l) })
}

func (s *sim) submit(l *logical) {
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
	a := &attempt{id: id, logical: l, order: s.orders[l.req.Tier], pool: s.poolNamed[l.req.Pool], host: h}
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

// giveUp ends a request whose caller waits no longer.
func (s *sim) giveUp(l *logical) {
	if l.outcome != "" {
		return
	}
	s.finish(l, OutcomeGivenUp)
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
			s.end(a)
			s.toPool(h, a.pool, scheduler.Cancelled{RequestID: a.id})
		case attemptConnecting: // the connect in progress declines the grant
			s.end(a)
			s.toPool(h, a.pool, scheduler.Cancelled{RequestID: a.id})
		case attemptDispatched:
			if a.endpoint.state != stateGone {
				s.stopRun(h, a)
			}
		}
	})
}

// comeBack lets the caller send the request again after a failure, as often as the trace says.
func (s *sim) comeBack(l *logical, outcome string, wait time.Duration) {
	if l.outcome != "" {
		return
	}
	final := l.attempts > l.req.Retries || l.req.Once && outcome != OutcomeRefused
	if final {
		s.finish(l, outcome)
		return
	}
	s.after(wait, func() { s.submit(l) })
}

// callerLost sends a request that never reached a holder to another host.
func (s *sim) callerLost(a *attempt) {
	a.state = attemptEnded
	s.after(reconnectWait, func() { s.submit(a.logical) })
}

// attach ends an attempt whose order already has a run.
func (s *sim) attach(a *attempt) {
	s.end(a)
	s.finish(a.logical, OutcomeAttached)
}

func (s *sim) done(a *attempt) {
	l := a.logical
	if l.outcome != "" {
		return
	}
	s.audit.Answered(s.now, a.id, a.tokens, max(1, l.req.OutputTokens))
	s.finish(l, OutcomeDone)
	l.current, l.ended = a, a.last
}

func (s *sim) finish(l *logical, outcome string) {
	l.outcome, l.ended = outcome, s.now
	s.open--
}

// orphan handles the requests of a host that has died. Requests that were not dispatched are sent anew; runs at living
// endpoints are found again by another host.
func (s *sim) orphan(h *host) {
	ids := make([]string, 0, len(h.active))
	for id := range h.active {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	adopters := map[*host]bool{}
	for _, id := range ids {
		a := h.active[id]
		if a.state != attemptDispatched {
			s.end(a)
			s.callerLost(a)
			continue
		}
		if a.endpoint.state == stateGone {
			continue // breakRuns ends it
		}
		next := s.pickHost(xxhash.Sum64String(id))
		if next == nil {
			continue
		}
		delete(h.active, id)
		a.host, a.attachedAt, a.dirty = next, s.now+reconnectWait, false
		next.active[id] = a
		adopters[next] = true
	}
	for _, next := range s.hosts {
		if adopters[next] {
			s.after(reconnectWait, func() {
				for _, p := range s.pools {
					s.toPool(next, p, s.account(next, p))
				}
			})
		}
	}
}
