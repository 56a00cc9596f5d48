// Package scorer computes the measures of a replay and the two users' scores.
package scorer

import (
	"math"
	"slices"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/replayer"
	"github.com/dragonflycroft/dragonflycroft/internal/tracer"
)

// Tier holds the measures of one tier. Times are milliseconds.
type Tier struct {
	Name     string `json:"name"`
	Order    int    `json:"order"`
	Requests int    `json:"requests"`
	// Goodput is the share of requests answered in full within the targets.
	Goodput float64 `json:"goodput"`
	// Answered is the share of requests answered in full.
	Answered float64 `json:"answered"`
	// Prompt is the share of the requests that were not part of the flood and met the first-token and the gap target.
	Prompt     float64 `json:"prompt"`
	FirstP50MS float64 `json:"first_p50_ms"`
	FirstP95MS float64 `json:"first_p95_ms"`
	GapP50MS   float64 `json:"gap_p50_ms"`
	GapP95MS   float64 `json:"gap_p95_ms"`
	// KeptShare is what the tier keeps of its configured share, or of its demand when that is less, in a flood of
	// another tier.
	KeptShare float64 `json:"kept_share"`
}

// Measures are the figures of one replay.
type Measures struct {
	Tiers         []Tier  `json:"tiers"`
	WastedPrefill float64 `json:"wasted_prefill"`
	// SmallGoodput is the goodput of the callers that are not large, outside the flood's requests.
	SmallGoodput float64 `json:"small_goodput"`
	// SmallRatio is SmallGoodput relative to the same trace without the flood; 1 when the trace has no flood.
	SmallRatio float64 `json:"small_ratio"`
	// Fairness is Jain's index over the callers' goodput.
	Fairness float64 `json:"fairness"`
	// KeptShare is the least of the tiers' kept shares; 1 when the trace has no flood.
	KeptShare float64 `json:"kept_share"`
	// WeightedService is the value of the answered requests relative to all, weighted by kind of work.
	WeightedService float64 `json:"weighted_service"`
	Kessler         float64 `json:"kessler_score"`
	Gramofon        float64 `json:"gramofon_score"`
}

// Measure computes the measures of a replay. Quiet is the replay of the same trace without the flood, or nil.
func Measure(h *tracer.Header, r, quiet *replayer.Result) *Measures {
	m := &Measures{SmallRatio: 1, KeptShare: 1}
	targets := tierTargets(h.Config)
	for _, t := range targets {
		m.Tiers = append(m.Tiers, measureTier(t, r.Records))
	}
	if r.PrefillTokens > 0 {
		m.WastedPrefill = float64(r.WastedPrefillTokens) / float64(r.PrefillTokens)
	}
	m.SmallGoodput = smallGoodput(h, r.Records)
	if quiet != nil {
		if base := smallGoodput(h, quiet.Records); base > 0 {
			m.SmallRatio = m.SmallGoodput / base
		}
	}
	m.Fairness = fairness(h, r.Records)
	if h.Flood != nil {
		keptShares(h, r.Records, m)
	}
	m.WeightedService = weightedService(h, r.Records)
	m.score()
	return m
}

func tierTargets(c *configurer.Config) []configurer.Tier {
	tiers := slices.Clone(c.Tiers)
	slices.SortFunc(tiers, func(x, y configurer.Tier) int { return x.Order - y.Order })
	return tiers
}

// prompt tells whether an answer kept to the tier's first-token and gap targets.
func prompt(t *configurer.Tier, r *replayer.Record) bool {
	return r.Outcome == replayer.OutcomeDone && r.FirstUS <= int64(t.FirstTokenTargetMS)*1000 &&
		(t.TokenGapTargetMS == 0 || r.GapP95US <= int64(t.TokenGapTargetMS)*1000)
}

// good tells whether a request was answered in full within all targets. Long answers have a target of their own.
func good(t *configurer.Tier, r *replayer.Record) bool {
	return prompt(t, r) && (r.TargetUS == 0 || r.FinishedUS <= r.TargetUS)
}

func measureTier(t configurer.Tier, records []replayer.Record) Tier {
	m := Tier{Name: t.Name, Order: t.Order, KeptShare: 1}
	var firsts, gaps []float64
	answered, within, usual, usualPrompt := 0, 0, 0, 0
	for i := range records {
		r := &records[i]
		if r.Tier != t.Name || r.Outcome == replayer.OutcomeAttached {
			continue
		}
		m.Requests++
		if !r.Flood {
			usual++
			if prompt(&t, r) {
				usualPrompt++
			}
		}
		if good(&t, r) {
			within++
		}
		if r.Outcome == replayer.OutcomeDone {
			answered++
			firsts = append(firsts, float64(r.FirstUS)/1000)
			if r.GapP95US > 0 {
				gaps = append(gaps, float64(r.GapP95US)/1000)
			}
		}
	}
	m.Goodput, m.Answered, m.Prompt = ratio(within, m.Requests), ratio(answered, m.Requests), ratio(usualPrompt, usual)
	m.FirstP50MS, m.FirstP95MS = percentile(firsts, 50), percentile(firsts, 95)
	m.GapP50MS, m.GapP95MS = percentile(gaps, 50), percentile(gaps, 95)
	return m
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// percentile returns the nearest-rank percentile; it sorts its input.
func percentile(values []float64, p int) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[max((len(values)*p+99)/100, 1)-1]
}

func smallGoodput(h *tracer.Header, records []replayer.Record) float64 {
	targets := byName(h.Config)
	all, within := 0, 0
	for i := range records {
		r := &records[i]
		if r.Flood || r.Outcome == replayer.OutcomeAttached || slices.Contains(h.LargeCallers, r.Workspace+"/"+r.Caller) {
			continue
		}
		all++
		if good(targets[r.Tier], r) {
			within++
		}
	}
	return ratio(within, all)
}

func byName(c *configurer.Config) map[string]*configurer.Tier {
	targets := map[string]*configurer.Tier{}
	for i := range c.Tiers {
		targets[c.Tiers[i].Name] = &c.Tiers[i]
	}
	return targets
}

// fairness is Jain's index over the goodput that each caller sees outside the flood's requests.
func fairness(h *tracer.Header, records []replayer.Record) float64 {
	targets := byName(h.Config)
	type tally struct{ all, within int }
	callers := map[string]tally{}
	var names []string
	for i := range records {
		r := &records[i]
		if r.Flood || r.Outcome == replayer.OutcomeAttached {
			continue
		}
		name := r.Workspace + "/" + r.Caller
		c, seen := callers[name]
		if !seen {
			names = append(names, name)
		}
		c.all++
		if good(targets[r.Tier], r) {
			c.within++
		}
		callers[name] = c
	}
	sum, squares := 0.0, 0.0
	for _, name := range names {
		x := ratio(callers[name].within, callers[name].all)
		sum += x
		squares += float64(x * x)
	}
	if squares == 0 {
		return 0
	}
	return float64(sum*sum) / float64(float64(len(names))*squares)
}

// keptShares compares the tokens of the model work that arrived during the flood. A tier that is not flooded is due its
// configured share of all tokens served, or its whole demand when that is less.
func keptShares(h *tracer.Header, records []replayer.Record, m *Measures) {
	demand, served, total := map[string]int{}, map[string]int{}, 0
	for i := range records {
		r := &records[i]
		if r.AtUS < h.Flood.FromUS || r.AtUS >= h.Flood.ToUS {
			continue
		}
		demand[r.Tier] += r.Tokens
		if r.Outcome == replayer.OutcomeDone {
			served[r.Tier] += r.Tokens
			total += r.Tokens
		}
	}
	shares := 0.0
	for _, t := range h.Config.Tiers {
		shares += t.Share
	}
	for i := range m.Tiers {
		name := m.Tiers[i].Name
		if name == h.Flood.Tier {
			continue
		}
		due := math.Min(float64(demand[name]), float64(byName(h.Config)[name].Share/shares*float64(total)))
		if due > 0 {
			m.Tiers[i].KeptShare = math.Min(1, float64(served[name])/due)
		}
		m.KeptShare = math.Min(m.KeptShare, m.Tiers[i].KeptShare)
	}
}

func weightedService(h *tracer.Header, records []replayer.Record) float64 {
	answered, all := 0.0, 0.0
	for i := range records {
		if records[i].Outcome == replayer.OutcomeAttached {
			continue
		}
		w := h.Weights[records[i].Class]
		all += w
		if records[i].Outcome == replayer.OutcomeDone {
			answered += w
		}
	}
	if all == 0 {
		return 1
	}
	return answered / all
}

// score combines the measures by what each user weighs most. Both scores are from 0 to 100.
func (m *Measures) score() {
	sum := 0.0
	for _, t := range m.Tiers {
		sum += t.Goodput
	}
	tiers := sum / float64(max(len(m.Tiers), 1))
	snappy := 1.0
	if len(m.Tiers) > 0 {
		snappy = m.Tiers[0].Prompt
	}
	m.Kessler = 100 * (0.4*snappy + 0.3*math.Min(1, m.SmallRatio)*m.SmallGoodput + 0.2*tiers + 0.1*m.KeptShare)
	m.Gramofon = 100 * (0.4*m.WeightedService + 0.35*tiers + 0.25*m.KeptShare)
}
