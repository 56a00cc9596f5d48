// Package assembler puts a snapshot together from the chunks in which it arrives.
package assembler

import "github.com/dragonflycroft/dragonflycroft/internal/journaler"

// Chunk is a part of a snapshot.
type Chunk struct {
	Index   uint64
	Term    uint64
	Members journaler.Membership
	Total   uint64
	Offset  uint64
	Data    []byte
}

// Assembly is the snapshot that is arriving; the zero value holds none. It is not safe for concurrent use.
type Assembly struct {
	whole *Chunk // what has arrived; nil before the first chunk
}

// Arrived returns what has arrived of the snapshot that a chunk belongs to, and nil if another one or none is arriving.
func (a *Assembly) Arrived(chunk *Chunk) []byte {
	w := a.whole
	if w == nil || w.Index != chunk.Index || w.Term != chunk.Term || w.Total != chunk.Total {
		return nil
	}
	return w.Data
}

// Add adds a chunk, which begins a new assembly if it belongs to another snapshot; it reports whether the snapshot is
// complete. A chunk that does not follow what has arrived, or exceeds the total, is ignored.
func (a *Assembly) Add(chunk *Chunk) bool {
	have := a.Arrived(chunk)
	if have == nil {
		a.whole = &Chunk{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members, Total: chunk.Total, Data: []byte{}}
	}
	if chunk.Offset != uint64(len(have)) || uint64(len(have)+len(chunk.Data)) > chunk.Total {
		return false
	}
	a.whole.Data = append(a.whole.Data, chunk.Data...)
	return uint64(len(a.whole.Data)) == chunk.Total
}

// Take returns what has arrived as one chunk and forgets it; it returns nil if nothing is arriving.
func (a *Assembly) Take() *Chunk {
	w := a.whole
	a.whole = nil
	return w
}
