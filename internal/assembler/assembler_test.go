package assembler_test

import (
	"testing"

	"github.com/dragonflycroft/dragonflycroft/internal/assembler"
)

// TestAdd guards against a snapshot that is assembled from a repeated chunk, one out of order, one beyond the total, or chunks of
// two snapshots.
func TestAdd(t *testing.T) {
	var a assembler.Assembly
	for i, c := range []struct {
		index, offset uint64
		data          string
		complete      bool
		received      string
	}{
		{5, 0, "ab", false, "ab"},
		{5, 0, "ab", false, "ab"},
		{5, 3, "d", false, "ab"},
		{5, 2, "cde", false, "ab"},
		{6, 2, "yz", false, ""},
		{6, 0, "wx", false, "wx"},
		{6, 2, "yz", true, "wxyz"},
	} {
		chunk := &assembler.Chunk{Index: c.index, Term: 1, Total: 4, Offset: c.offset, Data: []byte(c.data)}
		if got := a.Add(chunk); got != c.complete || string(a.Received(chunk)) != c.received {
			t.Errorf("chunk %d: complete %v, received %q", i, got, a.Received(chunk))
		}
	}
	if w := a.Take(); w == nil || w.Index != 6 || string(w.Data) != "wxyz" || a.Take() != nil {
		t.Errorf("took %+v", w)
	}
}
