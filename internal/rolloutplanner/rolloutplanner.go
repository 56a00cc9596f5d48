// Package rolloutplanner decides the steps of a rollout, which moves the requests of a pool from the software versions that its endpoints run to
// another one. It does no I/O and reads no clock: figures and times are inputs.
//
// A rollout begins with a small share of the requests, since a version may turn bad at any time and little of the traffic may reach a bad one.
// Once the canary has been observed for most of the time, the share grows in two steps. The new version must not fail more often, and
// must not be several times slower, than the others do at the same time.
package rolloutplanner

import (
	"cmp"
	"math"
	"time"
)

// State is the state of a rollout.
type State int

// The states of a rollout.
const (
	Running State = iota
	Completed
	RolledBack
)

// FullShare is the share of all requests. Shares are stated in thousandths.
const FullShare = 1000

const (
	// canaryFraction is the part of the allowed exposure that the canary takes. The rest is for the requests that reach a version which turns bad
	// during the later steps, until it is rolled back.
	canaryFraction = 0.2
	// defaultExposure is the part of the requests that may reach a bad version, if the settings name none.
	defaultExposure = 0.1
	// middleShare is the share between the canary and all requests.
	middleShare = FullShare * 3 / 10
	// The share grows at these parts of the rollout's time. The rest of it is for the requests in progress at the other versions.
	middleFrom, fullFrom = 0.55, 0.62
	// completeFrom is the part of the time from which a rollout may be completed. Until then, the new version must hold under all requests.
	completeFrom = 0.7
	// A canary that gets too few requests is enlarged at these parts of the time. Few requests are covered by the number that may reach a bad
	// version besides the allowed part.
	mediumCanaryFrom, largeCanaryFrom = 0.15, 0.35
	mediumCanary, largeCanary         = FullShare / 10, FullShare / 4
	// minAnswers is the number of complete responses of the new version without which the share does not grow.
	minAnswers = 10
	// forcedFrom is the part of the rollout's time from which it is completed although requests are in progress at other versions.
	forcedFrom = 0.97

	// minFailures is the number of failures of the new version below which it is not bad.
	minFailures = 4
	// minFailureRate is the failure rate that the other versions are taken to have at least.
	minFailureRate = 0.01
	// failureFactor and failureDeviations bound the failures of the new version: the number that is expected by the rate of the others,
	// times the factor, plus so many standard deviations.
	failureFactor, failureDeviations = 1.5, 4
	// slowFactor is the ratio of the mean times from which the new version is too slow, and minTimed the number of responses of either
	// that are compared. Endpoints of one version differ in speed by less.
	slowFactor = 3
	minTimed   = 10
)

// Outcomes sums up requests.
type Outcomes struct {
	Answered, Failed int
	// Time is the sum of the times to the first event, or to the whole response, of the answered requests.
	Time time.Duration
}

// Add adds other outcomes.
func (o *Outcomes) Add(other Outcomes) {
	o.Answered, o.Failed, o.Time = o.Answered+other.Answered, o.Failed+other.Failed, o.Time+other.Time
}

func (o Outcomes) total() int { return o.Answered + o.Failed }

func (o Outcomes) failureRate() float64 {
	return max(minFailureRate, float64(o.Failed)/float64(max(o.total(), 1)))
}

func (o Outcomes) mean() time.Duration { return o.Time / time.Duration(max(o.Answered, 1)) }

// Comparison holds the outcomes at the new version and at the others since the rollout has begun, for requests of one kind.
type Comparison struct{ New, Others Outcomes }

// Rollout is the state on which a step is decided.
type Rollout struct {
	// Within is the time in which the rollout should end, and Elapsed the time since it was ordered.
	Within, Elapsed time.Duration
	// Share is the share of the requests that go to the new version.
	Share int
	// Exposure is the part of the requests that may reach a bad version; 0 means the default.
	Exposure float64
	// Kinds are the comparisons since the rollout has begun, by kind of request: a version may be bad for one of them only. Recent are those of
	// the last half second: a version may turn bad.
	Kinds, Recent map[int]Comparison
	// OthersRunning is the number of requests in progress at other versions.
	OthersRunning int
}

// Step is the next state of a rollout.
type Step struct {
	State State
	Share int
	// Reason is why the rollout is rolled back, for the log.
	Reason string
}

// InitialShare returns the share of a rollout that begins.
func InitialShare(exposure float64) int {
	if exposure <= 0 {
		exposure = defaultExposure
	}
	return max(1, int(canaryFraction*exposure*FullShare))
}

// Next returns the next step of a running rollout.
func Next(r Rollout) Step {
	all, reason := sum(r.Kinds, r.Kinds)
	if reason == "" {
		_, reason = sum(r.Recent, r.Kinds)
	}
	if reason != "" {
		return Step{State: RolledBack, Reason: reason}
	}
	part := r.Elapsed.Seconds() / r.Within.Seconds()
	switch {
	case r.Share >= FullShare:
		if part >= completeFrom && r.OthersRunning == 0 || part >= forcedFrom {
			return Step{State: Completed, Share: FullShare}
		}
	case part >= 1 && all.New.Answered < minAnswers:
		return Step{State: RolledBack, Reason: "too few responses within its time"}
	case all.New.Answered < minAnswers && part >= largeCanaryFrom:
		return Step{State: Running, Share: max(r.Share, largeCanary)}
	case all.New.total() < minAnswers/2 && part >= mediumCanaryFrom:
		return Step{State: Running, Share: max(r.Share, mediumCanary)}
	case all.New.Answered < minAnswers:
	case part >= fullFrom:
		return Step{State: Running, Share: FullShare}
	case part >= middleFrom:
		return Step{State: Running, Share: max(r.Share, middleShare)}
	}
	return Step{State: Running, Share: r.Share}
}

// sum returns the comparison of all kinds of request, and what shows that the new version is worse for all or for one of them. The failure rates
// of the others are taken from usual, since hardly any request reaches them in the end.
func sum(kinds, usual map[int]Comparison) (all Comparison, problem string) {
	var others Outcomes
	for kind, k := range kinds {
		all.New.Add(k.New)
		all.Others.Add(k.Others)
		others.Add(usual[kind].Others)
		if problem == "" {
			problem = k.problem(usual[kind].Others.failureRate())
		}
	}
	return all, cmp.Or(problem, all.problem(others.failureRate()))
}

// problem returns what shows that the new version is worse than the others, which fail at a rate, or an empty string.
func (c Comparison) problem(failureRate float64) string {
	expected := failureRate * float64(c.New.total())
	if c.New.Failed >= minFailures && float64(c.New.Failed) > failureFactor*expected+failureDeviations*math.Sqrt(expected) {
		return "fails more often"
	}
	if c.New.Answered >= minTimed && c.Others.Answered >= minTimed && c.New.mean() > slowFactor*c.Others.mean() {
		return "is slower"
	}
	return ""
}
