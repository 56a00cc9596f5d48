package sequencer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// Propose replicates a command and returns the result of applying it. After a *NotLeaderError the command has not been and
// will not be committed; after an *UncertainError it may be.
func (s *Sequencer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, eris.Errorf("command of %d bytes is above the limit of %d bytes", len(command), MaxCommandBytes)
	}
	o, err := s.propose(ctx, func() (uint64, uint64, error) { return s.core.Propose(s.now(), command) })
	return o.result, err
}

func (s *Sequencer) propose(ctx context.Context, appendEntry func() (index, term uint64, err error)) (outcome, error) {
	s.init()
	done := make(chan outcome, 1)
	var proposedIndex atomic.Uint64
	err := s.post(ctx, func() {
		index, term, err := appendEntry()
		if err != nil {
			done <- outcome{err: err}
			return
		}
		proposedIndex.Store(index)
		s.pendingProposals[index] = pendingProposal{term: term, done: done}
	})
	if err != nil {
		return outcome{}, err
	}
	select {
	case o := <-done:
		return o, o.err
	case <-ctx.Done():
		return outcome{}, &UncertainError{Index: proposedIndex.Load(), Err: ctx.Err()}
	case <-s.done:
		select {
		case o := <-done:
			return o, o.err
		default:
			return outcome{}, &UncertainError{Index: proposedIndex.Load(), Err: ErrClosed}
		}
	}
}

// ConfirmLeader returns once a quorum has confirmed, after the call began, that this host is the leader, and the state
// machine has applied every command whose Propose had returned on any host before the call.
func (s *Sequencer) ConfirmLeader(ctx context.Context) (term, applied uint64, err error) {
	s.init()
	done := make(chan outcome, 1)
	err = s.post(ctx, func() {
		s.lastReadID++
		if err := s.core.Read(s.now(), s.lastReadID); err != nil {
			done <- outcome{err: err}
			return
		}
		s.pendingReads[s.lastReadID] = done
	})
	if err != nil {
		return 0, 0, err
	}
	select {
	case o := <-done:
		return o.term, o.applied, o.err
	case <-ctx.Done():
		return 0, 0, ctx.Err()
	case <-s.done:
		return 0, 0, ErrClosed
	}
}

// Leader returns the current leader as far as this host has been informed, or empty strings if there is none. A leader whose
// lease has expired does not return itself.
func (s *Sequencer) Leader() (id, addr string, term uint64) {
	s.init()
	v := s.published.Load()
	id = v.status.Leader
	if id == s.HostID && !clocker.Now().Before(v.leaseUntil) {
		return "", "", v.status.Term
	}
	m, _ := v.status.Members.Find(id)
	return id, m.Addr, v.status.Term
}

// LeaseUntil returns the end of the leader lease: no other host can be leader before that time, as confirmed by a quorum. It
// is zero on a host that is not the leader.
func (s *Sequencer) LeaseUntil() (term uint64, until time.Time) {
	s.init()
	v := s.published.Load()
	return v.status.Term, v.leaseUntil
}

// OnLeader registers a callback for the start and end of this host's leadership. The start is reported once every entry
// committed in earlier terms has been applied. Callbacks run in order on one goroutine.
func (s *Sequencer) OnLeader(fn func(term uint64, leader bool)) {
	s.observers.AddObserver(fn)
}

// Members returns the latest membership in this host's log, which may not be committed yet.
func (s *Sequencer) Members() replicator.Membership {
	s.init()
	return s.published.Load().status.Members
}

// Status returns the status of the core and the index of the last applied entry.
func (s *Sequencer) Status() (status replicator.Status, applied uint64) {
	s.init()
	v := s.published.Load()
	return v.status, v.applied
}

// FolderIncarnation returns the incarnation of the data folder, and false until the folder is open.
func (s *Sequencer) FolderIncarnation() (incarnation uint64, open bool) {
	if f := s.folderIncarnation.Load(); f != nil {
		return *f, true
	}
	return 0, false
}

// AddLearner adds a host that receives the log but does not vote.
func (s *Sequencer) AddLearner(ctx context.Context, id, addr string) error {
	return s.changeMembership(ctx, replicator.Change{Kind: replicator.AddLearner, ID: id, Addr: addr})
}

// Promote makes a learner a voter. It returns a *replicator.NotCaughtUpError while the learner's log is too far behind.
func (s *Sequencer) Promote(ctx context.Context, id string) error {
	return s.changeMembership(ctx, replicator.Change{Kind: replicator.Promote, ID: id})
}

// Remove removes a host from the membership.
func (s *Sequencer) Remove(ctx context.Context, id string) error {
	return s.changeMembership(ctx, replicator.Change{Kind: replicator.Remove, ID: id})
}

func (s *Sequencer) changeMembership(ctx context.Context, c replicator.Change) error {
	_, err := s.propose(ctx, func() (uint64, uint64, error) { return s.core.ChangeMembers(s.now(), c) })
	return err
}
