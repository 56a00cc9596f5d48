package cacheestimator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/cacheestimator"
)

func prompt(keys ...uint64) []cacheestimator.Part {
	var out []cacheestimator.Part
	for _, k := range keys {
		out = append(out, cacheestimator.Part{Key: k, Tokens: 100})
	}
	return out
}

// TestMemory checks that a part counts as cached only with all parts before it, and that the least recently used parts are
// evicted, those at the end of a prompt first. An estimate that is too low or too high sends prompts to engines that must
// process them again.
func TestMemory(t *testing.T) {
	m := cacheestimator.New()
	m.Record(prompt(1, 2, 3), 400)
	got := []int{m.CachedPrefixTokens(prompt(1, 2, 9)), m.CachedPrefixTokens(prompt(2, 3)), m.CachedPrefixTokens(prompt(9, 2))}
	m.Record(prompt(1, 4), 400) // full
	m.Record(prompt(5), 400)    // evicts 3, then 2
	got = append(got, m.CachedPrefixTokens(prompt(1, 2, 3)), m.CachedPrefixTokens(prompt(1, 4)))
	m.Record(prompt(6), 400)
	got = append(got, m.CachedPrefixTokens(prompt(1, 2)), m.CachedPrefixTokens(prompt(1, 4)), m.Tokens())
	m.Record(prompt(7), 100)
	got = append(got, m.CachedPrefixTokens(prompt(7)), m.Tokens())
	if diff := cmp.Diff([]int{200, 200, 0, 200, 200, 100, 200, 400, 100, 100}, got); diff != "" {
		t.Errorf("cached tokens (-want +got):\n%s", diff)
	}
}
