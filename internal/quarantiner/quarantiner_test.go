package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a request that crashes more than two endpoints, and against requests that stay suspect because they ran at an
// endpoint when another request crashed it.
func TestVerdicts(t *testing.T) {
	q := New(time.Minute)
	verdictAt := func(now time.Duration, print string) Status {
		v, _ := q.Status(now, print)
		return v
	}
	expect := func(step string, got, want Status) {
		t.Helper()
		if got != want {
			t.Errorf("%s: verdict %d, want %d", step, got, want)
		}
	}
	expect("never seen", verdictAt(0, "p"), Unproven)
	q.RecordSuccess(0, "p")
	expect("finished once", verdictAt(0, "p"), Unrestricted)
	q.RecordCrash(time.Second, "p", "e1", 0)
	q.RecordCrash(2*time.Second, "p", "e1", 0)
	expect("repeated reports of one crash", verdictAt(2*time.Second, "p"), Suspect)
	q.RecordCrash(3*time.Second, "p", "e2", 0)
	expect("second crash", verdictAt(4*time.Second, "p"), Refused)
	q.RecordSuccess(5*time.Second, "p")
	expect("late end of another run", verdictAt(6*time.Second, "p"), Refused)
	if _, retry := q.Status(13*time.Second, "p"); retry != 50*time.Second {
		t.Errorf("retry after %s, want 50s", retry)
	}
	expect("after the first refusal", verdictAt(64*time.Second, "p"), Suspect)
	q.StartTrial(64*time.Second, "p", 10*time.Second)
	expect("during a trial run", verdictAt(65*time.Second, "p"), Refused)
	q.RecordCrash(65*time.Second, "p", "e3", 64*time.Second)
	expect("crash during the trial run", verdictAt(66*time.Second, "p"), Refused)
	expect("before the end of the second refusal", verdictAt(5*time.Minute, "p"), Refused)
	expect("after the second refusal", verdictAt(6*time.Minute, "p"), Suspect)
	q.RecordCrash(6*time.Minute, "p", "e1", 6*time.Minute)
	expect("before the end of the third refusal", verdictAt(21*time.Minute, "p"), Refused)
	q.RecordCrash(23*time.Minute, "p", "e1", 23*time.Minute)
	expect("before the end of the longest refusal", verdictAt(82*time.Minute, "p"), Refused)
	expect("after the longest refusal", verdictAt(84*time.Minute, "p"), Suspect)
	q.StartTrial(84*time.Minute, "p", 10*time.Second)
	q.RecordSuccess(84*time.Minute, "p")
	expect("success of a trial run", verdictAt(84*time.Minute, "p"), Unrestricted)
	q.RecordCrash(0, "neighbour", "e1", 0)
	q.RecordSuccess(time.Second, "neighbour")
	expect("after a successful run", verdictAt(time.Second, "neighbour"), Unrestricted)
	q.RecordCrash(0, "silent", "e1", 0)
	q.RecordCrash(time.Second, "silent", "e2", 0)
	q.RetractCrash("silent", "e2")
	q.RetractCrash("silent", "e2")
	expect("one of two crashes retracted", verdictAt(time.Second, "silent"), Suspect)
	q.RecordCrash(0, "alive", "e1", 0)
	q.RetractCrash("alive", "e1")
	expect("only crash retracted", verdictAt(time.Second, "alive"), Unproven)
	q.RecordCrash(0, "", "e1", 0)
	expect("no fingerprint", verdictAt(0, ""), Unrestricted)
	q.RecordCrash(time.Second, "again", "e1", 0)
	q.RecordCrash(6*time.Second, "again", "e1", 5*time.Second)
	expect("the same endpoint after its restart", verdictAt(6*time.Second, "again"), Refused)
}

// Guards against memory use that grows with the number of fingerprints.
func TestFingerprintsAreBounded(t *testing.T) {
	q := New(time.Minute)
	for i := range maxFingerprints + 100 {
		q.RecordCrash(0, fmt.Sprint(i), "e", 0)
		q.RecordSuccess(0, fmt.Sprint("ok", i))
	}
	if q.Len() > maxFingerprints || q.proven.Len() > maxFingerprints {
		t.Errorf("%d crashed and %d proven fingerprints are kept", q.Len(), q.proven.Len())
	}
}

// Guards against crashes that are counted twice, and against a second crash that isn't counted because the endpoint restarted
// under the same name.
func TestCrashesAreCountedOnce(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	b := &CrashLog{}
	var got []bool
	for _, c := range []Crash{
		{Fingerprint: 1, Endpoint: 1, Began: at(0), At: at(1)},
		{Fingerprint: 1, Endpoint: 1, Began: at(0.9), At: at(1.1)},  // another run at the same endpoint
		{Fingerprint: 1, Endpoint: 1, Began: at(1.2), At: at(1.3)},  // the same crash, reported late
		{Fingerprint: 1, Endpoint: 2, Began: at(0), At: at(1)},      // another endpoint
		{Fingerprint: 1, Endpoint: 1, Began: at(4), At: at(4.1)},    // after a restart
		{Fingerprint: 1, Endpoint: 1, Began: at(-9), At: at(-8)},    // an earlier crash, reported late
		{Fingerprint: 2, Endpoint: 1, Began: at(0), At: at(1)},      // another request
		{Fingerprint: 1, Endpoint: 1, Began: at(3.5), At: at(4.05)}, // known
	} {
		got = append(got, b.Add(at(5), c))
	}
	all, last := b.Since(0)
	newest, _ := b.Since(last - 1)
	b.Remove(1)
	remaining, _ := b.Since(0)
	want := []any{[]bool{true, false, false, true, true, true, true, false}, 5, 1, uint64(2)}
	if diff := cmp.Diff(want, []any{got, len(all), len(newest), remaining[0].Fingerprint}); diff != "" {
		t.Errorf("added crashes, all crashes, newest crash, remaining crash (-want +got):\n%s", diff)
	}
	for i := range uint64(2 * maxKeptCrashes) {
		b.Add(at(6), Crash{Fingerprint: 100 + i, Endpoint: 1, Began: at(5), At: at(6)})
	}
	b.Add(at(7).Add(crashRetention), Crash{Fingerprint: 3, Endpoint: 1, Began: at(7), At: at(7)})
	if all, _ := b.Since(0); len(all) != 1 {
		t.Errorf("%d crashes are kept after their retention time, want 1", len(all))
	}
}

// Guards against losing the crashes of a request that crashes endpoints repeatedly, when many other requests that ran at a
// crashed endpoint fill the list.
func TestRepeatedCrashesAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	b := &CrashLog{}
	for endpoint := range uint64(2) {
		b.Add(now, Crash{Fingerprint: 1, Endpoint: endpoint, Began: now, At: now})
	}
	for i := range uint64(2 * maxKeptCrashes) {
		b.Add(now, Crash{Fingerprint: 100 + i, Endpoint: 9, Began: now, At: now})
	}
	all, _ := b.Since(0)
	if len(all) != maxKeptCrashes || all[0].Fingerprint != 1 || all[1].Fingerprint != 1 {
		t.Errorf("%d crashes are kept, want %d with those of the repeated request first", len(all), maxKeptCrashes)
	}
}
