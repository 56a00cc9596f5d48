package acquirer

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// ReportStatus reports to the coordinators that an endpoint has announced that it leaves, that it has returned, or that it
// accepts nothing from this host for the time hold.
func (a *Acquirer) ReportStatus(endpoint string, leaving, returned bool, hold time.Duration) {
	a.reportNotice(&coordinatorpb.Notice{
		Endpoint: coordinator.Digest(endpoint), Leaving: leaving, Returned: returned, HoldMs: uint32(hold.Milliseconds()),
	})
}

// ReportBrittle reports to the coordinators that an endpoint fails if it must reject many requests.
func (a *Acquirer) ReportBrittle(endpoint string) {
	a.reportNotice(&coordinatorpb.Notice{Endpoint: coordinator.Digest(endpoint), Brittle: true})
}

func (a *Acquirer) reportNotice(n *coordinatorpb.Notice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.connected {
			l.reportLocked(func(p *coordinatorpb.Report) { p.Notices = append(p.Notices, n) })
		}
	}
}

// ReportLimit reports to the coordinators the number of requests per second that an endpoint takes from all hosts together; 0 means
// that it states no limit any more.
func (a *Acquirer) ReportLimit(endpoint string, perSecond float64) {
	limit := &coordinatorpb.EndpointLimit{Endpoint: endpoint, PerS: perSecond}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.connected {
			l.reportLocked(func(p *coordinatorpb.Report) { p.Limits = append(p.Limits, limit) })
		}
	}
}

// ReportSpeed reports to the coordinators how long work takes at an endpoint, in percent of the usual time. It is sent with the
// next report.
func (a *Acquirer) ReportSpeed(endpoint string, percent float64) {
	p := &coordinatorpb.Stated{Endpoint: coordinator.Digest(endpoint), Percent: uint32(percent)}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		if l.connected {
			if l.pending == nil {
				l.pending = &coordinatorpb.Report{}
			}
			l.pending.Stated = append(l.pending.Stated, p)
		}
	}
}
