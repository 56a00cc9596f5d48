package replayer

import (
	"encoding/binary"
	"fmt"

	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
)

// pool is one scheduling policy at its holder.
type pool struct {
	name   string
	policy Policy
	holder *host
	lapsed bool // the holder's lease has ended while it was cut off
	epoch  uint64
	seed   uint64
	shed   shedState
}

// install starts the policy of a pool at its holder with the accounts of all hosts.
func (s *sim) install(p *pool) {
	p.epoch++
	p.lapsed = false
	setup := Setup{Pool: p.name, Epoch: p.epoch, Seed: p.seed}
	for _, h := range s.hosts {
		if h.up {
			setup.Hosts = append(setup.Hosts, h.name)
		}
	}
	p.policy = s.opts.Build(setup)
	s.step(p, scheduler.Configure{Version: 1, Config: s.trace.Header.Config})
	s.step(p, s.list(p))
	p.shed = shedState{told: s.leader.level(), confirmed: permitter.Open}
	s.step(p, scheduler.TiersClosed{Below: p.shed.told.ClosedBelow})
	for _, h := range s.hosts {
		if s.linked(h, p) {
			s.step(p, s.account(h, p))
		}
	}
}

// linked reports whether a host and the holder of a pool can exchange messages.
func (s *sim) linked(h *host, p *pool) bool {
	return h.up && p.holder.up && (h == p.holder || !h.cut && !p.holder.cut)
}

// toPool sends an event from a host to the holder. What is sent without a link is lost; the host's account on the next
// stream makes up for it.
func (s *sim) toPool(h *host, p *pool, ev scheduler.Event) {
	if !s.linked(h, p) {
		return
	}
	wait, epoch := delay(h.zone, p.holder.zone), p.epoch
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
	if !p.holder.up || p.lapsed {
		return
	}
	for _, act := range p.policy.Step(s.now, ev) {
		s.log(p, act)
		s.act(p, act)
	}
}

func (s *sim) act(p *pool, act scheduler.Action) {
	switch act := act.(type) {
	case scheduler.Grant:
		until := s.now + act.TTL
		s.toHost(p, act.Host, func(h *host) { s.granted(h, p, act, until) })
	case scheduler.Refuse:
		shed := act.Reason.Shed()
		if a := s.attempts[act.RequestID]; a != nil && a.state != attemptEnded {
			s.audit.Refused(s.now, a.id, a.order, shed)
			s.result.count(act.Reason)
		}
		s.toHost(p, act.Host, func(h *host) { s.refused(h, act) })
	case scheduler.CancelRun:
		if a := s.attempts[act.RequestID]; a != nil && a.state == attemptDispatched {
			s.audit.Cut(s.now, a.id, a.order)
			s.result.Cuts++
		}
		s.toHost(p, act.Host, func(h *host) { s.cut(h, act) })
	case scheduler.ShareSuspect:
		for _, h := range s.hosts {
			s.toHost(p, h.name, func(h *host) { h.remember(s.now, act) })
		}
	case scheduler.AskShedPermit:
		s.leader.ask(p, act.Tier)
	case scheduler.ConfirmClosed:
		s.leader.confirm(p, act.Below)
	}
}

func (s *sim) toHost(p *pool, name string, fn func(h *host)) {
	for _, h := range s.hosts {
		if h.name != name || !s.linked(h, p) {
			continue
		}
		wait := delay(h.zone, p.holder.zone)
		if h == p.holder {
			wait = delayWithinHost
		}
		s.after(wait, func() { fn(h) })
	}
}

// log adds an action to the digest and writes it as a line. Equal replays have equal digests.
func (s *sim) log(p *pool, act scheduler.Action) {
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
