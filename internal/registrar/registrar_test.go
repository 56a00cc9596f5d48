package registrar

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func requests(records []Record) []uint64 {
	out := []uint64{}
	for _, r := range records {
		out = append(out, r.Request)
	}
	return out
}

// Guards against joining a stream whose version two reports state differently, also after one of them is repeated.
func TestConflictingRecordsAreNotJoinable(t *testing.T) {
	var r Registry
	v1, v2 := Origin{"p", "v1", true}, Origin{"p", "v2", true}
	news := []bool{r.Record(start, 1, v1), r.Record(start, 1, v1), r.Record(start, 1, v2), r.Record(start, 1, v1), r.Record(start, 1, v2)}
	if diff := cmp.Diff([]bool{true, false, true, false, false}, news); diff != "" {
		t.Errorf("news (-want +got):\n%s", diff)
	}
	got, ok := r.Lookup(start, 1)
	if diff := cmp.Diff(Origin{"p", "v1", false}, got); diff != "" || !ok {
		t.Errorf("origin, known %v (-want +got):\n%s", ok, diff)
	}
	records, last := r.Since(1)
	if diff := cmp.Diff([]uint64{1}, requests(records)); diff != "" || last != 2 {
		t.Errorf("records since the first, last %d (-want +got):\n%s", last, diff)
	}
}

// Guards against a registry that grows without bound, or that forgets a stream while its caller may still go on with it.
func TestRecordsExpireOldestFirst(t *testing.T) {
	r := Registry{limit: 3}
	for i := range uint64(5) {
		r.Record(at(time.Duration(i)*time.Second), i, Origin{"p", "v1", true})
	}
	records, _ := r.Since(0)
	if diff := cmp.Diff([]uint64{2, 3, 4}, requests(records)); diff != "" {
		t.Errorf("kept (-want +got):\n%s", diff)
	}
	known := func(request uint64, after time.Duration) bool {
		_, ok := r.Lookup(at(after), request)
		return ok
	}
	got := []bool{known(2, 62*time.Second), known(2, 63*time.Second), known(4, 63*time.Second)}
	if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
		t.Errorf("known (-want +got):\n%s", diff)
	}
	r.Sweep(at(63 * time.Second))
	if r.Len() != 2 {
		t.Errorf("%d records after the sweep, want 2", r.Len())
	}
}

// Guards against passing on what need not be, and against reports that skip records if they are sent in parts.
func TestSince(t *testing.T) {
	var r Registry
	for i := range uint64(6) {
		r.Add(start, Record{Request: i, Origin: Origin{"p", "v1", true}, Learnt: i == 2})
	}
	var got [][]uint64
	seq := uint64(0)
	for range 4 {
		var records []Record
		records, seq = r.SinceUpTo(seq, 2)
		got = append(got, requests(records))
	}
	if diff := cmp.Diff([][]uint64{{0, 1}, {3}, {4, 5}, {}}, got); diff != "" {
		t.Errorf("parts (-want +got):\n%s", diff)
	}
}

// Guards against joining a stream at an endpoint of the version that the list showed, although another one had begun it already.
func TestEndpointChangesVersion(t *testing.T) {
	var r Registry
	r.Add(at(0), Record{Request: 1, Origin: Origin{"p", "v1", true}, Endpoint: "e"})
	r.Add(at(2*time.Second), Record{Request: 2, Origin: Origin{"p", "v1", true}, Endpoint: "e"})
	r.Add(at(2*time.Second), Record{Request: 3, Origin: Origin{"p", "v1", true}, Endpoint: "f"})
	r.EndpointChanged(at(4*time.Second), "e")
	got := map[uint64]bool{}
	for request := range uint64(4) {
		if o, ok := r.Lookup(at(4*time.Second), request); ok {
			got[request] = o.Joinable
		}
	}
	if diff := cmp.Diff(map[uint64]bool{1: true, 2: false, 3: true}, got); diff != "" {
		t.Errorf("joinable (-want +got):\n%s", diff)
	}
}

// Guards against the origin of a long stream that is forgotten while the stream goes on, although it is reported again.
func TestReportedAgain(t *testing.T) {
	var r Registry
	now := time.Unix(1000, 0)
	origin := Origin{Pool: "p", Version: "v1", Joinable: true}
	var news []bool
	for _, after := range []time.Duration{0, time.Second, Retention / 4, Retention} {
		news = append(news, r.Record(now.Add(after), 1, origin))
	}
	got, known := r.Lookup(now.Add(2*Retention-time.Second), 1)
	if diff := cmp.Diff([]any{[]bool{true, false, true, true}, origin, true}, []any{news, got, known}); diff != "" {
		t.Errorf("news, origin, known (-want +got):\n%s", diff)
	}
}
