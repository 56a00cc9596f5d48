package heartbeater_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

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

// Guards against a confirmation of the active version that also counts for an earlier one, which a subscriber may still use.
func TestConfirmationsOfEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &heartbeater.Agent{HostID: "h", Clock: &clocker.Clock{Suspended: func() time.Duration { return 0 }}}
		confirm := func(version uint64) { a.ApplyRelayedConfig(version, []byte("{}"), a.Clock.Now()) }
		fresh := func() (out []uint64) {
			for version := range uint64(5) {
				if a.IsFresh(version) {
					out = append(out, version)
				}
			}
			return out
		}
		check := func(when string, want ...uint64) {
			t.Helper()
			if diff := cmp.Diff(want, fresh()); diff != "" {
				t.Errorf("fresh versions %s (-want +got):\n%s", when, diff)
			}
		}
		check("before the first version")
		confirm(1)
		time.Sleep(2 * heartbeater.ConfirmationTTL / 3)
		confirm(3)
		check("after version 3", 1, 3)
		time.Sleep(2 * heartbeater.ConfirmationTTL / 3)
		a.ApplyRelayedConfig(3, nil, a.Clock.Now())
		check("after the confirmation of version 1 has expired", 3)
		time.Sleep(2 * heartbeater.ConfirmationTTL)
		confirm(4)
		check("after an interruption", 4)
	})
}
