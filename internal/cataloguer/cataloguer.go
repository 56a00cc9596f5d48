// Package cataloguer polls the platform's list of endpoints.
package cataloguer

import (
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// DefaultInterval is the maximum time between the starts of two reads. Two intervals plus the lag of the list are shorter
	// than the time in which a leaving endpoint must receive its last request.
	DefaultInterval = time.Second
	// jitterShare is the maximum share of the interval by which a read is advanced, so that hosts that started together do not
	// read at the same time.
	jitterShare = 0.2
	// initialInterval is the maximum wait between two reads until the first list has been read.
	initialInterval = 25 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 900 * time.Millisecond
	// maxSlots is the largest number of slots, and maxNameBytes the largest total length of the names, of an entry that is used.
	maxSlots     = 1 << 16
	maxNameBytes = 1 << 10
)

var countReadings = expvar.NewMap("cataloguer_readings")

// Entry is an endpoint as the platform lists it.
type Entry struct {
	ID      string
	Pool    string
	Addr    string
	Zone    string
	Slots   int
	Leaving bool
	// Version is the version of the endpoint's software; empty if the list states none.
	Version string
}

// EntryError reports an entry that names no endpoint to use.
type EntryError struct{ ID, Field, Reason string }

// Error implements error.
func (e *EntryError) Error() string { return "list entry: " + e.Field + " " + e.Reason }

// Validate returns an *EntryError for an entry that names no endpoint to use.
func (e Entry) Validate() error {
	addr, err := netip.ParseAddrPort(e.Addr)
	field, reason := "", ""
	switch {
	case e.ID == "" || e.Pool == "" || e.Zone == "":
		field, reason = "name", "is missing"
	case len(e.ID)+len(e.Pool)+len(e.Zone)+len(e.Version) > maxNameBytes:
		field, reason = "name", "is too long"
	case err != nil:
		field, reason = "address", "is invalid: "+err.Error()
	case addr.Port() == 0:
		field, reason = "port", "is 0"
	case e.Slots <= 0 || e.Slots > maxSlots:
		field, reason = "slots", "are out of range"
	default:
		return nil
	}
	return &EntryError{ID: e.ID, Field: field, Reason: reason}
}

// Source reads the complete list of endpoints.
type Source interface {
	Read(ctx context.Context) ([]Entry, error)
}

// Cataloguer reads the list periodically. Set the exported fields before Run.
type Cataloguer struct {
	Source Source
	// Interval is the maximum time between the starts of two reads; 0 means DefaultInterval.
	Interval time.Duration
	// OnChange is called with each list that differs from the previous one. OnRead, if set, is called after each successful read,
	// once OnChange has returned.
	OnChange func([]Entry)
	OnRead   func()

	mu             sync.Mutex
	list           map[string]Entry
	readAt         time.Time
	lastReadFailed bool
}

// Run reads the list periodically until ctx ends.
func (c *Cataloguer) Run(ctx context.Context) error {
	interval := c.Interval
	if interval <= 0 {
		interval = DefaultInterval
	}
	for ctx.Err() == nil {
		started := time.Now()
		c.read(ctx)
		wait := time.Duration(float64(interval)*(1-jitterShare*rand.Float64())) - time.Since(started)
		if !c.HasList() {
			wait = min(wait, initialInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(wait, interval/10)):
		}
	}
	return nil
}

// HasList reports whether a list has been read.
func (c *Cataloguer) HasList() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readAt.IsZero()
}

func (c *Cataloguer) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, err := c.Source.Read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		countReadings.Add("failed", 1)
		if !c.lastReadFailed {
			klog.InfoS("cataloguer: list unavailable", "reason", err, "endpoints", len(c.list), "age", time.Since(c.readAt))
		}
		c.lastReadFailed = true
		return
	}
	countReadings.Add("read", 1)
	if c.lastReadFailed {
		klog.InfoS("cataloguer: list available again", "endpoints", len(entries))
	}
	c.lastReadFailed = false
	first := c.readAt.IsZero()
	c.readAt = time.Now()
	next := make(map[string]Entry, len(entries))
	for _, e := range entries {
		next[e.ID] = e
	}
	if !maps.Equal(next, c.list) || first {
		c.logChanges(next)
		c.list = next
		c.OnChange(entries)
	}
	if c.OnRead != nil {
		c.OnRead()
	}
}

func (c *Cataloguer) logChanges(next map[string]Entry) {
	for _, id := range slices.Sorted(maps.Keys(next)) {
		e := next[id]
		if previous, known := c.list[id]; !known || previous != e {
			klog.InfoS("cataloguer: endpoint listed", "endpoint", id, "pool", e.Pool, "addr", e.Addr, "zone", e.Zone, "slots", e.Slots,
				"leaving", e.Leaving, "version", e.Version, "known", known)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.list)) {
		if _, listed := next[id]; !listed {
			klog.InfoS("cataloguer: endpoint gone", "endpoint", id, "pool", c.list[id].Pool)
		}
	}
}
