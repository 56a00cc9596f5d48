package quarantiner

import (
	"fmt"
	"testing"
	"time"
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
	q.Crashed(time.Second, "p", "e1")
	q.Crashed(2*time.Second, "p", "e1")
	expect("several signs of one crash", verdict(2*time.Second, "p"), Suspect)
	q.Crashed(3*time.Second, "p", "e2")
	expect("second crash", verdict(4*time.Second, "p"), Refused)
	q.Finished(5*time.Second, "p")
	expect("a late end of another run", verdict(6*time.Second, "p"), Refused)
	if _, retry := q.Verdict(13*time.Second, "p"); retry != 50*time.Second {
		t.Errorf("retry after %s, want 50s", retry)
	}
	expect("after the hold", verdict(64*time.Second, "p"), Suspect)
	q.Crashed(65*time.Second, "p", "e3")
	expect("a crash after the hold", verdict(66*time.Second, "p"), Refused)
	q.Crashed(0, "neighbour", "e1")
	q.Finished(time.Second, "neighbour")
	expect("neighbour after a good run", verdict(time.Second, "neighbour"), Free)
	q.Crashed(0, "silent", "e1")
	q.Crashed(time.Second, "silent", "e2")
	q.Absolve("silent", "e2")
	q.Absolve("silent", "e2")
	expect("one of two crashes was none", verdict(time.Second, "silent"), Suspect)
	q.Crashed(0, "alive", "e1")
	q.Absolve("alive", "e1")
	expect("the only crash was none", verdict(time.Second, "alive"), Fresh)
	q.Crashed(0, "", "e1")
	expect("no fingerprint", verdict(0, ""), Free)
}

// Guards against memory that grows with the number of fingerprints.
func TestBound(t *testing.T) {
	q := New(time.Minute)
	for i := range maxRecords + 100 {
		q.Crashed(0, fmt.Sprint(i), "e")
		q.Finished(0, fmt.Sprint("ok", i))
	}
	if q.Len() > maxRecords || len(q.proven.byKey) > maxRecords {
		t.Errorf("%d crashed and %d proven fingerprints are kept", q.Len(), len(q.proven.byKey))
	}
}
