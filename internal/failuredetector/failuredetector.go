// Package failuredetector is a failure detector: it determines from heartbeats which processes are alive. It does no I/O and
// reads no clock: time and heartbeats are inputs.
package failuredetector

import (
	"slices"
	"strings"
	"time"
)

// State is the liveness of a process as determined by the detector.
type State string

// The states of a process.
const (
	// Alive processes are eligible for roles.
	Alive State = "alive"
	// Suspect processes have missed heartbeats; they are not granted roles.
	Suspect State = "suspect"
	// Dead processes have left or sent no heartbeat for so long that they are removed from the members.
	Dead State = "dead"
)

// Process identifies a process by its host and incarnation.
type Process struct {
	Host        string
	Incarnation uint64
}

// Heartbeat holds the contents of a heartbeat that concern the liveness and the configuration of its process.
type Heartbeat struct {
	Process
	Seq      uint64
	Interval time.Duration
	Draining bool
	Leaving  bool
	// ConfigVersion is the configuration version that is active in the process.
	ConfigVersion uint64
}

// Options are the parameters of a Table.
type Options struct {
	// The number of heartbeats that a process may miss before it is suspect.
	MaxMissedHeartbeats int
	// RemoveAfter is the time without a heartbeat after which a process is dead.
	RemoveAfter time.Duration
}

// Table holds the last heartbeats that a leader has received in its term. Times are durations since an arbitrary origin.
type Table struct {
	options        Options
	started        time.Duration
	lastHeartbeats map[string]entry
}

type entry struct {
	Heartbeat
	at time.Duration
}

// New returns the table of a term that starts now. For members without a heartbeat in this term, silence is measured from its
// start.
func New(now time.Duration, o Options) *Table {
	return &Table{options: o, started: now, lastHeartbeats: map[string]entry{}}
}

// Record records a heartbeat. It returns false, and records nothing, if a later one from the same host is already recorded or
// the heartbeat is a duplicate.
func (t *Table) Record(now time.Duration, b Heartbeat) bool {
	last, known := t.lastHeartbeats[b.Host]
	if known && (b.Incarnation < last.Incarnation || (b.Incarnation == last.Incarnation && b.Seq <= last.Seq)) {
		return false
	}
	t.lastHeartbeats[b.Host] = entry{Heartbeat: b, at: now}
	return true
}

// LastHeartbeat returns the last heartbeat of a process and the time since it was received.
func (t *Table) LastHeartbeat(now time.Duration, p Process) (Heartbeat, time.Duration) {
	e, ok := t.lastHeartbeats[p.Host]
	if !ok || e.Process != p {
		return Heartbeat{Process: p}, now - t.started
	}
	return e.Heartbeat, now - e.at
}

// State returns the liveness of a member.
func (t *Table) State(now time.Duration, p Process) State {
	beat, silence := t.LastHeartbeat(now, p)
	switch {
	case beat.Leaving || silence >= t.options.RemoveAfter:
		return Dead
	case beat.Interval == 0 || silence > time.Duration(t.options.MaxMissedHeartbeats)*beat.Interval:
		return Suspect
	}
	return Alive
}

// Eligible reports whether a member may be granted roles.
func (t *Table) Eligible(now time.Duration, p Process) bool {
	beat, _ := t.LastHeartbeat(now, p)
	return t.State(now, p) == Alive && !beat.Draining
}

// Dead returns the members to remove, sorted by host.
func (t *Table) Dead(now time.Duration, members []Process) []Process {
	var out []Process
	for _, p := range members {
		if t.State(now, p) == Dead {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Process) int { return strings.Compare(a.Host, b.Host) })
	return out
}
