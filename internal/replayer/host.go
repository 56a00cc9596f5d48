package replayer

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

// host is a simulated entry host with the requests that it has accepted.
type host struct {
	name       string
	zone       string
	up         bool
	isolated   bool // cannot exchange messages with other hosts
	isolatedAt time.Duration
	active     map[string]*attempt
	unreported []*attempt // runs with output that was not reported to the holders
	// suspects are kept by fingerprint and sent to new holders.
	suspects map[string]suspect
}

// suspect is a fingerprint that crashed endpoints, with the times at which its refusal and the record itself expire.
type suspect struct {
	scheduler.Suspect
	refusedUntil, expiresAt time.Duration
}

// storeSuspect stores a suspect, or deletes one that has no crashes left.
func (h *host) storeSuspect(now time.Duration, share scheduler.ShareSuspect) {
	if share.Crashes == 0 {
		delete(h.suspects, share.Fingerprint)
		return
	}
	h.suspects[share.Fingerprint] = suspect{
		Suspect: share.Suspect, refusedUntil: now + share.RefusedFor, expiresAt: now + max(share.RefusedFor, suspectTTL),
	}
}

// unexpiredSuspects returns the suspects that have not expired, sorted by fingerprint.
func (h *host) unexpiredSuspects(now time.Duration) []scheduler.Suspect {
	var list []scheduler.Suspect
	for _, k := range slices.Sorted(maps.Keys(h.suspects)) {
		if s := h.suspects[k]; now < s.expiresAt {
			s.RefusedFor = max(0, s.refusedUntil-now)
			list = append(list, s.Suspect)
		}
	}
	return list
}

// receive handles the arrival of a request at an entry host.
func (s *sim) receive(h *host, a *attempt) {
	if a.state != attemptSent {
		return
	}
	if !h.up {
		s.resubmit(a)
		return
	}
	if h.isolated && s.now-h.isolatedAt > configFreshness {
		// The host cannot confirm its configuration and answers not_run.
		s.endAttempt(a)
		s.after(delayClient, func() { s.retry(a.logical, OutcomeRefused, reconnectWait) })
		return
	}
	if key := a.logical.req.Key; key != "" && s.ledger[key] {
		s.attach(a)
		return
	}
	a.state, a.received = attemptWaiting, s.now
	h.active[a.id] = a
	s.sendToHolder(h, a.pool, scheduler.Submit{Host: h.name, Descriptor: s.descriptor(a)})
}

func (s *sim) descriptor(a *attempt) scheduler.Descriptor {
	r := a.logical.req
	kind := "chat"
	if r.ServiceUS > 0 {
		kind = "service"
	}
	return scheduler.Descriptor{
		RequestID: a.id, Workspace: r.Workspace, Caller: r.Caller, Tier: r.Tier, Kind: kind, Model: r.Model,
		PromptTokens: a.logical.estimate, MaxOutputTokens: r.MaxOutputTokens, PrefixBlocks: a.logical.blocks,
		Fingerprint: fingerprint(r), IdempotencyKey: r.Key, Idempotent: !r.Once, Zone: a.host.zone,
		Waited: s.now - a.received, Remaining: a.logical.start + tracecoder.Micros(r.DeadlineUS) - s.now,
	}
}

// useGrant starts the connect to the granted endpoint, or declines the grant if it can no longer be used.
func (s *sim) useGrant(h *host, p *pool, g scheduler.Grant, until time.Duration) {
	a := h.active[g.RequestID]
	e := s.endpointByName[g.Endpoint]
	decline := func(reason scheduler.DeclineReason) {
		s.sendToHolder(h, p, scheduler.Declined{Host: h.name, RequestID: g.RequestID, Endpoint: g.Endpoint, Reason: reason})
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
	wait := 2 * networkDelay(h.zone, e.cfg.Zone)
	if a.logical.req.Once {
		wait += ledgerWriteTime
	}
	if e.silent {
		wait = connectTimeout
	}
	s.after(wait, func() { s.dispatch(h, a, e, decline) })
}

func (s *sim) dispatch(h *host, a *attempt, e *endpoint, decline func(scheduler.DeclineReason)) {
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
		s.sendToHolder(h, a.pool, scheduler.EndpointFailed{Endpoint: e.cfg.Name, Cause: cause})
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
	s.audit.Dispatched(s.now, a.id, e.cfg.Name, key, a.tierOrder)
	s.sendToHolder(h, a.pool, scheduler.Started{Host: h.name, RequestID: a.id, Endpoint: e.cfg.Name})
	incarnation := e.incarnation
	s.after(networkDelay(h.zone, e.cfg.Zone), func() { s.startRun(e, a, incarnation) })
}

// deliver passes tokens on to the caller. Tokens that are produced while no host is attached wait at the engine.
func (s *sim) deliver(e *endpoint, a *attempt, o emulator.Output) {
	if a.state != attemptDispatched { // the cancel has not reached the endpoint yet
		if o.Done {
			tokens := int64(o.Usage.PromptTokens - o.Usage.CachedTokens)
			s.result.PrefillTokens += tokens
			s.result.WastedPrefillTokens += tokens
			e.removeRun(a)
			s.audit.Ended(a.id)
		}
		return
	}
	delivered := max(o.At+networkDelay(e.cfg.Zone, a.host.zone), a.attachedAt) + delayClient
	a.tokens += o.Tokens
	if o.First {
		a.firstAt = delivered
		s.reportToHolder(a, scheduler.Progress{RequestID: a.id, OutputTokens: a.tokens})
		a.reportedTokens = a.tokens
	} else {
		a.gaps = append(a.gaps, int32((delivered-a.lastAt)/time.Microsecond))
		if !a.hasUnreported {
			a.hasUnreported = true
			a.host.unreported = append(a.host.unreported, a)
		}
	}
	a.lastAt = delivered
	if o.Done {
		s.result.PrefillTokens += int64(o.Usage.PromptTokens - o.Usage.CachedTokens)
		e.removeRun(a)
		s.audit.Ended(a.id)
		s.endAttempt(a)
		s.reportToHolder(a, scheduler.Finished{
			RequestID: a.id, Outcome: scheduler.OutcomeDone, PromptTokens: o.Usage.PromptTokens,
			CachedTokens: o.Usage.CachedTokens, OutputTokens: a.tokens,
		})
		s.complete(a)
	}
}

// reportToHolder sends an event of the endpoint to the holder through the attached host.
func (s *sim) reportToHolder(a *attempt, ev scheduler.Event) {
	wait := networkDelay(a.endpoint.cfg.Zone, a.host.zone)
	if s.now+wait < a.attachedAt {
		wait = a.attachedAt - s.now
	}
	h := a.host
	s.after(wait, func() { s.sendToHolder(h, a.pool, ev) })
}

func (s *sim) sendProgress(h *host) {
	for _, a := range h.unreported {
		a.hasUnreported = false
		if a.state == attemptDispatched && a.host == h && a.tokens > a.reportedTokens {
			a.reportedTokens = a.tokens
			s.sendToHolder(h, a.pool, scheduler.Progress{RequestID: a.id, OutputTokens: a.tokens})
		}
	}
	h.unreported = h.unreported[:0]
}

// handleRefusal ends a waiting request that the holder refused.
func (s *sim) handleRefusal(h *host, act scheduler.Refuse) {
	a := h.active[act.RequestID]
	if !h.up || a == nil || a.state != attemptWaiting && a.state != attemptConnecting {
		return
	}
	s.endAttempt(a)
	s.after(delayClient, func() { s.retry(a.logical, OutcomeRefused, max(act.RetryAfter, minRetryWait)) })
}

// handleCancel ends a run that the holder cancelled.
func (s *sim) handleCancel(h *host, act scheduler.CancelRun) {
	a := h.active[act.RequestID]
	if !h.up || a == nil || a.state != attemptDispatched {
		return
	}
	s.stopRun(h, a)
	s.after(delayClient, func() { s.retry(a.logical, OutcomeCancelled, reconnectWait) })
}

// stopRun ends an attempt, cancels its run at the endpoint and reports the end to the holder.
func (s *sim) stopRun(h *host, a *attempt) {
	e := a.endpoint
	s.endAttempt(a)
	s.after(networkDelay(h.zone, e.cfg.Zone), func() {
		s.advance(e)
		s.cancelAtEndpoint(e, a)
		e.removeRun(a)
		s.schedule(e)
		s.audit.Ended(a.id)
		s.after(networkDelay(h.zone, e.cfg.Zone), func() {
			s.sendToHolder(h, a.pool, scheduler.Finished{RequestID: a.id, Outcome: scheduler.OutcomeCanceled, OutputTokens: a.tokens})
		})
	})
}

// failRuns ends a host's runs at a failed endpoint once the host detects the failure.
func (s *sim) failRuns(h *host, e *endpoint, runs []*attempt, silent bool) {
	var hostRuns []*attempt
	var ids []string
	for _, a := range runs {
		if a.host == h && a.state == attemptDispatched {
			hostRuns, ids = append(hostRuns, a), append(ids, a.id)
		}
	}
	if len(hostRuns) == 0 {
		return
	}
	wait, cause := networkDelay(h.zone, e.cfg.Zone), scheduler.FailureReset
	if silent {
		wait, cause = streamIdleTimeout, scheduler.FailureSilent
	}
	s.after(wait, func() {
		if h.up {
			s.sendToHolder(h, hostRuns[0].pool, scheduler.EndpointFailed{Endpoint: e.cfg.Name, Cause: cause, RequestIDs: ids})
		}
		for _, a := range hostRuns {
			if a.state != attemptDispatched {
				continue
			}
			s.endAttempt(a)
			if h.up {
				s.sendToHolder(h, a.pool, scheduler.Finished{RequestID: a.id, Outcome: scheduler.OutcomeInterrupted, OutputTokens: a.tokens})
			}
			s.after(delayClient, func() { s.retry(a.logical, OutcomeUnknown, reconnectWait) })
		}
	})
}

// endAttempt ends an attempt and removes it from its host's active requests.
func (s *sim) endAttempt(a *attempt) {
	a.state = attemptEnded
	delete(a.host.active, a.id)
}

// syncState returns the full state that a host sends to a holder at the start of a stream: its waiting and running requests
// and its suspects.
func (s *sim) syncState(h *host, p *pool) scheduler.HostSynced {
	synced := scheduler.HostSynced{Host: h.name, Zone: h.zone, Suspects: h.unexpiredSuspects(s.now)}
	for _, id := range slices.Sorted(maps.Keys(h.active)) {
		a := h.active[id]
		if a.pool != p {
			continue
		}
		if a.state == attemptDispatched {
			synced.Running = append(synced.Running, scheduler.Run{
				Descriptor: s.descriptor(a), Endpoint: a.endpoint.cfg.Name, OutputTokens: a.tokens, RunningFor: s.now - a.received,
			})
		} else {
			synced.Waiting = append(synced.Waiting, s.descriptor(a))
		}
	}
	return synced
}
