package recorder

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Defaults and limits of the ledger.
const (
	DefaultRetention = 24 * time.Hour
	DefaultMaxOrders = 100_000
	// DefaultMaxBytes is half of the 64 MB of memory that control functions may use on a node.
	DefaultMaxBytes     = 32 << 20
	DefaultMaxBodyBytes = 1 << 20
	// maxFieldBytes is the maximum length of each string of an intent.
	maxFieldBytes = 1 << 10
	// entryOverheadBytes estimates the memory of an order without its strings and its outcome.
	entryOverheadBytes = 256
	// ownerGraceMS is how long the owner of an intended order may be missing from the members before the order becomes
	// unknown. A host sends intents only after it has joined, so the member is normally recorded before its intents.
	ownerGraceMS = 10_000
	// withdrawnRetentionMS is how long a withdrawal is kept. Exchanges end within seconds, so a delayed intent cannot arrive
	// after that.
	withdrawnRetentionMS = 600_000
)

// Limits are the limits of a ledger. Fields that are zero or negative take the defaults.
type Limits struct {
	Retention    time.Duration
	MaxOrders    int
	MaxBytes     int64
	MaxBodyBytes int
}

func (l Limits) withDefaults() Limits {
	if l.Retention <= 0 {
		l.Retention = DefaultRetention
	}
	if l.MaxOrders <= 0 {
		l.MaxOrders = DefaultMaxOrders
	}
	if l.MaxBytes <= 0 {
		l.MaxBytes = DefaultMaxBytes
	}
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return l
}

// Withdrawal is the last withdrawn attempt at a key. It is kept so that a delayed intent of that attempt is not granted.
type Withdrawal struct {
	Key     Key
	Owner   string
	Attempt uint64
	AtMS    int64
}

// Ledger is the state of all orders. It is deterministic and not safe for concurrent use. Its clock is set from the commands of
// the replicated log: it never goes back and is independent of the wall clock.
type Ledger struct {
	limits    Limits
	clockMS   int64
	bytes     int64
	records   map[Key]*Record
	withdrawn map[Key]Withdrawal
	// nextExpiryMS is a lower bound of the next expiry time, which saves a scan of all orders at every intent.
	nextExpiryMS int64
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{limits: limits.withDefaults(), records: map[Key]*Record{}, withdrawn: map[Key]Withdrawal{}}
}

// SetLimits replaces the limits. Orders above a lowered limit stay until they expire.
func (l *Ledger) SetLimits(limits Limits) {
	l.limits = limits.withDefaults()
	l.nextExpiryMS = 0
}

// Len returns the number of orders.
func (l *Ledger) Len() int { return len(l.records) }

// Bytes returns the estimated memory of the orders.
func (l *Ledger) Bytes() int64 { return l.bytes }

// ClockMS returns the ledger clock in milliseconds.
func (l *Ledger) ClockMS() int64 { return l.clockMS }

// AdvanceClock moves the ledger clock forward; an earlier time has no effect.
func (l *Ledger) AdvanceClock(clockMS int64) { l.clockMS = max(l.clockMS, clockMS) }

// Lookup returns a copy of an order.
func (l *Ledger) Lookup(key Key) (Record, bool) {
	r, ok := l.records[key]
	if !ok {
		return Record{}, false
	}
	out := *r
	return out, true
}

// Intend records an order before its dispatch. The result has Granted set for exactly one owner and request per key. The
// same intent is granted again when it is repeated, so that the owner can retry after a lost reply. For a key that is taken it
// returns the existing record.
func (l *Ledger) Intend(in Intent, wallMS int64) (Record, error) {
	if err := validateIntent(in); err != nil {
		return Record{}, err
	}
	if r, ok := l.records[in.Key]; ok && !l.expired(r) {
		return l.intendExisting(r, in)
	}
	l.Expire()
	if w, ok := l.withdrawn[in.Key]; ok && w.Owner == in.Owner && in.Attempt <= w.Attempt {
		return Record{}, &WithdrawnError{Key: in.Key}
	}
	r := &Record{Intent: in, Phase: PhaseIntended, RecordedUnixMS: wallMS, ChangedMS: l.clockMS}
	if len(l.records) >= l.limits.MaxOrders || l.bytes+recordBytes(r) > l.limits.MaxBytes {
		return Record{}, &LedgerFullError{Orders: len(l.records), Bytes: l.bytes}
	}
	l.records[in.Key] = r
	l.bytes += recordBytes(r)
	out := *r
	out.Granted = true
	return out, nil
}

// intendExisting returns the result of an intent for a key that already has an order.
func (l *Ledger) intendExisting(r *Record, in Intent) (Record, error) {
	if r.Digest != in.Digest {
		return Record{}, &DigestMismatchError{Key: in.Key}
	}
	same := r.Owner == in.Owner && r.RequestID == in.RequestID && r.Endpoint == in.Endpoint && in.Attempt >= r.Attempt
	if same && r.Phase == PhaseIntended {
		r.Attempt = in.Attempt
		out := *r
		out.Granted = true
		return out, nil
	}
	return *r, nil
}

// Conclude stores the outcome of an order. An outcome "done" is final; "unknown" is replaced if the owner reports "done"
// later. Header and body above the limits are dropped.
func (l *Ledger) Conclude(key Key, owner string, out Outcome) error {
	if out.Outcome != OutcomeDone && out.Outcome != OutcomeUnknown {
		return &InvalidIntentError{Reason: "outcome " + out.Outcome + " is neither done nor unknown"}
	}
	r, ok := l.records[key]
	if !ok {
		return &UnknownOrderError{Key: key}
	}
	if r.Owner != owner {
		return &NotOwnerError{Key: key, Owner: r.Owner, RequestedBy: owner}
	}
	if r.Phase == PhaseConcluded || (r.Phase == PhaseUnknown && out.Outcome == OutcomeUnknown) {
		return nil
	}
	l.bytes -= recordBytes(r)
	r.Phase, r.Outcome, r.ChangedMS = PhaseConcluded, &out, l.clockMS
	if out.Outcome == OutcomeUnknown {
		r.Phase = PhaseUnknown
	}
	if len(out.Body) > l.limits.MaxBodyBytes || l.bytes+recordBytes(r) > l.limits.MaxBytes {
		out.Body, out.Header, out.Truncated = nil, nil, true
	}
	l.bytes += recordBytes(r)
	l.nextExpiryMS = min(l.nextExpiryMS, l.clockMS+l.limits.Retention.Milliseconds())
	return nil
}

// Withdraw removes an order of which its owner has sent no byte, so that the key can be used again. A withdrawal of an
// earlier attempt than the recorded one has no effect, so that a delayed one cannot remove a later attempt. For a key without
// an order only the withdrawal is recorded, for the case that its intent is still on its way.
func (l *Ledger) Withdraw(key Key, owner string, attempt uint64) error {
	r, ok := l.records[key]
	if !ok {
		l.addWithdrawal(Withdrawal{Key: key, Owner: owner, Attempt: attempt, AtMS: l.clockMS})
		return nil
	}
	if r.Owner != owner {
		return &NotOwnerError{Key: key, Owner: r.Owner, RequestedBy: owner}
	}
	if r.Phase == PhaseConcluded || r.Outcome != nil {
		return &ConcludedError{Key: key}
	}
	if r.Attempt > attempt {
		return nil
	}
	l.remove(r)
	l.addWithdrawal(Withdrawal{Key: key, Owner: owner, Attempt: attempt, AtMS: l.clockMS})
	return nil
}

func (l *Ledger) addWithdrawal(w Withdrawal) {
	if _, held := l.withdrawn[w.Key]; held || len(l.withdrawn) < l.limits.MaxOrders {
		l.withdrawn[w.Key] = w
	}
}

func (l *Ledger) remove(r *Record) {
	l.bytes -= recordBytes(r)
	delete(l.records, r.Key)
}

// MarkOwnerLost marks the intended orders of a lost owner as unknown and returns their number.
func (l *Ledger) MarkOwnerLost(owner string) int {
	lost := 0
	for _, r := range l.records {
		if r.Owner == owner && r.Phase == PhaseIntended {
			r.Phase, r.ChangedMS = PhaseUnknown, l.clockMS
			lost++
		}
	}
	l.nextExpiryMS = min(l.nextExpiryMS, l.clockMS+l.limits.Retention.Milliseconds())
	return lost
}

// MarkAbsentOwnersLost marks the intended orders as unknown whose owner is not a member any more.
func (l *Ledger) MarkAbsentOwnersLost(member func(owner string) bool) {
	for _, r := range l.records {
		if r.Phase == PhaseIntended && l.clockMS-r.ChangedMS >= ownerGraceMS && !member(r.Owner) {
			r.Phase, r.ChangedMS = PhaseUnknown, l.clockMS
		}
	}
	l.nextExpiryMS = 0
}

func (l *Ledger) expired(r *Record) bool {
	return r.Phase != PhaseIntended && l.clockMS-r.ChangedMS >= l.limits.Retention.Milliseconds()
}

// Expire removes the orders and withdrawals whose retention period has passed. An intended order never expires while its owner
// is a member.
func (l *Ledger) Expire() {
	if l.clockMS < l.nextExpiryMS {
		return
	}
	next := l.clockMS + min(l.limits.Retention.Milliseconds(), withdrawnRetentionMS)
	for _, r := range l.records {
		switch {
		case l.expired(r):
			l.remove(r)
		case r.Phase != PhaseIntended:
			next = min(next, r.ChangedMS+l.limits.Retention.Milliseconds())
		}
	}
	maps.DeleteFunc(l.withdrawn, func(_ Key, w Withdrawal) bool { return l.clockMS-w.AtMS >= withdrawnRetentionMS })
	for _, w := range l.withdrawn {
		next = min(next, w.AtMS+withdrawnRetentionMS)
	}
	l.nextExpiryMS = next
}

// Export returns the orders and withdrawals for a snapshot, sorted by key, so that all replicas return the same.
func (l *Ledger) Export() ([]Record, []Withdrawal) {
	records := make([]Record, 0, len(l.records))
	for _, r := range l.records {
		records = append(records, *r)
	}
	slices.SortFunc(records, func(a, b Record) int { return compareKeys(a.Key, b.Key) })
	withdrawn := slices.Collect(maps.Values(l.withdrawn))
	slices.SortFunc(withdrawn, func(a, b Withdrawal) int { return compareKeys(a.Key, b.Key) })
	return records, withdrawn
}

// Import replaces the state by one from Export.
func (l *Ledger) Import(clockMS int64, records []Record, withdrawn []Withdrawal) {
	l.clockMS, l.bytes, l.nextExpiryMS = clockMS, 0, 0
	l.records, l.withdrawn = make(map[Key]*Record, len(records)), make(map[Key]Withdrawal, len(withdrawn))
	for _, r := range records {
		l.records[r.Key] = &r
		l.bytes += recordBytes(&r)
	}
	for _, w := range withdrawn {
		l.withdrawn[w.Key] = w
	}
}

func compareKeys(a, b Key) int {
	if c := strings.Compare(a.Workspace, b.Workspace); c != 0 {
		return c
	}
	return strings.Compare(a.Value, b.Value)
}

func recordBytes(r *Record) int64 {
	n := entryOverheadBytes + len(r.Key.Workspace) + len(r.Key.Value) + len(r.Digest) + len(r.RequestID) + len(r.Owner) + len(r.Endpoint)
	if r.Outcome != nil {
		n += len(r.Outcome.Body)
		for k, v := range r.Outcome.Header {
			n += len(k) + len(v)
		}
	}
	return int64(n)
}

func validateIntent(in Intent) error {
	for _, f := range []struct{ name, value string }{
		{"workspace", in.Key.Workspace},
		{"key", in.Key.Value},
		{"digest", in.Digest},
		{"request id", in.RequestID},
		{"owner", in.Owner},
	} {
		if f.value == "" {
			return &InvalidIntentError{Reason: f.name + " is missing"}
		}
		if len(f.value) > maxFieldBytes {
			return &InvalidIntentError{Reason: f.name + " is too long"}
		}
	}
	if len(in.Endpoint) > maxFieldBytes {
		return &InvalidIntentError{Reason: "endpoint is too long"}
	}
	return nil
}
