package granter

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

func encodeDescriptor(d scheduler.Descriptor) *granterpb.Descriptor {
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

func decodeDescriptor(m *granterpb.Descriptor) scheduler.Descriptor {
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

func encodeRun(r scheduler.Run) *granterpb.Run {
	return &granterpb.Run{
		Descriptor_:  encodeDescriptor(r.Descriptor),
		Endpoint:     r.Endpoint,
		OutputTokens: int64(r.OutputTokens),
		RunningForNs: int64(r.RunningFor),
	}
}

func decodeRun(m *granterpb.Run) scheduler.Run {
	return scheduler.Run{
		Descriptor:   decodeDescriptor(m.GetDescriptor_()),
		Endpoint:     m.GetEndpoint(),
		OutputTokens: int(m.GetOutputTokens()),
		RunningFor:   time.Duration(m.GetRunningForNs()),
	}
}

// decodeEvent returns the scheduler's event for a message of an entry host, or nil when it has none.
func decodeEvent(host string, m *granterpb.EntryMessage) scheduler.Event {
	switch b := m.GetBody().(type) {
	case *granterpb.EntryMessage_Submit:
		return scheduler.Submit{Host: host, Descriptor: decodeDescriptor(b.Submit)}
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

// encodeAction returns the message and the entry host that an action goes to, or nil when it goes to no entry host.
func encodeAction(a scheduler.Action, heartbeat func(host string) uint64) (string, *granterpb.HolderMessage) {
	switch a := a.(type) {
	case scheduler.Grant:
		return a.Host, &granterpb.HolderMessage{Body: &granterpb.HolderMessage_Grant{Grant: &granterpb.Grant{
			RequestId: a.RequestID, Endpoint: a.Endpoint, HeartbeatSeq: heartbeat(a.Host), TtlNs: int64(a.TTL),
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
