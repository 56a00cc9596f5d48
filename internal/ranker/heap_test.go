package ranker

import (
	"cmp"
	"flag"
	"os"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for rapid unless one is given, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.seed" })
	if !set {
		flag.Set("rapid.seed", "20261204")
	}
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against a heap whose order or node indexes are wrong after removals and changes.
func TestHeapKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(cmp.Less[int])
		var nodes []*Node[int]
		for _, op := range rapid.SliceOf(rapid.IntRange(-20, 20)).Draw(t, "ops") {
			switch {
			case op >= 0 || len(nodes) == 0:
				nodes = append(nodes, h.Push(op))
			case op%2 == 0:
				i := -op % len(nodes)
				nodes[i].Value = -op * 7 % 11
				h.Fix(nodes[i])
			default:
				i := -op % len(nodes)
				h.Remove(nodes[i])
				h.Remove(nodes[i])
				nodes = slices.Delete(nodes, i, i+1)
			}
		}
		var want []int
		for _, n := range nodes {
			want = append(want, n.Value)
		}
		slices.Sort(want)
		if diff := gocmp.Diff(want, h.Least(nil, len(want)+1)); diff != "" {
			t.Fatalf("Least (-want +got):\n%s", diff)
		}
		for _, w := range want {
			if n := h.Min(); n.Value != w {
				t.Fatalf("Min %d, want %d", n.Value, w)
			}
			h.Remove(h.Min())
		}
	})
}
