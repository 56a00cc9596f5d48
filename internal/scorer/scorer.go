// Package scorer computes the measures of a replay and the Kessler and Gramofon scores, which weigh them differently.
package scorer

import (
	"math"
	"slices"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/replayer"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

// Tier holds the measures of one tier. Times are in milliseconds.
type Tier struct {
	Name     string `json:"name"`
	Order    int    `json:"order"`
	Requests int    `json:"requests"`
	// Goodput is the share of requests that completed within all targets.
	Goodput float64 `json:"goodput"`
	// Answered is the share of requests that completed.
	Answered float64 `json:"answered"`
	// OnTime is the share of the requests outside the flood that met the first-token and the token-gap target.
	OnTime     float64 `json:"prompt"`
	FirstP50MS float64 `json:"first_p50_ms"`
	FirstP95MS float64 `json:"first_p95_ms"`
	GapP50MS   float64 `json:"gap_p50_ms"`
	GapP95MS   float64 `json:"gap_p95_ms"`
	// KeptShare is the tokens served relative to the tier's configured share, or to its demand when that is less, during a
	// flood of another tier. It is at most 1.
	KeptShare float64 `json:"kept_share"`
}

// Measures holds the results of one replay.
type Measures struct {
	Tiers         []Tier  `json:"tiers"`
	WastedPrefill float64 `json:"wasted_prefill"`
	// SmallGoodput is the goodput of the callers that are not large, without the requests of the flood.
	SmallGoodput float64 `json:"small_goodput"`
	// SmallRatio is SmallGoodput relative to the same trace without the flood; 1 when the trace has no flood.
	SmallRatio float64 `json:"small_ratio"`
	// Fairness is Jain's index over the callers' goodput.
	Fairness float64 `json:"fairness"`
	// KeptShare is the least of the tiers' kept shares; 1 when the trace has no flood.
	KeptShare float64 `json:"kept_share"`
	// WeightedService is the summed weight of the completed requests relative to that of all requests. The weight of a
	// request depends on its class.
	WeightedService float64 `json:"weighted_service"`
	Kessler         float64 `json:"kessler_score"`
	Gramofon        float64 `json:"gramofon_score"`
}

// Measure computes the measures of the replay r. The baseline is the replay of the same trace without the flood, or nil.
func Measure(h *tracecoder.Header, r, baseline *replayer.Result) *Measures {
	m := &Measures{SmallRatio: 1, KeptShare: 1}
	tiers := sortedTiers(h.Config)
	for _, t := range tiers {
		m.Tiers = append(m.Tiers, measureTier(t, r.Records))
	}
	if r.PrefillTokens > 0 {
		m.WastedPrefill = float64(r.WastedPrefillTokens) / float64(r.PrefillTokens)
	}
	m.SmallGoodput = smallGoodput(h, r.Records)
	if baseline != nil {
		if base := smallGoodput(h, baseline.Records); base > 0 {
			m.SmallRatio = m.SmallGoodput / base
		}
	}
	m.Fairness = fairness(h, r.Records)
	if h.Flood != nil {
		setKeptShares(h, r.Records, m)
	}
	m.WeightedService = weightedService(h, r.Records)
	m.setScores()
	return m
}

func sortedTiers(c *configurer.Config) []configurer.Tier {
	tiers := slices.Clone(c.Tiers)
	slices.SortFunc(tiers, func(x, y configurer.Tier) int { return x.Order - y.Order })
	return tiers
}

// metTokenTargets reports whether a request completed within the tier's first-token and token-gap targets.
func metTokenTargets(t *configurer.Tier, r *replayer.Record) bool {
	return r.Outcome == replayer.OutcomeDone && r.FirstUS <= int64(t.FirstTokenTargetMS)*1000 &&
		(t.TokenGapTargetMS == 0 || r.GapP95US <= int64(t.TokenGapTargetMS)*1000)
}

// metAllTargets reports whether a request completed within all targets. Long responses have a completion target as well.
func metAllTargets(t *configurer.Tier, r *replayer.Record) bool {
	return metTokenTargets(t, r) && (r.TargetUS == 0 || r.FinishedUS <= r.TargetUS)
}

func measureTier(t configurer.Tier, records []replayer.Record) Tier {
	m := Tier{Name: t.Name, Order: t.Order, KeptShare: 1}
	var firstTokenMS, gapMS []float64
	answered, onTime, nonFlood, nonFloodOnTime := 0, 0, 0, 0
	for i := range records {
		r := &records[i]
		if r.Tier != t.Name || r.Outcome == replayer.OutcomeAttached {
			continue
		}
		m.Requests++
		if !r.Flood {
			nonFlood++
			if metTokenTargets(&t, r) {
				nonFloodOnTime++
			}
		}
		if metAllTargets(&t, r) {
			onTime++
		}
		if r.Outcome == replayer.OutcomeDone {
			answered++
			firstTokenMS = append(firstTokenMS, float64(r.FirstUS)/1000)
			if r.GapP95US > 0 {
				gapMS = append(gapMS, float64(r.GapP95US)/1000)
			}
		}
	}
	m.Goodput, m.Answered, m.OnTime = ratio(onTime, m.Requests), ratio(answered, m.Requests), ratio(nonFloodOnTime, nonFlood)
	m.FirstP50MS, m.FirstP95MS = percentile(firstTokenMS, 50), percentile(firstTokenMS, 95)
	m.GapP50MS, m.GapP95MS = percentile(gapMS, 50), percentile(gapMS, 95)
	return m
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// percentile returns the nearest-rank percentile, and 0 for no values. It sorts its input.
func percentile(values []float64, p int) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[max((len(values)*p+99)/100, 1)-1]
}

func smallGoodput(h *tracecoder.Header, records []replayer.Record) float64 {
	tiers := tiersByName(h.Config)
	all, onTime := 0, 0
	for i := range records {
		r := &records[i]
		if r.Flood || r.Outcome == replayer.OutcomeAttached || slices.Contains(h.LargeCallers, r.Workspace+"/"+r.Caller) {
			continue
		}
		all++
		if metAllTargets(tiers[r.Tier], r) {
			onTime++
		}
	}
	return ratio(onTime, all)
}

func tiersByName(c *configurer.Config) map[string]*configurer.Tier {
	tiers := map[string]*configurer.Tier{}
	for i := range c.Tiers {
		tiers[c.Tiers[i].Name] = &c.Tiers[i]
	}
	return tiers
}

// fairness returns Jain's index over the goodput of the callers, without the requests of the flood.
func fairness(h *tracecoder.Header, records []replayer.Record) float64 {
	tiers := tiersByName(h.Config)
	type tally struct{ all, onTime int }
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
		if metAllTargets(tiers[r.Tier], r) {
			c.onTime++
		}
		callers[name] = c
	}
	sum, squares := 0.0, 0.0
	for _, name := range names {
		x := ratio(callers[name].onTime, callers[name].all)
		sum += x
		squares += float64(x * x)
	}
	if squares == 0 {
		return 0
	}
	return float64(sum*sum) / float64(float64(len(names))*squares)
}

// setKeptShares sets the kept shares from the tokens of the requests that arrived during the flood. A tier that is not
// flooded is entitled to its configured share of all tokens served, or to its whole demand when that is less.
func setKeptShares(h *tracecoder.Header, records []replayer.Record, m *Measures) {
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
		entitled := math.Min(float64(demand[name]), float64(tiersByName(h.Config)[name].Share/shares*float64(total)))
		if entitled > 0 {
			m.Tiers[i].KeptShare = math.Min(1, float64(served[name])/entitled)
		}
		m.KeptShare = math.Min(m.KeptShare, m.Tiers[i].KeptShare)
	}
}

func weightedService(h *tracecoder.Header, records []replayer.Record) float64 {
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

// setScores computes the Kessler and Gramofon scores, weighted sums of the measures from 0 to 100.
func (m *Measures) setScores() {
	sum := 0.0
	for _, t := range m.Tiers {
		sum += t.Goodput
	}
	meanGoodput := sum / float64(max(len(m.Tiers), 1))
	topTierOnTime := 1.0
	if len(m.Tiers) > 0 {
		topTierOnTime = m.Tiers[0].OnTime
	}
	m.Kessler = 100 * (0.4*topTierOnTime + 0.3*math.Min(1, m.SmallRatio)*m.SmallGoodput + 0.2*meanGoodput + 0.1*m.KeptShare)
	m.Gramofon = 100 * (0.4*m.WeightedService + 0.35*meanGoodput + 0.25*m.KeptShare)
}
