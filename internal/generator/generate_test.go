package generator

import (
	"testing"
)

// Guards against traces that lose the properties that make them hard to schedule: output lengths that differ by a factor of
// 100, floods beyond capacity, at most four tiers, and floods of the right tier and caller.
func TestShapes(t *testing.T) {
	for user, p := range profiles() {
		for name := range shapes() {
			t.Run(user+"_"+name, func(t *testing.T) {
				trace, err := Generate(&Scenario{User: user, Shape: name, Seed: 3, DurationMS: 120000, Load: 0.4, FloodFactor: 3})
				if err != nil {
					t.Fatal(err)
				}
				if n := len(trace.Header.Config.Tiers); n > 4 {
					t.Errorf("%d tiers", n)
				}
				shortest, longest, tokens, callers := 1<<30, 0, 0, map[string]bool{}
				for _, r := range trace.Requests {
					if r.OutputTokens > 0 {
						shortest, longest = min(shortest, r.OutputTokens), max(longest, r.OutputTokens)
					}
					if r.Flood {
						tokens += r.OutputTokens
						callers[r.Workspace+"/"+r.Caller] = true
						if r.Tier != trace.Header.Flood.Tier {
							t.Fatalf("flood of tier %s in a flood of tier %s", r.Tier, trace.Header.Flood.Tier)
						}
					}
				}
				if longest < 100*shortest {
					t.Errorf("outputs of %d to %d tokens", shortest, longest)
				}
				flood := trace.Header.Flood
				if flood == nil {
					return
				}
				seconds := float64(flood.ToUS-flood.FromUS) / second
				if rate := float64(tokens) / seconds; rate < 2.5*p.capacity {
					t.Errorf("flood of %.0f tokens/s at a capacity of %.0f", rate, p.capacity)
				}
				if (name == ShapeFloodOneCaller) != (len(callers) == 1) {
					t.Errorf("flood by %d callers", len(callers))
				}
			})
		}
	}
}
