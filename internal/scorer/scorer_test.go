package scorer

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/replayer"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

func header() *tracecoder.Header {
	return &tracecoder.Header{
		Config: &configurer.Config{Tiers: []configurer.Tier{
			{Name: "low", Order: 1, FirstTokenTargetMS: 2000, TokenGapTargetMS: 100, Share: 1},
			{Name: "top", Order: 0, FirstTokenTargetMS: 740, TokenGapTargetMS: 46, Share: 3},
		}},
		LargeCallers: []string{"w/large"},
		Weights:      map[string]float64{"ask": 1, "quote": 3},
		Flood:        &tracecoder.Flood{FromUS: 0, ToUS: 1000, Tier: "top"},
	}
}

func record(tier, caller, outcome string, firstMS, gapMS int64, change ...func(*replayer.Record)) replayer.Record {
	r := replayer.Record{
		Workspace: "w", Caller: caller, Tier: tier, Class: "ask", Tokens: 100, Outcome: outcome, FirstUS: firstMS * 1000,
		GapP95US: gapMS * 1000, FinishedUS: firstMS*1000 + 1,
	}
	for _, c := range change {
		c(&r)
	}
	return r
}

// Guards against measures that count late, incomplete or refused requests as goodput, or that confuse the tiers.
func TestMeasure(t *testing.T) {
	flood := func(r *replayer.Record) { r.Flood = true }
	late := func(r *replayer.Record) { r.Class, r.TargetUS, r.FinishedUS = "quote", 5_000_000, 6_000_000 }
	records := []replayer.Record{
		record("top", "small", replayer.OutcomeDone, 740, 46),
		record("top", "small", replayer.OutcomeDone, 741, 10),
		record("top", "large", replayer.OutcomeDone, 100, 47),
		record("top", "large", replayer.OutcomeRefused, 0, 0, flood),
		record("low", "small", replayer.OutcomeDone, 1500, 90),
		record("low", "small", replayer.OutcomeDone, 1500, 90, late),
		record("low", "small", replayer.OutcomeGivenUp, 100, 10),
		record("low", "small", replayer.OutcomeAttached, 0, 0),
	}
	result := &replayer.Result{Records: records, PrefillTokens: 200, WastedPrefillTokens: 20}
	quiet := &replayer.Result{Records: records[:1]}
	got := Measure(header(), result, quiet)
	want := &Measures{
		Tiers: []Tier{
			{Name: "top", Requests: 4, Goodput: 0.25, Answered: 0.75, OnTime: 1.0 / 3, FirstP50MS: 740, FirstP95MS: 741, GapP50MS: 46, GapP95MS: 47, KeptShare: 1},
			// The tier is entitled to a quarter of the 500 tokens served, and 200 of its own were served.
			{Name: "low", Order: 1, Requests: 3, Goodput: 1.0 / 3, Answered: 2.0 / 3, OnTime: 2.0 / 3, FirstP50MS: 1500, FirstP95MS: 1500, GapP50MS: 90, GapP95MS: 90, KeptShare: 1},
		},
		WastedPrefill: 0.1, SmallGoodput: 0.4, SmallRatio: 0.4, Fairness: 0.5, KeptShare: 1, WeightedService: 7.0 / 9,
	}
	options := []cmp.Option{cmpopts.EquateApprox(0, 1e-9), cmpopts.IgnoreFields(Measures{}, "Kessler", "Gramofon")}
	if diff := cmp.Diff(want, got, options...); diff != "" {
		t.Errorf("measures (-want +got):\n%s", diff)
	}
	if got.Kessler <= 0 || got.Kessler >= 100 || got.Gramofon <= 0 || got.Gramofon >= 100 {
		t.Errorf("scores %.1f and %.1f, want both between 0 and 100", got.Kessler, got.Gramofon)
	}
}

// Guards against a kept share relative to the wrong base: a tier whose demand is below its share, and that is served half of
// it, keeps one half.
func TestKeptShareUnderDemand(t *testing.T) {
	var records []replayer.Record
	for range 20 {
		records = append(records, record("top", "small", replayer.OutcomeDone, 100, 10))
	}
	records = append(records, record("low", "small", replayer.OutcomeDone, 100, 10), record("low", "small", replayer.OutcomeGivenUp, 0, 0))
	if m := Measure(header(), &replayer.Result{Records: records}, nil); m.KeptShare != 0.5 {
		t.Errorf("kept share %v, want 0.5", m.KeptShare)
	}
}
