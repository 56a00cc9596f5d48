package controller

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/membershipplanner"
)

const (
	// maxAcknowledgementDelay is how long changes of the voters may delay acknowledgements. It bounds the effect of a change that
	// cannot be completed.
	maxAcknowledgementDelay = 2 * time.Second
	// acknowledgementInterval is the interval at which a pending acknowledgement is reconsidered.
	acknowledgementInterval = 10 * time.Millisecond
)

// awaitVoters delays the acknowledgement of a committed configuration until the voters can lose as many data folders as Voters
// allows and still elect a leader that has it. A voter that has left or is lost counts towards the quorum but cannot vote, so a host
// that can take its place has to do so first. If there is none, the acknowledgement is not delayed. It returns the reason why the
// configuration cannot be acknowledged by this leader, or an empty string.
func (s *Service) awaitVoters(ctx context.Context) string {
	if s.Voters == 0 {
		return ""
	}
	s.mu.Lock()
	lead, committedAt := s.leadership, s.now()
	s.mu.Unlock()
	tick := time.NewTicker(acknowledgementInterval)
	defer tick.Stop()
	for requested := false; ; requested = true {
		s.mu.Lock()
		if lead == nil || s.leadership != lead {
			s.mu.Unlock()
			return "the term has changed"
		}
		reason := s.votersIncomplete(lead, committedAt)
		if reason != "" && !requested {
			klog.V(1).Infof("controller: acknowledgement delayed host=%s term=%d reason=%q", s.HostID, lead.term, reason)
			s.requestVoterHeartbeats(ctx, lead, committedAt)
		}
		s.mu.Unlock()
		if reason == "" {
			return ""
		}
		select {
		case <-ctx.Done():
			return reason
		case <-tick.C:
		}
	}
}

// votersIncomplete returns why a configuration that was committed at a time cannot be acknowledged yet, or an empty string. The
// caller holds s.mu.
func (s *Service) votersIncomplete(lead *leadership, committedAt time.Duration) string {
	now := s.now()
	if since := lead.votersChangingSince; since != 0 && now-since >= maxAcknowledgementDelay {
		return ""
	}
	change, known := s.planVoterChange(lead, now)
	switch {
	case !known:
		return "not all members have sent a heartbeat in this term"
	case change.Action != membershipplanner.None && !change.LearnersOnly:
		return "voters have to change: " + change.Reason
	case lead.inFlight[voterChangeName]:
		return "a change of the voters is in progress"
	case !s.hasStandby(lead, now):
		return ""
	}
	for _, m := range s.Log.Members() {
		if m.Voter && lead.folderReports[m.ID].receivedAt < committedAt {
			return "no heartbeat since the commit from voter " + m.ID
		}
	}
	return ""
}

// hasStandby reports whether a live learner can take the place of a voter. The caller holds s.mu.
func (s *Service) hasStandby(lead *leadership, now time.Duration) bool {
	for _, m := range s.Log.Members() {
		r, reported := lead.folderReports[m.ID]
		if !m.Voter && reported && !r.leaving && now-r.receivedAt <= voterAliveTimeout {
			return true
		}
	}
	return false
}

// requestVoterHeartbeats requests heartbeats from the voters that have sent none since a time. The caller holds s.mu.
func (s *Service) requestVoterHeartbeats(ctx context.Context, lead *leadership, since time.Duration) {
	for _, m := range s.Log.Members() {
		if m.Voter && lead.folderReports[m.ID].receivedAt < since {
			s.heartbeatRequester.Request(ctx, m.Addr, "acknowledgement")
		}
	}
}
