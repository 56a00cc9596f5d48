// Package persister keeps the durable part of the replicated log in one data folder.
//
// The folder holds the file "log", a sequence of records with checksums, and the file "snapshot". A record is appended only when
// the one before it is durable, so an unreadable record that is followed by another one is damage and not a torn tail.
package persister

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/persister/persisterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
	lockName     = "lock"
	tempSuffix   = ".tmp"
	fileMode     = 0o600
	folderMode   = 0o700
)

// Identity names the data folder. Incarnation is 0 in the folder of an initial voter and random otherwise.
type Identity struct {
	HostID      string
	Incarnation uint64
}

// Contents is the data read from a folder when it was opened.
type Contents struct {
	Identity Identity
	State    replicator.State
	Snapshot replicator.Snapshot
	Entries  []replicator.Entry
	// TornBytes is the size of an incomplete last record that was removed.
	TornBytes int
}

// NoSpaceError reports that the disk took no more data. Nothing was lost, and the same call may be repeated.
type NoSpaceError struct{ Err error }

// Error implements error.
func (e *NoSpaceError) Error() string { return "no space in the data folder: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NoSpaceError) Unwrap() error { return e.Err }

// Persister writes to one data folder. After a failed write, other than for want of space, every later one returns the same error, because
// it is unknown which data is durable. It is not safe for concurrent use.
type Persister struct {
	dir string
	fs  FS
	log File
	// logBytes is the size of the durable part of the log.
	logBytes int64
	lock     io.Closer
	identity Identity
	writeErr error
	buf      []byte
}

// IsEmpty reports whether a folder holds neither a log nor a snapshot.
func IsEmpty(files FS, dir string) (bool, error) {
	for _, name := range []string{logName, snapshotName} {
		_, err := files.ReadFile(filepath.Join(dir, name))
		if err == nil {
			return false, nil
		}
		if !errors.Is(err, fs.ErrNotExist) {
			return false, eris.Wrapf(err, "read %s", name)
		}
	}
	return true, nil
}

// Create initializes an empty data folder for a host. Members is the initial membership if the host forms the cluster. If it
// is empty, the folder gets a random incarnation and the host has to be added to an existing cluster.
func Create(files FS, dir, hostID string, members replicator.Membership) error {
	if err := files.MkdirAll(dir); err != nil {
		return eris.Wrapf(err, "create data folder %s", dir)
	}
	p := &Persister{dir: dir, fs: files, identity: Identity{HostID: hostID}}
	if len(members) == 0 {
		p.identity.Incarnation = 1 + rand.Uint64N(1<<63)
	}
	// The log is written last: a crash before that leaves a folder that is reported as damaged, not as empty.
	err := p.SaveSnapshot(replicator.Snapshot{Members: members}, nil, replicator.State{})
	return errors.Join(err, p.Close())
}

// Open locks and reads a data folder. It returns a *DamageError if durable data is missing or cannot be read.
func Open(files FS, dir string) (*Persister, Contents, error) {
	p := &Persister{dir: dir, fs: files}
	lock, err := files.Lock(dir)
	if err != nil {
		return nil, Contents{}, eris.Wrapf(err, "lock data folder %s", dir)
	}
	p.lock = lock
	c, err := p.load()
	if err != nil {
		return nil, c, errors.Join(err, p.Close())
	}
	return p, c, nil
}

func (p *Persister) load() (Contents, error) {
	var c Contents
	snap, err := p.readSnapshot()
	if err != nil {
		return c, err
	}
	c.Snapshot = snap
	data, err := p.fs.ReadFile(p.path(logName))
	if errors.Is(err, fs.ErrNotExist) {
		return c, &DamageError{File: p.path(logName), Reason: "the file is missing beside a snapshot"}
	}
	if err != nil {
		return c, eris.Wrap(err, "read log")
	}
	end, err := p.replayLog(data, &c)
	if err != nil {
		return c, err
	}
	p.identity = c.Identity
	if err := p.openLog(int64(end), end < len(data)); err != nil {
		return c, err
	}
	if c.TornBytes = len(data) - end; c.TornBytes > 0 {
		klog.Warningf("persister: truncated torn tail file=%s offset=%d bytes=%d", p.path(logName), end, c.TornBytes)
	}
	return c, p.dropSupersededLog(&c)
}

// dropSupersededLog discards the log entries if they end before the snapshot or conflict with it, as after a crash between
// saving a snapshot from the leader and replacing the log.
func (p *Persister) dropSupersededLog(c *Contents) error {
	n := len(c.Entries)
	if n == 0 {
		return nil
	}
	first, last := c.Entries[0].Index, c.Entries[n-1].Index
	if first > c.Snapshot.Index+1 {
		return &DamageError{File: p.path(logName), Reason: "entries between the snapshot and the log are missing"}
	}
	at := c.Snapshot.Index
	if at < first || (last >= at && c.Entries[at-first].Term == c.Snapshot.Term) {
		return nil
	}
	c.Entries = nil
	return p.SaveSnapshot(c.Snapshot, nil, c.State)
}

func (p *Persister) path(name string) string { return filepath.Join(p.dir, name) }

func (p *Persister) openLog(size int64, truncate bool) error {
	f, err := p.fs.OpenFile(p.path(logName), os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	if truncate {
		if err := f.Truncate(size); err != nil {
			return errors.Join(eris.Wrap(err, "truncate torn tail"), f.Close())
		}
		if err := f.Sync(); err != nil {
			return errors.Join(eris.Wrap(err, "sync truncated log"), f.Close())
		}
	}
	p.log, p.logBytes = f, size
	return nil
}

func (p *Persister) replayLog(data []byte, c *Contents) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, size, reason := nextRecord(data[offset:])
		if reason != "" {
			if offset > 0 && isTornTail(data[offset:]) {
				break
			}
			return 0, &DamageError{File: p.path(logName), Offset: int64(offset), Reason: reason}
		}
		batch := &persisterpb.Batch{}
		if err := proto.Unmarshal(payload, batch); err != nil {
			return 0, &DamageError{File: p.path(logName), Offset: int64(offset), Reason: err.Error()}
		}
		if err := c.applyBatch(batch); err != "" {
			return 0, &DamageError{File: p.path(logName), Offset: int64(offset), Reason: err}
		}
		offset += size
	}
	if c.Identity.HostID == "" {
		return 0, &DamageError{File: p.path(logName), Reason: "the first record names no host"}
	}
	return offset, nil
}

func (c *Contents) applyBatch(b *persisterpb.Batch) string {
	if id := b.GetIdentity(); id != nil {
		c.Identity = Identity{HostID: id.GetHostId(), Incarnation: id.GetIncarnation()}
	}
	if s := b.GetState(); s != nil {
		if s.GetTerm() < c.State.Term {
			return "the term goes back"
		}
		c.State = replicator.State{Term: s.GetTerm(), Vote: s.GetVote()}
	}
	for _, pe := range b.GetEntries() {
		e := DecodeEntry(pe)
		if n := len(c.Entries); n > 0 {
			keep := int64(e.Index) - int64(c.Entries[0].Index)
			if keep < 0 || keep > int64(n) {
				return "an entry does not follow the one before it"
			}
			c.Entries = c.Entries[:keep]
		}
		c.Entries = append(c.Entries, e)
	}
	return ""
}

// Save appends the state, if not nil, and the entries to the log and syncs it. It writes one record, or several if the
// entries exceed targetRecordBytes. Stored entries from the first given index on are replaced.
func (p *Persister) Save(state *replicator.State, entries []replicator.Entry) error {
	if p.writeErr != nil {
		return p.writeErr
	}
	for state != nil || len(entries) > 0 {
		n := recordEntryCount(entries)
		p.buf = appendRecord(p.buf[:0], encodeBatch(state, entries[:n], nil))
		if err := p.appendToLog(); err != nil {
			return err
		}
		state, entries = nil, entries[n:]
	}
	if cap(p.buf) > targetRecordBytes {
		p.buf = nil
	}
	return nil
}

// appendToLog appends the record in buf to the log and syncs it.
func (p *Persister) appendToLog() error {
	n, err := p.log.Write(p.buf)
	if errors.Is(err, syscall.ENOSPC) {
		// A later record must follow the last whole one.
		if err := errors.Join(p.log.Truncate(p.logBytes), p.log.Sync()); err != nil {
			return p.fail(eris.Wrap(err, "remove an incomplete record"))
		}
		return &NoSpaceError{Err: eris.Wrap(err, "append to log")}
	}
	if err == nil && n < len(p.buf) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = p.log.Sync()
	}
	if err != nil {
		return p.fail(eris.Wrap(err, "append to log"))
	}
	p.logBytes += int64(n)
	return nil
}

// SaveSnapshot writes and syncs a snapshot and then replaces the log by one with the given state and entries.
func (p *Persister) SaveSnapshot(s replicator.Snapshot, entries []replicator.Entry, state replicator.State) error {
	if p.writeErr != nil {
		return p.writeErr
	}
	payload, err := proto.Marshal(&persisterpb.Snapshot{
		Index: s.Index, Term: s.Term, Members: EncodeMembers(s.Members), Data: s.Data,
	})
	if err != nil {
		return p.fail(eris.Wrap(err, "encode snapshot"))
	}
	if len(payload) > maxPayloadBytes {
		return p.fail(eris.Errorf("snapshot of %d bytes is above the limit of %d bytes", len(payload), maxPayloadBytes))
	}
	if err := p.replaceFile(snapshotName, appendRecord(nil, payload)); err != nil {
		return p.failReplacement(err)
	}
	id := &persisterpb.Identity{HostId: p.identity.HostID, Incarnation: p.identity.Incarnation}
	data := appendRecord(nil, encodeBatch(&state, nil, id))
	for len(entries) > 0 {
		n := recordEntryCount(entries)
		data = appendRecord(data, encodeBatch(nil, entries[:n], nil))
		entries = entries[n:]
	}
	if err := p.replaceFile(logName, data); err != nil {
		return p.failReplacement(err)
	}
	if p.log != nil {
		if err := p.log.Close(); err != nil {
			return p.fail(eris.Wrap(err, "close replaced log"))
		}
	}
	if err := p.openLog(int64(len(data)), false); err != nil {
		return p.fail(err)
	}
	return nil
}

// replaceFile writes and syncs a temporary file and renames it over the named one, so that a crash leaves the old file or the
// new one whole.
func (p *Persister) replaceFile(name string, data []byte) error {
	temp := p.path(name + tempSuffix)
	f, err := p.fs.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return eris.Wrapf(err, "create %s", temp)
	}
	if err := writeAndSync(f, data); err != nil {
		// The part that was written must not take the space that is missing.
		return eris.Wrapf(errors.Join(err, f.Truncate(0), f.Close()), "write %s", temp)
	}
	if err := f.Close(); err != nil {
		return eris.Wrapf(err, "close %s", temp)
	}
	if err := p.fs.Rename(temp, p.path(name)); err != nil {
		return eris.Wrapf(err, "rename %s", temp)
	}
	return eris.Wrap(p.fs.SyncDir(p.dir), "sync data folder")
}

// failReplacement handles an error of replaceFile. A file that was not replaced for want of space is as it was.
func (p *Persister) failReplacement(err error) error {
	if errors.Is(err, syscall.ENOSPC) {
		return &NoSpaceError{Err: err}
	}
	return p.fail(err)
}

func (p *Persister) fail(err error) error {
	p.writeErr = err
	klog.Errorf("persister: stopped writing folder=%s reason=%q", p.dir, err)
	return err
}

func (p *Persister) readSnapshot() (replicator.Snapshot, error) {
	var s replicator.Snapshot
	path := p.path(snapshotName)
	data, err := p.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s, &DamageError{File: path, Reason: "the file is missing beside a log"}
	}
	if err != nil {
		return s, eris.Wrap(err, "read snapshot")
	}
	payload, size, reason := nextRecord(data)
	if reason == "" && size != len(data) {
		reason = "bytes follow the record"
	}
	if reason != "" {
		return s, &DamageError{File: path, Reason: reason}
	}
	m := &persisterpb.Snapshot{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return s, &DamageError{File: path, Reason: err.Error()}
	}
	return replicator.Snapshot{Index: m.GetIndex(), Term: m.GetTerm(), Members: DecodeMembers(m.GetMembers()), Data: m.GetData()}, nil
}

// Close closes the log file and releases the lock on the folder.
func (p *Persister) Close() error {
	var err error
	if p.log != nil {
		err = p.log.Close()
		p.log = nil
	}
	if p.lock != nil {
		err = errors.Join(err, p.lock.Close())
		p.lock = nil
	}
	return eris.Wrap(err, "close data folder")
}
