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
	// unconfirmed requests had a grant that ran out without a word from the host. They wait again once it reports them.
	unconfirmed
	running
)

// finishMargin is applied to the time that an answer needs when it is compared with the time that its caller has left.
const finishMargin = 1.3

// maxCountedTokens bounds what is believed of a single request, so that sums stay within their range.
const maxCountedTokens = 1 << 24

// defaultDeadline orders requests without a deadline of their own among those of the same caller. Since it is finite,
// they do not starve behind requests with deadlines.
const defaultDeadline = time.Minute

// request is a request that waits or runs.
type request struct {
	id   string
	host string
	d    Descriptor
	tier *tier
	seq  uint64

	state   state
	arrived time.Duration
	output  int // predicted output tokens
	longest int // output tokens that are rarely exceeded
	// deadline is when the caller gives up; 0 means never.
	deadline time.Duration
	tokens   int // prompt and predicted output
	wanted   int // tokens counted as waiting

	lane   *lane
	entry  *queuer.Entry[*request]
	age    *ranker.Node[*request]
	handle *shedder.Handle
	held   bool // left out of the lanes until a run of its fingerprint ends or while pinned
	pinned *endpoint
	// unpinned requests have waited for an endpoint once.
	unpinned bool
	// spot is the place among the waiting requests of the same fingerprint.
	spot *grouper.Place

	endpoint *endpoint
	booked   int  // tokens booked at the endpoint
	urgent   bool // booked as urgent
	uncached int
	long     bool // counts as a long prefill at the endpoint
	queued   int  // prompt tokens queued at the endpoint when it started
	charged  float64
	expiry   *timekeeper.Handle
	reported bool // the host reported it as waiting while its grant was open
	orphan   bool // its host is lost
	alone    bool
	cancel   bool // CancelRun was sent

	startedAt  time.Duration
	progressed time.Duration
	seen       int // output tokens so far
}

func sorted(set map[*request]struct{}) []*request {
	list := make([]*request, 0, len(set))
	for r := range set {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// sortedRequests returns the requests that match in the order of their arrival here.
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
	r := &request{id: d.RequestID, host: host, d: d, seq: s.nextSeq, arrived: s.now - max(d.Waited, 0)}
	if d.Remaining > 0 {
		r.deadline = s.now + d.Remaining
	}
	return r
}

// submit admits a new request.
func (s *Scheduler) submit(e Submit) {
	if r := s.requests[e.Descriptor.RequestID]; r != nil {
		if r.state == unconfirmed && r.host == e.Host {
			s.enqueue(r)
		}
		return
	}
	r := s.newRequest(e.Host, e.Descriptor)
	r.tier = s.tierOf(r.d.Tier)
	if retry, ok := s.workspace(r.d.Workspace).Admit(s.now); !ok {
		s.refuse(r, RefuseLimit, retry)
		return
	}
	s.requests[r.id] = r
	if s.enqueue(r) && r.tier != nil {
		s.shares.Demand(s.now, r.tier.Order, float64(r.tokens))
	}
}

// enqueue lets a request wait. It returns false when the request is refused instead.
func (s *Scheduler) enqueue(r *request) bool {
	r.state, r.endpoint = waiting, nil
	r.tier = s.tierOf(r.d.Tier)
	s.estimate(r)
	s.waiting++
	r.wanted = r.tokens
	s.wanted += r.wanted
	s.workspace(r.d.Workspace).Waiting++
	if r.tier == nil {
		return true // Nothing is known before the first configuration.
	}
	r.tier.waiting++
	r.age = r.tier.ages.Push(r)
	owner := shedder.Owner{Tier: r.tier.Order, Workspace: r.d.Workspace, Caller: r.d.Caller}
	r.handle = s.book.Add(owner, float64(r.tokens), s.weight(r.d.Workspace), r)
	if r.d.Fingerprint != "" {
		r.spot = s.prints.Ensure(r.d.Fingerprint).Wait(r)
	}
	return s.assign(r)
}

// assign puts a waiting request into the lane that fits it, or refuses it.
func (s *Scheduler) assign(r *request) bool {
	c := s.classOf(r.d)
	if c == nil {
		s.refuse(r, RefuseUnserved, 0)
		return false
	}
	verdict, retry := s.quarantine.Verdict(s.now, r.d.Fingerprint)
	if verdict == quarantiner.Refused {
		s.refuse(r, RefuseQuarantine, retry)
		return false
	}
	kind := s.timeliness(r)
	switch {
	case verdict == quarantiner.Suspect:
		kind = suspectLane
	case kind == shortLane && r.d.PromptTokens >= longPrompt:
		kind = longLane
	}
	r.lane = c.lanes[kind]
	deadline := r.deadline
	if deadline == 0 {
		deadline = r.arrived + defaultDeadline
	}
	place := queuer.Place{Tier: r.tier.Order, Workspace: r.d.Workspace, Caller: r.d.Caller}
	r.entry = r.lane.queue.Push(place, deadline, r.seq, r)
	return true
}

// timeliness returns the lane by what the request can still achieve.
func (s *Scheduler) timeliness(r *request) laneKind {
	if s.service() {
		return shortLane
	}
	if r.deadline > 0 {
		if !s.canFinish(r, r.longest, finishMargin) {
			return infeasibleLane
		}
	}
	if r.tier.FirstTokenTargetMS > 0 {
		target := float64(r.tier.FirstTokenTargetMS) / 1000
		// A part of the target always counts as in time, so that slow first tokens do not make all work late.
		if (s.now - r.arrived).Seconds() > max(onTimePart*target-r.tier.firstTook, minOnTimePart*target) {
			return lateLane
		}
	}
	return shortLane
}

// canFinish reports whether an answer of the given length would end before its caller gives up.
func (s *Scheduler) canFinish(r *request, output int, margin float64) bool {
	need := r.tier.firstTook + float64(output)*s.gap
	return r.deadline == 0 || (r.deadline-s.now).Seconds() >= margin*need
}

// infeasible reports whether the caller gives up before an answer of the predicted length ends. A new request is tried, since
// the length is a prediction.
func (s *Scheduler) infeasible(r *request) bool {
	return s.now-r.arrived > freshWait && !s.canFinish(r, r.output, 1)
}

// unassign takes a waiting request out of its lane.
func (s *Scheduler) unassign(r *request) {
	if r.entry != nil {
		r.lane.queue.Remove(r.entry)
		r.entry = nil
	}
	s.unpin(r)
	if r.held {
		s.prints.Get(r.d.Fingerprint).Free(r)
		r.held = false
	}
}

// holdDuplicate leaves a request out of the lanes until a run of its fingerprint ends.
func (s *Scheduler) holdDuplicate(r *request) {
	s.unassign(r)
	r.held = true
	s.prints.Ensure(r.d.Fingerprint).Hold(r)
}

// dequeue ends the waiting of a request.
func (s *Scheduler) dequeue(r *request) {
	s.unassign(r)
	s.waiting--
	s.wanted -= r.wanted
	s.workspace(r.d.Workspace).Waiting--
	if r.age != nil {
		r.tier.ages.Remove(r.age)
		r.tier.waiting--
		r.age = nil
	}
	if r.handle != nil {
		s.book.Remove(r.handle)
		r.handle = nil
	}
	s.prints.Get(r.d.Fingerprint).Leave(r.spot)
	r.spot = nil
	s.prints.Prune(r.d.Fingerprint)
}

// reassign chooses the lane of a waiting request again.
func (s *Scheduler) reassign(r *request) {
	s.unassign(r)
	s.assign(r)
}

// refuse ends a request that was not dispatched.
func (s *Scheduler) refuse(r *request, reason RefuseReason, retry time.Duration) {
	if s.requests[r.id] == r {
		s.dequeue(r)
		delete(s.requests, r.id)
	}
	s.emit(Refuse{Host: r.host, RequestID: r.id, Reason: reason, RetryAfter: retry})
	s.decide("refuse", r, "", string(reason))
}

// release returns what a granted or running request occupies.
func (s *Scheduler) release(r *request) {
	s.timers.Stop(r.expiry)
	r.expiry = nil
	e := r.endpoint
	if e == nil {
		return
	}
	r.endpoint = nil
	e.Limit.Give(r.booked, r.urgent)
	delete(e.runs, r)
	s.endPrefill(e, r)
	if r.alone {
		r.alone, e.Alone = false, false
		s.alone--
	}
	if r.tier != nil {
		r.tier.active--
	}
	s.setRunning(r.d.Workspace, -1)
	if p := s.prints.Get(r.d.Fingerprint); p != nil {
		p.End(r)
		for _, next := range p.Next() {
			s.reassign(next)
		}
		s.prints.Prune(r.d.Fingerprint)
	}
	s.rank(e)
}

func (s *Scheduler) endPrefill(e *endpoint, r *request) {
	e.Pending -= r.uncached
	r.uncached = 0
	if r.long {
		r.long = false
		e.Longs--
		s.placer.Longs--
	}
}

// occupy books a request at an endpoint.
func (s *Scheduler) occupy(r *request, e *endpoint, uncached int) {
	r.endpoint, r.booked, r.uncached = e, r.tokens, uncached
	r.urgent = r.tier != nil && r.tier.urgent
	e.Limit.Take(r.booked, r.urgent)
	e.runs[r] = struct{}{}
	e.Pending += uncached
	if r.tier != nil {
		r.tier.active++
	}
	s.setRunning(r.d.Workspace, 1)
	if r.d.Fingerprint != "" {
		s.prints.Ensure(r.d.Fingerprint).Start(r)
	}
	s.rank(e)
}

// setRunning counts the runs of a workspace and hides its waiting work while it is at its limit.
func (s *Scheduler) setRunning(workspace string, change int) {
	w := s.workspace(workspace)
	was := w.Full()
	w.Running += change
	if w.Full() != was {
		s.park(workspace, w.Full())
	}
}

func (s *Scheduler) park(workspace string, hidden bool) {
	for _, c := range s.classes {
		for _, l := range c.lanes {
			l.queue.Park(workspace, hidden)
		}
	}
}
