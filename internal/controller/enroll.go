package controller

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/enroller"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
)

const (
	// voterAliveFor is the silence up to which a control host counts towards the voters: a few heartbeats, so that one lost
	// exchange changes nothing.
	voterAliveFor = 6 * heartbeater.HeartbeatInterval
	// voterRemoveAfter is the silence after which a voter may be removed once others have taken its place. It is above a
	// restart and a short partition, after which the voter continues with its folder.
	voterRemoveAfter = 5 * time.Second
	// enrollName is the name of a change of voters among the proposals in flight.
	enrollName = "voters"
)

// folder is what the heartbeats of a control host tell about its data folder.
type folder struct {
	incarnation uint64
	addr        string
	heard       time.Duration
}

// enroll makes the voters follow the control hosts that are alive. The caller holds the lock.
func (s *Service) enroll(ctx context.Context, lead *leadership, now time.Duration) {
	if s.Voters == 0 || lead.inFlight[enrollName] {
		return
	}
	hosts := make([]enroller.Host, 0, len(lead.folders))
	for id, f := range lead.folders {
		hosts = append(hosts, enroller.Host{ID: id, Addr: f.addr, Folder: f.incarnation, Silence: now - f.heard})
	}
	// A voter that this leader has not heard yet counts as heard when its term began.
	members := s.Log.Members()
	for _, m := range members {
		if _, heard := lead.folders[m.ID]; !heard && m.Voter {
			hosts = append(hosts, enroller.Host{ID: m.ID, Addr: m.Addr, Folder: m.Incarnation, Silence: max(now-lead.startedAt, voterAliveFor+1)})
		}
	}
	change := enroller.Next(members, hosts, enroller.Options{
		Voters: s.Voters, AliveFor: voterAliveFor, RemoveAfter: voterRemoveAfter,
	})
	if change.Action == enroller.None {
		return
	}
	lead.inFlight[enrollName] = true
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		err := s.changeVoters(ctx, change)
		s.mu.Lock()
		delete(lead.inFlight, enrollName)
		s.mu.Unlock()
		if err != nil {
			klog.V(1).Infof("controller: voters not changed action=%s host=%s reason=%q", change.Action, change.ID, err)
			return
		}
		klog.Infof("controller: voters changed action=%s host=%s reason=%q voters=%d term=%d", change.Action, change.ID, change.Reason,
			s.Log.Members().Voters(), lead.term)
	})
}

func (s *Service) changeVoters(ctx context.Context, c enroller.Change) error {
	switch c.Action {
	case enroller.Add:
		return s.Log.AddLearner(ctx, c.ID, c.Addr)
	case enroller.Promote:
		return s.Log.Promote(ctx, c.ID)
	case enroller.Remove:
		return s.Log.Remove(ctx, c.ID)
	}
	return nil
}
