package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// fragileService is an endpoint of a plain service that rejects requests for want of room.
type fragileService struct {
	slots chan struct{}

	mu      sync.Mutex
	running int
	// queue is the number of requests that it lets wait, and rejectedAt the times of its rejections.
	queue      int
	rejectedAt []time.Time
}

// run runs a request for a time. It returns false if the endpoint rejects it.
func (s *fragileService) run(work time.Duration) bool {
	s.mu.Lock()
	if s.running >= cap(s.slots)+s.queue {
		s.rejectedAt = append(s.rejectedAt, time.Now())
		s.mu.Unlock()
		return false
	}
	s.running++
	s.mu.Unlock()
	s.slots <- struct{}{}
	time.Sleep(work)
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	return true
}

// mostRejections returns the largest number of rejections within a second.
func (s *fragileService) mostRejections() int {
	most := 0
	for i := range s.rejectedAt {
		n := 0
		for _, at := range s.rejectedAt[i:] {
			if at.Sub(s.rejectedAt[i]) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against endpoints that fail because they must reject many requests in a second: an overload fills their queues, and they let
// fewer requests wait than before. It comes four seconds after they have said so, or without a word.
func TestRejectionsOfBrittleEndpoints(t *testing.T) {
	for _, test := range []struct {
		name   string
		stated bool
		queue  int
		most   int
	}{
		{"stated, none may wait", true, 0, 0},
		{"stated, one may wait", true, 1, 0},
		{"not stated, none may wait", false, 0, 4},
		{"not stated, two may wait", false, 2, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const slots, endpoints, work = 6, 3, 30 * time.Millisecond
				b := balancer.New("z")
				var list []balancer.Endpoint
				services := map[string]*fragileService{}
				for i := range endpoints {
					id := fmt.Sprintf("e%d", i)
					list = append(list, balancer.Endpoint{ID: id, Addr: id, Zone: "z", Pool: "p", Slots: slots})
					services[id] = &fragileService{slots: make(chan struct{}, slots), queue: 24}
				}
				b.SetEndpoints(time.Now(), list)
				a := admitter.New(b)
				random := rand.New(rand.NewPCG(1, 36))
				began, served := time.Now(), 0
				var mu sync.Mutex
				var wg sync.WaitGroup
				// Twice what the endpoints can do.
				perSecond := 2 * float64(slots*endpoints) / work.Seconds()
				for shrunk := false; time.Since(began) < 12*time.Second; {
					time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
					if since := time.Since(began); since > 2*time.Second && test.stated {
						a.Update(func(b *balancer.Balancer) {
							for id := range services {
								b.MarkBrittle(time.Now(), id)
							}
						})
					}
					if !shrunk && time.Since(began) > 6*time.Second {
						shrunk = true
						for _, s := range services {
							s.mu.Lock()
							s.queue = test.queue
							s.mu.Unlock()
						}
					}
					wg.Go(func() {
						g, err := a.Acquire(t.Context(), admitter.Request{Pool: "p", Patience: 90 * time.Millisecond})
						if err != nil {
							return
						}
						if !services[g.Choice.Endpoint.ID].run(work) {
							g.EndRejected(time.Now())
							return
						}
						g.End(time.Now(), false)
						mu.Lock()
						defer mu.Unlock()
						served++
					})
				}
				wg.Wait()
				for id, s := range services {
					if n := s.mostRejections(); n > test.most {
						t.Errorf("%s rejected %d requests within a second, want at most %d", id, n, test.most)
					}
				}
				if possible := int(12 * perSecond / 2); served < possible*9/10 {
					t.Errorf("%d requests were served, %d are possible", served, possible)
				}
			})
		})
	}
}
