package sequencer

import (
	"context"
	"errors"
	"expvar"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// fullDiskRetryInterval is the time between two attempts to write to a full disk.
const fullDiskRetryInterval = 100 * time.Millisecond

var fullDisks = expvar.NewInt("sequencer_full_disks")

func electionSeed(id string, at time.Time) uint64 {
	return xxhash.Sum64String(id) ^ uint64(at.UnixNano())
}

// loop runs the core. Events that arrive during a sync are handled together afterwards, so that concurrent writers share one
// sync (group commit).
func (s *Sequencer) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, s.core.Deadline()-s.now()))
		select {
		case <-ctx.Done():
			return nil
		case fn := <-s.events:
			fn()
			s.runQueuedEvents()
		case <-timer.C:
		}
		s.core.Tick(s.now())
		err := s.processReady(ctx)
		if err == nil {
			s.publish()
			s.expirePendingProposals()
			err = s.compact(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (s *Sequencer) runQueuedEvents() {
	for range maxEventsPerRound {
		select {
		case fn := <-s.events:
			fn()
		default:
			return
		}
	}
}

// processReady persists, sends and applies the output of the core until there is no more.
func (s *Sequencer) processReady(ctx context.Context) error {
	for {
		rd := s.core.Ready()
		if rd.Empty() {
			break
		}
		s.send(ctx, rd.EarlyMessages)
		if err := s.persist(ctx, &rd); err != nil {
			return err
		}
		s.core.Advance()
		s.send(ctx, rd.Messages)
		if err := s.apply(&rd); err != nil {
			return err
		}
		s.completeReads(&rd)
	}
	// RPCs whose message produces no response get an empty one.
	for id, response := range s.responses {
		response <- nil
		delete(s.responses, id)
	}
	return nil
}

func (s *Sequencer) persist(ctx context.Context, rd *replicator.Ready) error {
	if rd.Snapshot != nil {
		entries, state := s.core.Durable()
		if err := s.save(ctx, func() error { return s.store.SaveSnapshot(*rd.Snapshot, entries, state) }); err != nil {
			return eris.Wrap(err, "sequencer: save received snapshot")
		}
		klog.Infof("sequencer: received snapshot host=%s index=%d bytes=%d", s.HostID, rd.Snapshot.Index, len(rd.Snapshot.Data))
		return nil
	}
	for _, e := range rd.Entries {
		s.logBytes += len(e.Data)
	}
	return eris.Wrap(s.save(ctx, func() error { return s.store.Save(rd.State, rd.Entries) }), "sequencer: save log entries")
}

// save writes to the data folder. While the disk is full it tries again until ctx ends. This host then neither votes nor leads, like one whose
// disk hangs, and another one is elected; what needs no disk goes on.
func (s *Sequencer) save(ctx context.Context, write func() error) error {
	began := time.Now()
	for waiting := false; ; waiting = true {
		err := write()
		var full *persister.NoSpaceError
		if !errors.As(err, &full) {
			if waiting && err == nil {
				klog.InfoS("sequencer: disk takes data again", "host", s.HostID, "full_for", time.Since(began))
			}
			return err
		}
		if !waiting {
			fullDisks.Add(1)
			klog.ErrorS(err, "sequencer: disk is full, waiting for space", "host", s.HostID)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(fullDiskRetryInterval):
		}
	}
}

func (s *Sequencer) apply(rd *replicator.Ready) error {
	if snap := rd.Snapshot; snap != nil {
		if err := s.StateMachine.Restore(snap.Data); err != nil {
			return eris.Wrapf(err, "sequencer: restore snapshot at index %d", snap.Index)
		}
		s.applied, s.snapshotIndex, s.appliedTerm, s.logBytes = snap.Index, snap.Index, snap.Term, 0
		for index, w := range s.pendingProposals {
			if index <= snap.Index {
				w.done <- outcome{err: &UncertainError{Index: index, Err: errTermEnded}}
				delete(s.pendingProposals, index)
			}
		}
	}
	for _, e := range rd.Committed {
		s.applyEntry(e)
	}
	return nil
}

func (s *Sequencer) applyEntry(e replicator.Entry) {
	var result []byte
	switch e.Kind {
	case replicator.EntryCommand:
		result = s.StateMachine.Apply(e.Index, e.Data)
	case replicator.EntryMembers:
		klog.Infof("sequencer: membership changed host=%s index=%d members=%d voters=%d", s.HostID, e.Index, len(e.Members), e.Members.Voters())
	}
	s.applied, s.appliedTerm = e.Index, e.Term
	w, ok := s.pendingProposals[e.Index]
	if !ok {
		return
	}
	delete(s.pendingProposals, e.Index)
	if w.term != e.Term {
		// An entry of another term was committed at this index, so the proposal can no longer be committed.
		status := s.core.Status()
		m, _ := status.Members.Find(status.Leader)
		w.done <- outcome{err: &NotLeaderError{Leader: status.Leader, Addr: m.Addr}}
		return
	}
	w.done <- outcome{result: result, term: e.Term, applied: e.Index}
}

func (s *Sequencer) completeReads(rd *replicator.Ready) {
	for _, r := range rd.Reads {
		if done, ok := s.pendingReads[r.ID]; ok {
			done <- outcome{term: s.core.Status().Term, applied: s.applied}
			delete(s.pendingReads, r.ID)
		}
	}
	for _, id := range rd.FailedReads {
		if done, ok := s.pendingReads[id]; ok {
			status := s.core.Status()
			m, _ := status.Members.Find(status.Leader)
			done <- outcome{err: &NotLeaderError{Leader: status.Leader, Addr: m.Addr}}
			delete(s.pendingReads, id)
		}
	}
}

// expirePendingProposals fails the proposals of an ended term as uncertain if the next leader has neither committed nor
// overwritten their entries in time.
func (s *Sequencer) expirePendingProposals() {
	if s.published.Load().status.Role == replicator.Leader || len(s.pendingProposals) == 0 {
		s.leadershipLostAt = 0
		return
	}
	if s.leadershipLostAt == 0 {
		s.leadershipLostAt = s.now()
	}
	if s.now() < s.leadershipLostAt+pendingProposalTimeouts*s.ElectionTimeout {
		return
	}
	s.failPendingProposals(&UncertainError{Err: errTermEnded})
}

// failPendingProposals completes all pending proposals with an UncertainError that wraps err.Err.
func (s *Sequencer) failPendingProposals(err *UncertainError) {
	for index, w := range s.pendingProposals {
		w.done <- outcome{err: &UncertainError{Index: index, Err: err.Err}}
		delete(s.pendingProposals, index)
	}
}

// publish makes the current state visible to callers and notifies observers of a change of leadership.
func (s *Sequencer) publish() {
	old := s.published.Load()
	v := &publishedState{status: s.core.Status(), applied: s.applied}
	if v.status.Role == replicator.Leader {
		if v.status.LeaseUntil > 0 {
			v.leaseUntil = s.origin.Add(v.status.LeaseUntil)
		}
		v.ready = s.appliedTerm == v.status.Term
	}
	s.published.Store(v)
	if v.status.Role != old.status.Role || v.status.Term != old.status.Term || v.status.Leader != old.status.Leader {
		klog.Infof("sequencer: state changed role=%s host=%s term=%d leader=%s", v.status.Role, s.HostID, v.status.Term, v.status.Leader)
	}
	if old.ready && (!v.ready || v.status.Term != old.status.Term) {
		s.observers.Notify(old.status.Term, false)
	}
	if v.ready && (!old.ready || v.status.Term != old.status.Term) {
		s.observers.Notify(v.status.Term, true)
	}
}

// compact saves a snapshot and truncates the log once the log since the last snapshot reaches SnapshotEntries or
// SnapshotBytes.
func (s *Sequencer) compact(ctx context.Context) error {
	if s.applied-s.snapshotIndex < uint64(s.SnapshotEntries) && (s.logBytes < s.SnapshotBytes || s.applied == s.snapshotIndex) {
		return nil
	}
	started := time.Now()
	data, err := s.StateMachine.Snapshot()
	if err != nil {
		return eris.Wrapf(err, "sequencer: take snapshot at index %d", s.applied)
	}
	trailing := uint64(trailingEntries)
	if s.logBytes >= s.SnapshotBytes {
		trailing = 0
	}
	snap := s.core.Compact(s.applied, data, s.applied-min(s.applied, trailing))
	entries, state := s.core.Durable()
	if err := s.save(ctx, func() error { return s.store.SaveSnapshot(snap, entries, state) }); err != nil {
		return eris.Wrap(err, "sequencer: save snapshot")
	}
	s.snapshotIndex, s.logBytes = snap.Index, 0
	for _, e := range entries {
		s.logBytes += len(e.Data)
	}
	klog.Infof("sequencer: saved snapshot host=%s index=%d bytes=%d took=%v", s.HostID, snap.Index, len(data), time.Since(started))
	return nil
}
