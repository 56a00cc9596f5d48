package granter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
)

// Guards against grants that are used after the entry host's own deadline, and against grants of unknown requests.
func TestGrantDeadline(t *testing.T) {
	s := &Session{Pool: "p", requests: map[string]*tracked{}, wake: make(chan struct{}, 1)}
	var deadlines []time.Time
	s.Submit(scheduler.Descriptor{RequestID: "r"}, Callbacks{Grant: func(_ string, d time.Time) { deadlines = append(deadlines, d) }})
	sent := time.Now()
	hb := s.nextHeartbeat().GetHeartbeat().GetSeq()
	grant := func(id string, seq uint64, ttl time.Duration) {
		_, m := translator.EncodeAction(scheduler.Grant{Host: "h", RequestID: id, Endpoint: "e", TTL: ttl}, func(string) uint64 { return seq })
		s.onGrant(m.GetGrant())
	}
	grant("r", hb, -time.Second)
	grant("r", hb+heartbeatsKept, time.Hour)
	grant("unknown", hb, time.Hour)
	if len(deadlines) != 0 {
		t.Fatalf("a grant that is not valid was used: %v", deadlines)
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
		t.Errorf("deadlines %v", deadlines)
	}
}
