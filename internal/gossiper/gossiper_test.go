package gossiper

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/gossiper/gossiperpb"
)

func listen(t *testing.T, host, key string) *Gossiper {
	t.Helper()
	g := &Gossiper{HostID: host, Addr: "127.0.0.1:0", Key: []byte(key)}
	if err := g.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.conn.Close() })
	return g
}

// Two hosts tell each other their loads; a process with another key is not heard.
func TestExchange(t *testing.T) {
	a, b, stranger := listen(t, "a", "key"), listen(t, "b", "key"), listen(t, "s", "other")
	var mu sync.Mutex
	heard := map[string]uint32{}
	for _, g := range []*Gossiper{a, b, stranger} {
		g.Interval = 5 * time.Millisecond
		g.Busy = func() bool { return true }
		g.Peers = func() []string { return []string{a.conn.LocalAddr().String(), b.conn.LocalAddr().String()} }
		g.State = func() *gossiperpb.State {
			return &gossiperpb.State{Loads: &gossiperpb.Loads{Endpoint: []uint32{1}, Running: []uint32{uint32(len(g.HostID))}}}
		}
		g.Heard = func(s *gossiperpb.State) {
			mu.Lock()
			defer mu.Unlock()
			heard[g.HostID+" hears "+s.GetHost()] = s.GetLoads().GetRunning()[0]
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, g := range []*Gossiper{a, b, stranger} {
		wg.Go(func() { _ = g.Run(ctx) })
	}
	complete := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(heard) >= 2
	}
	for deadline := time.Now().Add(10 * time.Second); !complete() && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	if diff := cmp.Diff(map[string]uint32{"a hears b": 1, "b hears a": 1}, heard); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}

// Datagrams come late, twice and out of order. An old one would bring back loads that have ended.
func TestNewer(t *testing.T) {
	g := listen(t, "a", "key")
	var got []bool
	for _, s := range []*gossiperpb.State{
		{Host: "b", Process: 1, Seq: 2},
		{Host: "b", Process: 1, Seq: 2},
		{Host: "b", Process: 1, Seq: 1},
		{Host: "b", Process: 1, Seq: 3},
		{Host: "b", Process: 2, Seq: 1}, // the host has restarted
		{Host: "a", Process: 9, Seq: 9}, // its own datagram
	} {
		got = append(got, g.newer(s))
	}
	if diff := cmp.Diff([]bool{true, false, false, true, true, false}, got); diff != "" {
		t.Errorf("newer (-want +got):\n%s", diff)
	}
}

// Any bytes may arrive at an open port; none of them may end the process or count as a state.
func FuzzDecode(f *testing.F) {
	g := &Gossiper{Key: []byte("key")}
	f.Add([]byte("x"))
	f.Add(append([]byte{10, 1, 98}, make([]byte, macBytes)...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := g.decode(raw); err == nil && s != nil {
			t.Errorf("a datagram without the key was taken: %q", raw)
		}
	})
}
