package controller

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/membershipplanner"
)

const (
	// voterAliveTimeout is the time without heartbeats up to which a control host counts as alive. It spans several
	// heartbeats, so that a single lost one does not change the voters.
	voterAliveTimeout = 6 * heartbeater.HeartbeatInterval
	// learnerRemovalTimeout is the time without heartbeats after which a learner is removed. It exceeds a restart and a short
	// partition.
	learnerRemovalTimeout = 5 * time.Second
	// firstReportTimeout is the time after the start of a leadership in which all members have sent a heartbeat if they can. A
	// member that has not is then taken as silent since long before.
	firstReportTimeout = 3 * heartbeater.HeartbeatInterval
	// voterChangeName is the name of a voter change in leadership.inFlight.
	voterChangeName = "voters"
)

// newView returns an empty view for a leadership that begins now.
func (s *Service) newView(now time.Duration) *membershipplanner.View {
	return &membershipplanner.View{
		Options: membershipplanner.Options{
			TargetVoters: s.Voters, HeartbeatTimeout: voterAliveTimeout, RemoveLearnerAfter: learnerRemovalTimeout, Standbys: s.Voters / 2,
		},
		StartedAt: now, FirstReportTimeout: firstReportTimeout, HasLeft: s.hasLeft,
	}
}

// members returns the members of the log as far as this host knows.
func (s *Service) members() membershipplanner.Members {
	status, _ := s.Log.Status()
	return membershipplanner.Members{
		Membership: status.Members, Unresponsive: status.Unresponsive, Lagging: status.Lagging, Committed: status.MembersCommitted,
	}
}

// replacing reports whether another host is about to take the place of a voter that leaves. The caller holds s.mu.
func (s *Service) replacing(lead *leadership, now time.Duration, id string) bool {
	members := s.members()
	m, _ := members.Find(id)
	if s.Voters == 0 || !m.Voter {
		return false
	}
	change, known := lead.voters.Next(now, members)
	return !known || lead.inFlight[voterChangeName] || change.Action != membershipplanner.None && !change.LearnersOnly
}

// hasLeft reports whether the last process of a host has been removed from the members, under this leader or an earlier one.
func (s *Service) hasLeft(id string) bool {
	m, known := s.StateMachine.Member(id)
	return known && m.Removed
}

// reconcileVoters starts the next voter change. The caller holds s.mu.
func (s *Service) reconcileVoters(ctx context.Context, lead *leadership, now time.Duration) {
	if s.Voters == 0 || lead.inFlight[voterChangeName] {
		return
	}
	change, _ := lead.voters.Next(now, s.members())
	if change.Action == membershipplanner.None {
		return
	}
	lead.inFlight[voterChangeName] = true
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		err := s.changeVoters(ctx, change)
		s.mu.Lock()
		delete(lead.inFlight, voterChangeName)
		s.mu.Unlock()
		if err != nil {
			klog.V(1).Infof("controller: voter change failed action=%s host=%s reason=%q", change.Action, change.ID, err)
			return
		}
		klog.Infof("controller: voters changed action=%s host=%s reason=%q voters=%d term=%d", change.Action, change.ID, change.Reason,
			s.members().Voters(), lead.term)
	})
}

func (s *Service) changeVoters(ctx context.Context, c membershipplanner.Change) error {
	switch c.Action {
	case membershipplanner.Add:
		return s.Log.AddLearner(ctx, c.ID, c.Addr)
	case membershipplanner.Promote:
		return s.Log.Promote(ctx, c.ID)
	case membershipplanner.Remove:
		return s.Log.Remove(ctx, c.ID)
	}
	return nil
}
