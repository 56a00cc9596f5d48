package coordinator

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/attributor"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
)

// recordEvidence records evidence about parts of prompts and sends the new one to all hosts. The caller holds c.mu.
func (c *Coordinator) recordEvidence(now time.Time, seen []*coordinatorpb.Evidence) {
	var updates []attributor.Evidence
	for _, e := range DecodeEvidence(now, seen) {
		if c.evidence.Add(now, e) {
			updates = append(updates, e)
		}
	}
	if len(updates) == 0 {
		return
	}
	for _, s := range c.sessions {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Evidence = append(o.Evidence, EncodeEvidence(now, updates)...) })
	}
}

// EncodeEvidence returns the message form of evidence. Times are sent as ages, since the clocks of hosts differ.
func EncodeEvidence(now time.Time, evidence []attributor.Evidence) []*coordinatorpb.Evidence {
	var out []*coordinatorpb.Evidence
	for _, e := range evidence {
		m := &coordinatorpb.Evidence{
			Id: e.ID, Part: e.Parts, Survived: uint32(max(0, e.Survived)), AgeMs: encodeAge(now, e.At), Endpoint: e.Endpoint, Answering: e.Answering,
		}
		if e.Survived == 0 {
			m.BeganMs = encodeAge(now, e.Began)
		}
		out = append(out, m)
	}
	return out
}

// DecodeEvidence returns the evidence of a message that was received at now.
func DecodeEvidence(now time.Time, evidence []*coordinatorpb.Evidence) []attributor.Evidence {
	out := make([]attributor.Evidence, 0, len(evidence))
	for _, e := range evidence {
		out = append(out, attributor.Evidence{
			ID: e.GetId(), Parts: e.GetPart(), Survived: int(e.GetSurvived()), At: now.Add(-decodeAge(e.GetAgeMs())),
			Endpoint: e.GetEndpoint(), Began: now.Add(-decodeAge(e.GetBeganMs())), Answering: e.GetAnswering(),
		})
	}
	return out
}
