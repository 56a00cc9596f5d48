// Package assembler assembles a snapshot from the chunks that a follower receives.
package assembler

import "github.com/dragonflycroft/dragonflycroft/internal/journaler"

// Chunk is a part of a snapshot. Index, Term and Total, the size in bytes, identify the snapshot. Offset is the position of
// Data in it.
type Chunk struct {
	Index   uint64
	Term    uint64
	Members journaler.Membership
	Total   uint64
	Offset  uint64
	Data    []byte
}

// Assembly is a partially received snapshot. The zero value is empty. It is not safe for concurrent use.
type Assembly struct {
	received *Chunk // nil before the first chunk
}

// Received returns the received data of the snapshot that the chunk belongs to, or nil if that is not the snapshot being
// received.
func (a *Assembly) Received(chunk *Chunk) []byte {
	w := a.received
	if w == nil || w.Index != chunk.Index || w.Term != chunk.Term || w.Total != chunk.Total {
		return nil
	}
	return w.Data
}

// Add appends a chunk and reports whether the snapshot is complete. A chunk of another snapshot discards the received data. A
// chunk that does not continue the received data, or exceeds the total, is ignored.
func (a *Assembly) Add(chunk *Chunk) bool {
	data := a.Received(chunk)
	if data == nil {
		a.received = &Chunk{Index: chunk.Index, Term: chunk.Term, Members: chunk.Members, Total: chunk.Total, Data: []byte{}}
	}
	if chunk.Offset != uint64(len(data)) || uint64(len(data)+len(chunk.Data)) > chunk.Total {
		return false
	}
	a.received.Data = append(a.received.Data, chunk.Data...)
	return uint64(len(a.received.Data)) == chunk.Total
}

// Take returns the received data as one chunk and resets the assembly. It returns nil if there is none.
func (a *Assembly) Take() *Chunk {
	w := a.received
	a.received = nil
	return w
}
