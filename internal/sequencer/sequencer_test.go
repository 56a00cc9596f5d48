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

// Guards against a first start that elects no leader, and against hosts that apply different commands.
func TestFirstStart(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, dir, n, nil)
				defer c.stopAll()
				for i := range 10 {
					c.write(fmt.Sprint("w", i))
				}
				if count, last := c.leader().machine.get(); count != 10 || last != "w9" {
					t.Errorf("leader applied %d commands, the last is %q", count, last)
				}
			})
		})
	}
}

// Guards against a leader isolated for minutes that keeps answering, commits writes of its side, unseats the healthy leader
// on its return or serves an old state.
func TestSilentIsolation(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, nil)
		defer c.stopAll()
		c.write("before")
		old := c.leader()
		c.net.isolate(old.HostID, true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := old.Propose(ctx, []byte("lost"))
		var uncertain *sequencer.UncertainError
		if !errors.As(err, &uncertain) {
			t.Errorf("write on the isolated side: %v, want an UncertainError", err)
		}
		if id, _, _ := old.Leader(); id == old.HostID {
			t.Error("the isolated host still names itself leader")
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
		c.net.isolate(old.HostID, false)
		time.Sleep(5 * time.Second)
		if id, _, now := next.Leader(); id != next.HostID || now != term {
			t.Errorf("after the return %q leads in term %d, want %q in term %d", id, now, next.HostID, term)
		}
		if count, last := old.machine.get(); count != 61 || last != "w59" {
			t.Errorf("the returned host applied %d commands, the last is %q", count, last)
		}
	})
}

// Guards against a one-way link that leaves the cluster without a leader or changes it again and again.
func TestOneWayPartition(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, nil)
		defer c.stopAll()
		c.write("before")
		leader := c.leader()
		for _, id := range c.ids {
			if id != leader.HostID {
				c.net.setCut(leader.HostID, id, true)
				break
			}
		}
		time.Sleep(time.Minute)
		c.write("after")
		if _, _, term := c.leader().Leader(); term > 3 {
			t.Errorf("term %d after a minute of a one-way link", term)
		}
	})
}
