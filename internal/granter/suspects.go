package granter

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
)

const (
	// minSuspectRetention is the minimum time for which a suspect is kept.
	minSuspectRetention = 10 * time.Minute
	// maxSuspects bounds the number of suspects; the one that expires first is evicted first.
	maxSuspects = 4096
)

// storedSuspect is a suspect whose durations have been converted to local times on arrival.
type storedSuspect struct {
	crashes      int64
	refusedUntil time.Time
	expiresAt    time.Time
}

// onSuspect stores a suspect for the Hello to the next holder, or deletes one that has been cleared.
func (s *Session) onSuspect(m *granterpb.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.GetCrashes() == 0 {
		delete(s.suspects, m.GetFingerprint())
		return
	}
	if s.suspects == nil {
		s.suspects = make(map[string]storedSuspect)
	}
	now := time.Now()
	refused := time.Duration(m.GetRefusedForNs())
	s.suspects[m.GetFingerprint()] = storedSuspect{
		crashes: m.GetCrashes(), refusedUntil: now.Add(refused), expiresAt: now.Add(max(refused, minSuspectRetention)),
	}
	if len(s.suspects) > maxSuspects {
		s.evictSuspect()
	}
	klog.V(1).Infof("granter: suspect pool=%s crashes=%d refused_for=%v", s.Pool, m.GetCrashes(), refused)
}

func (s *Session) evictSuspect() {
	earliest := ""
	for fingerprint, r := range s.suspects {
		if earliest == "" || r.expiresAt.Before(s.suspects[earliest].expiresAt) {
			earliest = fingerprint
		}
	}
	delete(s.suspects, earliest)
}

// unexpiredSuspects deletes the expired suspects and returns the others for a Hello. The caller holds s.mu.
func (s *Session) unexpiredSuspects(now time.Time) []*granterpb.Suspect {
	var list []*granterpb.Suspect
	for fingerprint, r := range s.suspects {
		if !now.Before(r.expiresAt) {
			delete(s.suspects, fingerprint)
			continue
		}
		list = append(list, &granterpb.Suspect{
			Fingerprint: fingerprint, Crashes: r.crashes, RefusedForNs: int64(max(0, r.refusedUntil.Sub(now))),
		})
	}
	return list
}
