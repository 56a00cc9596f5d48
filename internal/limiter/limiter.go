// Package limiter limits the concurrent runs at an endpoint and the requests of a workspace.
package limiter

import (
	"math"
	"time"
)

const (
	initialRuns   = 8
	minRuns       = 1
	maxRuns       = 512
	initialTokens = 16_384
	minTokens     = 2_048
	maxTokens     = 4_000_000
	// increasePerRound is added to the run bound after a round of measurements within the targets.
	increasePerRound = 1.0
	// slowStartFactor multiplies the bounds instead until the endpoint first shows saturation, so that the initial bounds can
	// be low.
	slowStartFactor = 1.3
	decreaseFactor  = 0.8
	// overrunFactor is the ratio of runs to the run bound above which runs are still draining after a decrease.
	overrunFactor = 1.1
	// nearDecreaseShare is the share of the run bound before the last decrease above which slowIncrease applies, so that the
	// bound stays below the level that was too high for most of the time.
	nearDecreaseShare = 0.85
	slowIncrease      = 0.2
	// minFullReports is the number of reports that are needed to detect a full batch.
	minFullReports = 2
	// increaseBelow and decreaseAbove are ratios of the mean gap to its target. The range between them prevents oscillation,
	// and the distance to 1 leaves room for the difference between the mean and the 95th percentile.
	increaseBelow = 0.75
	decreaseAbove = 0.9
	// lateTargetDivisor divides the first-token target. The quotient is the time that a first token may take in addition to
	// the prefill of queued prompts before it counts as late.
	lateTargetDivisor = 3
	// maxLateShare is the share of first tokens that may be late.
	maxLateShare = 0.05
	// adjustInterval is the minimum time between two adjustments, so that the effect of one is measured before the next.
	adjustInterval = 500 * time.Millisecond
	// busyShare is the share of a bound that must have been in use for a good round to raise it.
	busyShare = 0.7
	// largeRunDivisor limits the room that one large run needs to this fraction of the token bound, so that it does not have
	// to wait for an empty endpoint.
	largeRunDivisor = 8
)

// Targets are upper bounds for the time to the first token and the time between tokens. Zero means no target.
type Targets struct{ FirstToken, Gap time.Duration }

// Limiter bounds the concurrent runs and their tokens at one endpoint by additive increase and multiplicative decrease. A share
// of both bounds is headroom, which is reserved for urgent runs. It is not safe for concurrent use.
type Limiter struct {
	targets                      Targets
	runBound, tokenBound         float64
	fixed                        bool
	slowStartDone                bool // a sign of saturation has ended the multiplicative increase
	adjustedAt                   time.Duration
	runsBeforeDecrease           float64 // run bound or peak before the last decrease, whichever is lower
	reportedMax                  int     // highest number of running requests that the engine reported
	fullReports                  int     // reports of reportedMax with requests waiting in the engine
	gapSum                       time.Duration
	gaps                         int
	firstTokens, lateFirstTokens int
	usedRuns                     int
	urgentRuns                   int
	usedTokens                   int
	peakRuns                     int
	peakTokens                   int
	headroomShare                float64
}

// New returns a limiter with low initial bounds that adapt to measurements. Headroom is the share of the bounds that is reserved
// for urgent runs.
func New(targets Targets, headroom float64) *Limiter {
	return &Limiter{targets: targets, runBound: initialRuns, tokenBound: initialTokens, headroomShare: headroom}
}

// SetTargets replaces the targets.
func (l *Limiter) SetTargets(t Targets) { l.targets = t }

// SetFixed replaces the adaptive run bound with a fixed one, of at least 1.
func (l *Limiter) SetFixed(runs int) {
	l.fixed, l.runBound, l.tokenBound = true, float64(max(runs, 1)), maxTokens
}

// Add adds one run with its tokens to the use.
func (l *Limiter) Add(tokens int, urgent bool) {
	if urgent {
		l.urgentRuns++
	}
	l.usedRuns++
	l.usedTokens += tokens
	l.peakRuns = max(l.peakRuns, l.usedRuns)
	l.peakTokens = max(l.peakTokens, l.usedTokens)
}

// AddTokens adds tokens, which may be negative, to the use by a run.
func (l *Limiter) AddTokens(tokens int) {
	l.usedTokens += tokens
	l.peakTokens = max(l.peakTokens, l.usedTokens)
}

// Remove removes a run that Add added.
func (l *Limiter) Remove(tokens int, urgent bool) {
	if urgent {
		l.urgentRuns--
	}
	l.usedRuns--
	l.usedTokens -= tokens
}

// Used returns the runs and tokens in use.
func (l *Limiter) Used() (runs, tokens int) { return l.usedRuns, l.usedTokens }

// Bounds returns the run bound and the token bound.
func (l *Limiter) Bounds() (runs, tokens int) { return int(l.runBound), int(l.tokenBound) }

// Fits reports whether a run with the given tokens fits into a share of the bounds, given by part. extraRuns are runs in use that
// Add has not added. headroom is the share of the headroom that the run may use. An idle endpoint has room for one run of any
// size.
func (l *Limiter) Fits(tokens, extraRuns int, part, headroom float64) bool {
	runs := l.usedRuns + extraRuns
	if runs == 0 && part > 0 {
		return true
	}
	usableShare := part * (1 - l.headroomShare*(1-headroom))
	room := l.runBound * usableShare
	if l.fixed {
		// Rounding down leaves a small fixed number of runs without headroom, since it is too small to divide.
		room = part * (l.runBound - (1-headroom)*math.Floor(l.runBound*l.headroomShare))
	}
	tokensInUse := float64(l.usedTokens) + float64(extraRuns*l.meanTokensPerRun())
	if float64(runs+1) <= room && tokensInUse+min(float64(tokens), l.tokenBound/largeRunDivisor) <= l.tokenBound*usableShare {
		return true
	}
	return headroom == 1 && part == 1 && l.fitsBesideOverrun(extraRuns)
}

// fitsBesideOverrun reports whether one more urgent run fits while other runs exceed their share of a bound after a decrease.
// Those drain slowly. Urgent runs do not wait for that, but are limited to the headroom that they would have beside them.
func (l *Limiter) fitsBesideOverrun(extraRuns int) bool {
	otherRuns := float64(l.usedRuns - l.urgentRuns + extraRuns)
	if otherRuns <= l.runBound*(1-l.headroomShare) && float64(l.usedTokens) <= l.tokenBound*(1-l.headroomShare) {
		return false
	}
	return float64(l.urgentRuns+1) <= otherRuns*l.headroomShare/(1-l.headroomShare) &&
		float64(l.usedRuns+extraRuns+1) <= l.maxBatch()
}

func (l *Limiter) meanTokensPerRun() int {
	if l.usedRuns == 0 {
		return 0
	}
	return l.usedTokens / l.usedRuns
}

// Load returns the share of the bounds that is in use, which may exceed 1.
func (l *Limiter) Load(extraRuns int) float64 {
	return max(float64(l.usedRuns+extraRuns)/l.runBound, float64(l.usedTokens)/l.tokenBound)
}

// ObserveGap records the mean time between tokens of one run.
func (l *Limiter) ObserveGap(now, gap time.Duration) {
	l.gapSum += gap
	l.gaps++
	l.adjustBounds(now)
}

// ObserveFirstToken records the time from dispatch to the first token of one run, and the part of it that is explained by the
// prefill of queued prompts. A first token is late if it took much longer, as it does when a batch is full.
func (l *Limiter) ObserveFirstToken(now, took, explained time.Duration) {
	if l.targets.FirstToken > 0 && took-explained > l.targets.FirstToken/lateTargetDivisor {
		l.lateFirstTokens++
		l.slowStartDone = true
	}
	l.firstTokens++
	l.adjustBounds(now)
}

// ObserveQueue records an engine's report of running and waiting requests. An engine with a full batch repeatedly reports the
// same maximum of running requests while others wait. A single such report may show requests between two engine steps.
func (l *Limiter) ObserveQueue(runs, waiting int) {
	switch {
	case l.fixed || runs < l.reportedMax:
		return
	case runs > l.reportedMax:
		l.reportedMax, l.fullReports = runs, 0
	}
	if waiting > 0 {
		l.fullReports++
		l.slowStartDone = true
	}
	if l.fullReports >= minFullReports {
		l.runBound = min(l.runBound, l.maxBatch())
	}
}

// maxBatch returns the detected maximum batch size of the engine, or maxRuns if none has been detected.
func (l *Limiter) maxBatch() float64 {
	if l.fullReports < minFullReports {
		return maxRuns
	}
	return max(float64(l.reportedMax), minRuns)
}

func (l *Limiter) adjustBounds(now time.Duration) {
	if l.fixed || now-l.adjustedAt < adjustInterval || (l.gaps < 3 && l.lateFirstTokens == 0) {
		return
	}
	slow := l.lateFirstTokens >= 2 && float64(l.lateFirstTokens) > maxLateShare*float64(l.firstTokens)
	fast := !slow && l.lateFirstTokens <= 1
	gapRatio := 0.0
	if l.gaps > 0 && l.targets.Gap > 0 {
		gapRatio = float64(l.gapSum) / float64(l.gaps) / float64(l.targets.Gap)
		slow = slow || gapRatio > decreaseAbove
		fast = fast && gapRatio < increaseBelow
	}
	// Runs above the bound are still draining after an earlier decrease, so that latencies do not reflect the current bound.
	slow = slow && float64(l.usedRuns) <= l.runBound*overrunFactor
	busyRuns := float64(l.peakRuns) >= busyShare*l.runBound*(1-l.headroomShare)
	busyTokens := float64(l.peakTokens) >= busyShare*l.tokenBound*(1-l.headroomShare)
	switch {
	case slow:
		l.decrease()
	case fast && (busyRuns || busyTokens):
		l.increase(gapRatio, busyRuns, busyTokens)
	}
	l.adjustedAt, l.gapSum, l.gaps, l.firstTokens, l.lateFirstTokens = now, 0, 0, 0, 0
	l.peakRuns, l.peakTokens = l.usedRuns, l.usedTokens
}

// decrease reduces the bounds starting from the peak use, since a bound far above it has not been tested.
func (l *Limiter) decrease() {
	l.slowStartDone = true
	l.runsBeforeDecrease = min(l.runBound, float64(l.peakRuns))
	l.runBound = max(minRuns, min(l.runBound, float64(l.peakRuns))*decreaseFactor)
	l.tokenBound = max(minTokens, min(l.tokenBound, max(float64(l.peakTokens), initialTokens))*decreaseFactor)
}

// increase raises the selected bounds. gapRatio is the ratio of the mean gap to its target, or 0. During slow start it limits the
// factor: the gap grows more slowly than the runs, so runs divided by the ratio never exceed the target by much.
func (l *Limiter) increase(gapRatio float64, raiseRuns, raiseTokens bool) {
	factor := slowStartFactor
	if gapRatio > 0 {
		factor = min(factor, max(math.Sqrt(decreaseAbove/gapRatio), 1))
	}
	if raiseRuns {
		switch {
		case !l.slowStartDone:
			l.runBound *= factor
		case l.runBound >= nearDecreaseShare*l.runsBeforeDecrease && l.runsBeforeDecrease > 0:
			l.runBound += slowIncrease
		default:
			l.runBound += increasePerRound
		}
		l.runBound = min(l.runBound, l.maxBatch())
	}
	if raiseTokens {
		if l.slowStartDone {
			l.tokenBound += max(increasePerRound*float64(l.meanTokensPerRun()), 512)
		} else {
			l.tokenBound *= factor
		}
		l.tokenBound = min(l.tokenBound, maxTokens)
	}
}
