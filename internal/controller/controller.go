// Package controller implements the control service on the hosts that hold the replicated log. It also declares aliases of the
// types that other packages use: the Client for commands, the Agent of each host and the replicated state machine.
package controller

import (
	"context"

	"github.com/dragonflycroft/dragonflycroft/internal/applier"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/submitter"
)

// Aliases of the types that make up the control plane.
type (
	// Client sends commands to the control leader.
	Client = submitter.Client
	// Agent sends the heartbeats of a host to the control leader and holds the roles and the configuration it receives.
	Agent = heartbeater.Agent
	// Network carries RPCs between hosts.
	Network = heartbeater.Network
	// StateMachine is the replicated state machine.
	StateMachine = applier.StateMachine
	// Patch is a change of the configuration.
	Patch = marshaller.Patch
	// PatchResult contains the configuration version that a patch created.
	PatchResult = marshaller.PatchResult
	// Revision is one accepted version in the configuration history.
	Revision = marshaller.Revision
	// Member is a process of a host, identified by its incarnation.
	Member = marshaller.Member
	// StaleVersionError reports a patch whose base version is not the current version.
	StaleVersionError = marshaller.StaleVersionError
	// PatchIDError reports a patch id that is missing or was already used with a different patch.
	PatchIDError = marshaller.PatchIDError
	// UnavailableError reports that no control leader responded in time.
	UnavailableError = submitter.UnavailableError
)

// RolePlacement is the role of the host that decides which models endpoints load and unload.
const RolePlacement = "placement"

// rolePoolPrefix is the prefix of the role name of a pool's scheduler.
const rolePoolPrefix = "pool/"

// ShedOpen is the shed level that closes no tier.
const ShedOpen = permitter.Open

// PoolRole returns the role name of a pool's scheduler.
func PoolRole(pool string) string { return rolePoolPrefix + pool }

// NewStateMachine returns an empty replicated state machine.
func NewStateMachine() *StateMachine { return applier.New() }

// Log is the replicated log.
type Log interface {
	// Propose replicates a command and returns the result of applying it. After an error the command may still commit.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ConfirmLeader returns once a quorum has confirmed, after the call began, that this host is the leader, and the state
	// machine has applied every command committed before the call.
	ConfirmLeader(ctx context.Context) (term, applied uint64, err error)
	Leader() (id, addr string, term uint64)
	OnLeader(func(term uint64, leader bool))
	AddLearner(ctx context.Context, id, addr string) error
	Promote(ctx context.Context, id string) error
	Remove(ctx context.Context, id string) error
	// Status returns the state of this host's log, with the latest membership in it, and the index of the last applied entry.
	Status() (status replicator.Status, applied uint64)
}
