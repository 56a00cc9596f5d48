// Package journaler implements the in-memory part of the replicated log and defines its entries and memberships.
package journaler

import "slices"

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 32

// Log holds the entries after the snapshot, and possibly some before it that are kept for slow followers.
type Log struct {
	// baseIndex and baseTerm are index and term of the entry before the first one in the log.
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
}

// LastIndex returns the index of the last entry.
func (l *Log) LastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// LastTerm returns the term of the last entry.
func (l *Log) LastTerm() uint64 {
	t, _ := l.Term(l.LastIndex())
	return t
}

// Term returns the term of an entry, or false if it is neither in the log nor directly before it.
func (l *Log) Term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.LastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// Slice returns the entries from index to through, both inclusive, but no more than limit bytes of them after the first one. It
// returns nil if the range is empty or starts before the log.
func (l *Log) Slice(index, through uint64, limit int) []Entry {
	through = min(through, l.LastIndex())
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

// Append adds entries. It first removes those in the log from the index of the first new one on.
func (l *Log) Append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - l.baseIndex - 1)
	if keep < len(l.entries) {
		// Copied, because results of Slice may still refer to the old array.
		l.entries = slices.Clone(l.entries[:keep])
	}
	l.entries = append(l.entries, entries...)
}

// Compact removes the entries up to and including index.
func (l *Log) Compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.Term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm = index, term
}

// Reset removes all entries. The next entry to append is the one after the given index and term.
func (l *Log) Reset(index, term uint64) {
	*l = Log{baseIndex: index, baseTerm: term}
}

// FindConflictByTerm returns the highest index, not above the given one, whose term is at most the given term, and its term. A
// leader and a follower whose logs differ use it to skip a whole term at a time. If there is none it returns the base of the log.
func (l *Log) FindConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.LastIndex())
	for index > l.baseIndex {
		t, _ := l.Term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.baseIndex, l.baseTerm
}

// BaseIndex returns the index of the entry before the first one in the log.
func (l *Log) BaseIndex() uint64 { return l.baseIndex }

// Entries returns all entries in the log. The caller must not change them.
func (l *Log) Entries() []Entry { return l.entries }

// MembershipAt returns the newest membership in the log up to the index through, and the index of its entry. It returns false if
// the log has none up to there.
func (l *Log) MembershipAt(through uint64) (m Membership, index uint64, ok bool) {
	for _, e := range slices.Backward(l.entries) {
		if e.Kind == EntryMembers && e.Index <= through {
			return e.Members, e.Index, true
		}
	}
	return nil, 0, false
}
