package replayer

import (
	"encoding/binary"
	"fmt"

	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// pool is a pool of endpoints with its scheduling policy and the host that runs the policy, its holder.
type pool struct {
	name         string
	policy       Policy
	holder       *host
	leaseExpired bool // the holder's lease has expired while it was isolated
	epoch        uint64
	seed         uint64
	shed         shedState
}

// startHolder starts the policy of a pool at its holder and passes it the state of all reachable hosts.
func (s *sim) startHolder(p *pool) {
	p.epoch++
	p.leaseExpired = false
	setup := Setup{Pool: p.name, Epoch: p.epoch, Seed: p.seed}
	for _, h := range s.hosts {
		if h.up {
			setup.Hosts = append(setup.Hosts, h.name)
		}
	}
	p.policy = s.opts.Build(setup)
	s.step(p, scheduler.Configure{Version: 1, Config: s.trace.Header.Config})
	s.step(p, s.endpointList(p))
	p.shed = shedState{level: s.leader.level(), confirmed: permitter.Open}
	s.step(p, scheduler.TiersClosed{Below: p.shed.level.ClosedBelow})
	for _, h := range s.hosts {
		if s.reachable(h, p) {
			s.step(p, s.syncState(h, p))
		}
	}
}

// reachable reports whether a host and the holder of a pool can exchange messages.
func (s *sim) reachable(h *host, p *pool) bool {
	return h.up && p.holder.up && (h == p.holder || !h.isolated && !p.holder.isolated)
}

// sendToHolder sends an event from a host to the holder. An event sent while the two cannot exchange messages is lost; the
// host's full state at the start of the next stream replaces it.
func (s *sim) sendToHolder(h *host, p *pool, ev scheduler.Event) {
	if !s.reachable(h, p) {
		return
	}
	wait, epoch := networkDelay(h.zone, p.holder.zone), p.epoch
	if h == p.holder {
		wait = delayWithinHost
	}
	s.after(wait, func() {
		if p.epoch == epoch {
			s.step(p, ev)
		}
	})
}

func (s *sim) step(p *pool, ev scheduler.Event) {
	if !p.holder.up || p.leaseExpired {
		return
	}
	for _, act := range p.policy.Step(s.now, ev) {
		s.logAction(p, act)
		s.applyAction(p, act)
	}
}

func (s *sim) applyAction(p *pool, act scheduler.Action) {
	switch act := act.(type) {
	case scheduler.Grant:
		until := s.now + act.TTL
		s.sendToHost(p, act.Host, func(h *host) { s.useGrant(h, p, act, until) })
	case scheduler.Refuse:
		shed := act.Reason.IsShed()
		if a := s.attempts[act.RequestID]; a != nil && a.state != attemptEnded {
			s.audit.Refused(s.now, a.id, a.tierOrder, shed)
			s.result.countRefusal(act.Reason)
		}
		s.sendToHost(p, act.Host, func(h *host) { s.handleRefusal(h, act) })
	case scheduler.CancelRun:
		if a := s.attempts[act.RequestID]; a != nil && a.state == attemptDispatched {
			s.audit.Preempted(s.now, a.id, a.tierOrder)
			s.result.CancelledRuns++
		}
		s.sendToHost(p, act.Host, func(h *host) { s.handleCancel(h, act) })
	case scheduler.ShareSuspect:
		for _, h := range s.hosts {
			s.sendToHost(p, h.name, func(h *host) { h.storeSuspect(s.now, act) })
		}
	case scheduler.AskShedPermit:
		s.leader.recordAsk(p, act.Tier)
	case scheduler.ConfirmClosed:
		s.leader.recordConfirmation(p, act.Below)
	}
}

func (s *sim) sendToHost(p *pool, name string, fn func(h *host)) {
	for _, h := range s.hosts {
		if h.name != name || !s.reachable(h, p) {
			continue
		}
		wait := networkDelay(h.zone, p.holder.zone)
		if h == p.holder {
			wait = delayWithinHost
		}
		s.after(wait, func() { fn(h) })
	}
}

// logAction adds an action to the digest and writes it as a line. Equal replays have equal digests.
func (s *sim) logAction(p *pool, act scheduler.Action) {
	line := ""
	switch act := act.(type) {
	case scheduler.Grant:
		line = "grant request=" + act.RequestID + " endpoint=" + act.Endpoint
	case scheduler.Refuse:
		line = "refuse request=" + act.RequestID + " reason=" + string(act.Reason)
	case scheduler.CancelRun:
		line = "cancel request=" + act.RequestID + " reason=" + act.Reason
	case scheduler.Decision:
		line = act.Verb + " request=" + act.RequestID + " tier=" + act.Tier + " workspace=" + act.Workspace +
			" endpoint=" + act.Endpoint + " reason=" + act.Reason
	default:
		line = fmt.Sprintf("%T%+v", act, act)
	}
	var at [8]byte
	binary.LittleEndian.PutUint64(at[:], uint64(s.now))
	_, _ = s.digest.Write(at[:])
	_, _ = s.digest.WriteString(line)
	if s.opts.Decisions != nil && s.result.writeErr == nil {
		_, s.result.writeErr = fmt.Fprintf(s.opts.Decisions, "%.6f pool=%s %s\n", s.now.Seconds(), p.name, line)
	}
}
