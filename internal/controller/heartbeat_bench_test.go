package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// BenchmarkHeartbeat measures one heartbeat of a registered host over loopback to the leader of a cluster with one voter, and
// the sizes of its messages, by the number of members.
func BenchmarkHeartbeat(b *testing.B) {
	for _, members := range []int{9, 640} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) { benchmarkHeartbeat(b, members) })
	}
}

func benchmarkHeartbeat(b *testing.B, members int) {
	probe := &transporter.Transport{HostID: "c1", ListenAddr: "127.0.0.1:0"}
	if err := probe.Listen(); err != nil {
		b.Fatal(err)
	}
	addr := probe.Addr()
	_ = probe.Close()
	host := startControlHost(b, "c1", addr, b.TempDir(), map[string]string{"c1": addr})
	defer host.kill()
	if _, err := host.client.PatchConfig(b.Context(), controller.Patch{ID: "first", Body: []byte(initialDocument)}); err != nil {
		b.Fatal(err)
	}
	sendHeartbeat := func(i int, seq uint64, membersVersion, incarnation uint64) (*controllerpb.Heartbeat, *controllerpb.HeartbeatReply) {
		id := fmt.Sprintf("entry-%03d", i)
		hb := &controllerpb.Heartbeat{
			Host: id, Nonce: uint64(i) + 1, Incarnation: incarnation, Zone: "region-1-zone-2", Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			CallersAddr: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Seq: seq, ConfigVersion: 1, MembersVersion: membersVersion,
			Relayed: true, IntervalMs: 1000,
		}
		reply := &controllerpb.HeartbeatReply{}
		tr := &transporter.Transport{HostID: id, Zone: "z", ListenAddr: "127.0.0.1:0", Key: []byte("shared")}
		if err := tr.Listen(); err != nil {
			b.Fatal(err)
		}
		defer func() { _ = tr.Close() }()
		if err := tr.Call(context.Background(), addr, heartbeater.MethodHeartbeat, hb, reply); err != nil {
			b.Fatal(err)
		}
		return hb, reply
	}
	for i := range members {
		sendHeartbeat(i, 1, 0, 0)
	}
	_, full := sendHeartbeat(0, 2, 0, 1)
	b.ReportMetric(float64(proto.Size(full)), "B/first-reply")

	// One host repeats its heartbeat over a persistent connection.
	tr := &transporter.Transport{HostID: "entry-000", Zone: "z", ListenAddr: "127.0.0.1:0", Key: []byte("shared")}
	if err := tr.Listen(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = tr.Close() }()
	hb, reply := &controllerpb.Heartbeat{
		Host: "entry-000", Nonce: 1, Incarnation: 1, Zone: "region-1-zone-2", Addr: "10.0.0.0:7000", CallersAddr: "10.0.0.0:8000",
		ConfigVersion: 1, MembersVersion: full.GetMembersVersion(), Relayed: true, IntervalMs: 1000,
	}, &controllerpb.HeartbeatReply{}
	cpu, written := processUsage(b)
	began := time.Now()
	for i := range b.N {
		hb.Seq = uint64(1000 + i)
		if err := tr.Call(context.Background(), addr, heartbeater.MethodHeartbeat, hb, reply); err != nil {
			b.Fatal(err)
		}
	}
	cpuAfter, writtenAfter := processUsage(b)
	b.ReportMetric(float64((cpuAfter-cpu).Microseconds())/float64(b.N), "cpu-us/heartbeat")
	b.ReportMetric(float64(writtenAfter-written)/float64(b.N), "B-written/heartbeat")
	b.ReportMetric(float64(proto.Size(hb)), "B/heartbeat")
	b.ReportMetric(float64(proto.Size(reply)), "B/reply")
	b.ReportMetric(float64(time.Since(began).Microseconds())/float64(b.N), "us/heartbeat")
}
