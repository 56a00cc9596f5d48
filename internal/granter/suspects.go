package granter

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
)

const (
	// suspectMemory is the least time for which a suspect is remembered.
	suspectMemory = 10 * time.Minute
	// maxSuspects bounds the memory for suspects; the one that expires first goes first.
	maxSuspects = 4096
)

// rememberedSuspect is a suspect with the times that its durations meant when it arrived.
type rememberedSuspect struct {
	crashes      int64
	refusedUntil time.Time
	forgetAt     time.Time
}

// onSuspect remembers a suspect for the next holder, or forgets one that has been cleared.
func (s *Session) onSuspect(m *granterpb.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.GetCrashes() == 0 {
		delete(s.suspects, m.GetFingerprint())
		return
	}
	if s.suspects == nil {
		s.suspects = make(map[string]rememberedSuspect)
	}
	now := time.Now()
	refused := time.Duration(m.GetRefusedForNs())
	s.suspects[m.GetFingerprint()] = rememberedSuspect{
		crashes: m.GetCrashes(), refusedUntil: now.Add(refused), forgetAt: now.Add(max(refused, suspectMemory)),
	}
	if len(s.suspects) > maxSuspects {
		s.dropSuspect()
	}
	klog.V(1).Infof("granter: suspect pool=%s crashes=%d refused_for=%v", s.Pool, m.GetCrashes(), refused)
}

func (s *Session) dropSuspect() {
	first := ""
	for print, r := range s.suspects {
		if first == "" || r.forgetAt.Before(s.suspects[first].forgetAt) {
			first = print
		}
	}
	delete(s.suspects, first)
}

// recallSuspects returns what is still remembered, for a Hello.
func (s *Session) recallSuspects(now time.Time) []*granterpb.Suspect {
	var list []*granterpb.Suspect
	for print, r := range s.suspects {
		if !now.Before(r.forgetAt) {
			delete(s.suspects, print)
			continue
		}
		list = append(list, &granterpb.Suspect{
			Fingerprint: print, Crashes: r.crashes, RefusedForNs: int64(max(0, r.refusedUntil.Sub(now))),
		})
	}
	return list
}
