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
	// renewAfter is the age from which a record that is reported again is kept for another Retention.
	renewAfter = Retention / 8
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
}

// Registry holds the origins of streams by the digest of their request. The zero value is empty and ready to use.
type Registry struct {
	records map[uint64]entry
	// log holds the requests in the order in which they were recorded; the first one has the sequence number dropped+1. An item is
	// void if the record of its request has another sequence number.
	log     []logItem
	dropped uint64
	// origins are the different origins, and originIndex their places.
	origins     []Origin
	originIndex map[Origin]uint32
	endpoints   map[uint64]string
	// limit is the largest number of items in the log; 0 means maxRecords.
	limit int
}

// entry is a record. It is small since there are many.
type entry struct {
	seq    uint64
	origin uint32
	learnt bool
}

type logItem struct {
	request uint64
	at      time.Time
}

// Record records the origin of a stream. It returns false if it is known already.
func (r *Registry) Record(now time.Time, request uint64, o Origin) bool {
	return r.Add(now, Record{Request: request, Origin: o})
}

// Add adds a record. It returns false if it is known already. A known record is renewed if it is older than renewAfter. Records of one
// stream that differ make it not joinable.
func (r *Registry) Add(now time.Time, v Record) bool {
	r.Sweep(now)
	if e, ok := r.records[v.Request]; ok {
		known := r.record(v.Request, e)
		switch {
		case known.Origin != v.Origin && known.Joinable:
			known.Joinable = false
		case now.Sub(r.recordedAt(e)) < renewAfter:
			return false
		}
		known.Learnt = v.Learnt
		v = known
	}
	r.put(now, v)
	return true
}

// recordedAt returns the time of an entry.
func (r *Registry) recordedAt(e entry) time.Time { return r.log[e.seq-r.dropped-1].at }

// record returns the record that an entry holds.
func (r *Registry) record(request uint64, e entry) Record {
	return Record{Request: request, Origin: r.origins[e.origin], Endpoint: r.endpoints[request], Learnt: e.learnt}
}

func (r *Registry) put(now time.Time, v Record) {
	if r.records == nil {
		r.records, r.originIndex, r.endpoints = map[uint64]entry{}, map[Origin]uint32{}, map[uint64]string{}
	}
	index, known := r.originIndex[v.Origin]
	if !known {
		index = uint32(len(r.origins))
		r.originIndex[v.Origin] = index
		r.origins = append(r.origins, v.Origin)
	}
	if v.Endpoint != "" {
		r.endpoints[v.Request] = v.Endpoint
	}
	r.log = append(r.log, logItem{v.Request, now})
	r.records[v.Request] = entry{seq: r.last(), origin: index, learnt: v.Learnt}
	limit := r.limit
	if limit == 0 {
		limit = maxRecords
	}
	for len(r.log) > limit {
		r.dropOldest()
	}
}

// last returns the last sequence number in use.
func (r *Registry) last() uint64 { return r.dropped + uint64(len(r.log)) }

// at returns the entry of the i-th item of the log. It returns false if the item is void.
func (r *Registry) at(i int) (entry, bool) {
	e, ok := r.records[r.log[i].request]
	return e, ok && e.seq == r.dropped+uint64(i)+1
}

// dropOldest removes the first item of the log, and its record unless that has changed since.
func (r *Registry) dropOldest() {
	if _, ok := r.at(0); ok {
		delete(r.records, r.log[0].request)
		delete(r.endpoints, r.log[0].request)
	}
	r.log = r.log[1:]
	r.dropped++
}

// Sweep removes the records that have expired.
func (r *Registry) Sweep(now time.Time) {
	for len(r.log) > 0 && now.Sub(r.log[0].at) > Retention {
		r.dropOldest()
	}
}

// Lookup returns the origin of the stream that a request began.
func (r *Registry) Lookup(now time.Time, request uint64) (Origin, bool) {
	e, ok := r.records[request]
	if !ok || now.Sub(r.recordedAt(e)) > Retention {
		return Origin{}, false
	}
	return r.origins[e.origin], true
}

// Owns reports whether an origin is known and is to be passed on.
func (r *Registry) Owns(request uint64, o Origin) bool {
	e, ok := r.records[request]
	return ok && !e.learnt && r.origins[e.origin] == o
}

// Since returns the records with a sequence number above seq that are to be passed on, and the last sequence number in use. A seq
// of 0 returns all.
func (r *Registry) Since(seq uint64) ([]Record, uint64) { return r.SinceUpTo(seq, len(r.log)) }

// SinceUpTo is like Since, but looks at no more than limit records and returns the sequence number of the last one of them.
func (r *Registry) SinceUpTo(seq uint64, limit int) ([]Record, uint64) {
	return r.slice(seq, limit, func(e entry) bool { return !e.learnt })
}

// All returns all records, also those that need not be passed on, and the last sequence number in use.
func (r *Registry) All() ([]Record, uint64) {
	return r.slice(0, len(r.log), func(entry) bool { return true })
}

func (r *Registry) slice(seq uint64, limit int, include func(entry) bool) ([]Record, uint64) {
	first := int(min(max(seq, r.dropped), r.last()) - r.dropped)
	end := min(first+limit, len(r.log))
	if first == end {
		return nil, r.last()
	}
	out := make([]Record, 0, end-first)
	for i := first; i < end; i++ {
		if e, ok := r.at(i); ok && include(e) {
			out = append(out, r.record(r.log[i].request, e))
		}
	}
	return out, r.dropped + uint64(end)
}

// EndpointChanged makes the streams that an endpoint has begun lately not joinable: its version in the list has changed, so it is
// not certain which one began them.
func (r *Registry) EndpointChanged(now time.Time, endpoint string) {
	first := sort.Search(len(r.log), func(i int) bool { return now.Sub(r.log[i].at) <= changeNotice })
	var changed []Record
	for i := first; i < len(r.log); i++ {
		request := r.log[i].request
		if e, ok := r.at(i); ok && r.endpoints[request] == endpoint && r.origins[e.origin].Joinable {
			changed = append(changed, r.record(request, e))
		}
	}
	for _, v := range changed {
		v.Joinable = false
		r.put(now, v)
	}
}

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.records) }
