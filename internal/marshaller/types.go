// Package marshaller defines the values and errors of the control service and converts them to and from protobuf messages.
package marshaller

import (
	"fmt"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/leaser"
)

// Patch is a change of the configuration: a JSON merge patch against the version Base. Sending the same ID again returns the
// first result.
type Patch struct {
	ID     string
	Base   uint64
	Body   []byte
	Author string
}

// PatchResult is the version that a patch created.
type PatchResult struct{ Version uint64 }

// Revision is an accepted version in the configuration history.
type Revision struct {
	Version uint64    `json:"version"`
	PatchID string    `json:"patch_id"`
	Author  string    `json:"author"`
	Time    time.Time `json:"time"`
	Base    uint64    `json:"base"`
	Patch   []byte    `json:"-"`
}

// Assignment is the replicated holder of a role.
type Assignment = leaser.Assignment

// Member is the current process of a host. A removed member is kept for its incarnation number.
type Member struct {
	Host        string
	Nonce       uint64
	Incarnation uint64
	Zone        string
	Addr        string
	CallersAddr string
	Control     bool
	Removed     bool
	// Version is the version of the member list at the last change of this member.
	Version uint64
}

// Owner returns the identifier of a process in the ledger and in request ids, HOST.INCARNATION.
func Owner(host string, incarnation uint64) string { return fmt.Sprintf("%s.%d", host, incarnation) }

// Owner returns the identifier of this process in the ledger and in request ids.
func (m Member) Owner() string { return Owner(m.Host, m.Incarnation) }

// ToProto returns the protobuf message of a member.
func (m Member) ToProto() *controllerpb.Member {
	return &controllerpb.Member{
		Host: m.Host, Nonce: m.Nonce, Incarnation: m.Incarnation, Zone: m.Zone, Addr: m.Addr,
		CallersAddr: m.CallersAddr, Control: m.Control, Removed: m.Removed, Version: m.Version,
	}
}

// MemberFromProto returns the member in a protobuf message.
func MemberFromProto(p *controllerpb.Member) Member {
	return Member{
		Host: p.GetHost(), Nonce: p.GetNonce(), Incarnation: p.GetIncarnation(), Zone: p.GetZone(), Addr: p.GetAddr(),
		CallersAddr: p.GetCallersAddr(), Control: p.GetControl(), Removed: p.GetRemoved(), Version: p.GetVersion(),
	}
}

// RevisionFromProto returns the revision in a protobuf message.
func RevisionFromProto(p *controllerpb.Revision) Revision {
	return Revision{
		Version: p.GetVersion(), PatchID: p.GetPatchId(), Author: p.GetAuthor(), Base: p.GetBase(), Patch: p.GetPatch(),
		Time: time.UnixMilli(p.GetUnixMs()).UTC(),
	}
}

// RevisionToProto returns the protobuf message of a revision.
func RevisionToProto(r Revision) *controllerpb.Revision {
	return &controllerpb.Revision{
		Version: r.Version, PatchId: r.PatchID, Author: r.Author, UnixMs: r.Time.UnixMilli(), Patch: r.Patch, Base: r.Base,
	}
}

// RoleToProto returns the protobuf message of a role's holder.
func RoleToProto(name string, a Assignment) *controllerpb.Role {
	return &controllerpb.Role{Name: name, Host: a.Host, Incarnation: a.Incarnation, Epoch: a.Epoch}
}

// StaleVersionError reports a patch whose base is not the current version.
type StaleVersionError struct {
	Base    uint64
	Current uint64
}

// Error implements error.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("the patch was written against version %d; the current version is %d", e.Base, e.Current)
}

// PatchIDError reports a patch id that is missing, too long or was used before with another patch.
type PatchIDError struct {
	ID     string
	Reason string
}

// Error implements error.
func (e *PatchIDError) Error() string { return fmt.Sprintf("patch id %q %s", e.ID, e.Reason) }

// StaleEpochError reports a grant that was refused because another grant of the role was applied first.
type StaleEpochError struct {
	Previous uint64
	Current  uint64
}

// Error implements error.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("the grant follows epoch %d; the current epoch is %d", e.Previous, e.Current)
}

// StaleTermError reports a decision that was made in another term than the current one.
type StaleTermError struct {
	Term    uint64
	Current uint64
}

// Error implements error.
func (e *StaleTermError) Error() string {
	return fmt.Sprintf("the decision was made in term %d; the current term is %d", e.Term, e.Current)
}

// MalformedCommandError reports a log entry that cannot be decoded.
type MalformedCommandError struct{ Reason string }

// Error implements error.
func (e *MalformedCommandError) Error() string { return "malformed command: " + e.Reason }
