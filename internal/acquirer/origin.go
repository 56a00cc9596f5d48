package acquirer

import (
	"context"
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
	// maxOriginCalls is the largest number of coordinators that are asked for the origin of a stream, and originTimeout bounds each
	// call.
	maxOriginCalls = 3
	originTimeout  = 150 * time.Millisecond
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
// decides. Without one, the pool must have had only one version, by all coordinators that were asked and by this host's list.
func (a *Acquirer) StreamOrigin(ctx context.Context, request uint64, pool string) (registrar.Origin, bool) {
	a.mu.Lock()
	own, known := a.origins.Lookup(time.Now(), request)
	a.mu.Unlock()
	if known {
		return own, true
	}
	var sole *string
	contradicted := false
	for _, h := range a.originHosts() {
		reply, err := a.askOrigin(ctx, h.Addr, request, pool)
		switch {
		case err != nil:
			klog.InfoS("asker: origin of stream not received", "addr", h.Addr, "reason", err)
		case reply.GetKnown():
			o := registrar.Origin{Pool: reply.GetPool(), Version: reply.GetVersion(), Joinable: reply.GetJoinable()}
			a.ReportStream(request, o)
			return o, true
		case reply.GetSole():
			contradicted = contradicted || sole != nil && *sole != reply.GetVersion()
			sole = new(reply.GetVersion())
		case reply.GetMixed():
			contradicted = true
		}
	}
	if sole == nil || contradicted || !a.listsOnly(pool, *sole) {
		return registrar.Origin{}, false
	}
	return registrar.Origin{Pool: pool, Version: *sole, Joinable: true}, true
}

// originHosts returns the control hosts to ask for an origin, the home coordinator first.
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
	return hosts[:min(len(hosts), maxOriginCalls)]
}

func (a *Acquirer) askOrigin(ctx context.Context, addr string, request uint64, pool string) (*coordinatorpb.OriginReply, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
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
	a.mu.Lock()
	defer a.mu.Unlock()
	versions, pools := make(map[string]string, len(list)), map[string]map[string]bool{}
	for _, e := range list {
		if before, known := a.listedVersions[e.ID]; known && before != e.Version {
			a.origins.EndpointChanged(now, e.ID)
		}
		versions[e.ID] = e.Version
		if pools[e.Pool] == nil {
			pools[e.Pool] = map[string]bool{}
		}
		pools[e.Pool][e.Version] = true
	}
	a.listedVersions, a.poolVersions = versions, pools
}
