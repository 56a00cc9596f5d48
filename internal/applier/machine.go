// Package applier implements the state machine of the replicated log: it applies committed commands to the configuration,
// roles, members and the ledger of orders.
package applier

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// Bounds of the replicated state.
const (
	// maxRevisions keeps about three days of history at 1,800 changes a day. A patch whose id has been evicted is still
	// refused when it is retried, because its base version is stale.
	maxRevisions      = 5_000
	maxHistoryBytes   = 32 << 20
	maxRefusedPatches = 1_000
	maxPatchIDBytes   = 128
	maxRemovedMembers = 4_096
)

// StateMachine is the replicated state. The log calls Apply, Snapshot and Restore; the other methods are safe for concurrent use.
type StateMachine struct {
	// OnChange is called, without a lock held, after each applied command and each restore. Set it before the log runs.
	OnChange func()

	mu           sync.RWMutex
	version      uint64
	document     []byte
	config       *configurer.Config
	history      []marshaller.Revision
	historyBytes int
	accepted     map[string]patchRecord
	refused      map[string]patchRecord
	refusedOrder []string
	// rollouts are the newest rollouts by pool. They are replaced, not changed.
	rollouts       map[string]*controllerpb.Rollout
	roles          map[string]marshaller.Assignment
	members        map[string]marshaller.Member
	membersVersion uint64
	// memberList caches the live members at membersVersion, sorted by host, or is nil. A built list is never modified.
	memberList []marshaller.Member
	// prunedVersion is membersVersion at the time a removed member was last pruned.
	prunedVersion   uint64
	term            uint64
	ledger          *recorder.Ledger
	clockAdvancedAt time.Time
}

// patchRecord is the result of the first command with a patch id.
type patchRecord struct {
	digest  [sha256.Size]byte
	version uint64
	failure *controllerpb.Failure
}

// New returns an empty state.
func New() *StateMachine {
	m := &StateMachine{}
	m.reset()
	return m
}

func (m *StateMachine) reset() {
	m.version, m.document, m.config, m.history, m.historyBytes = 0, nil, nil, nil, 0
	m.accepted, m.refused, m.refusedOrder = map[string]patchRecord{}, map[string]patchRecord{}, nil
	m.memberList, m.prunedVersion = nil, 0
	m.rollouts = map[string]*controllerpb.Rollout{}
	m.roles, m.members, m.membersVersion, m.term = map[string]marshaller.Assignment{}, map[string]marshaller.Member{}, 0, 0
	m.ledger = recorder.New(recorder.Limits{})
	m.clockAdvancedAt = time.Now()
}

// Apply applies a command of the log and returns an encoded controllerpb.Result. A command that cannot be decoded changes
// nothing; its result has a failure.
func (m *StateMachine) Apply(index uint64, command []byte) []byte {
	cmd := &controllerpb.Command{}
	var result *controllerpb.Result
	if err := proto.Unmarshal(command, cmd); err != nil {
		result = &controllerpb.Result{Failure: marshaller.EncodeFailure(&marshaller.MalformedCommandError{Reason: err.Error()})}
		klog.Errorf("applier: malformed command index=%d reason=%q", index, err)
	} else {
		m.mu.Lock()
		result = m.apply(cmd)
		m.mu.Unlock()
	}
	out, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		klog.Errorf("applier: cannot encode result index=%d reason=%q", index, err)
	}
	if m.OnChange != nil {
		m.OnChange()
	}
	return out
}

func (m *StateMachine) apply(cmd *controllerpb.Command) *controllerpb.Result {
	if cmd.GetClockMs() > m.ledger.ClockMS() {
		m.ledger.AdvanceClock(cmd.GetClockMs())
		m.clockAdvancedAt = time.Now()
	}
	result := &controllerpb.Result{}
	var err error
	switch body := cmd.GetBody().(type) {
	case *controllerpb.Command_PatchConfig:
		result.Number, err = m.patchConfig(cmd.GetUnixMs(), body.PatchConfig)
	case *controllerpb.Command_ImportConfig:
		result.Number, err = m.importConfig(cmd.GetUnixMs(), body.ImportConfig)
	case *controllerpb.Command_SetRollout:
		result.Number, err = m.setRollout(cmd.GetClockMs(), body.SetRollout)
	case *controllerpb.Command_GrantRole:
		if err = m.checkTerm(cmd); err == nil {
			result.Number, err = m.grantRole(body.GrantRole)
		}
	case *controllerpb.Command_IntendOrder:
		var record recorder.Record
		if record, err = m.ledger.Intend(marshaller.IntentFromProto(body.IntendOrder), cmd.GetUnixMs()); err == nil {
			result.Order = marshaller.OrderToProto(record)
		}
	case *controllerpb.Command_ConcludeOrder:
		c := body.ConcludeOrder
		err = m.ledger.Conclude(marshaller.KeyFromProto(c.GetKey()), c.GetOwner(), marshaller.OutcomeFromProto(c.GetOutcome()))
	case *controllerpb.Command_WithdrawOrder:
		w := body.WithdrawOrder
		err = m.ledger.Withdraw(marshaller.KeyFromProto(w.GetKey()), w.GetOwner(), w.GetAttempt())
	case *controllerpb.Command_ExpireOrders:
		m.ledger.MarkAbsentOwnersLost(m.ownerIsLive())
		m.ledger.Expire()
	case *controllerpb.Command_PutMember:
		result.Number = m.putMember(body.PutMember)
	case *controllerpb.Command_RemoveMember:
		if err = m.checkTerm(cmd); err == nil {
			m.removeMember(body.RemoveMember)
		}
	case *controllerpb.Command_BeginTerm:
		m.term = max(m.term, cmd.GetTerm())
		err = m.checkTerm(cmd)
	default:
		err = &marshaller.MalformedCommandError{Reason: "no body"}
	}
	if err != nil {
		result.Failure = marshaller.EncodeFailure(err)
	}
	return result
}

// checkTerm returns an error for a decision that was made in another term than the current one. Otherwise a delayed grant
// could take effect after the current leader has renewed the lease of the present holder.
func (m *StateMachine) checkTerm(cmd *controllerpb.Command) error {
	if cmd.GetTerm() != m.term {
		return &marshaller.StaleTermError{Term: cmd.GetTerm(), Current: m.term}
	}
	return nil
}

func patchDigest(p *controllerpb.PatchConfig) [sha256.Size]byte {
	return sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, p.GetBase()), p.GetBody()...))
}

func (m *StateMachine) patchConfig(unixMS int64, p *controllerpb.PatchConfig) (uint64, error) {
	if p.GetId() == "" || len(p.GetId()) > maxPatchIDBytes {
		return 0, &marshaller.PatchIDError{ID: p.GetId(), Reason: fmt.Sprintf("must have 1 to %d bytes", maxPatchIDBytes)}
	}
	digest := patchDigest(p)
	first, known := m.accepted[p.GetId()]
	if !known {
		first, known = m.refused[p.GetId()]
	}
	if known {
		if first.digest != digest {
			return 0, &marshaller.PatchIDError{ID: p.GetId(), Reason: "was used with another patch"}
		}
		return first.version, marshaller.DecodeFailure(first.failure)
	}
	if err := m.applyPatch(unixMS, p); err != nil {
		m.refuse(p.GetId(), patchRecord{digest: digest, failure: marshaller.EncodeFailure(err)})
		return 0, err
	}
	m.accepted[p.GetId()] = patchRecord{digest: digest, version: m.version}
	return m.version, nil
}

func (m *StateMachine) applyPatch(unixMS int64, p *controllerpb.PatchConfig) error {
	if p.GetBase() != m.version {
		return &marshaller.StaleVersionError{Base: p.GetBase(), Current: m.version}
	}
	cfg, document, err := m.merge(p)
	if err != nil {
		return err
	}
	m.accept(unixMS, document, cfg, marshaller.Revision{
		PatchID: p.GetId(), Author: p.GetAuthor(), Base: p.GetBase(), Patch: p.GetBody(),
	})
	return nil
}

// accept makes a document the next version and appends it to the history, which is trimmed from its oldest end.
func (m *StateMachine) accept(unixMS int64, document []byte, cfg *configurer.Config, revision marshaller.Revision) {
	m.version++
	m.document, m.config = document, cfg
	m.ledger.SetLimits(ledgerLimits(cfg))
	revision.Version, revision.Time = m.version, time.UnixMilli(unixMS).UTC()
	m.history = append(m.history, revision)
	m.historyBytes += len(revision.Patch)
	for len(m.history) > maxRevisions || (m.historyBytes > maxHistoryBytes && len(m.history) > 1) {
		m.historyBytes -= len(m.history[0].Patch)
		delete(m.accepted, m.history[0].PatchID)
		m.history[0] = marshaller.Revision{}
		m.history = m.history[1:]
	}
}

// merge applies a patch whose base is the current version. If the leader has validated the patch, its result is used without
// validating again.
func (m *StateMachine) merge(p *controllerpb.PatchConfig) (*configurer.Config, []byte, error) {
	switch {
	case p.GetChecked() && p.GetRefusal() != nil:
		return nil, nil, marshaller.DecodeFailure(p.GetRefusal())
	case p.GetChecked():
		return configurer.ApplyAcceptedPatch(m.document, p.GetBody())
	}
	return configurer.ApplyPatch(m.document, p.GetBody())
}

// CheckPatch validates a patch on the leader, before it is proposed, and stores the result in the patch. A patch whose base is
// not the current version is left unchecked; it is normally refused when it is applied.
func (m *StateMachine) CheckPatch(p *controllerpb.PatchConfig) {
	version, document, _ := m.Config()
	p.Checked, p.Refusal = p.GetBase() == version, nil
	if !p.GetChecked() {
		return
	}
	if _, _, err := configurer.ApplyPatch(document, p.GetBody()); err != nil {
		p.Refusal = marshaller.EncodeFailure(err)
	}
}

func ledgerLimits(cfg *configurer.Config) recorder.Limits {
	return recorder.Limits{
		Retention: time.Duration(cfg.Limits.OrderRetentionMS) * time.Millisecond,
		MaxOrders: cfg.Limits.MaxOrders,
	}
}

func (m *StateMachine) refuse(id string, r patchRecord) {
	m.refused[id] = r
	m.refusedOrder = append(m.refusedOrder, id)
	if len(m.refusedOrder) > maxRefusedPatches {
		delete(m.refused, m.refusedOrder[0])
		m.refusedOrder = slices.Delete(m.refusedOrder, 0, 1)
	}
}

func (m *StateMachine) grantRole(g *controllerpb.GrantRole) (uint64, error) {
	current := m.roles[g.GetRole()]
	if current.Epoch != g.GetPreviousEpoch() {
		return 0, &marshaller.StaleEpochError{Previous: g.GetPreviousEpoch(), Current: current.Epoch}
	}
	m.roles[g.GetRole()] = marshaller.Assignment{Host: g.GetHost(), Incarnation: g.GetIncarnation(), Epoch: current.Epoch + 1}
	return current.Epoch + 1, nil
}

// putMember records a process and returns the incarnation of the host's recorded process. Incarnations are assigned by the
// state machine, so that they increase although hosts without a disk lose theirs and wall clocks may go backwards.
func (m *StateMachine) putMember(p *controllerpb.PutMember) uint64 {
	current, known := m.members[p.GetHost()]
	same := known && current.Nonce == p.GetNonce()
	if !same && current.Incarnation != p.GetPreviousIncarnation() {
		return current.Incarnation
	}
	next := marshaller.Member{
		Host: p.GetHost(), Nonce: p.GetNonce(), Incarnation: current.Incarnation, Zone: p.GetZone(), Addr: p.GetAddr(),
		CallersAddr: p.GetCallersAddr(), Control: p.GetControl(), Version: current.Version,
	}
	if same && next == current {
		return current.Incarnation
	}
	if !same {
		m.ledger.MarkOwnerLost(current.Owner())
		next.Incarnation = max(next.Incarnation, p.GetKnownIncarnation()) + 1
	}
	m.membersVersion++
	next.Version, m.memberList = m.membersVersion, nil
	m.members[next.Host] = next
	return next.Incarnation
}

func (m *StateMachine) removeMember(r *controllerpb.RemoveMember) {
	current, known := m.members[r.GetHost()]
	if !known || current.Removed || current.Incarnation != r.GetIncarnation() {
		return
	}
	m.ledger.MarkOwnerLost(current.Owner())
	m.membersVersion++
	current.Removed, current.Version, m.memberList = true, m.membersVersion, nil
	m.members[current.Host] = current
	m.pruneRemoved()
}

// pruneRemoved bounds the number of removed members that are kept for their incarnation, by deleting the oldest one.
func (m *StateMachine) pruneRemoved() {
	var removed []marshaller.Member
	for _, member := range m.members {
		if member.Removed {
			removed = append(removed, member)
		}
	}
	if len(removed) <= maxRemovedMembers {
		return
	}
	oldest := slices.MinFunc(removed, func(a, b marshaller.Member) int { return int(a.Version) - int(b.Version) })
	m.prunedVersion = m.membersVersion
	delete(m.members, oldest.Host)
}

func (m *StateMachine) ownerIsLive() func(string) bool {
	live := make(map[string]bool, len(m.members))
	for _, member := range m.members {
		live[member.Owner()] = !member.Removed
	}
	return func(owner string) bool { return live[owner] }
}

// Config returns the current version, its document and its decoded form. The caller must not modify them.
func (m *StateMachine) Config() (version uint64, document []byte, cfg *configurer.Config) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.version, m.document, m.config
}

// History returns up to limit revisions with a version of at least from, in ascending order.
func (m *StateMachine) History(from uint64, limit int) []marshaller.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	at, _ := slices.BinarySearchFunc(m.history, from, func(r marshaller.Revision, v uint64) int {
		if r.Version < v {
			return -1
		}
		return int(min(r.Version-v, 1))
	})
	rest := m.history[at:]
	return slices.Clone(rest[:min(len(rest), max(limit, 0))])
}

// Roles returns the holder of each role that was ever granted.
func (m *StateMachine) Roles() map[string]marshaller.Assignment {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return maps.Clone(m.roles)
}

// Members returns the members that are not removed, sorted by host, and the version of the member list. The caller must not
// modify the list.
func (m *StateMachine) Members() ([]marshaller.Member, uint64) {
	m.mu.RLock()
	list, version := m.memberList, m.membersVersion
	m.mu.RUnlock()
	if list != nil {
		return list, version
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.memberList == nil {
		m.memberList = make([]marshaller.Member, 0, len(m.members))
		for _, member := range m.members {
			if !member.Removed {
				m.memberList = append(m.memberList, member)
			}
		}
		slices.SortFunc(m.memberList, func(a, b marshaller.Member) int { return compareStrings(a.Host, b.Host) })
	}
	return m.memberList, m.membersVersion
}

// MembersSince returns the members, including removed ones, that changed after a version of the member list. If changes since
// that version are no longer available, it returns all live members and full is true. Deltas matter when many hosts start at
// once: sending full lists of 640 members to 640 hosts for each join took seconds.
func (m *StateMachine) MembersSince(since uint64) (members []marshaller.Member, version uint64, full bool) {
	all, version := m.Members()
	m.mu.RLock()
	defer m.mu.RUnlock()
	if since == 0 || since > m.membersVersion || since < m.prunedVersion {
		return all, version, true
	}
	if since == m.membersVersion {
		return nil, since, false
	}
	for _, member := range m.members {
		if member.Version > since {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b marshaller.Member) int { return compareStrings(a.Host, b.Host) })
	return members, m.membersVersion, false
}

// Member returns the last recorded process of a host, even if it has been removed.
func (m *StateMachine) Member(host string) (marshaller.Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	member, ok := m.members[host]
	return member, ok
}

// Order returns the record of an order and whether the ledger has it.
func (m *StateMachine) Order(key recorder.Key) (recorder.Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Lookup(key)
}

// Orders returns the number of orders held and their estimated memory in bytes.
func (m *StateMachine) Orders() (int, int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Len(), m.ledger.Bytes()
}

// ClockMS returns the ledger clock in milliseconds plus the monotonic time since it was last advanced. It never runs ahead of
// real time, so that a wall clock jump cannot expire an order early.
func (m *StateMachine) ClockMS() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.ClockMS() + time.Since(m.clockAdvancedAt).Milliseconds()
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
