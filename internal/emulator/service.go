package emulator

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Service models one plain service instance: calls in arrival order, a bounded number at once. It is not safe for
// concurrent use.
type Service struct {
	limit   int
	speed   float64
	queue   []Job
	running []call
}

type call struct {
	id  string
	end time.Duration
}

// NewService returns an idle instance that runs at most maxConcurrent calls at once.
func NewService(maxConcurrent int) *Service {
	return &Service{limit: max(1, maxConcurrent), speed: 1}
}

// Submit adds a call that takes j.Work at nominal speed.
func (s *Service) Submit(now time.Duration, j Job) {
	s.queue = append(s.queue, j)
	s.start(now)
}

// Cancel ends a call; plain services do no prefill.
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

// Next returns the end of the first call in progress to finish, and false when the instance is idle.
func (s *Service) Next() (time.Duration, bool) {
	i := s.first()
	if i < 0 {
		return 0, false
	}
	return s.running[i].end, true
}

// Advance ends all calls that finish by now and returns them in order.
func (s *Service) Advance(now time.Duration) []Output {
	var outputs []Output
	for i := s.first(); i >= 0 && s.running[i].end <= now; i = s.first() {
		c := s.running[i]
		s.running = append(s.running[:i], s.running[i+1:]...)
		outputs = append(outputs, Output{ID: c.id, At: c.end, Tokens: 1, First: true, Done: true})
		s.start(c.end)
	}
	return outputs
}

// SetSpeed changes the speed of the calls that start from now on.
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

// Load returns the running and waiting calls.
func (s *Service) Load() (running, waiting, tokens int) { return len(s.running), len(s.queue), 0 }

// TakeCacheEvents returns nothing, since plain services have no prefix cache.
func (s *Service) TakeCacheEvents() []connector.CacheEvent { return nil }

func (s *Service) first() int {
	first := -1
	for i := range s.running {
		if first < 0 || s.running[i].end < s.running[first].end {
			first = i
		}
	}
	return first
}

func (s *Service) start(now time.Duration) {
	for len(s.running) < s.limit && len(s.queue) > 0 {
		work := time.Duration(float64(s.queue[0].Work) / s.speed)
		s.running = append(s.running, call{id: s.queue[0].ID, end: now + max(1, work)})
		s.queue = s.queue[1:]
	}
}
