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

// TestPrefixCache checks that a part counts as cached only with all parts before it, and that the least recently used parts are
// evicted, those at the end of a prompt first. An estimate that is too low or too high sends prompts to engines that must
// process them again.
func TestPrefixCache(t *testing.T) {
	c := cacheestimator.New()
	c.Record(prompt(1, 2, 3), 400)
	got := []int{c.CachedPrefixTokens(prompt(1, 2, 9)), c.CachedPrefixTokens(prompt(2, 3)), c.CachedPrefixTokens(prompt(9, 2))}
	c.Record(prompt(1, 4), 400) // full
	c.Record(prompt(5), 400)    // evicts 3, then 2
	got = append(got, c.CachedPrefixTokens(prompt(1, 2, 3)), c.CachedPrefixTokens(prompt(1, 4)))
	c.Record(prompt(6), 400)
	got = append(got, c.CachedPrefixTokens(prompt(1, 2)), c.CachedPrefixTokens(prompt(1, 4)), c.Tokens())
	c.Record(prompt(7), 100)
	got = append(got, c.CachedPrefixTokens(prompt(7)), c.Tokens())
	if diff := cmp.Diff([]int{200, 200, 0, 200, 200, 100, 200, 400, 100, 100}, got); diff != "" {
		t.Errorf("cached tokens (-want +got):\n%s", diff)
	}
}
