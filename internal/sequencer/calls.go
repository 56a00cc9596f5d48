package sequencer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// Propose replicates a command and returns the result of applying it. After a *NotLeaderError the command is not and will
// not be committed; after an *UncertainError it may be.
func (s *Sequencer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, eris.Errorf("command of %d bytes is above the limit of %d bytes", len(command), MaxCommandBytes)
	}
	o, err := s.propose(ctx, func() (uint64, uint64, error) { return s.core.Propose(s.now(), command) })
	return o.result, err
}

func (s *Sequencer) propose(ctx context.Context, do func() (index, term uint64, err error)) (outcome, error) {
	s.init()
	done := make(chan outcome, 1)
	var at atomic.Uint64
	err := s.post(ctx, func() {
		index, term, err := do()
		if err != nil {
			done <- outcome{err: err}
			return
		}
		at.Store(index)
		s.waiters[index] = waiter{term: term, done: done}
	})
	if err != nil {
		return outcome{}, err
	}
	select {
	case o := <-done:
		return o, o.err
	case <-ctx.Done():
		return outcome{}, &UncertainError{Index: at.Load(), Err: ctx.Err()}
	case <-s.done:
		select {
		case o := <-done:
			return o, o.err
		default:
			return outcome{}, &UncertainError{Index: at.Load(), Err: ErrClosed}
		}
	}
}

// ConfirmLeader returns once a quorum has confirmed, after the call began, that this host leads, and the state machine has
// applied every command whose Propose had returned by then on any host.
func (s *Sequencer) ConfirmLeader(ctx context.Context) (term, applied uint64, err error) {
	s.init()
	done := make(chan outcome, 1)
	err = s.post(ctx, func() {
		s.readID++
		if err := s.core.Read(s.now(), s.readID); err != nil {
			done <- outcome{err: err}
			return
		}
		s.reads[s.readID] = done
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

// Leader returns the leader this host knows. A leader without a valid lease does not name itself.
func (s *Sequencer) Leader() (id, addr string, term uint64) {
	s.init()
	v := s.view.Load()
	id = v.status.Leader
	if id == s.HostID && !clocker.Now().Before(v.lease) {
		return "", "", v.status.Term
	}
	m, _ := v.status.Members.Find(id)
	return id, m.Addr, v.status.Term
}

// LeaseUntil returns the time before which no other host can lead, as far as a quorum has confirmed; it is zero on a host
// that does not lead.
func (s *Sequencer) LeaseUntil() (term uint64, until time.Time) {
	s.init()
	v := s.view.Load()
	return v.status.Term, v.lease
}

// OnLeader registers a callback for the begin and end of this host's leadership. It begins once everything committed
// before it is applied. Calls are made in order by one goroutine.
func (s *Sequencer) OnLeader(fn func(term uint64, leader bool)) {
	s.observers.Add(fn)
}

// Members returns the newest membership this host knows.
func (s *Sequencer) Members() replicator.Membership {
	s.init()
	return s.view.Load().status.Members
}

// Status returns a description of this host for operators.
func (s *Sequencer) Status() (status replicator.Status, applied uint64) {
	s.init()
	v := s.view.Load()
	return v.status, v.applied
}

// Folder returns the incarnation of the data folder once it is open.
func (s *Sequencer) Folder() (incarnation uint64, open bool) {
	if f := s.folder.Load(); f != nil {
		return *f, true
	}
	return 0, false
}

// AddLearner adds a host that receives the log and does not vote.
func (s *Sequencer) AddLearner(ctx context.Context, id, addr string) error {
	return s.change(ctx, replicator.Change{Kind: replicator.AddLearner, ID: id, Addr: addr})
}

// Promote makes a learner a voter. It returns a *replicator.NotCaughtUpError while the learner lacks entries.
func (s *Sequencer) Promote(ctx context.Context, id string) error {
	return s.change(ctx, replicator.Change{Kind: replicator.Promote, ID: id})
}

// Remove removes a host from the membership.
func (s *Sequencer) Remove(ctx context.Context, id string) error {
	return s.change(ctx, replicator.Change{Kind: replicator.Remove, ID: id})
}

func (s *Sequencer) change(ctx context.Context, c replicator.Change) error {
	_, err := s.propose(ctx, func() (uint64, uint64, error) { return s.core.ChangeMembers(s.now(), c) })
	return err
}
