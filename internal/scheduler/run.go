package scheduler

import "time"

const (
	// maxEnded bounds the remembered runs that ended badly. A sign of a crash may arrive after the end of its runs.
	maxEnded = 1024
	// rebookFactor is applied to the output of a run that exceeds its booking.
	rebookFactor = 1.5
	// orphanTime is how long runs of a lost host stay counted.
	orphanTime = 30 * time.Second
)

// endedRun is a run that ended without an answer.
type endedRun struct {
	id, endpoint, print string
	startedAt           time.Duration
}

// estimate predicts the tokens of a request.
func (s *Scheduler) estimate(r *request) {
	if s.service() {
		r.output, r.tokens = 0, 1
		return
	}
	r.output = s.lengths.Predict(lengthQuantile, r.d.MaxOutputTokens, r.lengthKeys()...)
	r.tokens = max(r.d.PromptTokens, 1) + r.output
	r.longest = s.lengths.Predict(longQuantile, r.d.MaxOutputTokens, r.lengthKeys()...)
}

// lengthKeys name the sources of the output length, the most specific first. The tier stands in for the kind of work,
// since all model requests have the same kind.
func (r *request) lengthKeys() []string {
	return []string{r.d.Workspace + "\x00" + r.d.Kind + "\x00" + r.d.Tier, "\x00" + r.d.Kind + "\x00" + r.d.Tier, ""}
}

// start records that a granted request was dispatched.
func (s *Scheduler) start(e Started) {
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
		s.occupy(r, s.endpoint(e.Endpoint), r.d.PromptTokens)
	}
	s.run(r)
}

func (s *Scheduler) run(r *request) {
	s.timers.Stop(r.expiry)
	r.expiry = nil
	r.state, r.startedAt, r.progressed = running, s.now, s.now
	r.queued = r.endpoint.Pending
	if len(r.endpoint.runs) == 1 {
		r.endpoint.Progressed = s.now
	}
}

// decline ends a grant that was not used.
func (s *Scheduler) decline(e Declined) {
	r := s.requests[e.RequestID]
	if r == nil || r.host != e.Host || r.state == running {
		return
	}
	if e.Reason == DeclineConnect {
		s.failEndpoint(EndpointFailed{Endpoint: e.Endpoint, Cause: FailureRefused})
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
	s.refund(r, 0)
	s.release(r)
	if e.Reason == DeclineGone || r.orphan {
		delete(s.requests, r.id)
		return
	}
	s.enqueue(r)
}

// expire gives up a grant without a word from the host.
func (s *Scheduler) expire(r *request) {
	r.expiry = nil
	s.refund(r, 0)
	s.release(r)
	switch {
	case r.orphan:
		delete(s.requests, r.id)
	case r.reported:
		s.enqueue(r)
	default:
		r.state = unconfirmed
	}
}

// refund corrects the service charged for a request to what it has used.
func (s *Scheduler) refund(r *request, used float64) {
	if r.tier != nil && r.charged != 0 {
		s.accounts.Charge(r.tier.Order, r.d.Workspace, r.d.Caller, used-r.charged)
	}
	r.charged = 0
}

// progress records the output of a run.
func (s *Scheduler) progress(p Progress) {
	r := s.requests[p.RequestID]
	if r == nil || r.endpoint == nil {
		return
	}
	if r.state == granted {
		s.run(r) // The report overtook Started.
	}
	e := r.endpoint
	s.proveAlive(e, r)
	p.OutputTokens = min(p.OutputTokens, maxCountedTokens)
	tokens := p.OutputTokens - r.seen
	if r.seen == 0 && p.OutputTokens > 0 {
		s.firstToken(e, r)
	} else if took := s.now - r.progressed; tokens > 0 && took > 0 {
		e.Speed.ObserveGap(tokens, took)
		s.gap += poolGain * (took.Seconds()/float64(tokens) - s.gap)
		e.Limit.ObserveGap(s.now, took/time.Duration(tokens))
	}
	if tokens <= 0 {
		return
	}
	r.seen, r.progressed, e.Progressed = p.OutputTokens, s.now, s.now
	if r.seen > r.output {
		s.rebook(r)
	}
	s.rank(e)
}

func (s *Scheduler) firstToken(e *endpoint, r *request) {
	took := s.now - r.startedAt
	e.Limit.ObserveFirstToken(s.now, took, e.Prefill(r.queued))
	e.Speed.ObserveFirstToken(r.queued, took)
	if r.tier != nil {
		r.tier.firstTook += poolGain * (took.Seconds() - r.tier.firstTook)
	}
	s.endPrefill(e, r)
}

// rebook books more output for a run that is longer than predicted.
func (s *Scheduler) rebook(r *request) {
	output := int(float64(r.seen) * rebookFactor)
	if r.d.MaxOutputTokens > 0 {
		output = max(min(output, r.d.MaxOutputTokens), r.seen)
	}
	r.endpoint.Limit.Adjust(output - r.output)
	r.booked += output - r.output
	r.output = output
}

// finish records the end of a run.
func (s *Scheduler) finish(f Finished) {
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
		s.learn(e, r, f)
	} else {
		s.ended = append(s.ended, endedRun{r.id, e.Name, r.d.Fingerprint, r.startedAt})
		if len(s.ended) > maxEnded {
			s.ended = append([]endedRun(nil), s.ended[maxEnded/2:]...)
		}
	}
	e.Ended(s.now)
	used := max(f.PromptTokens-f.CachedTokens, 0) + max(f.OutputTokens, r.seen)
	if s.service() {
		used = 1
	}
	s.refund(r, float64(used))
	s.release(r)
}

func (s *Scheduler) learn(e *endpoint, r *request, f Finished) {
	if f.OutputTokens > 0 {
		s.lengths.Observe(f.OutputTokens, r.lengthKeys()...)
	}
	changed, cleared := s.quarantine.Finished(s.now, r.d.Fingerprint)
	if cleared {
		s.shareSuspect(r.d.Fingerprint)
	}
	s.proveAlive(e, r)
	e.Succeed(s.now, r.startedAt)
	if changed {
		s.reassignPrint(r.d.Fingerprint)
	}
}

// cancel forgets a request whose caller has left before it was dispatched.
func (s *Scheduler) cancel(id string) {
	if r := s.requests[id]; r != nil && r.state != running {
		s.drop(r)
	}
}

// drop forgets a request that does not run.
func (s *Scheduler) drop(r *request) {
	if r.state == waiting {
		s.dequeue(r)
	} else {
		s.refund(r, 0)
		s.release(r)
	}
	delete(s.requests, r.id)
}

// syncHost replaces what is known of a host by its own account.
func (s *Scheduler) syncHost(e HostSynced) {
	s.synced[e.Host] = true
	for _, p := range e.Suspects {
		s.quarantine.Restore(s.now, p.Fingerprint, p.Crashes, p.RefusedFor)
		s.reassignPrint(p.Fingerprint)
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
	gone := s.sortedRequests(func(r *request) bool { return r.host == e.Host && !listed[r.id] })
	for _, r := range gone {
		s.drop(r)
	}
	s.checkWarm()
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
		// The host may still use the grant until it expires.
		r.reported, r.orphan = true, false
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
	r.orphan = false
	if r.state == running && r.endpoint != nil && r.endpoint.Name == run.Endpoint {
		s.timers.Stop(r.expiry)
		r.expiry = nil
		return
	}
	s.start(Started{Host: host, RequestID: r.id, Endpoint: run.Endpoint})
	r.startedAt = s.now - max(run.RunningFor, 0)
	if run.OutputTokens > 0 {
		r.seen = min(run.OutputTokens, maxCountedTokens)
		s.endPrefill(r.endpoint, r)
		if r.seen > r.output {
			s.rebook(r)
		}
		s.rank(r.endpoint)
	}
}

// checkWarm ends the start-up phase once all expected hosts have synced.
func (s *Scheduler) checkWarm() {
	if s.accounted || len(s.opts.Hosts) == 0 {
		return
	}
	for _, name := range s.opts.Hosts {
		if !s.synced[name] {
			return
		}
	}
	s.accounted = true
	s.table.EndWarmup(s.now)
}

// loseHost forgets the waiting requests of a host; what it may still run stays counted for a time.
func (s *Scheduler) loseHost(name string) {
	delete(s.synced, name)
	for _, r := range s.sortedRequests(func(r *request) bool { return r.host == name }) {
		switch r.state {
		case waiting, unconfirmed:
			s.drop(r)
		case granted:
			r.orphan, r.reported = true, false
		case running:
			r.orphan = true
			s.timers.Stop(r.expiry)
			r.expiry = s.timers.At(s.now+orphanTime, func() {
				r.expiry = nil
				s.drop(r)
			})
		}
	}
}
