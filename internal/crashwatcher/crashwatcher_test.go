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
	// crashingFingerprint is the fingerprint of the request that crashes endpoints.
	crashingFingerprint = 77
	// timeToCrash is the time from sending the request to the crash, confirmDelay the time from the crash until it is confirmed,
	// and propagationDelay the time from the crash until the other hosts have received the update.
	timeToCrash      = 100 * time.Millisecond
	confirmDelay     = 30 * time.Millisecond
	propagationDelay = 250 * time.Millisecond
	// scenarioLength is the simulated time of a scenario.
	scenarioLength = 3 * time.Minute
	// settlingTime is the time after the third crash from which at most maxLateRuns further runs are allowed.
	settlingTime = 3 * time.Second
	maxLateRuns  = 3
	step         = 10 * time.Millisecond
)

// scenario is one line of testdata/days.txt.
type scenario struct {
	name                          string
	hosts, endpoints              int
	arrivalInterval, restartDelay time.Duration
	naming                        string
	hostRestartInterval           time.Duration
}

func readScenarios(t *testing.T) []scenario {
	t.Helper()
	file, err := os.Open("testdata/days.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var out []scenario
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if line := strings.TrimSpace(lines.Text()); line != "" && !strings.HasPrefix(line, "#") {
			var s scenario
			var gap, back, restarts string
			if _, err := fmt.Sscan(line, &s.name, &s.hosts, &s.endpoints, &gap, &back, &s.naming, &restarts); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			for text, to := range map[string]*time.Duration{gap: &s.arrivalInterval, back: &s.restartDelay, restarts: &s.hostRestartInterval} {
				if *to, err = time.ParseDuration(text); err != nil {
					t.Fatalf("%q: %v", line, err)
				}
			}
			out = append(out, s)
		}
	}
	return out
}

// run simulates a scenario and returns the times at which the request was sent to an endpoint.
func (s scenario) run(seed uint64) []time.Duration {
	type event struct {
		at time.Duration
		do func()
	}
	start := time.Unix(1_000_000, 0)
	rng := rand.New(rand.NewPCG(seed, 1))
	hosts := make([]*crashwatcher.Watcher, s.hosts)
	for i := range hosts {
		hosts[i] = crashwatcher.New(start, rng.Float64())
	}
	upAt, restarts := make([]time.Duration, s.endpoints), make([]int, s.endpoints)
	var events []event
	var runs []time.Duration
	nextRestart := s.hostRestartInterval
	for now, next := time.Duration(0), time.Duration(0); now < scenarioLength; now += step {
		var later []event
		for _, e := range events {
			if e.at <= now {
				e.do()
			} else {
				later = append(later, e)
			}
		}
		events = later
		if s.hostRestartInterval > 0 && now >= nextRestart {
			nextRestart += s.hostRestartInterval
			i := rng.IntN(len(hosts))
			hosts[i] = crashwatcher.New(start.Add(now), rng.Float64())
			copyCrashes(start.Add(now), hosts[i], hosts)
		}
		if now < next {
			continue
		}
		next += s.arrivalInterval
		w, e := hosts[rng.IntN(len(hosts))], rng.IntN(s.endpoints)
		if now < upAt[e] || w.BeginRun(start.Add(now), crashingFingerprint) > 0 {
			continue
		}
		runs = append(runs, now)
		endpoint := fmt.Sprintf("e%d", e)
		if s.naming == "new" {
			endpoint = fmt.Sprintf("e%d-%d", e, restarts[e])
		}
		began := start.Add(now)
		events = append(events, event{now + timeToCrash, func() {
			at := began.Add(timeToCrash)
			if upAt[e] <= at.Sub(start) {
				upAt[e] = at.Sub(start) + s.restartDelay
				restarts[e]++
			}
			addInterrupted(w, at, endpoint, began)
		}}, event{now + timeToCrash + confirmDelay, func() { w.RecordCrash(began.Add(timeToCrash+confirmDelay), endpoint) }},
			event{now + timeToCrash + propagationDelay, func() { broadcastUpdates(began.Add(timeToCrash+propagationDelay), w, hosts) }})
	}
	return runs
}

// addInterrupted records an interrupted exchange of the crashing request.
func addInterrupted(w *crashwatcher.Watcher, at time.Time, endpoint string, began time.Time) {
	w.AddInterrupted(at, endpoint, crashwatcher.InterruptedRun{Fingerprint: crashingFingerprint, Began: began})
}

// broadcastUpdates sends the pending updates of a host to all other hosts.
func broadcastUpdates(now time.Time, from *crashwatcher.Watcher, hosts []*crashwatcher.Watcher) {
	updates := from.TakeUpdates(false)
	for _, w := range hosts {
		if w != from {
			w.MergeUpdates(now, updates)
		}
	}
}

// copyCrashes sends all crashes recorded by another host to a host that has just started.
func copyCrashes(now time.Time, w *crashwatcher.Watcher, hosts []*crashwatcher.Watcher) {
	for _, other := range hosts {
		if other != w {
			w.MergeUpdates(now, other.TakeUpdates(true))
			return
		}
	}
}

// countLate returns the number of runs later than settlingTime after the third crash.
func countLate(runs []time.Duration) int {
	n := 0
	for _, at := range runs {
		if len(runs) >= maxLateRuns && at > runs[2]+timeToCrash+settlingTime {
			n++
		}
	}
	return n
}

// Guards against a request that goes on crashing endpoints: after it has crashed three, at most three more runs may follow,
// however often and at whichever host it arrives, and whether or not restarted endpoints keep their names.
func TestCrashingRequestScenarios(t *testing.T) {
	for _, s := range readScenarios(t) {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(5) {
				if runs := s.run(seed); countLate(runs) > maxLateRuns {
					t.Errorf("seed %d: %d runs, %d of them late, want at most %d late", seed, len(runs), countLate(runs), maxLateRuns)
				}
			}
		})
	}
}

// Guards against counting a crash as a repetition of an earlier one because the endpoint restarted under the same name: the
// request would crash such endpoints without limit.
func TestEndpointRestartsUnderItsName(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	w := crashwatcher.New(start, 0)
	var got []bool
	for i, at := range []time.Duration{0, 4 * time.Second} {
		now := start.Add(at)
		got = append(got, w.RefusedFor(now, crashingFingerprint) > 0)
		addInterrupted(w, now.Add(timeToCrash), "e", now)
		// Two exchanges that were interrupted by the same crash count once.
		addInterrupted(w, now.Add(timeToCrash+step), "e", now.Add(step))
		w.RecordCrash(now.Add(timeToCrash+confirmDelay), "e")
		got = append(got, w.RefusedFor(now.Add(timeToCrash+confirmDelay), crashingFingerprint) > 0)
		if i == 0 {
			w.MergeUpdates(now.Add(timeToCrash+propagationDelay), w.TakeUpdates(true))
		}
	}
	if diff := cmp.Diff([]bool{false, false, false, true}, got); diff != "" {
		t.Errorf("refused before and after each of two crashes (-want +got):\n%s", diff)
	}
}

// Guards against refusing a request at some hosts although it has succeeded since its first crash: the host that received the
// successful response sends an update to the others.
func TestSuccessClearsAtAllHosts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := crashwatcher.New(now, 0), crashwatcher.New(now, 0)
	hosts := []*crashwatcher.Watcher{a, b}
	var got []bool
	for i, succeeds := range []bool{true, false, false} {
		began := now.Add(time.Duration(i) * time.Second)
		at, endpoint := began.Add(timeToCrash), fmt.Sprint("e", i)
		addInterrupted(a, at, endpoint, began)
		a.RecordCrash(at, endpoint)
		broadcastUpdates(at, a, hosts)
		if succeeds {
			a.RecordSuccess(at, crashingFingerprint)
			broadcastUpdates(at, a, hosts)
		}
		got = append(got, a.RefusedFor(at, crashingFingerprint) > 0, b.RefusedFor(at, crashingFingerprint) > 0)
	}
	if diff := cmp.Diff([]bool{false, false, false, false, true, true}, got); diff != "" {
		t.Errorf("refused at both hosts after each crash (-want +got):\n%s", diff)
	}
}

// Guards against counting crashes while this host is cut off from all endpoints, because then every exchange times out.
func TestTimeoutOfAllEndpointsDoesNotCount(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	w := crashwatcher.New(start, 0)
	var got []int
	for i, other := range []time.Duration{-1, 1} {
		began := start.Add(time.Duration(i) * time.Minute)
		idleSince, at := began.Add(time.Second), began.Add(3*time.Second)
		w.RecordSuccess(idleSince.Add(other*step), crashingFingerprint+1)
		w.AddInterrupted(at, "e", crashwatcher.InterruptedRun{Fingerprint: crashingFingerprint, Began: began, IdleSince: idleSince})
		w.RecordCrash(at.Add(time.Second), "e")
		crashes, _ := w.State(at, crashingFingerprint)
		got = append(got, crashes)
	}
	if diff := cmp.Diff([]int{0, 1}, got); diff != "" {
		t.Errorf("crashes counted without and with a response of another endpoint in the meantime (-want +got):\n%s", diff)
	}
}

// Guards against unbounded memory while no coordinator can be reached.
func TestPendingUpdatesAreBounded(t *testing.T) {
	const limit, requests = 1024, 1500
	now := time.Unix(1_000_000, 0)
	w := crashwatcher.New(now, 0)
	for i := range uint64(requests) {
		w.AddInterrupted(now, "e", crashwatcher.InterruptedRun{Fingerprint: i, Began: now})
		w.RecordCrash(now, "e")
		w.RecordSuccess(now, i)
		w.AddInterrupted(now, fmt.Sprint("silent", i), crashwatcher.InterruptedRun{Fingerprint: i, Began: now})
	}
	w.Sweep(now.Add(time.Minute))
	updates := w.TakeUpdates(false)
	if diff := cmp.Diff([]int{limit, limit, 0}, []int{len(updates.Crashes), len(updates.Cleared), w.Interrupted("silent0")}); diff != "" {
		t.Errorf("pending crashes, pending cleared requests, kept interrupted exchanges (-want +got):\n%s", diff)
	}
}

// Guards against refusing a sound request because it ran twice at an endpoint that a harmful prompt part of other requests crashed,
// whichever host saw those crashes.
func TestCrashesOfHarmfulPartDoNotCount(t *testing.T) {
	const soundFingerprint, harmfulPart = 5, 9
	start := time.Unix(1_000_000, 0)
	a, b := crashwatcher.New(start, 0), crashwatcher.New(start, 0.5)
	hosts := []*crashwatcher.Watcher{a, b}
	var got []int
	for i := range 3 {
		at := start.Add(time.Duration(3*i+1) * time.Second)
		endpoint, began := fmt.Sprint("e", i), at.Add(-timeToCrash)
		a.AddInterrupted(at, endpoint, crashwatcher.InterruptedRun{Fingerprint: soundFingerprint, Began: began.Add(-time.Second)})
		b.AddInterrupted(at, endpoint, crashwatcher.InterruptedRun{
			Fingerprint: uint64(100 + i), Began: began, Parts: []uint64{harmfulPart}, Answering: true,
		})
		for _, w := range hosts {
			w.RecordCrash(at.Add(confirmDelay), endpoint)
		}
		broadcastUpdates(at.Add(propagationDelay), a, hosts)
		broadcastUpdates(at.Add(propagationDelay), b, hosts)
		for _, w := range hosts {
			crashes, _ := w.State(at.Add(propagationDelay), soundFingerprint)
			got = append(got, crashes)
		}
	}
	later := crashwatcher.New(start.Add(time.Minute), 0)
	copyCrashes(start.Add(time.Minute), later, hosts)
	crashes, _ := later.State(start.Add(time.Minute), soundFingerprint)
	if diff := cmp.Diff([]int{1, 1, 0, 0, 0, 0, 0}, append(got, crashes)); diff != "" {
		t.Errorf("crashes of the sound request at two hosts after each crash, and at a host that starts later (-want +got):\n%s", diff)
	}
}
