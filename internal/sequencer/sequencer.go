// Package sequencer runs the replicated log on a control host.
//
// It drives a replicator.Core with messages, time and proposals, makes its state durable with a persister and applies
// committed commands to a state machine. One goroutine owns the core; each message to a peer is an exchange of its own.
package sequencer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/bootstrapper"
	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/notifier"
	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Defaults of a Sequencer.
const (
	// DefaultSnapshotEntries bounds the commands replayed after a restart.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotBytes bounds the log kept in memory and on disk between snapshots.
	DefaultSnapshotBytes = 16 << 20
	// MaxCommandBytes keeps an append with one command below the frame limit of the transport.
	MaxCommandBytes = 4 << 20
	// keptEntries stay in the log behind a snapshot, so that a follower that is a little behind needs no snapshot.
	keptEntries  = 1024
	maxEvents    = 4096
	maxBatch     = 1024
	uncertainFor = 2 // election timeouts after which proposals of a lost term are given up
)

// StateMachine is the replicated state. Its methods are called by one goroutine at a time.
type StateMachine interface {
	// Apply executes a committed command; it must be deterministic.
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Network carries exchanges between hosts; *transporter.Transport implements it.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
	Handle(method string, h transporter.Handler)
}

// NotLeaderError refuses what only the leader can do; the proposal will not be committed.
type NotLeaderError = replicator.NotLeaderError

// UncertainError reports a proposal that may or may not be committed. Index is 0 when it is not known.
type UncertainError struct {
	Index uint64
	Err   error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the proposal at index %d may or may not be committed: %v", e.Index, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// ErrorCode is the code under which the error crosses the transport.
func (e *UncertainError) ErrorCode() string { return "uncertain" }

// ErrClosed is returned once the sequencer has stopped.
var ErrClosed = eris.New("the sequencer has stopped")

var errLostTerm = eris.New("the leader's term has ended")

// Sequencer is one host of the replicated log. Set the exported fields before Run.
type Sequencer struct {
	HostID  string
	DataDir string
	// Voters are the ids and addresses of the hosts of the first start; they are ignored once the cluster has formed.
	Voters map[string]string
	// Bootstrap lets an empty data folder form the cluster with Voters. Without it, or when the other voters belong to a
	// formed cluster, the host waits to be added as a learner.
	Bootstrap bool
	Transport Network
	Machine   StateMachine
	// Files defaults to the file system of the host.
	Files             persister.FS
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	SnapshotEntries   int
	SnapshotBytes     int
	// Seed feeds the jitter of election timeouts; it defaults to the host id and the time.
	Seed uint64
	// Tune adjusts the options of the core for measurements.
	Tune func(*replicator.Options)

	initOnce     sync.Once
	registerOnce sync.Once
	closeOnce    sync.Once
	events       chan func()
	stop         chan struct{}
	done         chan struct{}
	started      atomic.Bool
	folder       atomic.Pointer[uint64]
	view         atomic.Pointer[view]
	former       bootstrapper.Former
	observers    notifier.Notifier
	wg           sync.WaitGroup

	epoch     time.Time
	core      *replicator.Core
	store     *persister.Persister
	links     map[string]*link
	open      map[uint64]chan *replicator.Message
	exchange  uint64
	waiters   map[uint64]waiter
	reads     map[uint64]chan<- outcome
	readID    uint64
	applied   uint64
	appliedAt uint64 // term of the last entry applied
	snapIndex uint64
	logBytes  int
	lostAt    time.Duration
}

// view is what callers may read at any time.
type view struct {
	status  replicator.Status
	applied uint64
	lease   time.Time
	leading bool
}

type outcome struct {
	result  []byte
	term    uint64
	applied uint64
	err     error
}

type waiter struct {
	term uint64
	done chan<- outcome
}

func (s *Sequencer) init() {
	s.initOnce.Do(func() {
		s.events = make(chan func(), maxEvents)
		s.stop = make(chan struct{})
		s.done = make(chan struct{})
		s.links = map[string]*link{}
		s.open = map[uint64]chan *replicator.Message{}
		s.waiters = map[uint64]waiter{}
		s.reads = map[uint64]chan<- outcome{}
		s.view.Store(&view{})
		if s.Files == nil {
			s.Files = persister.OS{}
		}
		if s.ElectionTimeout == 0 {
			s.ElectionTimeout = replicator.DefaultElectionTimeout
		}
		if s.HeartbeatInterval == 0 {
			s.HeartbeatInterval = min(replicator.DefaultHeartbeatInterval, s.ElectionTimeout/5)
		}
		if s.SnapshotEntries == 0 {
			s.SnapshotEntries = DefaultSnapshotEntries
		}
		if s.SnapshotBytes == 0 {
			s.SnapshotBytes = DefaultSnapshotBytes
		}
	})
}

// Run takes part in the cluster until ctx ends or Close is called. It returns an error, with nothing unsynced
// acknowledged, when the data folder is damaged or a write fails.
func (s *Sequencer) Run(ctx context.Context) error {
	s.init()
	if !s.started.CompareAndSwap(false, true) {
		return eris.New("sequencer: Run was called twice")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer s.wg.Wait()
	defer close(s.done)
	defer cancel()
	if err := s.check(); err != nil {
		return err
	}
	s.Register()
	s.wg.Go(func() {
		select {
		case <-s.stop:
			cancel()
		case <-ctx.Done():
		}
	})
	s.wg.Go(func() { s.observers.Run(ctx) })
	err := s.start(ctx)
	if err == nil && ctx.Err() == nil {
		err = s.loop(ctx)
	}
	s.fail(&UncertainError{Err: ErrClosed})
	if s.store != nil {
		err = firstError(err, s.store.Close())
	}
	return err
}

// Register adds the methods of the sequencer to the transport. Run does so itself; calling it before the transport runs
// spares other hosts a refusal while this one starts.
func (s *Sequencer) Register() {
	s.init()
	s.registerOnce.Do(func() {
		s.former.HostID, s.former.Voters, s.former.Network = s.HostID, s.Voters, s.Transport
		s.former.Term = func() uint64 { return s.view.Load().status.Term }
		s.former.Listen()
		s.Transport.Handle(methodStep, s.handleStep)
	})
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (s *Sequencer) check() error {
	switch {
	case s.HostID == "" || s.DataDir == "" || s.Transport == nil || s.Machine == nil:
		return eris.New("sequencer: HostID, DataDir, Transport and Machine are required")
	case s.HeartbeatInterval*2 > s.ElectionTimeout:
		return eris.Errorf("sequencer: heartbeat interval %v is more than half of the election timeout %v", s.HeartbeatInterval, s.ElectionTimeout)
	case !s.Bootstrap:
		return nil
	case s.Voters[s.HostID] == "":
		return eris.Errorf("sequencer: host %s is not among the initial voters", s.HostID)
	case len(s.Voters)%2 == 0:
		return eris.Errorf("sequencer: %d initial voters; the number must be odd", len(s.Voters))
	}
	return nil
}

// start opens the data folder, forms the cluster when asked to, and builds the core.
func (s *Sequencer) start(ctx context.Context) error {
	if err := s.prepareFolder(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	store, contents, err := persister.Open(s.Files, s.DataDir)
	if err != nil {
		return err
	}
	s.store = store
	if contents.Identity.HostID != s.HostID {
		return eris.Errorf("sequencer: data folder %s belongs to host %s, not to %s", s.DataDir, contents.Identity.HostID, s.HostID)
	}
	if s.awaitFormed(ctx, contents) != nil {
		return nil // ctx ended
	}
	if contents.Snapshot.Index > 0 {
		if err := s.Machine.Restore(contents.Snapshot.Data); err != nil {
			return eris.Wrapf(err, "sequencer: restore snapshot at index %d", contents.Snapshot.Index)
		}
	}
	s.applied, s.snapIndex, s.appliedAt = contents.Snapshot.Index, contents.Snapshot.Index, contents.Snapshot.Term
	for _, e := range contents.Entries {
		s.logBytes += len(e.Data)
	}
	s.epoch = clocker.Now()
	seed := s.Seed
	if seed == 0 {
		seed = seedOf(s.HostID, s.epoch)
	}
	o := replicator.Options{
		ID: s.HostID, Incarnation: contents.Identity.Incarnation, Seed: seed,
		ElectionTimeout: s.ElectionTimeout, HeartbeatInterval: s.HeartbeatInterval,
		State: contents.State, Snapshot: contents.Snapshot, Entries: contents.Entries,
	}
	if s.Tune != nil {
		s.Tune(&o)
	}
	s.core = replicator.New(o, s.now())
	status := s.core.Status()
	klog.Infof("sequencer: started host=%s term=%d snapshot=%d last=%d voters=%d",
		s.HostID, status.Term, contents.Snapshot.Index, status.Last, status.Members.Voters())
	if status.Members.Voters() == 1 {
		klog.Warningf("sequencer: one voter only; this is a trial without fault tolerance host=%s", s.HostID)
	}
	s.former.Finish()
	s.folder.Store(&contents.Identity.Incarnation)
	s.publish()
	return nil
}

func (s *Sequencer) now() time.Duration { return clocker.Since(s.epoch) }

// post hands fn to the goroutine that owns the core.
func (s *Sequencer) post(ctx context.Context, fn func()) error {
	select {
	case <-s.done:
		return ErrClosed
	default:
	}
	select {
	case s.events <- fn:
		return nil
	case <-s.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close hands leadership over if this host holds it, stops Run and waits for it.
func (s *Sequencer) Close() error {
	s.init()
	s.closeOnce.Do(func() {
		if s.started.Load() {
			s.handOver()
		}
		close(s.stop)
	})
	if s.started.Load() {
		<-s.done
		s.wg.Wait()
	}
	return nil
}

// handOver waits at most two election timeouts for another voter to take over.
func (s *Sequencer) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*s.ElectionTimeout)
	defer cancel()
	asked := make(chan error, 1)
	if !s.former.Finished() || s.post(ctx, func() { asked <- s.core.Transfer(s.now()) }) != nil {
		return
	}
	select {
	case err := <-asked:
		if err != nil {
			return
		}
	case <-ctx.Done():
		return
	case <-s.done:
		return
	}
	for ctx.Err() == nil && s.view.Load().status.Role == replicator.Leader {
		select {
		case <-time.After(s.ElectionTimeout / 40):
		case <-s.done:
			return
		}
	}
}
