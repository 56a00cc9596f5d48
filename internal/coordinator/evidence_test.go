package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

// receivedEvidence returns the IDs of the evidence received by the host since the last call.
func (e *entryHost) receivedEvidence() []uint64 {
	out := []uint64{}
	for {
		select {
		case o := <-e.orders:
			for _, v := range o.GetEvidence() {
				out = append(out, v.GetId())
			}
		default:
			return out
		}
	}
}

// Guards against a prompt part that goes on crashing endpoints at hosts that never see one of its crashes: hosts that are
// connected, hosts that join later, and hosts of a restarted coordinator must receive the evidence, each piece once.
func TestEvidenceReachesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := func() *coordinator.Coordinator {
			c := &coordinator.Coordinator{HostID: "b", Network: unreachableNetwork{}, Peers: func() []sharder.Host { return nil }}
			c.Init()
			c.SetEndpoints(endpointList)
			return c
		}
		a := &coordinator.Coordinator{HostID: "a", Peers: func() []sharder.Host { return []sharder.Host{{ID: "b"}} }}
		peer := start()
		a.Network = directNetwork{to: peer}
		a.Init()
		a.SetEndpoints(endpointList)
		running := make(chan error, 1)
		runCtx, stop := context.WithCancel(ctx)
		go func() { running <- a.Run(runCtx) }()
		time.Sleep(time.Second)
		first, connected, remote := join(ctx, a, "h1", 1), join(ctx, a, "h2", 1), join(ctx, peer, "h3", 1)
		crash := &coordinatorpb.Evidence{Id: 1, Part: []uint64{7}, Endpoint: 1, Answering: true}
		unneeded := &coordinatorpb.Evidence{Id: 3, Part: []uint64{7}, Survived: 1, AgeMs: 1000}
		first.reports <- &coordinatorpb.Report{Evidence: []*coordinatorpb.Evidence{
			crash, crash, {Id: 2, Part: []uint64{7}, Survived: 6, AgeMs: 1000}, unneeded,
		}}
		time.Sleep(time.Second)
		got := map[string][]uint64{"connected": connected.receivedEvidence(), "of another coordinator": remote.receivedEvidence()}
		close(first.reports)
		<-first.ended
		later := join(ctx, a, "h4", 1)
		got["that joins later"] = later.receivedEvidence()
		// The next process of the peer reports, and is reached without a failed call in between.
		stop()
		<-running
		restarted := start()
		a.Network = directNetwork{to: restarted}
		payload, _ := proto.Marshal(&coordinatorpb.PeerReport{Host: "b", Process: 12345})
		if _, err := a.HandlePeer(payload); err != nil {
			t.Fatal(err)
		}
		go func() { running <- a.Run(ctx) }()
		time.Sleep(time.Second)
		joined := join(ctx, restarted, "h5", 1)
		got["of a restarted coordinator"] = joined.receivedEvidence()
		want := map[string][]uint64{"connected": {1, 2}, "of another coordinator": {1, 2}, "that joins later": {1, 2}, "of a restarted coordinator": {1, 2}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("evidence received by a host (-want +got):\n%s", diff)
		}
		cancel()
		<-running
		for _, e := range []*entryHost{connected, remote, later, joined} {
			close(e.reports)
			<-e.ended
		}
		time.Sleep(time.Second)
	})
}
