package sequencer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/sequencer"
)

// TestBootstrap checks that new hosts form a cluster, elect a leader and apply the committed commands in order.
func TestBootstrap(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, dir, n, nil)
				defer c.crashAll()
				for i := range 10 {
					c.write(fmt.Sprint("w", i))
				}
				if count, last := c.leader().machine.get(); count != 10 || last != "w9" {
					t.Errorf("leader applied %d commands, the last is %q; want 10 and w9", count, last)
				}
			})
		})
	}
}

// TestIsolatedLeader checks that a leader that is isolated for minutes stops serving reads and commits no writes, and that on
// its return it neither deposes the new leader nor keeps an outdated state.
func TestIsolatedLeader(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, nil)
		defer c.crashAll()
		c.write("before")
		old := c.leader()
		c.network.setIsolated(old.HostID, true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := old.Propose(ctx, []byte("lost"))
		var uncertain *sequencer.UncertainError
		if !errors.As(err, &uncertain) {
			t.Errorf("Propose on the isolated leader: %v, want an UncertainError", err)
		}
		if id, _, _ := old.Leader(); id == old.HostID {
			t.Error("the isolated host still returns itself as leader")
		}
		if _, _, err := old.ConfirmLeader(ctx); err == nil {
			t.Error("the isolated host confirmed a read")
		}
		next := c.leader(old.HostID)
		for i := range 60 {
			if _, err := next.Propose(context.Background(), fmt.Appendf(nil, "w%d", i)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
		}
		_, _, term := next.Leader()
		c.network.setIsolated(old.HostID, false)
		time.Sleep(5 * time.Second)
		if id, _, now := next.Leader(); id != next.HostID || now != term {
			t.Errorf("after reconnecting, the leader is %q in term %d, want %q in term %d", id, now, next.HostID, term)
		}
		if count, last := old.machine.get(); count != 61 || last != "w59" {
			t.Errorf("the reconnected host applied %d commands, the last is %q; want 61 and w59", count, last)
		}
	})
}

// TestOneWayPartition checks that a link that is blocked in one direction leaves the cluster with a leader and does not cause
// repeated elections.
func TestOneWayPartition(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, nil)
		defer c.crashAll()
		c.write("before")
		leader := c.leader()
		for _, id := range c.ids {
			if id != leader.HostID {
				c.network.setLinkBlocked(leader.HostID, id, true)
				break
			}
		}
		time.Sleep(time.Minute)
		c.write("after")
		if _, _, term := c.leader().Leader(); term > 3 {
			t.Errorf("term %d after a minute with a one-way partition, want at most 3", term)
		}
	})
}
