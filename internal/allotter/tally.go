package allotter

import (
	"maps"
	"time"
)

// freshFor is the age up to which all that a process has used counts as new. What an older one has used before it was heard
// first was told elsewhere.
const freshFor = 2 * time.Second

// source is one process that tells its use.
type source struct {
	process uint64
	base    map[uint64]float64
	told    map[uint64]float64
	hosts   int
	peer    bool
	at      time.Time
}

// Tally adds up what hosts have used of allotments, so that each of them needs to hear one sum only. Workspaces are named by
// digests. It is pure, and not safe for concurrent use.
type Tally struct {
	started time.Time
	length  time.Duration
	sources map[string]*source
	total   map[uint64]float64
	own     map[uint64]float64
	windows map[uint64]*window
	version uint64
}

// NewTally returns a tally that begins now, with the length of the windows; 0 means the default.
func NewTally(now time.Time, length time.Duration) *Tally {
	if length <= 0 {
		length = defaultWindow
	}
	return &Tally{
		started: now, length: length, sources: map[string]*source{}, total: map[uint64]float64{}, own: map[uint64]float64{},
		windows: map[uint64]*window{},
	}
}

// Report is what a process tells of its use.
type Report struct {
	// Process changes with each start of the process, and Age is how long it has run.
	Process uint64
	Age     time.Duration
	// Totals are the units since the start of the process, by workspace.
	Totals map[uint64]float64
	// Hosts is the number of hosts that are added up in Totals.
	Hosts int
	// Peer is true if the sender adds up other hosts itself; what it tells is not told to others of its kind.
	Peer bool
}

// Add counts what was allowed here, which the hosts do not report themselves; units are below zero if they are given back.
func (t *Tally) Add(now time.Time, workspace uint64, units float64) {
	t.count(now, workspace, units, false)
}

// count adds units to the sums.
func (t *Tally) count(now time.Time, workspace uint64, units float64, peer bool) {
	t.version++
	t.total[workspace] += units
	if !peer {
		t.own[workspace] += units
	}
	w := t.windows[workspace]
	if w == nil {
		w = &window{length: t.length, epoch: t.started}
		t.windows[workspace] = w
	}
	w.add(now, units)
}

// Heard takes the report of a source, and returns what it has used since the last one.
func (t *Tally) Heard(now time.Time, name string, r Report) (news map[uint64]float64) {
	s := t.sources[name]
	if s == nil || s.process != r.Process {
		s = &source{process: r.Process, base: map[uint64]float64{}, told: map[uint64]float64{}}
		if r.Age >= freshFor {
			s.base, s.told = maps.Clone(r.Totals), maps.Clone(r.Totals)
		}
		t.sources[name] = s
	}
	s.hosts, s.peer, s.at = r.Hosts, r.Peer, now
	news = map[uint64]float64{}
	for workspace, units := range r.Totals {
		delta := units - s.told[workspace]
		if delta == 0 {
			continue
		}
		s.told[workspace] = units
		news[workspace] = delta
		t.count(now, workspace, delta, r.Peer)
	}
	return news
}

// Others returns the totals without what a source has told since it was heard first.
func (t *Tally) Others(name string) map[uint64]float64 {
	out := maps.Clone(t.total)
	if s := t.sources[name]; s != nil {
		for workspace, units := range s.told {
			out[workspace] -= units - s.base[workspace]
		}
	}
	return out
}

// Own returns the totals of the hosts that report to this tally themselves.
func (t *Tally) Own() map[uint64]float64 { return maps.Clone(t.own) }

// Version changes with the totals.
func (t *Tally) Version() uint64 { return t.version }

// Gone forgets a source.
func (t *Tally) Gone(name string) { delete(t.sources, name) }

// Hosts returns the number of hosts that report here, and of all that are added up and were heard within a time.
func (t *Tally) Hosts(now time.Time, within time.Duration) (own, all int) {
	for _, s := range t.sources {
		if now.Sub(s.at) > within {
			continue
		}
		all += s.hosts
		if !s.peer {
			own += s.hosts
		}
	}
	return own, all
}

// History returns the windows of the workspaces in equal parts, the newest first, as far back as this tally has run.
func (t *Tally) History(now time.Time) map[uint64][]float64 {
	known := int(now.Sub(t.started) * historyParts / t.length)
	out := make(map[uint64][]float64, len(t.windows))
	for workspace, w := range t.windows {
		out[workspace] = w.history(now)[:min(known, historyParts)]
	}
	return out
}
