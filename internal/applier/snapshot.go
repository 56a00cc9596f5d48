package applier

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// Snapshot returns the encoded state. The encoding is deterministic: equal states have equal bytes.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := &controllerpb.Snapshot{
		ConfigVersion: m.version, Document: m.document, MembersVersion: m.membersVersion, ClockMs: m.ledger.ClockMS(), Term: m.term,
		ForgottenVersion: m.prunedVersion,
	}
	for _, r := range m.history {
		s.History = append(s.History, marshaller.RevisionToProto(r))
		s.Patches = append(s.Patches, recordProto(r.PatchID, m.accepted[r.PatchID]))
	}
	for _, id := range m.refusedOrder {
		s.Patches = append(s.Patches, recordProto(id, m.refused[id]))
	}
	for name, a := range m.roles {
		s.Roles = append(s.Roles, marshaller.RoleToProto(name, a))
	}
	slices.SortFunc(s.Roles, func(a, b *controllerpb.Role) int { return compareStrings(a.Name, b.Name) })
	for _, member := range m.members {
		s.Members = append(s.Members, member.ToProto())
	}
	slices.SortFunc(s.Members, func(a, b *controllerpb.Member) int { return compareStrings(a.Host, b.Host) })
	records, withdrawn := m.ledger.Export()
	for _, r := range records {
		s.Orders = append(s.Orders, marshaller.OrderToProto(r))
	}
	for _, w := range withdrawn {
		s.Withdrawals = append(s.Withdrawals, &controllerpb.Withdrawal{
			Key: marshaller.KeyToProto(w.Key), Owner: w.Owner, Attempt: w.Attempt, AtMs: w.AtMS,
		})
	}
	s.Rollouts = m.sortedRollouts()
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return out, eris.Wrap(err, "encode snapshot")
}

func recordProto(id string, r patchRecord) *controllerpb.PatchRecord {
	return &controllerpb.PatchRecord{Id: id, Digest: r.digest[:], Version: r.version, Failure: r.failure}
}

// Restore replaces the state with a snapshot. On an error the state is unchanged.
func (m *StateMachine) Restore(snapshot []byte) error {
	s := &controllerpb.Snapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	var cfg *configurer.Config
	if len(s.GetDocument()) > 0 {
		var err error
		if cfg, err = configurer.DecodeAccepted(s.GetDocument()); err != nil {
			return eris.Wrapf(err, "decode configuration version %d", s.GetConfigVersion())
		}
	}
	m.mu.Lock()
	m.reset()
	m.version, m.document, m.config, m.membersVersion = s.GetConfigVersion(), s.GetDocument(), cfg, s.GetMembersVersion()
	m.term, m.prunedVersion = s.GetTerm(), s.GetForgottenVersion()
	m.restorePatches(s)
	for _, r := range s.GetRoles() {
		m.roles[r.GetName()] = marshaller.Assignment{Host: r.GetHost(), Incarnation: r.GetIncarnation(), Epoch: r.GetEpoch()}
	}
	for _, p := range s.GetMembers() {
		m.members[p.GetHost()] = marshaller.MemberFromProto(p)
	}
	for _, r := range s.GetRollouts() {
		m.rollouts[r.GetPool()] = r
	}
	m.restoreLedger(s)
	m.mu.Unlock()
	if m.OnChange != nil {
		m.OnChange()
	}
	return nil
}

func (m *StateMachine) restorePatches(s *controllerpb.Snapshot) {
	for _, r := range s.GetHistory() {
		m.history = append(m.history, marshaller.RevisionFromProto(r))
		m.historyBytes += len(r.GetPatch())
	}
	for _, p := range s.GetPatches() {
		record := patchRecord{version: p.GetVersion(), failure: p.GetFailure()}
		copy(record.digest[:], p.GetDigest()[:min(len(p.GetDigest()), sha256.Size)])
		if record.failure == nil {
			m.accepted[p.GetId()] = record
			continue
		}
		m.refused[p.GetId()] = record
		m.refusedOrder = append(m.refusedOrder, p.GetId())
	}
}

func (m *StateMachine) restoreLedger(s *controllerpb.Snapshot) {
	records := make([]recorder.Record, 0, len(s.GetOrders()))
	for _, o := range s.GetOrders() {
		records = append(records, marshaller.OrderFromProto(o))
	}
	withdrawn := make([]recorder.Withdrawal, 0, len(s.GetWithdrawals()))
	for _, w := range s.GetWithdrawals() {
		withdrawn = append(withdrawn, recorder.Withdrawal{
			Key: marshaller.KeyFromProto(w.GetKey()), Owner: w.GetOwner(), Attempt: w.GetAttempt(), AtMS: w.GetAtMs(),
		})
	}
	if m.config != nil {
		m.ledger.SetLimits(ledgerLimits(m.config))
	}
	m.ledger.Import(s.GetClockMs(), records, withdrawn)
	m.clockAdvancedAt = time.Now()
}
