package transitioner

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against transitions from a dispatched request to a state from which it could be dispatched again, and against
// dispatching an order without an intent.
func TestRequestIsDispatchedOnce(t *testing.T) {
	all := []Trigger{Submit, Grant, Decline, Intend, Dispatch, Stream, Follow, Done, GiveUp, Refuse, Fail, LoseOutcome}
	for _, ledger := range []bool{false, true} {
		type step struct {
			From State
			By   Trigger
		}
		reached := map[State][]Trigger{StateReceived: nil}
		queue := []State{StateReceived}
		dispatchedFrom := []State{}
		for len(queue) > 0 {
			from := queue[0]
			queue = queue[1:]
			for _, trigger := range all {
				m := New(ledger)
				for _, t := range reached[from] {
					_ = m.Fire(t)
				}
				if m.Fire(trigger) != nil {
					continue
				}
				to := m.State()
				if to == StateDispatched {
					dispatchedFrom = append(dispatchedFrom, from)
				}
				dispatched := from == StateDispatched || from == StateStreaming
				if dispatched && (to == StateWaiting || to == StateGranted || to == StateIntended || to == StateDispatched || to == StateNotRun || to == StateRefused) {
					t.Errorf("ledger %v: %v leads to %s", ledger, step{from, trigger}, to)
				}
				if _, known := reached[to]; !known {
					reached[to] = append(append([]Trigger{}, reached[from]...), trigger)
					queue = append(queue, to)
				}
			}
		}
		want := []State{StateGranted}
		if ledger {
			want = []State{StateIntended}
		}
		if diff := cmp.Diff(want, dispatchedFrom); diff != "" {
			t.Errorf("ledger %v: dispatched from (-want +got):\n%s", ledger, diff)
		}
	}
}

func BenchmarkNew(b *testing.B) {
	for b.Loop() {
		m := New(false)
		for _, t := range []Trigger{Submit, Grant, Dispatch, Stream, Done} {
			_ = m.Fire(t)
		}
	}
}
