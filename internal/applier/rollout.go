package applier

import (
	"maps"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
)

// repeatedOrderTime is the time after the end of a rollout in which the same order is taken for a repetition whose answer was lost.
const repeatedOrderTime = time.Minute

// setRollout begins a rollout or takes it to the next step. It returns the revision of the rollout.
func (m *StateMachine) setRollout(clockMS int64, in *controllerpb.SetRollout) (uint64, error) {
	current := m.rollouts[in.GetPool()]
	running := current != nil && current.GetState() == controllerpb.RolloutState_RUNNING
	if in.GetRevision() > 0 {
		if !running || in.GetRevision() != current.GetRevision() {
			return 0, &marshaller.StaleRolloutError{Revision: in.GetRevision(), Current: current.GetRevision()}
		}
		next := &controllerpb.Rollout{
			Pool: current.GetPool(), Version: current.GetVersion(), WithinMs: current.GetWithinMs(), Revision: current.GetRevision() + 1,
			State: in.GetState(), Share: in.GetShare(), BeganMs: current.GetBeganMs(),
		}
		if in.GetState() != controllerpb.RolloutState_RUNNING {
			next.EndedMs = clockMS
		}
		m.rollouts[in.GetPool()] = next
		return next.GetRevision(), nil
	}
	switch {
	case running:
		return 0, &marshaller.RolloutRunningError{Pool: current.GetPool(), Version: current.GetVersion()}
	case current != nil && current.GetVersion() == in.GetVersion() && clockMS-current.GetEndedMs() < repeatedOrderTime.Milliseconds():
		return current.GetRevision(), nil
	}
	m.rollouts[in.GetPool()] = &controllerpb.Rollout{
		Pool: in.GetPool(), Version: in.GetVersion(), WithinMs: in.GetWithinMs(), Revision: current.GetRevision() + 1, Share: in.GetShare(), BeganMs: clockMS,
	}
	return current.GetRevision() + 1, nil
}

// Rollouts returns the newest rollout of each pool, in the order of the pools' names. They must not be changed.
func (m *StateMachine) Rollouts() []*controllerpb.Rollout {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sortedRollouts()
}

func (m *StateMachine) sortedRollouts() []*controllerpb.Rollout {
	out := make([]*controllerpb.Rollout, 0, len(m.rollouts))
	for _, pool := range slices.Sorted(maps.Keys(m.rollouts)) {
		out = append(out, m.rollouts[pool])
	}
	return out
}
