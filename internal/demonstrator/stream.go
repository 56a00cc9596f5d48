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

// stream reads a streamed answer and measures the time to the first token and the mean gap after it.
func (r *result) stream(resp *http.Response, began time.Time) (string, error) {
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
		r.gap = (last.Sub(began) - r.firstToken) / time.Duration(chunks-1)
	}
	return text.String(), scanner.Err()
}

// row counts the results of a tier.
type row struct {
	offered, done, within, shed, limited, notRun, unknown, withdrawn, tokens int
	first, gaps                                                              []time.Duration
}

// p95 formats the value that 95 in 100 do not exceed.
func p95(values []time.Duration) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	return fmt.Sprintf("%d ms", values[min(len(values)*95/100, len(values)-1)].Milliseconds())
}

func (r *result) within(t configurer.Tier) bool {
	if r.outcome != "done" {
		return false
	}
	target := time.Duration(t.FirstTokenTargetMS) * time.Millisecond
	gap := time.Duration(t.TokenGapTargetMS) * time.Millisecond
	return r.order != "" || (target == 0 || r.firstToken <= target) && (gap == 0 || r.gap <= gap)
}

func (w *row) add(r *result, t configurer.Tier) {
	w.offered++
	switch {
	case r.withdrawn:
		w.withdrawn++
	case r.outcome == "done":
		w.done++
		w.tokens += r.tokens
		if r.order == "" {
			w.first, w.gaps = append(w.first, r.firstToken), append(w.gaps, r.gap)
		}
	case r.reason == "overload" || r.reason == "patience" || r.reason == "deadline" && r.outcome == "refused":
		w.shed++
	case r.reason == "limit":
		w.limited++
	case r.outcome == "not_run" || r.outcome == "refused":
		w.notRun++
	default:
		w.unknown++
	}
	if r.within(t) {
		w.within++
	}
}

// table formats the counts by tier, and the totals of lost, duplicated and shed requests.
func (f *flood) table(records *standin.Records) string {
	rows := make(map[string]*row)
	lost := 0
	for i := range f.results {
		r := &f.results[i]
		if rows[r.tier] == nil {
			rows[r.tier] = &row{}
		}
		for _, t := range f.d.cfg.Tiers {
			if t.Name == r.tier {
				rows[r.tier].add(r, t)
			}
		}
		if r.wrong || r.outcome == "" && !r.withdrawn {
			lost++
		}
	}
	var out strings.Builder
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "tier\toffered\tdone\twithin targets\tgoodput\tshed\tlimited\tnot run\tunknown\twithdrawn\tfirst token p95\tgap p95\ttokens/s\t")
	shed := 0
	for _, t := range f.d.cfg.Tiers {
		c := rows[t.Name]
		if c == nil {
			continue
		}
		shed += c.shed
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%.0f\t\n", t.Name, c.offered, c.done, c.within,
			100*float64(c.within)/float64(c.offered), c.shed, c.limited, c.notRun, c.unknown, c.withdrawn,
			p95(c.first), p95(c.gaps), float64(c.tokens)/f.elapsed.Seconds())
	}
	_ = w.Flush()
	_, _ = fmt.Fprintf(&out, "lost %d, duplicated %d, shed %d\n", lost, duplicated(records), shed)
	return out.String()
}

// duplicated counts requests that were dispatched and orders that ran more than once.
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
