package coordinator

import (
	"context"
	"maps"
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

// peer is what this coordinator knows of another one.
type peer struct {
	busy      bool
	reachedAt time.Time
	// told are the totals that it has taken last, and crashesAt is when the newest crash was seen that it was told.
	told      map[uint64]float64
	crashesAt time.Time
}

// peerReport is what another coordinator is told at this moment, or nil if that can wait.
func (c *Coordinator) peerReport(now time.Time, id string) *coordinatorpb.PeerReport {
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
	r := &coordinatorpb.PeerReport{Host: c.HostID, Process: c.process, Uses: EncodeUses(Changed(p.told, c.tally.Own()), own)}
	for key, at := range c.crashed {
		if at.After(p.crashesAt) {
			r.Crashes = append(r.Crashes, &coordinatorpb.Crash{Request: key.request, Endpoint: key.endpoint})
		}
	}
	for key, s := range c.shards {
		if key.Zone == "" || now.Sub(s.askedAt) > summarizedFor {
			continue
		}
		free, waiting := s.admitter.Room(now, key.Pool)
		r.Summaries = append(r.Summaries, &coordinatorpb.Summary{
			Shard: &coordinatorpb.Shard{Pool: key.Pool, Zone: key.Zone}, Free: uint32(max(free, 0)), Queue: uint32(waiting),
		})
	}
	if len(r.GetUses().GetUnits())+len(r.GetCrashes())+len(r.GetSummaries()) == 0 && now.Sub(p.reachedAt) < quietInterval {
		return nil
	}
	p.busy = true
	return r
}

func (c *Coordinator) tellPeer(ctx context.Context, h sharder.Host, r *coordinatorpb.PeerReport) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := time.Now()
	err := c.Network.Call(ctx, h.Addr, MethodPeer, r, &coordinatorpb.PeerReply{})
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[h.ID]
	p.busy = false
	if err != nil {
		// It may have started again, and then needs to hear all.
		p.told = nil
		klog.V(1).Infof("coordinator: no answer peer=%s reason=%q", h.ID, err)
		return
	}
	p.reachedAt, p.crashesAt = time.Now(), asked
	if p.told == nil {
		p.told = map[uint64]float64{}
	}
	maps.Copy(p.told, DecodeUses(r.GetUses()))
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
	c.tally.Heard(now, "coordinator/"+r.GetHost(), allotter.Report{
		Process: r.GetProcess(), Age: useFor, Totals: DecodeUses(r.GetUses()), Hosts: int(r.GetUses().GetHosts()), Peer: true,
	})
	for _, s := range r.GetSummaries() {
		c.summaries[shardOf(s.GetShard())] = summary{free: int(s.GetFree()), queue: int(s.GetQueue()), at: now}
	}
	c.crashSeen(now, r.GetCrashes())
	return proto.Marshal(&coordinatorpb.PeerReply{})
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
			history := c.tally.History(now)
			for workspace, parts := range history {
				u.HistoryWorkspace = append(u.HistoryWorkspace, workspace)
				u.HistoryParts = uint32(len(parts))
				for _, units := range parts {
					u.HistoryUnits = append(u.HistoryUnits, uint64(max(units, 0)))
				}
			}
		}
		s.order(func(o *coordinatorpb.Orders) { o.Others, o.OthersId = u, s.id })
	}
}
