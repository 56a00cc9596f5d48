package heartbeater

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/compressor"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
)

const (
	// relayedTTL is how long after a confirmation by its parent a host does not request documents from the leader.
	relayedTTL = 1500 * time.Millisecond
	// maxRelayedAge is the age above which a parent's confirmation is disregarded, so that the host turns to the leader
	// before its own confirmation expires.
	maxRelayedAge = 2 * time.Second
)

// Config returns the active configuration of this host. It is fresh while the last confirmation by the leader, directly or
// through parents, is less than ConfirmationTTL old. The version is 0 before a configuration has been received.
func (a *Agent) Config() (version uint64, cfg *configurer.Config, fresh bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fresh = a.version > 0 && a.Clock.Since(a.confirmedAt) < ConfirmationTTL
	return a.version, a.config, fresh
}

// confirmation is the time at which the leader last confirmed a version.
type confirmation struct {
	version uint64
	at      time.Time
}

// IsFresh reports whether the leader has confirmed a version less than ConfirmationTTL ago. A subscriber that has not yet applied
// the active version passes the version that it has applied: the confirmation of a version says nothing about earlier ones.
func (a *Agent) IsFresh(version uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version == a.version {
		return version > 0 && a.Clock.Since(a.confirmedAt) < ConfirmationTTL
	}
	for _, c := range a.superseded {
		if c.version == version {
			return a.Clock.Since(c.at) < ConfirmationTTL
		}
	}
	return false
}

// supersede records the last confirmation of the active version before a higher one replaces it, and forgets expired ones.
func (a *Agent) supersede() {
	a.superseded = slices.DeleteFunc(a.superseded, func(c confirmation) bool { return a.Clock.Since(c.at) >= ConfirmationTTL })
	if a.version > 0 {
		a.superseded = append(a.superseded, confirmation{version: a.version, at: a.confirmedAt})
	}
}

// Subscribe registers a callback for each new version. If there is an active version, the callback is queued at once.
func (a *Agent) Subscribe(fn func(version uint64, cfg *configurer.Config)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.subscribers = append(a.subscribers, fn)
	if version, cfg := a.version, a.config; version > 0 {
		a.enqueueCallback(func() { fn(version, cfg) })
	}
}

// ConfirmedConfig returns the active version, its document as it was received, and the time at which the leader last confirmed
// them.
func (a *Agent) ConfirmedConfig() (version uint64, document []byte, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version, a.document, a.confirmedAt
}

// ApplyRelayedConfig applies a version received from a parent of the relay tree. confirmedAt is the time, on this host's
// clock, at which the leader confirmed it; a zero time applies the version without a confirmation. An empty document confirms
// the active version.
func (a *Agent) ApplyRelayedConfig(version uint64, document []byte, confirmedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.applyConfig(version, document, confirmedAt)
	if version == a.version && !confirmedAt.IsZero() && a.Clock.Since(confirmedAt) < maxRelayedAge {
		a.relayedAt = a.Clock.Now()
	}
}

// relayed reports whether a parent has confirmed the active version within relayedTTL, and the leader has named no higher version. A
// parent that is cut off from the leader goes on to confirm its version for some time.
func (a *Agent) relayed(now time.Time) bool {
	return a.version >= a.leaderVersion && !a.relayedAt.IsZero() && now.Sub(a.relayedAt) < relayedTTL
}

// applyConfig activates a higher version or confirms the active one. A lower version is ignored.
func (a *Agent) applyConfig(version uint64, document []byte, confirmedAt time.Time) {
	if version < a.version || version == 0 {
		return
	}
	if version > a.version {
		if len(document) == 0 {
			klog.V(1).Infof("heartbeater: a higher version exists host=%s version=%d higher=%d", a.HostID, a.version, version)
			return
		}
		cfg, err := load(document)
		if err != nil {
			klog.Errorf("heartbeater: cannot use configuration version=%d reason=%q", version, err)
			return
		}
		klog.Infof("heartbeater: configuration in force host=%s version=%d previous=%d", a.HostID, version, a.version)
		a.supersede()
		a.version, a.document, a.config = version, document, cfg
		configVersion.Set(int64(version))
		for _, fn := range a.subscribers {
			a.enqueueCallback(func() { fn(version, cfg) })
		}
	}
	// The time of an earlier confirmation remains valid after a change to a higher version: at that time the leader had no
	// version above the lower one.
	if confirmedAt.After(a.confirmedAt) {
		a.confirmedAt = confirmedAt
	}
}

// load decodes a document, which may be compressed.
func load(compressed []byte) (*configurer.Config, error) {
	document, err := compressor.Decompress(compressed)
	if err != nil {
		return nil, err
	}
	return configurer.DecodeAccepted(document)
}
