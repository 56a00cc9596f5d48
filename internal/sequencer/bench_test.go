package sequencer_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const benchCommandBytes = 256

// startLoopbackCluster starts n voters that use loopback sockets and real files.
func startLoopbackCluster(b *testing.B, n int, adjustOptions func(*replicator.Options)) []*sequencer.Sequencer {
	b.Helper()
	dir, voters := b.TempDir(), map[string]string{}
	var transports []*transporter.Transport
	for i := range n {
		tr := &transporter.Transport{HostID: fmt.Sprint("h", i), ListenAddr: "127.0.0.1:0", Key: []byte("bench")}
		if err := tr.Listen(); err != nil {
			b.Fatal(err)
		}
		transports = append(transports, tr)
		voters[tr.HostID] = tr.Addr()
	}
	var hosts []*sequencer.Sequencer
	var wg sync.WaitGroup
	for _, tr := range transports {
		s := &sequencer.Sequencer{
			HostID: tr.HostID, DataDir: filepath.Join(dir, tr.HostID), Voters: voters, Bootstrap: true,
			Transport: tr, StateMachine: &countingMachine{}, AdjustOptions: adjustOptions,
		}
		hosts = append(hosts, s)
		wg.Go(func() { _ = tr.Run(context.Background()) })
		wg.Go(func() {
			if err := s.Run(context.Background()); err != nil {
				b.Error(err)
			}
		})
	}
	b.Cleanup(func() {
		for i, s := range hosts {
			_ = s.Close()
			_ = transports[i].Close()
		}
		wg.Wait()
	})
	return hosts
}

func awaitLeader(b *testing.B, hosts []*sequencer.Sequencer) *sequencer.Sequencer {
	b.Helper()
	for range 200 {
		for _, h := range hosts {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, _, err := h.ConfirmLeader(ctx)
			cancel()
			if err == nil {
				return h
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("no leader")
	return nil
}

func benchmarkCommit(b *testing.B, voters, writers int, adjustOptions func(*replicator.Options)) {
	leader := awaitLeader(b, startLoopbackCluster(b, voters, adjustOptions))
	command := make([]byte, benchCommandBytes)
	var mu sync.Mutex
	allLatencies := hdrhistogram.New(1, 60_000_000, 3)
	b.ResetTimer()
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			latencies := hdrhistogram.New(1, 60_000_000, 3)
			for i := w; i < b.N; i += writers {
				started := time.Now()
				if _, err := leader.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
				_ = latencies.RecordValue(time.Since(started).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			allLatencies.Merge(latencies)
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(allLatencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(allLatencies.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkCommit measures commits over loopback sockets with files that are synced.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 5} {
		for _, writers := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/writers=%d", voters, writers), func(b *testing.B) {
				benchmarkCommit(b, voters, writers, nil)
			})
		}
	}
}

// BenchmarkWindow measures the effect of the number of concurrent appends to one follower.
func BenchmarkWindow(b *testing.B) {
	for _, window := range []int{1, 2, 4, 8} {
		for _, writers := range []int{1, 64} {
			b.Run(fmt.Sprintf("window=%d/writers=%d", window, writers), func(b *testing.B) {
				benchmarkCommit(b, 3, writers, func(o *replicator.Options) { o.Window = window })
			})
		}
	}
}

// BenchmarkRead measures linearizable reads, each confirmed by a quorum.
func BenchmarkRead(b *testing.B) {
	for _, readers := range []int{1, 64} {
		b.Run(fmt.Sprintf("readers=%d", readers), func(b *testing.B) {
			leader := awaitLeader(b, startLoopbackCluster(b, 3, nil))
			b.ResetTimer()
			var wg sync.WaitGroup
			for r := range readers {
				wg.Go(func() {
					for i := r; i < b.N; i += readers {
						if _, _, err := leader.ConfirmLeader(context.Background()); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
		})
	}
}

// BenchmarkReplay measures the start of a single voter with 5000 commands in its log until all of them are applied.
func BenchmarkReplay(b *testing.B) {
	const commands = 5000
	dir := filepath.Join(b.TempDir(), "a")
	run := func(fill bool) time.Duration {
		machine := &countingMachine{}
		s := &sequencer.Sequencer{
			HostID: "a", DataDir: dir, Voters: map[string]string{"a": "a"}, Bootstrap: true, SnapshotEntries: 2 * commands,
			Transport: newFakeNetwork().attach("a"), StateMachine: machine, FileSystem: persister.OS{}, ElectionTimeout: 20 * time.Millisecond,
		}
		runErr := make(chan error, 1)
		started := time.Now()
		go func() { runErr <- s.Run(context.Background()) }()
		awaitLeader(b, []*sequencer.Sequencer{s})
		if fill {
			var wg sync.WaitGroup
			for range 50 {
				wg.Go(func() {
					for range commands / 50 {
						if _, err := s.Propose(context.Background(), make([]byte, benchCommandBytes)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			wg.Wait()
		}
		took := time.Since(started)
		if count, _ := machine.get(); count != commands {
			b.Fatalf("%d commands applied, want %d", count, commands)
		}
		if err := s.Close(); err != nil {
			b.Fatal(err)
		}
		if err := <-runErr; err != nil {
			b.Fatal(err)
		}
		return took
	}
	run(true)
	b.ResetTimer()
	for range b.N {
		run(false)
	}
}
