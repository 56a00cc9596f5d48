package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/grouper"
	"github.com/dragonflycroft/dragonflycroft/internal/quarantiner"
	"github.com/dragonflycroft/dragonflycroft/internal/queuer"
	"github.com/dragonflycroft/dragonflycroft/internal/ranker"
	"github.com/dragonflycroft/dragonflycroft/internal/shedder"
	"github.com/dragonflycroft/dragonflycroft/internal/timekeeper"
)

type state int

const (
	waiting state = iota
	granted
	// unconfirmed requests had a grant that expired without a response from the entry host. They are queued again once the
	// host reports them as waiting.
	unconfirmed
	running
)

// finishMargin is the safety factor on the predicted duration of an answer when it is compared with the remaining time.
const finishMargin = 1.3

// maxCountedTokens caps the token counts reported for a single request, so that sums do not overflow.
const maxCountedTokens = 1 << 24

// defaultDeadline, counted from arrival, orders requests without a deadline among those of the same caller. It is finite so
// that they do not starve behind requests with deadlines.
const defaultDeadline = time.Minute

// request is a waiting, granted, unconfirmed or running request.
type request struct {
	id   string
	host string
	desc Descriptor
	tier *tier
	seq  uint64

	state              state
	arrivedAt          time.Duration
	outputEstimate     int // predicted output tokens, raised when a run exceeds them
	longOutputEstimate int // output tokens at longLengthQuantile
	// deadline is the caller's deadline; 0 means none.
	deadline        time.Duration
	estimatedTokens int // prompt and predicted output; 1 in a service pool
	waitingTokens   int // part of Scheduler.waitingTokens

	lane        *lane
	queueEntry  *queuer.Entry[*request]
	arrivalNode *ranker.Node[*request]
	shedHandle  *shedder.Handle
	held        bool // not in a lane: pinned, or waiting for a run of its fingerprint to end
	pinnedTo    *endpoint
	// wasPinned is true once the request has been pinned; it is not pinned again.
	wasPinned bool
	// groupPlace is the position among the waiting requests with the same fingerprint.
	groupPlace *grouper.Handle

	endpoint        *endpoint
	bookedTokens    int                // tokens booked at the endpoint
	bookedUrgent    bool               // booked as urgent
	uncachedTokens  int                // prompt tokens still to be processed at the endpoint
	longPrefill     bool               // counted as a long prefill at the endpoint
	queuedTokens    int                // prompt tokens pending at the endpoint when the run started
	charged         float64            // service charged to the caller's account
	timer           *timekeeper.Handle // expires the grant, the pin or the orphaned run
	reportedWaiting bool               // the entry host reported it as waiting while its grant was valid
	orphaned        bool               // the session of its entry host has ended
	isolated        bool               // runs alone on its endpoint
	cancelSent      bool               // CancelRun was sent

	startedAt    time.Duration
	lastProgress time.Duration
	outputTokens int // output tokens reported so far
}

func sortedBySeq(set map[*request]struct{}) []*request {
	list := make([]*request, 0, len(set))
	for r := range set {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// sortedRequests returns the requests for which match returns true, ordered by seq.
func (s *Scheduler) sortedRequests(match func(*request) bool) []*request {
	var list []*request
	for _, r := range s.requests {
		if match(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

func (s *Scheduler) newRequest(host string, d Descriptor) *request {
	s.nextSeq++
	d.PromptTokens = min(max(d.PromptTokens, 0), maxCountedTokens)
	d.MaxOutputTokens = min(max(d.MaxOutputTokens, 0), maxCountedTokens)
	r := &request{id: d.RequestID, host: host, desc: d, seq: s.nextSeq, arrivedAt: s.now - max(d.Waited, 0)}
	if d.Remaining > 0 {
		r.deadline = s.now + d.Remaining
	}
	return r
}

// submit queues a new request, or refuses it at a workspace limit. Submitting an unconfirmed request queues it again; other
// duplicates are ignored.
func (s *Scheduler) submit(e Submit) {
	if r := s.requests[e.Descriptor.RequestID]; r != nil {
		if r.state == unconfirmed && r.host == e.Host {
			s.enqueue(r)
		}
		return
	}
	r := s.newRequest(e.Host, e.Descriptor)
	r.tier = s.tierOf(r.desc.Tier)
	if retry, ok := s.workspace(r.desc.Workspace).Admit(s.now); !ok {
		s.refuse(r, RefuseLimit, retry)
		return
	}
	s.requests[r.id] = r
	if s.enqueue(r) && r.tier != nil {
		s.shares.RecordDemand(s.now, r.tier.Order, float64(r.estimatedTokens))
	}
}

// enqueue adds a request to the waiting requests. It returns false if the request is refused instead.
func (s *Scheduler) enqueue(r *request) bool {
	r.state, r.endpoint = waiting, nil
	r.tier = s.tierOf(r.desc.Tier)
	s.estimate(r)
	s.waitingCount++
	r.waitingTokens = r.estimatedTokens
	s.waitingTokens += r.waitingTokens
	s.workspace(r.desc.Workspace).Waiting++
	if r.tier == nil {
		return true // There is no configuration yet.
	}
	r.tier.waiting++
	r.arrivalNode = r.tier.byArrival.Push(r)
	owner := shedder.Owner{Tier: r.tier.Order, Workspace: r.desc.Workspace, Caller: r.desc.Caller}
	r.shedHandle = s.shedCandidates.Add(owner, float64(r.estimatedTokens), s.workspaceWeight(r.desc.Workspace), r)
	if r.desc.Fingerprint != "" {
		r.groupPlace = s.fingerprints.Ensure(r.desc.Fingerprint).AddWaiting(r)
	}
	return s.assign(r)
}

// assign adds a waiting request to its lane. It returns false if it refuses the request because no endpoint serves it or its
// fingerprint is quarantined.
func (s *Scheduler) assign(r *request) bool {
	c := s.classOf(r.desc)
	if c == nil {
		s.refuse(r, RefuseUnserved, 0)
		return false
	}
	status, retry := s.quarantine.Status(s.now, r.desc.Fingerprint)
	if status == quarantiner.Refused {
		s.refuse(r, RefuseQuarantine, retry)
		return false
	}
	kind := s.timelinessLane(r)
	switch {
	case status == quarantiner.Suspect:
		kind = suspectLane
	case kind == shortPromptLane && r.desc.PromptTokens >= longPromptTokens:
		kind = longPromptLane
	}
	r.lane = c.lanes[kind]
	deadline := r.deadline
	if deadline == 0 {
		deadline = r.arrivedAt + defaultDeadline
	}
	place := queuer.Flow{Tier: r.tier.Order, Workspace: r.desc.Workspace, Caller: r.desc.Caller}
	r.queueEntry = r.lane.queue.Push(place, deadline, r.seq, r)
	return true
}

// timelinessLane returns the lane of a request by whether it can still meet its deadline and its first-token target.
func (s *Scheduler) timelinessLane(r *request) laneKind {
	if s.isServicePool() {
		return shortPromptLane
	}
	if r.deadline > 0 {
		if !s.canFinish(r, r.longOutputEstimate, finishMargin) {
			return infeasibleLane
		}
	}
	if r.tier.FirstTokenTargetMS > 0 {
		target := float64(r.tier.FirstTokenTargetMS) / 1000
		// A minimum fraction of the target always counts as on time, so that slow first tokens do not make all requests late.
		if (s.now - r.arrivedAt).Seconds() > max(onTimeFraction*target-r.tier.meanFirstToken, minOnTimeFraction*target) {
			return lateLane
		}
	}
	return shortPromptLane
}

// canFinish reports whether an answer of output tokens is predicted to end before the caller's deadline. Margin is a factor on
// the predicted duration.
func (s *Scheduler) canFinish(r *request, output int, margin float64) bool {
	need := r.tier.meanFirstToken + float64(output)*s.tokenGap
	return r.deadline == 0 || (r.deadline-s.now).Seconds() >= margin*need
}

// infeasible reports whether the caller's deadline is predicted to pass before the answer ends. It is false for a request
// that has just arrived, since the output length is only an estimate.
func (s *Scheduler) infeasible(r *request) bool {
	return s.now-r.arrivedAt > infeasibleGracePeriod && !s.canFinish(r, r.outputEstimate, 1)
}

// unassign removes a waiting request from its lane, and ends its pin or its hold as a duplicate.
func (s *Scheduler) unassign(r *request) {
	if r.queueEntry != nil {
		r.lane.queue.Remove(r.queueEntry)
		r.queueEntry = nil
	}
	s.unpin(r)
	if r.held {
		s.fingerprints.Get(r.desc.Fingerprint).RemoveHeld(r)
		r.held = false
	}
}

// holdDuplicate keeps a waiting request out of the lanes until a run with the same fingerprint ends.
func (s *Scheduler) holdDuplicate(r *request) {
	s.unassign(r)
	r.held = true
	s.fingerprints.Ensure(r.desc.Fingerprint).AddHeld(r)
}

// dequeue removes a request from the waiting requests and undoes what enqueue counted for it.
func (s *Scheduler) dequeue(r *request) {
	s.unassign(r)
	s.waitingCount--
	s.waitingTokens -= r.waitingTokens
	s.workspace(r.desc.Workspace).Waiting--
	if r.arrivalNode != nil {
		r.tier.byArrival.Remove(r.arrivalNode)
		r.tier.waiting--
		r.arrivalNode = nil
	}
	if r.shedHandle != nil {
		s.shedCandidates.Remove(r.shedHandle)
		r.shedHandle = nil
	}
	s.fingerprints.Get(r.desc.Fingerprint).RemoveWaiting(r.groupPlace)
	r.groupPlace = nil
	s.fingerprints.Prune(r.desc.Fingerprint)
}

// reassign chooses the lane of a waiting request again; it may refuse the request.
func (s *Scheduler) reassign(r *request) {
	s.unassign(r)
	s.assign(r)
}

// refuse rejects a request that was not dispatched and removes it.
func (s *Scheduler) refuse(r *request, reason RefuseReason, retry time.Duration) {
	if s.requests[r.id] == r {
		s.dequeue(r)
		delete(s.requests, r.id)
	}
	s.emit(Refuse{Host: r.host, RequestID: r.id, Reason: reason, RetryAfter: retry})
	s.emitDecision("refuse", r, "", string(reason))
}

// release frees the capacity that a granted or running request has acquired, and reassigns held duplicates.
func (s *Scheduler) release(r *request) {
	s.timers.Stop(r.timer)
	r.timer = nil
	e := r.endpoint
	if e == nil {
		return
	}
	r.endpoint = nil
	e.Limit.Remove(r.bookedTokens, r.bookedUrgent)
	delete(e.runs, r)
	s.endPrefill(e, r)
	if r.isolated {
		r.isolated, e.Reserved = false, false
		s.isolatedCount--
	}
	if r.tier != nil {
		r.tier.active--
	}
	s.addRunning(r.desc.Workspace, -1)
	if group := s.fingerprints.Get(r.desc.Fingerprint); group != nil {
		group.RemoveRunning(r)
		for _, next := range group.NextReleased() {
			s.reassign(next)
		}
		s.fingerprints.Prune(r.desc.Fingerprint)
	}
	s.updateRank(e)
}

// endPrefill removes the prompt of a request from the pending prefills of its endpoint.
func (s *Scheduler) endPrefill(e *endpoint, r *request) {
	e.PendingTokens -= r.uncachedTokens
	r.uncachedTokens = 0
	if r.longPrefill {
		r.longPrefill = false
		e.LongPrefills--
		s.placer.LongPrefills--
	}
}

// acquire books capacity for a request at an endpoint; uncached is the number of prompt tokens to be processed there.
func (s *Scheduler) acquire(r *request, e *endpoint, uncached int) {
	r.endpoint, r.bookedTokens, r.uncachedTokens = e, r.estimatedTokens, uncached
	r.bookedUrgent = r.tier != nil && r.tier.urgent
	e.Limit.Add(r.bookedTokens, r.bookedUrgent)
	e.runs[r] = struct{}{}
	e.PendingTokens += uncached
	if r.tier != nil {
		r.tier.active++
	}
	s.addRunning(r.desc.Workspace, 1)
	if r.desc.Fingerprint != "" {
		s.fingerprints.Ensure(r.desc.Fingerprint).AddRunning(r)
	}
	s.updateRank(e)
}

// addRunning adjusts the number of runs of a workspace and parks its waiting requests while it is at its limit.
func (s *Scheduler) addRunning(workspace string, delta int) {
	w := s.workspace(workspace)
	wasFull := w.Full()
	w.Running += delta
	if w.Full() != wasFull {
		s.setParked(workspace, w.Full())
	}
}

// setParked excludes the waiting requests of a workspace from all lanes, or includes them again.
func (s *Scheduler) setParked(workspace string, parked bool) {
	for _, c := range s.classes {
		for _, l := range c.lanes {
			l.queue.SetParked(workspace, parked)
		}
	}
}
