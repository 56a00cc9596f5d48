package dragonflycroft

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
)

// openStreams is the number of streams that BenchmarkOpenStreams holds open.
const openStreams = 1000

// BenchmarkOpenStreams reports the memory per open stream of the caller, the entry host and the stand-in engine together, which
// run in one process. The engines meet the targets at that load, so that the concurrency limits grow.
func BenchmarkOpenStreams(b *testing.B) {
	s := newSystem(b, 1, 4, emulator.Options{
		PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 50, MaxBatch: openStreams, ChunkTokens: 4096,
	})
	for b.Loop() {
		measureStreams(b, s)
	}
}

func measureStreams(b *testing.B, s *system) {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	s.client = client
	var open atomic.Int64
	for i := range openStreams {
		go func() {
			body := chatBody(fmt.Sprintf("stream %d", i), 100_000, true)
			resp, err := s.request(ctx, http.MethodPost, s.nodes[0].url+"/v1/chat/completions", "key-k", body, nil)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if _, err := resp.Body.Read(make([]byte, 1)); err == nil {
				open.Add(1)
			}
			buf := make([]byte, 4096)
			for err == nil {
				_, err = resp.Body.Read(buf)
			}
		}()
	}
	for open.Load() < openStreams {
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportMetric(float64(memoryInUse()-before)/openStreams, "heap-B/stream")
	b.ReportMetric(float64(runtime.NumGoroutine())/openStreams, "goroutines/stream")
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
