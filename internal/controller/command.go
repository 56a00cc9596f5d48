package controller

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/failuredetector"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Limits on the revisions and the total size of the patches in one response to a history query.
const (
	maxHistoryRevisions = 1_000
	maxHistoryBytes     = 4 << 20
)

func (s *Service) handleSubmit(ctx context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	req := &controllerpb.SubmitRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, eris.Wrap(err, "decode command")
	}
	cmd := req.GetCommand()
	configuration := false
	switch body := cmd.GetBody().(type) {
	case *controllerpb.Command_PatchConfig:
		s.StateMachine.CheckPatch(body.PatchConfig)
		configuration = true
	case *controllerpb.Command_ImportConfig, *controllerpb.Command_SetRollout:
		configuration = true
	case *controllerpb.Command_IntendOrder, *controllerpb.Command_ConcludeOrder, *controllerpb.Command_WithdrawOrder:
	default:
		failure := marshaller.EncodeFailure(&marshaller.MalformedCommandError{Reason: "clients may not send this command"})
		return proto.Marshal(&controllerpb.SubmitReply{Result: &controllerpb.Result{Failure: failure}})
	}
	s.mu.Lock()
	ready := s.leadership != nil
	s.mu.Unlock()
	if !ready {
		commandCounts.Add("redirected", 1)
		return proto.Marshal(&controllerpb.SubmitReply{Redirect: s.redirect("not the leader")})
	}
	result, err := s.propose(ctx, cmd)
	if err != nil {
		commandCounts.Add("uncertain", 1)
		// The command may still commit. The client retries it, which is safe because commands are idempotent.
		return proto.Marshal(&controllerpb.SubmitReply{Redirect: s.redirect(err.Error())})
	}
	if code := result.GetFailure().GetCode(); code != "" {
		commandCounts.Add(code, 1)
	} else {
		if configuration {
			if reason := s.awaitVoters(ctx); reason != "" {
				commandCounts.Add("uncertain", 1)
				return proto.Marshal(&controllerpb.SubmitReply{Redirect: s.redirect(reason)})
			}
		}
		commandCounts.Add("applied", 1)
	}
	return proto.Marshal(&controllerpb.SubmitReply{Result: result})
}

func (s *Service) handleQuery(ctx context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	req := &controllerpb.QueryRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, eris.Wrap(err, "decode query")
	}
	lead, reason := s.confirmLeadership(ctx)
	if lead == nil {
		return proto.Marshal(&controllerpb.QueryReply{Redirect: s.redirect(reason)})
	}
	reply := &controllerpb.QueryReply{}
	version, document, _ := s.StateMachine.Config()
	reply.ConfigVersion = version
	switch q := req.GetBody().(type) {
	case *controllerpb.QueryRequest_Config:
		reply.Document = document
	case *controllerpb.QueryRequest_History:
		bytes := 0
		for _, r := range s.StateMachine.History(q.History.GetFrom(), min(int(q.History.GetLimit()), maxHistoryRevisions)) {
			if bytes += len(r.Patch); bytes > maxHistoryBytes && len(reply.Revisions) > 0 {
				break
			}
			reply.Revisions = append(reply.Revisions, marshaller.RevisionToProto(r))
		}
	case *controllerpb.QueryRequest_Status:
		reply.Status = s.status(lead, version)
	case *controllerpb.QueryRequest_Order:
		if record, ok := s.StateMachine.Order(marshaller.KeyFromProto(q.Order.GetKey())); ok {
			reply.Order = marshaller.OrderToProto(record)
		}
	case *controllerpb.QueryRequest_Rollouts:
		reply.Rollouts, reply.ClockMs = s.StateMachine.Rollouts(), s.StateMachine.ClockMS()
	}
	return proto.Marshal(reply)
}

func (s *Service) status(lead *leadership, version uint64) *controllerpb.Status {
	members, _ := s.StateMachine.Members()
	orders, bytes := s.StateMachine.Orders()
	_, _, cfg := s.StateMachine.Config()
	roles := s.StateMachine.Roles()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	level, _ := lead.permits.Level()
	out := &controllerpb.Status{
		Leader: s.HostID, Term: lead.term, ConfigVersion: version, ClosedBelow: int64(level.ClosedBelow),
		Orders: int64(orders), OrderBytes: bytes,
	}
	for _, m := range members {
		p := failuredetector.Process{Host: m.Host, Incarnation: m.Incarnation}
		heartbeat, silence := lead.detector.LastHeartbeat(now, p)
		out.Members = append(out.Members, &controllerpb.MemberStatus{
			Member: m.ToProto(), State: string(lead.detector.State(now, p)), ConfigVersion: heartbeat.ConfigVersion,
			SilentMs: silence.Milliseconds(), Draining: heartbeat.Draining,
		})
	}
	for _, role := range configuredRoles(cfg) {
		out.Roles = append(out.Roles, marshaller.RoleToProto(role, roles[role]))
	}
	return out
}

func (s *Service) handleVoters(ctx context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	req := &controllerpb.VoterRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, eris.Wrap(err, "decode change of voters")
	}
	if lead, reason := s.confirmLeadership(ctx); lead == nil {
		return proto.Marshal(&controllerpb.VoterReply{Redirect: s.redirect(reason)})
	}
	var err error
	switch req.GetAction() {
	case "add":
		err = s.Log.AddLearner(ctx, req.GetId(), req.GetAddr())
	case "promote":
		err = s.Log.Promote(ctx, req.GetId())
	case "remove":
		err = s.Log.Remove(ctx, req.GetId())
	default:
		err = eris.Errorf("unknown action %q", req.GetAction())
	}
	reply := &controllerpb.VoterReply{}
	if err != nil {
		reply.Error = err.Error()
	}
	return proto.Marshal(reply)
}
