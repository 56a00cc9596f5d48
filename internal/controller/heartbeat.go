package controller

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/compressor"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/failuredetector"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/membershipplanner"
	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// errStaleHeartbeat reports a heartbeat that arrived after a later one of the same host.
var errStaleHeartbeat = eris.New("a later heartbeat of this host was answered")

// redirect returns a Redirect to the current leader, or without a leader if none is known.
func (s *Service) redirect(reason string) *controllerpb.Redirect {
	id, addr, _ := s.Log.Leader()
	if id == s.HostID {
		// This host cannot confirm its leadership, so the sender must try the other control hosts.
		id, addr = "", ""
	}
	return &controllerpb.Redirect{Leader: id, Addr: addr, Reason: reason}
}

// confirmLeadership returns the leadership once a quorum has confirmed its term, or nil and the reason why it cannot be
// confirmed.
func (s *Service) confirmLeadership(ctx context.Context) (*leadership, string) {
	s.mu.Lock()
	ready := s.leadership != nil
	s.mu.Unlock()
	if !ready {
		return nil, "not the leader"
	}
	term, err := s.confirmer.ConfirmLeadership(ctx)
	if err != nil {
		return nil, err.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leadership == nil || s.leadership.term != term {
		return nil, "the term has changed"
	}
	return s.leadership, ""
}

func (s *Service) handleHeartbeat(ctx context.Context, peer transporter.Peer, payload []byte) ([]byte, error) {
	hb := &controllerpb.Heartbeat{}
	if err := proto.Unmarshal(payload, hb); err != nil {
		return nil, eris.Wrap(err, "decode heartbeat")
	}
	if err := checkSender(peer, hb.GetHost()); err != nil {
		return nil, err
	}
	lead, reason := s.confirmLeadership(ctx)
	if lead == nil {
		heartbeatCounts.Add("redirected", 1)
		return proto.Marshal(&controllerpb.HeartbeatReply{Redirect: s.redirect(reason)})
	}
	incarnation, superseded, err := s.registerProcess(ctx, hb)
	switch {
	case err != nil:
		return proto.Marshal(&controllerpb.HeartbeatReply{Redirect: s.redirect(err.Error())})
	case superseded:
		heartbeatCounts.Add("superseded", 1)
		return proto.Marshal(&controllerpb.HeartbeatReply{Superseded: true, Term: lead.term, Leader: s.HostID})
	}
	reply, err := s.processHeartbeat(lead, hb, incarnation)
	if err != nil {
		heartbeatCounts.Add("stale", 1)
		return nil, err
	}
	heartbeatCounts.Add("answered", 1)
	return proto.Marshal(reply)
}

// registerProcess returns the incarnation of the process that sent a heartbeat. If the process is new or its attributes have
// changed, it first commits them. It reports superseded if a newer process of the same host is registered.
func (s *Service) registerProcess(ctx context.Context, hb *controllerpb.Heartbeat) (incarnation uint64, superseded bool, err error) {
	m, known := s.StateMachine.Member(hb.GetHost())
	same := known && m.Nonce == hb.GetNonce()
	if !same && hb.GetIncarnation() != 0 && hb.GetIncarnation() <= m.Incarnation {
		return 0, true, nil
	}
	unchanged := same && m.Zone == hb.GetZone() && m.Addr == hb.GetAddr() && m.CallersAddr == hb.GetCallersAddr() && m.Control == hb.GetControl()
	if unchanged && (!m.Removed || hb.GetLeaving()) {
		return m.Incarnation, false, nil
	}
	result, err := s.propose(ctx, &controllerpb.Command{Body: &controllerpb.Command_PutMember{PutMember: &controllerpb.PutMember{
		Host: hb.GetHost(), Nonce: hb.GetNonce(), Zone: hb.GetZone(), Addr: hb.GetAddr(), Control: hb.GetControl(),
		CallersAddr: hb.GetCallersAddr(), PreviousIncarnation: m.Incarnation, KnownIncarnation: hb.GetIncarnation(),
	}}})
	if err != nil {
		return 0, false, err
	}
	m, _ = s.StateMachine.Member(hb.GetHost())
	return result.GetNumber(), m.Nonce != hb.GetNonce(), nil
}

// processHeartbeat records a heartbeat, renews the host's leases and returns the reply. The caller must have confirmed the
// leadership after the heartbeat arrived.
func (s *Service) processHeartbeat(lead *leadership, hb *controllerpb.Heartbeat, incarnation uint64) (*controllerpb.HeartbeatReply, error) {
	version, document, cfg := s.StateMachine.Config()
	changed, membersVersion, full := s.StateMachine.MembersSince(hb.GetMembersVersion())
	roles := s.StateMachine.Roles()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leadership != lead {
		return &controllerpb.HeartbeatReply{Redirect: s.redirect("the term has changed")}, nil
	}
	now := s.now()
	recorded := lead.detector.Record(now, failuredetector.Heartbeat{
		Process: failuredetector.Process{Host: hb.GetHost(), Incarnation: incarnation}, Seq: hb.GetSeq(),
		Interval: time.Duration(hb.GetIntervalMs()) * time.Millisecond, Draining: hb.GetDraining(), Leaving: hb.GetLeaving(),
		ConfigVersion: hb.GetConfigVersion(),
	})
	if !recorded {
		return nil, errStaleHeartbeat
	}
	if f := hb.GetFolder(); f != nil {
		lead.voters.Record(now, membershipplanner.Report{
			ID: hb.GetHost(), Addr: hb.GetAddr(), FolderIncarnation: f.GetIncarnation(), Leaving: hb.GetLeaving(),
		})
		if hb.GetLeaving() {
			s.requestStep()
		}
	}
	reply := &controllerpb.HeartbeatReply{
		Incarnation: incarnation, Term: lead.term, Leader: s.HostID, ConfigVersion: version, LeaseMs: LeaseTTL.Milliseconds(),
		MembersVersion: membersVersion, MembersFull: full,
	}
	reply.Replacing = hb.GetLeaving() && s.replacing(lead, now, hb.GetHost())
	relayed := hb.GetRelayed() && now-lead.announcedAt < relayTimeout
	if hb.GetConfigVersion() < version && !relayed {
		data, err := s.compressed.forVersion(version, document)
		if err != nil {
			return nil, err
		}
		reply.Document = data
	}
	for _, m := range changed {
		reply.Members = append(reply.Members, m.ToProto())
	}
	configured := configuredRoles(cfg)
	s.releaseLeases(lead, now, hb, incarnation, roles)
	s.renewLeases(lead, now, hb, incarnation, configured, roles, reply)
	for _, r := range hb.GetReports() {
		lead.permits.Report(now, r.GetRole(), decodeShedReport(r))
	}
	s.updateShedLevel(lead, now, cfg, roles)
	s.addShedLevel(lead, now, reply)
	return reply, nil
}

func decodeShedReport(r *controllerpb.ShedReport) permitter.Report {
	return permitter.Report{
		Epoch: r.GetEpoch(),
		Level: permitter.Level{
			Term: r.GetLevel().GetTerm(), Number: r.GetLevel().GetNumber(), ClosedBelow: int(r.GetLevel().GetClosedBelow()),
		},
		ConfirmedBelow: int(r.GetConfirmedBelow()), RequestsPermit: r.GetAsks(), RequestedTier: int(r.GetAskedTier()),
	}
}

// releaseLeases ends the leases that the host has released and requests a step, so that their roles are granted at once.
func (s *Service) releaseLeases(lead *leadership, now time.Duration, hb *controllerpb.Heartbeat, incarnation uint64, roles map[string]marshaller.Assignment) {
	for _, r := range hb.GetReleased() {
		if lead.leases.Release(now, r.GetRole(), roles[r.GetRole()], hb.GetHost(), incarnation, r.GetEpoch()) {
			s.requestStep()
		}
	}
}

// renewLeases renews the leases of the host and adds the holders of all roles to the reply. Until a new leader has determined
// the shed level, it renews only roles that the host already holds, because a new holder could not determine which tiers are
// closed.
func (s *Service) renewLeases(lead *leadership, now time.Duration, hb *controllerpb.Heartbeat, incarnation uint64, configured []string, roles map[string]marshaller.Assignment, reply *controllerpb.HeartbeatReply) {
	_, known := lead.permits.Level()
	held := map[string]uint64{}
	for _, h := range hb.GetHeld() {
		held[h.GetRole()] = h.GetEpoch()
	}
	for _, role := range configured {
		a := roles[role]
		if a.Epoch == 0 {
			continue
		}
		reply.Holders = append(reply.Holders, marshaller.RoleToProto(role, a))
		if !known && held[role] != a.Epoch {
			continue
		}
		if !hb.GetDraining() && lead.leases.Renew(now, role, a, hb.GetHost(), incarnation) {
			reply.Granted = append(reply.Granted, &controllerpb.HeldRole{Role: role, Epoch: a.Epoch})
		}
	}
}

func (s *Service) addShedLevel(lead *leadership, now time.Duration, reply *controllerpb.HeartbeatReply) {
	level, known := lead.permits.Level()
	if !known {
		return
	}
	reply.Level = &controllerpb.ShedLevel{Term: level.Term, Number: level.Number, ClosedBelow: int64(level.ClosedBelow)}
	for _, g := range reply.GetGranted() {
		if !isPoolRole(g.GetRole()) {
			continue
		}
		if tier, ok := lead.permits.Permit(now); ok {
			reply.Permits, reply.PermitTier, reply.PermitMs = true, int64(tier), PermitTTL.Milliseconds()
		}
		return
	}
}

// compressedDocument caches the compressed form of the configuration version that was sent last.
type compressedDocument struct {
	version uint64
	data    []byte
}

// forVersion returns the compressed form of a version's document.
func (d *compressedDocument) forVersion(version uint64, document []byte) ([]byte, error) {
	if d.version != version {
		data, err := compressor.Compress(document)
		if err != nil {
			return nil, err
		}
		d.version, d.data = version, data
	}
	return d.data, nil
}
