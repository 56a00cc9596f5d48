package replicator

import "slices"

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 32

// entryLog holds the entries after the snapshot, or some before it that are kept for slow followers.
type entryLog struct {
	// baseIndex and baseTerm are the entry before the first one held.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry, or false when the entry is not held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns entries from index to at most through, at least one and otherwise up to limit bytes.
func (l *entryLog) slice(index, through uint64, limit int) []Entry {
	through = min(through, l.last())
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

// append adds entries after removing everything from the index of the first one.
func (l *entryLog) append(entries ...Entry) {
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

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
}

func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term}
}

// hint returns the highest index up to index whose term is at most term.
func (l *entryLog) hint(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.baseIndex {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}
