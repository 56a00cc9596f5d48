package sequencer_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer"
)

// hookedFS calls hooks around writes and syncs of one host.
type hookedFS struct {
	noSync
	full   atomic.Bool
	syncs  atomic.Int64
	synced atomic.Pointer[func()]
}

type hookedFile struct {
	persister.File
	fs *hookedFS
}

func (f *hookedFS) OpenFile(name string, flag int) (persister.File, error) {
	file, err := f.noSync.OpenFile(name, flag)
	return &hookedFile{File: file, fs: f}, err
}

func (f *hookedFile) Write(b []byte) (int, error) {
	if f.fs.full.Load() {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *hookedFile) Sync() error {
	f.fs.syncs.Add(1)
	// A sync takes time, in which further proposals arrive.
	time.Sleep(time.Millisecond)
	if hook := f.fs.synced.Load(); hook != nil {
		(*hook)()
	}
	return nil
}

// hooked gives every host a hookedFS.
func hooked(files map[string]*hookedFS) func(*sequencer.Sequencer) {
	return func(s *sequencer.Sequencer) {
		if files[s.HostID] == nil {
			files[s.HostID] = &hookedFS{noSync: noSync{persister.OS{}}}
		}
		s.Files = files[s.HostID]
	}
}

// agree waits until all running hosts have applied the same number of commands and returns it.
func (c *cluster) agree() uint64 {
	c.t.Helper()
	for range 200 {
		counts := map[uint64]bool{}
		var count uint64
		for _, h := range c.hosts {
			count, _ = h.machine.get()
			counts[count] = true
		}
		if len(counts) == 1 {
			return count
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("hosts do not agree")
	return 0
}

// Guards against a command that is lost or applied twice when the leader dies between its sync and its answer.
func TestLeaderDiesBetweenSyncAndAnswer(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		files := map[string]*hookedFS{}
		c := newCluster(t, dir, 3, hooked(files))
		defer c.stopAll()
		c.write("first")
		leader := c.leader()
		// Nobody hears of the entry before the crash, so only the leader's file holds it.
		c.net.isolate(leader.HostID, true)
		died := make(chan struct{})
		kill := sync.OnceFunc(func() {
			leader.cancel()
			close(died)
		})
		files[leader.HostID].synced.Store(&kill)
		_, err := leader.Propose(context.Background(), []byte("second"))
		var uncertain *sequencer.UncertainError
		if !errors.As(err, &uncertain) {
			t.Errorf("proposal: %v, want an UncertainError", err)
		}
		<-died
		c.crash(leader.HostID)
		files[leader.HostID].synced.Store(nil)
		c.write("third")
		c.net.isolate(leader.HostID, false)
		c.start(leader.HostID, true)
		c.write("fourth")
		if got := c.agree(); got != 3 {
			t.Errorf("%d commands applied, want 3", got)
		}
	})
}

// Guards against a restart of all hosts, or one after many commands, that loses or repeats commands.
func TestRestartOfAllHosts(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, func(s *sequencer.Sequencer) { s.SnapshotEntries = 300 })
		defer func() { c.stopAll() }()
		for round := 1; round <= 2; round++ {
			leader := c.leader()
			for i := range 1000 {
				if _, err := leader.Propose(context.Background(), fmt.Appendf(nil, "%d", i)); err != nil {
					t.Fatal(err)
				}
			}
			c.stopAll()
			for _, id := range c.ids {
				c.start(id, round == 1) // the flag must not matter any more
			}
			c.leader()
			if got := c.agree(); got != uint64(round)*1000 {
				t.Errorf("%d commands after restart %d, want %d", got, round, round*1000)
			}
		}
	})
}

// Guards against a voter far behind that never catches up because the log it needs was compacted.
func TestFarBehindVoterGetsSnapshot(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, func(s *sequencer.Sequencer) { s.SnapshotEntries = 500 })
		defer c.stopAll()
		leader := c.leader()
		behind := "a"
		if leader.HostID == "a" {
			behind = "b"
		}
		c.net.isolate(behind, true)
		for i := range 3000 {
			if _, err := leader.Propose(context.Background(), fmt.Appendf(nil, "%d", i)); err != nil {
				t.Fatal(err)
			}
		}
		c.net.isolate(behind, false)
		if got := c.agree(); got != 3000 {
			t.Errorf("%d commands, want 3000", got)
		}
		c.crash(behind)
		c.start(behind, false)
		c.write("last")
		if got := c.agree(); got != 3001 {
			t.Errorf("%d commands after a restart, want 3001", got)
		}
	})
}

// Guards against a host that goes on after a failed write, acknowledges what it could not store, or takes the cluster down.
func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		files := map[string]*hookedFS{}
		c := newCluster(t, dir, 3, hooked(files))
		defer c.stopAll()
		c.write("first")
		leader := c.leader()
		files[leader.HostID].full.Store(true)
		if _, err := leader.Propose(context.Background(), []byte("second")); err == nil {
			t.Error("a leader with a full disk acknowledged a write")
		}
		if err := <-leader.ended; !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("Run: %v, want ENOSPC", err)
		}
		delete(c.hosts, leader.HostID)
		c.write("third")
		files[leader.HostID].full.Store(false)
		c.start(leader.HostID, false)
		c.write("fourth")
		// The second command was sent to the others before the failure, so it may have been committed.
		if got := c.agree(); got != 3 && got != 4 {
			t.Errorf("%d commands, want 3 or 4", got)
		}
	})
}

// Guards against a host with a lost folder that votes under its old id, even when it is told to form the cluster, and
// against a repair after which the loss of a second host stops the cluster.
func TestLostDiskAndRepair(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, nil)
		defer c.stopAll()
		ctx := context.Background()
		c.write("first")
		leader := c.leader()
		var followers []string
		for _, id := range c.ids {
			if id != leader.HostID {
				followers = append(followers, id)
			}
		}
		lost, second := followers[0], followers[1]
		c.crash(lost)
		if err := os.RemoveAll(filepath.Join(dir, lost)); err != nil {
			t.Fatal(err)
		}
		c.start(lost, true)
		c.write("second")
		time.Sleep(10 * time.Second)
		if count, _ := c.hosts[lost].machine.get(); count != 0 {
			t.Errorf("the host with a lost folder applied %d commands under its old id", count)
		}
		c.crash(lost)
		c.start("n", false)
		if err := leader.AddLearner(ctx, "n", "n"); err != nil {
			t.Fatal(err)
		}
		for {
			err := leader.Promote(ctx, "n")
			var behind *replicator.NotCaughtUpError
			if err == nil {
				break
			}
			if !errors.As(err, &behind) {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if err := leader.Remove(ctx, lost); err != nil {
			t.Fatal(err)
		}
		c.crash(second)
		c.write("third")
		c.crash(leader.HostID)
		c.start(second, false)
		c.write("fourth")
		if got := c.agree(); got != 4 {
			t.Errorf("%d commands, want 4", got)
		}
		if got := c.leader().Members().Voters(); got != 3 {
			t.Errorf("%d voters, want 3", got)
		}
	})
}

// Guards against a silent connection to one voter that delays the others. The time is virtual.
func TestSilentVoterDelaysNoOther(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, nil)
		defer c.stopAll()
		c.write("first")
		leader := c.leader()
		silent := "a"
		if leader.HostID == "a" {
			silent = "b"
		}
		c.net.setCut(leader.HostID, silent, true)
		started := time.Now()
		const writes = 1000
		for i := range writes {
			if _, err := leader.Propose(context.Background(), fmt.Appendf(nil, "%d", i)); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(started); took > writes*4*latency {
			t.Errorf("%d writes took %v with a silent voter", writes, took)
		}
	})
}

// Guards against a planned stop that leaves the cluster without a leader until an election timeout, and against a crash
// after which no new leader stands within about a second. The time is virtual.
func TestLeaderStopsAndCrashes(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 5, nil)
		defer c.stopAll()
		c.write("first")
		leader := c.leader()
		started := time.Now()
		if err := leader.Close(); err != nil {
			t.Fatal(err)
		}
		<-leader.ended
		delete(c.hosts, leader.HostID)
		c.write("second")
		if took := time.Since(started); took > replicator.DefaultElectionTimeout/2 {
			t.Errorf("planned change of leader took %v", took)
		}
		started = time.Now()
		c.crash(c.leader().HostID)
		c.write("third")
		if took := time.Since(started); took > time.Second {
			t.Errorf("new leader after a crash took %v", took)
		}
	})
}

// Guards against one sync per writer, against answers mixed up between writers, and against reads that miss a write.
func TestManyWritersShareSyncs(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		files := map[string]*hookedFS{}
		c := newCluster(t, dir, 3, hooked(files))
		defer c.stopAll()
		leader := c.leader()
		before := files[leader.HostID].syncs.Load()
		const writers, each = 64, 10
		var wg sync.WaitGroup
		for w := range writers {
			wg.Go(func() {
				for i := range each {
					command := fmt.Sprintf("%d/%d", w, i)
					result, err := leader.Propose(context.Background(), []byte(command))
					var n uint64
					var got string
					if _, scan := fmt.Sscanf(string(result), "%d:%s", &n, &got); err != nil || scan != nil || got != command {
						t.Errorf("result of %s: %q, %v", command, result, err)
					}
					if _, applied, err := leader.ConfirmLeader(context.Background()); err != nil || applied < n {
						t.Errorf("read after write %d: applied %d, %v", n, applied, err)
					}
				}
			})
		}
		wg.Wait()
		if syncs := files[leader.HostID].syncs.Load() - before; syncs > writers*each/4 {
			t.Errorf("%d syncs for %d writes", syncs, writers*each)
		}
	})
}

// Guards against callbacks that miss a change of leadership or come in the wrong order.
func TestOnLeader(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		seen := map[string][]bool{}
		c := newCluster(t, dir, 3, func(s *sequencer.Sequencer) {
			s.OnLeader(func(_ uint64, leader bool) {
				mu.Lock()
				defer mu.Unlock()
				seen[s.HostID] = append(seen[s.HostID], leader)
			})
		})
		defer c.stopAll()
		old := c.leader()
		c.net.isolate(old.HostID, true)
		next := c.leader(old.HostID)
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		if got := fmt.Sprint(seen[old.HostID], seen[next.HostID]); got != "[true false] [true]" {
			t.Errorf("callbacks %s", got)
		}
	})
}

// Guards against a host that starts with a damaged log and an error that does not name the place.
func TestDamagedLogPreventsStart(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 1, nil)
		for i := range 5 {
			c.write(fmt.Sprint("w", i))
		}
		c.stopAll()
		name := filepath.Join(dir, "a", "log")
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		data[len(data)/2] ^= 0xff
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
		var damage *persister.DamageError
		if err := <-c.start("a", true).ended; !errors.As(err, &damage) || damage.File != name || damage.Offset == 0 {
			t.Errorf("Run: %v, want a DamageError in %s", err, name)
		}
	})
}

// Guards against hosts started with different initial voters, which could form two clusters.
func TestDifferentInitialVoters(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, dir, 3, func(s *sequencer.Sequencer) {
			if s.HostID == "c" {
				s.Voters = map[string]string{"a": "a", "c": "c", "d": "d"}
			}
		})
		defer c.stopAll()
		time.Sleep(time.Minute)
		for id, h := range c.hosts {
			if status, _ := h.Status(); status.Term != 0 {
				t.Errorf("host %s is in term %d", id, status.Term)
			}
		}
	})
}

// Guards against settings that would form a cluster that cannot work.
func TestSettingsAreChecked(t *testing.T) {
	for name, s := range map[string]*sequencer.Sequencer{
		"nothing set":        {},
		"not a voter":        {HostID: "x", Voters: map[string]string{"a": "a"}},
		"even":               {HostID: "a", Voters: map[string]string{"a": "a", "b": "b"}},
		"heartbeat too slow": {HostID: "a", Voters: map[string]string{"a": "a"}, HeartbeatInterval: time.Second},
	} {
		if name != "nothing set" {
			s.DataDir, s.Transport, s.Machine, s.Bootstrap = t.TempDir(), newNetwork().attach("a"), &register{}, true
		}
		if err := s.Run(context.Background()); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
