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

// pathRole selects the part of the path that a process of the path benchmarks runs.
const pathRole = "DRAGONFLYCROFT_PATH_ROLE"

// fastEngine answers at once, so that the time of the path is what is measured.
func fastEngine() emulator.Options {
	return emulator.Options{PrefillTokensPerSecond: 1e8, DecodeTokensPerSecond: 1e4, MaxBatch: 4096, ChunkTokens: 1 << 20}
}

// TestPathProcess runs one entry host and its stand-in engines for the path benchmarks, which start it in a process of its
// own: "host" holds the entry host, "engines" the engines. In other runs it does nothing.
func TestPathProcess(t *testing.T) {
	switch os.Getenv(pathRole) {
	case "engines":
		speed := fastEngine()
		if os.Getenv("DRAGONFLYCROFT_PATH_SPEED") == "limited" {
			speed = emulator.Options{PrefillTokensPerSecond: 20_000, DecodeTokensPerSecond: 200, BatchSlowdown: 0.02, MaxBatch: 16}
		}
		s := newSystem(t, 0, 1, speed)
		fmt.Println("address", s.engines[0].Addr())
	case "host":
		s := newSystem(t, 0, 0, fastEngine())
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

// part is a process of the path.
type part struct {
	addr string
	pid  int
}

func startPart(b *testing.B, args []string, env ...string) *part {
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
		// Open streams can keep a part from ending.
		kill := time.AfterFunc(3*time.Second, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		kill.Stop()
	})
	p := &part{pid: cmd.Process.Pid}
	scanner := bufio.NewScanner(out)
	for p.addr == "" && scanner.Scan() {
		p.addr, _ = strings.CutPrefix(scanner.Text(), "address ")
		if strings.Contains(p.addr, " ") || !strings.Contains(p.addr, ":") {
			p.addr = ""
		}
	}
	go func() { _, _ = io.Copy(io.Discard, out) }()
	if p.addr == "" {
		b.Fatal("a part of the path did not start")
	}
	return p
}

// cpu returns the processor time of the process.
func (p *part) cpu(b *testing.B) time.Duration {
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

type path struct {
	engine, host *part
	client       *http.Client
	next         atomic.Int64
}

// newPath starts an engine and an entry host that knows it under a number of endpoint names.
func newPath(b *testing.B, speed string, endpoints int) *path {
	b.Helper()
	p := &path{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
	p.engine = startPart(b, nil, pathRole+"=engines", "DRAGONFLYCROFT_PATH_SPEED="+speed)
	var args []string
	if profile := os.Getenv("DRAGONFLYCROFT_PATH_PROFILE"); profile != "" {
		args = []string{"-test.cpuprofile=" + profile}
	}
	p.host = startPart(b, args, pathRole+"=host", "DRAGONFLYCROFT_PATH_ENGINE="+p.engine.addr, fmt.Sprint("DRAGONFLYCROFT_PATH_ENDPOINTS=", endpoints))
	return p
}

// open sends a streamed request and returns the response after the first byte of an event.
func (p *path) open(b *testing.B, addr string, tokens int) (*http.Response, time.Duration) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+addr+chatPath, bytes.NewReader(chatBody("short", tokens, true)))
	must(b, err)
	req.Header.Set("Authorization", "Bearer key-k")
	req.Header.Set("X-Request-Id", fmt.Sprint("direct-", p.next.Add(1)))
	began := time.Now()
	resp, err := p.client.Do(req)
	must(b, err)
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d: %v", resp.StatusCode, err)
	}
	return resp, time.Since(began)
}

func (p *path) whole(b *testing.B, addr string, tokens int) time.Duration {
	resp, first := p.open(b, addr, tokens)
	_, err := io.Copy(io.Discard, resp.Body)
	must(b, err)
	must(b, resp.Body.Close())
	return first
}

// load runs requests from a number of callers that each wait for the whole answer.
func (p *path) load(b *testing.B, addr string, callers, requests, tokens int) (took time.Duration, firsts []time.Duration) {
	var left atomic.Int64
	left.Store(int64(requests))
	var wg sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				first := p.whole(b, addr, tokens)
				mu.Lock()
				firsts = append(firsts, first)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(firsts)
	return time.Since(began), firsts
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// BenchmarkPathFirstByte measures the time to the first byte, directly and through an entry host in turn, one request at a
// time, with the entry host and the engine in processes of their own.
func BenchmarkPathFirstByte(b *testing.B) {
	p := newPath(b, "fast", 1)
	for range 200 {
		p.whole(b, p.engine.addr, 3)
		p.whole(b, p.host.addr, 3)
	}
	b.ResetTimer()
	var direct, entry []time.Duration
	for range b.N {
		direct = append(direct, p.whole(b, p.engine.addr, 3))
		entry = append(entry, p.whole(b, p.host.addr, 3))
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

// BenchmarkPathThroughput compares answers per second at the limit of an engine that runs 16 requests at once.
func BenchmarkPathThroughput(b *testing.B) {
	p := newPath(b, "limited", 1)
	p.load(b, p.host.addr, 32, 300, 64) // the scheduler learns the speed of the engine
	b.ResetTimer()
	const requests = 300
	for range b.N {
		direct, _ := p.load(b, p.engine.addr, 32, requests, 64)
		entry, _ := p.load(b, p.host.addr, 32, requests, 64)
		b.ReportMetric(requests/direct.Seconds(), "direct/s")
		b.ReportMetric(requests/entry.Seconds(), "entry/s")
		b.ReportMetric(direct.Seconds()/entry.Seconds(), "entry/direct")
	}
}

// BenchmarkPathSteady compares answers per second in the middle half of a longer load, without the time in which the bound
// grows and the time in which the callers run out.
func BenchmarkPathSteady(b *testing.B) {
	p := newPath(b, "limited", 1)
	b.ResetTimer()
	for range b.N {
		direct := p.steady(b, p.engine.addr)
		entry := p.steady(b, p.host.addr)
		b.ReportMetric(direct, "direct/s")
		b.ReportMetric(entry, "entry/s")
		b.ReportMetric(entry/direct, "entry/direct")
	}
}

// steady returns the answers per second between the first and the last quarter of 800 answers to 32 callers.
func (p *path) steady(b *testing.B, addr string) float64 {
	const callers, requests, tokens = 32, 800, 64
	ends := make(chan time.Time, requests)
	var left atomic.Int64
	left.Store(requests)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				p.whole(b, addr, tokens)
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

// BenchmarkPathProcessor measures the processor time of the entry host by the length of the answers. The host is also the
// holder of its pool.
func BenchmarkPathProcessor(b *testing.B) {
	p := newPath(b, "fast", 1)
	p.load(b, p.host.addr, 16, 500, 2)
	for _, tokens := range []int{2, 200} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			for range b.N {
				const requests = 1500
				began := p.host.cpu(b)
				took, firsts := p.load(b, p.host.addr, 16, requests, tokens)
				b.ReportMetric(micros(p.host.cpu(b)-began)/requests, "host-us/request")
				b.ReportMetric(requests/took.Seconds(), "requests/s")
				b.ReportMetric(micros(firsts[len(firsts)/2]), "first-byte-p50-us")
			}
		})
	}
}

// BenchmarkPathConnection compares a request on a new connection, as each dispatch uses, with one on a kept connection.
func BenchmarkPathConnection(b *testing.B) {
	p := newPath(b, "fast", 1)
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
	p := newPath(b, "fast", 1)
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
