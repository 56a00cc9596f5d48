package balancer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// Guards against a limit that is exceeded after a pause, after it was lowered or shared, or that outlasts its end, and against one
// that is lost while the endpoint is missing from the list.
func TestLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	listed := []balancer.Endpoint{{ID: "a", Addr: "a", Zone: "z", Pool: "p", Slots: 100, Engine: true}}
	b := balancer.New("z")
	b.SetEndpoints(now, listed)
	placed := func(during time.Duration) int {
		n := 0
		for end := now.Add(during); now.Before(end); now = now.Add(10 * time.Millisecond) {
			for {
				c, ok := b.Pick(now, "p", balancer.Work{}, nil)
				if !ok || n > 50 {
					break
				}
				b.End(now, b.Place(now, c, balancer.Work{}), false)
				n++
			}
		}
		return n
	}
	var got []int
	b.SetLimit(now, "a", 2)
	got = append(got, placed(4*time.Second))
	now = now.Add(time.Minute)
	got = append(got, placed(4*time.Second))
	b.SetLimit(now, "a", 1)
	got = append(got, placed(4*time.Second))
	b.SetLimitShare(now, 0.25)
	got = append(got, placed(8*time.Second))
	b.SetLimitShare(now, 1)
	b.SetEndpoints(now, nil)
	b.SetEndpoints(now, listed)
	got = append(got, placed(4*time.Second))
	b.SetLimit(now, "a", 0)
	got = append(got, placed(10*time.Millisecond))
	if diff := cmp.Diff([]int{7, 9, 4, 2, 4, 51}, got); diff != "" {
		t.Errorf("requests at 2 a second, after a pause, at 1, at a quarter of it, after a gap in the list, without limit (-want +got):\n%s", diff)
	}
}

// Guards against hosts that all use a limited endpoint while they place requests without a coordinator.
func TestLimitedEndpointIsAvoided(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := balancer.New("z")
	b.AvoidLimited = true
	b.SetEndpoints(now, []balancer.Endpoint{{ID: "a", Addr: "a", Zone: "z", Pool: "p", Slots: 1}, {ID: "b", Addr: "b", Zone: "z", Pool: "p", Slots: 1}})
	b.SetLimit(now, "a", 5)
	now = now.Add(time.Minute)
	pick := func() string {
		c, _ := b.Pick(now, "p", balancer.Work{}, nil)
		return c.Endpoint.ID
	}
	got := []string{pick()}
	b.SetLimit(now, "b", 5)
	got = append(got, pick())
	if diff := cmp.Diff([]string{"b", "a"}, got); diff != "" {
		t.Errorf("endpoint while another one has no limit, and while all have one (-want +got):\n%s", diff)
	}
}
