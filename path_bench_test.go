package dragonflycroft

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/emulator"
)

// pathRoleVariable names the environment variable that selects what a process of the path benchmarks runs.
const pathRoleVariable = "DRAGONFLYCROFT_PATH_ROLE"

// unthrottledOptions returns options of an engine that answers at once, so that the benchmarks measure the request path.
func unthrottledOptions() emulator.Options {
	return emulator.Options{PrefillTokensPerSecond: 1e8, DecodeTokensPerSecond: 1e4, MaxBatch: 4096, ChunkTokens: 1 << 20}
}

// TestPathProcess is the main function of the processes that the path benchmarks start: "host" runs an entry host, "engines" a
// stand-in engine. Without a role it does nothing.
func TestPathProcess(t *testing.T) {
	switch os.Getenv(pathRoleVariable) {
	case "engines":
		speed := unthrottledOptions()
		if os.Getenv("DRAGONFLYCROFT_PATH_SPEED") == "limited" {
			speed = emulator.Options{PrefillTokensPerSecond: 20_000, DecodeTokensPerSecond: 200, BatchSlowdown: 0.02, MaxBatch: 16}
		}
		s := newSystem(t, 0, 1, speed)
		fmt.Println("address", s.engines[0].Addr())
	case "host":
		s := newSystem(t, 0, 0, unthrottledOptions())
		endpoints, err := strconv.Atoi(os.Getenv("DRAGONFLYCROFT_PATH_ENDPOINTS"))
		must(t, err)
		for i := range endpoints {
			s.cfg.Endpoints = append(s.cfg.Endpoints, Endpoint{
				Name: fmt.Sprint("runner-", i), Pool: "chat", Zone: "z1", Address: os.Getenv("DRAGONFLYCROFT_PATH_ENGINE"), Models: []string{"m"},
			})
		}
		fmt.Println("address", strings.TrimPrefix(s.startNode("entry-0").url, "http://"))
	default:
		return
	}
	_, _ = io.Copy(io.Discard, os.Stdin) // until the benchmark ends
}

// process is a child process of the path benchmarks.
type process struct {
	addr string
	pid  int
}

func startProcess(b *testing.B, args []string, env ...string) *process {
	b.Helper()
	cmd := exec.Command(os.Args[0], append([]string{"-test.run=^TestPathProcess$", "-test.timeout=0"}, args...)...)
	cmd.Env = append(os.Environ(), env...)
	in, err := cmd.StdinPipe()
	must(b, err)
	out, err := cmd.StdoutPipe()
	must(b, err)
	must(b, cmd.Start())
	b.Cleanup(func() {
		_ = in.Close()
		// Open streams can keep the process from ending.
		kill := time.AfterFunc(3*time.Second, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		kill.Stop()
	})
	p := &process{pid: cmd.Process.Pid}
	scanner := bufio.NewScanner(out)
	for p.addr == "" && scanner.Scan() {
		p.addr, _ = strings.CutPrefix(scanner.Text(), "address ")
		if strings.Contains(p.addr, " ") || !strings.Contains(p.addr, ":") {
			p.addr = ""
		}
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	if p.addr == "" {
		b.Fatal("child process ended without printing its address")
	}
	return p
}

// cpuTime returns the user and system CPU time of the process.
func (p *process) cpuTime(b *testing.B) time.Duration {
	b.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid))
	must(b, err)
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	must(b, err)
	system, err := strconv.Atoi(fields[12])
	must(b, err)
	return time.Duration(user+system) * 10 * time.Millisecond
}

type pathBench struct {
	engine, host *process
	client       *http.Client
	nextID       atomic.Int64
}

// newPathBench starts an engine and an entry host whose configuration lists it under several endpoint names.
func newPathBench(b *testing.B, speed string, endpoints int) *pathBench {
	b.Helper()
	p := &pathBench{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	p.engine = startProcess(b, nil, pathRoleVariable+"=engines", "DRAGONFLYCROFT_PATH_SPEED="+speed)
	var args []string
	if profile := os.Getenv("DRAGONFLYCROFT_PATH_PROFILE"); profile != "" {
		args = []string{"-test.cpuprofile=" + profile}
	}
	p.host = startProcess(b, args, pathRoleVariable+"=host", "DRAGONFLYCROFT_PATH_ENGINE="+p.engine.addr, fmt.Sprint("DRAGONFLYCROFT_PATH_ENDPOINTS=", endpoints))
	return p
}

// openStream sends a streaming request. It returns the response after its first byte, and the time until then.
func (p *pathBench) openStream(b *testing.B, addr string, tokens int) (*http.Response, time.Duration) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+chatPath, bytes.NewReader(chatBody("short", tokens, true)))
	must(b, err)
	req.Header.Set("Authorization", "Bearer key-k")
	req.Header.Set("X-Request-Id", fmt.Sprint("direct-", p.nextID.Add(1)))
	began := time.Now()
	resp, err := p.client.Do(req)
	must(b, err)
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d: %v", resp.StatusCode, err)
	}
	return resp, time.Since(began)
}

func (p *pathBench) timeToFirstByte(b *testing.B, addr string, tokens int) time.Duration {
	resp, first := p.openStream(b, addr, tokens)
	_, err := io.Copy(io.Discard, resp.Body)
	must(b, err)
	must(b, resp.Body.Close())
	return first
}

// runLoad sends requests from concurrent callers that each wait for the complete answer. The times to the first byte are sorted.
func (p *pathBench) runLoad(b *testing.B, addr string, callers, requests, tokens int) (took time.Duration, firstByteTimes []time.Duration) {
	var remaining atomic.Int64
	remaining.Store(int64(requests))
	var wg sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for range callers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				first := p.timeToFirstByte(b, addr, tokens)
				mu.Lock()
				firstByteTimes = append(firstByteTimes, first)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(firstByteTimes)
	return time.Since(began), firstByteTimes
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// BenchmarkPathFirstByte measures the time to the first byte of sequential requests, alternately direct and through an entry
// host, with the entry host and the engine in separate processes.
func BenchmarkPathFirstByte(b *testing.B) {
	p := newPathBench(b, "fast", 1)
	for range 200 {
		p.timeToFirstByte(b, p.engine.addr, 3)
		p.timeToFirstByte(b, p.host.addr, 3)
	}
	b.ResetTimer()
	var direct, entry []time.Duration
	for range b.N {
		direct = append(direct, p.timeToFirstByte(b, p.engine.addr, 3))
		entry = append(entry, p.timeToFirstByte(b, p.host.addr, 3))
	}
	slices.Sort(direct)
	slices.Sort(entry)
	for _, q := range []int{50, 95} {
		at := b.N * q / 100
		b.ReportMetric(micros(direct[at]), fmt.Sprintf("direct-p%d-us", q))
		b.ReportMetric(micros(entry[at]), fmt.Sprintf("entry-p%d-us", q))
		b.ReportMetric(micros(entry[at]-direct[at]), fmt.Sprintf("added-p%d-us", q))
	}
}

// BenchmarkPathThroughput compares answers per second with a saturated engine that runs 16 requests concurrently.
func BenchmarkPathThroughput(b *testing.B) {
	p := newPathBench(b, "limited", 1)
	p.runLoad(b, p.host.addr, 32, 300, 64) // warm up: the scheduler estimates the speed of the engine
	b.ResetTimer()
	const requests = 300
	for range b.N {
		direct, _ := p.runLoad(b, p.engine.addr, 32, requests, 64)
		entry, _ := p.runLoad(b, p.host.addr, 32, requests, 64)
		b.ReportMetric(requests/direct.Seconds(), "direct/s")
		b.ReportMetric(requests/entry.Seconds(), "entry/s")
		b.ReportMetric(direct.Seconds()/entry.Seconds(), "entry/direct")
	}
}

// BenchmarkPathSteady compares answers per second in the middle half of a longer load, without the start, while the concurrency
// limit grows, and the end, when fewer callers remain.
func BenchmarkPathSteady(b *testing.B) {
	p := newPathBench(b, "limited", 1)
	b.ResetTimer()
	for range b.N {
		direct := p.steadyRate(b, p.engine.addr)
		entry := p.steadyRate(b, p.host.addr)
		b.ReportMetric(direct, "direct/s")
		b.ReportMetric(entry, "entry/s")
		b.ReportMetric(entry/direct, "entry/direct")
	}
}

// steadyRate returns the answers per second between the first and the last quarter of 800 answers to 32 callers.
func (p *pathBench) steadyRate(b *testing.B, addr string) float64 {
	const callers, requests, tokens = 32, 800, 64
	ends := make(chan time.Time, requests)
	var remaining atomic.Int64
	remaining.Store(requests)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				p.timeToFirstByte(b, addr, tokens)
				ends <- time.Now()
			}
		})
	}
	wg.Wait()
	close(ends)
	var times []time.Time
	for t := range ends {
		times = append(times, t)
	}
	slices.SortFunc(times, time.Time.Compare)
	first, last := len(times)/4, len(times)*3/4
	return float64(last-first) / times[last].Sub(times[first]).Seconds()
}

// BenchmarkPathProcessor measures the CPU time of the entry host by the length of the answers. The host is also the holder of
// its pool.
func BenchmarkPathProcessor(b *testing.B) {
	p := newPathBench(b, "fast", 1)
	p.runLoad(b, p.host.addr, 16, 500, 2)
	for _, tokens := range []int{2, 200} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			for range b.N {
				const requests = 1500
				began := p.host.cpuTime(b)
				took, firstByteTimes := p.runLoad(b, p.host.addr, 16, requests, tokens)
				b.ReportMetric(micros(p.host.cpuTime(b)-began)/requests, "host-us/request")
				b.ReportMetric(requests/took.Seconds(), "requests/s")
				b.ReportMetric(micros(firstByteTimes[len(firstByteTimes)/2]), "first-byte-p50-us")
			}
		})
	}
}

// BenchmarkPathConnection compares a request on a new connection, as each dispatch uses, with one on a reused connection.
func BenchmarkPathConnection(b *testing.B) {
	p := newPathBench(b, "fast", 1)
	for _, kept := range []bool{false, true} {
		b.Run(fmt.Sprintf("kept=%t", kept), func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !kept}}
			defer client.CloseIdleConnections()
			var usage, after syscall.Rusage
			must(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
			for b.Loop() {
				resp, err := client.Get("http://" + p.engine.addr + connector.PathLoad)
				must(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				must(b, resp.Body.Close())
			}
			must(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
			cpu := after.Utime.Nano() + after.Stime.Nano() - usage.Utime.Nano() - usage.Stime.Nano()
			b.ReportMetric(float64(cpu)/1000/float64(b.N), "client-cpu-us/op")
		})
	}
	b.Run("connect", func(b *testing.B) {
		for b.Loop() {
			c, err := net.DialTimeout("tcp", p.engine.addr, time.Second)
			must(b, err)
			must(b, c.Close())
		}
	})
}

// BenchmarkPathInventory measures one read of an inventory, as the placement leader performs it for each endpoint, and one
// load report, as the holder of a pool polls it.
func BenchmarkPathInventory(b *testing.B) {
	p := newPathBench(b, "fast", 1)
	engine := connector.NewEngine("runner-0", p.engine.addr, connector.DefaultTimeouts())
	for _, read := range []struct {
		name string
		fn   func() error
	}{
		{"inventory", func() error { _, err := engine.Inventory(context.Background()); return err }},
		{"load", func() error { _, err := engine.Load(context.Background()); return err }},
	} {
		b.Run(read.name, func(b *testing.B) {
			var before, after syscall.Rusage
			must(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
			for b.Loop() {
				must(b, read.fn())
			}
			must(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
			cpu := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
			b.ReportMetric(float64(cpu)/1000/float64(b.N), "reader-cpu-us/op")
		})
	}
}
