package applier_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/applier"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
)

// sizedConfig returns a configuration with the given numbers of workspaces and endpoints, two callers per workspace, 4 tiers
// and 5 models.
func sizedConfig(workspaces, endpoints int) *configurer.Config {
	cfg := &configurer.Config{}
	for i := range 4 {
		cfg.Tiers = append(cfg.Tiers, configurer.Tier{
			Name: fmt.Sprintf("tier-%d", i), Order: i, FirstTokenTargetMS: 740 * (i + 1), TokenGapTargetMS: 46, Share: 0.25,
		})
	}
	for i := range 5 {
		cfg.Pools = append(cfg.Pools, configurer.Pool{
			Name: fmt.Sprintf("pool-%d", i), Kind: configurer.KindModel, Models: []string{fmt.Sprintf("model-%d", i)},
		})
	}
	r := rand.New(rand.NewPCG(1, 2))
	for i := range workspaces {
		w := configurer.Workspace{Name: fmt.Sprintf("workspace-%04d", i), Weight: 1, Limits: configurer.WorkspaceLimits{RequestsPerSecond: 50, Burst: 100}}
		for c := range 2 {
			digest := fmt.Sprintf("%016x%016x%016x%016x", r.Uint64(), r.Uint64(), r.Uint64(), r.Uint64())
			w.Callers = append(w.Callers, configurer.Caller{
				Name: fmt.Sprintf("caller-%d", c), KeySHA256: digest, Tiers: []string{"tier-0", "tier-1", "tier-2", "tier-3"},
			})
		}
		cfg.Workspaces = append(cfg.Workspaces, w)
	}
	for i := range endpoints {
		cfg.Endpoints = append(cfg.Endpoints, configurer.Endpoint{
			Name: fmt.Sprintf("runner-%04d", i), Pool: fmt.Sprintf("pool-%d", i%5), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1),
			Zone: fmt.Sprintf("zone-%d", i%7), Hardware: fmt.Sprintf("generation-%d", i%4), Models: []string{fmt.Sprintf("model-%d", i%5)},
			ChecksFencing: i%2 == 0,
		})
	}
	return cfg
}

func sizedDocument(b *testing.B, workspaces, endpoints int) []byte {
	b.Helper()
	document, err := configurer.Encode(sizedConfig(workspaces, endpoints))
	if err != nil {
		b.Fatal(err)
	}
	return document
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func patchCommand(b *testing.B, id string, base uint64, body []byte) []byte {
	b.Helper()
	raw, err := proto.Marshal(&controllerpb.Command{UnixMs: 1, Body: &controllerpb.Command_PatchConfig{
		PatchConfig: &controllerpb.PatchConfig{Id: id, Base: base, Body: body, Author: "operator"},
	}})
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// BenchmarkDocument measures decoding with validation, and applying a small patch, for documents of several sizes.
func BenchmarkDocument(b *testing.B) {
	for _, size := range []struct{ workspaces, endpoints int }{{5, 21}, {320, 250}, {3200, 2500}} {
		name := fmt.Sprintf("workspaces=%d/endpoints=%d", size.workspaces, size.endpoints)
		document := sizedDocument(b, size.workspaces, size.endpoints)
		b.Run("decode/"+name, func(b *testing.B) {
			before := heapBytes()
			cfg, err := configurer.Decode(document)
			if err != nil {
				b.Fatal(err)
			}
			decodedBytes := heapBytes() - before
			runtime.KeepAlive(cfg)
			for b.Loop() {
				if _, err := configurer.Decode(document); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(document)), "B/document")
			b.ReportMetric(float64(decodedBytes), "B/decoded")
		})
		b.Run("patch/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := configurer.ApplyPatch(document, []byte(`{"limits":{"max_waiting":7}}`)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkReplay measures replaying small changes to a document with 3,200 workspaces and 2,500 endpoints, taking and
// restoring a snapshot, and the memory used by the state. A day has 1,800 changes; replay time grows with their number.
func BenchmarkReplay(b *testing.B) {
	const changes = 40
	document := sizedDocument(b, 3200, 2500)
	commands := [][]byte{patchCommand(b, "first", 0, document)}
	for i := range changes {
		commands = append(commands, patchCommand(b, fmt.Sprint("patch-", i), uint64(i+1), fmt.Appendf(nil, `{"limits":{"max_waiting":%d}}`, i+1)))
	}
	for b.Loop() {
		before := heapBytes()
		m := applier.New()
		started := time.Now()
		for i, c := range commands {
			m.Apply(uint64(i+1), c)
		}
		b.ReportMetric(float64(time.Since(started).Milliseconds())/changes, "ms/change")
		if version, _, _ := m.Config(); version != changes+1 {
			b.Fatalf("version %d", version)
		}
		b.ReportMetric(float64(heapBytes()-before), "B/state")
		started = time.Now()
		snapshot, err := m.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(started).Microseconds())/1000, "ms/snapshot")
		b.ReportMetric(float64(len(snapshot)), "B/snapshot")
		started = time.Now()
		if err := applier.New().Restore(snapshot); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(started).Microseconds())/1000, "ms/restore")
		runtime.KeepAlive(m)
	}
}
