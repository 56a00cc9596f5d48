package gateway

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
)

// maxReportBytes bounds the report of an endpoint that is read.
const maxReportBytes = 1 << 20

// SelfReport describes how model engines report their start. The zero value means that they do not.
type SelfReport struct {
	// Path is the path of the report.
	Path string
	// DecodeStart returns the time at which the endpoint's process has started. It returns false if the report does not state it.
	DecodeStart func(body []byte) (time.Time, bool)
}

// restarted reports whether an endpoint that accepts connections runs in another process than it did at a time. It may have restarted
// before a connection attempt could fail.
func (g *Gateway) restarted(ctx context.Context, e balancer.Endpoint, since time.Time) bool {
	if !g.reportsStart(e.Pool) {
		return false
	}
	start, known := g.readStart(ctx, e)
	if !known {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	before, seen := g.startTimes[e.ID]
	g.startTimes[e.ID] = start
	// The clock of the endpoint may differ from that of this host, so an earlier report counts more.
	return seen && !start.Equal(before) || !seen && start.After(since)
}

// reportsStart reports whether the endpoints of a pool report their start.
func (g *Gateway) reportsStart(pool string) bool {
	if g.SelfReport.Path == "" {
		return false
	}
	index, _ := g.Table()
	if index == nil {
		return false
	}
	p := index.Pool(pool)
	return p != nil && p.Engine != nil
}

// readStart asks an endpoint when its process started.
func (g *Gateway) readStart(ctx context.Context, e balancer.Endpoint) (time.Time, bool) {
	response, err := g.Client.Do(ctx, e.Addr, &exchanger.Request{Method: http.MethodGet, URI: g.SelfReport.Path, Host: e.Addr, Header: http.Header{}})
	if err != nil {
		klog.V(1).InfoS("gateway: report not read", "endpoint", e.ID, "reason", err)
		return time.Time{}, false
	}
	defer response.Close()
	var body bytes.Buffer
	if err := copyBody(&body, response, maxReportBytes); err != nil || response.Status != http.StatusOK {
		return time.Time{}, false
	}
	return g.SelfReport.DecodeStart(body.Bytes())
}
