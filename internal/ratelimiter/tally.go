package ratelimiter

import (
	"maps"
	"time"
)

// newProcessAge is the age below which the first report of a process counts in full. The usage in the first report of an older
// process was already reported to another tally.
const newProcessAge = 2 * time.Second

// source is one process that reports its usage.
type source struct {
	process    uint64
	base       map[uint64]float64
	reported   map[uint64]float64
	hosts      int
	peer       bool
	reportedAt time.Time
}

// Tally sums the usage of workspaces over many hosts, so that each host needs to receive only one total. Workspaces are
// identified by digests. It does no I/O, reads no clock, and is not safe for concurrent use.
type Tally struct {
	started time.Time
	length  time.Duration
	sources map[string]*source
	total   map[uint64]float64
	local   map[uint64]float64
	windows map[uint64]*window
	version uint64
}

// NewTally returns an empty tally that starts now. A length of 0 selects the default window length.
func NewTally(now time.Time, length time.Duration) *Tally {
	if length <= 0 {
		length = DefaultWindow
	}
	return &Tally{
		started: now, length: length, sources: map[string]*source{}, total: map[uint64]float64{}, local: map[uint64]float64{},
		windows: map[uint64]*window{},
	}
}

// Report is the usage that a process reports.
type Report struct {
	// Process identifies one run of the process, and Age is how long it has run.
	Process uint64
	Age     time.Duration
	// Totals are the units admitted since the start of the process, by workspace.
	Totals map[uint64]float64
	// Hosts is the number of hosts whose usage Totals contains.
	Hosts int
	// Peer is true if the sender sums other hosts itself. Its totals are not forwarded to other such senders.
	Peer bool
}

// Add counts units that the owner of the tally admitted itself, which the hosts don't report. Negative units give back earlier
// ones.
func (t *Tally) Add(now time.Time, workspace uint64, units float64) {
	t.record(now, workspace, units, false)
}

// record adds units to the totals and to the window of a workspace.
func (t *Tally) record(now time.Time, workspace uint64, units float64, peer bool) {
	t.version++
	t.total[workspace] += units
	if !peer {
		t.local[workspace] += units
	}
	w := t.windows[workspace]
	if w == nil {
		w = &window{length: t.length, epoch: t.started}
		t.windows[workspace] = w
	}
	w.add(now, units)
}

// ApplyReport applies the report of a source and returns the units used since its previous report, by workspace.
func (t *Tally) ApplyReport(now time.Time, name string, r Report) (deltas map[uint64]float64) {
	s := t.sources[name]
	if s == nil || s.process != r.Process {
		s = &source{process: r.Process, base: map[uint64]float64{}, reported: map[uint64]float64{}}
		if r.Age >= newProcessAge {
			s.base, s.reported = maps.Clone(r.Totals), maps.Clone(r.Totals)
		}
		t.sources[name] = s
	}
	s.hosts, s.peer, s.reportedAt = r.Hosts, r.Peer, now
	deltas = map[uint64]float64{}
	for workspace, units := range r.Totals {
		delta := units - s.reported[workspace]
		if delta == 0 {
			continue
		}
		s.reported[workspace] = units
		deltas[workspace] = delta
		t.record(now, workspace, delta, r.Peer)
	}
	return deltas
}

// TotalsExcept returns the totals without the usage that a source has reported since its first report.
func (t *Tally) TotalsExcept(name string) map[uint64]float64 {
	out := maps.Clone(t.total)
	if s := t.sources[name]; s != nil {
		for workspace, units := range s.reported {
			out[workspace] -= units - s.base[workspace]
		}
	}
	return out
}

// LocalTotals returns the totals of the hosts that report to this tally directly.
func (t *Tally) LocalTotals() map[uint64]float64 { return maps.Clone(t.local) }

// LocalTotal returns the total of one workspace in LocalTotals.
func (t *Tally) LocalTotal(workspace uint64) float64 { return t.local[workspace] }

// Version returns a number that changes whenever the totals change.
func (t *Tally) Version() uint64 { return t.version }

// RemoveSource removes a source. Its usage stays in the totals.
func (t *Tally) RemoveSource(name string) { delete(t.sources, name) }

// Hosts returns the number of hosts that report directly and the number of all hosts covered by the totals. Only sources that
// reported within the given time count.
func (t *Tally) Hosts(now time.Time, within time.Duration) (own, all int) {
	for _, s := range t.sources {
		if now.Sub(s.reportedAt) > within {
			continue
		}
		all += s.hosts
		if !s.peer {
			own += s.hosts
		}
	}
	return own, all
}

// History returns the usage in the window of each workspace as equal intervals, the newest first. It contains only the intervals
// since the start of the tally.
func (t *Tally) History(now time.Time) map[uint64][]float64 {
	complete := int(now.Sub(t.started) * historyBuckets / t.length)
	out := make(map[uint64][]float64, len(t.windows))
	for workspace, w := range t.windows {
		out[workspace] = w.history(now)[:min(complete, historyBuckets)]
	}
	return out
}
