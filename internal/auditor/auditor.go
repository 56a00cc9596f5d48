// Package auditor checks the invariants of a replay from its own records of what ran where.
package auditor

import (
	"fmt"
	"sort"
	"time"
)

// Rule names one invariant.
type Rule string

// The rules that must hold in every replay.
const (
	// RuleDispatchedOnce means that a request is dispatched to an endpoint at most once.
	RuleDispatchedOnce Rule = "dispatched_twice"
	// RuleAnswered means that every caller receives the whole answer to its own request, or a final refusal.
	RuleAnswered Rule = "lost_or_mixed"
	// RuleShedOrder means that no request is shed while a request of a lower tier is being served.
	RuleShedOrder Rule = "shed_above_served"
	// RuleLeaving means that a leaving endpoint receives no new work 5 s after its listing.
	RuleLeaving Rule = "late_to_leaving"
	// RuleRefusedNotRun means that a refused request did not run.
	RuleRefusedNotRun Rule = "refused_ran"
	// RuleOrderOnce means that a non-idempotent order runs at most once.
	RuleOrderOnce Rule = "order_twice"
	// RulePoison means that a poison request takes down at most two endpoints.
	RulePoison Rule = "poison_spread"
)

// Rules lists all rules in a fixed order.
func Rules() []Rule {
	return []Rule{
		RuleDispatchedOnce, RuleAnswered, RuleShedOrder, RuleLeaving, RuleRefusedNotRun, RuleOrderOnce, RulePoison,
	}
}

const (
	leavingLimit  = 5 * time.Second // the page's hard bound
	leavingTarget = 2 * time.Second
	poisonLimit   = 2
	// maxKept bounds the violations that are kept with their details; all are counted.
	maxKept = 20
)

// Violation is one breach of a rule.
type Violation struct {
	Rule   Rule
	At     time.Duration
	Detail string
}

// Auditor collects what happens in one replay. It is not safe for concurrent use.
type Auditor struct {
	counts     map[Rule]int
	kept       []Violation
	dispatched map[string]bool
	refused    map[string]bool
	running    map[string]int // request id -> tier order
	perOrder   map[int]int    // tier order -> running requests
	listed     map[string]time.Duration
	orders     map[string]int
	crashes    map[string]int // fingerprint -> endpoints lost
	lateTarget int
}

// New returns an auditor without records.
func New() *Auditor {
	return &Auditor{
		counts: map[Rule]int{}, dispatched: map[string]bool{}, refused: map[string]bool{}, running: map[string]int{},
		perOrder: map[int]int{}, listed: map[string]time.Duration{}, orders: map[string]int{}, crashes: map[string]int{},
	}
}

// Dispatched records that the first byte of a request goes to an endpoint. Key is set for non-idempotent orders.
func (a *Auditor) Dispatched(now time.Duration, id, endpoint, key string, order int) {
	if a.dispatched[id] {
		a.add(RuleDispatchedOnce, now, "request %s, endpoint %s", id, endpoint)
	}
	if a.refused[id] {
		a.add(RuleRefusedNotRun, now, "request %s was refused before", id)
	}
	a.dispatched[id] = true
	a.running[id] = order
	a.perOrder[order]++
	if key != "" {
		if a.orders[key]++; a.orders[key] > 1 {
			a.add(RuleOrderOnce, now, "order %s, request %s", key, id)
		}
	}
	if since, ok := a.listed[endpoint]; ok {
		if now-since > leavingLimit {
			a.add(RuleLeaving, now, "request %s, endpoint %s listed as leaving at %v", id, endpoint, since)
		} else if now-since > leavingTarget {
			a.lateTarget++
		}
	}
}

// Ended records that a dispatched request is no longer served.
func (a *Auditor) Ended(id string) {
	if order, ok := a.running[id]; ok {
		delete(a.running, id)
		a.perOrder[order]--
	}
}

// Refused records a final refusal of one attempt. Shed tells refusals for want of room from others.
func (a *Auditor) Refused(now time.Duration, id string, order int, shed bool) {
	a.refused[id] = true
	if a.dispatched[id] {
		a.add(RuleRefusedNotRun, now, "request %s was dispatched before", id)
	}
	if shed {
		a.shed(now, id, order)
	}
}

// Cut records that the scheduler ends a running request for overload.
func (a *Auditor) Cut(now time.Duration, id string, order int) { a.shed(now, id, order) }

func (a *Auditor) shed(now time.Duration, id string, order int) {
	lower := 0
	for o, n := range a.perOrder {
		if o > order {
			lower += n
		}
	}
	if lower > 0 {
		a.add(RuleShedOrder, now, "request %s of order %d, %d lower requests are served", id, order, lower)
	}
}

// Listed records the leaving endpoints that the scheduler has been told of.
func (a *Auditor) Listed(now time.Duration, leaving []string) {
	current := make(map[string]time.Duration, len(leaving))
	for _, name := range leaving {
		since, ok := a.listed[name]
		if !ok {
			since = now
		}
		current[name] = since
	}
	a.listed = current
}

// Crashed records that a poison request has taken down an endpoint.
func (a *Auditor) Crashed(now time.Duration, fingerprint, endpoint string) {
	if a.crashes[fingerprint]++; a.crashes[fingerprint] > poisonLimit {
		a.add(RulePoison, now, "fingerprint %s, endpoint %s is number %d", fingerprint, endpoint, a.crashes[fingerprint])
	}
}

// Answered records the end of a request at its caller: tokens received and wanted.
func (a *Auditor) Answered(now time.Duration, id string, got, want int) {
	if got != want {
		a.add(RuleAnswered, now, "request %s: %d of %d tokens", id, got, want)
	}
}

// Unanswered records a request that got no final answer by the end of the replay.
func (a *Auditor) Unanswered(now time.Duration, id string) {
	a.add(RuleAnswered, now, "request %s has no final answer", id)
}

// Count returns the number of breaches of a rule.
func (a *Auditor) Count(r Rule) int { return a.counts[r] }

// Kept returns the first breaches with their details.
func (a *Auditor) Kept() []Violation { return a.kept }

// LateToLeaving returns how many requests went to a leaving endpoint between the 2 s target and the 5 s bound.
func (a *Auditor) LateToLeaving() int { return a.lateTarget }

// EndpointsLost returns the endpoints that each poison request has taken down, the largest first.
func (a *Auditor) EndpointsLost() []int {
	var lost []int
	for _, n := range a.crashes {
		lost = append(lost, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(lost)))
	return lost
}

func (a *Auditor) add(r Rule, at time.Duration, format string, args ...any) {
	a.counts[r]++
	if len(a.kept) < maxKept {
		a.kept = append(a.kept, Violation{Rule: r, At: at, Detail: fmt.Sprintf(format, args...)})
	}
}
