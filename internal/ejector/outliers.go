package ejector

import (
	"slices"
)

const (
	// slowFactor is how many times slower than the median of its peers an endpoint must be. Hardware generations are
	// compared apart; within one, load explains a factor of two.
	slowFactor = 2.5
	// unnamedFactor widens slowFactor where the hardware is not configured, since generations may be mixed.
	unnamedFactor = 2.5
	// slowRounds is the number of consecutive reviews that must agree.
	slowRounds = 4
	// minPeers is the number of measured peers without which nothing is judged.
	minPeers = 3
	// DefaultMaxShare bounds the ejected part of a pool. A third keeps two thirds of the capacity in the worst case.
	DefaultMaxShare = 1.0 / 3
)

// Measure is the progress of one endpoint since the last review. Slowness is a time per unit of work, such as the
// seconds between tokens; zero means not measured.
type Measure struct {
	Endpoint string
	Group    string
	Slowness []float64
	// Out is true when the endpoint is ejected already.
	Out bool
}

// Outliers finds endpoints that are persistently slower than their peers.
type Outliers struct{ rounds map[string]int }

// NewOutliers returns a judge without history.
func NewOutliers() *Outliers { return &Outliers{rounds: make(map[string]int)} }

// Review returns the endpoints to eject now, the slowest first, within maxShare of all measured endpoints.
func (o *Outliers) Review(measures []Measure, maxShare float64) []string {
	if maxShare <= 0 {
		maxShare = DefaultMaxShare
	}
	medians := groupMedians(measures)
	rounds := make(map[string]int)
	room := int(maxShare * float64(len(measures)))
	type slow struct {
		name  string
		ratio float64
	}
	var found []slow
	for _, m := range measures {
		if m.Out {
			room--
			continue
		}
		ratio := 0.0
		for i, v := range m.Slowness {
			if median := medians[m.Group][i]; median > 0 && v > 0 {
				ratio = max(ratio, v/median)
			}
		}
		limit := slowFactor
		if m.Group == "" {
			limit *= unnamedFactor
		}
		if ratio < limit {
			continue
		}
		rounds[m.Endpoint] = o.rounds[m.Endpoint] + 1
		if rounds[m.Endpoint] >= slowRounds {
			found = append(found, slow{m.Endpoint, ratio})
		}
	}
	o.rounds = rounds
	slices.SortStableFunc(found, func(a, b slow) int {
		switch {
		case a.ratio > b.ratio:
			return -1
		case a.ratio < b.ratio:
			return 1
		}
		return 0
	})
	var names []string
	for _, f := range found[:min(len(found), max(room, 0))] {
		names = append(names, f.name)
		delete(o.rounds, f.name)
	}
	return names
}

// groupMedians returns the median of each kind of slowness in each group with enough measured peers.
func groupMedians(measures []Measure) map[string][]float64 {
	values := make(map[string][][]float64)
	for _, m := range measures {
		for len(values[m.Group]) < len(m.Slowness) {
			values[m.Group] = append(values[m.Group], nil)
		}
		for i, v := range m.Slowness {
			if v > 0 && !m.Out {
				values[m.Group][i] = append(values[m.Group][i], v)
			}
		}
	}
	medians := make(map[string][]float64)
	for g, kinds := range values {
		medians[g] = make([]float64, len(kinds))
		for i, v := range kinds {
			if len(v) >= minPeers {
				slices.Sort(v)
				medians[g][i] = v[(len(v)-1)/2]
			}
		}
	}
	return medians
}
