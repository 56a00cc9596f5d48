// Package transitioner implements the state machine of a request.
package transitioner

import (
	"context"
	"sync/atomic"

	"github.com/qmuntal/stateless"
)

// State is the state of a request.
type State string

// The states of a request. A request enters StateDispatched before its first byte is written to an endpoint. No transition leads
// from there to a state from which the request could be dispatched again.
const (
	StateReceived   State = "received"
	StateWaiting    State = "waiting"
	StateGranted    State = "granted"
	StateIntended   State = "intended"
	StateDispatched State = "dispatched"
	StateStreaming  State = "streaming"
	StateFollowing  State = "following"
	StateDone       State = "done"
	StateNotRun     State = "not_run"
	StateUnknown    State = "unknown"
	StateRefused    State = "refused"
	StateFailed     State = "failed"
)

// Trigger is an event that causes a transition to another state.
type Trigger string

// The triggers of the state machine.
const (
	Submit      Trigger = "submit"
	Grant       Trigger = "grant"
	Decline     Trigger = "decline"
	Intend      Trigger = "intend"
	Dispatch    Trigger = "dispatch"
	Stream      Trigger = "stream"
	Follow      Trigger = "follow"
	Done        Trigger = "done"
	GiveUp      Trigger = "give_up"
	Refuse      Trigger = "refuse"
	Fail        Trigger = "fail"
	LoseOutcome Trigger = "lose"
)

// Machine is the state machine of one request.
type Machine struct {
	machine *stateless.StateMachine
	current atomic.Value
}

// New returns the state machine of a new request. If ledger is true, only a request in StateIntended can be dispatched: its
// intent is in the ledger.
func New(ledger bool) *Machine {
	m := &Machine{}
	m.current.Store(StateReceived)
	m.machine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return m.current.Load(), nil },
		func(_ context.Context, s stateless.State) error { m.current.Store(s); return nil },
		stateless.FiringImmediate,
	)
	undispatched := func(s State) *stateless.StateConfiguration {
		return m.machine.Configure(s).
			Permit(GiveUp, StateNotRun).
			Permit(Refuse, StateRefused).
			Permit(LoseOutcome, StateUnknown).
			Permit(Follow, StateFollowing).
			Permit(Done, StateDone)
	}
	undispatched(StateReceived).Permit(Submit, StateWaiting)
	undispatched(StateWaiting).Permit(Grant, StateGranted)
	granted := undispatched(StateGranted).Permit(Decline, StateWaiting)
	if ledger {
		granted.Permit(Intend, StateIntended)
		undispatched(StateIntended).Permit(Decline, StateWaiting).Permit(Dispatch, StateDispatched)
	} else {
		granted.Permit(Dispatch, StateDispatched)
	}
	m.machine.Configure(StateDispatched).
		Permit(Stream, StateStreaming).
		Permit(Done, StateDone).
		Permit(Fail, StateFailed).
		Permit(LoseOutcome, StateUnknown)
	m.machine.Configure(StateStreaming).
		Permit(Done, StateDone).
		Permit(Fail, StateFailed).
		Permit(LoseOutcome, StateUnknown)
	m.machine.Configure(StateFollowing).
		Permit(Done, StateDone).
		Permit(Fail, StateFailed).
		Permit(Refuse, StateRefused).
		Permit(GiveUp, StateNotRun).
		Permit(LoseOutcome, StateUnknown)
	return m
}

// State returns the current state. It is safe for concurrent use.
func (m *Machine) State() State { return m.current.Load().(State) }

// Fire performs the transition of a trigger. It returns an error when the current state does not permit the trigger.
func (m *Machine) Fire(t Trigger) error { return m.machine.Fire(t) }
