package demonstrator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/standin"
)

// readStream reads a streamed response, and measures the time to the first token and the mean gap between later ones.
func (r *result) readStream(resp *http.Response, began time.Time) (string, error) {
	var text strings.Builder
	r.outcome = ""
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, 1<<20)
	chunks, last := 0, began
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		data = strings.TrimSpace(data)
		if !ok || data == "[DONE]" {
			continue
		}
		var wire struct {
			Outcome string `json:"outcome"`
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error struct {
				Reason string `json:"reason"`
			} `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &wire); err != nil {
			return text.String(), err
		}
		if wire.Outcome != "" {
			r.outcome, r.reason = wire.Outcome, wire.Error.Reason
		}
		if len(wire.Choices) == 0 || wire.Choices[0].Delta.Content == "" {
			continue
		}
		last = time.Now()
		if chunks++; chunks == 1 {
			r.firstToken = last.Sub(began)
		}
		text.WriteString(wire.Choices[0].Delta.Content)
	}
	if chunks > 1 {
		r.meanGap = (last.Sub(began) - r.firstToken) / time.Duration(chunks-1)
	}
	return text.String(), scanner.Err()
}

// tierCounts counts the results of a tier.
type tierCounts struct {
	offered, done, within, shed, limited, notRun, unknown, withdrawn, tokens int
	first, gaps                                                              []time.Duration
}

// p95 formats the 95th percentile of values in milliseconds.
func p95(values []time.Duration) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	return fmt.Sprintf("%d ms", values[min(len(values)*95/100, len(values)-1)].Milliseconds())
}

func (r *result) meetsTargets(t configurer.Tier) bool {
	if r.outcome != "done" {
		return false
	}
	target := time.Duration(t.FirstTokenTargetMS) * time.Millisecond
	gap := time.Duration(t.TokenGapTargetMS) * time.Millisecond
	return r.orderKey != "" || (target == 0 || r.firstToken <= target) && (gap == 0 || r.meanGap <= gap)
}

func (c *tierCounts) add(r *result, t configurer.Tier) {
	c.offered++
	switch {
	case r.withdrawn:
		c.withdrawn++
	case r.outcome == "done":
		c.done++
		c.tokens += r.tokens
		if r.orderKey == "" {
			c.first, c.gaps = append(c.first, r.firstToken), append(c.gaps, r.meanGap)
		}
	case r.reason == "overload" || r.reason == "patience" || r.reason == "deadline" && r.outcome == "refused":
		c.shed++
	case r.reason == "limit":
		c.limited++
	case r.outcome == "not_run" || r.outcome == "refused":
		c.notRun++
	default:
		c.unknown++
	}
	if r.meetsTargets(t) {
		c.within++
	}
}

// formatTable formats the counts by tier, and the totals of lost, duplicated and shed requests.
func (g *loadGenerator) formatTable(records *standin.Records) string {
	rows := make(map[string]*tierCounts)
	lost := 0
	for i := range g.results {
		r := &g.results[i]
		if rows[r.tier] == nil {
			rows[r.tier] = &tierCounts{}
		}
		for _, t := range g.demo.cfg.Tiers {
			if t.Name == r.tier {
				rows[r.tier].add(r, t)
			}
		}
		if r.corrupted || r.outcome == "" && !r.withdrawn {
			lost++
		}
	}
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "tier\toffered\tdone\twithin targets\tgoodput\tshed\tlimited\tnot run\tunknown\twithdrawn\tfirst token p95\tgap p95\ttokens/s\t")
	shed := 0
	for _, t := range g.demo.cfg.Tiers {
		c := rows[t.Name]
		if c == nil {
			continue
		}
		shed += c.shed
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%.0f\t\n", t.Name, c.offered, c.done, c.within,
			100*float64(c.within)/float64(c.offered), c.shed, c.limited, c.notRun, c.unknown, c.withdrawn,
			p95(c.first), p95(c.gaps), float64(c.tokens)/g.elapsed.Seconds())
	}
	_ = w.Flush()
	_, _ = fmt.Fprintf(&out, "lost %d, duplicated %d, shed %d\n", lost, duplicated(records), shed)
	return out.String()
}

// duplicated returns the number of requests that were dispatched more than once and of orders that ran more than once.
func duplicated(records *standin.Records) int {
	n := 0
	for _, counts := range []map[string]int{records.Dispatches(), records.Executions()} {
		for _, c := range counts {
			if c > 1 {
				n++
			}
		}
	}
	return n
}
