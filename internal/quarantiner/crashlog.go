package quarantiner

import (
	"slices"
	"time"
)

const (
	// crashRetention is how long a crash is kept. It covers a request that is repeated at least once an hour.
	crashRetention = time.Hour
	// maxKeptCrashes is the largest number of crashes kept.
	maxKeptCrashes = 1024
)

// Crash is the crash of an endpoint while it ran a request. Both are identified by digests.
type Crash struct {
	Fingerprint, Endpoint uint64
	// Began is the start of the run, and At the time at which the crash interrupted it.
	Began, At time.Time
}

// same reports whether one crash interrupted both runs. A crashed endpoint runs nothing until its process has restarted, possibly
// under the same name.
func (c Crash) same(d Crash) bool {
	return c.Fingerprint == d.Fingerprint && c.Endpoint == d.Endpoint &&
		c.Began.Before(d.At.Add(minRestartTime)) && d.Began.Before(c.At.Add(minRestartTime))
}

// CrashLog is a list of the known crashes without duplicates, in the order in which they were added. The zero value is empty and
// ready to use.
type CrashLog struct {
	entries []entry
	last    uint64
}

type entry struct {
	Crash
	seq uint64
}

// Add adds a crash and drops expired ones. It returns false if the crash was in the list already.
func (l *CrashLog) Add(now time.Time, c Crash) bool {
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool { return now.Sub(e.At) > crashRetention })
	if slices.ContainsFunc(l.entries, func(e entry) bool { return e.same(c) }) {
		return false
	}
	l.last++
	l.entries = append(l.entries, entry{c, l.last})
	if len(l.entries) > maxKeptCrashes {
		l.evict()
	}
	return true
}

// evict removes the oldest crash whose request has no other crash in the list, or else the oldest crash.
func (l *CrashLog) evict() {
	crashes := map[uint64]int{}
	for _, e := range l.entries {
		crashes[e.Fingerprint]++
	}
	victim := max(0, slices.IndexFunc(l.entries, func(e entry) bool { return crashes[e.Fingerprint] == 1 }))
	l.entries = slices.Delete(l.entries, victim, victim+1)
}

// Remove removes the crashes of a request.
func (l *CrashLog) Remove(fingerprint uint64) {
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool { return e.Fingerprint == fingerprint })
}

// ClearSingle removes the crash of a request that succeeded later. It returns false if there was no crash, or if there were
// maxCrashes or more, which a single success doesn't clear.
func (l *CrashLog) ClearSingle(fingerprint uint64) bool {
	crashes := 0
	for _, e := range l.entries {
		if e.Fingerprint == fingerprint {
			crashes++
		}
	}
	if crashes == 0 || crashes >= maxCrashes {
		return false
	}
	l.Remove(fingerprint)
	return true
}

// Since returns the crashes with a sequence number above seq, and the last sequence number in use. A seq of 0 returns all.
func (l *CrashLog) Since(seq uint64) ([]Crash, uint64) {
	var out []Crash
	for _, e := range l.entries {
		if e.seq > seq {
			out = append(out, e.Crash)
		}
	}
	return out, l.last
}
