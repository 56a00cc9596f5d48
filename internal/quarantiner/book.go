package quarantiner

import (
	"slices"
	"time"
)

const (
	// keptFor is how long a book keeps a crash. It covers a request that comes again once an hour or more often.
	keptFor = time.Hour
	// maxNoted bounds the crashes in a book.
	maxNoted = 1024
)

// Crash is an endpoint that crashed while it ran a request, both by digest.
type Crash struct {
	Fingerprint, Endpoint uint64
	// Began is when the run began, and At when the endpoint broke it off.
	Began, At time.Time
}

// same reports whether two runs were broken off by one crash. An endpoint that has crashed runs nothing until it has started again,
// possibly under the name that it had.
func (c Crash) same(d Crash) bool {
	return c.Fingerprint == d.Fingerprint && c.Endpoint == d.Endpoint &&
		c.Began.Before(d.At.Add(restart)) && d.Began.Before(c.At.Add(restart))
}

// Book keeps the crashes that are known, each once, in the order in which they became known. The zero value is an empty book.
type Book struct {
	noted []noted
	last  uint64
}

type noted struct {
	Crash
	seq uint64
}

// Add notes a crash. It returns false if the crash was known.
func (b *Book) Add(now time.Time, c Crash) bool {
	b.noted = slices.DeleteFunc(b.noted, func(n noted) bool { return now.Sub(n.At) > keptFor })
	if slices.ContainsFunc(b.noted, func(n noted) bool { return n.same(c) }) {
		return false
	}
	b.last++
	b.noted = append(b.noted, noted{c, b.last})
	if len(b.noted) > maxNoted {
		b.drop()
	}
	return true
}

// drop removes the oldest crash of a request that has caused one only, or the oldest of all.
func (b *Book) drop() {
	crashes := map[uint64]int{}
	for _, n := range b.noted {
		crashes[n.Fingerprint]++
	}
	oldest := max(0, slices.IndexFunc(b.noted, func(n noted) bool { return crashes[n.Fingerprint] == 1 }))
	b.noted = slices.Delete(b.noted, oldest, oldest+1)
}

// Remove forgets the crashes of a request.
func (b *Book) Remove(fingerprint uint64) {
	b.noted = slices.DeleteFunc(b.noted, func(n noted) bool { return n.Fingerprint == fingerprint })
}

// Clear forgets the crash of a request that has been answered since. It returns false if there was none, or if the request had
// crashed so many endpoints that one answer does not clear it.
func (b *Book) Clear(fingerprint uint64) bool {
	crashes := 0
	for _, n := range b.noted {
		if n.Fingerprint == fingerprint {
			crashes++
		}
	}
	if crashes == 0 || crashes >= maxCrashes {
		return false
	}
	b.Remove(fingerprint)
	return true
}

// Since returns the crashes that were noted after a number, and the number of the last one. After 0 it returns all.
func (b *Book) Since(seq uint64) ([]Crash, uint64) {
	var out []Crash
	for _, n := range b.noted {
		if n.seq > seq {
			out = append(out, n.Crash)
		}
	}
	return out, b.last
}
