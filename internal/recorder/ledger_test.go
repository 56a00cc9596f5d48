package recorder_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// TestMain fixes the seed, so that every run has the same result. Another seed can be set with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

func intent(owner, request string, attempt uint64) recorder.Intent {
	return recorder.Intent{
		Key: recorder.Key{Workspace: "w", Value: "k"}, Digest: "d", RequestID: request, Owner: owner, Endpoint: "e", Attempt: attempt,
	}
}

// owner models an entry host that tries to run the order.
type owner struct {
	name    string
	attempt uint64
	// waiting is true from sending the intent until the grant arrives or the owner withdraws.
	waiting, granted, dispatched bool
}

// message is a command sent to the ledger. It may be delayed, reordered and delivered more than once.
type message struct {
	kind    string
	owner   *owner
	attempt uint64
}

// Guards against an order that runs twice when messages are delayed, duplicated and reordered, hosts withdraw and retry, and
// live hosts are declared lost.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := recorder.New(recorder.Limits{Retention: time.Hour, MaxOrders: 4})
		key := intent("", "", 0).Key
		owners := []*owner{{name: "h1.1"}, {name: "h2.1"}, {name: "h3.1"}}
		var inFlight []message
		runs, clock := 0, int64(0)
		send := func(kind string, o *owner) { inFlight = append(inFlight, message{kind, o, o.attempt}) }
		deliver := func(m message) {
			switch m.kind {
			case "intend":
				r, err := l.Intend(intent(m.owner.name, "r-"+m.owner.name, m.attempt), 0)
				answered := rapid.Bool().Draw(t, "answered")
				if err == nil && r.Granted && answered && m.owner.waiting && m.attempt == m.owner.attempt {
					m.owner.granted, m.owner.waiting = true, false
				}
			case "conclude":
				_ = l.Conclude(key, m.owner.name, recorder.Outcome{Outcome: recorder.OutcomeDone})
			case "withdraw":
				_ = l.Withdraw(key, m.owner.name, m.attempt)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			o := rapid.SampledFrom(owners).Draw(t, "owner")
			switch rapid.SampledFrom([]string{"intend", "dispatch", "withdraw", "conclude", "deliver", "deliver", "lost", "clock"}).Draw(t, "action") {
			case "intend":
				if !o.waiting && !o.granted && !o.dispatched {
					o.attempt++
					o.waiting = true
					send("intend", o)
				}
			case "dispatch":
				if o.granted && !o.dispatched {
					o.dispatched = true
					runs++
				}
			case "withdraw":
				if (o.waiting || o.granted) && !o.dispatched {
					o.waiting, o.granted = false, false
					send("withdraw", o)
				}
			case "conclude":
				if o.dispatched {
					send("conclude", o)
				}
			case "deliver":
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
					m := inFlight[i]
					if rapid.Bool().Draw(t, "once") {
						inFlight = append(inFlight[:i], inFlight[i+1:]...)
					}
					deliver(m)
				}
			case "lost":
				l.MarkOwnerLost(o.name)
			case "clock":
				clock += 3_000
				l.AdvanceClock(clock)
				l.MarkAbsentOwnersLost(func(string) bool { return rapid.Bool().Draw(t, "member") })
				l.Expire()
			}
			if runs > 1 {
				t.Fatalf("the order ran %d times", runs)
			}
			if r, ok := l.Lookup(key); runs == 1 && !ok {
				t.Fatalf("the ledger has no record of an order that ran: %v", r)
			}
		}
	})
}

// Guards against replicas that diverge after one of them is restored from a snapshot, and against exceeded limits.
func TestRestoredLedgerStaysEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := recorder.Limits{Retention: 20 * time.Second, MaxOrders: 5, MaxBytes: 3_000, MaxBodyBytes: 300}
		a, b := recorder.New(limits), recorder.New(limits)
		clock := int64(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			clock += int64(rapid.IntRange(0, 5_000).Draw(t, "pause"))
			key := recorder.Key{Workspace: "w", Value: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			ownerName := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "owner")
			action := rapid.IntRange(0, 5).Draw(t, "action")
			body := make([]byte, rapid.IntRange(0, 400).Draw(t, "body"))
			restore := rapid.IntRange(0, 9).Draw(t, "restore") == 0
			results := [2][]any{}
			for j, l := range []*recorder.Ledger{a, b} {
				l.AdvanceClock(clock)
				switch action {
				case 0, 1:
					r, err := l.Intend(recorder.Intent{Key: key, Digest: "d", RequestID: "r", Owner: ownerName, Attempt: uint64(i)}, clock)
					results[j] = []any{r, fmt.Sprint(err)}
				case 2:
					results[j] = []any{fmt.Sprint(l.Conclude(key, ownerName, recorder.Outcome{Outcome: recorder.OutcomeDone, Body: body}))}
				case 3:
					results[j] = []any{fmt.Sprint(l.Withdraw(key, ownerName, uint64(i)))}
				case 4:
					results[j] = []any{l.MarkOwnerLost(ownerName)}
				case 5:
					l.Expire()
				}
			}
			if restore {
				records, withdrawn := b.Export()
				b = recorder.New(limits)
				b.Import(b.ClockMS()+clock, records, withdrawn)
			}
			if diff := cmp.Diff(results[0], results[1]); diff != "" {
				t.Fatalf("results of the replicas differ:\n%s", diff)
			}
			if a.Len() > limits.MaxOrders || a.Bytes() > limits.MaxBytes+limits.MaxBytes/10 || a.Bytes() != b.Bytes() {
				t.Fatalf("%d orders in %d and %d bytes", a.Len(), a.Bytes(), b.Bytes())
			}
		}
		recordsA, withdrawnA := a.Export()
		recordsB, withdrawnB := b.Export()
		if diff := cmp.Diff([]any{recordsA, withdrawnA}, []any{recordsB, withdrawnB}); diff != "" {
			t.Fatalf("states differ:\n%s", diff)
		}
	})
}

// Guards against refusing an intent that is repeated after a lost reply, and against granting any other intent for the key.
func TestRepeatedIntent(t *testing.T) {
	l := recorder.New(recorder.Limits{})
	in := intent("h1.1", "r1", 1)
	for range 2 {
		if r, err := l.Intend(in, 0); err != nil || !r.Granted {
			t.Fatalf("got %v, %v; want granted", r, err)
		}
	}
	alterations := map[string]func(*recorder.Intent){
		"owner":       func(in *recorder.Intent) { in.Owner = "h2.1" },
		"incarnation": func(in *recorder.Intent) { in.Owner = "h1.2" },
		"request":     func(in *recorder.Intent) { in.RequestID = "r2" },
		"endpoint":    func(in *recorder.Intent) { in.Endpoint = "e2" },
	}
	for name, change := range alterations {
		changed := in
		change(&changed)
		if r, err := l.Intend(changed, 0); err != nil || r.Granted || r.Owner != "h1.1" {
			t.Errorf("another %s: got %v, %v; want the record of h1.1, not granted", name, r, err)
		}
	}
	changed := in
	changed.Digest = "other"
	var mismatch *recorder.DigestMismatchError
	if _, err := l.Intend(changed, 0); !errors.As(err, &mismatch) {
		t.Errorf("another digest: got %v, want a DigestMismatchError", err)
	}
	var notOwner *recorder.NotOwnerError
	if err := l.Withdraw(in.Key, "h2.1", 9); !errors.As(err, &notOwner) {
		t.Errorf("withdrawal by another: got %v, want a NotOwnerError", err)
	}
	if err := l.Conclude(in.Key, "h2.1", recorder.Outcome{Outcome: recorder.OutcomeDone}); !errors.As(err, &notOwner) {
		t.Errorf("conclusion by another: got %v, want a NotOwnerError", err)
	}
}

// Guards against a full ledger that drops an unexpired order, which could then run again.
func TestFullLedgerRefuses(t *testing.T) {
	l := recorder.New(recorder.Limits{Retention: time.Minute, MaxOrders: 1})
	first, second := intent("h1.1", "r1", 1), intent("h1.1", "r2", 2)
	second.Key.Value = "k2"
	if _, err := l.Intend(first, 0); err != nil {
		t.Fatal(err)
	}
	var full *recorder.LedgerFullError
	if _, err := l.Intend(second, 0); !errors.As(err, &full) {
		t.Fatalf("got %v, want a LedgerFullError", err)
	}
	if err := l.Conclude(first.Key, "h1.1", recorder.Outcome{Outcome: recorder.OutcomeDone}); err != nil {
		t.Fatal(err)
	}
	l.AdvanceClock(59_999)
	if _, err := l.Intend(second, 0); !errors.As(err, &full) {
		t.Fatalf("before the retention ended: got %v, want a LedgerFullError", err)
	}
	l.AdvanceClock(60_000)
	if r, err := l.Intend(second, 0); err != nil || !r.Granted {
		t.Fatalf("after the retention: got %v, %v; want granted", r, err)
	}
}

// Guards against an order of a lost owner that is granted again or whose late outcome is not stored.
func TestOwnerLost(t *testing.T) {
	l := recorder.New(recorder.Limits{})
	in := intent("h1.1", "r1", 1)
	if _, err := l.Intend(in, 0); err != nil {
		t.Fatal(err)
	}
	l.MarkOwnerLost("h1.1")
	r, err := l.Intend(intent("h2.1", "r2", 1), 0)
	if err != nil || r.Granted || r.Phase != recorder.PhaseUnknown {
		t.Fatalf("got %v, %v; want unknown and not granted", r, err)
	}
	if err := l.Conclude(in.Key, "h1.1", recorder.Outcome{Outcome: recorder.OutcomeDone, Status: 200}); err != nil {
		t.Fatal(err)
	}
	if r, _ := l.Lookup(in.Key); r.Phase != recorder.PhaseConcluded || r.Outcome.Status != 200 {
		t.Errorf("got %v, want the outcome that the owner reported later", r)
	}
}
