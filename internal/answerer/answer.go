// Package answerer stores the answers of requests in bounded memory, while they are produced and for a time afterwards.
package answerer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Outcome is the result of a request that is reported to its caller.
type Outcome string

// The outcomes that are reported to callers. Unknown means that the request may have run.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
	Refused Outcome = "refused"
)

// Kinds of requests.
const (
	KindChat    = "chat"
	KindService = "service"
)

// End is the final state of an answer.
type End struct {
	Outcome    Outcome
	Reason     string
	Message    string
	RetryAfter time.Duration
	Usage      *connector.Usage
	// Response is the complete response of a plain service.
	Response *connector.Response
}

// Meta describes the request that an answer belongs to.
type Meta struct {
	RequestID, Workspace, Key, Digest string
	Kind, Model, Pool                 string
	Created                           time.Time
}

// chunkOverheadBytes is added to the size of each chunk, so that the memory of many short chunks is bounded as well.
const chunkOverheadBytes = 16

// IndexError reports a chunk that does not continue the answer: a gap or a repeated chunk.
type IndexError struct {
	RequestID string
	Got, Want int
}

// Error implements error.
func (e *IndexError) Error() string {
	return fmt.Sprintf("answer of %s: received chunk %d, want chunk %d", e.RequestID, e.Got, e.Want)
}

// Answer is one answer, in progress or ended. It may be read by several readers at once.
type Answer struct {
	mu            sync.Mutex
	meta          Meta
	chunks        []string
	bytes         int
	identityFinal bool
	end           *End
	endedAt       time.Time
	changed       chan struct{}
	readers       int
	// onReadersChange is called without mu held when the number of readers changes from or to zero.
	onReadersChange func()
}

// New returns an empty answer. onReadersChange is called when the number of readers changes from or to zero; it may be nil.
func New(meta Meta, onReadersChange func()) *Answer {
	return &Answer{meta: meta, changed: make(chan struct{}), onReadersChange: onReadersChange}
}

// Meta returns the description of the request.
func (a *Answer) Meta() Meta {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.meta
}

// AdoptIdentity replaces the identity of the answer by that of the request whose answer it copies.
func (a *Answer) AdoptIdentity(id, kind, model string, created time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meta.RequestID, a.meta.Kind, a.meta.Model, a.meta.Created = id, kind, model, created
	a.notifyWaiters()
}

// FinalizeIdentity marks the identity as final, which ends WaitIdentity.
func (a *Answer) FinalizeIdentity() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.identityFinal = true
	a.notifyWaiters()
}

func (a *Answer) notifyWaiters() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Append adds the chunk with the next index. It returns an *IndexError for another index and after the end.
func (a *Answer) Append(index int, text string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index != len(a.chunks) || a.end != nil {
		return &IndexError{RequestID: a.meta.RequestID, Got: index, Want: len(a.chunks)}
	}
	a.chunks = append(a.chunks, text)
	a.bytes += len(text) + chunkOverheadBytes
	a.identityFinal = true
	a.notifyWaiters()
	return nil
}

// Len returns the number of chunks and the bytes counted for them and for the response of a plain service.
func (a *Answer) Len() (chunks, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.chunks), a.bytes
}

// Finish ends the answer. It returns false and changes nothing when the answer had already ended.
func (a *Answer) Finish(e End) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return false
	}
	a.end, a.endedAt, a.identityFinal = &e, time.Now(), true
	if e.Response != nil {
		a.bytes += len(e.Response.Body)
	}
	a.notifyWaiters()
	return true
}

// End returns the final state, or nil while the answer is in progress.
func (a *Answer) End() *End {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end
}

// Readers returns the number of open readers.
func (a *Answer) Readers() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers
}

// waitUntil blocks until ready, which is called with mu held, returns true, or until ctx ends.
func (a *Answer) waitUntil(ctx context.Context, ready func() bool) error {
	for {
		a.mu.Lock()
		ok, changed := ready(), a.changed
		a.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// WaitIdentity blocks until the identity of the answer (id, kind, model and time) is final.
func (a *Answer) WaitIdentity(ctx context.Context) error {
	return a.waitUntil(ctx, func() bool { return a.identityFinal })
}

// WaitStarted blocks until the first chunk or the end.
func (a *Answer) WaitStarted(ctx context.Context) error {
	return a.waitUntil(ctx, func() bool { return len(a.chunks) > 0 || a.end != nil })
}

// WaitWhole blocks until the answer has ended and returns its text and final state.
func (a *Answer) WaitWhole(ctx context.Context) (string, End, error) {
	if err := a.waitUntil(ctx, func() bool { return a.end != nil }); err != nil {
		return "", End{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	text := make([]byte, 0, a.bytes)
	for _, c := range a.chunks {
		text = append(text, c...)
	}
	return string(text), *a.end, nil
}

// Reader reads one answer in order.
type Reader struct {
	answer *Answer
	next   int
	once   sync.Once
}

// Chunk is one part of an answer as a reader receives it.
type Chunk struct {
	Index int
	Text  string
}

// NewReader returns a reader that starts at chunk index from. The caller must close it.
func (a *Answer) NewReader(from int) *Reader {
	a.mu.Lock()
	a.readers++
	first := a.readers == 1
	a.mu.Unlock()
	if first && a.onReadersChange != nil {
		a.onReadersChange()
	}
	return &Reader{answer: a, next: from}
}

// Next waits for the next chunk and returns it, or returns the final state after the last chunk.
func (r *Reader) Next(ctx context.Context) (*Chunk, *End, error) {
	a := r.answer
	if err := a.waitUntil(ctx, func() bool { return r.next < len(a.chunks) || a.end != nil }); err != nil {
		return nil, nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.next < len(a.chunks) {
		c := &Chunk{Index: r.next, Text: a.chunks[r.next]}
		r.next++
		return c, nil, nil
	}
	return nil, a.end, nil
}

// Close detaches the reader from the answer. It may be called more than once.
func (r *Reader) Close() {
	r.once.Do(func() {
		a := r.answer
		a.mu.Lock()
		a.readers--
		last := a.readers == 0
		a.mu.Unlock()
		if last && a.onReadersChange != nil {
			a.onReadersChange()
		}
	})
}
