package answerer

import (
	"context"
	"expvar"
	"sync"
	"time"
)

// Defaults of a Store.
const (
	DefaultMaxBytes  = 256 << 20
	DefaultRetention = 5 * time.Minute
	// answerOverheadBytes is added to the size of each answer, so that the memory of many empty answers is bounded as well.
	answerOverheadBytes = 512
)

var (
	storeEvicted = expvar.NewInt("answerer_evicted")
	storeExpired = expvar.NewInt("answerer_expired")
)

type workspaceKey struct{ workspace, key string }

// Store holds the answers of an entry host by request id and by idempotency key. Answers in progress are never evicted. Ended
// ones are dropped after the retention time, or earlier, the oldest first, when their total size is above MaxBytes.
type Store struct {
	MaxBytes  int
	Retention time.Duration

	mu     sync.Mutex
	byID   map[string]*Answer
	byKey  map[workspaceKey]*Answer
	ended  []endedAnswer
	bytes  int
	active int
	idle   chan struct{}
}

type endedAnswer struct {
	id     string
	answer *Answer
	bytes  int
	at     time.Time
}

func (s *Store) maxBytes() int {
	if s.MaxBytes > 0 {
		return s.MaxBytes
	}
	return DefaultMaxBytes
}

func (s *Store) retention() time.Duration {
	if s.Retention > 0 {
		return s.Retention
	}
	return DefaultRetention
}

// Add adds an answer in progress under its id and key. When another answer has the same id or key, it returns that one and false.
func (s *Store) Add(a *Answer) (*Answer, bool) {
	m := a.Meta()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]*Answer)
		s.byKey = make(map[workspaceKey]*Answer)
	}
	if existing := s.byID[m.RequestID]; existing != nil {
		return existing, false
	}
	if m.Key != "" {
		k := workspaceKey{m.Workspace, m.Key}
		if existing := s.byKey[k]; existing != nil {
			return existing, false
		}
		s.byKey[k] = a
	}
	s.byID[m.RequestID] = a
	s.active++
	return a, true
}

// Get returns the answer of a request, or nil.
func (s *Store) Get(id string) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// Retain selects how an ended answer can be found.
type Retain int

// The ways to retain an ended answer.
const (
	// RetainNone drops it immediately.
	RetainNone Retain = iota
	// RetainByID keeps it for fetches by id. Its key can be used again, since the request did not run.
	RetainByID
	// RetainByKey keeps it for fetches by id and for requests with the same key.
	RetainByKey
)

// MarkEnded records that the answer which was added under id has ended, and starts its retention time.
func (s *Store) MarkEnded(id string, a *Answer, retain Retain) {
	_, size := a.Len()
	m := a.Meta()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.active == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
	if k := (workspaceKey{m.Workspace, m.Key}); retain != RetainByKey && s.byKey[k] == a {
		delete(s.byKey, k)
	}
	if retain == RetainNone {
		delete(s.byID, id)
		return
	}
	e := endedAnswer{id: id, answer: a, bytes: size + answerOverheadBytes, at: time.Now()}
	s.ended = append(s.ended, e)
	s.bytes += e.bytes
	s.sweep(e.at)
}

// Sweep drops the ended answers whose retention time has passed.
func (s *Store) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(time.Now())
}

func (s *Store) sweep(now time.Time) {
	for len(s.ended) > 0 {
		e := s.ended[0]
		switch {
		case now.Sub(e.at) >= s.retention():
			storeExpired.Add(1)
		case s.bytes > s.maxBytes():
			storeEvicted.Add(1)
		default:
			return
		}
		s.ended = s.ended[1:]
		s.bytes -= e.bytes
		delete(s.byID, e.id)
		m := e.answer.Meta()
		if k := (workspaceKey{m.Workspace, m.Key}); s.byKey[k] == e.answer {
			delete(s.byKey, k)
		}
	}
}

// EndedByKey returns the descriptions of the ended answers of a pool that are retained by an idempotency key.
func (s *Store) EndedByKey(pool string) []Meta {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Meta
	for _, e := range s.ended {
		m := e.answer.Meta()
		if m.Pool == pool && m.Key != "" && s.byKey[workspaceKey{m.Workspace, m.Key}] == e.answer {
			out = append(out, m)
		}
	}
	return out
}

// Active returns the number of answers in progress.
func (s *Store) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// WaitIdle blocks until no answer is in progress.
func (s *Store) WaitIdle(ctx context.Context) error {
	s.mu.Lock()
	if s.active == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-idle:
		return nil
	}
}
