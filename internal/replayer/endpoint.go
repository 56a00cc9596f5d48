package replayer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/tracer"
)

const defaultConcurrent = 8

// unit is an emulated engine or plain service.
type unit interface {
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
	cfg      configurer.Endpoint
	unit     unit
	state    endpointState
	silent   bool // nothing answers, not even a refused connect
	starts   int
	runs     []*attempt
	stepAt   time.Duration
	stepping bool
	history  []transition
	loads    []loadSample
}

func newEndpoint(cfg configurer.Endpoint, generation string, seed uint64) *endpoint {
	e := &endpoint{cfg: cfg}
	if o, ok := emulator.Generation(generation); ok {
		o.Name, o.Seed = cfg.Name, seed
		e.unit = emulator.New(o)
	} else {
		limit := cfg.MaxConcurrent
		if limit <= 0 {
			limit = defaultConcurrent
		}
		e.unit = emulator.NewService(limit)
	}
	return e
}

func (e *endpoint) set(now time.Duration, state endpointState) {
	e.state = state
	e.history = append(e.history, transition{at: now, state: state})
}

// seen returns the state that a list of the given time shows.
func (e *endpoint) seen(at time.Duration) endpointState {
	state := stateLive
	for _, t := range e.history {
		if t.at <= at {
			state = t.state
		}
	}
	return state
}

func (e *endpoint) remove(a *attempt) {
	for i, r := range e.runs {
		if r == a {
			e.runs = append(e.runs[:i], e.runs[i+1:]...)
			return
		}
	}
}

// change applies a recorded change.
func (s *sim) change(c *tracer.Change) {
	switch c.Change {
	case tracer.ChangeZoneDown:
		s.loseZone(c.Zone)
		return
	case tracer.ChangeHostDown:
		s.loseHosts([]*host{s.hostNamed(c.Host)}, func() {})
		return
	case tracer.ChangeHostCut:
		s.cutOff(s.hostNamed(c.Host), tracer.Micros(c.ForUS))
		return
	}
	e := s.byName[c.Endpoint]
	switch c.Change {
	case tracer.ChangeSpeed:
		s.advance(e)
		e.unit.SetSpeed(s.now, c.Factor)
		s.schedule(e)
	case tracer.ChangeCrash:
		s.crash(e, false)
		s.restartLater(e)
	case tracer.ChangeLeave:
		e.set(s.now, stateLeaving)
	case tracer.ChangeStop:
		s.crash(e, false)
	case tracer.ChangeStart:
		e.silent = false
		e.set(s.now, stateLive)
	}
}

func (s *sim) restartLater(e *endpoint) {
	if wait := tracer.Micros(s.trace.Header.Conditions.RestartUS); wait > 0 {
		starts := e.starts
		s.after(wait, func() {
			if e.starts == starts && e.state == stateGone {
				e.set(s.now, stateLive)
			}
		})
	}
}

// crash ends all runs of an endpoint. A silent endpoint does not even reset its connections.
func (s *sim) crash(e *endpoint, silent bool) {
	if e.state == stateGone {
		e.silent = e.silent || silent
		return
	}
	s.advance(e)
	e.silent = silent
	e.starts++
	e.set(s.now, stateGone)
	runs := e.runs
	e.runs = nil
	for _, a := range runs {
		s.waste(e, a)
		s.audit.Ended(a.id)
	}
	e.unit.Crash(s.now)
	for _, h := range s.hosts {
		s.breakRuns(h, e, runs, silent)
	}
}

// waste accounts the prefill of a run that gives no answer.
func (s *sim) waste(e *endpoint, a *attempt) {
	tokens, _ := e.unit.Cancel(s.now, a.id)
	s.result.PrefillTokens += int64(tokens)
	s.result.WastedPrefillTokens += int64(tokens)
}

// accept takes a job from the network. The endpoint may have died since the dispatch.
func (s *sim) accept(e *endpoint, a *attempt, starts int) {
	if a.state != attemptDispatched {
		return
	}
	if e.state == stateGone || e.starts != starts {
		s.audit.Ended(a.id)
		s.breakRuns(a.host, e, []*attempt{a}, e.silent)
		return
	}
	s.advance(e)
	e.runs = append(e.runs, a)
	r := a.logical.req
	e.unit.Submit(s.now, emulator.Job{
		ID: a.id, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, PrefixBlocks: a.logical.blocks,
		Work: tracer.Micros(r.ServiceUS),
	})
	s.schedule(e)
	if r.PoisonUS > 0 {
		s.after(tracer.Micros(r.PoisonUS), func() {
			if e.starts == starts && a.state == attemptDispatched {
				s.audit.Crashed(s.now, fingerprint(r), e.cfg.Name)
				s.crash(e, false)
				s.restartLater(e)
			}
		})
	}
}

// advance takes the endpoint's finished steps.
func (s *sim) advance(e *endpoint) {
	for _, o := range e.unit.Advance(s.now) {
		if a := s.attempts[o.ID]; a != nil {
			s.output(e, a, o)
		}
	}
}

// schedule makes sure that the endpoint's next step is on the timeline.
func (s *sim) schedule(e *endpoint) {
	at, ok := e.unit.Next()
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
		running, waiting, tokens := e.unit.Load()
		e.loads = append(e.loads, loadSample{at: s.now, running: running, waiting: waiting, tokens: tokens})
	}
}

// sendReport passes on the newest load report that is as old as the trace says.
func (s *sim) sendReport(e *endpoint) {
	age := tracer.Micros(s.trace.Header.Conditions.ReportAgeUS)
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
	s.step(s.poolNamed[e.cfg.Pool], scheduler.LoadReported{
		Endpoint: e.cfg.Name, Age: s.now - l.at, Running: l.running, Waiting: l.waiting, RunningTokens: l.tokens,
	})
}

func (s *sim) sendCacheEvents() {
	k := s.trace.Header.Conditions
	for _, e := range s.endpoints {
		p := s.poolNamed[e.cfg.Pool]
		for _, ev := range e.unit.TakeCacheEvents() {
			if s.rng.Float64() < k.CacheGapRate {
				continue
			}
			s.after(tracer.Micros(k.CacheDelayUS), func() {
				s.step(p, scheduler.CacheChanged{Endpoint: e.cfg.Name, Seq: ev.Seq, Added: ev.Added, Removed: ev.Removed})
			})
		}
	}
}

func (s *sim) sendLists() {
	for _, p := range s.pools {
		s.step(p, s.list(p))
	}
	var leaving []string
	for _, e := range s.endpoints {
		if e.seen(s.now-tracer.Micros(s.trace.Header.Conditions.ListAgeUS)) == stateLeaving {
			leaving = append(leaving, e.cfg.Name)
		}
	}
	s.audit.Listed(s.now, leaving)
}

func (s *sim) list(p *pool) scheduler.HostsListed {
	age := tracer.Micros(s.trace.Header.Conditions.ListAgeUS)
	l := scheduler.HostsListed{Age: age}
	for _, e := range s.endpoints {
		if e.cfg.Pool != p.name {
			continue
		}
		switch e.seen(s.now - age) {
		case stateLive:
			l.Live = append(l.Live, e.cfg.Name)
		case stateLeaving:
			l.Leaving = append(l.Leaving, e.cfg.Name)
		}
	}
	return l
}
