// Package registrar remembers which software version began which stream. What two versions write does not fit together, so a stream
// may go on only at an endpoint of the version that began it. Time is an input.
package registrar

import (
	"sort"
	"time"
)

const (
	// Retention is how long an origin is kept, and the longest time in which a caller may go on with a stream that broke off.
	Retention = 60 * time.Second
	// maxRecords is the largest number of origins kept.
	maxRecords = 1 << 18
	// changeNotice is the time in which a list may still show the previous version of an endpoint that has been replaced.
	changeNotice = 3 * time.Second
)

// Origin is what is known about the start of a stream.
type Origin struct {
	Pool, Version string
	// Joinable is false if it is known that the stream cannot be joined.
	Joinable bool
}

// Record is the origin of one stream.
type Record struct {
	// Request is the digest of the ID of the request that brought the first event.
	Request uint64
	Origin
	// Endpoint is the ID of the endpoint that began the stream; empty if unknown.
	Endpoint string
	// Learnt is true if the record need not be passed on. Since leaves it out.
	Learnt bool

	at  time.Time
	seq uint64
}

// Registry holds the origins of streams by the digest of their request. The zero value is empty and ready to use.
type Registry struct {
	records map[uint64]Record
	// log holds the records in the order of their sequence numbers and times. An entry whose record has changed since is skipped.
	log  []Record
	last uint64
	// limit is the largest number of records; 0 means maxRecords.
	limit int
}

// Record records the origin of a stream. It returns false if it is known already.
func (r *Registry) Record(now time.Time, request uint64, o Origin) bool {
	return r.Add(now, Record{Request: request, Origin: o})
}

// Add adds a record. It returns false if it is known already. Records of one stream that differ make it not joinable.
func (r *Registry) Add(now time.Time, v Record) bool {
	r.Sweep(now)
	if known, ok := r.records[v.Request]; ok {
		if known.Origin == v.Origin || !known.Joinable {
			return false
		}
		known.Joinable, known.Learnt = false, v.Learnt
		v = known
	}
	r.put(now, v)
	return true
}

func (r *Registry) put(now time.Time, v Record) {
	if r.records == nil {
		r.records = map[uint64]Record{}
	}
	r.last++
	v.at, v.seq = now, r.last
	r.records[v.Request] = v
	r.log = append(r.log, v)
	limit := r.limit
	if limit == 0 {
		limit = maxRecords
	}
	for len(r.records) > limit {
		r.dropOldest()
	}
}

// dropOldest removes the first entry of the log, and its record unless that has changed since.
func (r *Registry) dropOldest() {
	first := r.log[0]
	r.log = r.log[1:]
	if r.records[first.Request].seq == first.seq {
		delete(r.records, first.Request)
	}
}

// Sweep removes the records that have expired.
func (r *Registry) Sweep(now time.Time) {
	for len(r.log) > 0 && now.Sub(r.log[0].at) > Retention {
		r.dropOldest()
	}
}

// Lookup returns the origin of the stream that a request began.
func (r *Registry) Lookup(now time.Time, request uint64) (Origin, bool) {
	v, ok := r.records[request]
	if !ok || now.Sub(v.at) > Retention {
		return Origin{}, false
	}
	return v.Origin, true
}

// Since returns the records with a sequence number above seq that are to be passed on, and the last sequence number in use. A seq
// of 0 returns all.
func (r *Registry) Since(seq uint64) ([]Record, uint64) { return r.SinceUpTo(seq, len(r.log)) }

// SinceUpTo is like Since, but looks at no more than limit records and returns the sequence number of the last one of them.
func (r *Registry) SinceUpTo(seq uint64, limit int) ([]Record, uint64) {
	first := sort.Search(len(r.log), func(i int) bool { return r.log[i].seq > seq })
	entries := r.log[first:]
	if len(entries) > limit {
		entries = entries[:limit]
	}
	if len(entries) == 0 {
		return nil, r.last
	}
	out := make([]Record, 0, len(entries))
	for _, v := range entries {
		if !v.Learnt && r.records[v.Request].seq == v.seq {
			out = append(out, v)
		}
	}
	return out, entries[len(entries)-1].seq
}

// EndpointChanged makes the streams that an endpoint has begun lately not joinable: its version in the list has changed, so it is
// not certain which one began them.
func (r *Registry) EndpointChanged(now time.Time, endpoint string) {
	first := sort.Search(len(r.log), func(i int) bool { return now.Sub(r.log[i].at) <= changeNotice })
	for _, v := range r.log[first:] {
		if v.Endpoint == endpoint && v.Joinable && r.records[v.Request].seq == v.seq {
			v.Joinable = false
			r.put(now, v)
		}
	}
}

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.records) }
