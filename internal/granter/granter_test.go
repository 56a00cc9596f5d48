package granter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
)

// Guards against the use of a grant after the deadline computed by the entry host, and of a grant for an unknown request.
func TestGrantDeadline(t *testing.T) {
	s := &Session{Pool: "p", requests: map[string]*trackedRequest{}, wake: make(chan struct{}, 1)}
	var deadlines []time.Time
	s.Submit(scheduler.Descriptor{RequestID: "r"}, Callbacks{Grant: func(_ string, d time.Time) { deadlines = append(deadlines, d) }})
	sent := time.Now()
	hb := s.nextHeartbeat().GetHeartbeat().GetSeq()
	grant := func(id string, seq uint64, ttl time.Duration) {
		_, m := translator.EncodeAction(scheduler.Grant{Host: "h", RequestID: id, Endpoint: "e", TTL: ttl}, func(string) uint64 { return seq })
		s.onGrant(m.GetGrant())
	}
	grant("r", hb, -time.Second)
	grant("r", hb+heartbeatHistory, time.Hour)
	grant("unknown", hb, time.Hour)
	if len(deadlines) != 0 {
		t.Fatalf("an invalid grant was used: deadlines %v", deadlines)
	}
	var declined []string
	for _, m := range s.outbox {
		if d := m.GetDeclined(); d != nil {
			declined = append(declined, d.GetRequestId()+" "+d.GetReason())
		}
	}
	if diff := cmp.Diff([]string{"r expired", "r expired", "unknown gone"}, declined); diff != "" {
		t.Error(diff)
	}
	grant("r", hb, time.Hour)
	if len(deadlines) != 1 || deadlines[0].Before(sent.Add(time.Hour)) || deadlines[0].After(time.Now().Add(time.Hour)) {
		t.Errorf("deadlines %v, want one an hour after the heartbeat", deadlines)
	}
}
