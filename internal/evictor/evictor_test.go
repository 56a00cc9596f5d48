package evictor_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/evictor"
)

// Guards against evicting an entry that is in use while older ones are kept.
func TestLeastRecentlyUsedIsEvicted(t *testing.T) {
	m := evictor.New[string, int](2)
	*m.Put("a") = 1
	*m.Put("b") = 2
	m.Get("a")
	*m.Put("c") = 3
	got := []any{m.Get("a") != nil, m.Get("b") != nil, *m.Get("c"), m.Len()}
	m.Remove("c")
	got = append(got, m.Get("c") == nil, m.Len())
	if diff := cmp.Diff([]any{true, false, 3, 2, true, 1}, got); diff != "" {
		t.Errorf("used entry kept, unused entry kept, value, length, removed, length (-want +got):\n%s", diff)
	}
}
