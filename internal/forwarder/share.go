package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/asker"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/crashwatcher"
	"github.com/dragonflycroft/dragonflycroft/internal/gateway"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// others names the other hosts together in the allotments.
	others = "others"
	// othersAge is the age that they are taken to have: what they used before this host started lies in the past.
	othersAge = time.Hour
)

// network lets the parts of a host exchange messages by its transport.
type network struct{ *transporter.Transport }

// Open implements asker.Network.
func (n network) Open(ctx context.Context, addr, method string) (asker.Stream, error) {
	return n.Transport.Open(ctx, addr, method)
}

// shared is what this host has told and heard of the use of allotments.
type shared struct {
	mu   sync.Mutex
	told map[uint64]float64
	// sums is the id of the sums that were heard last, last their value, and total what they have grown by since the start of
	// this host. One coordinator's sums begin anew where those of another one ended.
	sums  uint64
	last  map[uint64]float64
	total map[string]float64
}

// tell adds the use of allotments and the crashes seen to a report, all or what is new. It returns false if there is nothing.
func (h *Host) tell(r *coordinatorpb.Report, all bool) bool {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	totals := map[uint64]float64{}
	for workspace, units := range h.gateway.Used() {
		totals[coordinator.Digest(workspace)] = units
	}
	if all {
		h.shared.told = nil
	}
	changed := coordinator.Changed(h.shared.told, totals)
	h.shared.told = totals
	news := all || len(changed) > 0
	if news {
		r.Uses = coordinator.EncodeUses(changed, 1)
	}
	crashes := h.gateway.CrashNews(all)
	r.Crashes, r.Cleared = coordinator.EncodeCrashes(time.Now(), crashes.Crashes), crashes.Cleared
	news = news || len(crashes.Crashes)+len(crashes.Cleared) > 0
	return news
}

// windows returns the windows of allotments as this host knows them.
func (h *Host) windows() *coordinatorpb.Uses {
	u := &coordinatorpb.Uses{}
	for workspace, parts := range h.gateway.UseWindows() {
		coordinator.AddWindow(u, coordinator.Digest(workspace), parts)
	}
	return u
}

// heard takes what other hosts have used and seen.
func (h *Host) heard(o *coordinatorpb.Orders) {
	h.gateway.HeardCrashes(crashwatcher.News{
		Crashes: coordinator.DecodeCrashes(time.Now(), o.GetCrashes()), Cleared: o.GetCleared(),
	})
	index := h.index.Load()
	if o.GetOthers() == nil || index == nil {
		return
	}
	names := map[uint64]string{}
	for _, w := range index.Table().Workspaces {
		names[coordinator.Digest(w.Name)] = w.Name
	}
	sums := coordinator.DecodeUses(o.GetOthers())
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	afresh := o.GetOthersId() != h.shared.sums
	h.gateway.HeardUse(others, othersAge, h.shared.grow(o.GetOthersId(), sums, names), int(o.GetOthers().GetHosts()), afresh)
	if history := coordinator.DecodeHistory(o.GetOthers(), names); len(history) > 0 {
		h.gateway.LearnUse(history)
	}
}

// grow returns the totals of the others since the start of this host.
func (s *shared) grow(id uint64, sums map[uint64]float64, names map[uint64]string) map[string]float64 {
	if s.total == nil {
		s.total = map[string]float64{}
	}
	if id != s.sums || s.last == nil {
		s.sums, s.last = id, map[uint64]float64{}
	} else {
		for workspace, units := range sums {
			s.total[names[workspace]] += max(0, units-s.last[workspace])
		}
	}
	maps.Copy(s.last, sums)
	return s.total
}

// notice tells the coordinators what an endpoint has said of itself.
func (h *Host) notice(n gateway.Notice) {
	if n.Speed > 0 {
		h.asker.Stated(n.Endpoint, n.Speed)
		return
	}
	h.asker.Notice(n.Endpoint, n.Leaving, n.Returned, n.Hold)
}
