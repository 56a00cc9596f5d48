package proxier_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier/proxierpb"
)

// Guards against a crash that is held against an endpoint because this host alone, or a host of an earlier version beside it, cannot
// tell, and against endpoints that crash together and are taken for lost paths.
func TestDownForOthers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := balancer.Endpoint{ID: "e1", Addr: l.Addr().String(), Pool: "p", Zone: "z"}
	peer := func(word string) func(proxier.Stream) {
		switch word {
		case "reaches", "cut":
			dial := cutOff
			if word == "reaches" {
				dial = nil
			}
			list := []balancer.Endpoint{e}
			return serveFor(t, testHost(t, list, dial, nil), list, "", &atomic.Int64{})
		case "earlier":
			return func(s proxier.Stream) {
				receive(t, s, &proxierpb.Open{})
				_ = s.Send(&proxierpb.Opened{Accepted: true})
			}
		}
		return func(proxier.Stream) { time.Sleep(2 * time.Second) } // silent
	}
	for _, test := range []struct {
		peers []string
		want  bool
	}{
		{nil, false},
		{[]string{"reaches"}, false},
		{[]string{"cut"}, true},
		{[]string{"cut", "cut", "cut"}, true},
		{[]string{"cut", "cut", "reaches"}, false},
		{[]string{"cut", "earlier"}, false},
		{[]string{"earlier", "earlier"}, false},
		{[]string{"cut", "cut", "silent"}, true},
		{[]string{"silent"}, false},
	} {
		network := memoryNetwork{}
		for i, word := range test.peers {
			network[string(rune('a'+i))] = peer(word)
		}
		s := testHost(t, []balancer.Endpoint{e}, cutOff, network)
		if got := s.DownForOthers(context.Background(), e); got != test.want {
			t.Errorf("peers %v: down %t, want %t", test.peers, got, test.want)
		}
	}
}
