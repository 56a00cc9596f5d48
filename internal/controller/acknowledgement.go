package controller

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// acknowledgementInterval is the interval at which a pending acknowledgement is reconsidered.
const acknowledgementInterval = 10 * time.Millisecond

// awaitVoters delays the acknowledgement of a committed configuration until no loss of data folders that is to be borne can take it away;
// see docs/design/acknowledgements.md. It returns the reason why the configuration cannot be acknowledged by this leader, or an empty
// string. The operator then sends the configuration again.
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
			klog.Infof("controller: acknowledgement withheld host=%s term=%d after=%v reason=%q", s.HostID, lead.term, s.now()-committedAt, reason)
			return reason
		case <-tick.C:
		}
	}
}

// votersIncomplete returns why a configuration that was committed at a time cannot be acknowledged yet, or an empty string. The
// caller holds s.mu.
func (s *Service) votersIncomplete(lead *leadership, committedAt time.Duration) string {
	if lead.inFlight[voterChangeName] {
		return "a change of the voters is in progress"
	}
	if err := lead.voters.CheckAcknowledgement(s.now(), committedAt, s.members()); err != nil {
		return err.Error()
	}
	return ""
}

// requestVoterHeartbeats requests heartbeats from the voters that have sent none since a time. The caller holds s.mu.
func (s *Service) requestVoterHeartbeats(ctx context.Context, lead *leadership, since time.Duration) {
	for _, m := range s.members().Membership {
		if m.Voter && !lead.voters.HeardSince(m.ID, since) {
			s.heartbeatRequester.Request(ctx, m.Addr, "acknowledgement")
		}
	}
}
