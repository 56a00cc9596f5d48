// Package controller runs the control service on the hosts that hold the replicated log, and names the types that other
// parts use: the Client for commands, the Agent of each host and the replicated state.
package controller

import (
	"context"

	"github.com/dragonflycroft/dragonflycroft/internal/applier"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/submitter"
)

// Types of the parts that the controller is made of.
type (
	// Client sends commands to the control leader.
	Client = submitter.Client
	// Agent represents a host towards the control leader.
	Agent = heartbeater.Agent
	// Network carries exchanges between hosts.
	Network = heartbeater.Network
	// Machine is the replicated state.
	Machine = applier.Machine
	// Patch is a change of the configuration.
	Patch = marshaller.Patch
	// PatchResult is the version that a patch created.
	PatchResult = marshaller.PatchResult
	// Revision is one accepted version in the history.
	Revision = marshaller.Revision
	// Member is a process of a host.
	Member = marshaller.Member
	// StaleVersionError reports a patch against a version that is not the current one.
	StaleVersionError = marshaller.StaleVersionError
	// PatchIDError reports a patch id that is missing or was used with another patch.
	PatchIDError = marshaller.PatchIDError
	// UnavailableError reports that no control leader answered in time.
	UnavailableError = submitter.UnavailableError
)

// RolePlacement is the role of the host that gives orders to load and unload models.
const RolePlacement = "placement"

// rolePoolPrefix starts the name of the role of a pool's scheduler.
const rolePoolPrefix = "pool/"

// ShedOpen is the shed level that closes no tier.
const ShedOpen = permitter.Open

// PoolRole returns the role of a pool's scheduler.
func PoolRole(pool string) string { return rolePoolPrefix + pool }

// NewMachine returns an empty replicated state.
func NewMachine() *Machine { return applier.New() }

// Log is the replicated log.
type Log interface {
	// Propose returns the result of applying a command once it is committed. After an error the command may still commit.
	Propose(ctx context.Context, command []byte) (result []byte, err error)
	// ConfirmLeader returns once a quorum has confirmed, after the call began, that this host leads, and the state is
	// applied up to that moment.
	ConfirmLeader(ctx context.Context) (term, applied uint64, err error)
	Leader() (id, addr string, term uint64)
	OnLeader(func(term uint64, leader bool))
	AddLearner(ctx context.Context, id, addr string) error
	Promote(ctx context.Context, id string) error
	Remove(ctx context.Context, id string) error
	// Members returns the membership as far as this host knows it.
	Members() journaler.Membership
}
