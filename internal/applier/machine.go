// Package applier applies the commands of the replicated log to configuration, roles, members and the ledger of orders.
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
	// maxRevisions keeps the history of about three days at 1,800 changes a day. A patch id older than that names a stale
	// version, so that it is refused even though its first result is forgotten.
	maxRevisions    = 5_000
	maxHistoryBytes = 32 << 20
	maxRefusals     = 1_000
	maxPatchIDBytes = 128
	maxRemoved      = 4_096
)

// Machine is the replicated state. Apply, Snapshot and Restore are called by the log; the other methods may be called from
// any goroutine.
type Machine struct {
	// OnChange is called after an applied command, without a lock. Set it before the log runs.
	OnChange func()

	mu             sync.RWMutex
	version        uint64
	document       []byte
	config         *configurer.Config
	history        []marshaller.Revision
	historyBytes   int
	accepted       map[string]patchRecord
	refused        map[string]patchRecord
	refusedOrder   []string
	roles          map[string]marshaller.Assignment
	members        map[string]marshaller.Member
	membersVersion uint64
	// memberList is the sorted list of live members of membersVersion, or nil; it is not changed once it is built.
	memberList []marshaller.Member
	// forgottenVersion is the members' version at which a removed member was last forgotten.
	forgottenVersion uint64
	term             uint64
	ledger           *recorder.Ledger
	clockAt          time.Time
}

// patchRecord is the first result of a patch id.
type patchRecord struct {
	digest  [sha256.Size]byte
	version uint64
	failure *controllerpb.Failure
}

// New returns an empty state.
func New() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.version, m.document, m.config, m.history, m.historyBytes = 0, nil, nil, nil, 0
	m.accepted, m.refused, m.refusedOrder = map[string]patchRecord{}, map[string]patchRecord{}, nil
	m.memberList, m.forgottenVersion = nil, 0
	m.roles, m.members, m.membersVersion, m.term = map[string]marshaller.Assignment{}, map[string]marshaller.Member{}, 0, 0
	m.ledger = recorder.New(recorder.Limits{})
	m.clockAt = time.Now()
}

// Apply implements the state machine of the log. The result is an encoded controllerpb.Result.
func (m *Machine) Apply(index uint64, command []byte) []byte {
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

func (m *Machine) apply(cmd *controllerpb.Command) *controllerpb.Result {
	if cmd.GetClockMs() > m.ledger.ClockMS() {
		m.ledger.Advance(cmd.GetClockMs())
		m.clockAt = time.Now()
	}
	result := &controllerpb.Result{}
	var err error
	switch body := cmd.GetBody().(type) {
	case *controllerpb.Command_PatchConfig:
		result.Number, err = m.patchConfig(cmd.GetUnixMs(), body.PatchConfig)
	case *controllerpb.Command_ImportConfig:
		result.Number, err = m.importConfig(cmd.GetUnixMs(), body.ImportConfig)
	case *controllerpb.Command_GrantRole:
		if err = m.checkTerm(cmd); err == nil {
			result.Number, err = m.grantRole(body.GrantRole)
		}
	case *controllerpb.Command_IntendOrder:
		var record recorder.Record
		if record, err = m.ledger.Intend(marshaller.IntentOf(body.IntendOrder), cmd.GetUnixMs()); err == nil {
			result.Order = marshaller.OrderProto(record)
		}
	case *controllerpb.Command_ConcludeOrder:
		c := body.ConcludeOrder
		err = m.ledger.Conclude(marshaller.KeyOf(c.GetKey()), c.GetOwner(), marshaller.OutcomeOf(c.GetOutcome()))
	case *controllerpb.Command_WithdrawOrder:
		w := body.WithdrawOrder
		err = m.ledger.Withdraw(marshaller.KeyOf(w.GetKey()), w.GetOwner(), w.GetAttempt())
	case *controllerpb.Command_ExpireOrders:
		m.ledger.Sweep(m.ownerLives())
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

// checkTerm refuses a decision of a leadership that is not the current one: a delayed grant could otherwise follow leases
// that the present leadership has renewed.
func (m *Machine) checkTerm(cmd *controllerpb.Command) error {
	if cmd.GetTerm() != m.term {
		return &marshaller.StaleTermError{Term: cmd.GetTerm(), Current: m.term}
	}
	return nil
}

func patchDigest(p *controllerpb.PatchConfig) [sha256.Size]byte {
	return sha256.Sum256(append(binary.BigEndian.AppendUint64(nil, p.GetBase()), p.GetBody()...))
}

func (m *Machine) patchConfig(unixMS int64, p *controllerpb.PatchConfig) (uint64, error) {
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
	if err := m.tryPatch(unixMS, p); err != nil {
		m.refuse(p.GetId(), patchRecord{digest: digest, failure: marshaller.EncodeFailure(err)})
		return 0, err
	}
	m.accepted[p.GetId()] = patchRecord{digest: digest, version: m.version}
	return m.version, nil
}

func (m *Machine) tryPatch(unixMS int64, p *controllerpb.PatchConfig) error {
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

// accept puts a document in force as the next version and adds it to the history.
func (m *Machine) accept(unixMS int64, document []byte, cfg *configurer.Config, revision marshaller.Revision) {
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

// merge applies a patch whose base is the current version. What the leader has checked is taken as it is.
func (m *Machine) merge(p *controllerpb.PatchConfig) (*configurer.Config, []byte, error) {
	switch {
	case p.GetChecked() && p.GetRefusal() != nil:
		return nil, nil, marshaller.DecodeFailure(p.GetRefusal())
	case p.GetChecked():
		return configurer.Merge(m.document, p.GetBody())
	}
	return configurer.Apply(m.document, p.GetBody())
}

// Check validates a patch against the current version, on the leader. A patch against another version is left unchecked; it
// is normally refused when it is applied.
func (m *Machine) Check(p *controllerpb.PatchConfig) {
	version, document, _ := m.Config()
	p.Checked, p.Refusal = p.GetBase() == version, nil
	if !p.GetChecked() {
		return
	}
	if _, _, err := configurer.Apply(document, p.GetBody()); err != nil {
		p.Refusal = marshaller.EncodeFailure(err)
	}
}

func ledgerLimits(cfg *configurer.Config) recorder.Limits {
	return recorder.Limits{
		Retention: time.Duration(cfg.Limits.OrderRetentionMS) * time.Millisecond,
		MaxOrders: cfg.Limits.MaxOrders,
	}
}

func (m *Machine) refuse(id string, r patchRecord) {
	m.refused[id] = r
	m.refusedOrder = append(m.refusedOrder, id)
	if len(m.refusedOrder) > maxRefusals {
		delete(m.refused, m.refusedOrder[0])
		m.refusedOrder = slices.Delete(m.refusedOrder, 0, 1)
	}
}

func (m *Machine) grantRole(g *controllerpb.GrantRole) (uint64, error) {
	current := m.roles[g.GetRole()]
	if current.Epoch != g.GetPreviousEpoch() {
		return 0, &marshaller.StaleEpochError{Previous: g.GetPreviousEpoch(), Current: current.Epoch}
	}
	m.roles[g.GetRole()] = marshaller.Assignment{Host: g.GetHost(), Incarnation: g.GetIncarnation(), Epoch: current.Epoch + 1}
	return current.Epoch + 1, nil
}

// putMember records a process. The incarnation is assigned here, so that it grows although hosts without a disk forget it
// and although their wall clocks may go back.
func (m *Machine) putMember(p *controllerpb.PutMember) uint64 {
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
		m.ledger.OwnerLost(current.Owner())
		next.Incarnation = max(next.Incarnation, p.GetKnownIncarnation()) + 1
	}
	m.membersVersion++
	next.Version, m.memberList = m.membersVersion, nil
	m.members[next.Host] = next
	return next.Incarnation
}

func (m *Machine) removeMember(r *controllerpb.RemoveMember) {
	current, known := m.members[r.GetHost()]
	if !known || current.Removed || current.Incarnation != r.GetIncarnation() {
		return
	}
	m.ledger.OwnerLost(current.Owner())
	m.membersVersion++
	current.Removed, current.Version, m.memberList = true, m.membersVersion, nil
	m.members[current.Host] = current
	m.forgetRemoved()
}

// forgetRemoved bounds the members that are remembered for their incarnation number, the oldest first.
func (m *Machine) forgetRemoved() {
	var removed []marshaller.Member
	for _, member := range m.members {
		if member.Removed {
			removed = append(removed, member)
		}
	}
	if len(removed) <= maxRemoved {
		return
	}
	oldest := slices.MinFunc(removed, func(a, b marshaller.Member) int { return int(a.Version) - int(b.Version) })
	m.forgottenVersion = m.membersVersion
	delete(m.members, oldest.Host)
}

func (m *Machine) ownerLives() func(string) bool {
	live := make(map[string]bool, len(m.members))
	for _, member := range m.members {
		live[member.Owner()] = !member.Removed
	}
	return func(owner string) bool { return live[owner] }
}

// Config returns the current version, its document and its decoded form, which must not be changed.
func (m *Machine) Config() (version uint64, document []byte, cfg *configurer.Config) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.version, m.document, m.config
}

// History returns up to limit revisions from a version on, in ascending order.
func (m *Machine) History(from uint64, limit int) []marshaller.Revision {
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
func (m *Machine) Roles() map[string]marshaller.Assignment {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return maps.Clone(m.roles)
}

// Members returns the members that are not removed, sorted by host, and the members' version. The list must not be changed.
func (m *Machine) Members() ([]marshaller.Member, uint64) {
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

// MembersSince returns the members that changed after a version, with the removed ones. The list is full, and holds live
// members only, when the version is not known any more. Sending changes alone matters when many hosts start at once: full
// lists of 640 members to 640 hosts for each join took seconds.
func (m *Machine) MembersSince(since uint64) (members []marshaller.Member, version uint64, full bool) {
	all, version := m.Members()
	m.mu.RLock()
	defer m.mu.RUnlock()
	if since == 0 || since > m.membersVersion || since < m.forgottenVersion {
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

// Member returns the last known process of a host, also when it was removed.
func (m *Machine) Member(host string) (marshaller.Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	member, ok := m.members[host]
	return member, ok
}

// Order returns an order of the ledger.
func (m *Machine) Order(key recorder.Key) (recorder.Record, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Lookup(key)
}

// Orders returns the number of orders held and their estimated memory in bytes.
func (m *Machine) Orders() (int, int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Len(), m.ledger.Bytes()
}

// ClockMS returns the ledger clock moved on by the monotonic time since it was last advanced. It never runs ahead of real
// time, so that no order leaves the ledger early because of a wall clock that jumps.
func (m *Machine) ClockMS() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.ClockMS() + time.Since(m.clockAt).Milliseconds()
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
