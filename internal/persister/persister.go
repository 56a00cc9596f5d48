// Package persister keeps the durable part of the replicated log in one data folder.
//
// The folder holds the file "log", a sequence of checked records, and the file "snapshot". Each record is what one sync made
// durable, so a record that is followed by another one was complete once, and damage to it is told from a torn tail.
package persister

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"

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

// Contents is what a data folder held when it was opened.
type Contents struct {
	Identity Identity
	State    replicator.State
	Snapshot replicator.Snapshot
	Entries  []replicator.Entry
	// TornBytes is the size of an incomplete last record that was removed.
	TornBytes int
}

// Persister writes to one data folder. After a failed write it refuses every further one, because what is durable is
// unknown from then on. It is not safe for concurrent use.
type Persister struct {
	dir      string
	fs       FS
	log      File
	lock     io.Closer
	identity Identity
	failed   error
	buf      []byte
}

// Empty reports whether a folder holds no log yet.
func Empty(files FS, dir string) (bool, error) {
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

// Create makes an empty folder the folder of a host. Members is the initial membership of a host that forms the cluster;
// without it the folder gets a random incarnation and waits to be added.
func Create(files FS, dir, hostID string, members replicator.Membership) error {
	if err := files.MkdirAll(dir); err != nil {
		return eris.Wrapf(err, "create data folder %s", dir)
	}
	p := &Persister{dir: dir, fs: files, identity: Identity{HostID: hostID}}
	if len(members) == 0 {
		p.identity.Incarnation = 1 + rand.Uint64N(1<<63)
	}
	// The log is written last: a crash before it leaves a folder that counts as damaged and not as empty.
	err := p.SaveSnapshot(replicator.Snapshot{Members: members}, nil, replicator.State{})
	return errors.Join(err, p.Close())
}

// Open reads a data folder and locks it. It returns a *DamageError when what was durable cannot be read back.
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
	end, err := p.replay(data, &c)
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
	return c, p.settle(&c)
}

// settle drops a log that a snapshot received from the leader has overtaken.
func (p *Persister) settle(c *Contents) error {
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
	p.log = f
	return nil
}

func (p *Persister) replay(data []byte, c *Contents) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, size, reason := nextRecord(data[offset:])
		if reason != "" {
			if offset > 0 && torn(data[offset:]) {
				break
			}
			return 0, &DamageError{File: p.path(logName), Offset: int64(offset), Reason: reason}
		}
		batch := &persisterpb.Batch{}
		if err := proto.Unmarshal(payload, batch); err != nil {
			return 0, &DamageError{File: p.path(logName), Offset: int64(offset), Reason: err.Error()}
		}
		if err := c.add(batch); err != "" {
			return 0, &DamageError{File: p.path(logName), Offset: int64(offset), Reason: err}
		}
		offset += size
	}
	if c.Identity.HostID == "" {
		return 0, &DamageError{File: p.path(logName), Reason: "the first record names no host"}
	}
	return offset, nil
}

func (c *Contents) add(b *persisterpb.Batch) string {
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

// Save makes a changed state and appended entries durable with one write and one sync. Entries replace what follows them.
func (p *Persister) Save(state *replicator.State, entries []replicator.Entry) error {
	if p.failed != nil {
		return p.failed
	}
	for state != nil || len(entries) > 0 {
		n := recordEntries(entries)
		p.buf = appendRecord(p.buf[:0], encodeBatch(state, entries[:n], nil))
		if err := writeSync(p.log, p.buf); err != nil {
			return p.fail(eris.Wrap(err, "append to log"))
		}
		state, entries = nil, entries[n:]
	}
	if cap(p.buf) > recordBytes {
		p.buf = nil
	}
	return nil
}

// SaveSnapshot makes a snapshot durable and then replaces the log by the given entries.
func (p *Persister) SaveSnapshot(s replicator.Snapshot, entries []replicator.Entry, state replicator.State) error {
	if p.failed != nil {
		return p.failed
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
	if err := p.replace(snapshotName, appendRecord(nil, payload)); err != nil {
		return p.fail(err)
	}
	id := &persisterpb.Identity{HostId: p.identity.HostID, Incarnation: p.identity.Incarnation}
	data := appendRecord(nil, encodeBatch(&state, nil, id))
	for len(entries) > 0 {
		n := recordEntries(entries)
		data = appendRecord(data, encodeBatch(nil, entries[:n], nil))
		entries = entries[n:]
	}
	if err := p.replace(logName, data); err != nil {
		return p.fail(err)
	}
	if p.log != nil {
		if err := p.log.Close(); err != nil {
			return p.fail(eris.Wrap(err, "close replaced log"))
		}
	}
	if err := p.openLog(0, false); err != nil {
		return p.fail(err)
	}
	return nil
}

// replace writes a file beside the old one and renames it once it is durable.
func (p *Persister) replace(name string, data []byte) error {
	temp := p.path(name + tempSuffix)
	f, err := p.fs.OpenFile(temp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return eris.Wrapf(err, "create %s", temp)
	}
	if err := errors.Join(writeSync(f, data), f.Close()); err != nil {
		return eris.Wrapf(err, "write %s", temp)
	}
	if err := p.fs.Rename(temp, p.path(name)); err != nil {
		return eris.Wrapf(err, "rename %s", temp)
	}
	return eris.Wrap(p.fs.SyncDir(p.dir), "sync data folder")
}

func (p *Persister) fail(err error) error {
	p.failed = err
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

// Close closes the log file and releases the folder.
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
