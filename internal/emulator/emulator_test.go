package emulator

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run gives the same result. -rapid.seed selects another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

func testOptions() Options {
	return Options{PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100, BatchSlowdown: 0.1, MaxBatch: 2, ChunkTokens: 100, CacheBlocks: 4, BlockTokens: 10}
}

func runToIdle(e *Engine) (outputs []Output) {
	for {
		at, ok := e.Next()
		if !ok {
			return outputs
		}
		outputs = append(outputs, e.Advance(at)...)
	}
}

// Guards against an output with lost or extra tokens, and against prefill or decode that takes no time.
func TestSingleJob(t *testing.T) {
	e := New(testOptions())
	e.Submit(0, Job{ID: "a", PromptTokens: 200, OutputTokens: 5})
	out := runToIdle(e)
	if len(out) != 5 || !out[0].First || out[1].First || !out[4].Done || out[3].Done {
		t.Fatalf("outputs: %+v", out)
	}
	if lo, hi := 194*time.Millisecond, 206*time.Millisecond; out[0].At < lo || out[0].At > hi {
		t.Errorf("first token at %v, want 200 ms within the jitter", out[0].At)
	}
	if gap := out[2].At - out[1].At; gap < 9*time.Millisecond || gap > 11*time.Millisecond {
		t.Errorf("token gap %v, want 10 ms within the jitter", gap)
	}
	if out[4].Usage.PromptTokens != 200 || out[4].Usage.OutputTokens != 5 {
		t.Errorf("usage %+v", out[4].Usage)
	}
}

// Guards against prefill that does not delay the running sequences, which would hide the cost of admission.
func TestPrefillDelaysDecode(t *testing.T) {
	e := New(testOptions())
	e.Submit(0, Job{ID: "a", PromptTokens: 1, OutputTokens: 50})
	e.Advance(20 * time.Millisecond)
	e.Submit(20*time.Millisecond, Job{ID: "b", PromptTokens: 300, OutputTokens: 1})
	var previous, longestGap time.Duration
	for _, o := range runToIdle(e) {
		if o.ID == "a" {
			if previous > 0 {
				longestGap = max(longestGap, o.At-previous)
			}
			previous = o.At
		}
	}
	if longestGap < 100*time.Millisecond {
		t.Errorf("longest gap of the running job %v, want at least the 100 ms of one chunk", longestGap)
	}
}

// Guards against a cache that never hits, grows beyond its limit or reports events with gaps.
func TestPrefixCache(t *testing.T) {
	e := New(testOptions())
	job := func(id string, blocks ...uint64) {
		now, _ := e.Next()
		e.Submit(now, Job{ID: id, PromptTokens: 40, OutputTokens: 1, PrefixBlocks: blocks})
		for _, o := range runToIdle(e) {
			if o.Done && o.ID == "again" && o.Usage.CachedTokens != 39 {
				t.Errorf("cached tokens %d, want all but the last", o.Usage.CachedTokens)
			}
		}
	}
	job("first", 1, 2, 3, 4)
	job("again", 1, 2, 3, 4)
	job("other", 1, 9)
	cached, seq := map[uint64]bool{}, uint64(0)
	for _, ev := range e.TakeCacheEvents() {
		if ev.Seq != seq+1 {
			t.Errorf("sequence %d follows %d", ev.Seq, seq)
		}
		seq = ev.Seq
		for _, b := range ev.Added {
			cached[b] = true
		}
		for _, b := range ev.Removed {
			delete(cached, b)
		}
	}
	if diff := cmp.Diff(map[uint64]bool{1: true, 2: true, 3: true, 9: true}, cached); diff != "" {
		t.Errorf("cached blocks (-want +got):\n%s", diff)
	}
}

// Guards against lost, duplicated or reordered outputs under arbitrary submissions, cancels, speed changes and crashes.
func TestRandomSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(testOptions())
		now, want, got := time.Duration(0), map[string]int{}, map[string]int{}
		advance := func() {
			last := time.Duration(0)
			for _, o := range e.Advance(now) {
				if o.At < last || o.At > now {
					t.Fatalf("output at %v after %v, now %v", o.At, last, now)
				}
				last = o.At
				got[o.ID] += o.Tokens
				if o.Done != (got[o.ID] == want[o.ID]) {
					t.Fatalf("job %s: done %v at %d of %d tokens", o.ID, o.Done, got[o.ID], want[o.ID])
				}
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond
			advance()
			id := fmt.Sprint(i)
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				e.SetSpeed(now, rapid.Float64Range(0.1, 2).Draw(t, "speed"))
			case 1:
				victim := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "victim"))
				if _, ok := e.Cancel(now, victim); ok {
					delete(want, victim)
				}
			case 2:
				if rapid.IntRange(0, 5).Draw(t, "crash") == 0 {
					for _, lost := range e.Crash(now) {
						delete(want, lost)
					}
				}
			default:
				want[id] = rapid.IntRange(1, 20).Draw(t, "output")
				e.Submit(now, Job{ID: id, PromptTokens: rapid.IntRange(1, 300).Draw(t, "prompt"), OutputTokens: want[id]})
			}
		}
		now += time.Hour
		advance()
		for id, n := range want {
			if got[id] != n {
				t.Fatalf("job %s: %d of %d tokens", id, got[id], n)
			}
		}
	})
}
