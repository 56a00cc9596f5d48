// Package translator converts between the events and actions of a scheduler and the protobuf messages of package granterpb.
package translator

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// EncodeDescriptor returns the message for a descriptor.
func EncodeDescriptor(d scheduler.Descriptor) *granterpb.Descriptor {
	return &granterpb.Descriptor{
		RequestId:       d.RequestID,
		Workspace:       d.Workspace,
		Caller:          d.Caller,
		Tier:            d.Tier,
		Kind:            d.Kind,
		Model:           d.Model,
		Adapter:         d.Adapter,
		PromptTokens:    int64(d.PromptTokens),
		MaxOutputTokens: int64(d.MaxOutputTokens),
		PrefixBlocks:    d.PrefixBlocks,
		Fingerprint:     d.Fingerprint,
		IdempotencyKey:  d.IdempotencyKey,
		Idempotent:      d.Idempotent,
		Zone:            d.Zone,
		WaitedNs:        int64(d.Waited),
		RemainingNs:     int64(d.Remaining),
	}
}

// DecodeDescriptor returns the descriptor in a message.
func DecodeDescriptor(m *granterpb.Descriptor) scheduler.Descriptor {
	return scheduler.Descriptor{
		RequestID:       m.GetRequestId(),
		Workspace:       m.GetWorkspace(),
		Caller:          m.GetCaller(),
		Tier:            m.GetTier(),
		Kind:            m.GetKind(),
		Model:           m.GetModel(),
		Adapter:         m.GetAdapter(),
		PromptTokens:    int(m.GetPromptTokens()),
		MaxOutputTokens: int(m.GetMaxOutputTokens()),
		PrefixBlocks:    m.GetPrefixBlocks(),
		Fingerprint:     m.GetFingerprint(),
		IdempotencyKey:  m.GetIdempotencyKey(),
		Idempotent:      m.GetIdempotent(),
		Zone:            m.GetZone(),
		Waited:          time.Duration(m.GetWaitedNs()),
		Remaining:       time.Duration(m.GetRemainingNs()),
	}
}

// EncodeRun returns the message for a run.
func EncodeRun(r scheduler.Run) *granterpb.Run {
	return &granterpb.Run{
		Descriptor_:  EncodeDescriptor(r.Descriptor),
		Endpoint:     r.Endpoint,
		OutputTokens: int64(r.OutputTokens),
		RunningForNs: int64(r.RunningFor),
	}
}

// EncodeSuspect returns the message for a suspect.
func EncodeSuspect(s scheduler.Suspect) *granterpb.Suspect {
	return &granterpb.Suspect{Fingerprint: s.Fingerprint, Crashes: int64(s.Crashes), RefusedForNs: int64(s.RefusedFor)}
}

// DecodeSuspect returns the suspect in a message.
func DecodeSuspect(m *granterpb.Suspect) scheduler.Suspect {
	return scheduler.Suspect{
		Fingerprint: m.GetFingerprint(), Crashes: int(m.GetCrashes()), RefusedFor: time.Duration(m.GetRefusedForNs()),
	}
}

// DecodeRun returns the run in a message.
func DecodeRun(m *granterpb.Run) scheduler.Run {
	return scheduler.Run{
		Descriptor:   DecodeDescriptor(m.GetDescriptor_()),
		Endpoint:     m.GetEndpoint(),
		OutputTokens: int(m.GetOutputTokens()),
		RunningFor:   time.Duration(m.GetRunningForNs()),
	}
}

// DecodeEvent returns the scheduler event for a message of an entry host, or nil if there is no event for the message.
func DecodeEvent(host string, m *granterpb.EntryMessage) scheduler.Event {
	switch b := m.GetBody().(type) {
	case *granterpb.EntryMessage_Submit:
		return scheduler.Submit{Host: host, Descriptor: DecodeDescriptor(b.Submit)}
	case *granterpb.EntryMessage_Started:
		return scheduler.Started{Host: host, RequestID: b.Started.GetRequestId(), Endpoint: b.Started.GetEndpoint()}
	case *granterpb.EntryMessage_Declined:
		return scheduler.Declined{
			Host:      host,
			RequestID: b.Declined.GetRequestId(),
			Endpoint:  b.Declined.GetEndpoint(),
			Reason:    scheduler.DeclineReason(b.Declined.GetReason()),
		}
	case *granterpb.EntryMessage_Progress:
		return scheduler.Progress{RequestID: b.Progress.GetRequestId(), OutputTokens: int(b.Progress.GetOutputTokens())}
	case *granterpb.EntryMessage_Finished:
		f := b.Finished
		return scheduler.Finished{
			RequestID:    f.GetRequestId(),
			Outcome:      f.GetOutcome(),
			PromptTokens: int(f.GetPromptTokens()),
			CachedTokens: int(f.GetCachedTokens()),
			OutputTokens: int(f.GetOutputTokens()),
		}
	case *granterpb.EntryMessage_Cancelled:
		return scheduler.Cancelled{RequestID: b.Cancelled.GetRequestId()}
	case *granterpb.EntryMessage_EndpointFailed:
		return scheduler.EndpointFailed{
			Endpoint:   b.EndpointFailed.GetEndpoint(),
			Cause:      scheduler.FailureCause(b.EndpointFailed.GetCause()),
			RequestIDs: b.EndpointFailed.GetRequestIds(),
		}
	}
	return nil
}

// EncodeAction returns the entry host that an action is sent to and the message, or nil if the action is not for an entry host.
// Function heartbeatSeq returns the heartbeat sequence number to include in a grant for a host.
func EncodeAction(a scheduler.Action, heartbeatSeq func(host string) uint64) (string, *granterpb.HolderMessage) {
	switch a := a.(type) {
	case scheduler.Grant:
		return a.Host, &granterpb.HolderMessage{Body: &granterpb.HolderMessage_Grant{Grant: &granterpb.Grant{
			RequestId: a.RequestID, Endpoint: a.Endpoint, HeartbeatSeq: heartbeatSeq(a.Host), TtlNs: int64(a.TTL),
		}}}
	case scheduler.Refuse:
		return a.Host, &granterpb.HolderMessage{Body: &granterpb.HolderMessage_Refuse{Refuse: &granterpb.Refuse{
			RequestId: a.RequestID, Reason: string(a.Reason), RetryAfterNs: int64(a.RetryAfter),
		}}}
	case scheduler.CancelRun:
		return a.Host, &granterpb.HolderMessage{Body: &granterpb.HolderMessage_CancelRun{CancelRun: &granterpb.CancelRun{
			RequestId: a.RequestID, Reason: a.Reason,
		}}}
	}
	return "", nil
}

// EncodeClaim returns the message for a claim.
func EncodeClaim(c indexer.Claim) *granterpb.Claim {
	return &granterpb.Claim{Workspace: c.Workspace, Key: c.Key, Digest: c.Digest, RequestId: c.RequestID}
}

// DecodeClaim returns the claim in a message.
func DecodeClaim(m *granterpb.Claim) indexer.Claim {
	return indexer.Claim{Workspace: m.GetWorkspace(), Key: m.GetKey(), Digest: m.GetDigest(), RequestID: m.GetRequestId()}
}

// EncodeLocation returns the message for a location.
func EncodeLocation(l indexer.Location) *granterpb.Located {
	return &granterpb.Located{
		RequestId: l.RequestID, Host: l.Host, Endpoint: l.Endpoint, State: l.State,
		Digest: l.Digest, Workspace: l.Workspace, HostLost: l.HostLost,
	}
}

// DecodeLocation returns the location in a message.
func DecodeLocation(m *granterpb.Located) indexer.Location {
	return indexer.Location{
		RequestID: m.GetRequestId(), Host: m.GetHost(), Endpoint: m.GetEndpoint(), State: m.GetState(),
		Digest: m.GetDigest(), Workspace: m.GetWorkspace(), HostLost: m.GetHostLost(),
	}
}
