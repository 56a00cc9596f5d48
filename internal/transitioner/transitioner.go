// Package transitioner is the state machine of a request.
package transitioner

import (
	"context"
	"sync/atomic"

	"github.com/qmuntal/stateless"
)

// State is the progress of a request.
type State string

// The states of a request. Dispatched is entered before the first byte is written and is never left towards a state from
// which the request could be dispatched again.
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

// Trigger moves a request to another state.
type Trigger string

// The triggers.
const (
	Submit   Trigger = "submit"
	Grant    Trigger = "grant"
	Decline  Trigger = "decline"
	Intend   Trigger = "intend"
	Dispatch Trigger = "dispatch"
	Stream   Trigger = "stream"
	Follow   Trigger = "follow"
	Done     Trigger = "done"
	GiveUp   Trigger = "give_up"
	Refuse   Trigger = "refuse"
	Fail     Trigger = "fail"
	Lose     Trigger = "lose"
)

// Machine is the state machine of one request.
type Machine struct {
	inner   *stateless.StateMachine
	current atomic.Value
}

// New returns the machine of a request. With ledger set, a dispatch requires the intended state.
func New(ledger bool) *Machine {
	m := &Machine{}
	m.current.Store(StateReceived)
	m.inner = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return m.current.Load(), nil },
		func(_ context.Context, s stateless.State) error { m.current.Store(s); return nil },
		stateless.FiringImmediate,
	)
	before := func(s State) *stateless.StateConfiguration {
		return m.inner.Configure(s).
			Permit(GiveUp, StateNotRun).
			Permit(Refuse, StateRefused).
			Permit(Lose, StateUnknown).
			Permit(Follow, StateFollowing).
			Permit(Done, StateDone)
	}
	before(StateReceived).Permit(Submit, StateWaiting)
	before(StateWaiting).Permit(Grant, StateGranted)
	granted := before(StateGranted).Permit(Decline, StateWaiting)
	if ledger {
		granted.Permit(Intend, StateIntended)
		before(StateIntended).Permit(Decline, StateWaiting).Permit(Dispatch, StateDispatched)
	} else {
		granted.Permit(Dispatch, StateDispatched)
	}
	m.inner.Configure(StateDispatched).
		Permit(Stream, StateStreaming).
		Permit(Done, StateDone).
		Permit(Fail, StateFailed).
		Permit(Lose, StateUnknown)
	m.inner.Configure(StateStreaming).
		Permit(Done, StateDone).
		Permit(Fail, StateFailed).
		Permit(Lose, StateUnknown)
	m.inner.Configure(StateFollowing).
		Permit(Done, StateDone).
		Permit(Fail, StateFailed).
		Permit(Refuse, StateRefused).
		Permit(GiveUp, StateNotRun).
		Permit(Lose, StateUnknown)
	return m
}

// State returns the current state.
func (m *Machine) State() State { return m.current.Load().(State) }

// Fire moves the request by a trigger. It returns an error when the state does not permit it.
func (m *Machine) Fire(t Trigger) error { return m.inner.Fire(t) }
