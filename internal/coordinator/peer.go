package coordinator

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/ratelimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

// shardIdleTimeout is the time without placement requests after which the summary of a shard is sent to other coordinators only with their
// other news, or at idleReportInterval, and only by the first coordinator of its zone.
const shardIdleTimeout = time.Second

// roundTripSmoothing is the number of reports over which their duration is averaged.
const roundTripSmoothing = 8

// peerUse is the usage reported by another coordinator: of allotments by workspace name, and of limited endpoints.
type peerUse struct {
	processID uint64
	used      map[string]float64
	// placements are the requests that it has placed at endpoints with a limit, by ID.
	placements map[string]uint64
}

// peer is the state of the reports to another coordinator.
type peer struct {
	inFlight  bool
	reachedAt time.Time
	// roundTrip is the average duration of the reports that were answered.
	roundTrip time.Duration
	// sentTotals are the totals of the last report that was answered, and sentCrashSeq and sentEvidenceSeq are the numbers of its
	// last crash and piece of evidence.
	sentTotals                    map[uint64]float64
	sentCrashSeq, sentEvidenceSeq uint64
	// ackedTotals are the units by workspace that it has acknowledged; unlike sentTotals, they outlast a failed report.
	ackedTotals map[uint64]float64
	// sentPlacements are the numbers of placements at limited endpoints in the last report that was answered.
	sentPlacements map[string]uint64
	// pendingCleared are the fingerprints of cleared requests that have not been reported to it.
	pendingCleared []uint64
	// sentStreamSeq is the number of the last origin in the last report that was answered. versionsSentAt is when the history of
	// versions was last sent, and versionChanges its number of changes then.
	sentStreamSeq, versionChanges uint64
	versionsSentAt                time.Time
}

// peerCall is one report to another coordinator. Coordinator.peers holds a new peer value once a new process of that host has
// reported.
type peerCall struct {
	peer   *peer
	report *coordinatorpb.PeerReport
	// crashSeq and evidenceSeq are the numbers of the last known crash and piece of evidence.
	crashSeq, evidenceSeq uint64
	// streamSeq is the number of the last origin in the report.
	streamSeq uint64
}

// nextPeerReport returns the report that is due to another coordinator, or nil if none is.
func (c *Coordinator) nextPeerReport(now time.Time, id string) *peerCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	if p.inFlight {
		return nil
	}
	own, _ := c.tally.Hosts(now, peerUsageTTL)
	r := &coordinatorpb.PeerReport{Host: c.HostID, Process: c.processID, AgeMs: uint64(now.Sub(c.started).Milliseconds()), Young: now.Sub(c.allotmentsKnownSince) < historyMaxAge, Uses: EncodeUses(ChangedTotals(p.sentTotals, c.tally.LocalTotals()), own)}
	crashes, last := c.crashes.Since(p.sentCrashSeq)
	r.Crashes, r.Cleared = EncodeCrashes(now, crashes), slices.Clone(p.pendingCleared)
	evidence, lastEvidence := c.evidence.Since(p.sentEvidenceSeq)
	r.Evidence = EncodeEvidence(now, evidence)
	for id, placed := range c.limitedPlacements(p.sentPlacements) {
		r.Placements = append(r.Placements, &coordinatorpb.LimitedPlacements{Endpoint: id, Placed: placed})
	}
	origins, lastStream := c.origins.SinceUpTo(p.sentStreamSeq, maxStreamsPerReport)
	r.Streams = EncodeStreams(origins)
	if p.versionsSentAt.IsZero() || now.Sub(p.versionsSentAt) >= versionsInterval || p.versionChanges != c.versions.Changes() {
		r.Versions = c.encodeVersions(now)
	}
	busy := 0
	for key, s := range c.shards {
		if s.isBusy(now) {
			busy++
		} else if !c.ownedShards[key] {
			continue
		}
		r.Summaries = append(r.Summaries, s.summary(now))
	}
	r.Outcomes = c.rolloutOutcomes()
	news := len(r.GetOutcomes()) + len(r.GetUses().GetUnits()) + len(r.GetCrashes()) + len(r.GetCleared()) + len(r.GetEvidence()) + len(r.GetPlacements()) + busy + len(r.GetStreams()) + len(r.GetVersions().GetPools())
	if news == 0 && now.Sub(p.reachedAt) < idleReportInterval {
		p.sentStreamSeq = lastStream
		return nil
	}
	p.inFlight = true
	if r.GetVersions() != nil {
		p.versionsSentAt, p.versionChanges = now, c.versions.Changes()
	}
	return &peerCall{peer: p, report: r, crashSeq: last, evidenceSeq: lastEvidence, streamSeq: lastStream}
}

func (c *Coordinator) sendPeerReport(ctx context.Context, h sharder.Host, call *peerCall) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply := &coordinatorpb.PeerReply{}
	began := time.Now()
	err := c.Network.Call(ctx, h.Addr, MethodPeer, call.report, reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := call.peer
	p.inFlight = false
	if err != nil {
		// It may have restarted and then needs the full state.
		p.sentTotals, p.sentCrashSeq, p.sentEvidenceSeq, p.sentPlacements = nil, 0, 0, nil
		p.sentStreamSeq, p.versionsSentAt = 0, time.Time{}
		klog.V(1).Infof("coordinator: peer report failed peer=%s reason=%q", h.ID, err)
		return
	}
	if p.roundTrip == 0 {
		p.roundTrip = time.Since(began)
	}
	p.roundTrip += (time.Since(began) - p.roundTrip) / roundTripSmoothing
	p.reachedAt, p.sentCrashSeq, p.sentEvidenceSeq, p.pendingCleared = time.Now(), call.crashSeq, call.evidenceSeq, p.pendingCleared[len(call.report.GetCleared()):]
	p.sentStreamSeq = call.streamSeq
	c.mergeVersions(time.Now(), reply.GetVersions())
	if history := DecodeHistory(reply.GetHistory(), c.workspaceNames); len(history) > 0 {
		c.allotments.MergeWindows(time.Now(), history)
	}
	if p.sentTotals == nil {
		p.sentTotals = map[uint64]float64{}
	}
	maps.Copy(p.sentTotals, DecodeUses(call.report.GetUses()))
	p.ackedTotals = maps.Clone(p.sentTotals)
	if p.sentPlacements == nil {
		p.sentPlacements = map[string]uint64{}
	}
	for _, l := range call.report.GetPlacements() {
		p.sentPlacements[l.GetEndpoint()] = l.GetPlaced()
	}
}

// HandlePeer answers MethodPeer: it applies the report of another coordinator.
func (c *Coordinator) HandlePeer(payload []byte) ([]byte, error) {
	r := &coordinatorpb.PeerReport{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := DecodeUses(r.GetUses())
	c.tally.ApplyReport(now, "coordinator/"+r.GetHost(), ratelimiter.Report{
		Process: r.GetProcess(), Age: peerUsageTTL, Totals: totals, Hosts: int(r.GetUses().GetHosts()), Peer: true,
	})
	known := c.peerUses[r.GetHost()]
	if known == nil || known.processID != r.GetProcess() {
		known = &peerUse{processID: r.GetProcess(), used: map[string]float64{}, placements: map[string]uint64{}}
		c.peerUses[r.GetHost()] = known
		if p := c.peers[r.GetHost()]; p != nil {
			// A restarted process needs the full state.
			c.peers[r.GetHost()] = &peer{reachedAt: p.reachedAt, roundTrip: p.roundTrip}
		}
	}
	for workspace, units := range totals {
		if name, ok := c.workspaceNames[workspace]; ok {
			known.used[name] = units
		}
	}
	source := r.GetHost() + "/" + strconv.FormatUint(r.GetProcess(), 36)
	c.allotments.ApplyReport(now, source, time.Duration(r.GetAgeMs())*time.Millisecond, known.used)
	for _, s := range r.GetSummaries() {
		c.mergeSummary(now, r.GetHost(), s)
	}
	c.mergeOutcomes(r.GetHost(), r.GetOutcomes())
	c.recordCrashes(now, r.GetCrashes())
	c.recordEvidence(now, r.GetEvidence())
	c.recordCleared(r.GetCleared())
	c.recordStreams(now, r.GetStreams(), true)
	c.mergeVersions(now, r.GetVersions())
	c.chargePlacements(now, known.placements, r.GetPlacements())
	reply := &coordinatorpb.PeerReply{}
	if r.GetYoung() && now.Sub(c.allotmentsKnownSince) > historyMaxAge {
		reply.History = &coordinatorpb.Uses{}
		c.addHistory(now, reply.History)
	}
	if r.GetYoung() {
		reply.Versions = c.encodeVersions(now)
	}
	return proto.Marshal(reply)
}

func shardOf(s *coordinatorpb.Shard) sharder.Shard {
	return sharder.Shard{Pool: s.GetPool(), Zone: s.GetZone()}
}

// EncodeUses returns the message form of unit totals by workspace digest, added up over a number of hosts.
func EncodeUses(totals map[uint64]float64, hosts int) *coordinatorpb.Uses {
	u := &coordinatorpb.Uses{Hosts: uint32(hosts)}
	for workspace, units := range totals {
		u.Workspace = append(u.Workspace, workspace)
		u.Units = append(u.Units, uint64(max(units, 0)))
	}
	return u
}

// DecodeUses returns the unit totals of a message by workspace digest.
func DecodeUses(u *coordinatorpb.Uses) map[uint64]float64 {
	out := make(map[uint64]float64, len(u.GetWorkspace()))
	for i, workspace := range u.GetWorkspace() {
		if i < len(u.GetUnits()) {
			out[workspace] = float64(u.GetUnits()[i])
		}
	}
	return out
}

// ChangedTotals returns the totals in now that differ from those in before, or all of them if before is nil.
func ChangedTotals(before, now map[uint64]float64) map[uint64]float64 {
	if before == nil {
		return now
	}
	out := map[uint64]float64{}
	for workspace, units := range now {
		if sent, ok := before[workspace]; !ok || sent != units {
			out[workspace] = units
		}
	}
	return out
}

// addHistory adds the usage windows of all workspaces to a message.
func (c *Coordinator) addHistory(now time.Time, u *coordinatorpb.Uses) {
	for workspace, parts := range c.tally.History(now) {
		AppendWindow(u, workspace, parts)
	}
}

// AppendWindow adds the usage window of a workspace to a message. All windows of a message have the same number of parts.
func AppendWindow(u *coordinatorpb.Uses, workspace uint64, parts []float64) {
	u.HistoryWorkspace = append(u.HistoryWorkspace, workspace)
	u.HistoryParts = uint32(len(parts))
	for _, units := range parts {
		u.HistoryUnits = append(u.HistoryUnits, uint64(max(units, 0)))
	}
}

// DecodeHistory returns the usage windows of a message by workspace name; names maps digests to names.
func DecodeHistory(in *coordinatorpb.Uses, names map[uint64]string) map[string][]float64 {
	parts := int(in.GetHistoryParts())
	out := map[string][]float64{}
	for i, d := range in.GetHistoryWorkspace() {
		name, known := names[d]
		if !known || parts <= 0 || (i+1)*parts > len(in.GetHistoryUnits()) {
			continue
		}
		units := make([]float64, parts)
		for j := range units {
			units[j] = float64(in.GetHistoryUnits()[i*parts+j])
		}
		out[name] = units
	}
	return out
}

// sendOthersUsage sends each host the usage of the other hosts.
func (c *Coordinator) sendOthersUsage(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, all := c.tally.Hosts(now, peerUsageTTL)
	for host, s := range c.sessions {
		version := c.tally.Version()
		if !s.usageReceived || version == s.othersVersion && now.Sub(s.othersSentAt) < othersUsageInterval {
			continue
		}
		s.othersSentAt, s.othersVersion = now, version
		sums := c.tally.TotalsExcept(host)
		u := EncodeUses(ChangedTotals(s.othersSent, sums), all-1)
		s.othersSent = sums
		if s.hostAge+now.Sub(s.startedAt) < historyMaxAge {
			c.addHistory(now, u)
		}
		s.enqueue(func(o *coordinatorpb.Orders) { o.Others, o.OthersId = u, s.id })
	}
}
