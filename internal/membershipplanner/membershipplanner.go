// Package membershipplanner plans changes to the voters of the replicated log so that enough of them are live control hosts. It
// has no state: the membership and the heartbeats of the hosts are inputs.
package membershipplanner

import (
	"fmt"
	"maps"
	"slices"
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
	// Leaving is true if the host stops or has stopped as planned.
	Leaving bool
}

// Options are the parameters of Next.
type Options struct {
	// TargetVoters is the target number of voters.
	TargetVoters int
	// HeartbeatTimeout is the maximum time since the last heartbeat of a live host.
	HeartbeatTimeout time.Duration
	// RemoveLearnerAfter is the time since the last heartbeat after which a learner is removed.
	RemoveLearnerAfter time.Duration
	// Standbys is the target number of live learners besides the voters. They hold the log, so that each can take the place of a
	// voter within a few round trips.
	Standbys int
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
	// LearnersOnly is true if the change is no step towards other voters.
	LearnersOnly bool
}

type planner struct {
	options Options
	members journaler.Membership
	hosts   map[string]Host
}

// Next returns the next change, or one with the action None. A voter with a lost data folder is removed first, because it counts
// towards the quorum but can never vote again. A voter that leaves or is silent is removed as soon as the target number of other
// voters is live: until then it may return with its data folder, and from then on it only makes the quorum larger.
func Next(members journaler.Membership, hosts []Host, o Options) Change {
	p := &planner{options: o, members: members, hosts: make(map[string]Host, len(hosts))}
	for _, h := range hosts {
		p.hosts[h.ID] = h
	}
	for _, next := range []func() Change{p.removeLostFolder, p.removeVoter, p.promoteLearner, p.addHost, p.removeLearner, p.addStandby} {
		if c := next(); c.Action != None {
			return c
		}
	}
	return Change{}
}

// alive returns a host and whether it has sent a recent heartbeat and does not leave.
func (p *planner) alive(id string) (Host, bool) {
	h, ok := p.hosts[id]
	return h, ok && !h.Leaving && h.SinceHeartbeat <= p.options.HeartbeatTimeout
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

// removeVoter removes a voter that leaves or is silent if the target number of voters is live.
func (p *planner) removeVoter() Change {
	if p.liveVoters() < p.options.TargetVoters {
		return Change{}
	}
	for _, m := range p.members {
		if h, ok := p.alive(m.ID); m.Voter && !ok {
			return Change{Action: Remove, ID: m.ID, Reason: p.absence(h)}
		}
	}
	return Change{}
}

// removeLearner removes a learner that leaves or has been silent for long.
func (p *planner) removeLearner() Change {
	for _, m := range p.members {
		if h, ok := p.hosts[m.ID]; !m.Voter && (!ok || h.Leaving || h.SinceHeartbeat >= p.options.RemoveLearnerAfter) {
			return Change{Action: Remove, ID: m.ID, Reason: p.absence(h), LearnersOnly: true}
		}
	}
	return Change{}
}

// absence describes why a member is not alive.
func (p *planner) absence(h Host) string {
	if h.Leaving {
		return fmt.Sprintf("it leaves, and %d voters are alive", p.liveVoters())
	}
	return fmt.Sprintf("silent for %v, and %d voters are alive", h.SinceHeartbeat, p.liveVoters())
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

// addHost adds a host as a learner that is promoted next.
func (p *planner) addHost() Change {
	if p.liveVoters() >= p.options.TargetVoters {
		return Change{}
	}
	return p.add(fmt.Sprintf("%d of %d voters are alive", p.liveVoters(), p.options.TargetVoters))
}

// addStandby adds a host as a learner that replaces a voter later.
func (p *planner) addStandby() Change {
	standbys := 0
	for _, m := range p.members {
		if _, ok := p.alive(m.ID); ok && !m.Voter {
			standbys++
		}
	}
	if standbys >= p.options.Standbys {
		return Change{}
	}
	c := p.add(fmt.Sprintf("%d of %d standbys are alive", standbys, p.options.Standbys))
	c.LearnersOnly = true
	return c
}

// add adds the first live host that is not a member.
func (p *planner) add(reason string) Change {
	for _, id := range slices.Sorted(maps.Keys(p.hosts)) {
		h, ok := p.alive(id)
		if _, member := p.members.Find(id); ok && !member {
			return Change{Action: Add, ID: id, Addr: h.Addr, Reason: reason}
		}
	}
	return Change{}
}
