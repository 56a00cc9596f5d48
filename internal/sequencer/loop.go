package sequencer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

func seedOf(id string, at time.Time) uint64 { return xxhash.Sum64String(id) ^ uint64(at.UnixNano()) }

// loop owns the core. Everything that arrives during a sync is handled together afterwards, so many writers share a sync.
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
			s.drain()
		case <-timer.C:
		}
		s.core.Tick(s.now())
		if err := s.flush(ctx); err != nil {
			return err
		}
		s.publish()
		s.giveUpWaiters()
		if err := s.compact(); err != nil {
			return err
		}
	}
}

func (s *Sequencer) drain() {
	for range maxBatch {
		select {
		case fn := <-s.events:
			fn()
		default:
			return
		}
	}
}

// flush does the work of the core until there is none left.
func (s *Sequencer) flush(ctx context.Context) error {
	for {
		rd := s.core.Ready()
		if rd.Empty() {
			break
		}
		s.transmit(ctx, rd.Early)
		if err := s.persist(&rd); err != nil {
			return err
		}
		s.core.Advance()
		s.transmit(ctx, rd.Messages)
		if err := s.apply(&rd); err != nil {
			return err
		}
		s.answerReads(&rd)
	}
	// Exchanges whose message needs no answer end empty.
	for id, answer := range s.open {
		answer <- nil
		delete(s.open, id)
	}
	return nil
}

func (s *Sequencer) persist(rd *replicator.Ready) error {
	if rd.Snapshot != nil {
		entries, state := s.core.Durable()
		if err := s.store.SaveSnapshot(*rd.Snapshot, entries, state); err != nil {
			return eris.Wrap(err, "sequencer: keep received snapshot")
		}
		klog.Infof("sequencer: received snapshot host=%s index=%d bytes=%d", s.HostID, rd.Snapshot.Index, len(rd.Snapshot.Data))
		return nil
	}
	for _, e := range rd.Entries {
		s.logBytes += len(e.Data)
	}
	return eris.Wrap(s.store.Save(rd.State, rd.Entries), "sequencer: keep log")
}

func (s *Sequencer) apply(rd *replicator.Ready) error {
	if snap := rd.Snapshot; snap != nil {
		if err := s.Machine.Restore(snap.Data); err != nil {
			return eris.Wrapf(err, "sequencer: restore snapshot at index %d", snap.Index)
		}
		s.applied, s.snapIndex, s.appliedAt, s.logBytes = snap.Index, snap.Index, snap.Term, 0
		for index, w := range s.waiters {
			if index <= snap.Index {
				w.done <- outcome{err: &UncertainError{Index: index, Err: errLostTerm}}
				delete(s.waiters, index)
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
		result = s.Machine.Apply(e.Index, e.Data)
	case replicator.EntryMembers:
		klog.Infof("sequencer: membership host=%s index=%d members=%d voters=%d", s.HostID, e.Index, len(e.Members), e.Members.Voters())
	}
	s.applied, s.appliedAt = e.Index, e.Term
	w, ok := s.waiters[e.Index]
	if !ok {
		return
	}
	delete(s.waiters, e.Index)
	if w.term != e.Term {
		// Another leader's entry took the place, so the proposal is gone for certain.
		status := s.core.Status()
		m, _ := status.Members.Find(status.Leader)
		w.done <- outcome{err: &NotLeaderError{Leader: status.Leader, Addr: m.Addr}}
		return
	}
	w.done <- outcome{result: result, term: e.Term, applied: e.Index}
}

func (s *Sequencer) answerReads(rd *replicator.Ready) {
	for _, r := range rd.Reads {
		if done, ok := s.reads[r.ID]; ok {
			done <- outcome{term: s.core.Status().Term, applied: s.applied}
			delete(s.reads, r.ID)
		}
	}
	for _, id := range rd.FailedReads {
		if done, ok := s.reads[id]; ok {
			status := s.core.Status()
			m, _ := status.Members.Find(status.Leader)
			done <- outcome{err: &NotLeaderError{Leader: status.Leader, Addr: m.Addr}}
			delete(s.reads, id)
		}
	}
}

// giveUpWaiters answers proposals of a lost term that the next leader has neither committed nor replaced in time.
func (s *Sequencer) giveUpWaiters() {
	if s.view.Load().status.Role == replicator.Leader || len(s.waiters) == 0 {
		s.lostAt = 0
		return
	}
	if s.lostAt == 0 {
		s.lostAt = s.now()
	}
	if s.now() < s.lostAt+uncertainFor*s.ElectionTimeout {
		return
	}
	s.fail(&UncertainError{Err: errLostTerm})
}

// fail answers everything under way.
func (s *Sequencer) fail(err *UncertainError) {
	for index, w := range s.waiters {
		w.done <- outcome{err: &UncertainError{Index: index, Err: err.Err}}
		delete(s.waiters, index)
	}
}

// publish shows the state to callers and tells observers of a change of leadership.
func (s *Sequencer) publish() {
	old := s.view.Load()
	v := &view{status: s.core.Status(), applied: s.applied}
	if v.status.Role == replicator.Leader {
		if v.status.LeaseUntil > 0 {
			v.lease = s.epoch.Add(v.status.LeaseUntil)
		}
		v.leading = s.appliedAt == v.status.Term
	}
	s.view.Store(v)
	if v.status.Role != old.status.Role || v.status.Term != old.status.Term || v.status.Leader != old.status.Leader {
		klog.Infof("sequencer: role=%s host=%s term=%d leader=%s", v.status.Role, s.HostID, v.status.Term, v.status.Leader)
	}
	if old.leading && (!v.leading || v.status.Term != old.status.Term) {
		s.observers.Tell(old.status.Term, false)
	}
	if v.leading && (!old.leading || v.status.Term != old.status.Term) {
		s.observers.Tell(v.status.Term, true)
	}
}

// compact writes a snapshot when the log has grown enough.
func (s *Sequencer) compact() error {
	if s.applied-s.snapIndex < uint64(s.SnapshotEntries) && (s.logBytes < s.SnapshotBytes || s.applied == s.snapIndex) {
		return nil
	}
	started := time.Now()
	data, err := s.Machine.Snapshot()
	if err != nil {
		return eris.Wrapf(err, "sequencer: take snapshot at index %d", s.applied)
	}
	kept := uint64(keptEntries)
	if s.logBytes >= s.SnapshotBytes {
		kept = 0
	}
	snap := s.core.Compact(s.applied, data, s.applied-min(s.applied, kept))
	entries, state := s.core.Durable()
	if err := s.store.SaveSnapshot(snap, entries, state); err != nil {
		return eris.Wrap(err, "sequencer: keep snapshot")
	}
	s.snapIndex, s.logBytes = snap.Index, 0
	for _, e := range entries {
		s.logBytes += len(e.Data)
	}
	klog.Infof("sequencer: snapshot host=%s index=%d bytes=%d took=%v", s.HostID, snap.Index, len(data), time.Since(started))
	return nil
}
