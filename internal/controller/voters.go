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
	// voterRemovalTimeout is the time without heartbeats after which a voter may be removed, provided that enough other hosts
	// are alive. It exceeds a restart and a short partition, after which the voter continues with its data folder.
	voterRemovalTimeout = 5 * time.Second
	// voterChangeName is the name of a voter change in leadership.inFlight.
	voterChangeName = "voters"
)

// folderReport is the latest report of a control host's data folder in a heartbeat.
type folderReport struct {
	incarnation uint64
	addr        string
	receivedAt  time.Duration
}

// reconcileVoters starts the next voter change that is needed to match the voters to the control hosts that are alive. The
// caller holds s.mu.
func (s *Service) reconcileVoters(ctx context.Context, lead *leadership, now time.Duration) {
	if s.Voters == 0 || lead.inFlight[voterChangeName] {
		return
	}
	hosts := make([]membershipplanner.Host, 0, len(lead.folderReports))
	for id, f := range lead.folderReports {
		hosts = append(hosts, membershipplanner.Host{ID: id, Addr: f.addr, FolderIncarnation: f.incarnation, SinceHeartbeat: now - f.receivedAt})
	}
	// A voter without a heartbeat in this term counts as silent since the leadership began, and as not alive.
	members := s.Log.Members()
	for _, m := range members {
		if _, reported := lead.folderReports[m.ID]; !reported && m.Voter {
			hosts = append(hosts, membershipplanner.Host{ID: m.ID, Addr: m.Addr, FolderIncarnation: m.Incarnation, SinceHeartbeat: max(now-lead.startedAt, voterAliveTimeout+1)})
		}
	}
	change := membershipplanner.Next(members, hosts, membershipplanner.Options{
		TargetVoters: s.Voters, HeartbeatTimeout: voterAliveTimeout, RemoveAfter: voterRemovalTimeout,
	})
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
			s.Log.Members().Voters(), lead.term)
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
