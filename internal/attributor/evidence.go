// Package attributor determines which parts of prompts crash the endpoints that begin to answer them. It compares the runs that
// crashes interrupted with the runs that survived, as reported by all hosts.
package attributor

import (
	"slices"
	"time"
)

const (
	// evidenceRetention is how long evidence is kept. It covers a part that is used at least once an hour.
	evidenceRetention = time.Hour
	// maxEvidence is the largest number of pieces of evidence kept.
	maxEvidence = 2048
)

// Evidence is an observation of one host about the parts of a prompt: a run that a crash interrupted, or runs that survived.
type Evidence struct {
	// ID identifies the observation; it is chosen at random.
	ID uint64
	// Parts are digests of the parts that other prompts may share.
	Parts []uint64
	// Survived is the number of runs that survived, or 0 if a crash interrupted the run.
	Survived int
	// At is the time of the interruption or of the last survival.
	At time.Time
	// Endpoint is the digest of the crashed endpoint, and Began the start of the interrupted run.
	Endpoint uint64
	Began    time.Time
	// Answering is true if the endpoint had begun to write its response to the interrupted run.
	Answering bool
}

// Log is a list of evidence without duplicates, in the order in which it was added. The zero value is empty and ready to use.
type Log struct {
	entries []logEntry
	last    uint64
	// counts are the counts of all parts with crashes; nil means that they must be computed.
	counts map[uint64]partCounts
}

type logEntry struct {
	Evidence
	seq uint64
}

// Add adds evidence and drops expired entries. It returns false if the evidence was in the log already, or if it reports the
// survival of parts for which enough survivals are known.
func (l *Log) Add(now time.Time, e Evidence) bool {
	kept := len(l.entries)
	l.entries = slices.DeleteFunc(l.entries, func(known logEntry) bool { return now.Sub(known.At) > evidenceRetention })
	if len(l.entries) < kept {
		l.counts = nil
	}
	if slices.ContainsFunc(l.entries, func(known logEntry) bool { return known.ID == e.ID }) {
		return false
	}
	if e.Survived > 0 && slices.ContainsFunc(e.Parts, l.isSuspect) && !slices.ContainsFunc(e.Parts, func(part uint64) bool { return l.NeedsSurvivals(part, e.At) }) {
		return false
	}
	l.last++
	l.entries = append(l.entries, logEntry{e, l.last})
	l.counts = nil
	if len(l.entries) > maxEvidence {
		l.evict()
	}
	return true
}

// isSuspect reports whether a run with a part was interrupted. The survivals of another part may arrive before the interrupted run,
// which takes another way.
func (l *Log) isSuspect(part uint64) bool {
	_, suspect := l.partCounts()[part]
	return suspect
}

// NeedsSurvivals reports whether a survival at a time could change the verdict about a part.
func (l *Log) NeedsSurvivals(part uint64, at time.Time) bool {
	c, suspected := l.partCounts()[part]
	switch {
	case !suspected:
		return false
	case at.Before(c.firstCrash):
		return c.survivedBefore < maxSurvivalsBefore
	}
	return c.survivals() <= survivalsPerManyCrashes*c.interrupted+survivalMargin
}

// partCounts are the numbers of interrupted runs and of survivals of a part.
type partCounts struct {
	interrupted                   int
	firstCrash                    time.Time
	survivedBefore, survivedAfter int
}

// survivals returns the number of survivals that count. Those before the first crash are limited, because the part may have become
// harmful since, for example with a new version of the model.
func (c partCounts) survivals() int {
	return min(c.survivedBefore, maxSurvivalsBefore) + c.survivedAfter
}

// partCounts returns the counts of the parts with interrupted runs.
func (l *Log) partCounts() map[uint64]partCounts {
	if l.counts != nil {
		return l.counts
	}
	counts := map[uint64]partCounts{}
	for _, e := range l.entries {
		if e.Survived > 0 {
			continue
		}
		for _, part := range e.Parts {
			c := counts[part]
			if c.interrupted++; c.interrupted == 1 || e.At.Before(c.firstCrash) {
				c.firstCrash = e.At
			}
			counts[part] = c
		}
	}
	for _, e := range l.entries {
		if e.Survived == 0 {
			continue
		}
		for _, part := range e.Parts {
			c, suspected := counts[part]
			switch {
			case !suspected:
				continue
			case e.At.Before(c.firstCrash):
				c.survivedBefore += e.Survived
			default:
				c.survivedAfter += e.Survived
			}
			counts[part] = c
		}
	}
	l.counts = counts
	return counts
}

// evict removes the oldest entry none of whose parts has several interrupted runs, or else the oldest entry.
func (l *Log) evict() {
	counts := l.partCounts()
	victim := max(0, slices.IndexFunc(l.entries, func(e logEntry) bool {
		return !slices.ContainsFunc(e.Parts, func(part uint64) bool { return counts[part].interrupted > 1 })
	}))
	l.entries = slices.Delete(l.entries, victim, victim+1)
	l.counts = nil
}

// Since returns the evidence with a sequence number above seq, and the last sequence number in use. A seq of 0 returns all.
func (l *Log) Since(seq uint64) ([]Evidence, uint64) {
	var out []Evidence
	for _, e := range l.entries {
		if e.seq > seq {
			out = append(out, e.Evidence)
		}
	}
	return out, l.last
}
