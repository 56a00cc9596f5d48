// Package journaler keeps the part of the replicated log that is in memory, with the memberships in it.
package journaler

import "slices"

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 32

// Log holds the entries after the snapshot, or some before it that are kept for slow followers.
type Log struct {
	// baseIndex and baseTerm are the entry before the first one held.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

// Last returns the index of the last entry.
func (l *Log) Last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// LastTerm returns the term of the last entry.
func (l *Log) LastTerm() uint64 {
	t, _ := l.Term(l.Last())
	return t
}

// Term returns the term of an entry, or false when the entry is not held.
func (l *Log) Term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.Last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// Slice returns entries from index to at most through, at least one and otherwise up to limit bytes.
func (l *Log) Slice(index, through uint64, limit int) []Entry {
	through = min(through, l.Last())
	if index > through || index <= l.baseIndex {
		return nil
	}
	from, to := int(index-l.baseIndex-1), int(through-l.baseIndex)
	size := 0
	for i := from; i < to; i++ {
		size += len(l.entries[i].Data) + entryOverheadBytes
		if size > limit && i > from {
			to = i
			break
		}
	}
	return slices.Clip(l.entries[from:to])
}

// Append adds entries after removing everything from the index of the first one.
func (l *Log) Append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - l.baseIndex - 1)
	if keep < len(l.entries) {
		// A new array, because earlier slices of the old one may still be in use.
		l.entries = slices.Clone(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
}

// Compact drops the entries up to index.
func (l *Log) Compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.Term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
}

// Reset drops all entries; the next one follows the entry given.
func (l *Log) Reset(index, term uint64) {
	*l = Log{baseIndex: index, baseTerm: term}
}

// Hint returns the highest index up to index whose term is at most term.
func (l *Log) Hint(index, term uint64) (uint64, uint64) {
	index = min(index, l.Last())
	for index > l.baseIndex {
		t, _ := l.Term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}

// Base returns the index of the entry before the first one held.
func (l *Log) Base() uint64 { return l.baseIndex }

// Entries returns the entries held. The caller must not change them.
func (l *Log) Entries() []Entry { return l.entries }

// Members returns the newest membership in the log up to an index, and the index of its entry.
func (l *Log) Members(through uint64) (m Membership, index uint64, ok bool) {
	for _, e := range slices.Backward(l.entries) {
		if e.Kind == EntryMembers && e.Index <= through {
			return e.Members, e.Index, true
		}
	}
	return nil, 0, false
}
