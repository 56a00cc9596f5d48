package dispatcher

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

type trigger string

const (
	triggerSubmit   trigger = "submit"
	triggerGrant    trigger = "grant"
	triggerDecline  trigger = "decline"
	triggerIntend   trigger = "intend"
	triggerDispatch trigger = "dispatch"
	triggerStream   trigger = "stream"
	triggerFollow   trigger = "follow"
	triggerDone     trigger = "done"
	triggerGiveUp   trigger = "give_up"
	triggerRefuse   trigger = "refuse"
	triggerFail     trigger = "fail"
	triggerLose     trigger = "lose"
)

// machine is the state machine of one request.
type machine struct {
	*stateless.StateMachine
	current atomic.Value
}

// newMachine returns the machine of a request. With ledger set, a dispatch requires the intended state.
func newMachine(ledger bool) *machine {
	m := &machine{}
	m.current.Store(StateReceived)
	m.StateMachine = stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return m.current.Load(), nil },
		func(_ context.Context, s stateless.State) error { m.current.Store(s); return nil },
		stateless.FiringImmediate,
	)
	before := func(s State) *stateless.StateConfiguration {
		return m.Configure(s).
			Permit(triggerGiveUp, StateNotRun).
			Permit(triggerRefuse, StateRefused).
			Permit(triggerLose, StateUnknown).
			Permit(triggerFollow, StateFollowing).
			Permit(triggerDone, StateDone)
	}
	before(StateReceived).Permit(triggerSubmit, StateWaiting)
	before(StateWaiting).Permit(triggerGrant, StateGranted)
	granted := before(StateGranted).Permit(triggerDecline, StateWaiting)
	if ledger {
		granted.Permit(triggerIntend, StateIntended)
		before(StateIntended).Permit(triggerDecline, StateWaiting).Permit(triggerDispatch, StateDispatched)
	} else {
		granted.Permit(triggerDispatch, StateDispatched)
	}
	m.Configure(StateDispatched).
		Permit(triggerStream, StateStreaming).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerLose, StateUnknown)
	m.Configure(StateStreaming).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerLose, StateUnknown)
	m.Configure(StateFollowing).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerRefuse, StateRefused).
		Permit(triggerGiveUp, StateNotRun).
		Permit(triggerLose, StateUnknown)
	return m
}

// State returns the current state.
func (m *machine) State() State { return m.current.Load().(State) }
