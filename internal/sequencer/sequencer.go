// Package sequencer runs the replicated log on a control host.
//
// It drives a replicator.Core with messages, time and proposals, persists the core's state and applies committed commands to
// a state machine. One goroutine owns the core; each message to a peer is sent in its own RPC.
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

// Defaults and limits of a Sequencer.
const (
	// DefaultSnapshotEntries bounds the number of commands replayed after a restart.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotBytes bounds the size of the log kept in memory and on disk between snapshots.
	DefaultSnapshotBytes = 16 << 20
	// MaxCommandBytes keeps an append request with a single command below the transport's frame size limit.
	MaxCommandBytes = 4 << 20
	// trailingEntries is the number of entries that stay in the log before a snapshot, so that a slightly lagging follower
	// needs no snapshot.
	trailingEntries         = 1024
	eventQueueSize          = 4096
	maxEventsPerRound       = 1024
	pendingProposalTimeouts = 2 // election timeouts from the loss of leadership until pending proposals fail as uncertain
)

// StateMachine is the replicated state machine. Its methods are called by one goroutine at a time.
type StateMachine interface {
	// Apply executes a committed command and returns its result. It must be deterministic.
	Apply(index uint64, command []byte) (result []byte)
	Snapshot() ([]byte, error)
	Restore(snapshot []byte) error
}

// Network carries RPCs between hosts; *transporter.Transport implements it.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
	Handle(method string, h transporter.Handler)
}

// NotLeaderError reports an operation that only the leader can perform. The proposal will not be committed.
type NotLeaderError = replicator.NotLeaderError

// UncertainError reports a proposal that may or may not be committed. Index is its log index, or 0 if not known.
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

// ErrorCode returns the code that identifies the error in RPC responses.
func (e *UncertainError) ErrorCode() string { return "uncertain" }

// ErrClosed is returned by calls to a Sequencer that has stopped.
var ErrClosed = eris.New("the sequencer has stopped")

var errTermEnded = eris.New("the leader's term has ended")

// Sequencer is one replica of the replicated log. Set the exported fields before calling Run.
type Sequencer struct {
	HostID  string
	DataDir string
	// Voters maps the ids of the initial voters to their addresses. It is ignored once the cluster has formed.
	Voters map[string]string
	// Bootstrap allows a host with an empty data folder to form the cluster with Voters. Without it, or if the other voters
	// already belong to a formed cluster, the host waits to be added as a learner.
	Bootstrap    bool
	Transport    Network
	StateMachine StateMachine
	// FileSystem defaults to the file system of the operating system.
	FileSystem        persister.FS
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	SnapshotEntries   int
	SnapshotBytes     int
	// Seed seeds the jitter of election timeouts. It defaults to a value derived from the host id and the current time.
	Seed uint64
	// AdjustOptions, if set, changes the options of the core before it is created. It is meant for measurements.
	AdjustOptions func(*replicator.Options)

	initOnce          sync.Once
	registerOnce      sync.Once
	closeOnce         sync.Once
	events            chan func()
	stop              chan struct{}
	done              chan struct{}
	started           atomic.Bool
	folderIncarnation atomic.Pointer[uint64]
	published         atomic.Pointer[publishedState]
	formation         bootstrapper.Bootstrapper
	observers         notifier.Notifier
	wg                sync.WaitGroup

	origin           time.Time
	core             *replicator.Core
	store            *persister.Persister
	inFlight         map[string]*inFlightCounts
	responses        map[uint64]chan *replicator.Message
	lastRPCID        uint64
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]chan<- outcome
	lastReadID       uint64
	applied          uint64
	appliedTerm      uint64 // term of the last entry applied
	snapshotIndex    uint64
	logBytes         int
	leadershipLostAt time.Duration
}

// publishedState is a snapshot of the core's state that callers may read concurrently.
type publishedState struct {
	status     replicator.Status
	applied    uint64
	leaseUntil time.Time
	ready      bool // leader that has applied an entry of its own term
}

type outcome struct {
	result  []byte
	term    uint64
	applied uint64
	err     error
}

type pendingProposal struct {
	term uint64
	done chan<- outcome
}

func (s *Sequencer) init() {
	s.initOnce.Do(func() {
		s.events = make(chan func(), eventQueueSize)
		s.stop = make(chan struct{})
		s.done = make(chan struct{})
		s.inFlight = map[string]*inFlightCounts{}
		s.responses = map[uint64]chan *replicator.Message{}
		s.pendingProposals = map[uint64]pendingProposal{}
		s.pendingReads = map[uint64]chan<- outcome{}
		s.published.Store(&publishedState{})
		if s.FileSystem == nil {
			s.FileSystem = persister.OS{}
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

// Run takes part in the cluster until ctx ends or Close is called. It returns an error if the data folder is corrupt or a
// write fails; in that case no entry that was not synced has been acknowledged.
func (s *Sequencer) Run(ctx context.Context) error {
	s.init()
	if !s.started.CompareAndSwap(false, true) {
		return eris.New("sequencer: Run called more than once")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer s.wg.Wait()
	defer close(s.done)
	defer cancel()
	if err := s.validate(); err != nil {
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
	s.failPendingProposals(&UncertainError{Err: ErrClosed})
	if s.store != nil {
		err = firstError(err, s.store.Close())
	}
	return err
}

// Register adds the RPC handlers of the sequencer to the transport. Run calls it too; calling it before the transport runs
// prevents unknown-method errors on other hosts while this host starts.
func (s *Sequencer) Register() {
	s.init()
	s.registerOnce.Do(func() {
		s.formation.HostID, s.formation.Voters, s.formation.Network = s.HostID, s.Voters, s.Transport
		s.formation.Term = func() uint64 { return s.published.Load().status.Term }
		s.formation.RegisterHandler()
		s.Transport.Handle(methodStep, s.handleStep)
	})
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (s *Sequencer) validate() error {
	switch {
	case s.HostID == "" || s.DataDir == "" || s.Transport == nil || s.StateMachine == nil:
		return eris.New("sequencer: HostID, DataDir, Transport and StateMachine are required")
	case s.HeartbeatInterval*2 > s.ElectionTimeout:
		return eris.Errorf("sequencer: heartbeat interval %v exceeds half of the election timeout %v", s.HeartbeatInterval, s.ElectionTimeout)
	case !s.Bootstrap:
		return nil
	case s.Voters[s.HostID] == "":
		return eris.Errorf("sequencer: host %s is not one of the initial voters", s.HostID)
	case len(s.Voters)%2 == 0:
		return eris.Errorf("sequencer: number of initial voters must be odd, got %d", len(s.Voters))
	}
	return nil
}

// start opens the data folder, waits until the cluster has formed, restores the state machine and creates the core. It
// returns nil without a core if ctx ends.
func (s *Sequencer) start(ctx context.Context) error {
	if err := s.prepareFolder(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	store, contents, err := persister.Open(s.FileSystem, s.DataDir)
	if err != nil {
		return err
	}
	s.store = store
	if contents.Identity.HostID != s.HostID {
		return eris.Errorf("sequencer: data folder %s belongs to host %s, not %s", s.DataDir, contents.Identity.HostID, s.HostID)
	}
	if s.awaitFormation(ctx, contents) != nil {
		return nil // ctx ended
	}
	if contents.Snapshot.Index > 0 {
		if err := s.StateMachine.Restore(contents.Snapshot.Data); err != nil {
			return eris.Wrapf(err, "sequencer: restore snapshot at index %d", contents.Snapshot.Index)
		}
	}
	s.applied, s.snapshotIndex, s.appliedTerm = contents.Snapshot.Index, contents.Snapshot.Index, contents.Snapshot.Term
	for _, e := range contents.Entries {
		s.logBytes += len(e.Data)
	}
	s.origin = clocker.Now()
	seed := s.Seed
	if seed == 0 {
		seed = electionSeed(s.HostID, s.origin)
	}
	o := replicator.Options{
		ID: s.HostID, Incarnation: contents.Identity.Incarnation, Seed: seed,
		ElectionTimeout: s.ElectionTimeout, HeartbeatInterval: s.HeartbeatInterval,
		State: contents.State, Snapshot: contents.Snapshot, Entries: contents.Entries,
	}
	if s.AdjustOptions != nil {
		s.AdjustOptions(&o)
	}
	s.core = replicator.New(o, s.now())
	status := s.core.Status()
	klog.Infof("sequencer: started host=%s term=%d snapshot=%d last=%d voters=%d",
		s.HostID, status.Term, contents.Snapshot.Index, status.Last, status.Members.Voters())
	if status.Members.Voters() == 1 {
		klog.Warningf("sequencer: cluster has a single voter and tolerates no failures host=%s", s.HostID)
	}
	s.formation.Finish()
	s.folderIncarnation.Store(&contents.Identity.Incarnation)
	s.publish()
	return nil
}

func (s *Sequencer) now() time.Duration { return clocker.Since(s.origin) }

// post queues fn for the goroutine that owns the core. It blocks while the queue is full.
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

// Close transfers leadership to another voter if this host is the leader, stops Run and waits for it to return.
func (s *Sequencer) Close() error {
	s.init()
	s.closeOnce.Do(func() {
		if s.started.Load() {
			s.TransferLeadership()
		}
		close(s.stop)
	})
	if s.started.Load() {
		<-s.done
		s.wg.Wait()
	}
	return nil
}

// TransferLeadership makes another voter the leader if this host is, and waits up to two election timeouts until it is.
func (s *Sequencer) TransferLeadership() {
	s.init()
	ctx, cancel := context.WithTimeout(context.Background(), 2*s.ElectionTimeout)
	defer cancel()
	started := make(chan error, 1)
	if !s.formation.Finished() || s.post(ctx, func() { started <- s.core.Transfer(s.now()) }) != nil {
		return
	}
	select {
	case err := <-started:
		if err != nil {
			return
		}
	case <-ctx.Done():
		return
	case <-s.done:
		return
	}
	for ctx.Err() == nil && s.published.Load().status.Role == replicator.Leader {
		select {
		case <-time.After(s.ElectionTimeout / 40):
		case <-s.done:
			return
		}
	}
}
