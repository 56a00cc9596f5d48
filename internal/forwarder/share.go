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
	// wholeEvery is the number of datagrams between two with all loads, which mend what a lost one has left out.
	wholeEvery = 10
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

// state is what this host tells its peers, or nil if there is nothing new.
func (h *Host) state() *gossiperpb.State {
	h.told++
	var loads map[string]balancer.Load
	h.admitter.View(func(b *balancer.Balancer) { loads = b.Loads() })
	s := &gossiperpb.State{Loads: h.toldLoads(loads, h.told%wholeEvery == 1)}
	if h.told%pacesEvery == 1 {
		for id, l := range loads {
			if l.Pace > 0 {
				s.Loads.PacedEndpoint = append(s.Loads.PacedEndpoint, digest(id))
				s.Loads.PaceUs = append(s.Loads.PaceUs, uint32(l.Pace*1000))
			}
		}
	}
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
	if s.Uses == nil && !s.Loads.Whole && len(s.Loads.Endpoint) == 0 {
		return nil
	}
	return s
}

// load is a load as a datagram tells it.
type load struct{ running, unread, memory uint32 }

// toldLoads encodes the loads, or those that have changed since they were told last.
func (h *Host) toldLoads(loads map[string]balancer.Load, whole bool) *gossiperpb.Loads {
	out := &gossiperpb.Loads{Whole: whole}
	next := make(map[string]load, len(loads))
	add := func(id string, l load) {
		out.Endpoint = append(out.Endpoint, digest(id))
		out.Running = append(out.Running, l.running)
		out.Unread = append(out.Unread, l.unread)
		out.Memory = append(out.Memory, l.memory)
	}
	for id, l := range loads {
		if l.Running <= 0 {
			continue
		}
		next[id] = load{running: uint32(l.Running), unread: units(l.Unread, unreadUnit), memory: units(l.Memory, memoryUnit)}
		if whole || h.toldLast[id] != next[id] {
			add(id, next[id])
		}
	}
	for id := range h.toldLast {
		if _, left := next[id]; !left && !whole {
			add(id, load{})
		}
	}
	h.toldLast = next
	return out
}

// heard takes the state of a peer.
func (h *Host) heard(s *gossiperpb.State) {
	now := time.Now()
	var endpoints map[uint32]string
	if known := h.endpointNames.Load(); known != nil {
		endpoints = *known
	}
	loads, paces := loadsOf(s.GetLoads(), endpoints), pacesOf(s.GetLoads(), endpoints)
	h.admitter.Update(func(b *balancer.Balancer) {
		b.SetPeer(now, s.GetHost(), loads, s.GetLoads().GetWhole())
		b.SetPeerPaces(s.GetHost(), paces)
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

// pacesOf decodes learned paces, in milliseconds between two events.
func pacesOf(in *gossiperpb.Loads, names map[uint32]string) map[string]float64 {
	out := make(map[string]float64, len(in.GetPacedEndpoint()))
	for i, d := range in.GetPacedEndpoint() {
		if name, known := names[d]; known && i < len(in.GetPaceUs()) {
			out[name] = float64(in.GetPaceUs()[i]) / 1000
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
