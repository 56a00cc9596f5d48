package registrar

import (
	"runtime"
	"strings"
	"testing"
	"time"
)

// BenchmarkRecords measures the memory for the streams of one minute of a large installation, as they come from messages.
func BenchmarkRecords(b *testing.B) {
	const records, perMessage = 120_000, 20
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		var r Registry
		for i := range uint64(records / perMessage) {
			o := Origin{Pool: strings.Clone("some-pool"), Version: strings.Clone("v1"), Joinable: true}
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			for j := range uint64(perMessage) {
				r.Record(now, (i*perMessage+j)*0x9e3779b97f4a7c15, o)
			}
		}
		b.ReportMetric(float64(heap()-before)/records, "heap_bytes/record")
		runtime.KeepAlive(&r)
	}
}
