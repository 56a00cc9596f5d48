package asker_test

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

const (
	allotted = 1000.0 // units a second, and beyond them in a window
	window   = 8 * time.Second
	cost     = 40
)

// admitted offers demand times the allotment at random hosts, and returns the units that were admitted in each 50 ms.
func (f *fleet) admitted(demand float64, during time.Duration) []float64 {
	const part = 50 * time.Millisecond
	out := make([]float64, during/part+1)
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(3, 4))
	gap := time.Duration(float64(time.Second) * cost / (demand * allotted))
	for time.Since(began) < during {
		host := rng.IntN(len(f.askers))
		wg.Go(func() {
			ask := admitter.Ask{
				Pool: "p", Patience: 500 * time.Millisecond, Work: balancer.Work{Prompt: 1, Output: 1}, Workspace: "w", Units: cost,
			}
			at := time.Since(began)
			g, err := f.askers[host].Acquire(f.ctx, ask)
			var refused *admitter.RefusedError
			switch {
			case err == nil:
				mu.Lock()
				out[at/part] += cost
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				g.End(time.Now(), false)
			case !errors.As(err, &refused) || refused.Reason != admitter.Allotment || refused.RetryAfter <= 0:
				f.t.Errorf("refused with %v, want an allotment that is used up", err)
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	return out
}

// most returns the largest sum of a window of parts.
func most(parts []float64) float64 {
	n, sum, most := int(window/(50*time.Millisecond)), 0.0, 0.0
	for i, units := range parts {
		sum += units
		if i >= n {
			sum -= parts[i-n]
		}
		most = max(most, sum)
	}
	return most
}

func (f *fleet) limit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.controls {
		c.SetLimits(map[string]allotter.Limit{"w": {Rate: allotted, Burst: allotted}})
	}
}

// One workspace asks ten times its allotment from one moment to the next, spread over hundreds of hosts. Hosts that count by
// themselves hear of each other too late: each admits a request or two of the same room.
func TestHotWorkspaceAtManyHosts(t *testing.T) {
	run(t, 300, 30, 40, func(f *fleet) {
		f.limit()
		time.Sleep(10 * time.Second) // what was used before the start counts as used up
		parts := append(f.admitted(0.3, 4*time.Second), f.admitted(10, 10*time.Second)...)
		got, allowed := most(parts), allotted*(window.Seconds()+1)
		if got > allowed*1.02 || got < allowed*0.9 {
			t.Errorf("%.0f units in a window, want %.0f", got, allowed)
		}
	})
}

// The coordinator that checks the allotments dies in the flood. The next one knows what was used from the reports of the first.
func TestAllotmentWhenCoordinatorDies(t *testing.T) {
	run(t, 60, 30, 40, func(f *fleet) {
		f.limit()
		time.Sleep(10 * time.Second)
		parts := f.admitted(5, 9*time.Second)
		f.kill(f.owner(0))
		parts = append(parts, f.admitted(5, 9*time.Second)...)
		if got, allowed := most(parts), allotted*(window.Seconds()+1)*1.1; got > allowed {
			t.Errorf("%.0f units in a window, want at most %.0f", got, allowed)
		}
		late := 0.0
		for _, units := range parts[len(parts)-100:] {
			late += units
		}
		if late < 0.8*5*allotted {
			t.Errorf("%.0f units in the last 5 s after the loss, want about %.0f", late, 5*allotted)
		}
	})
}

// A coordinator that has just started learns from the others what was used; it neither refuses all for a window nor admits it anew.
func TestAllotmentWhenCoordinatorReturns(t *testing.T) {
	run(t, 60, 30, 40, func(f *fleet) {
		f.limit()
		time.Sleep(10 * time.Second)
		first := f.owner(0)
		parts := f.admitted(0.6, 9*time.Second)
		f.kill(first)
		parts = append(parts, f.admitted(0.6, 2*time.Second)...)
		f.start(first)
		f.limit()
		parts = append(parts, f.admitted(0.6, 6*time.Second)...)
		total := 0.0
		for _, units := range parts {
			total += units
		}
		if want := 0.6 * 17 * allotted * 0.97; total < want {
			t.Errorf("%.0f units admitted, want at least %.0f", total, want)
		}
		if got, allowed := most(append(parts, f.admitted(5, 4*time.Second)...)), allotted*(window.Seconds()+1)*1.1; got > allowed {
			t.Errorf("%.0f units in a window, want at most %.0f", got, allowed)
		}
	})
}

// tracker is what an entry host knows of the allotments from its coordinators.
type tracker struct {
	mu     sync.Mutex
	allots *allotter.Allotter
	id     uint64
	last   float64
	total  map[string]float64
}

func newTracker() *tracker {
	t := &tracker{allots: allotter.New(time.Now(), window), total: map[string]float64{}}
	t.allots.SetLimits(time.Now(), map[string]allotter.Limit{"w": {Rate: allotted, Burst: allotted}})
	return t
}

func (t *tracker) heard(o *coordinatorpb.Orders) {
	units, told := coordinator.DecodeUses(o.GetOthers())[coordinator.Digest("w")]
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.GetOthers() == nil {
		return
	}
	if o.GetOthersId() == t.id && told {
		t.total["w"] += max(0, units-t.last)
	}
	if t.id = o.GetOthersId(); told {
		t.last = units
	}
	t.allots.Heard(time.Now(), "others", time.Hour, t.total)
	t.allots.SetHosts("others", int(o.GetOthers().GetHosts()))
}

func (t *tracker) windows() *coordinatorpb.Uses {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := &coordinatorpb.Uses{}
	for workspace, parts := range t.allots.Windows(time.Now()) {
		coordinator.AddWindow(u, coordinator.Digest(workspace), parts)
	}
	return u
}

// Guards against a workspace that is admitted twice: a coordinator that the others do not reach serves its hosts for most of a second
// before it dismisses them, and the next one must know from these hosts what was used meanwhile.
func TestAllotmentWhenCoordinatorIsCutOff(t *testing.T) {
	run(t, 60, 30, 40, func(f *fleet) {
		f.limit()
		time.Sleep(10 * time.Second)
		parts := f.admitted(0.3, 5*time.Second)
		f.mu.Lock()
		f.apart[f.owner(0)] = true
		f.mu.Unlock()
		parts = append(parts, f.admitted(5, 8*time.Second)...)
		if got, allowed := most(parts), allotted*(window.Seconds()+1)*1.1; got > allowed {
			t.Errorf("%.0f units in a window, want at most %.0f", got, allowed)
		}
		late := 0.0
		for _, units := range f.admitted(5, 9*time.Second) {
			late += units
		}
		if want := 0.8 * 9 * allotted; late < want {
			t.Errorf("%.0f units in the 9 s after it, want at least %.0f", late, want)
		}
	})
}
