package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a request that crashes more than two endpoints, and against neighbours that stay suspect.
func TestVerdicts(t *testing.T) {
	q := New(time.Minute)
	verdict := func(now time.Duration, print string) Verdict {
		v, _ := q.Verdict(now, print)
		return v
	}
	expect := func(step string, got, want Verdict) {
		t.Helper()
		if got != want {
			t.Errorf("%s: verdict %d, want %d", step, got, want)
		}
	}
	expect("never seen", verdict(0, "p"), Fresh)
	q.Finished(0, "p")
	expect("finished once", verdict(0, "p"), Free)
	q.Crashed(time.Second, "p", "e1", 0)
	q.Crashed(2*time.Second, "p", "e1", 0)
	expect("several signs of one crash", verdict(2*time.Second, "p"), Suspect)
	q.Crashed(3*time.Second, "p", "e2", 0)
	expect("second crash", verdict(4*time.Second, "p"), Refused)
	q.Finished(5*time.Second, "p")
	expect("a late end of another run", verdict(6*time.Second, "p"), Refused)
	if _, retry := q.Verdict(13*time.Second, "p"); retry != 50*time.Second {
		t.Errorf("retry after %s, want 50s", retry)
	}
	expect("after the hold", verdict(64*time.Second, "p"), Suspect)
	q.Try(64*time.Second, "p", 10*time.Second)
	expect("while another run shows how it ends", verdict(65*time.Second, "p"), Refused)
	q.Crashed(65*time.Second, "p", "e3", 64*time.Second)
	expect("a crash after the hold", verdict(66*time.Second, "p"), Refused)
	expect("a hold later", verdict(5*time.Minute, "p"), Refused)
	expect("after a longer hold", verdict(6*time.Minute, "p"), Suspect)
	q.Crashed(6*time.Minute, "p", "e1", 6*time.Minute)
	expect("a longer hold later", verdict(21*time.Minute, "p"), Refused)
	q.Crashed(23*time.Minute, "p", "e1", 23*time.Minute)
	expect("the longest hold later", verdict(82*time.Minute, "p"), Refused)
	expect("after the longest hold", verdict(84*time.Minute, "p"), Suspect)
	q.Try(84*time.Minute, "p", 10*time.Second)
	q.Finished(84*time.Minute, "p")
	expect("a success after the hold", verdict(84*time.Minute, "p"), Free)
	q.Crashed(0, "neighbour", "e1", 0)
	q.Finished(time.Second, "neighbour")
	expect("neighbour after a good run", verdict(time.Second, "neighbour"), Free)
	q.Crashed(0, "silent", "e1", 0)
	q.Crashed(time.Second, "silent", "e2", 0)
	q.Absolve("silent", "e2")
	q.Absolve("silent", "e2")
	expect("one of two crashes was none", verdict(time.Second, "silent"), Suspect)
	q.Crashed(0, "alive", "e1", 0)
	q.Absolve("alive", "e1")
	expect("the only crash was none", verdict(time.Second, "alive"), Fresh)
	q.Crashed(0, "", "e1", 0)
	expect("no fingerprint", verdict(0, ""), Free)
	q.Crashed(time.Second, "again", "e1", 0)
	q.Crashed(6*time.Second, "again", "e1", 5*time.Second)
	expect("the same endpoint after its restart", verdict(6*time.Second, "again"), Refused)
}

// Guards against memory that grows with the number of fingerprints.
func TestBound(t *testing.T) {
	q := New(time.Minute)
	for i := range maxRecords + 100 {
		q.Crashed(0, fmt.Sprint(i), "e", 0)
		q.Finished(0, fmt.Sprint("ok", i))
	}
	if q.Len() > maxRecords || len(q.proven.byKey) > maxRecords {
		t.Errorf("%d crashed and %d proven fingerprints are kept", q.Len(), len(q.proven.byKey))
	}
}

// Guards against crashes that are counted twice, and against a second crash of an endpoint that has returned under its name and is
// taken for the first.
func TestBook(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	b := &Book{}
	var got []bool
	for _, c := range []Crash{
		{Fingerprint: 1, Endpoint: 1, Began: at(0), At: at(1)},
		{Fingerprint: 1, Endpoint: 1, Began: at(0.9), At: at(1.1)},  // another run there
		{Fingerprint: 1, Endpoint: 1, Began: at(1.2), At: at(1.3)},  // the same, told late
		{Fingerprint: 1, Endpoint: 2, Began: at(0), At: at(1)},      // another endpoint
		{Fingerprint: 1, Endpoint: 1, Began: at(4), At: at(4.1)},    // after a restart
		{Fingerprint: 1, Endpoint: 1, Began: at(-9), At: at(-8)},    // before, heard late
		{Fingerprint: 2, Endpoint: 1, Began: at(0), At: at(1)},      // another request
		{Fingerprint: 1, Endpoint: 1, Began: at(3.5), At: at(4.05)}, // known
	} {
		got = append(got, b.Add(at(5), c))
	}
	all, last := b.Since(0)
	news, _ := b.Since(last - 1)
	b.Remove(1)
	left, _ := b.Since(0)
	want := []any{[]bool{true, false, false, true, true, true, true, false}, 5, 1, uint64(2)}
	if diff := cmp.Diff(want, []any{got, len(all), len(news), left[0].Fingerprint}); diff != "" {
		t.Errorf("crashes that are new, all, the last one, what is left (-want +got):\n%s", diff)
	}
	for i := range uint64(2 * maxNoted) {
		b.Add(at(6), Crash{Fingerprint: 100 + i, Endpoint: 1, Began: at(5), At: at(6)})
	}
	b.Add(at(7).Add(keptFor), Crash{Fingerprint: 3, Endpoint: 1, Began: at(7), At: at(7)})
	if all, _ := b.Since(0); len(all) != 1 {
		t.Errorf("%d crashes are kept beyond their time", len(all))
	}
}

// Guards against a flood of requests that were at an endpoint when it crashed, which would push out the one that crashes endpoints.
func TestBookKeepsRepeatedCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &Book{}
	for endpoint := range uint64(2) {
		b.Add(now, Crash{Fingerprint: 1, Endpoint: endpoint, Began: now, At: now})
	}
	for i := range uint64(2 * maxNoted) {
		b.Add(now, Crash{Fingerprint: 100 + i, Endpoint: 9, Began: now, At: now})
	}
	all, _ := b.Since(0)
	if len(all) != maxNoted || all[0].Fingerprint != 1 || all[1].Fingerprint != 1 {
		t.Errorf("%d crashes are kept, want %d with the repeated ones first", len(all), maxNoted)
	}
}
