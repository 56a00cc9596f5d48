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

	"github.com/dragonflycroft/dragonflycroft/internal/allotter"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

// summarizedFor is the time without asks after which a shard is no longer told to others.
const summarizedFor = time.Second

// heardUse is what another coordinator has told of the use of allotments.
type heardUse struct {
	process uint64
	used    map[string]float64
}

// peer is what this coordinator knows of another one.
type peer struct {
	busy      bool
	reachedAt time.Time
	// told are the totals that it has taken last, and crashesTold is the number of the last crash that it was told.
	told        map[uint64]float64
	crashesTold uint64
	// cleared are the requests that were cleared and that it has not been told of.
	cleared []uint64
}

// peerCall is one report to another coordinator. Its peer is another value once a new process of that host has been heard.
type peerCall struct {
	peer   *peer
	report *coordinatorpb.PeerReport
	// crashSeq is the number of the last crash that is known.
	crashSeq uint64
}

// peerReport is what another coordinator is told at this moment, or nil if that can wait.
func (c *Coordinator) peerReport(now time.Time, id string) *peerCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[id]
	if p == nil {
		p = &peer{}
		c.peers[id] = p
	}
	if p.busy {
		return nil
	}
	own, _ := c.tally.Hosts(now, useFor)
	r := &coordinatorpb.PeerReport{Host: c.HostID, Process: c.process, AgeMs: uint64(now.Sub(c.started).Milliseconds()), Young: now.Sub(c.knowsSince) < historyFor, Uses: EncodeUses(Changed(p.told, c.tally.Own()), own)}
	crashes, last := c.crashes.Since(p.crashesTold)
	r.Crashes, r.Cleared = EncodeCrashes(now, crashes), slices.Clone(p.cleared)
	for key, s := range c.shards {
		if key.Zone == "" || now.Sub(s.askedAt) > summarizedFor {
			continue
		}
		free, waiting := s.admitter.Room(now, key.Pool)
		r.Summaries = append(r.Summaries, &coordinatorpb.Summary{
			Shard: &coordinatorpb.Shard{Pool: key.Pool, Zone: key.Zone}, Free: uint32(max(free, 0)), Queue: uint32(waiting),
		})
	}
	if len(r.GetUses().GetUnits())+len(r.GetCrashes())+len(r.GetCleared())+len(r.GetSummaries()) == 0 && now.Sub(p.reachedAt) < quietInterval {
		return nil
	}
	p.busy = true
	return &peerCall{peer: p, report: r, crashSeq: last}
}

func (c *Coordinator) tellPeer(ctx context.Context, h sharder.Host, call *peerCall) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := &coordinatorpb.PeerReply{}
	err := c.Network.Call(ctx, h.Addr, MethodPeer, call.report, reply)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := call.peer
	p.busy = false
	if err != nil {
		// It may have started again, and then needs to hear all.
		p.told, p.crashesTold = nil, 0
		klog.V(1).Infof("coordinator: no answer peer=%s reason=%q", h.ID, err)
		return
	}
	p.reachedAt, p.crashesTold, p.cleared = time.Now(), call.crashSeq, p.cleared[len(call.report.GetCleared()):]
	if history := DecodeHistory(reply.GetHistory(), c.workspaces); len(history) > 0 {
		c.allots.Learn(time.Now(), history)
	}
	if p.told == nil {
		p.told = map[uint64]float64{}
	}
	maps.Copy(p.told, DecodeUses(call.report.GetUses()))
}

// HandlePeer takes the report of another coordinator.
func (c *Coordinator) HandlePeer(payload []byte) ([]byte, error) {
	r := &coordinatorpb.PeerReport{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := DecodeUses(r.GetUses())
	c.tally.Heard(now, "coordinator/"+r.GetHost(), allotter.Report{
		Process: r.GetProcess(), Age: useFor, Totals: totals, Hosts: int(r.GetUses().GetHosts()), Peer: true,
	})
	known := c.heard[r.GetHost()]
	if known == nil || known.process != r.GetProcess() {
		known = &heardUse{process: r.GetProcess(), used: map[string]float64{}}
		c.heard[r.GetHost()] = known
		if p := c.peers[r.GetHost()]; p != nil {
			// A process that has started again needs to hear all.
			c.peers[r.GetHost()] = &peer{reachedAt: p.reachedAt}
		}
	}
	for workspace, units := range totals {
		if name, ok := c.workspaces[workspace]; ok {
			known.used[name] = units
		}
	}
	source := r.GetHost() + "/" + strconv.FormatUint(r.GetProcess(), 36)
	c.allots.Heard(now, source, time.Duration(r.GetAgeMs())*time.Millisecond, known.used)
	for _, s := range r.GetSummaries() {
		c.summaries[shardOf(s.GetShard())] = summary{free: int(s.GetFree()), queue: int(s.GetQueue()), at: now}
	}
	c.crashSeen(now, r.GetCrashes())
	c.clearSeen(r.GetCleared())
	reply := &coordinatorpb.PeerReply{}
	if r.GetYoung() && now.Sub(c.knowsSince) > historyFor {
		reply.History = &coordinatorpb.Uses{}
		c.addHistory(now, reply.History)
	}
	return proto.Marshal(reply)
}

func shardOf(s *coordinatorpb.Shard) sharder.Shard {
	return sharder.Shard{Pool: s.GetPool(), Zone: s.GetZone()}
}

// EncodeUses returns the message form of totals.
func EncodeUses(totals map[uint64]float64, hosts int) *coordinatorpb.Uses {
	u := &coordinatorpb.Uses{Hosts: uint32(hosts)}
	for workspace, units := range totals {
		u.Workspace = append(u.Workspace, workspace)
		u.Units = append(u.Units, uint64(max(units, 0)))
	}
	return u
}

// DecodeUses returns the totals of a message.
func DecodeUses(u *coordinatorpb.Uses) map[uint64]float64 {
	out := make(map[uint64]float64, len(u.GetWorkspace()))
	for i, workspace := range u.GetWorkspace() {
		if i < len(u.GetUnits()) {
			out[workspace] = float64(u.GetUnits()[i])
		}
	}
	return out
}

// Changed returns the totals that differ from those told before; all if none were.
func Changed(before, now map[uint64]float64) map[uint64]float64 {
	if before == nil {
		return now
	}
	out := map[uint64]float64{}
	for workspace, units := range now {
		if known, told := before[workspace]; !told || known != units {
			out[workspace] = units
		}
	}
	return out
}

// addHistory adds the windows of workspaces to a message.
func (c *Coordinator) addHistory(now time.Time, u *coordinatorpb.Uses) {
	for workspace, parts := range c.tally.History(now) {
		AddWindow(u, workspace, parts)
	}
}

// AddWindow adds the window of a workspace to a message. All windows of a message have the same number of parts.
func AddWindow(u *coordinatorpb.Uses, workspace uint64, parts []float64) {
	u.HistoryWorkspace = append(u.HistoryWorkspace, workspace)
	u.HistoryParts = uint32(len(parts))
	for _, units := range parts {
		u.HistoryUnits = append(u.HistoryUnits, uint64(max(units, 0)))
	}
}

// DecodeHistory returns the windows of a message by the names of workspaces.
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

// tellOthers tells each host what the other hosts have used.
func (c *Coordinator) tellOthers(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, all := c.tally.Hosts(now, useFor)
	for host, s := range c.sessions {
		version := c.tally.Version()
		if !s.usesTold || version == s.told && now.Sub(s.toldAt) < othersInterval {
			continue
		}
		s.toldAt, s.told = now, version
		sums := c.tally.Others(host)
		u := EncodeUses(Changed(s.sums, sums), all-1)
		s.sums = sums
		if s.age+now.Sub(s.since) < historyFor {
			c.addHistory(now, u)
		}
		s.order(func(o *coordinatorpb.Orders) { o.Others, o.OthersId = u, s.id })
	}
}
