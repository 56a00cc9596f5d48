package heartbeater_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
)

// Guards against a host that treats its configuration as fresh after a suspension. The monotonic clock stops while a machine
// is suspended, so an old confirmation would appear recent and the host would accept keys that have been revoked since.
func TestConfigIsStaleAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		a := &heartbeater.Agent{HostID: "h", Clock: &clocker.Clock{Suspended: func() time.Duration { return suspended }}}
		a.ApplyRelayedConfig(1, []byte("{}"), a.Clock.Now())
		time.Sleep(heartbeater.ConfirmationTTL / 2)
		if _, _, fresh := a.Config(); !fresh {
			t.Error("the configuration is stale after a recent confirmation")
		}
		suspended = heartbeater.ConfirmationTTL
		if version, _, fresh := a.Config(); fresh || version != 1 {
			t.Errorf("version %d after a suspension of %v; want version 1, not fresh", version, suspended)
		}
		a.ApplyRelayedConfig(1, nil, a.Clock.Now())
		if _, _, fresh := a.Config(); !fresh {
			t.Error("the configuration is stale after a confirmation that followed the suspension")
		}
	})
}
