// Package auditor checks the invariants of a replay against its own records of which request ran at which endpoint.
package auditor

import (
	"fmt"
	"sort"
	"time"
)

// Rule names one invariant.
type Rule string

// The invariants of every replay.
const (
	// RuleDispatchedOnce means that a request is dispatched to an endpoint at most once.
	RuleDispatchedOnce Rule = "dispatched_twice"
	// RuleAnswered means that every caller receives the complete answer to its own request, or a final refusal.
	RuleAnswered Rule = "lost_or_mixed"
	// RuleShedOrder means that no request is shed while a request of a less urgent tier is running.
	RuleShedOrder Rule = "shed_above_served"
	// RuleLeaving means that an endpoint receives no new requests later than 5 s after it was listed as leaving.
	RuleLeaving Rule = "late_to_leaving"
	// RuleRefusedNotRun means that a refused request did not run.
	RuleRefusedNotRun Rule = "refused_ran"
	// RuleOrderOnce means that a non-idempotent order runs at most once.
	RuleOrderOnce Rule = "order_twice"
	// RulePoison means that a poison request crashes at most two endpoints.
	RulePoison Rule = "poison_spread"
)

// Rules lists all rules in a fixed order.
func Rules() []Rule {
	return []Rule{
		RuleDispatchedOnce, RuleAnswered, RuleShedOrder, RuleLeaving, RuleRefusedNotRun, RuleOrderOnce, RulePoison,
	}
}

const (
	leavingHardLimit = 5 * time.Second // hard limit of RuleLeaving
	leavingTarget    = 2 * time.Second
	poisonLimit      = 2
	// maxViolations bounds the violations that are stored with their details; all are counted.
	maxViolations = 20
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule
	At     time.Duration
	Detail string
}

// Auditor records the events of one replay and checks the rules. It is not safe for concurrent use.
type Auditor struct {
	counts          map[Rule]int
	violations      []Violation
	dispatched      map[string]bool
	refused         map[string]bool
	orderOfRunning  map[string]int // request id -> tier order
	runningByOrder  map[int]int    // tier order -> running requests
	leavingSince    map[string]time.Duration
	dispatchesByKey map[string]int
	endpointsLost   map[string]int // fingerprint -> crashed endpoints
	lateDispatches  int
}

// New returns an auditor without records.
func New() *Auditor {
	return &Auditor{
		counts: map[Rule]int{}, dispatched: map[string]bool{}, refused: map[string]bool{}, orderOfRunning: map[string]int{},
		runningByOrder: map[int]int{}, leavingSince: map[string]time.Duration{}, dispatchesByKey: map[string]int{}, endpointsLost: map[string]int{},
	}
}

// Dispatched records that the first byte of a request is sent to an endpoint. key is the idempotency key of a non-idempotent
// order and empty otherwise; order is the order of the tier.
func (a *Auditor) Dispatched(now time.Duration, id, endpoint, key string, order int) {
	if a.dispatched[id] {
		a.addViolation(RuleDispatchedOnce, now, "request %s, endpoint %s", id, endpoint)
	}
	if a.refused[id] {
		a.addViolation(RuleRefusedNotRun, now, "request %s was refused before", id)
	}
	a.dispatched[id] = true
	a.orderOfRunning[id] = order
	a.runningByOrder[order]++
	if key != "" {
		if a.dispatchesByKey[key]++; a.dispatchesByKey[key] > 1 {
			a.addViolation(RuleOrderOnce, now, "order %s, request %s", key, id)
		}
	}
	if since, ok := a.leavingSince[endpoint]; ok {
		if now-since > leavingHardLimit {
			a.addViolation(RuleLeaving, now, "request %s, endpoint %s listed as leaving at %v", id, endpoint, since)
		} else if now-since > leavingTarget {
			a.lateDispatches++
		}
	}
}

// Ended records that a dispatched request is no longer running.
func (a *Auditor) Ended(id string) {
	if order, ok := a.orderOfRunning[id]; ok {
		delete(a.orderOfRunning, id)
		a.runningByOrder[order]--
	}
}

// Refused records a final refusal of one attempt. shed is true for a refusal for lack of capacity.
func (a *Auditor) Refused(now time.Duration, id string, order int, shed bool) {
	a.refused[id] = true
	if a.dispatched[id] {
		a.addViolation(RuleRefusedNotRun, now, "request %s was dispatched before", id)
	}
	if shed {
		a.checkShedOrder(now, id, order)
	}
}

// Preempted records that the scheduler ends a running request because of overload.
func (a *Auditor) Preempted(now time.Duration, id string, order int) {
	a.checkShedOrder(now, id, order)
}

func (a *Auditor) checkShedOrder(now time.Duration, id string, order int) {
	lower := 0
	for o, n := range a.runningByOrder {
		if o > order {
			lower += n
		}
	}
	if lower > 0 {
		a.addViolation(RuleShedOrder, now, "request %s of order %d, %d lower requests are served", id, order, lower)
	}
}

// LeavingListed records the complete list of leaving endpoints that was sent to the scheduler.
func (a *Auditor) LeavingListed(now time.Duration, leaving []string) {
	current := make(map[string]time.Duration, len(leaving))
	for _, name := range leaving {
		since, ok := a.leavingSince[name]
		if !ok {
			since = now
		}
		current[name] = since
	}
	a.leavingSince = current
}

// Crashed records that a poison request has crashed an endpoint.
func (a *Auditor) Crashed(now time.Duration, fingerprint, endpoint string) {
	if a.endpointsLost[fingerprint]++; a.endpointsLost[fingerprint] > poisonLimit {
		a.addViolation(RulePoison, now, "fingerprint %s, endpoint %s is number %d", fingerprint, endpoint, a.endpointsLost[fingerprint])
	}
}

// Answered records the end of a request at its caller: got tokens were received of the want tokens of the complete answer.
func (a *Auditor) Answered(now time.Duration, id string, got, want int) {
	if got != want {
		a.addViolation(RuleAnswered, now, "request %s: %d of %d tokens", id, got, want)
	}
}

// Unanswered records a request without a final answer at the end of the replay.
func (a *Auditor) Unanswered(now time.Duration, id string) {
	a.addViolation(RuleAnswered, now, "request %s has no final answer", id)
}

// Count returns the number of violations of a rule.
func (a *Auditor) Count(r Rule) int { return a.counts[r] }

// Violations returns the first violations with their details.
func (a *Auditor) Violations() []Violation { return a.violations }

// LateToLeaving returns the number of requests sent to a leaving endpoint after the 2 s target and within the 5 s limit.
func (a *Auditor) LateToLeaving() int { return a.lateDispatches }

// EndpointsLost returns the number of endpoints that each poison request has crashed, the largest first.
func (a *Auditor) EndpointsLost() []int {
	var lost []int
	for _, n := range a.endpointsLost {
		lost = append(lost, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(lost)))
	return lost
}

func (a *Auditor) addViolation(r Rule, at time.Duration, format string, args ...any) {
	a.counts[r]++
	if len(a.violations) < maxViolations {
		a.violations = append(a.violations, Violation{Rule: r, At: at, Detail: fmt.Sprintf(format, args...)})
	}
}
