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

// TestMain fixes the seed, so that every run gives the same verdict. Another seed can be given with -rapid.seed.
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

// owner is the model of an entry host that wants to run the order.
type owner struct {
	name    string
	attempt uint64
	// waiting is true from the intent until it is granted, given up or refused.
	waiting, granted, dispatched bool
}

// message is a command on its way to the ledger; it may be delivered late and more than once.
type message struct {
	kind    string
	owner   *owner
	attempt uint64
}

// Guards against an order that runs twice while messages are delayed, repeated and reordered, hosts withdraw and try
// again, and hosts are declared dead although they live.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := recorder.New(recorder.Limits{Retention: time.Hour, MaxOrders: 4})
		key := intent("", "", 0).Key
		owners := []*owner{{name: "h1.1"}, {name: "h2.1"}, {name: "h3.1"}}
		var sent []message
		runs, clock := 0, int64(0)
		post := func(kind string, o *owner) { sent = append(sent, message{kind, o, o.attempt}) }
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
					post("intend", o)
				}
			case "dispatch":
				if o.granted && !o.dispatched {
					o.dispatched = true
					runs++
				}
			case "withdraw":
				if (o.waiting || o.granted) && !o.dispatched {
					o.waiting, o.granted = false, false
					post("withdraw", o)
				}
			case "conclude":
				if o.dispatched {
					post("conclude", o)
				}
			case "deliver":
				if len(sent) > 0 {
					i := rapid.IntRange(0, len(sent)-1).Draw(t, "message")
					m := sent[i]
					if rapid.Bool().Draw(t, "once") {
						sent = append(sent[:i], sent[i+1:]...)
					}
					deliver(m)
				}
			case "lost":
				l.OwnerLost(o.name)
			case "clock":
				clock += 3_000
				l.Advance(clock)
				l.Sweep(func(string) bool { return rapid.Bool().Draw(t, "member") })
				l.Expire()
			}
			if runs > 1 {
				t.Fatalf("the order ran %d times", runs)
			}
			if r, ok := l.Lookup(key); runs == 1 && !ok {
				t.Fatalf("an order that ran has left the ledger: %v", r)
			}
		}
	})
}

// Guards against replicas that differ after one of them was restored from a snapshot, and against bounds being exceeded.
func TestRestoredLedgerStaysEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := recorder.Limits{Retention: 20 * time.Second, MaxOrders: 5, MaxBytes: 3_000, MaxBodyBytes: 300}
		a, b := recorder.New(limits), recorder.New(limits)
		clock := int64(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			clock += int64(rapid.IntRange(0, 5_000).Draw(t, "pause"))
			key := recorder.Key{Workspace: "w", Value: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			who := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "owner")
			action := rapid.IntRange(0, 5).Draw(t, "action")
			body := make([]byte, rapid.IntRange(0, 400).Draw(t, "body"))
			restore := rapid.IntRange(0, 9).Draw(t, "restore") == 0
			results := [2][]any{}
			for j, l := range []*recorder.Ledger{a, b} {
				l.Advance(clock)
				switch action {
				case 0, 1:
					r, err := l.Intend(recorder.Intent{Key: key, Digest: "d", RequestID: "r", Owner: who, Attempt: uint64(i)}, clock)
					results[j] = []any{r, fmt.Sprint(err)}
				case 2:
					results[j] = []any{fmt.Sprint(l.Conclude(key, who, recorder.Outcome{Outcome: recorder.OutcomeDone, Body: body}))}
				case 3:
					results[j] = []any{fmt.Sprint(l.Withdraw(key, who, uint64(i)))}
				case 4:
					results[j] = []any{l.OwnerLost(who)}
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
				t.Fatalf("replicas answer differently:\n%s", diff)
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

// Guards against a retry of a lost answer being refused, and against anything else being granted a second time.
func TestIntendAgain(t *testing.T) {
	l := recorder.New(recorder.Limits{})
	in := intent("h1.1", "r1", 1)
	for range 2 {
		if r, err := l.Intend(in, 0); err != nil || !r.Granted {
			t.Fatalf("got %v, %v; want granted", r, err)
		}
	}
	other := map[string]func(*recorder.Intent){
		"owner":       func(in *recorder.Intent) { in.Owner = "h2.1" },
		"incarnation": func(in *recorder.Intent) { in.Owner = "h1.2" },
		"request":     func(in *recorder.Intent) { in.RequestID = "r2" },
		"endpoint":    func(in *recorder.Intent) { in.Endpoint = "e2" },
	}
	for name, change := range other {
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

// Guards against a full ledger that forgets an unexpired order, which could then run again.
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
	l.Advance(59_999)
	if _, err := l.Intend(second, 0); !errors.As(err, &full) {
		t.Fatalf("before the retention ended: got %v, want a LedgerFullError", err)
	}
	l.Advance(60_000)
	if r, err := l.Intend(second, 0); err != nil || !r.Granted {
		t.Fatalf("after the retention: got %v, %v; want granted", r, err)
	}
}

// Guards against an order of a dead owner that can be run again or that is never answered.
func TestOwnerLost(t *testing.T) {
	l := recorder.New(recorder.Limits{})
	in := intent("h1.1", "r1", 1)
	if _, err := l.Intend(in, 0); err != nil {
		t.Fatal(err)
	}
	l.OwnerLost("h1.1")
	r, err := l.Intend(intent("h2.1", "r2", 1), 0)
	if err != nil || r.Granted || r.Phase != recorder.PhaseUnknown {
		t.Fatalf("got %v, %v; want unknown and not granted", r, err)
	}
	if err := l.Conclude(in.Key, "h1.1", recorder.Outcome{Outcome: recorder.OutcomeDone, Status: 200}); err != nil {
		t.Fatal(err)
	}
	if r, _ := l.Lookup(in.Key); r.Phase != recorder.PhaseConcluded || r.Outcome.Status != 200 {
		t.Errorf("got %v, want the outcome that the owner learned later", r)
	}
}
