package forwarder

import (
	"context"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/rolloutplanner"
)

// Rollouts reads and changes the rollouts in the replicated log; it is the coordinators' store.
type Rollouts struct{ Client *controller.Client }

// rolloutStates are the states by their numbers on the wire.
var rolloutStates = map[controllerpb.RolloutState]rolloutplanner.State{
	controllerpb.RolloutState_RUNNING: rolloutplanner.Running, controllerpb.RolloutState_COMPLETED: rolloutplanner.Completed,
	controllerpb.RolloutState_ROLLED_BACK: rolloutplanner.RolledBack,
}

// Rollouts implements coordinator.RolloutStore.
func (s Rollouts) Rollouts(ctx context.Context) ([]coordinator.Rollout, error) {
	list, clockMS, err := s.Client.Rollouts(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]coordinator.Rollout, 0, len(list))
	for _, r := range list {
		out = append(out, coordinator.Rollout{
			Pool: r.GetPool(), Version: r.GetVersion(), Within: time.Duration(r.GetWithinMs()) * time.Millisecond, Revision: r.GetRevision(),
			State: rolloutStates[r.GetState()], Share: int(r.GetShare()), Age: time.Duration(clockMS-r.GetBeganMs()) * time.Millisecond,
			EndedFor: time.Duration(clockMS-r.GetEndedMs()) * time.Millisecond,
		})
	}
	return out, nil
}

// Step implements coordinator.RolloutStore.
func (s Rollouts) Step(ctx context.Context, r coordinator.Rollout, next rolloutplanner.Step) error {
	change := &controllerpb.SetRollout{Pool: r.Pool, Revision: r.Revision, Share: uint32(next.Share)}
	for number, state := range rolloutStates {
		if state == next.State {
			change.State = number
		}
	}
	return s.Client.SetRollout(ctx, change)
}

// Begin begins a rollout. The error may be a *marshaller.RolloutRunningError.
func (s Rollouts) Begin(ctx context.Context, pool, version string, within time.Duration, exposure float64) error {
	return s.Client.SetRollout(ctx, &controllerpb.SetRollout{
		Pool: pool, Version: version, WithinMs: within.Milliseconds(), Share: uint32(rolloutplanner.InitialShare(exposure)),
	})
}

// applyVersionShares applies the shares of software versions as sent by a coordinator to the requests that this host places itself.
func (h *Host) applyVersionShares(in *coordinatorpb.VersionShares) {
	if in == nil {
		return
	}
	shares := coordinator.DecodeShares(in)
	h.admitter.Update(func(b *balancer.Balancer) { b.SetVersionShares(shares) })
}
