package comparer

import (
	"fmt"
	"io"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/auditor"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/scorer"
)

// WriteTable writes all measures as one Markdown table. Values per tier are listed from the most urgent to the least urgent.
func WriteTable(w io.Writer, rows []*Row) error {
	var b strings.Builder
	b.WriteString("| trace | policy | goodput % | prompt % | answered % | first token p50 ms | first token p95 ms | gap p50 ms | gap p95 ms |" +
		" wasted prefill % | kept share % | small goodput % | small ratio | fairness | service % | shed | cut | breaches | Kessler | Gramofon |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		m := r.Measures
		tiers := func(format string, value func(t *scorer.Tier) float64) string { return perTier(m, format, value) }
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %.1f | %s | %.1f | %.2f | %.3f | %.1f | %d | %d | %s | %.1f | %.1f |\n",
			r.Trace, r.Policy,
			tiers("%.0f", func(t *scorer.Tier) float64 { return 100 * t.Goodput }),
			tiers("%.0f", func(t *scorer.Tier) float64 { return 100 * t.OnTime }),
			tiers("%.0f", func(t *scorer.Tier) float64 { return 100 * t.Answered }),
			tiers("%.0f", func(t *scorer.Tier) float64 { return t.FirstP50MS }),
			tiers("%.0f", func(t *scorer.Tier) float64 { return t.FirstP95MS }),
			tiers("%.0f", func(t *scorer.Tier) float64 { return t.GapP50MS }),
			tiers("%.0f", func(t *scorer.Tier) float64 { return t.GapP95MS }),
			100*m.WastedPrefill,
			tiers("%.0f", func(t *scorer.Tier) float64 { return 100 * t.KeptShare }),
			100*m.SmallGoodput, m.SmallRatio, m.Fairness, 100*m.WeightedService,
			r.Result.Refusals[scheduler.RefuseOverload]+r.Result.Refusals[scheduler.RefusePatience]+r.Result.Refusals[scheduler.RefuseDeadline], r.Result.CancelledRuns, breaches(r),
			m.Kessler, m.Gramofon)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func perTier(m *scorer.Measures, format string, value func(t *scorer.Tier) float64) string {
	parts := make([]string, len(m.Tiers))
	for i := range m.Tiers {
		parts[i] = fmt.Sprintf(format, value(&m.Tiers[i]))
	}
	return strings.Join(parts, " ")
}

func breaches(r *Row) string {
	var parts []string
	for _, rule := range auditor.Rules() {
		if n := r.Result.Breaches[rule]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", rule, n))
		}
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}
