// Package estimator estimates output lengths and endpoint speeds from finished runs and from the progress of others.
package estimator

import "math"

const (
	lengthBuckets = 64
	// bucketsPerOctave makes adjacent buckets differ by a factor of 2^(1/4), which is 19 percent.
	bucketsPerOctave = 4
	// lengthDecayAfter is the number of observations after which the weight of all earlier ones is halved.
	lengthDecayAfter = 400
	// minLengthSamples is the least number of observations from which a key is used.
	minLengthSamples = 8
	// defaultOutputTokens is the prediction without enough observations.
	defaultOutputTokens = 256
	// maxKeys bounds the memory for the histograms, one per key.
	maxKeys = 20_000
)

// LengthPredictor predicts output lengths as quantiles of the observed lengths. A key identifies a group of requests, such as
// those of one workspace and kind; the empty key is the fallback for keys with too few observations.
type LengthPredictor struct {
	histograms map[string]*histogram
}

type histogram struct {
	counts [lengthBuckets]float64
	total  float64
}

// NewLengthPredictor returns a predictor without observations.
func NewLengthPredictor() *LengthPredictor {
	return &LengthPredictor{histograms: make(map[string]*histogram)}
}

// Observe records the output length of a finished run for each of the keys. New keys are ignored when there are maxKeys.
func (l *LengthPredictor) Observe(tokens int, keys ...string) {
	for _, k := range keys {
		h := l.histograms[k]
		if h == nil {
			if len(l.histograms) >= maxKeys {
				continue
			}
			h = &histogram{}
			l.histograms[k] = h
		}
		h.add(tokens)
	}
}

// Predict returns a quantile of the output length in tokens, from the first key with enough observations. A positive limit
// caps it.
func (l *LengthPredictor) Predict(quantile float64, limit int, keys ...string) int {
	n := defaultOutputTokens
	for _, k := range keys {
		if h := l.histograms[k]; h != nil && h.total >= minLengthSamples {
			n = h.quantile(quantile)
			break
		}
	}
	if limit > 0 {
		n = min(n, limit)
	}
	return max(n, 1)
}

func (h *histogram) add(tokens int) {
	if h.total >= lengthDecayAfter {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	h.counts[bucketOf(tokens)]++
	h.total++
}

func (h *histogram) quantile(quantile float64) int {
	rest := quantile * h.total
	for i, c := range h.counts {
		rest -= c
		if rest <= 0 && c > 0 {
			return int(math.Ceil(math.Exp2(float64(i) / bucketsPerOctave)))
		}
	}
	return int(math.Exp2(lengthBuckets / bucketsPerOctave))
}

// bucketOf returns the bucket of a length. It rounds up, so that the value of the bucket is never below the length.
func bucketOf(tokens int) int {
	if tokens <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log2(float64(tokens))*bucketsPerOctave)), lengthBuckets-1)
}
