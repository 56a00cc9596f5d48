package coordinator

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/registrar"
)

const (
	// maxStreamsPerReport is the largest number of origins in one report to another coordinator.
	maxStreamsPerReport = 4096
	// versionsInterval is the longest time between two reports of the history of versions to another coordinator.
	versionsInterval = 2 * time.Second
	// maxSoleListAge is the age of the endpoint list up to which it shows that a pool has no other version. It covers the interval
	// between two reads and the time in which a list is relayed.
	maxSoleListAge = 2500 * time.Millisecond
	// historyWriteInterval is the longest time between two writes of the history file, and minHistoryWriteInterval the shortest.
	historyWriteInterval    = 10 * time.Second
	minHistoryWriteInterval = 200 * time.Millisecond
)

// historyFile is the state of the file with the history of versions. Fields but pending are guarded by c.mu.
type historyFile struct {
	pending   chan []byte
	changes   uint64
	writtenAt time.Time
}

// recordStreams records the origins of streams. Those that other coordinators have reported are learnt: they are not passed on. The
// caller holds c.mu.
func (c *Coordinator) recordStreams(now time.Time, groups []*coordinatorpb.StreamOrigins, learnt bool) {
	for _, r := range DecodeStreams(groups) {
		r.Learnt = learnt
		c.origins.Add(now, r)
	}
}

// applyStreams records the origins that the host has reported.
func (s *session) applyStreams(now time.Time, groups []*coordinatorpb.StreamOrigins) {
	if len(groups) == 0 {
		return
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.recordStreams(now, groups, false)
}

// EncodeStreams returns the message form of origins.
func EncodeStreams(records []registrar.Record) []*coordinatorpb.StreamOrigins {
	var out []*coordinatorpb.StreamOrigins
	for _, r := range records {
		out = AppendStream(out, r.Request, r.Origin)
	}
	return out
}

// DecodeStreams returns the origins in a message.
func DecodeStreams(groups []*coordinatorpb.StreamOrigins) []registrar.Record {
	var out []registrar.Record
	for _, g := range groups {
		o := registrar.Origin{Pool: g.GetPool(), Version: g.GetVersion(), Joinable: !g.GetUnjoinable()}
		for _, request := range g.GetRequest() {
			out = append(out, registrar.Record{Request: request, Origin: o})
		}
	}
	return out
}

// AppendStream adds the origin of a stream to a message.
func AppendStream(groups []*coordinatorpb.StreamOrigins, request uint64, o registrar.Origin) []*coordinatorpb.StreamOrigins {
	for _, g := range groups {
		if g.GetPool() == o.Pool && g.GetVersion() == o.Version && g.GetUnjoinable() != o.Joinable {
			g.Request = append(g.Request, request)
			return groups
		}
	}
	return append(groups, &coordinatorpb.StreamOrigins{
		Pool: o.Pool, Version: o.Version, Unjoinable: !o.Joinable, Request: []uint64{request},
	})
}

// versionsOf returns the versions that a list shows in each pool.
func versionsOf(list []balancer.Endpoint) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, e := range list {
		if out[e.Pool] == nil {
			out[e.Pool] = map[string]bool{}
		}
		out[e.Pool][e.Version] = true
	}
	return out
}

// encodeVersions returns the message form of the history of versions, or nil if there is none yet. The caller holds c.mu.
func (c *Coordinator) encodeVersions(now time.Time) *coordinatorpb.VersionHistory {
	pools, others, ok := c.versions.Export(now)
	if !ok {
		return nil
	}
	out := &coordinatorpb.VersionHistory{CoveredMs: uint64(others.Milliseconds())}
	for pool, p := range pools {
		m := &coordinatorpb.PoolVersions{Pool: pool, CoveredMs: uint64(p.Covered.Milliseconds())}
		for version, age := range p.Ages {
			m.Version, m.AgeMs = append(m.Version, version), append(m.AgeMs, uint64(age.Milliseconds()))
		}
		out.Pools = append(out.Pools, m)
	}
	return out
}

// mergeVersions adds the history of versions of another coordinator. The caller holds c.mu.
func (c *Coordinator) mergeVersions(now time.Time, in *coordinatorpb.VersionHistory) {
	if in == nil {
		return
	}
	pools := make(map[string]registrar.PoolVersions, len(in.GetPools()))
	for _, m := range in.GetPools() {
		p := registrar.PoolVersions{Covered: decodeAge(m.GetCoveredMs()), Ages: map[string]time.Duration{}}
		for i, version := range m.GetVersion() {
			age := time.Duration(0)
			if i < len(m.GetAgeMs()) {
				age = decodeAge(m.GetAgeMs()[i])
			}
			p.Ages[version] = age
		}
		pools[m.GetPool()] = p
	}
	c.versions.Merge(now, pools, decodeAge(in.GetCoveredMs()))
}

// HandleOrigin answers MethodOrigin. A coordinator that does not reach most of the others, or whose endpoint list is old, answers only
// by its records.
func (c *Coordinator) HandleOrigin(payload []byte) ([]byte, error) {
	r := &coordinatorpb.OriginRequest{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	ready, now := c.Ready(), time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &coordinatorpb.OriginReply{}
	if o, ok := c.origins.Lookup(now, r.GetRequest()); ok {
		reply.Known, reply.Joinable, reply.Pool, reply.Version = true, o.Joinable, o.Pool, o.Version
	} else if version, sole := c.versions.Sole(now, r.GetPool()); sole && ready && c.hasRecentList() {
		reply.Sole, reply.Pool, reply.Version = true, r.GetPool(), version
	} else {
		reply.Mixed = c.versions.Mixed(now, r.GetPool())
	}
	return proto.Marshal(reply)
}

// hasRecentList reports whether the platform has sent the endpoint list recently enough to show all versions that are in use.
func (c *Coordinator) hasRecentList() bool {
	return c.ListedAt == nil || clocker.Since(c.ListedAt()) <= maxSoleListAge
}

// sweepOrigins removes what has expired, and passes the history of versions to the writer of its file if it is due.
func (c *Coordinator) sweepOrigins(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.origins.Sweep(now)
	c.versions.Sweep(now)
	f, since := &c.historyFile, now.Sub(c.historyFile.writtenAt)
	changed := f.changes != c.versions.Changes()
	if c.HistoryPath == "" || !c.versions.Observed() || since < minHistoryWriteInterval || !changed && since < historyWriteInterval {
		return
	}
	data, err := c.versions.Encode(now)
	if err != nil {
		klog.ErrorS(err, "coordinator: history of versions not encoded")
		return
	}
	select {
	case f.pending <- data:
		f.changes, f.writtenAt = c.versions.Changes(), now
	default:
		// The writer is busy; it gets a newer history later.
	}
}

// readHistory returns the history of versions that the file holds, or that of a process that has just started.
func (c *Coordinator) readHistory(now time.Time) *registrar.History {
	data, err := []byte(nil), fs.ErrNotExist
	if c.HistoryPath != "" {
		data, err = os.ReadFile(c.HistoryPath)
	}
	if errors.Is(err, fs.ErrNotExist) {
		if c.Bootstrap {
			return registrar.NewBootstrapHistory()
		}
		return registrar.NewHistory(now)
	}
	var h *registrar.History
	if err == nil {
		h, err = registrar.DecodeHistory(now, data)
	}
	if err != nil {
		klog.ErrorS(err, "coordinator: history of versions not read", "path", c.HistoryPath)
		return registrar.NewHistory(now)
	}
	return h
}

// writeHistory writes the file with the history of versions until ctx ends.
func (c *Coordinator) writeHistory(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-c.historyFile.pending:
			if err := replaceFile(c.HistoryPath, data); err != nil {
				klog.ErrorS(err, "coordinator: history of versions not written", "path", c.HistoryPath)
			}
		}
	}
}

// replaceFile replaces a file durably: after a loss of power it has either the old or the new content.
func replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := writeSynced(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return eris.Wrap(err, "rename")
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return eris.Wrap(err, "open folder")
	}
	return eris.Wrap(errors.Join(dir.Sync(), dir.Close()), "sync folder")
}

func writeSynced(path string, data []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create")
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return eris.Wrap(errors.Join(err, file.Close()), "write")
}
