package journaler_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
)

// TestTruncate guards against an append that changes an earlier result of Slice, and against a membership that is still in force
// after its entry was removed.
func TestTruncate(t *testing.T) {
	first := journaler.NewMembership(map[string]string{"b": "2", "a": "1"})
	second := journaler.NewMembership(map[string]string{"c": "3"})
	var l journaler.Log
	l.Reset(4, 1)
	l.Append(
		journaler.Entry{Index: 5, Term: 1, Kind: journaler.EntryMembers, Members: first},
		journaler.Entry{Index: 6, Term: 1},
		journaler.Entry{Index: 7, Term: 2, Kind: journaler.EntryMembers, Members: second},
	)
	before := l.Slice(6, 7, 1<<20)
	if m, at, ok := l.MembershipAt(l.LastIndex()); !ok || at != 7 || cmp.Diff(second, m) != "" {
		t.Errorf("membership %v of entry %d", m, at)
	}
	l.Append(journaler.Entry{Index: 6, Term: 3})
	if before[0].Term != 1 || len(before) != 2 {
		t.Error("Append changed an earlier result of Slice")
	}
	if m, at, ok := l.MembershipAt(l.LastIndex()); !ok || at != 5 || cmp.Diff(first, m) != "" {
		t.Errorf("membership %v of entry %d after truncation", m, at)
	}
	if index, term := l.FindConflictByTerm(9, 2); index != 5 || term != 1 {
		t.Errorf("hint %d of term %d", index, term)
	}
	l.Compact(6)
	if _, ok := l.Term(5); ok || l.BaseIndex() != 6 || l.LastTerm() != 3 || l.Slice(6, 6, 1) != nil {
		t.Error("a compacted entry is still in the log")
	}
}
