package translator_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
)

const requestID = "entry-123.17.00012345"

// requestMessages returns the messages that an entry host and the coordinator of a pool exchange for one request.
func requestMessages() map[string]proto.Message {
	blocks := make([]uint64, 8)
	for i := range blocks {
		blocks[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	d := scheduler.Descriptor{
		RequestID: requestID, Workspace: "workspace-0123", Caller: "caller-1", Tier: "snappy", Kind: "chat", Model: "model-large-1",
		PromptTokens: 512, MaxOutputTokens: 448, PrefixBlocks: blocks, Fingerprint: fmt.Sprintf("%064x", 1), Zone: "region-1-zone-2",
		Remaining: time.Minute,
	}
	_, grant := translator.EncodeAction(scheduler.Grant{Host: "h", RequestID: requestID, Endpoint: "runner-0123", TTL: time.Second},
		func(string) uint64 { return 1_000_000 })
	entry := func(m *granterpb.EntryMessage) proto.Message { return m }
	return map[string]proto.Message{
		"submit":  entry(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Submit{Submit: translator.EncodeDescriptor(d)}}),
		"grant":   grant,
		"started": entry(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Started{Started: &granterpb.Started{RequestId: requestID, Endpoint: "runner-0123"}}}),
		"progress": entry(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Progress{
			Progress: &granterpb.Progress{RequestId: requestID, OutputTokens: 448},
		}}),
		"finished": entry(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Finished{Finished: &granterpb.Finished{
			RequestId: requestID, Outcome: "done", PromptTokens: 512, CachedTokens: 256, OutputTokens: 448,
		}}}),
		"heartbeat": entry(&granterpb.EntryMessage{Body: &granterpb.EntryMessage_Heartbeat{Heartbeat: &granterpb.Heartbeat{Seq: 1_000_000}}}),
	}
}

// BenchmarkMessage measures encoding and decoding, and the size of the messages without transport framing.
func BenchmarkMessage(b *testing.B) {
	for _, name := range []string{"submit", "grant", "started", "progress", "finished", "heartbeat"} {
		m := requestMessages()[name]
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				raw, err := proto.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
				if err := proto.Unmarshal(raw, m.ProtoReflect().New().Interface()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}
