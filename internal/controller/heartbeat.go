package controller

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/detector"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/packer"
	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// errStale reports a heartbeat that a later one of the same process has overtaken.
var errStale = eris.New("a later heartbeat of this host was answered")

// redirect names the leader as far as this host knows it.
func (s *Service) redirect(reason string) *controllerpb.Redirect {
	id, addr, _ := s.Log.Leader()
	if id == s.HostID {
		// This host was the leader a moment ago and cannot confirm it; the caller asks the others.
		id, addr = "", ""
	}
	return &controllerpb.Redirect{Leader: id, Addr: addr, Reason: reason}
}

// leading returns the leadership of the confirmed term, or nil with the reason.
func (s *Service) leading(ctx context.Context) (*leadership, string) {
	s.mu.Lock()
	ready := s.lead != nil
	s.mu.Unlock()
	if !ready {
		return nil, "not the leader"
	}
	term, err := s.confirm.Leader(ctx)
	if err != nil {
		return nil, err.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead == nil || s.lead.term != term {
		return nil, "the term has changed"
	}
	return s.lead, ""
}

func (s *Service) handleHeartbeat(ctx context.Context, peer transporter.Peer, payload []byte) ([]byte, error) {
	hb := &controllerpb.Heartbeat{}
	if err := proto.Unmarshal(payload, hb); err != nil {
		return nil, eris.Wrap(err, "decode heartbeat")
	}
	if err := peerMatches(peer, hb.GetHost()); err != nil {
		return nil, err
	}
	lead, reason := s.leading(ctx)
	if lead == nil {
		countHeartbeats.Add("redirected", 1)
		return proto.Marshal(&controllerpb.HeartbeatReply{Redirect: s.redirect(reason)})
	}
	incarnation, superseded, err := s.admit(ctx, hb)
	switch {
	case err != nil:
		return proto.Marshal(&controllerpb.HeartbeatReply{Redirect: s.redirect(err.Error())})
	case superseded:
		countHeartbeats.Add("superseded", 1)
		return proto.Marshal(&controllerpb.HeartbeatReply{Superseded: true, Term: lead.term, Leader: s.HostID})
	}
	reply, err := s.answer(lead, hb, incarnation)
	if err != nil {
		countHeartbeats.Add("stale", 1)
		return nil, err
	}
	countHeartbeats.Add("answered", 1)
	return proto.Marshal(reply)
}

// admit returns the incarnation of the process that sent a heartbeat, and records a process that is new or has changed.
func (s *Service) admit(ctx context.Context, hb *controllerpb.Heartbeat) (incarnation uint64, superseded bool, err error) {
	m, known := s.Machine.Member(hb.GetHost())
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
	m, _ = s.Machine.Member(hb.GetHost())
	return result.GetNumber(), m.Nonce != hb.GetNonce(), nil
}

// answer records a heartbeat and renews what it may renew. The leadership was confirmed after the heartbeat arrived.
func (s *Service) answer(lead *leadership, hb *controllerpb.Heartbeat, incarnation uint64) (*controllerpb.HeartbeatReply, error) {
	version, document, cfg := s.Machine.Config()
	changed, membersVersion, full := s.Machine.MembersSince(hb.GetMembersVersion())
	roles := s.Machine.Roles()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead != lead {
		return &controllerpb.HeartbeatReply{Redirect: s.redirect("the term has changed")}, nil
	}
	now := s.now()
	heard := lead.detector.Heard(now, detector.Beat{
		Process: detector.Process{Host: hb.GetHost(), Incarnation: incarnation}, Seq: hb.GetSeq(),
		Interval: time.Duration(hb.GetIntervalMs()) * time.Millisecond, Draining: hb.GetDraining(), Leaving: hb.GetLeaving(),
		ConfigVersion: hb.GetConfigVersion(),
	})
	if !heard {
		return nil, errStale
	}
	if f := hb.GetFolder(); f != nil {
		lead.folders[hb.GetHost()] = folder{incarnation: f.GetIncarnation(), addr: hb.GetAddr(), heard: now}
	}
	reply := &controllerpb.HeartbeatReply{
		Incarnation: incarnation, Term: lead.term, Leader: s.HostID, ConfigVersion: version, LeaseMs: LeaseTTL.Milliseconds(),
		MembersVersion: membersVersion, MembersFull: full,
	}
	if hb.GetConfigVersion() < version && !hb.GetRelayed() {
		packed, err := s.packed.of(version, document)
		if err != nil {
			return nil, err
		}
		reply.Document = packed
	}
	for _, m := range changed {
		reply.Members = append(reply.Members, m.Proto())
	}
	wanted := wantedRoles(cfg)
	s.release(lead, now, hb, incarnation, roles)
	s.renew(lead, now, hb, incarnation, wanted, roles, reply)
	for _, r := range hb.GetReports() {
		lead.permits.Report(now, r.GetRole(), reportOf(r))
	}
	s.stepPermits(lead, now, cfg, roles)
	s.addPermit(lead, now, reply)
	return reply, nil
}

func reportOf(r *controllerpb.ShedReport) permitter.Report {
	return permitter.Report{
		Epoch: r.GetEpoch(),
		Level: permitter.Level{
			Term: r.GetLevel().GetTerm(), Number: r.GetLevel().GetNumber(), ClosedBelow: int(r.GetLevel().GetClosedBelow()),
		},
		ConfirmedBelow: int(r.GetConfirmedBelow()), Asks: r.GetAsks(), AskedTier: int(r.GetAskedTier()),
	}
}

// release ends the leases that the host has given up and lets the loop grant them at once.
func (s *Service) release(lead *leadership, now time.Duration, hb *controllerpb.Heartbeat, incarnation uint64, roles map[string]marshaller.Assignment) {
	for _, r := range hb.GetReleased() {
		if lead.leases.Release(now, r.GetRole(), roles[r.GetRole()], hb.GetHost(), incarnation, r.GetEpoch()) {
			s.poke()
		}
	}
}

// renew renews the leases of the host and lists all holders. While a new leader does not know the shed level, it confirms
// only what the host already holds, since a new holder would not know which tiers are closed.
func (s *Service) renew(lead *leadership, now time.Duration, hb *controllerpb.Heartbeat, incarnation uint64, wanted []string, roles map[string]marshaller.Assignment, reply *controllerpb.HeartbeatReply) {
	_, known := lead.permits.Level()
	held := map[string]uint64{}
	for _, h := range hb.GetHeld() {
		held[h.GetRole()] = h.GetEpoch()
	}
	for _, role := range wanted {
		a := roles[role]
		if a.Epoch == 0 {
			continue
		}
		reply.Holders = append(reply.Holders, marshaller.RoleProto(role, a))
		if !known && held[role] != a.Epoch {
			continue
		}
		if !hb.GetDraining() && lead.leases.Renew(now, role, a, hb.GetHost(), incarnation) {
			reply.Granted = append(reply.Granted, &controllerpb.HeldRole{Role: role, Epoch: a.Epoch})
		}
	}
}

func (s *Service) addPermit(lead *leadership, now time.Duration, reply *controllerpb.HeartbeatReply) {
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

// packedDocument is the packed form of the newest configuration that a host has asked for.
type packedDocument struct {
	version uint64
	data    []byte
}

// of returns the packed form of a version.
func (p *packedDocument) of(version uint64, document []byte) ([]byte, error) {
	if p.version != version {
		data, err := packer.Pack(document)
		if err != nil {
			return nil, err
		}
		p.version, p.data = version, data
	}
	return p.data, nil
}
