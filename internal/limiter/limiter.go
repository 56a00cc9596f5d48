// Package limiter bounds the work in flight at an endpoint and the requests of a workspace.
package limiter

import (
	"math"
	"time"
)

const (
	startRuns   = 8
	minRuns     = 1
	maxRuns     = 512
	startTokens = 16_384
	minTokens   = 2_048
	maxTokens   = 4_000_000
	// increasePerRound is added to the bound of runs when a round of measurements stayed within the targets.
	increasePerRound = 1.0
	// startFactor multiplies the bounds instead until the first cut, so that the start can be conservative.
	startFactor = 1.3
	cutFactor   = 0.8
	// overrunFactor times the bound in use means that runs are left over from before a cut.
	overrunFactor = 1.1
	// nearCut is the part of the bound before the last cut from which growth slows to slowIncrease, so that the bound
	// stays below the level that was too high for most of the time.
	nearCut      = 0.85
	slowIncrease = 0.2
	// minFullReports is the number of reports that show a full batch.
	minFullReports = 2
	// growBelow and cutAbove are parts of the target. The space between them keeps the bound from swinging, and the
	// distance to 1 leaves room for the deviation between the mean and the 95th percentile.
	growBelow = 0.75
	cutAbove  = 0.9
	// latePart divides the first-token target into what may pass at the endpoint beside the prefill of queued prompts.
	latePart = 3
	// maxLate is the part of the first tokens that may be late.
	maxLate = 0.05
	// roundTime is the shortest time between two changes, so that one is measured before the next.
	roundTime = 500 * time.Millisecond
	// busyPart is the part of the bound that must be in use for a good round to raise it.
	busyPart = 0.7
	// smallestShare keeps one large request from needing an empty endpoint: it fits when this part of the bound is free.
	smallestShare = 8
)

// Targets are the measured times to keep. A zero value is no target.
type Targets struct{ FirstToken, Gap time.Duration }

// Limiter bounds the runs and the tokens in flight at one endpoint by additive increase and multiplicative decrease.
// Room above the base part is headroom for urgent work.
type Limiter struct {
	targets       Targets
	runs, tokens  float64
	fixed         bool
	started       bool // a sign of fullness has ended the multiplicative start
	changed       time.Duration
	lastCut       float64 // runs before the last cut
	reportedMax   int     // highest number of runs that the engine reported
	fullReports   int     // reports of that number with requests waiting in the engine
	gapSum        time.Duration
	gaps          int
	firsts, late  int
	usedRuns      int
	urgentRuns    int
	usedTokens    int
	peakRuns      int
	peakTokens    int
	headroomShare float64
}

// New returns a bound that starts low and follows measurements. Headroom is the part of it kept for urgent work.
func New(targets Targets, headroom float64) *Limiter {
	return &Limiter{targets: targets, runs: startRuns, tokens: startTokens, headroomShare: headroom}
}

// SetTargets replaces the targets.
func (l *Limiter) SetTargets(t Targets) { l.targets = t }

// Fix replaces the measured bound by a fixed number of runs.
func (l *Limiter) Fix(runs int) {
	l.fixed, l.runs, l.tokens = true, float64(max(runs, 1)), maxTokens
}

// Take books one run of the given tokens.
func (l *Limiter) Take(tokens int, urgent bool) {
	if urgent {
		l.urgentRuns++
	}
	l.usedRuns++
	l.usedTokens += tokens
	l.peakRuns = max(l.peakRuns, l.usedRuns)
	l.peakTokens = max(l.peakTokens, l.usedTokens)
}

// Adjust changes the tokens booked for a run.
func (l *Limiter) Adjust(tokens int) {
	l.usedTokens += tokens
	l.peakTokens = max(l.peakTokens, l.usedTokens)
}

// Give returns what Take booked.
func (l *Limiter) Give(tokens int, urgent bool) {
	if urgent {
		l.urgentRuns--
	}
	l.usedRuns--
	l.usedTokens -= tokens
}

// Used returns the booked runs and tokens.
func (l *Limiter) Used() (runs, tokens int) { return l.usedRuns, l.usedTokens }

// Bounds returns the bounds of runs and tokens.
func (l *Limiter) Bounds() (runs, tokens int) { return int(l.runs), int(l.tokens) }

// Fits reports whether a run of the given tokens has room in a part of the bound. Extra runs are in use beyond those
// booked. Headroom is the part of the headroom that the run may use. An idle endpoint has room for one run of any size.
func (l *Limiter) Fits(tokens, extraRuns int, part, headroom float64) bool {
	runs := l.usedRuns + extraRuns
	if runs == 0 && part > 0 {
		return true
	}
	share := part * (1 - l.headroomShare*(1-headroom))
	room := l.runs * share
	if l.fixed {
		// A small fixed number of calls is not worth dividing.
		room = part * (l.runs - (1-headroom)*math.Floor(l.runs*l.headroomShare))
	}
	booked := float64(l.usedTokens) + float64(extraRuns*l.meanTokens())
	if float64(runs+1) <= room && booked+min(float64(tokens), l.tokens/smallestShare) <= l.tokens*share {
		return true
	}
	return headroom == 1 && part == 1 && l.overrun(extraRuns)
}

// overrun reports whether one more urgent run fits beside other work that has overrun a bound after a cut. The other work
// drains slowly; urgent work does not wait for that, but keeps to the headroom that it would have beside it.
func (l *Limiter) overrun(extraRuns int) bool {
	others := float64(l.usedRuns - l.urgentRuns + extraRuns)
	if others <= l.runs*(1-l.headroomShare) && float64(l.usedTokens) <= l.tokens*(1-l.headroomShare) {
		return false
	}
	return float64(l.urgentRuns+1) <= others*l.headroomShare/(1-l.headroomShare) &&
		float64(l.usedRuns+extraRuns+1) <= l.ceiling()
}

func (l *Limiter) meanTokens() int {
	if l.usedRuns == 0 {
		return 0
	}
	return l.usedTokens / l.usedRuns
}

// Load returns the used part of the bound, which may exceed 1.
func (l *Limiter) Load(extraRuns int) float64 {
	return max(float64(l.usedRuns+extraRuns)/l.runs, float64(l.usedTokens)/l.tokens)
}

// ObserveGap records the mean time between tokens of one run.
func (l *Limiter) ObserveGap(now, gap time.Duration) {
	l.gapSum += gap
	l.gaps++
	l.review(now)
}

// ObserveFirstToken records the time from dispatch to first token of one run, and the time that the prompts queued at the
// endpoint explain. A first token is late when it took much longer, as it does behind a full batch.
func (l *Limiter) ObserveFirstToken(now, took, explained time.Duration) {
	if l.targets.FirstToken > 0 && took-explained > l.targets.FirstToken/latePart {
		l.late++
		l.started = true
	}
	l.firsts++
	l.review(now)
}

// ObserveQueue records an engine's own report of running and waiting requests. An engine whose batch is full shows the
// same highest number of runs again and again while others wait in it; a single report may only have caught requests
// between two steps.
func (l *Limiter) ObserveQueue(runs, waiting int) {
	switch {
	case l.fixed || runs < l.reportedMax:
		return
	case runs > l.reportedMax:
		l.reportedMax, l.fullReports = runs, 0
	}
	if waiting > 0 {
		l.fullReports++
		l.started = true
	}
	if l.fullReports >= minFullReports {
		l.runs = min(l.runs, l.ceiling())
	}
}

// ceiling is the size of the engine's batch as far as it is known.
func (l *Limiter) ceiling() float64 {
	if l.fullReports < minFullReports {
		return maxRuns
	}
	return max(float64(l.reportedMax), minRuns)
}

func (l *Limiter) review(now time.Duration) {
	if l.fixed || now-l.changed < roundTime || (l.gaps < 3 && l.late == 0) {
		return
	}
	slow := l.late >= 2 && float64(l.late) > maxLate*float64(l.firsts)
	fast := !slow && l.late <= 1
	mean := 0.0
	if l.gaps > 0 && l.targets.Gap > 0 {
		mean = float64(l.gapSum) / float64(l.gaps) / float64(l.targets.Gap)
		slow = slow || mean > cutAbove
		fast = fast && mean < growBelow
	}
	// Work that has overrun the bound is still draining after an earlier cut; what it causes says nothing of the bound.
	slow = slow && float64(l.usedRuns) <= l.runs*overrunFactor
	busyRuns := float64(l.peakRuns) >= busyPart*l.runs*(1-l.headroomShare)
	busyTokens := float64(l.peakTokens) >= busyPart*l.tokens*(1-l.headroomShare)
	switch {
	case slow:
		l.cut()
	case fast && (busyRuns || busyTokens):
		l.grow(mean, busyRuns, busyTokens)
	}
	l.changed, l.gapSum, l.gaps, l.firsts, l.late = now, 0, 0, 0, 0
	l.peakRuns, l.peakTokens = l.usedRuns, l.usedTokens
}

// cut starts from the use that was measured, since a bound far above it has not been tested.
func (l *Limiter) cut() {
	l.started = true
	l.lastCut = min(l.runs, float64(l.peakRuns))
	l.runs = max(minRuns, min(l.runs, float64(l.peakRuns))*cutFactor)
	l.tokens = max(minTokens, min(l.tokens, max(float64(l.peakTokens), startTokens))*cutFactor)
}

// grow raises the bounds that were in use. Gap is the part of the target that was measured: the gap grows more slowly than
// the runs do, so runs divided by it never lead far beyond the target.
func (l *Limiter) grow(gap float64, runs, tokens bool) {
	factor := startFactor
	if gap > 0 {
		factor = min(factor, max(math.Sqrt(cutAbove/gap), 1))
	}
	if runs {
		switch {
		case !l.started:
			l.runs *= factor
		case l.runs >= nearCut*l.lastCut && l.lastCut > 0:
			l.runs += slowIncrease
		default:
			l.runs += increasePerRound
		}
		l.runs = min(l.runs, l.ceiling())
	}
	if tokens {
		if l.started {
			l.tokens += max(increasePerRound*float64(l.meanTokens()), 512)
		} else {
			l.tokens *= factor
		}
		l.tokens = min(l.tokens, maxTokens)
	}
}
