package acquirer

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

const (
	// homeOriginTimeout bounds the first call for the origin of a stream, to the home coordinator.
	homeOriginTimeout = 150 * time.Millisecond
	// originTimeout bounds the calls to the other coordinators, which are made at once.
	originTimeout = 300 * time.Millisecond
)

// ReportStream records which version began the stream of a request, and reports it to the coordinators.
func (a *Acquirer) ReportStream(request uint64, o registrar.Origin) { a.ReportStreamAt(request, o, "") }

// ReportStreamAt is like ReportStream, for a stream that began at a known endpoint. If the list shows another version of that
// endpoint soon afterwards, the stream is reported as not joinable.
func (a *Acquirer) ReportStreamAt(request uint64, o registrar.Origin, endpoint string) {
	a.mu.Lock()
	if listed, known := a.listedVersions[endpoint]; known && listed != o.Version {
		// The list has changed since the request was placed.
		o.Joinable = false
	}
	isNew := a.origins.Add(time.Now(), registrar.Record{Request: request, Origin: o, Endpoint: endpoint})
	a.mu.Unlock()
	if isNew {
		a.sendOrigins()
		a.notifyOrigin()
	}
}

func (a *Acquirer) notifyOrigin() {
	if a.OnOrigin != nil {
		a.OnOrigin()
	}
}

// OwnOrigins returns the origins among the next limit ones after a sequence number that this host has recorded itself, of pools that have had
// several versions lately, and the number to go on with. In other pools the history of versions tells the origin.
func (a *Acquirer) OwnOrigins(seq uint64, limit int) (records []registrar.Record, last uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.origins.Sweep(time.Now())
	records, last = a.origins.SinceUpTo(seq, limit)
	return slices.DeleteFunc(records, func(r registrar.Record) bool { return len(a.recentVersions[r.Pool]) < 2 }), last
}

// OriginsEpoch returns a number that grows when OwnOrigins has to be read from the start again, since a further pool has had several versions.
func (a *Acquirer) OriginsEpoch() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.originsEpoch
}

// KeepOrigins records origins for another entry host, which reports them to the coordinators itself. Coordinators learn them from this host
// only when it connects to them, since they may have started then.
func (a *Acquirer) KeepOrigins(records []registrar.Record) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range records {
		// A host that has taken a stream up passes its origin on itself.
		if !a.origins.Owns(r.Request, r.Origin) {
			r.Learnt = true
			a.origins.Add(now, r)
		}
	}
}

// sendOrigins adds the origins that the home coordinator has not received from this host to the next report to it.
func (a *Acquirer) sendOrigins() {
	l := a.homeLink()
	if l == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !l.connected {
		return
	}
	records, last := a.origins.Since(l.sentOriginSeq)
	l.sentOriginSeq = last
	if len(records) == 0 {
		return
	}
	l.reportLocked(func(p *coordinatorpb.Report) {
		for _, r := range records {
			p.Streams = coordinator.AppendStream(p.Streams, r.Request, r.Origin)
		}
	})
}

// StreamOrigin returns which version began the stream of a request. It returns false if this is not known. A record of any host
// decides. Without one, the pool must have had only one version, by all coordinators that answer and by this host's list. All are
// asked, since one of them may have placed the stream at a version that the others have not seen yet.
func (a *Acquirer) StreamOrigin(ctx context.Context, request uint64, pool string) (registrar.Origin, bool) {
	a.mu.Lock()
	own, known := a.origins.Lookup(time.Now(), request)
	a.mu.Unlock()
	if known {
		return own, true
	}
	hosts := a.originHosts()
	if len(hosts) == 0 {
		return registrar.Origin{}, false
	}
	ask := func(addr string, timeout time.Duration) *coordinatorpb.OriginReply {
		reply, err := a.askOrigin(ctx, addr, request, pool, timeout)
		if err != nil {
			klog.InfoS("asker: origin of stream not received", "addr", addr, "reason", err)
			return &coordinatorpb.OriginReply{}
		}
		return reply
	}
	replies := []*coordinatorpb.OriginReply{ask(hosts[0].Addr, homeOriginTimeout)}
	last := replies[0]
	if !last.GetKnown() {
		rest := make(chan *coordinatorpb.OriginReply, len(hosts)-1)
		for _, h := range hosts[1:] {
			go func() { rest <- ask(h.Addr, originTimeout) }()
		}
		for len(replies) < len(hosts) && !last.GetKnown() {
			last = <-rest
			replies = append(replies, last)
		}
	}
	if last.GetKnown() {
		o := registrar.Origin{Pool: last.GetPool(), Version: last.GetVersion(), Joinable: last.GetJoinable()}
		a.ReportStream(request, o)
		return o, true
	}
	version, ok := soleVersion(replies)
	if !ok || !a.listsOnly(pool, version) {
		return registrar.Origin{}, false
	}
	return registrar.Origin{Pool: pool, Version: version, Joinable: true}, true
}

// soleVersion returns the only version of a pool according to replies. It returns false if none states one or if they differ.
func soleVersion(replies []*coordinatorpb.OriginReply) (version string, ok bool) {
	for _, r := range replies {
		switch {
		case r.GetMixed(), r.GetSole() && ok && version != r.GetVersion():
			return "", false
		case r.GetSole():
			version, ok = r.GetVersion(), true
		}
	}
	return version, ok
}

// originHosts returns the control hosts, the home coordinator first.
func (a *Acquirer) originHosts() []sharder.Host {
	zone := ""
	if shards := a.shards.Load(); shards != nil {
		zone = shards.AggregationZone(a.Zone)
	}
	hosts := slices.Clone(sharder.Owners(zone, a.ControlHosts()))
	home := a.HomeAddr()
	slices.SortStableFunc(hosts, func(x, y sharder.Host) int {
		switch {
		case x.Addr == home && y.Addr != home:
			return -1
		case y.Addr == home && x.Addr != home:
			return 1
		}
		return 0
	})
	return hosts
}

func (a *Acquirer) askOrigin(ctx context.Context, addr string, request uint64, pool string, timeout time.Duration) (*coordinatorpb.OriginReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := &coordinatorpb.OriginReply{}
	err := a.Network.Call(ctx, addr, coordinator.MethodOrigin, &coordinatorpb.OriginRequest{Request: request, Pool: pool}, reply)
	return reply, err
}

// listsOnly reports whether this host's list shows no other version in the pool.
func (a *Acquirer) listsOnly(pool, version string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for other := range a.poolVersions[pool] {
		if other != version {
			return false
		}
	}
	return true
}

// applyVersions records the versions in the endpoint list.
func (a *Acquirer) applyVersions(list []balancer.Endpoint) {
	now := time.Now()
	if a.recordVersions(now, list) {
		a.notifyOrigin()
	}
}

// recordVersions records the versions in the endpoint list and reports whether origins have changed, or have to be copied from now on.
func (a *Acquirer) recordVersions(now time.Time, list []balancer.Endpoint) (changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	versions, pools := make(map[string]string, len(list)), map[string]map[string]bool{}
	for _, e := range list {
		if before, known := a.listedVersions[e.ID]; known && before != e.Version {
			a.origins.EndpointChanged(now, e.ID)
			changed = true
		}
		versions[e.ID] = e.Version
		if pools[e.Pool] == nil {
			pools[e.Pool] = map[string]bool{}
		}
		pools[e.Pool][e.Version] = true
	}
	a.listedVersions, a.poolVersions = versions, pools
	for pool, listed := range pools {
		recent := a.recentVersions[pool]
		if recent == nil {
			recent = map[string]time.Time{}
			a.recentVersions[pool] = recent
		}
		before := len(recent)
		for version := range listed {
			recent[version] = now
		}
		if before < 2 && len(recent) >= 2 {
			a.originsEpoch++
			changed = true
		}
	}
	maps.DeleteFunc(a.recentVersions, func(_ string, recent map[string]time.Time) bool {
		maps.DeleteFunc(recent, func(_ string, at time.Time) bool { return now.Sub(at) > registrar.Retention })
		return len(recent) == 0
	})
	return changed
}
