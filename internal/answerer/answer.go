// Package answerer keeps the answers of requests in bounded memory while and after they are produced.
package answerer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Outcome is what the system states about a request.
type Outcome string

// The outcomes that callers see.
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
	// Response is the whole answer of a plain service.
	Response *connector.Response
}

// Meta describes the request that an answer belongs to.
type Meta struct {
	RequestID, Workspace, Key, Digest string
	Kind, Model, Pool                 string
	Created                           time.Time
}

// chunkOverheadBytes is counted for each chunk, so that many short ones are bounded as well.
const chunkOverheadBytes = 16

// IndexError reports a chunk that does not continue the answer: a gap or a repeated chunk.
type IndexError struct {
	RequestID string
	Got, Want int
}

// Error implements error.
func (e *IndexError) Error() string {
	return fmt.Sprintf("answer of %s: chunk %d arrived where chunk %d follows", e.RequestID, e.Got, e.Want)
}

// Answer is one answer, in progress or ended. It may be read by several readers at once.
type Answer struct {
	mu      sync.Mutex
	meta    Meta
	chunks  []string
	bytes   int
	settled bool
	end     *End
	endedAt time.Time
	changed chan struct{}
	readers int
	// onReaders is called without the lock when the number of readers has become zero or left zero.
	onReaders func()
}

// New returns an empty answer. onReaders may be nil.
func New(meta Meta, onReaders func()) *Answer {
	return &Answer{meta: meta, changed: make(chan struct{}), onReaders: onReaders}
}

// Meta returns the description of the request.
func (a *Answer) Meta() Meta {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.meta
}

// Follow replaces the identity by that of the request whose answer this one follows.
func (a *Answer) Follow(id, kind, model string, created time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.meta.RequestID, a.meta.Kind, a.meta.Model, a.meta.Created = id, kind, model, created
	a.notify()
}

// Settle states that the identity is final.
func (a *Answer) Settle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settled = true
	a.notify()
}

func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Append adds the chunk with the next index.
func (a *Answer) Append(index int, text string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index != len(a.chunks) || a.end != nil {
		return &IndexError{RequestID: a.meta.RequestID, Got: index, Want: len(a.chunks)}
	}
	a.chunks = append(a.chunks, text)
	a.bytes += len(text) + chunkOverheadBytes
	a.settled = true
	a.notify()
	return nil
}

// Len returns the number of chunks and their bytes.
func (a *Answer) Len() (chunks, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.chunks), a.bytes
}

// Finish ends the answer. It returns false when it had ended before.
func (a *Answer) Finish(e End) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return false
	}
	a.end, a.endedAt, a.settled = &e, time.Now(), true
	if e.Response != nil {
		a.bytes += len(e.Response.Body)
	}
	a.notify()
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

// wait blocks until ready returns true under the lock.
func (a *Answer) wait(ctx context.Context, ready func() bool) error {
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

// WaitSettled blocks until the identity of the answer is final.
func (a *Answer) WaitSettled(ctx context.Context) error {
	return a.wait(ctx, func() bool { return a.settled })
}

// WaitBegun blocks until the first chunk or the end.
func (a *Answer) WaitBegun(ctx context.Context) error {
	return a.wait(ctx, func() bool { return len(a.chunks) > 0 || a.end != nil })
}

// Whole blocks until the answer has ended and returns its text and final state.
func (a *Answer) Whole(ctx context.Context) (string, End, error) {
	if err := a.wait(ctx, func() bool { return a.end != nil }); err != nil {
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

// Read returns a reader that starts at chunk index from. Close it.
func (a *Answer) Read(from int) *Reader {
	a.mu.Lock()
	a.readers++
	first := a.readers == 1
	a.mu.Unlock()
	if first && a.onReaders != nil {
		a.onReaders()
	}
	return &Reader{answer: a, next: from}
}

// Next returns the next chunk, or the final state after the last one.
func (r *Reader) Next(ctx context.Context) (*Chunk, *End, error) {
	a := r.answer
	if err := a.wait(ctx, func() bool { return r.next < len(a.chunks) || a.end != nil }); err != nil {
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

// Close detaches the reader.
func (r *Reader) Close() {
	r.once.Do(func() {
		a := r.answer
		a.mu.Lock()
		a.readers--
		last := a.readers == 0
		a.mu.Unlock()
		if last && a.onReaders != nil {
			a.onReaders()
		}
	})
}
