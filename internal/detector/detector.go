// Package detector judges from heartbeats which processes are alive. It is pure: time and heartbeats are inputs.
package detector

import (
	"slices"
	"strings"
	"time"
)

// State is the detector's judgement of a process.
type State string

// The states of a process.
const (
	// Alive processes may be given roles.
	Alive State = "alive"
	// Suspect processes missed heartbeats; they are given no roles.
	Suspect State = "suspect"
	// Dead processes were silent for so long that they are removed from the members.
	Dead State = "dead"
)

// Process identifies one incarnation of a host.
type Process struct {
	Host        string
	Incarnation uint64
}

// Beat is what a heartbeat says about its process.
type Beat struct {
	Process
	Seq      uint64
	Interval time.Duration
	Draining bool
	Leaving  bool
	// ConfigVersion is the version that the process acts on.
	ConfigVersion uint64
}

// Options are the parameters of a Table.
type Options struct {
	// MissedBeats is the number of heartbeats that a process may miss before it is suspect.
	MissedBeats int
	// RemoveAfter is the silence after which a process is dead.
	RemoveAfter time.Duration
}

// Table holds what one leader has heard in its term. Times are durations since an arbitrary origin.
type Table struct {
	options Options
	started time.Duration
	heard   map[string]entry
}

type entry struct {
	Beat
	at time.Duration
}

// New starts a term. Members that have not been heard yet count as heard at this moment.
func New(now time.Duration, o Options) *Table {
	return &Table{options: o, started: now, heard: map[string]entry{}}
}

// Heard records a heartbeat and returns false when it is older than one already heard.
func (t *Table) Heard(now time.Duration, b Beat) bool {
	last, known := t.heard[b.Host]
	if known && (b.Incarnation < last.Incarnation || (b.Incarnation == last.Incarnation && b.Seq <= last.Seq)) {
		return false
	}
	t.heard[b.Host] = entry{Beat: b, at: now}
	return true
}

// Last returns the last heartbeat of a process and the silence since then.
func (t *Table) Last(now time.Duration, p Process) (Beat, time.Duration) {
	e, ok := t.heard[p.Host]
	if !ok || e.Process != p {
		return Beat{Process: p}, now - t.started
	}
	return e.Beat, now - e.at
}

// State judges a member.
func (t *Table) State(now time.Duration, p Process) State {
	beat, silence := t.Last(now, p)
	switch {
	case beat.Leaving || silence >= t.options.RemoveAfter:
		return Dead
	case beat.Interval == 0 || silence > time.Duration(t.options.MissedBeats)*beat.Interval:
		return Suspect
	}
	return Alive
}

// Eligible reports whether a member may be given roles.
func (t *Table) Eligible(now time.Duration, p Process) bool {
	beat, _ := t.Last(now, p)
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
