package limiter

import (
	"testing"
	"time"
)

const gapTarget = 46 * time.Millisecond

// engine feeds rounds of gaps that grow with the runs in use, as a batch makes them.
func engine(l *Limiter, from time.Duration, rounds int, gap func(runs int) time.Duration) time.Duration {
	now := from
	for range rounds {
		for l.Fits(100, 0, 1, 0) {
			l.Take(100, false)
		}
		runs, _ := l.Used()
		now += roundTime
		for range 4 {
			l.ObserveGap(now, gap(runs))
		}
		if bound, _ := l.Bounds(); runs > bound {
			l.Give(100, false)
		}
	}
	return now
}

// Guards against a bound that stays at its start, runs away, or leaves token gaps above the target.
func TestBoundFollowsGap(t *testing.T) {
	l := New(Targets{FirstToken: 740 * time.Millisecond, Gap: gapTarget}, 0.15)
	perRun := func(runs int) time.Duration { return time.Duration(10+runs) * time.Millisecond }
	now := engine(l, 0, 200, perRun)
	if runs, _ := l.Used(); perRun(runs) > gapTarget || perRun(runs) < gapTarget/2 {
		t.Errorf("%d runs with a gap of %s settle far from the target %s", runs, perRun(runs), gapTarget)
	}
	slow := func(runs int) time.Duration { return 4 * perRun(runs) }
	engine(l, now, 400, slow)
	if runs, _ := l.Used(); runs > 3 {
		t.Errorf("%d runs at a quarter of the speed, where one run has a gap of %s", runs, slow(1))
	}
}

// Guards against repeated cuts while work from before the first cut drains.
func TestNoCutWhileDraining(t *testing.T) {
	l := New(Targets{Gap: gapTarget}, 0)
	for range 8 {
		l.Take(100, false)
	}
	now := time.Duration(0)
	for range 20 {
		now += roundTime
		for range 4 {
			l.ObserveGap(now, 2*gapTarget)
		}
	}
	if runs, _ := l.Bounds(); runs != 6 {
		t.Errorf("bound of %d runs after 20 slow rounds with 8 runs left over, want one cut to 6", runs)
	}
}

// Guards against urgent work that waits because other work has overrun a bound.
func TestHeadroom(t *testing.T) {
	l := New(Targets{Gap: gapTarget}, 0.25)
	for range 6 {
		l.Take(100, false)
	}
	if l.Fits(100, 0, 1, 0) || !l.Fits(100, 0, 1, 1) {
		t.Error("6 of 8 runs are in use: patient work should find no room and urgent work the headroom")
	}
	l.runs = 4
	if !l.Fits(100, 0, 1, 1) {
		t.Error("urgent work finds no headroom beside work that has overrun the bound")
	}
	l.Take(100, true)
	l.Take(100, true)
	if l.Fits(100, 0, 1, 1) {
		t.Error("urgent work exceeds its headroom")
	}
	if l.Fits(100, 0, 0, 1) {
		t.Error("an endpoint of which no part is usable has room")
	}
}

// Guards against a plain service of few calls of which patient work may use one only.
func TestFixedHeadroom(t *testing.T) {
	for runs, want := range map[int]int{1: 1, 2: 2, 6: 6, 8: 7, 20: 17} {
		l := New(Targets{}, 0.15)
		l.Fix(runs)
		got := 0
		for ; l.Fits(1, 0, 1, 0); got++ {
			l.Take(1, false)
		}
		if got != want {
			t.Errorf("patient work may use %d of %d calls, want %d", got, runs, want)
		}
	}
}

// Guards against runs that queue inside an engine whose batch is smaller than the gap alone would allow.
func TestBatchSizeIsLearned(t *testing.T) {
	l := New(Targets{FirstToken: 740 * time.Millisecond, Gap: gapTarget}, 0)
	l.runs = 100
	for _, report := range [][2]int{{30, 2}, {32, 0}, {32, 5}, {31, 1}, {32, 9}} {
		l.ObserveQueue(report[0], report[1])
	}
	if runs, _ := l.Bounds(); runs != 32 {
		t.Errorf("bound of %d runs, the reports show a batch of 32", runs)
	}
	l.ObserveQueue(40, 0)
	if l.ceiling() != maxRuns {
		t.Error("a report of more runs does not disprove the size of the batch")
	}
}

// Guards against late first tokens behind a full batch.
func TestLateFirstTokensCut(t *testing.T) {
	l := New(Targets{FirstToken: 740 * time.Millisecond, Gap: gapTarget}, 0)
	for range 8 {
		l.Take(100, false)
	}
	l.ObserveFirstToken(0, 400*time.Millisecond, 390*time.Millisecond)
	l.ObserveFirstToken(time.Second, 800*time.Millisecond, 100*time.Millisecond)
	l.ObserveFirstToken(time.Second, 800*time.Millisecond, 100*time.Millisecond)
	l.ObserveFirstToken(2*time.Second, 800*time.Millisecond, 100*time.Millisecond)
	if runs, _ := l.Bounds(); runs >= startRuns {
		t.Errorf("bound of %d runs after late first tokens", runs)
	}
}

// Guards against limits of operators that are counted wrongly or give no time to try again.
func TestWorkspace(t *testing.T) {
	w := NewWorkspace(WorkspaceLimits{PerSecond: 2, Burst: 2, MaxWaiting: 1, MaxRunning: 1})
	for i, want := range []struct {
		now   time.Duration
		ok    bool
		retry time.Duration
	}{
		{0, true, 0},
		{0, true, 0},
		{100 * time.Millisecond, false, 400 * time.Millisecond},
		{600 * time.Millisecond, true, 0},
	} {
		if retry, ok := w.Admit(want.now); ok != want.ok || retry.Round(time.Millisecond) != want.retry {
			t.Errorf("request %d: %s %t, want %+v", i, retry, ok, want)
		}
	}
	w.Waiting, w.Running = 1, 1
	if retry, ok := w.Admit(time.Hour); ok || retry <= 0 || !w.Full() {
		t.Errorf("limits of waiting and running requests: %s %t", retry, ok)
	}
}
