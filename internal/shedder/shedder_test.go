package shedder

import "testing"

// Guards against shedding a request of a small caller while a larger caller of the same tier waits, or of the wrong tier.
func TestVictim(t *testing.T) {
	b := NewCandidates[string]()
	big, small := Owner{2, "w", "big"}, Owner{2, "w", "small"}
	weighty := Owner{2, "heavy", "c"}
	b.Add(big, 100, 1, "big1")
	newest := b.Add(big, 100, 1, "big2")
	b.Add(small, 150, 1, "small")
	b.Add(weighty, 300, 4, "weighty")
	b.Add(Owner{1, "w", "big"}, 1e6, 1, "other tier")
	if oldest, v, ok := b.Victims(2); !ok || oldest != "big1" || v != "big2" {
		t.Errorf("victims %q and %q, want those of the caller with the most tokens", oldest, v)
	}
	b.Remove(newest)
	b.Remove(newest)
	if _, v, _ := b.Victims(2); v != "small" {
		t.Errorf("victim %q, want small: the other caller has 100 tokens left", v)
	}
	if _, _, ok := b.Victims(0); ok {
		t.Error("an empty tier has a victim")
	}
}
