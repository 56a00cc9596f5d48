package acquirer_test

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/acquirer"
	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

const (
	limitDayLength = 30 * time.Second
	// In any limitWindow from limitNoticeTime after the first statement on, at most limitFactor times what the limit allows and
	// limitSlack more requests may arrive.
	limitNoticeTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitedEndpoint = "e0"
)

// limitTracker is an entry host's view of the limits.
type limitTracker struct {
	mu     sync.Mutex
	limits map[string]float64
	local  *admitter.Admitter
}

// set records a limit. It returns false if it has not changed.
func (t *limitTracker) set(id string, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits[id] == rate {
		return false
	}
	t.limits[id] = rate
	t.local.Update(func(b *balancer.Balancer) { b.SetLimit(time.Now(), id, rate) })
	return true
}

func (t *limitTracker) applyOrders(o *coordinatorpb.Orders) {
	for _, l := range o.GetLimits() {
		t.set(l.GetEndpoint(), l.GetPerS())
	}
}

func (t *limitTracker) encode() []*coordinatorpb.EndpointLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return coordinator.EncodeLimits(t.limits)
}

// limitDay is one line of testdata/limits.txt.
type limitDay struct {
	name                      string
	hosts, engines, perSecond int
	events                    []limitEvent
}

type limitEvent struct {
	at     time.Duration
	action string
	value  float64
}

func readLimitDays(t *testing.T) []limitDay {
	t.Helper()
	file, err := os.Open("testdata/limits.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var out []limitDay
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		d := limitDay{name: fields[0]}
		if _, err := fmt.Sscan(strings.Join(fields[1:4], " "), &d.hosts, &d.engines, &d.perSecond); err != nil {
			t.Fatalf("%q: %v", lines.Text(), err)
		}
		for _, text := range fields[4:] {
			at, rest, _ := strings.Cut(text, ":")
			action, value, _ := strings.Cut(rest, "=")
			e := limitEvent{action: action}
			if e.at, err = time.ParseDuration(at); err == nil {
				e.value, err = strconv.ParseFloat(value, 64)
			}
			if err != nil {
				t.Fatalf("%q: %v", text, err)
			}
			d.events = append(d.events, e)
		}
		out = append(out, d)
	}
	return out
}

// apply performs an event other than a change of the limit.
func (f *fixture) apply(e limitEvent) {
	owner := f.owner(int(e.value) % 5)
	switch e.action {
	case "kill":
		f.kill(owner)
	case "start":
		f.start(owner)
	case "silent", "heard":
		f.setUnreachable(owner, e.action == "silent")
	case "isolate", "join":
		f.mu.Lock()
		f.peerIsolated[owner] = e.action == "isolate"
		f.mu.Unlock()
	case "halve", "unite":
		f.mu.Lock()
		f.halfCut[owner] = e.action == "halve"
		f.mu.Unlock()
	case "restart":
		f.addHost(int(e.value))
		last := len(f.clients) - 1
		f.clients[int(e.value)], f.locals[int(e.value)], f.limits[int(e.value)] = f.clients[last], f.locals[last], f.limits[last]
		f.clients, f.locals, f.limits = f.clients[:last], f.locals[:last], f.limits[:last]
	default:
		f.t.Fatalf("unknown action %q", e.action)
	}
}

// limitChange is a limit that the endpoint states from at on; 0 means none.
type limitChange struct {
	at   time.Duration
	rate float64
}

// play returns the arrivals at the limited endpoint and the limits that it stated.
func (d limitDay) play(f *fixture) (arrivals []time.Duration, changes []limitChange) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(5, 6))
	gap, events, limit := time.Second/time.Duration(d.perSecond), slices.Clone(d.events), 0.0
	began := time.Now()
	for time.Since(began) < limitDayLength {
		for len(events) > 0 && time.Since(began) >= events[0].at {
			if e := events[0]; e.action == "limit" {
				limit = e.value
				changes = append(changes, limitChange{time.Since(began), limit})
			} else {
				f.apply(e)
			}
			events = events[1:]
		}
		host, stated := rng.IntN(len(f.clients)), limit
		client, limits := f.clients[host], f.limits[host]
		wg.Go(func() {
			g, err := client.Acquire(f.ctx, admitter.Request{Pool: "p", Patience: 500 * time.Millisecond, Work: balancer.Work{Prompt: 100, Output: 10}})
			if err != nil {
				return
			}
			time.Sleep(oneWayDelay)
			if id := g.Choice.Endpoint.ID; id == limitedEndpoint {
				mu.Lock()
				arrivals = append(arrivals, time.Since(began))
				mu.Unlock()
				if limits.set(id, stated) {
					client.ReportLimit(id, stated)
				}
			}
			time.Sleep(20 * time.Millisecond)
			g.End(time.Now(), false)
		})
		time.Sleep(gap)
	}
	wg.Wait()
	slices.Sort(arrivals)
	return arrivals, changes
}

// excess returns how far the arrivals exceed what the limits allow in the worst window, and in which one.
func excess(arrivals []time.Duration, changes []limitChange) (worst int, at time.Duration) {
	worst = math.MinInt
	for i, first := range arrivals {
		most, bounded := 0.0, first >= changes[0].at+limitNoticeTime
		for j, c := range changes {
			end := limitDayLength
			if j+1 < len(changes) {
				// Requests that were placed just before a change arrive after it.
				end = changes[j+1].at + limitNoticeTime
			}
			if c.at <= first+limitWindow && end > first {
				most = max(most, c.rate)
				bounded = bounded && c.rate > 0 && (j == 0 || changes[j-1].rate > 0 || first >= c.at+limitNoticeTime)
			}
		}
		n := 0
		for _, other := range arrivals[i:] {
			if other < first+limitWindow {
				n++
			}
		}
		if over := n - int(limitFactor*most*limitWindow.Seconds()) - limitSlack; bounded && over > worst {
			worst, at = over, first
		}
	}
	return worst, at
}

// Guards against an endpoint that gets more requests than the limit that it states, summed over all hosts: also when the limit is
// lowered, when coordinators or hosts restart, and while hosts place requests by themselves. A lifted limit must no longer hold work
// back, although only one host sees that it was lifted.
func TestEndpointLimitDays(t *testing.T) {
	for _, d := range readLimitDays(t) {
		t.Run(d.name, func(t *testing.T) {
			runLimited(t, d.hosts, d.engines, 40, func(f *fixture) {
				arrivals, changes := d.play(f)
				over, at := excess(arrivals, changes)
				t.Logf("%d requests at the limited endpoint, %d from the bound in the worst window (at %v)", len(arrivals), over, at)
				if over > 0 {
					t.Errorf("%d requests more than allowed in the 4 s from %v on", over, at)
				}
				used := 0
				for _, arrival := range arrivals {
					if arrival >= limitDayLength-limitWindow {
						used++
					}
				}
				last := changes[len(changes)-1].rate
				if want := int(last*limitWindow.Seconds()) / 2; last > 0 && used < want || last == 0 && used < d.perSecond*4/d.engines/4 {
					t.Errorf("%d requests in the last 4 s at a limit of %v a second, want more", used, last)
				}
			})
		})
	}
}

// Guards against losing a limit that an endpoint states while its host connects to a coordinator: neither the hello nor a report would
// contain it, and the host reports it only once.
func TestLimitStatedWhileConnecting(t *testing.T) {
	var rate atomic.Int64
	runWith(t, 0, 6, 40, func(f *fixture) {
		f.trackLimits = true
		f.duringHello = func(a *acquirer.Acquirer, t *limitTracker) {
			stated := float64(rate.Add(1))
			t.set(limitedEndpoint, stated)
			a.ReportLimit(limitedEndpoint, stated)
		}
	}, func(f *fixture) {
		// All coordinators are ready, so the host connects to one of them, at its first request.
		f.addHost(0)
		f.offerLoad(20, 10*time.Millisecond, 500*time.Millisecond, 2*time.Second)
		want := float64(rate.Load())
		f.duringHello = nil
		f.addHost(1)
		f.offerLoad(20, 10*time.Millisecond, 500*time.Millisecond, 2*time.Second)
		other := f.limits[1]
		other.mu.Lock()
		defer other.mu.Unlock()
		if got := other.limits[limitedEndpoint]; got != want {
			t.Errorf("the other host knows a limit of %v, want %v", got, want)
		}
	})
}

// runLimited runs a fixture whose entry hosts track the limits of endpoints.
func runLimited(t *testing.T, hosts, engines, slots int, body func(f *fixture)) {
	t.Helper()
	runWith(t, hosts, engines, slots, func(f *fixture) { f.trackLimits = true }, body)
}

// trackLimitsOf makes an entry host track the limits of endpoints.
func (f *fixture) trackLimitsOf(a *acquirer.Acquirer, local *admitter.Admitter) {
	t := &limitTracker{limits: map[string]float64{}, local: local}
	a.ApplyOrders, a.EndpointLimits = t.applyOrders, func() []*coordinatorpb.EndpointLimit {
		limits := t.encode()
		if f.duringHello != nil {
			f.duringHello(a, t)
		}
		return limits
	}
	f.limits = append(f.limits, t)
}
