package replayer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

const defaultConcurrent = 8

// backend is an emulated engine or plain service.
type backend interface {
	Submit(now time.Duration, j emulator.Job)
	Cancel(now time.Duration, id string) (wastedPrefill int, ok bool)
	Next() (time.Duration, bool)
	Advance(now time.Duration) []emulator.Output
	SetSpeed(now time.Duration, factor float64)
	Crash(now time.Duration) []string
	Load() (running, waiting, tokens int)
	TakeCacheEvents() []connector.CacheEvent
}

type endpointState int

const (
	stateLive endpointState = iota
	stateLeaving
	stateGone
)

type transition struct {
	at    time.Duration
	state endpointState
}

type loadSample struct {
	at                       time.Duration
	running, waiting, tokens int
}

type endpoint struct {
	cfg         configurer.Endpoint
	backend     backend
	state       endpointState
	silent      bool // connects time out instead of being refused
	incarnation int
	runs        []*attempt
	stepAt      time.Duration
	stepping    bool
	history     []transition
	loads       []loadSample
}

func newEndpoint(cfg configurer.Endpoint, generation string, seed uint64) *endpoint {
	e := &endpoint{cfg: cfg}
	if o, ok := emulator.HardwareOptions(generation); ok {
		o.Name, o.Seed = cfg.Name, seed
		e.backend = emulator.New(o)
	} else {
		limit := cfg.MaxConcurrent
		if limit <= 0 {
			limit = defaultConcurrent
		}
		e.backend = emulator.NewService(limit)
	}
	return e
}

func (e *endpoint) setState(now time.Duration, state endpointState) {
	e.state = state
	e.history = append(e.history, transition{at: now, state: state})
}

// stateAt returns the endpoint's state at the given time.
func (e *endpoint) stateAt(at time.Duration) endpointState {
	state := stateLive
	for _, t := range e.history {
		if t.at <= at {
			state = t.state
		}
	}
	return state
}

func (e *endpoint) removeRun(a *attempt) {
	for i, r := range e.runs {
		if r == a {
			e.runs = append(e.runs[:i], e.runs[i+1:]...)
			return
		}
	}
}

// applyChange applies a change of the trace.
func (s *sim) applyChange(c *tracecoder.Change) {
	switch c.Change {
	case tracecoder.ChangeZoneDown:
		s.failZone(c.Zone)
		return
	case tracecoder.ChangeHostDown:
		s.failHosts([]*host{s.hostByName(c.Host)}, func() {})
		return
	case tracecoder.ChangeHostCut:
		s.isolate(s.hostByName(c.Host), tracecoder.Micros(c.ForUS))
		return
	}
	e := s.endpointByName[c.Endpoint]
	switch c.Change {
	case tracecoder.ChangeSpeed:
		s.advance(e)
		e.backend.SetSpeed(s.now, c.Factor)
		s.schedule(e)
	case tracecoder.ChangeCrash:
		s.crash(e, false)
		s.restartLater(e)
	case tracecoder.ChangeLeave:
		e.setState(s.now, stateLeaving)
	case tracecoder.ChangeStop:
		s.crash(e, false)
	case tracecoder.ChangeStart:
		e.silent = false
		e.setState(s.now, stateLive)
	}
}

func (s *sim) restartLater(e *endpoint) {
	if wait := tracecoder.Micros(s.trace.Header.Conditions.RestartUS); wait > 0 {
		incarnation := e.incarnation
		s.after(wait, func() {
			if e.incarnation == incarnation && e.state == stateGone {
				e.setState(s.now, stateLive)
			}
		})
	}
}

// crash ends all runs of an endpoint. A silent endpoint does not reset its connections.
func (s *sim) crash(e *endpoint, silent bool) {
	if e.state == stateGone {
		e.silent = e.silent || silent
		return
	}
	s.advance(e)
	e.silent = silent
	e.incarnation++
	e.setState(s.now, stateGone)
	runs := e.runs
	e.runs = nil
	for _, a := range runs {
		s.cancelAtEndpoint(e, a)
		s.audit.Ended(a.id)
	}
	e.backend.Crash(s.now)
	for _, h := range s.hosts {
		s.failRuns(h, e, runs, silent)
	}
}

// cancelAtEndpoint cancels a run at its endpoint and counts its prefill as wasted.
func (s *sim) cancelAtEndpoint(e *endpoint, a *attempt) {
	tokens, _ := e.backend.Cancel(s.now, a.id)
	s.result.PrefillTokens += int64(tokens)
	s.result.WastedPrefillTokens += int64(tokens)
}

// startRun submits a dispatched request to its endpoint, or fails the run if the endpoint has crashed since the dispatch.
func (s *sim) startRun(e *endpoint, a *attempt, incarnation int) {
	if a.state != attemptDispatched {
		return
	}
	if e.state == stateGone || e.incarnation != incarnation {
		s.audit.Ended(a.id)
		s.failRuns(a.host, e, []*attempt{a}, e.silent)
		return
	}
	s.advance(e)
	e.runs = append(e.runs, a)
	r := a.logical.req
	e.backend.Submit(s.now, emulator.Job{
		ID: a.id, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, PrefixBlocks: a.logical.blocks,
		ServiceTime: tracecoder.Micros(r.ServiceUS),
	})
	s.schedule(e)
	if r.PoisonUS > 0 {
		s.after(tracecoder.Micros(r.PoisonUS), func() {
			if e.incarnation == incarnation && a.state == attemptDispatched {
				s.audit.Crashed(s.now, fingerprint(r), e.cfg.Name)
				s.crash(e, false)
				s.restartLater(e)
			}
		})
	}
}

// advance runs the endpoint's steps up to the current time and delivers their output.
func (s *sim) advance(e *endpoint) {
	for _, o := range e.backend.Advance(s.now) {
		if a := s.attempts[o.ID]; a != nil {
			s.deliver(e, a, o)
		}
	}
}

// schedule adds the endpoint's next step to the timeline unless an earlier one is already there.
func (s *sim) schedule(e *endpoint) {
	at, ok := e.backend.Next()
	if !ok || e.stepping && e.stepAt <= at {
		return
	}
	e.stepping, e.stepAt = true, at
	s.at(at, func() {
		if e.stepAt == at {
			e.stepping = false
		}
		s.advance(e)
		s.schedule(e)
	})
}

func (s *sim) sampleLoad() {
	for _, e := range s.endpoints {
		if e.state == stateGone {
			continue
		}
		running, waiting, tokens := e.backend.Load()
		e.loads = append(e.loads, loadSample{at: s.now, running: running, waiting: waiting, tokens: tokens})
	}
}

// sendReport sends the newest load sample that is at least as old as the trace's report age.
func (s *sim) sendReport(e *endpoint) {
	age := tracecoder.Micros(s.trace.Header.Conditions.ReportAgeUS)
	newest := -1
	for i := len(e.loads) - 1; i >= 0; i-- {
		if e.loads[i].at <= s.now-age {
			newest = i
			break
		}
	}
	if newest < 0 {
		return
	}
	l := e.loads[newest]
	e.loads = e.loads[newest:]
	s.step(s.poolByName[e.cfg.Pool], scheduler.LoadReported{
		Endpoint: e.cfg.Name, Age: s.now - l.at, Running: l.running, Waiting: l.waiting, RunningTokens: l.tokens,
	})
}

func (s *sim) sendCacheEvents() {
	k := s.trace.Header.Conditions
	for _, e := range s.endpoints {
		p := s.poolByName[e.cfg.Pool]
		for _, ev := range e.backend.TakeCacheEvents() {
			if s.rng.Float64() < k.CacheGapRate {
				continue
			}
			s.after(tracecoder.Micros(k.CacheDelayUS), func() {
				s.step(p, scheduler.CacheChanged{Endpoint: e.cfg.Name, Seq: ev.Seq, Added: ev.Added, Removed: ev.Removed})
			})
		}
	}
}

func (s *sim) sendLists() {
	for _, p := range s.pools {
		s.step(p, s.endpointList(p))
	}
	var leaving []string
	for _, e := range s.endpoints {
		if e.stateAt(s.now-tracecoder.Micros(s.trace.Header.Conditions.ListAgeUS)) == stateLeaving {
			leaving = append(leaving, e.cfg.Name)
		}
	}
	s.audit.LeavingListed(s.now, leaving)
}

func (s *sim) endpointList(p *pool) scheduler.HostsListed {
	age := tracecoder.Micros(s.trace.Header.Conditions.ListAgeUS)
	l := scheduler.HostsListed{Age: age}
	for _, e := range s.endpoints {
		if e.cfg.Pool != p.name {
			continue
		}
		switch e.stateAt(s.now - age) {
		case stateLive:
			l.Live = append(l.Live, e.cfg.Name)
		case stateLeaving:
			l.Leaving = append(l.Leaving, e.cfg.Name)
		}
	}
	return l
}
