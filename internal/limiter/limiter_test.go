package limiter

import (
	"testing"
	"time"
)

const gapTarget = 46 * time.Millisecond

// runRounds fills the limiter and records the gaps of each round, which depend on the runs in use as in a batch. It returns the
// time after the last round.
func runRounds(l *Limiter, from time.Duration, rounds int, gap func(runs int) time.Duration) time.Duration {
	now := from
	for range rounds {
		for l.Fits(100, 0, 1, 0) {
			l.Add(100, false)
		}
		runs, _ := l.Used()
		now += adjustInterval
		for range 4 {
			l.ObserveGap(now, gap(runs))
		}
		if bound, _ := l.Bounds(); runs > bound {
			l.Remove(100, false)
		}
	}
	return now
}

// Guards against a bound that stays at its initial value, grows without limit, or leaves token gaps above the target.
func TestBoundAdaptsToGap(t *testing.T) {
	l := New(Targets{FirstToken: 740 * time.Millisecond, Gap: gapTarget}, 0.15)
	gapOf := func(runs int) time.Duration { return time.Duration(10+runs) * time.Millisecond }
	now := runRounds(l, 0, 200, gapOf)
	if runs, _ := l.Used(); gapOf(runs) > gapTarget || gapOf(runs) < gapTarget/2 {
		t.Errorf("the bound settled at %d runs with a gap of %s, want half the target %s or more and at most the target", runs, gapOf(runs), gapTarget)
	}
	slowGapOf := func(runs int) time.Duration { return 4 * gapOf(runs) }
	runRounds(l, now, 400, slowGapOf)
	if runs, _ := l.Used(); runs > 3 {
		t.Errorf("%d runs at a quarter of the speed, where one run has a gap of %s, want at most 3", runs, slowGapOf(1))
	}
}

// Guards against repeated decreases while runs from before the first decrease drain.
func TestNoDecreaseWhileDraining(t *testing.T) {
	l := New(Targets{Gap: gapTarget}, 0)
	for range 8 {
		l.Add(100, false)
	}
	now := time.Duration(0)
	for range 20 {
		now += adjustInterval
		for range 4 {
			l.ObserveGap(now, 2*gapTarget)
		}
	}
	if runs, _ := l.Bounds(); runs != 6 {
		t.Errorf("bound of %d runs after 20 slow rounds with 8 runs draining, want one decrease to 6", runs)
	}
}

// Guards against urgent runs that wait because other runs exceed a bound.
func TestHeadroom(t *testing.T) {
	l := New(Targets{Gap: gapTarget}, 0.25)
	for range 6 {
		l.Add(100, false)
	}
	if l.Fits(100, 0, 1, 0) || !l.Fits(100, 0, 1, 1) {
		t.Error("6 of 8 runs are in use: want no room for normal runs and headroom for urgent runs")
	}
	l.runBound = 4
	if !l.Fits(100, 0, 1, 1) {
		t.Error("no headroom for urgent runs while other runs exceed the bound")
	}
	l.Add(100, true)
	l.Add(100, true)
	if l.Fits(100, 0, 1, 1) {
		t.Error("urgent runs exceed their headroom")
	}
	if l.Fits(100, 0, 0, 1) {
		t.Error("an endpoint with a usable share of 0 has room")
	}
}

// Guards against a plain service with a small concurrency of which normal runs may use only a single call.
func TestFixedHeadroom(t *testing.T) {
	for runs, want := range map[int]int{1: 1, 2: 2, 6: 6, 8: 7, 20: 17} {
		l := New(Targets{}, 0.15)
		l.SetFixed(runs)
		got := 0
		for ; l.Fits(1, 0, 1, 0); got++ {
			l.Add(1, false)
		}
		if got != want {
			t.Errorf("normal runs may use %d of %d calls, want %d", got, runs, want)
		}
	}
}

// Guards against runs that queue inside an engine whose batch size is below the bound that the gap alone would allow.
func TestBatchSizeFromReports(t *testing.T) {
	l := New(Targets{FirstToken: 740 * time.Millisecond, Gap: gapTarget}, 0)
	l.runBound = 100
	for _, report := range [][2]int{{30, 2}, {32, 0}, {32, 5}, {31, 1}, {32, 9}} {
		l.ObserveQueue(report[0], report[1])
	}
	if runs, _ := l.Bounds(); runs != 32 {
		t.Errorf("bound of %d runs, want the reported batch size of 32", runs)
	}
	l.ObserveQueue(40, 0)
	if l.maxBatch() != maxRuns {
		t.Error("a report of more runs does not reset the detected batch size")
	}
}

// Guards against a bound that is not decreased when first tokens are late because of a full batch.
func TestLateFirstTokensDecreaseBound(t *testing.T) {
	l := New(Targets{FirstToken: 740 * time.Millisecond, Gap: gapTarget}, 0)
	for range 8 {
		l.Add(100, false)
	}
	l.ObserveFirstToken(0, 400*time.Millisecond, 390*time.Millisecond)
	l.ObserveFirstToken(time.Second, 800*time.Millisecond, 100*time.Millisecond)
	l.ObserveFirstToken(time.Second, 800*time.Millisecond, 100*time.Millisecond)
	l.ObserveFirstToken(2*time.Second, 800*time.Millisecond, 100*time.Millisecond)
	if runs, _ := l.Bounds(); runs >= initialRuns {
		t.Errorf("bound of %d runs after late first tokens, want a decrease", runs)
	}
}

// Guards against workspace limits that are applied wrongly or return no retry time.
func TestWorkspace(t *testing.T) {
	w := NewWorkspace(WorkspaceLimits{PerSecond: 2, Burst: 2, MaxWaiting: 1, MaxRunning: 1})
	for i, want := range []struct {
		now        time.Duration
		ok         bool
		retryAfter time.Duration
	}{
		{0, true, 0},
		{0, true, 0},
		{100 * time.Millisecond, false, 400 * time.Millisecond},
		{600 * time.Millisecond, true, 0},
	} {
		if retry, ok := w.Admit(want.now); ok != want.ok || retry.Round(time.Millisecond) != want.retryAfter {
			t.Errorf("request %d: retry after %s, admitted %t, want %+v", i, retry, ok, want)
		}
	}
	w.Waiting, w.Running = 1, 1
	if retry, ok := w.Admit(time.Hour); ok || retry <= 0 || !w.Full() {
		t.Errorf("at the limits of waiting and running requests: retry after %s, admitted %t", retry, ok)
	}
}
