package coordinator_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

// originOf asks a coordinator for the origin of a stream in pool p.
func originOf(t *testing.T, c *coordinator.Coordinator, request uint64) *coordinatorpb.OriginReply {
	t.Helper()
	payload, _ := proto.Marshal(&coordinatorpb.OriginRequest{Request: request, Pool: "p"})
	answer, err := c.HandleOrigin(payload)
	if err != nil {
		t.Fatal(err)
	}
	reply := &coordinatorpb.OriginReply{}
	if err := proto.Unmarshal(answer, reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

// Guards against a disk that is full or broken and stops the coordinator, or makes it claim what it does not know after a restart.
func TestHistoryFileNotUsable(t *testing.T) {
	dir := t.TempDir()
	damaged := filepath.Join(dir, "damaged")
	if err := os.WriteFile(damaged, []byte(`{"pools":`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{"no folder": filepath.Join(dir, "none", "file"), "folder in its place": dir, "damaged": damaged} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &coordinator.Coordinator{
					HostID: "a", Network: unreachableNetwork{}, Peers: func() []sharder.Host { return nil }, HistoryPath: path,
				}
				c.Init()
				c.SetEndpoints([]balancer.Endpoint{{ID: "e", Pool: "p", Version: "v1"}})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- c.Run(ctx) }()
				time.Sleep(59 * time.Second)
				got := []*coordinatorpb.OriginReply{originOf(t, c, 1)}
				time.Sleep(2 * time.Second)
				got = append(got, originOf(t, c, 1))
				want := []*coordinatorpb.OriginReply{{}, {Sole: true, Pool: "p", Version: "v1"}}
				if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
					t.Errorf("replies (-want +got):\n%s", diff)
				}
				cancel()
				<-ended
			})
		})
	}
}

// Guards against an answer from the history of a coordinator that is cut off from the others, whose list may be old.
func TestOriginWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &coordinator.Coordinator{
			HostID: "a", Network: unreachableNetwork{}, Peers: func() []sharder.Host { return []sharder.Host{{ID: "b"}, {ID: "c"}} }, Bootstrap: true,
		}
		c.Init()
		c.SetEndpoints([]balancer.Endpoint{{ID: "e", Pool: "p", Version: "v1"}})
		payload, _ := proto.Marshal(&coordinatorpb.PeerReport{Host: "b", Process: 1, Streams: []*coordinatorpb.StreamOrigins{
			{Pool: "p", Version: "v1", Request: []uint64{1}}, {Pool: "p", Version: "v2", Unjoinable: true, Request: []uint64{2}},
		}})
		if _, err := c.HandlePeer(payload); err != nil {
			t.Fatal(err)
		}
		got := []*coordinatorpb.OriginReply{originOf(t, c, 1), originOf(t, c, 2), originOf(t, c, 3)}
		want := []*coordinatorpb.OriginReply{
			{Known: true, Joinable: true, Pool: "p", Version: "v1"}, {Known: true, Pool: "p", Version: "v2"}, {},
		}
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Errorf("replies (-want +got):\n%s", diff)
		}
	})
}

// recordingNetwork passes reports on to another coordinator and keeps the numbers of origins in them.
type recordingNetwork struct {
	directNetwork
	counts *[]int
}

func (n recordingNetwork) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	if r, ok := req.(*coordinatorpb.PeerReport); ok && len(r.GetStreams()) > 0 {
		total := 0
		for _, g := range r.GetStreams() {
			total += len(g.GetRequest())
		}
		*n.counts = append(*n.counts, total)
	}
	return n.directNetwork.Call(ctx, addr, method, req, resp)
}

// Guards against one report to another coordinator with all that a large installation has begun in a minute.
func TestManyOriginsAreReportedInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		peer := newCoordinator(4)
		var counts []int
		a := &coordinator.Coordinator{HostID: "a", Peers: func() []sharder.Host { return []sharder.Host{{ID: "b"}} }, Network: recordingNetwork{directNetwork{to: peer}, &counts}}
		a.Init()
		a.SetEndpoints(endpointList)
		ended := make(chan error, 1)
		go func() { ended <- a.Run(ctx) }()
		time.Sleep(time.Second)
		host := join(ctx, a, "h1", 1)
		group := &coordinatorpb.StreamOrigins{Pool: "p", Version: "v1"}
		for i := range uint64(10000) {
			group.Request = append(group.Request, i)
		}
		host.reports <- &coordinatorpb.Report{Streams: []*coordinatorpb.StreamOrigins{group}}
		time.Sleep(time.Second)
		if !originOf(t, peer, 9999).GetKnown() {
			t.Error("the last stream is not known to the other coordinator")
		}
		cancel()
		<-ended
		if diff := cmp.Diff([]int{4096, 4096, 1808}, counts); diff != "" {
			t.Errorf("origins in reports (-want +got):\n%s", diff)
		}
		close(host.reports)
		<-host.ended
		time.Sleep(time.Second)
	})
}

// Guards against a minute without answers after the disk of a coordinator was lost, and against ignoring a version that only another
// coordinator has seen. A coordinator that has just started gets the history with the reply to its first report.
func TestHistoryOfOtherCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &coordinator.Coordinator{HostID: "a", Network: unreachableNetwork{}, Peers: func() []sharder.Host { return nil }}
		c.Init()
		c.SetEndpoints([]balancer.Endpoint{{ID: "e", Pool: "p", Version: "v1"}})
		got := []*coordinatorpb.OriginReply{originOf(t, c, 1)}
		report := func(r *coordinatorpb.PeerReport) *coordinatorpb.PeerReply {
			payload, _ := proto.Marshal(r)
			answer, err := c.HandlePeer(payload)
			if err != nil {
				t.Fatal(err)
			}
			reply := &coordinatorpb.PeerReply{}
			if err := proto.Unmarshal(answer, reply); err != nil {
				t.Fatal(err)
			}
			return reply
		}
		report(&coordinatorpb.PeerReport{Host: "b", Process: 1, Versions: &coordinatorpb.VersionHistory{
			CoveredMs: 90_000, Pools: []*coordinatorpb.PoolVersions{{Pool: "p", CoveredMs: 90_000, Version: []string{"v1"}, AgeMs: []uint64{0}}},
		}})
		got = append(got, originOf(t, c, 1))
		reply := report(&coordinatorpb.PeerReport{Host: "b", Process: 1, Young: true})
		wantVersions := &coordinatorpb.VersionHistory{
			CoveredMs: 90_000, Pools: []*coordinatorpb.PoolVersions{{Pool: "p", CoveredMs: 90_000, Version: []string{"v1"}, AgeMs: []uint64{0}}},
		}
		if diff := cmp.Diff(wantVersions, reply.GetVersions(), protocmp.Transform()); diff != "" {
			t.Errorf("history in the reply (-want +got):\n%s", diff)
		}
		report(&coordinatorpb.PeerReport{Host: "b", Process: 1, Versions: &coordinatorpb.VersionHistory{
			Pools: []*coordinatorpb.PoolVersions{{Pool: "p", Version: []string{"v2"}, AgeMs: []uint64{50_000}}},
		}})
		got = append(got, originOf(t, c, 1))
		time.Sleep(11 * time.Second)
		got = append(got, originOf(t, c, 1))
		sole := &coordinatorpb.OriginReply{Sole: true, Pool: "p", Version: "v1"}
		want := []*coordinatorpb.OriginReply{{}, sole, {Mixed: true}, sole}
		if diff := cmp.Diff(want, got, protocmp.Transform()); diff != "" {
			t.Errorf("replies (-want +got):\n%s", diff)
		}
	})
}
