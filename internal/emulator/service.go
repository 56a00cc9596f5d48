package emulator

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Service models an instance of a plain service that runs a bounded number of calls at once, in the order of their arrival. It
// is not safe for concurrent use.
type Service struct {
	maxConcurrent int
	speed         float64
	queue         []Job
	running       []runningCall
}

type runningCall struct {
	id  string
	end time.Duration
}

// NewService returns an idle instance that runs at most maxConcurrent calls at once.
func NewService(maxConcurrent int) *Service {
	return &Service{maxConcurrent: max(1, maxConcurrent), speed: 1}
}

// Submit adds a call that takes j.Work at nominal speed. It starts at once when fewer than the maximum are running.
func (s *Service) Submit(now time.Duration, j Job) {
	s.queue = append(s.queue, j)
	s.start(now)
}

// Cancel ends a call, and returns false when it is unknown. wastedPrefill is 0, since plain services do no prefill.
func (s *Service) Cancel(now time.Duration, id string) (wastedPrefill int, ok bool) {
	for i, j := range s.queue {
		if j.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return 0, true
		}
	}
	for i, c := range s.running {
		if c.id == id {
			s.running = append(s.running[:i], s.running[i+1:]...)
			s.start(now)
			return 0, true
		}
	}
	return 0, false
}

// Next returns the time at which the next running call finishes, and false when the instance is idle.
func (s *Service) Next() (time.Duration, bool) {
	i := s.nextToFinish()
	if i < 0 {
		return 0, false
	}
	return s.running[i].end, true
}

// Advance ends all calls that finish by now and returns their outputs in order.
func (s *Service) Advance(now time.Duration) []Output {
	var outputs []Output
	for i := s.nextToFinish(); i >= 0 && s.running[i].end <= now; i = s.nextToFinish() {
		c := s.running[i]
		s.running = append(s.running[:i], s.running[i+1:]...)
		outputs = append(outputs, Output{ID: c.id, At: c.end, Tokens: 1, First: true, Done: true})
		s.start(c.end)
	}
	return outputs
}

// SetSpeed changes the speed of the calls that start after it to factor of the nominal speed. A factor that is not positive
// is ignored.
func (s *Service) SetSpeed(_ time.Duration, factor float64) {
	if factor > 0 {
		s.speed = factor
	}
}

// Crash drops all calls and returns their ids.
func (s *Service) Crash(time.Duration) (lost []string) {
	for _, c := range s.running {
		lost = append(lost, c.id)
	}
	for _, j := range s.queue {
		lost = append(lost, j.ID)
	}
	s.running, s.queue = nil, nil
	return lost
}

// Load returns the numbers of running and waiting calls; tokens is 0.
func (s *Service) Load() (running, waiting, tokens int) { return len(s.running), len(s.queue), 0 }

// TakeCacheEvents returns nothing, since plain services have no prefix cache.
func (s *Service) TakeCacheEvents() []connector.CacheEvent { return nil }

func (s *Service) nextToFinish() int {
	first := -1
	for i := range s.running {
		if first < 0 || s.running[i].end < s.running[first].end {
			first = i
		}
	}
	return first
}

func (s *Service) start(now time.Duration) {
	for len(s.running) < s.maxConcurrent && len(s.queue) > 0 {
		work := time.Duration(float64(s.queue[0].ServiceTime) / s.speed)
		s.running = append(s.running, runningCall{id: s.queue[0].ID, end: now + max(1, work)})
		s.queue = s.queue[1:]
	}
}
