package replayer

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/tracer"
)

// host is an entry host. It owns the requests that it accepted.
type host struct {
	name   string
	zone   string
	up     bool
	cut    bool // no contact to the other hosts of the system
	cutAt  time.Duration
	active map[string]*attempt
	dirty  []*attempt // runs with output that the holders do not know of
	// suspects are remembered for the next holders, by fingerprint.
	suspects map[string]suspect
}

// suspect is a fingerprint that crashed endpoints, as a host remembers it.
type suspect struct {
	scheduler.Suspect
	refusedUntil, until time.Duration
}

// remember keeps a suspect, or drops one that has been cleared.
func (h *host) remember(now time.Duration, share scheduler.ShareSuspect) {
	if share.Crashes == 0 {
		delete(h.suspects, share.Fingerprint)
		return
	}
	h.suspects[share.Fingerprint] = suspect{
		Suspect: share.Suspect, refusedUntil: now + share.RefusedFor, until: now + max(share.RefusedFor, suspectTime),
	}
}

// recall lists the suspects that are still remembered, by fingerprint.
func (h *host) recall(now time.Duration) []scheduler.Suspect {
	var list []scheduler.Suspect
	for _, k := range slices.Sorted(maps.Keys(h.suspects)) {
		if s := h.suspects[k]; now < s.until {
			s.RefusedFor = max(0, s.refusedUntil-now)
			list = append(list, s.Suspect)
		}
	}
	return list
}

// receive takes a request from its caller.
func (s *sim) receive(h *host, a *attempt) {
	if a.state != attemptSent {
		return
	}
	if !h.up {
		s.callerLost(a)
		return
	}
	if h.cut && s.now-h.cutAt > freshnessTime {
		// The host cannot confirm its configuration and answers not_run.
		s.end(a)
		s.after(delayClient, func() { s.comeBack(a.logical, OutcomeRefused, reconnectWait) })
		return
	}
	if key := a.logical.req.Key; key != "" && s.ledger[key] {
		s.attach(a)
		return
	}
	a.state, a.received = attemptWaiting, s.now
	h.active[a.id] = a
	s.toPool(h, a.pool, scheduler.Submit{Host: h.name, Descriptor: s.describe(a)})
}

func (s *sim) describe(a *attempt) scheduler.Descriptor {
	r := a.logical.req
	kind := "chat"
	if r.ServiceUS > 0 {
		kind = "service"
	}
	return scheduler.Descriptor{
		RequestID: a.id, Workspace: r.Workspace, Caller: r.Caller, Tier: r.Tier, Kind: kind, Model: r.Model,
		PromptTokens: a.logical.estimate, MaxOutputTokens: r.MaxOutputTokens, PrefixBlocks: a.logical.blocks,
		Fingerprint: fingerprint(r), IdempotencyKey: r.Key, Idempotent: !r.Once, Zone: a.host.zone,
		Waited: s.now - a.received, Remaining: a.logical.start + tracer.Micros(r.DeadlineUS) - s.now,
	}
}

// granted uses a grant: connect, then dispatch.
func (s *sim) granted(h *host, p *pool, g scheduler.Grant, until time.Duration) {
	a := h.active[g.RequestID]
	e := s.byName[g.Endpoint]
	decline := func(reason scheduler.DeclineReason) {
		s.toPool(h, p, scheduler.Declined{Host: h.name, RequestID: g.RequestID, Endpoint: g.Endpoint, Reason: reason})
	}
	switch {
	case !h.up:
		return
	case a == nil || a.state != attemptWaiting || e == nil:
		s.result.UnusableGrants++
		decline(scheduler.DeclineGone)
		return
	case s.now > until:
		decline(scheduler.DeclineExpired)
		return
	}
	a.state = attemptConnecting
	wait := 2 * delay(h.zone, e.cfg.Zone)
	if a.logical.req.Once {
		wait += intendTime
	}
	if e.silent {
		wait = connectTimeout
	}
	s.after(wait, func() { s.connected(h, a, e, decline) })
}

func (s *sim) connected(h *host, a *attempt, e *endpoint, decline func(scheduler.DeclineReason)) {
	if !h.up || a.state != attemptConnecting {
		if h.up {
			decline(scheduler.DeclineGone)
		}
		return
	}
	if e.state == stateGone {
		a.state = attemptWaiting
		cause := scheduler.FailureRefused
		if e.silent {
			cause = scheduler.FailureSilent
		}
		s.toPool(h, a.pool, scheduler.EndpointFailed{Endpoint: e.cfg.Name, Cause: cause})
		decline(scheduler.DeclineConnect)
		return
	}
	key := ""
	if a.logical.req.Once {
		key = a.logical.req.Key
		if s.ledger[key] {
			decline(scheduler.DeclineGone)
			s.attach(a)
			return
		}
		s.ledger[key] = true
	}
	a.state, a.endpoint = attemptDispatched, e
	s.audit.Dispatched(s.now, a.id, e.cfg.Name, key, a.order)
	s.toPool(h, a.pool, scheduler.Started{Host: h.name, RequestID: a.id, Endpoint: e.cfg.Name})
	starts := e.starts
	s.after(delay(h.zone, e.cfg.Zone), func() { s.accept(e, a, starts) })
}

// output passes tokens on to the caller. Tokens that arrive while no host is attached wait at the engine.
func (s *sim) output(e *endpoint, a *attempt, o emulator.Output) {
	if a.state != attemptDispatched { // the cancel is under way
		if o.Done {
			tokens := int64(o.Usage.PromptTokens - o.Usage.CachedTokens)
			s.result.PrefillTokens += tokens
			s.result.WastedPrefillTokens += tokens
			e.remove(a)
			s.audit.Ended(a.id)
		}
		return
	}
	delivered := max(o.At+delay(e.cfg.Zone, a.host.zone), a.attachedAt) + delayClient
	a.tokens += o.Tokens
	if o.First {
		a.first = delivered
		s.report(a, scheduler.Progress{RequestID: a.id, OutputTokens: a.tokens})
		a.reported = a.tokens
	} else {
		a.gaps = append(a.gaps, int32((delivered-a.last)/time.Microsecond))
		if !a.dirty {
			a.dirty = true
			a.host.dirty = append(a.host.dirty, a)
		}
	}
	a.last = delivered
	if o.Done {
		s.result.PrefillTokens += int64(o.Usage.PromptTokens - o.Usage.CachedTokens)
		e.remove(a)
		s.audit.Ended(a.id)
		s.end(a)
		s.report(a, scheduler.Finished{
			RequestID: a.id, Outcome: scheduler.OutcomeDone, PromptTokens: o.Usage.PromptTokens,
			CachedTokens: o.Usage.CachedTokens, OutputTokens: a.tokens,
		})
		s.done(a)
	}
}

// report tells the holder of an event at the endpoint, by way of the attached host.
func (s *sim) report(a *attempt, ev scheduler.Event) {
	wait := delay(a.endpoint.cfg.Zone, a.host.zone)
	if s.now+wait < a.attachedAt {
		wait = a.attachedAt - s.now
	}
	h := a.host
	s.after(wait, func() { s.toPool(h, a.pool, ev) })
}

func (s *sim) sendProgress(h *host) {
	for _, a := range h.dirty {
		a.dirty = false
		if a.state == attemptDispatched && a.host == h && a.tokens > a.reported {
			a.reported = a.tokens
			s.toPool(h, a.pool, scheduler.Progress{RequestID: a.id, OutputTokens: a.tokens})
		}
	}
	h.dirty = h.dirty[:0]
}

// refused ends a waiting request on the holder's word.
func (s *sim) refused(h *host, act scheduler.Refuse) {
	a := h.active[act.RequestID]
	if !h.up || a == nil || a.state != attemptWaiting && a.state != attemptConnecting {
		return
	}
	s.end(a)
	s.after(delayClient, func() { s.comeBack(a.logical, OutcomeRefused, max(act.RetryAfter, minRetryWait)) })
}

// cut ends a run on the holder's word.
func (s *sim) cut(h *host, act scheduler.CancelRun) {
	a := h.active[act.RequestID]
	if !h.up || a == nil || a.state != attemptDispatched {
		return
	}
	s.stopRun(h, a)
	s.after(delayClient, func() { s.comeBack(a.logical, OutcomeCut, reconnectWait) })
}

// stopRun cancels a run at its endpoint and reports its end.
func (s *sim) stopRun(h *host, a *attempt) {
	e := a.endpoint
	s.end(a)
	s.after(delay(h.zone, e.cfg.Zone), func() {
		s.advance(e)
		s.waste(e, a)
		e.remove(a)
		s.schedule(e)
		s.audit.Ended(a.id)
		s.after(delay(h.zone, e.cfg.Zone), func() {
			s.toPool(h, a.pool, scheduler.Finished{RequestID: a.id, Outcome: scheduler.OutcomeCanceled, OutputTokens: a.tokens})
		})
	})
}

// breakRuns tells a host that its runs at an endpoint have ended without an answer.
func (s *sim) breakRuns(h *host, e *endpoint, runs []*attempt, silent bool) {
	var mine []*attempt
	var ids []string
	for _, a := range runs {
		if a.host == h && a.state == attemptDispatched {
			mine, ids = append(mine, a), append(ids, a.id)
		}
	}
	if len(mine) == 0 {
		return
	}
	wait, cause := delay(h.zone, e.cfg.Zone), scheduler.FailureReset
	if silent {
		wait, cause = silentTimeout, scheduler.FailureSilent
	}
	s.after(wait, func() {
		if h.up {
			s.toPool(h, mine[0].pool, scheduler.EndpointFailed{Endpoint: e.cfg.Name, Cause: cause, RequestIDs: ids})
		}
		for _, a := range mine {
			if a.state != attemptDispatched {
				continue
			}
			s.end(a)
			if h.up {
				s.toPool(h, a.pool, scheduler.Finished{RequestID: a.id, Outcome: scheduler.OutcomeInterrupted, OutputTokens: a.tokens})
			}
			s.after(delayClient, func() { s.comeBack(a.logical, OutcomeUnknown, reconnectWait) })
		}
	})
}

// end takes a request off its host's books.
func (s *sim) end(a *attempt) {
	a.state = attemptEnded
	delete(a.host.active, a.id)
}

// account is a host's own account of its requests, as a new stream to a holder begins.
func (s *sim) account(h *host, p *pool) scheduler.HostSynced {
	synced := scheduler.HostSynced{Host: h.name, Zone: h.zone, Suspects: h.recall(s.now)}
	for _, id := range slices.Sorted(maps.Keys(h.active)) {
		a := h.active[id]
		if a.pool != p {
			continue
		}
		if a.state == attemptDispatched {
			synced.Running = append(synced.Running, scheduler.Run{
				Descriptor: s.describe(a), Endpoint: a.endpoint.cfg.Name, OutputTokens: a.tokens, RunningFor: s.now - a.received,
			})
		} else {
			synced.Waiting = append(synced.Waiting, s.describe(a))
		}
	}
	return synced
}
