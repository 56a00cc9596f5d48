package registrar

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// listed returns a list in which pool p has these versions.
func listed(versions ...string) map[string]map[string]bool {
	out := map[string]bool{}
	for _, v := range versions {
		out[v] = true
	}
	return map[string]map[string]bool{"p": out}
}

// sole returns the sole version of pool p, "mixed" if it had several, or "unknown".
func sole(h *History, now time.Time) string {
	version, ok := h.Sole(now, "p")
	switch {
	case ok:
		return version
	case h.Mixed(now, "p"):
		return "mixed"
	}
	return "unknown"
}

// restart writes a history at one time and reads it at another one.
func restart(t *testing.T, h *History, saved, read time.Time) *History {
	t.Helper()
	data, err := h.Encode(saved)
	if err != nil {
		t.Fatal(err)
	}
	out, err := DecodeHistory(read, data)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a claim about the time before the start, and against refusing take-ups for a minute after the first start.
func TestHistoryAtStart(t *testing.T) {
	h, first := NewHistory(start), NewBootstrapHistory()
	got := []string{sole(first, start)}
	h.Observe(at(time.Second), listed("v1"))
	first.Observe(at(time.Second), listed("v1"))
	got = append(got, sole(first, at(time.Second)), sole(h, at(61*time.Second)), sole(h, at(62*time.Second)))
	if diff := cmp.Diff([]string{"unknown", "v1", "unknown", "v1"}, got); diff != "" {
		t.Errorf("sole version (-want +got):\n%s", diff)
	}
}

// Guards against forgetting a version before a caller can no longer go on with its streams.
func TestHistoryOfReplacedVersion(t *testing.T) {
	h := NewBootstrapHistory()
	h.Observe(start, listed("v1"))
	h.Observe(at(10*time.Second), listed("v1", "v2"))
	h.Observe(at(20*time.Second), listed("v2"))
	h.Observe(at(50*time.Second), nil)
	got := []string{sole(h, at(80*time.Second)), sole(h, at(81*time.Second)), sole(h, at(111*time.Second))}
	if diff := cmp.Diff([]string{"mixed", "v2", "unknown"}, got); diff != "" {
		t.Errorf("sole version (-want +got):\n%s", diff)
	}
}

// Guards against a claim about the time in which the host was down, unless the list shows the same single version as before.
func TestHistoryAfterRestart(t *testing.T) {
	for _, test := range []struct {
		name          string
		down          time.Duration
		before, after []string
		want          []string // at once and after a minute
	}{
		{"same", 20 * time.Second, []string{"v1"}, []string{"v1"}, []string{"v1", "v1"}},
		{"other", 20 * time.Second, []string{"v1"}, []string{"v2"}, []string{"mixed", "v2"}},
		{"one more", 20 * time.Second, []string{"v1"}, []string{"v1", "v2"}, []string{"mixed", "mixed"}},
		{"one less", 20 * time.Second, []string{"v1", "v2"}, []string{"v2"}, []string{"mixed", "v2"}},
		{"two", 20 * time.Second, []string{"v1", "v2"}, []string{"v1", "v2"}, []string{"mixed", "mixed"}},
		{"no pool before", 20 * time.Second, nil, []string{"v1"}, []string{"unknown", "v1"}},
		{"same after long", time.Hour, []string{"v1"}, []string{"v1"}, []string{"unknown", "v1"}},
		{"other after long", time.Hour, []string{"v1"}, []string{"v2"}, []string{"unknown", "v2"}},
		{"one less after long", time.Hour, []string{"v1", "v2"}, []string{"v2"}, []string{"unknown", "v2"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := NewBootstrapHistory()
			if test.before == nil {
				h.Observe(start, nil)
			} else {
				h.Observe(start, listed(test.before...))
			}
			begin := at(time.Hour + test.down)
			h = restart(t, h, at(time.Hour), begin)
			if got := sole(h, begin); got != "unknown" && got != "mixed" {
				t.Errorf("sole version %q before the first list", got)
			}
			h.Observe(begin.Add(time.Second), listed(test.after...))
			got := []string{sole(h, begin.Add(2*time.Second)), sole(h, begin.Add(63*time.Second))}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("sole version (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a clock that was set while the host was down: the history must not cover more, nor a version seem to have left
// earlier.
func TestHistoryAfterClockStep(t *testing.T) {
	for _, step := range []time.Duration{-4 * time.Second, 0, 4 * time.Second} {
		h := NewHistory(start)
		h.Observe(start, listed("v1"))
		// 57 s are covered; the host is down for a second.
		restored := restart(t, h, at(57*time.Second), at(58*time.Second+step))
		restored.Observe(at(58*time.Second+step), listed("v1"))
		if got := sole(restored, at(60*time.Second+step)); got != "unknown" {
			t.Errorf("step %v: sole version %q after 60 s, want none", step, got)
		}
		if got := sole(restored, at(70*time.Second+step)); got != "v1" {
			t.Errorf("step %v: sole version %q after 70 s, want v1", step, got)
		}
		h.Observe(at(60*time.Second), listed("v2"))
		restored = restart(t, h, at(117*time.Second), at(118*time.Second+step))
		restored.Observe(at(118*time.Second+step), listed("v2"))
		if got := sole(restored, at(120*time.Second+step)); got != "mixed" {
			t.Errorf("step %v: sole version %q 60 s after the other one, want mixed", step, got)
		}
	}
}

// Guards against ignoring a version that only a peer has seen, and against a minute without answers where a peer knows the past; a
// peer without a list must add nothing.
func TestMergeHistories(t *testing.T) {
	peer := NewBootstrapHistory()
	if _, _, ok := peer.Export(start); ok {
		t.Error("a history is exported before the first list")
	}
	peer.Observe(start, listed("v1"))
	merge := func(h *History, now time.Time) {
		pools, others, _ := peer.Export(now)
		h.Merge(now, pools, others)
	}
	before, after := NewHistory(start), NewHistory(start)
	merge(before, at(time.Second))
	before.Observe(at(2*time.Second), listed("v1"))
	after.Observe(at(time.Second), listed("v1"))
	merge(after, at(2*time.Second))
	got := []string{sole(before, at(3*time.Second)), sole(after, at(3*time.Second))}
	// This peer has restarted and knows the past of the pool, but not of other pools.
	restarted, third := restart(t, peer, at(2*time.Second), at(3*time.Second)), NewHistory(at(3*time.Second))
	restarted.Observe(at(3*time.Second), listed("v1"))
	pools, others, _ := restarted.Export(at(4 * time.Second))
	third.Merge(at(4*time.Second), pools, others)
	third.Observe(at(5*time.Second), listed("v1"))
	got = append(got, sole(third, at(5*time.Second)))
	peer.Observe(at(4*time.Second), listed("v1", "v2"))
	peer.Observe(at(5*time.Second), listed("v1"))
	merge(after, at(6*time.Second))
	got = append(got, sole(after, at(65*time.Second)), sole(after, at(66*time.Second)))
	if diff := cmp.Diff([]string{"v1", "v1", "v1", "mixed", "v1"}, got); diff != "" {
		t.Errorf("sole version (-want +got):\n%s", diff)
	}
}

// Guards against a file that is not in the documented form.
func TestEncodedHistory(t *testing.T) {
	h := NewHistory(start)
	h.Observe(at(time.Second), listed("v1"))
	data, err := h.Encode(at(2 * time.Second))
	if err != nil {
		t.Fatal(err)
	}
	want := `{"saved_at":"2026-01-01T00:00:02Z","pools":{"p":{"covered_since":"2026-01-01T00:00:01Z","last_listed":{"v1":"2026-01-01T00:00:02Z"}}}}`
	if diff := cmp.Diff(want, string(data)); diff != "" {
		t.Errorf("file (-want +got):\n%s", diff)
	}
}
