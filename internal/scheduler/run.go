package scheduler

import "time"

const (
	// maxIncompleteRuns is the maximum number of incomplete runs kept. The report of a crash may arrive after the end of the
	// runs that it interrupted.
	maxIncompleteRuns = 1024
	// rebookFactor times the output so far is booked for a run that exceeds its booking.
	rebookFactor = 1.5
	// orphanTimeout is how long the runs of a lost host are still counted.
	orphanTimeout = 30 * time.Second
)

// incompleteRun is a run that ended without a complete answer.
type incompleteRun struct {
	id, endpoint, fingerprint string
	startedAt                 time.Duration
}

// estimate predicts the output and total tokens of a request. A call of a service counts as one token.
func (s *Scheduler) estimate(r *request) {
	if s.isServicePool() {
		r.outputEstimate, r.estimatedTokens = 0, 1
		return
	}
	r.outputEstimate = s.outputLengths.Predict(lengthQuantile, r.desc.MaxOutputTokens, r.lengthKeys()...)
	r.estimatedTokens = max(r.desc.PromptTokens, 1) + r.outputEstimate
	r.longOutputEstimate = s.outputLengths.Predict(longLengthQuantile, r.desc.MaxOutputTokens, r.lengthKeys()...)
}

// lengthKeys returns the keys under which output lengths are recorded, the most specific first. They include the tier as a
// proxy for the type of work, since all model requests have the same kind.
func (r *request) lengthKeys() []string {
	return []string{r.desc.Workspace + "\x00" + r.desc.Kind + "\x00" + r.desc.Tier, "\x00" + r.desc.Kind + "\x00" + r.desc.Tier, ""}
}

// recordStarted records that an entry host has dispatched a request. If it reports another endpoint than the one granted,
// the request is booked there instead.
func (s *Scheduler) recordStarted(e Started) {
	r := s.requests[e.RequestID]
	if r == nil || r.host != e.Host || r.state == running {
		return
	}
	switch {
	case r.state == waiting:
		s.dequeue(r)
	case r.endpoint != nil && r.endpoint.Name != e.Endpoint:
		s.release(r)
	}
	if r.endpoint == nil {
		s.acquire(r, s.ensureEndpoint(e.Endpoint), r.desc.PromptTokens)
	}
	s.markRunning(r)
}

// markRunning changes the state of a dispatched request to running.
func (s *Scheduler) markRunning(r *request) {
	s.timers.Stop(r.timer)
	r.timer = nil
	r.state, r.startedAt, r.lastProgress = running, s.now, s.now
	r.queuedTokens = r.endpoint.PendingTokens
	if len(r.endpoint.runs) == 1 {
		r.endpoint.LastProgress = s.now
	}
}

// recordDeclined revokes a grant that was not used and queues the request again, unless it no longer needs a run.
func (s *Scheduler) recordDeclined(e Declined) {
	r := s.requests[e.RequestID]
	if r == nil || r.host != e.Host || r.state == running {
		return
	}
	if e.Reason == DeclineConnect {
		s.recordEndpointFailure(EndpointFailed{Endpoint: e.Endpoint, Cause: FailureRefused})
	}
	if r.state == waiting {
		if e.Reason == DeclineGone {
			s.drop(r)
		}
		return
	}
	if r.endpoint != nil && r.endpoint.Name != e.Endpoint {
		return
	}
	s.settleCharge(r, 0)
	s.release(r)
	if e.Reason == DeclineGone || r.orphaned {
		delete(s.requests, r.id)
		return
	}
	s.enqueue(r)
}

// expireGrant revokes a grant to which the entry host has not responded in time.
func (s *Scheduler) expireGrant(r *request) {
	r.timer = nil
	s.settleCharge(r, 0)
	s.release(r)
	switch {
	case r.orphaned:
		delete(s.requests, r.id)
	case r.reportedWaiting:
		s.enqueue(r)
	default:
		r.state = unconfirmed
	}
}

// settleCharge replaces the service charged for a request by the service used.
func (s *Scheduler) settleCharge(r *request, used float64) {
	if r.tier != nil && r.charged != 0 {
		s.accounts.Charge(r.tier.Order, r.desc.Workspace, r.desc.Caller, used-r.charged)
	}
	r.charged = 0
}

// recordProgress records the output of a run so far.
func (s *Scheduler) recordProgress(p Progress) {
	r := s.requests[p.RequestID]
	if r == nil || r.endpoint == nil {
		return
	}
	if r.state == granted {
		s.markRunning(r) // Progress arrived before Started.
	}
	e := r.endpoint
	s.retractFailure(e, r)
	p.OutputTokens = min(p.OutputTokens, maxCountedTokens)
	tokens := p.OutputTokens - r.outputTokens
	if r.outputTokens == 0 && p.OutputTokens > 0 {
		s.recordFirstToken(e, r)
	} else if took := s.now - r.lastProgress; tokens > 0 && took > 0 {
		e.Speed.ObserveGap(tokens, took)
		s.tokenGap += poolSmoothing * (took.Seconds()/float64(tokens) - s.tokenGap)
		e.Limit.ObserveGap(s.now, took/time.Duration(tokens))
	}
	if tokens <= 0 {
		return
	}
	r.outputTokens, r.lastProgress, e.LastProgress = p.OutputTokens, s.now, s.now
	if r.outputTokens > r.outputEstimate {
		s.rebook(r)
	}
	s.updateRank(e)
}

// recordFirstToken records the time from dispatch to the first token of a run.
func (s *Scheduler) recordFirstToken(e *endpoint, r *request) {
	took := s.now - r.startedAt
	e.Limit.ObserveFirstToken(s.now, took, e.Prefill(r.queuedTokens))
	e.Speed.ObserveFirstToken(r.queuedTokens, took)
	if r.tier != nil {
		r.tier.meanFirstToken += poolSmoothing * (took.Seconds() - r.tier.meanFirstToken)
	}
	s.endPrefill(e, r)
}

// rebook raises the booking of a run whose output is longer than predicted.
func (s *Scheduler) rebook(r *request) {
	output := int(float64(r.outputTokens) * rebookFactor)
	if r.desc.MaxOutputTokens > 0 {
		output = max(min(output, r.desc.MaxOutputTokens), r.outputTokens)
	}
	r.endpoint.Limit.AddTokens(output - r.outputEstimate)
	r.bookedTokens += output - r.outputEstimate
	r.outputEstimate = output
}

// recordFinished records the end of a run.
func (s *Scheduler) recordFinished(f Finished) {
	r := s.requests[f.RequestID]
	if r == nil || r.state == waiting {
		return
	}
	delete(s.requests, r.id)
	e := r.endpoint
	if e == nil {
		return
	}
	done := f.Outcome == OutcomeDone
	if done {
		s.recordSuccess(e, r, f)
	} else {
		s.incompleteRuns = append(s.incompleteRuns, incompleteRun{r.id, e.Name, r.desc.Fingerprint, r.startedAt})
		if len(s.incompleteRuns) > maxIncompleteRuns {
			s.incompleteRuns = append([]incompleteRun(nil), s.incompleteRuns[maxIncompleteRuns/2:]...)
		}
	}
	e.RecordEnd(s.now)
	used := max(f.PromptTokens-f.CachedTokens, 0) + max(f.OutputTokens, r.outputTokens)
	if s.isServicePool() {
		used = 1
	}
	s.settleCharge(r, float64(used))
	s.release(r)
}

// recordSuccess updates the length estimates, the quarantine and the endpoint state after a complete answer.
func (s *Scheduler) recordSuccess(e *endpoint, r *request, f Finished) {
	if f.OutputTokens > 0 {
		s.outputLengths.Observe(f.OutputTokens, r.lengthKeys()...)
	}
	changed, cleared := s.quarantine.RecordSuccess(s.now, r.desc.Fingerprint)
	if cleared {
		s.shareSuspect(r.desc.Fingerprint)
	}
	s.retractFailure(e, r)
	e.RecordSuccess(s.now, r.startedAt)
	if changed {
		s.reassignFingerprint(r.desc.Fingerprint)
	}
}

// cancel removes a request whose caller has disconnected, unless it is running.
func (s *Scheduler) cancel(id string) {
	if r := s.requests[id]; r != nil && r.state != running {
		s.drop(r)
	}
}

// drop removes a request. If it was granted or running, its capacity is released and its charge refunded.
func (s *Scheduler) drop(r *request) {
	if r.state == waiting {
		s.dequeue(r)
	} else {
		s.settleCharge(r, 0)
		s.release(r)
	}
	delete(s.requests, r.id)
}

// syncHost replaces the state kept for an entry host by the state that the host reports.
func (s *Scheduler) syncHost(e HostSynced) {
	s.syncedHosts[e.Host] = true
	for _, suspect := range e.Suspects {
		s.quarantine.Restore(s.now, suspect.Fingerprint, suspect.Crashes, suspect.RefusedFor)
		s.reassignFingerprint(suspect.Fingerprint)
	}
	listed := make(map[string]bool, len(e.Waiting)+len(e.Running))
	for _, run := range e.Running {
		listed[run.Descriptor.RequestID] = true
		s.syncRun(e.Host, run)
	}
	for _, d := range e.Waiting {
		listed[d.RequestID] = true
		s.syncWaiting(e.Host, d)
	}
	missing := s.sortedRequests(func(r *request) bool { return r.host == e.Host && !listed[r.id] })
	for _, r := range missing {
		s.drop(r)
	}
	s.endWarmupWhenSynced()
}

func (s *Scheduler) syncWaiting(host string, d Descriptor) {
	r := s.requests[d.RequestID]
	switch {
	case r == nil:
		r = s.newRequest(host, d)
		s.requests[r.id] = r
		s.enqueue(r)
	case r.host != host:
	case r.state == granted:
		// The entry host may still use the grant until it expires.
		r.reportedWaiting, r.orphaned = true, false
	case r.state == unconfirmed:
		s.enqueue(r)
	}
}

func (s *Scheduler) syncRun(host string, run Run) {
	d := run.Descriptor
	r := s.requests[d.RequestID]
	if r == nil {
		r = s.newRequest(host, d)
		r.state, r.tier = unconfirmed, s.tierOf(d.Tier)
		s.estimate(r)
		s.requests[r.id] = r
	}
	if r.host != host {
		return
	}
	r.orphaned = false
	if r.state == running && r.endpoint != nil && r.endpoint.Name == run.Endpoint {
		s.timers.Stop(r.timer)
		r.timer = nil
		return
	}
	s.recordStarted(Started{Host: host, RequestID: r.id, Endpoint: run.Endpoint})
	r.startedAt = s.now - max(run.RunningFor, 0)
	if run.OutputTokens > 0 {
		r.outputTokens = min(run.OutputTokens, maxCountedTokens)
		s.endPrefill(r.endpoint, r)
		if r.outputTokens > r.outputEstimate {
			s.rebook(r)
		}
		s.updateRank(r.endpoint)
	}
}

// endWarmupWhenSynced ends the warm-up once all expected entry hosts have synced.
func (s *Scheduler) endWarmupWhenSynced() {
	if s.allRunsKnown || len(s.opts.Hosts) == 0 {
		return
	}
	for _, name := range s.opts.Hosts {
		if !s.syncedHosts[name] {
			return
		}
	}
	s.allRunsKnown = true
	s.table.EndWarmup(s.now)
}

// handleHostLost removes the waiting requests of an entry host whose session has ended. Its runs may continue, so they are
// counted for orphanTimeout, and its open grants until they expire.
func (s *Scheduler) handleHostLost(name string) {
	delete(s.syncedHosts, name)
	for _, r := range s.sortedRequests(func(r *request) bool { return r.host == name }) {
		switch r.state {
		case waiting, unconfirmed:
			s.drop(r)
		case granted:
			r.orphaned, r.reportedWaiting = true, false
		case running:
			r.orphaned = true
			s.timers.Stop(r.timer)
			r.timer = s.timers.At(s.now+orphanTimeout, func() {
				r.timer = nil
				s.drop(r)
			})
		}
	}
}
