package crashwatcher_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
)

const (
	// fatal is the fingerprint of the request that crashes endpoints.
	fatal = 77
	// runsFor is the time from a send to the crash, seenAfter the time from there until the crash is confirmed, and toldAfter until
	// the other hosts know of it.
	runsFor   = 100 * time.Millisecond
	seenAfter = 30 * time.Millisecond
	toldAfter = 250 * time.Millisecond
	// lasts is the length of a day.
	lasts = 3 * time.Minute
	// settled is the time after the third crash from which further runs are bounded by maxLate.
	settled = 3 * time.Second
	maxLate = 3
	step    = 10 * time.Millisecond
)

// day is one line of testdata/days.txt.
type day struct {
	name             string
	hosts, endpoints int
	gap, back        time.Duration
	naming           string
	restarts         time.Duration
}

func readDays(t *testing.T) []day {
	t.Helper()
	file, err := os.Open("testdata/days.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var out []day
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if line := strings.TrimSpace(lines.Text()); line != "" && !strings.HasPrefix(line, "#") {
			var d day
			var gap, back, restarts string
			if _, err := fmt.Sscan(line, &d.name, &d.hosts, &d.endpoints, &gap, &back, &d.naming, &restarts); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			for text, to := range map[string]*time.Duration{gap: &d.gap, back: &d.back, restarts: &d.restarts} {
				if *to, err = time.ParseDuration(text); err != nil {
					t.Fatalf("%q: %v", line, err)
				}
			}
			out = append(out, d)
		}
	}
	return out
}

// play returns the times at which the request reached an endpoint.
func (d day) play(seed uint64) []time.Duration {
	type event struct {
		at time.Duration
		do func()
	}
	start := time.Unix(1_000_000, 0)
	rng := rand.New(rand.NewPCG(seed, 1))
	hosts := make([]*crashwatcher.Watcher, d.hosts)
	for i := range hosts {
		hosts[i] = crashwatcher.New(start, rng.Float64())
	}
	upAt, lives := make([]time.Duration, d.endpoints), make([]int, d.endpoints)
	var events []event
	var runs []time.Duration
	nextRestart := d.restarts
	for now, next := time.Duration(0), time.Duration(0); now < lasts; now += step {
		var later []event
		for _, e := range events {
			if e.at <= now {
				e.do()
			} else {
				later = append(later, e)
			}
		}
		events = later
		if d.restarts > 0 && now >= nextRestart {
			nextRestart += d.restarts
			i := rng.IntN(len(hosts))
			hosts[i] = crashwatcher.New(start.Add(now), rng.Float64())
			learn(start.Add(now), hosts[i], hosts)
		}
		if now < next {
			continue
		}
		next += d.gap
		w, e := hosts[rng.IntN(len(hosts))], rng.IntN(d.endpoints)
		if now < upAt[e] || w.Begin(start.Add(now), fatal) > 0 {
			continue
		}
		runs = append(runs, now)
		endpoint := fmt.Sprintf("e%d", e)
		if d.naming == "new" {
			endpoint = fmt.Sprintf("e%d-%d", e, lives[e])
		}
		began := start.Add(now)
		events = append(events, event{now + runsFor, func() {
			at := began.Add(runsFor)
			if upAt[e] <= at.Sub(start) {
				upAt[e] = at.Sub(start) + d.back
				lives[e]++
			}
			broke(w, at, endpoint, began)
		}}, event{now + runsFor + seenAfter, func() { w.Crashed(began.Add(runsFor+seenAfter), endpoint) }},
			event{now + runsFor + toldAfter, func() { tell(began.Add(runsFor+toldAfter), w, hosts) }})
	}
	return runs
}

// broke notes that an endpoint broke a run of the request off.
func broke(w *crashwatcher.Watcher, at time.Time, endpoint string, began time.Time) {
	w.Broke(at, endpoint, crashwatcher.Run{Fingerprint: fatal, Began: began})
}

// tell tells all hosts what one of them has seen.
func tell(now time.Time, from *crashwatcher.Watcher, hosts []*crashwatcher.Watcher) {
	seen := from.Told(false)
	for _, w := range hosts {
		if w != from {
			w.Heard(now, seen)
		}
	}
}

// learn tells a host that has started what another one knows.
func learn(now time.Time, w *crashwatcher.Watcher, hosts []*crashwatcher.Watcher) {
	for _, other := range hosts {
		if other != w {
			w.Heard(now, other.Told(true))
			return
		}
	}
}

// late returns the number of runs after the third crash has settled.
func late(runs []time.Duration) int {
	n := 0
	for _, at := range runs {
		if len(runs) >= maxLate && at > runs[2]+runsFor+settled {
			n++
		}
	}
	return n
}

// Guards against a request that goes on crashing endpoints through a day (BUDGET): once it has crashed three, at most three more
// runs may follow, however often and wherever it comes, and under whatever name the endpoints return.
func TestCrashingRequestThroughDay(t *testing.T) {
	for _, d := range readDays(t) {
		t.Run(d.name, func(t *testing.T) {
			for seed := range uint64(5) {
				if runs := d.play(seed); late(runs) > maxLate {
					t.Errorf("seed %d: %d runs, %d of them late, want at most %d late", seed, len(runs), late(runs), maxLate)
				}
			}
		})
	}
}

// Guards against a crash that is taken for an earlier one of an endpoint with the same name: endpoints return under the name that
// they had, and the request would run on at them without a limit.
func TestEndpointReturnsUnderItsName(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	w := crashwatcher.New(start, 0)
	var got []bool
	for i, at := range []time.Duration{0, 4 * time.Second} {
		now := start.Add(at)
		got = append(got, w.Refused(now, fatal) > 0)
		broke(w, now.Add(runsFor), "e", now)
		// Two exchanges of the same crash count once.
		broke(w, now.Add(runsFor+step), "e", now.Add(step))
		w.Crashed(now.Add(runsFor+seenAfter), "e")
		got = append(got, w.Refused(now.Add(runsFor+seenAfter), fatal) > 0)
		if i == 0 {
			w.Heard(now.Add(runsFor+toldAfter), w.Told(true))
		}
	}
	if diff := cmp.Diff([]bool{false, false, false, true}, got); diff != "" {
		t.Errorf("refused before and after each of two crashes (-want +got):\n%s", diff)
	}
}

// Guards against a request that is refused at some hosts though an endpoint has answered it since its first crash: the host that
// saw the answer tells the others.
func TestAnswerClearsAtAllHosts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := crashwatcher.New(now, 0), crashwatcher.New(now, 0)
	hosts := []*crashwatcher.Watcher{a, b}
	var got []bool
	for i, finishes := range []bool{true, false, false} {
		began := now.Add(time.Duration(i) * time.Second)
		at, endpoint := began.Add(runsFor), fmt.Sprint("e", i)
		broke(a, at, endpoint, began)
		a.Crashed(at, endpoint)
		tell(at, a, hosts)
		if finishes {
			a.Finished(at, fatal)
			tell(at, a, hosts)
		}
		got = append(got, a.Refused(at, fatal) > 0, b.Refused(at, fatal) > 0)
	}
	if diff := cmp.Diff([]bool{false, false, false, false, true, true}, got); diff != "" {
		t.Errorf("refused at both hosts after each crash (-want +got):\n%s", diff)
	}
}

// Guards against requests that count as suspect because this host was cut off: all endpoints are silent then.
func TestSilenceOfAllEndpointsShowsNothing(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	w := crashwatcher.New(start, 0)
	var got []int
	for i, other := range []time.Duration{-1, 1} {
		began := start.Add(time.Duration(i) * time.Minute)
		silent, at := began.Add(time.Second), began.Add(3*time.Second)
		w.Finished(silent.Add(other*step), fatal+1)
		w.Broke(at, "e", crashwatcher.Run{Fingerprint: fatal, Began: began, SilentSince: silent})
		w.Crashed(at.Add(time.Second), "e")
		crashes, _ := w.State(at, fatal)
		got = append(got, crashes)
	}
	if diff := cmp.Diff([]int{0, 1}, got); diff != "" {
		t.Errorf("crashes that count if no endpoint, and if another one has answered meanwhile (-want +got):\n%s", diff)
	}
}

// Guards against memory that grows while no coordinator can be told.
func TestNewsAreBounded(t *testing.T) {
	const bound, more = 1024, 1500
	now := time.Unix(1_000_000, 0)
	w := crashwatcher.New(now, 0)
	for i := range uint64(more) {
		w.Broke(now, "e", crashwatcher.Run{Fingerprint: i, Began: now})
		w.Crashed(now, "e")
		w.Finished(now, i)
		w.Broke(now, fmt.Sprint("silent", i), crashwatcher.Run{Fingerprint: i, Began: now})
	}
	w.Sweep(now.Add(time.Minute))
	news := w.Told(false)
	if diff := cmp.Diff([]int{bound, bound, 0}, []int{len(news.Crashes), len(news.Cleared), w.Broken("silent0")}); diff != "" {
		t.Errorf("crashes and cleared requests to tell, broken exchanges kept (-want +got):\n%s", diff)
	}
}
