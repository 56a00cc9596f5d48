// Package membershipplanner plans changes to the voters of the replicated log so that enough of them are live control hosts. It
// has no state: the membership and the heartbeats of the hosts are inputs.
package membershipplanner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
)

// Host is the state of a control host according to its heartbeats.
type Host struct {
	ID   string
	Addr string
	// FolderIncarnation is the incarnation of the host's data folder.
	FolderIncarnation uint64
	// SinceHeartbeat is the time since the last heartbeat.
	SinceHeartbeat time.Duration
}

// Options are the parameters of Next.
type Options struct {
	// TargetVoters is the target number of voters.
	TargetVoters int
	// HeartbeatTimeout is the maximum time since the last heartbeat of a live host.
	HeartbeatTimeout time.Duration
	// RemoveAfter is the time since the last heartbeat after which a member may be removed.
	RemoveAfter time.Duration
}

// Action is the type of a membership change.
type Action string

// The actions of a Change.
const (
	None    Action = ""
	Add     Action = "add"
	Promote Action = "promote"
	Remove  Action = "remove"
)

// Change is a change of one member.
type Change struct {
	Action Action
	ID     string
	Addr   string
	// Reason explains the change to operators in the log.
	Reason string
}

type planner struct {
	options Options
	members journaler.Membership
	hosts   map[string]Host
}

// Next returns the next change, or one with the action None. A voter with a lost data folder is removed first, because it counts
// towards the quorum but can never vote again. A silent member is removed only if the target number
// of voters is live.
func Next(members journaler.Membership, hosts []Host, o Options) Change {
	p := &planner{options: o, members: members, hosts: make(map[string]Host, len(hosts))}
	for _, h := range hosts {
		p.hosts[h.ID] = h
	}
	for _, next := range []func() Change{p.removeLostFolder, p.removeSilent, p.promoteLearner, p.addHost} {
		if c := next(); c.Action != None {
			return c
		}
	}
	return Change{}
}

func (p *planner) alive(id string) (Host, bool) {
	h, ok := p.hosts[id]
	return h, ok && h.SinceHeartbeat <= p.options.HeartbeatTimeout
}

// isLiveVoter reports whether a member is a live voter with the data folder recorded in the membership.
func (p *planner) isLiveVoter(m journaler.Member) bool {
	h, ok := p.alive(m.ID)
	return ok && m.Voter && h.FolderIncarnation == m.Incarnation
}

func (p *planner) liveVoters() int {
	n := 0
	for _, m := range p.members {
		if p.isLiveVoter(m) {
			n++
		}
	}
	return n
}

// removeLostFolder removes a voter that has restarted with another data folder, if the live voters are a majority of the others.
func (p *planner) removeLostFolder() Change {
	for _, m := range p.members {
		h, ok := p.alive(m.ID)
		if !ok || !m.Voter || h.FolderIncarnation == m.Incarnation {
			continue
		}
		if p.liveVoters() > (p.members.Voters()-1)/2 {
			return Change{Action: Remove, ID: m.ID, Reason: "its data folder was lost"}
		}
	}
	return Change{}
}

// removeSilent removes a member without recent heartbeats if the target number of voters is live.
func (p *planner) removeSilent() Change {
	if p.liveVoters() < p.options.TargetVoters {
		return Change{}
	}
	for _, m := range p.members {
		if h, ok := p.hosts[m.ID]; !ok || h.SinceHeartbeat >= p.options.RemoveAfter {
			return Change{Action: Remove, ID: m.ID, Reason: fmt.Sprintf("silent for %v, and %d voters are alive", h.SinceHeartbeat, p.liveVoters())}
		}
	}
	return Change{}
}

func (p *planner) promoteLearner() Change {
	if p.liveVoters() >= p.options.TargetVoters {
		return Change{}
	}
	for _, m := range p.members {
		if _, ok := p.alive(m.ID); ok && !m.Voter {
			return Change{Action: Promote, ID: m.ID, Reason: fmt.Sprintf("%d of %d voters are alive", p.liveVoters(), p.options.TargetVoters)}
		}
	}
	return Change{}
}

func (p *planner) addHost() Change {
	if p.liveVoters() >= p.options.TargetVoters {
		return Change{}
	}
	ids := make([]string, 0, len(p.hosts))
	for id := range p.hosts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	for _, id := range ids {
		h, ok := p.alive(id)
		if _, member := p.members.Find(id); ok && !member {
			return Change{Action: Add, ID: id, Addr: h.Addr, Reason: fmt.Sprintf("%d of %d voters are alive", p.liveVoters(), p.options.TargetVoters)}
		}
	}
	return Change{}
}
