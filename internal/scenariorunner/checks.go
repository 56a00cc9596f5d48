package scenariorunner

import (
	"fmt"
	"slices"
	"strings"
)

// Report counts the violated guarantees of one scenario, and the outcomes that callers received.
type Report struct {
	DispatchedTwice       int
	OrderRunTwice         int
	LostOrMixed           int
	NotRunButRan          int
	HigherTierShed        int
	NewWorkAfterLeaving   int
	CutOffByPlannedStop   int
	VersionsReverted      int
	Outcomes              map[string]int
	TransportErrors       int
	DoneBeyondExpectation int
}

// Breaches returns one line for each guarantee that was violated, with the number of violations.
func (report *Report) Breaches() []string {
	var breaches []string
	for name, n := range map[string]int{
		"dispatched twice": report.DispatchedTwice, "order run twice": report.OrderRunTwice, "answers lost or mixed": report.LostOrMixed,
		"said not_run but ran": report.NotRunButRan, "higher tier shed while lower was served": report.HigherTierShed,
		"new work to a leaving endpoint after 5 s": report.NewWorkAfterLeaving, "cut off by a planned stop": report.CutOffByPlannedStop,
		"versions reverted": report.VersionsReverted,
	} {
		if n > 0 {
			breaches = append(breaches, fmt.Sprintf("%s: %d", name, n))
		}
	}
	slices.Sort(breaches)
	return breaches
}

// shedReasons are the reasons of refusals that are due to a lack of capacity.
var shedReasons = []string{"overload", "patience", "deadline"}

// checkOutcomes compares the records of the stand-ins with the outcomes that callers received.
func (r *Runner) checkOutcomes() *Report {
	report := &Report{Outcomes: make(map[string]int)}
	dispatches, executions := r.cluster.Records.Dispatches(), r.cluster.Records.Executions()
	for _, n := range dispatches {
		if n > 1 {
			report.DispatchedTwice++
		}
	}
	for _, n := range executions {
		if n > 1 {
			report.OrderRunTwice++
		}
	}
	lowestTier := r.cluster.Config.Tiers[len(r.cluster.Config.Tiers)-1].Name
	executedOrders := executions
	for _, l := range r.loads {
		l.mu.Lock()
		for _, res := range l.results {
			report.add(res, dispatches, executedOrders, lowestTier)
		}
		l.mu.Unlock()
	}
	report.NewWorkAfterLeaving = r.dispatchesAfterLeaving()
	report.CutOffByPlannedStop = r.stopFailures
	report.VersionsReverted = r.versionReverts
	return report
}

func (report *Report) add(res result, dispatches, executions map[string]int, lowestTier string) {
	label := res.outcome
	if res.err != nil {
		label = "connection_error"
		report.TransportErrors++
	}
	if res.reason != "" {
		label += "/" + res.reason
	}
	report.Outcomes[label]++
	if res.outcome == "done" && (res.incomplete || res.mismatched) {
		report.LostOrMixed++
	}
	if res.outcome == "not_run" || res.outcome == "refused" {
		ran := dispatches[res.requestID] > 0
		if res.order && res.key != "" {
			ran = ran || executions[res.key] > 0
		}
		if ran {
			report.NotRunButRan++
		}
	}
	// The scenarios never exhaust the capacity of a pool, so no tier above the lowest may be shed in them.
	if res.tier != lowestTier && res.outcome == "refused" && slices.Contains(shedReasons, res.reason) {
		report.HigherTierShed++
	}
}

// String formats the report with one line per count.
func (report *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "breaches: %d\n", len(report.Breaches()))
	for _, line := range report.Breaches() {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	labels := make([]string, 0, len(report.Outcomes))
	for label := range report.Outcomes {
		labels = append(labels, label)
	}
	slices.Sort(labels)
	for _, label := range labels {
		fmt.Fprintf(&b, "outcome %s: %d\n", label, report.Outcomes[label])
	}
	return b.String()
}
