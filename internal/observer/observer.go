// Package observer keeps latency histograms beside the counters of expvar, and serves all of them as text.
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
	// maxLatency is the largest latency that is told from others, in microseconds.
	maxLatency = int64(time.Minute / time.Microsecond)
	// digits is the number of significant digits kept.
	digits = 2
	// maxLabels bounds the labels of a histogram; further ones share the label "other".
	maxLabels  = 64
	otherLabel = "other"
)

// quantiles are those served of each histogram, in percent.
var quantiles = []float64{50, 90, 95, 99, 100}

// Histogram holds latencies by label. It implements expvar.Var.
type Histogram struct {
	mu      sync.Mutex
	byLabel map[string]*hdrhistogram.Histogram
}

// NewHistogram publishes a histogram of latencies in milliseconds under a name.
func NewHistogram(name string) *Histogram {
	h := &Histogram{byLabel: map[string]*hdrhistogram.Histogram{}}
	expvar.Publish(name, h)
	return h
}

// Observe adds a latency.
func (h *Histogram) Observe(label string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.byLabel[label]
	if x == nil {
		if len(h.byLabel) >= maxLabels {
			label = otherLabel
		}
		if x = h.byLabel[label]; x == nil {
			x = hdrhistogram.New(1, maxLatency, digits)
			h.byLabel[label] = x
		}
	}
	if err := x.RecordValue(min(max(d.Microseconds(), 1), maxLatency)); err != nil {
		klog.V(1).InfoS("observer: latency not recorded", "latency", d, "reason", err)
	}
}

type summary struct {
	Count     int64              `json:"count"`
	Quantiles map[string]float64 `json:"quantiles_ms"`
}

func (h *Histogram) summaries() map[string]summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]summary, len(h.byLabel))
	for label, x := range h.byLabel {
		s := summary{Count: x.TotalCount(), Quantiles: map[string]float64{}}
		for _, q := range quantiles {
			s.Quantiles[fmt.Sprint(q)] = float64(x.ValueAtQuantile(q)) / 1000
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

// Serve writes all counters and histograms as lines NAME{LABELS} VALUE.
func Serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	out := bufio.NewWriter(w)
	expvar.Do(func(kv expvar.KeyValue) {
		switch v := kv.Value.(type) {
		case *Histogram:
			writeHistogram(out, kv.Key, v)
		case *expvar.Map:
			v.Do(func(entry expvar.KeyValue) {
				write(out, kv.Key, fmt.Sprintf("{key=%q}", entry.Key), entry.Value.String())
			})
		case *expvar.Int, *expvar.Float:
			write(out, kv.Key, "", v.String())
		}
	})
	if err := out.Flush(); err != nil {
		klog.V(1).InfoS("observer: metrics not delivered", "reason", err)
	}
}

func writeHistogram(out *bufio.Writer, name string, h *Histogram) {
	all := h.summaries()
	for _, label := range slices.Sorted(maps.Keys(all)) {
		write(out, name+"_count", fmt.Sprintf("{label=%q}", label), fmt.Sprint(all[label].Count))
		for _, q := range quantiles {
			text := fmt.Sprint(q)
			write(out, name, fmt.Sprintf("{label=%q,quantile=%q}", label, text), fmt.Sprint(all[label].Quantiles[text]))
		}
	}
}

// write adds a line; a write error shows at the flush.
func write(out *bufio.Writer, name, labels, value string) {
	_, _ = out.WriteString(strings.Join([]string{name, labels, " ", value, "\n"}, ""))
}
