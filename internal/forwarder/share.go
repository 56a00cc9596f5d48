package forwarder

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/gossiper/gossiperpb"
)

const (
	// pacesEvery is the number of datagrams between two that carry learned paces, which change over seconds.
	pacesEvery = 20
	// usesInterval is the time between two datagrams that carry the use of allotments, well below the window of an allotment.
	usesInterval = 90 * time.Millisecond
	// unreadUnit and memoryUnit are the numbers of tokens in a unit of a datagram.
	unreadUnit = 100
	memoryUnit = 1000
)

// busyShare is the part of the places of a pool above which every free place counts.
const busyShare = 0.6

// busy reports whether the places of some pool of engines are scarce.
func (h *Host) busy() bool {
	scarce := false
	h.admitter.View(func(b *balancer.Balancer) { scarce = b.Busiest() > busyShare })
	return scarce
}

// digest names an endpoint or workspace in datagrams. Two names of one installation with the same digest would add up their
// loads, which makes a choice worse and breaks nothing.
func digest(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func units(n, unit int) uint32 { return uint32((max(n, 0) + unit - 1) / unit) }

// state is what this host tells its peers.
func (h *Host) state() *gossiperpb.State {
	h.told++
	s := &gossiperpb.State{Loads: &gossiperpb.Loads{}}
	h.admitter.View(func(b *balancer.Balancer) {
		for id, l := range b.Loads() {
			if l.Running > 0 {
				s.Loads.Endpoint = append(s.Loads.Endpoint, digest(id))
				s.Loads.Running = append(s.Loads.Running, uint32(l.Running))
				s.Loads.Unread = append(s.Loads.Unread, units(l.Unread, unreadUnit))
				s.Loads.Memory = append(s.Loads.Memory, units(l.Memory, memoryUnit))
			}
			if l.Pace > 0 && h.told%pacesEvery == 0 {
				s.Loads.PacedEndpoint = append(s.Loads.PacedEndpoint, digest(id))
				s.Loads.PaceUs = append(s.Loads.PaceUs, uint32(l.Pace*1000))
			}
		}
	})
	if now := time.Now(); now.Sub(h.usesAt) >= usesInterval {
		h.usesAt = now
		s.Uses = &gossiperpb.Uses{}
		for workspace, n := range h.gateway.Used() {
			s.Uses.Workspace = append(s.Uses.Workspace, digest(workspace))
			s.Uses.Units = append(s.Uses.Units, uint64(n))
		}
		for workspace, parts := range h.gateway.UseHistory() {
			s.Uses.HistoryWorkspace = append(s.Uses.HistoryWorkspace, digest(workspace))
			s.Uses.HistoryParts = uint32(len(parts))
			for _, units := range parts {
				s.Uses.HistoryUnits = append(s.Uses.HistoryUnits, uint64(max(units, 0)))
			}
		}
		for _, c := range h.gateway.Crashes() {
			s.Uses.CrashRequest = append(s.Uses.CrashRequest, c.Fingerprint)
			s.Uses.CrashEndpoint = append(s.Uses.CrashEndpoint, c.Endpoint)
		}
	}
	return s
}

// heard takes the state of a peer.
func (h *Host) heard(s *gossiperpb.State) {
	now := time.Now()
	h.admitter.Update(func(b *balancer.Balancer) {
		names := map[uint32]string{}
		for _, e := range b.Endpoints() {
			names[digest(e.ID)] = e.ID
		}
		b.SetPeer(now, s.GetHost(), loadsOf(s.GetLoads(), names))
		for i, d := range s.GetLoads().GetPacedEndpoint() {
			if i < len(s.GetLoads().GetPaceUs()) {
				b.SetPeerPace(s.GetHost(), names[d], float64(s.GetLoads().GetPaceUs()[i])/1000)
			}
		}
	})
	if s.GetUses() == nil {
		return
	}
	h.gateway.HeardCrashes(crashesOf(s.GetUses()))
	names := map[uint32]string{}
	if index := h.index.Load(); index != nil {
		for _, w := range index.Table().Workspaces {
			names[digest(w.Name)] = w.Name
		}
	}
	used := map[string]float64{}
	for i, d := range s.GetUses().GetWorkspace() {
		if name, known := names[d]; known && i < len(s.GetUses().GetUnits()) {
			used[name] = float64(s.GetUses().GetUnits()[i])
		}
	}
	process := s.GetHost() + "/" + strconv.FormatUint(s.GetProcess(), 36)
	h.gateway.HeardUse(process, time.Duration(s.GetAgeMs())*time.Millisecond, used)
	if history := historyOf(s.GetUses(), names); len(history) > 0 {
		h.gateway.LearnUse(history)
	}
}

// historyOf decodes the windows of workspaces.
func historyOf(in *gossiperpb.Uses, names map[uint32]string) map[string][]float64 {
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

// loadsOf decodes loads. Endpoints that this host does not know yet are left out; they come with its next list.
func loadsOf(in *gossiperpb.Loads, names map[uint32]string) map[string]balancer.Load {
	out := make(map[string]balancer.Load, len(in.GetEndpoint()))
	n := min(len(in.GetEndpoint()), len(in.GetRunning()), len(in.GetUnread()), len(in.GetMemory()))
	for i := range n {
		if name, known := names[in.GetEndpoint()[i]]; known {
			out[name] = balancer.Load{
				Running: int(in.GetRunning()[i]), Unread: int(in.GetUnread()[i]) * unreadUnit, Memory: int(in.GetMemory()[i]) * memoryUnit,
			}
		}
	}
	return out
}

func crashesOf(in *gossiperpb.Uses) []gateway.Crash {
	out := make([]gateway.Crash, min(len(in.GetCrashRequest()), len(in.GetCrashEndpoint())))
	for i := range out {
		out[i] = gateway.Crash{Fingerprint: in.GetCrashRequest()[i], Endpoint: in.GetCrashEndpoint()[i]}
	}
	return out
}
