package heartbeater_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
)

// The steady clock stands still while a machine is suspended. A host that woke after seconds would take its confirmation from
// before as recent, and accept keys that were revoked meanwhile.
func TestSuspendedHostIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asleep := time.Duration(0)
		a := &heartbeater.Agent{HostID: "h", Clock: &clocker.Clock{Suspended: func() time.Duration { return asleep }}}
		a.Offer(1, []byte("{}"), a.Clock.Now())
		time.Sleep(heartbeater.FreshFor / 2)
		if _, _, fresh := a.Config(); !fresh {
			t.Error("a recent confirmation does not count")
		}
		asleep = heartbeater.FreshFor
		if version, _, fresh := a.Config(); fresh || version != 1 {
			t.Errorf("version %d counts as confirmed after a suspension of %v", version, asleep)
		}
		a.Offer(1, nil, a.Clock.Now())
		if _, _, fresh := a.Config(); !fresh {
			t.Error("a confirmation after the suspension does not count")
		}
	})
}
