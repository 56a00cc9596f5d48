package heartbeater

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/packer"
)

const (
	// relayedFor is how long an answer of a parent keeps this host from asking the leader for documents.
	relayedFor = 1500 * time.Millisecond
	// maxRelayedAge is the age above which a parent's confirmation counts as none, so that this host asks the leader before
	// its own confirmation ends.
	maxRelayedAge = 2 * time.Second
)

// Config returns the configuration this host acts on. It is fresh while the last confirmation by the leader, directly or
// through parents, is at most FreshFor old. The version is 0 before the first confirmation.
func (a *Agent) Config() (version uint64, cfg *configurer.Config, fresh bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	fresh = a.version > 0 && a.Clock.Since(a.confirmedAt) < FreshFor
	return a.version, a.config, fresh
}

// Subscribe registers a function that is called with each new version. It is called at once when a version is known.
func (a *Agent) Subscribe(fn func(version uint64, cfg *configurer.Config)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	a.subscribers = append(a.subscribers, fn)
	if version, cfg := a.version, a.config; version > 0 {
		a.enqueue(func() { fn(version, cfg) })
	}
}

// Confirmation returns the version and document this host acts on, as it was received, and the time at which the leader last
// confirmed them.
func (a *Agent) Confirmation() (version uint64, document []byte, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version, a.document, a.confirmedAt
}

// Offer passes a version received from a parent of the relay tree with the time at which the leader confirmed it, on this
// host's clock. A zero time passes a version without confirming it; an empty document confirms the version held.
func (a *Agent) Offer(version uint64, document []byte, confirmedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.init()
	if !confirmedAt.IsZero() && a.Clock.Since(confirmedAt) < maxRelayedAge {
		a.relayedAt = a.Clock.Now()
	}
	a.acceptConfig(version, document, confirmedAt)
}

func (a *Agent) relayed(now time.Time) bool {
	return !a.relayedAt.IsZero() && now.Sub(a.relayedAt) < relayedFor
}

// acceptConfig moves to a higher version or confirms the one held. An answer that names a lower version is dropped.
func (a *Agent) acceptConfig(version uint64, document []byte, confirmedAt time.Time) {
	if version < a.version || version == 0 {
		return
	}
	if version > a.version {
		if len(document) == 0 {
			return
		}
		cfg, err := load(document)
		if err != nil {
			klog.Errorf("heartbeater: cannot use configuration version=%d reason=%q", version, err)
			return
		}
		klog.Infof("heartbeater: configuration in force host=%s version=%d previous=%d", a.HostID, version, a.version)
		a.version, a.document, a.config = version, document, cfg
		configVersion.Set(int64(version))
		for _, fn := range a.subscribers {
			a.enqueue(func() { fn(version, cfg) })
		}
	}
	// An earlier confirmation still counts for a higher version: at that time no version above the lower one was known.
	if confirmedAt.After(a.confirmedAt) {
		a.confirmedAt = confirmedAt
	}
}

// load reads a document that may be packed.
func load(packed []byte) (*configurer.Config, error) {
	document, err := packer.Unpack(packed)
	if err != nil {
		return nil, err
	}
	return configurer.Load(document)
}
