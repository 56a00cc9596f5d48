// Package estimator learns output lengths and endpoint speeds from finished and progressing runs.
package estimator

import "math"

const (
	lengthBuckets = 64
	// bucketsPerOctave makes neighbouring buckets differ by a factor of 2^(1/4), 19 in 100.
	bucketsPerOctave = 4
	// lengthMemory is the number of observations after which old ones are halved in weight.
	lengthMemory = 400
	// minLengthSamples is the number of observations from which a source is trusted.
	minLengthSamples = 8
	// defaultOutputTokens is booked while nothing is known.
	defaultOutputTokens = 256
	// maxLengthKeys bounds the memory for learned keys.
	maxLengthKeys = 20_000
)

// Lengths predict output lengths by quantile of what was observed. A key names a source such as a workspace and kind; the empty key is the
// source that stands in while a key has too few observations.
type Lengths struct {
	histogram map[string]*histogram
}

type histogram struct {
	counts [lengthBuckets]float64
	total  float64
}

// NewLengths returns a predictor without observations.
func NewLengths() *Lengths { return &Lengths{histogram: make(map[string]*histogram)} }

// Observe records the output length of a finished run for each of the keys.
func (l *Lengths) Observe(tokens int, keys ...string) {
	for _, k := range keys {
		h := l.histogram[k]
		if h == nil {
			if len(l.histogram) >= maxLengthKeys {
				continue
			}
			h = &histogram{}
			l.histogram[k] = h
		}
		h.add(tokens)
	}
}

// Predict returns a quantile of the output length, from the first key with enough observations, capped by limit when
// limit is positive.
func (l *Lengths) Predict(quantile float64, limit int, keys ...string) int {
	n := defaultOutputTokens
	for _, k := range keys {
		if h := l.histogram[k]; h != nil && h.total >= minLengthSamples {
			n = h.at(quantile)
			break
		}
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return max(n, 1)
}

func (h *histogram) add(tokens int) {
	if h.total >= lengthMemory {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	h.counts[bucketOf(tokens)]++
	h.total++
}

func (h *histogram) at(quantile float64) int {
	rest := quantile * h.total
	for i, c := range h.counts {
		rest -= c
		if rest <= 0 && c > 0 {
			return int(math.Ceil(math.Exp2(float64(i) / bucketsPerOctave)))
		}
	}
	return int(math.Exp2(lengthBuckets / bucketsPerOctave))
}

// bucketOf rounds up, so that the bucket's value is never below the length.
func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log2(float64(tokens))*bucketsPerOctave)), lengthBuckets-1)
}
