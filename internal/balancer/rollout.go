package balancer

import "slices"

// VersionShare is the part of a pool's work that endpoints of one software version take.
type VersionShare struct {
	Version string
	// Share is from 0 to 1. At 0 the version takes no work. At 1 the others take none while the version has an endpoint that is not leaving.
	Share float64
}

// versionShare is a VersionShare with the pieces of work that were placed since it was set.
type versionShare struct {
	VersionShare
	placed, placedAtVersion int
}

// SetVersionShares replaces the shares of software versions, by pool.
func (b *Balancer) SetVersionShares(shares map[string]VersionShare) {
	next := make(map[string]*versionShare, len(shares))
	for pool, s := range shares {
		if known := b.versionShares[pool]; known != nil && known.VersionShare == s {
			next[pool] = known
			continue
		}
		next[pool] = &versionShare{VersionShare: s}
	}
	b.versionShares = next
}

// allowsVersion reports whether an endpoint may take the next piece of work by its software version.
func (b *Balancer) allowsVersion(e *endpoint) bool {
	s := b.versionShares[e.Pool]
	switch {
	case s == nil:
		return true
	case e.Version == s.Version:
		return s.Share >= 1 || float64(s.placedAtVersion+1) <= s.Share*float64(s.placed+1)
	case s.Share < 1:
		return true
	}
	return !slices.ContainsFunc(b.pools[e.Pool], func(other *endpoint) bool { return other.Version == s.Version && !other.isLeaving() })
}

// dueCandidates returns the candidates of the version that is behind its share, if there are any, or else all candidates.
func (b *Balancer) dueCandidates(pool string, candidates []Choice) []Choice {
	s := b.versionShares[pool]
	if s == nil {
		return candidates
	}
	atVersion := func(c Choice) bool { return c.Endpoint.Version == s.Version }
	if !slices.ContainsFunc(candidates, atVersion) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c Choice) bool { return !atVersion(c) })
}

// countVersion counts a piece of work that is placed at an endpoint.
func (b *Balancer) countVersion(e *endpoint) {
	s := b.versionShares[e.Pool]
	if s == nil {
		return
	}
	s.placed++
	if e.Version == s.Version {
		s.placedAtVersion++
	}
}
