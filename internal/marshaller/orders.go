package marshaller

import (
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// KeyToProto returns the protobuf message of a key.
func KeyToProto(k recorder.Key) *controllerpb.Key {
	return &controllerpb.Key{Workspace: k.Workspace, Value: k.Value}
}

// KeyFromProto returns the key in a protobuf message.
func KeyFromProto(p *controllerpb.Key) recorder.Key {
	return recorder.Key{Workspace: p.GetWorkspace(), Value: p.GetValue()}
}

// IntentToProto returns the protobuf message of an intent.
func IntentToProto(in recorder.Intent) *controllerpb.IntendOrder {
	return &controllerpb.IntendOrder{
		Key: KeyToProto(in.Key), Digest: in.Digest, RequestId: in.RequestID, Owner: in.Owner,
		Endpoint: in.Endpoint, Attempt: in.Attempt,
	}
}

// IntentFromProto returns the intent in a protobuf message.
func IntentFromProto(p *controllerpb.IntendOrder) recorder.Intent {
	return recorder.Intent{
		Key: KeyFromProto(p.GetKey()), Digest: p.GetDigest(), RequestID: p.GetRequestId(), Owner: p.GetOwner(),
		Endpoint: p.GetEndpoint(), Attempt: p.GetAttempt(),
	}
}

// OutcomeToProto returns the protobuf message of an outcome.
func OutcomeToProto(o recorder.Outcome) *controllerpb.Outcome {
	return &controllerpb.Outcome{
		Outcome: o.Outcome, Status: int32(o.Status), Header: o.Header, Body: o.Body, Truncated: o.Truncated,
	}
}

// OutcomeFromProto returns the outcome in a protobuf message.
func OutcomeFromProto(p *controllerpb.Outcome) recorder.Outcome {
	return recorder.Outcome{
		Outcome: p.GetOutcome(), Status: int(p.GetStatus()), Header: p.GetHeader(), Body: p.GetBody(), Truncated: p.GetTruncated(),
	}
}

// OrderToProto returns the protobuf message of an order record.
func OrderToProto(r recorder.Record) *controllerpb.Order {
	o := &controllerpb.Order{
		Intent: IntentToProto(r.Intent), Phase: string(r.Phase), Granted: r.Granted,
		RecordedUnixMs: r.RecordedUnixMS, ChangedMs: r.ChangedMS,
	}
	if r.Outcome != nil {
		o.Outcome = OutcomeToProto(*r.Outcome)
	}
	return o
}

// OrderFromProto returns the order record in a protobuf message.
func OrderFromProto(p *controllerpb.Order) recorder.Record {
	r := recorder.Record{
		Intent: IntentFromProto(p.GetIntent()), Phase: recorder.Phase(p.GetPhase()), Granted: p.GetGranted(),
		RecordedUnixMS: p.GetRecordedUnixMs(), ChangedMS: p.GetChangedMs(),
	}
	if p.GetOutcome() != nil {
		out := OutcomeFromProto(p.GetOutcome())
		r.Outcome = &out
	}
	return r
}
