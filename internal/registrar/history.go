package registrar

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clockSlack is the largest step of a clock, between the writing and the reading of a history, that is allowed for.
	clockSlack = 5 * time.Second
	// maxBridgedGap is the longest time since a file was written for which it shows that a pool had no other version. A restart of all
	// hosts takes seconds.
	maxBridgedGap = Retention / 2
)

// History is which software versions the endpoint list has shown in each pool. Create one with NewHistory, NewBootstrapHistory or
// DecodeHistory.
type History struct {
	// coveredSince is the time since which all versions of pools without an entry in pools are known.
	coveredSince time.Time
	// peerSince is the time since which a peer knows them.
	peerSince time.Time
	pools     map[string]*poolHistory
	observed  bool
	changes   uint64
}

// poolHistory is the history of one pool.
type poolHistory struct {
	coveredSince, peerSince time.Time
	// lastListed are the times at which versions were last listed. Those in listed are listed now.
	lastListed map[string]time.Time
	listed     map[string]bool
	// fromFile is true if a file contained the pool, and sole is then its only version, if there was only one.
	fromFile bool
	sole     *string
}

// NewHistory returns the history of a process that knows nothing of the time before now.
func NewHistory(now time.Time) *History {
	return &History{coveredSince: now, pools: map[string]*poolHistory{}}
}

// NewBootstrapHistory returns the history of a system that has started for the first time: nothing preceded it.
func NewBootstrapHistory() *History { return NewHistory(time.Time{}) }

// Changes returns a number that grows whenever the versions change.
func (h *History) Changes() uint64 { return h.changes }

// Observed reports whether a list was observed.
func (h *History) Observed() bool { return h.observed }

// Observe records the versions that the list shows in each pool.
func (h *History) Observe(now time.Time, listed map[string]map[string]bool) {
	if !h.observed {
		h.bridge(now, listed)
		h.observed = true
	}
	for pool, p := range h.pools {
		if !maps.Equal(p.listed, listed[pool]) {
			h.changes++
		}
		for version := range p.listed {
			p.lastListed[version] = now
		}
		p.listed = nil
	}
	for pool, versions := range listed {
		p := h.pools[pool]
		if p == nil {
			p = &poolHistory{coveredSince: h.coveredSince, lastListed: map[string]time.Time{}}
			h.pools[pool] = p
			h.changes++
		}
		p.listed = maps.Clone(versions)
		for version := range versions {
			p.lastListed[version] = now
		}
	}
	h.Sweep(now)
}

// bridge decides for which pools the history covers the time before the first list: for those that a recent file contained only if the
// list shows the same single version as the file.
func (h *History) bridge(now time.Time, listed map[string]map[string]bool) {
	if !h.coveredSince.IsZero() {
		h.coveredSince = earlier(now, h.peerSince)
	}
	for pool, p := range h.pools {
		switch {
		case !p.fromFile:
			p.coveredSince = earlier(h.coveredSince, p.peerSince)
		case p.sole == nil || len(listed[pool]) != 1 || !listed[pool][*p.sole]:
			p.coveredSince = earlier(now, p.peerSince)
		}
	}
}

// Sweep removes the versions that were not listed within Retention.
func (h *History) Sweep(now time.Time) {
	maps.DeleteFunc(h.pools, func(_ string, p *poolHistory) bool {
		return h.observed && len(p.lastListed) == 0 && now.Sub(p.coveredSince) > Retention && now.Sub(h.coveredSince) > Retention
	})
	for _, p := range h.pools {
		for version, at := range p.lastListed {
			if !p.listed[version] && now.Sub(at) > Retention {
				delete(p.lastListed, version)
				h.changes++
			}
		}
	}
}

// Sole returns the only version that the pool has had in the last Retention. It returns false if there were others, or none, or if
// it is not known.
func (h *History) Sole(now time.Time, pool string) (version string, ok bool) {
	p := h.pools[pool]
	if p == nil || !h.observed || now.Sub(p.coveredSince) <= Retention {
		return "", false
	}
	recent := p.recent(now)
	if len(recent) != 1 {
		return "", false
	}
	for version = range recent {
	}
	return version, true
}

// Mixed reports whether the pool is known to have had several versions in the last Retention.
func (h *History) Mixed(now time.Time, pool string) bool {
	p := h.pools[pool]
	return p != nil && len(p.recent(now)) > 1
}

// recent returns the versions listed in the last Retention and the ages of their last listing.
func (p *poolHistory) recent(now time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for version, at := range p.lastListed {
		if p.listed[version] {
			out[version] = 0
		} else if age := now.Sub(at); age <= Retention {
			out[version] = max(0, age)
		}
	}
	return out
}

// PoolVersions is the history of a pool in a form that can be sent.
type PoolVersions struct {
	// Covered is for how long all versions are known.
	Covered time.Duration
	// Ages are the times since each version was last listed.
	Ages map[string]time.Duration
}

// maxCovered caps the time for which a history is stated to be covered.
const maxCovered = time.Hour

func covered(now, since time.Time) time.Duration {
	// The difference to the zero time is capped by Sub.
	return max(0, min(now.Sub(since), maxCovered))
}

// Export returns the history by pool for a peer, and for how long all versions of other pools are known. It returns false as long as
// no list was observed.
func (h *History) Export(now time.Time) (pools map[string]PoolVersions, others time.Duration, ok bool) {
	if !h.observed {
		return nil, 0, false
	}
	pools = map[string]PoolVersions{}
	for pool, p := range h.pools {
		pools[pool] = PoolVersions{Covered: covered(now, p.coveredSince), Ages: p.recent(now)}
	}
	return pools, covered(now, h.coveredSince), true
}

// Merge adds the history of a peer, received at now.
func (h *History) Merge(now time.Time, pools map[string]PoolVersions, others time.Duration) {
	for pool, peer := range pools {
		p := h.pools[pool]
		if p == nil {
			p = &poolHistory{coveredSince: h.coveredSince, lastListed: map[string]time.Time{}}
			h.pools[pool] = p
			h.changes++
		}
		for version, age := range peer.Ages {
			at := now.Add(-max(0, age))
			last, known := p.lastListed[version]
			if !known {
				h.changes++
			}
			if !known || at.After(last) {
				p.lastListed[version] = at
			}
		}
		p.learnCoverage(now.Add(-peer.Covered))
	}
	since := now.Add(-others)
	for pool, p := range h.pools {
		if _, stated := pools[pool]; !stated {
			p.learnCoverage(since)
		}
	}
	h.peerSince = since
	h.coveredSince = earlier(h.coveredSince, since)
}

func (p *poolHistory) learnCoverage(since time.Time) {
	p.peerSince = since
	p.coveredSince = earlier(p.coveredSince, since)
}

// earlier returns the earlier time, or own if that of the peer is unknown.
func earlier(own, peer time.Time) time.Time {
	if !peer.IsZero() && peer.Before(own) {
		return peer
	}
	return own
}

// file is the form of a history in a file. Times are those of the wall clock.
type file struct {
	SavedAt time.Time           `json:"saved_at"`
	Pools   map[string]filePool `json:"pools"`
}

type filePool struct {
	CoveredSince time.Time            `json:"covered_since,omitzero"`
	LastListed   map[string]time.Time `json:"last_listed"`
}

// Encode returns the history as JSON.
func (h *History) Encode(now time.Time) ([]byte, error) {
	f := file{SavedAt: now.UTC().Round(0), Pools: map[string]filePool{}}
	for pool, p := range h.pools {
		out := filePool{LastListed: map[string]time.Time{}}
		if !p.coveredSince.IsZero() {
			out.CoveredSince = p.coveredSince.UTC().Round(0)
		}
		for version, age := range p.recent(now) {
			out.LastListed[version] = now.Add(-age).UTC().Round(0)
		}
		f.Pools[pool] = out
	}
	data, err := json.Marshal(f)
	return data, eris.Wrap(err, "encode history of versions")
}

// DecodeHistory returns the history that a previous process of the host has written. The clock may have been set since.
func DecodeHistory(now time.Time, data []byte) (*History, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, eris.Wrap(err, "decode history of versions")
	}
	h := NewHistory(now)
	// Later times claim less.
	later := func(at time.Time) time.Time {
		if at = at.Add(clockSlack); at.After(now) {
			return now
		}
		return at
	}
	for pool, in := range f.Pools {
		p := &poolHistory{lastListed: map[string]time.Time{}, fromFile: true}
		if !in.CoveredSince.IsZero() {
			p.coveredSince = later(in.CoveredSince)
		}
		for version, at := range in.LastListed {
			if len(in.LastListed) == 1 && now.Sub(f.SavedAt) <= maxBridgedGap {
				p.sole = &version
			}
			p.lastListed[version] = later(at)
		}
		h.pools[pool] = p
	}
	return h, nil
}
