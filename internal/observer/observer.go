// Package observer adds latency histograms to the counters of expvar, and serves all of them as text.
package observer

import (
	"bufio"
	"encoding/json"
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/klog/v2"
)

const (
	// maxLatencyMicros is the largest recorded latency; larger ones are recorded as this.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	// significantDigits is the precision of the histograms.
	significantDigits = 2
	// maxLabels bounds the labels of a histogram, and thereby its memory. Further labels are recorded as otherLabel.
	maxLabels  = 64
	otherLabel = "other"
)

// servedQuantiles are the quantiles that are served for each histogram, in percent.
var servedQuantiles = []float64{50, 90, 95, 99, 100}

// Histogram records the distribution of latencies by label. It implements expvar.Var and is safe for concurrent use.
type Histogram struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// NewHistogram publishes a histogram of latencies in milliseconds with expvar. It panics if the name is already in use.
func NewHistogram(name string) *Histogram {
	h := &Histogram{byLabel: map[string]*hdrhistogram.Histogram{}}
	expvar.Publish(name, h)
	return h
}

// Observe records a latency under a label.
func (h *Histogram) Observe(label string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram := h.byLabel[label]
	if histogram == nil {
		if len(h.byLabel) >= maxLabels {
			label = otherLabel
		}
		if histogram = h.byLabel[label]; histogram == nil {
			histogram = hdrhistogram.New(1, maxLatencyMicros, significantDigits)
			h.byLabel[label] = histogram
		}
	}
	if err := histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros)); err != nil {
		klog.V(1).InfoS("observer: latency not recorded", "latency", d, "reason", err)
	}
}

type histogramSummary struct {
	Count     int64              `json:"count"`
	Quantiles map[string]float64 `json:"quantiles_ms"`
}

func (h *Histogram) summaries() map[string]histogramSummary {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]histogramSummary, len(h.byLabel))
	for label, histogram := range h.byLabel {
		s := histogramSummary{Count: histogram.TotalCount(), Quantiles: map[string]float64{}}
		for _, q := range servedQuantiles {
			s.Quantiles[fmt.Sprint(q)] = float64(histogram.ValueAtQuantile(q)) / 1000
		}
		out[label] = s
	}
	return out
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	raw, err := json.Marshal(h.summaries())
	if err != nil {
		return "{}"
	}
	return string(raw)
}

// Serve is an HTTP handler that writes all counters and histograms as lines of the form NAME{LABELS} VALUE.
func Serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	out := bufio.NewWriter(w)
	expvar.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *Histogram:
			writeHistogram(out, kv.Key, v)
		case *expvar.Map:
			v.Do(func(entry expvar.KeyValue) {
				writeLine(out, kv.Key, fmt.Sprintf("{key=%q}", entry.Key), entry.Value.String())
			})
		case *expvar.Int, *expvar.Float:
			writeLine(out, kv.Key, "", v.String())
		}
	})
	if err := out.Flush(); err != nil {
		klog.V(1).InfoS("observer: writing metrics failed", "reason", err)
	}
}

func writeHistogram(out *bufio.Writer, name string, h *Histogram) {
	all := h.summaries()
	for _, label := range slices.Sorted(maps.Keys(all)) {
		writeLine(out, name+"_count", fmt.Sprintf("{label=%q}", label), fmt.Sprint(all[label].Count))
		for _, q := range servedQuantiles {
			quantile := fmt.Sprint(q)
			writeLine(out, name, fmt.Sprintf("{label=%q,quantile=%q}", label, quantile), fmt.Sprint(all[label].Quantiles[quantile]))
		}
	}
}

// writeLine writes one line. Write errors are returned by Flush.
func writeLine(out *bufio.Writer, name, labels, value string) {
	_, _ = out.WriteString(strings.Join([]string{name, labels, " ", value, "\n"}, ""))
}
