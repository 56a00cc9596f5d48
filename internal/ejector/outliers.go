package ejector

import (
	"slices"
)

const (
	// slowFactor is the slowness, relative to the median of its peers, from which an endpoint is an outlier. Endpoints are
	// compared within one hardware generation, where differences in load alone explain a factor of two.
	slowFactor = 2.5
	// unknownHardwareFactor multiplies slowFactor when the hardware is not configured, since generations may be mixed.
	unknownHardwareFactor = 2.5
	// requiredRounds is the number of consecutive reviews in which an endpoint must be an outlier to be ejected.
	requiredRounds = 4
	// minPeers is the number of measured peers below which no median is computed.
	minPeers = 3
	// DefaultMaxShare bounds the ejected share of a pool. A third keeps two thirds of the capacity in the worst case.
	DefaultMaxShare = 1.0 / 3
)

// Measure holds the measurements of one endpoint since the last review. Each element of Slowness is a time per unit of work,
// such as the seconds between tokens; zero means not measured. Endpoints of one group are compared with each other.
type Measure struct {
	Endpoint string
	Group    string
	Slowness []float64
	// Ejected is true when the endpoint is already ejected.
	Ejected bool
}

// OutlierDetector finds endpoints that are persistently slower than their peers.
type OutlierDetector struct{ slowRounds map[string]int }

// NewOutlierDetector returns a detector without history.
func NewOutlierDetector() *OutlierDetector { return &OutlierDetector{slowRounds: make(map[string]int)} }

// Detect returns the endpoints to eject now, the slowest first. It keeps the ejected endpoints within maxShare of all
// measures; a share of 0 or less means DefaultMaxShare.
func (o *OutlierDetector) Detect(measures []Measure, maxShare float64) []string {
	if maxShare <= 0 {
		maxShare = DefaultMaxShare
	}
	medians := groupMedians(measures)
	slowRounds := make(map[string]int)
	quota := int(maxShare * float64(len(measures)))
	type slow struct {
		name  string
		ratio float64
	}
	var found []slow
	for _, m := range measures {
		if m.Ejected {
			quota--
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
			limit *= unknownHardwareFactor
		}
		if ratio < limit {
			continue
		}
		slowRounds[m.Endpoint] = o.slowRounds[m.Endpoint] + 1
		if slowRounds[m.Endpoint] >= requiredRounds {
			found = append(found, slow{m.Endpoint, ratio})
		}
	}
	o.slowRounds = slowRounds
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
	for _, f := range found[:min(len(found), max(quota, 0))] {
		names = append(names, f.name)
		delete(o.slowRounds, f.name)
	}
	return names
}

// groupMedians returns the median of each kind of slowness by group, and 0 where fewer than minPeers were measured.
func groupMedians(measures []Measure) map[string][]float64 {
	values := make(map[string][][]float64)
	for _, m := range measures {
		for len(values[m.Group]) < len(m.Slowness) {
			values[m.Group] = append(values[m.Group], nil)
		}
		for i, v := range m.Slowness {
			if v > 0 && !m.Ejected {
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
