package acquirer_test

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
)

const (
	allotmentRate = 1000.0 // units per second, and burst units in a window
	window        = 8 * time.Second
	requestUnits  = 40
)

// admittedUnits offers demand times the allotment at random hosts, and returns the units admitted in each 50 ms.
func (f *fixture) admittedUnits(demand float64, during time.Duration) []float64 {
	const part = 50 * time.Millisecond
	out := make([]float64, during/part+1)
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(3, 4))
	gap := time.Duration(float64(time.Second) * requestUnits / (demand * allotmentRate))
	for time.Since(began) < during {
		host := rng.IntN(len(f.clients))
		wg.Go(func() {
			req := admitter.Request{
				Pool: "p", Patience: 500 * time.Millisecond, Work: balancer.Work{Prompt: 1, Output: 1}, Workspace: "w", Units: requestUnits,
			}
			at := time.Since(began)
			g, err := f.clients[host].Acquire(f.ctx, req)
			var refused *admitter.RefusedError
			switch {
			case err == nil:
				mu.Lock()
				out[at/part] += requestUnits
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
				g.End(time.Now(), false)
			case !errors.As(err, &refused) || refused.Reason != admitter.AllotmentExhausted || refused.RetryAfter <= 0:
				f.t.Errorf("refused with %v, want a used-up allotment", err)
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	return out
}

// peakWindow returns the largest sum of parts in any window.
func peakWindow(parts []float64) float64 {
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

func (f *fixture) setLimits() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.coordinators {
		c.SetLimits(map[string]ratelimiter.Limit{"w": {Rate: allotmentRate, Burst: allotmentRate}})
	}
}

// The demand of one workspace jumps to ten times its allotment, spread over hundreds of hosts. Hosts that count independently
// receive each other's usage too late, and each admits a request or two against the same remaining units.
func TestHotWorkspaceAcrossManyHosts(t *testing.T) {
	run(t, 300, 30, 40, func(f *fixture) {
		f.setLimits()
		time.Sleep(10 * time.Second) // the usage assumed from before the start leaves the window
		parts := append(f.admittedUnits(0.3, 4*time.Second), f.admittedUnits(10, 10*time.Second)...)
		got, allowed := peakWindow(parts), allotmentRate*(window.Seconds()+1)
		if got > allowed*1.02 || got < allowed*0.9 {
			t.Errorf("%.0f units in a window, want %.0f", got, allowed)
		}
	})
}

// The coordinator that checks the allotments crashes under overload. The next one has the past usage from the
// reports of the first.
func TestAllotmentWhenCoordinatorCrashes(t *testing.T) {
	run(t, 60, 30, 40, func(f *fixture) {
		f.setLimits()
		time.Sleep(10 * time.Second)
		parts := f.admittedUnits(5, 9*time.Second)
		f.kill(f.owner(0))
		parts = append(parts, f.admittedUnits(5, 9*time.Second)...)
		if got, allowed := peakWindow(parts), allotmentRate*(window.Seconds()+1)*1.1; got > allowed {
			t.Errorf("%.0f units in a window, want at most %.0f", got, allowed)
		}
		admitted := 0.0
		for _, units := range parts[len(parts)-100:] {
			admitted += units
		}
		if admitted < 0.8*5*allotmentRate {
			t.Errorf("%.0f units in the last 5 s after the loss, want about %.0f", admitted, 5*allotmentRate)
		}
	})
}

// A restarted coordinator receives the past usage from the others: it must neither refuse everything for one window nor admit the
// same units again.
func TestAllotmentWhenCoordinatorRestarts(t *testing.T) {
	run(t, 60, 30, 40, func(f *fixture) {
		f.setLimits()
		time.Sleep(10 * time.Second)
		first := f.owner(0)
		parts := f.admittedUnits(0.6, 9*time.Second)
		f.kill(first)
		parts = append(parts, f.admittedUnits(0.6, 2*time.Second)...)
		f.start(first)
		f.setLimits()
		parts = append(parts, f.admittedUnits(0.6, 6*time.Second)...)
		total := 0.0
		for _, units := range parts {
			total += units
		}
		if want := 0.6 * 17 * allotmentRate * 0.97; total < want {
			t.Errorf("%.0f units admitted, want at least %.0f", total, want)
		}
		if got, allowed := peakWindow(append(parts, f.admittedUnits(5, 4*time.Second)...)), allotmentRate*(window.Seconds()+1)*1.1; got > allowed {
			t.Errorf("%.0f units in a window, want at most %.0f", got, allowed)
		}
	})
}

// allotmentTracker is an entry host's view of the allotments, from the orders of its coordinators.
type allotmentTracker struct {
	mu         sync.Mutex
	allotments *ratelimiter.Limiter
	othersID   uint64
	lastTotal  float64
	total      map[string]float64
}

func newTracker() *allotmentTracker {
	t := &allotmentTracker{allotments: ratelimiter.New(time.Now(), window), total: map[string]float64{}}
	t.allotments.SetLimits(time.Now(), map[string]ratelimiter.Limit{"w": {Rate: allotmentRate, Burst: allotmentRate}})
	return t
}

func (t *allotmentTracker) applyOrders(o *coordinatorpb.Orders) {
	units, reported := coordinator.DecodeUses(o.GetOthers())[coordinator.Digest("w")]
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.GetOthers() == nil {
		return
	}
	if o.GetOthersId() == t.othersID && reported {
		t.total["w"] += max(0, units-t.lastTotal)
	}
	if t.othersID = o.GetOthersId(); reported {
		t.lastTotal = units
	}
	t.allotments.ApplyReport(time.Now(), "others", time.Hour, t.total)
	t.allotments.SetPeerHosts("others", int(o.GetOthers().GetHosts()))
}

func (t *allotmentTracker) windows() *coordinatorpb.Uses {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := &coordinatorpb.Uses{}
	for workspace, parts := range t.allotments.Windows(time.Now()) {
		coordinator.AppendWindow(u, coordinator.Digest(workspace), parts)
	}
	return u
}

// An isolated coordinator must not cause double admission: it serves its hosts for most of a second before it ends their
// sessions, and the next coordinator must receive from these hosts what was used in that time.
func TestAllotmentWhenCoordinatorIsCutOff(t *testing.T) {
	run(t, 60, 30, 40, func(f *fixture) {
		f.setLimits()
		time.Sleep(10 * time.Second)
		parts := f.admittedUnits(0.3, 5*time.Second)
		f.mu.Lock()
		f.peerIsolated[f.owner(0)] = true
		f.mu.Unlock()
		parts = append(parts, f.admittedUnits(5, 8*time.Second)...)
		if got, allowed := peakWindow(parts), allotmentRate*(window.Seconds()+1)*1.1; got > allowed {
			t.Errorf("%.0f units in a window, want at most %.0f", got, allowed)
		}
		admitted := 0.0
		for _, units := range f.admittedUnits(5, 9*time.Second) {
			admitted += units
		}
		if want := 0.8 * 9 * allotmentRate; admitted < want {
			t.Errorf("%.0f units in the 9 s after it, want at least %.0f", admitted, want)
		}
	})
}
