package heartbeater_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
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

// leaderNetwork records the heartbeats of an agent and answers as the leader.
type leaderNetwork struct {
	heartbeater.Network
	heartbeats []*controllerpb.Heartbeat
}

func (n *leaderNetwork) Call(_ context.Context, _, _ string, req, resp proto.Message) error {
	n.heartbeats = append(n.heartbeats, req.(*controllerpb.Heartbeat))
	resp.(*controllerpb.HeartbeatReply).Incarnation = 1
	return nil
}

// Guards against a host that counts as served by its parent in the relay tree though the parent has confirmed another version than
// the active one. The leader then leaves a document out, and the host asks less often.
func TestParentsConfirmationOfAnotherVersion(t *testing.T) {
	for name, confirmed := range map[string]uint64{"lower": 1, "active": 2, "higher, without its document": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &leaderNetwork{}
				a := &heartbeater.Agent{
					HostID: "h", Network: network, ControlHosts: []string{"c"},
					Clock: &clocker.Clock{Suspended: func() time.Duration { return 0 }},
				}
				a.ApplyRelayedConfig(2, []byte("{}"), time.Time{})
				a.ApplyRelayedConfig(confirmed, nil, a.Clock.Now())
				ctx, cancel := context.WithTimeout(t.Context(), heartbeater.HeartbeatInterval/2)
				defer cancel()
				if err := a.Run(ctx); err != nil {
					t.Fatal(err)
				}
				if len(network.heartbeats) == 0 || network.heartbeats[0].GetRelayed() != (confirmed == 2) {
					t.Errorf("heartbeats %v; want relayed only for the active version", network.heartbeats)
				}
			})
		})
	}
}
