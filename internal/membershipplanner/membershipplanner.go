// Package membershipplanner plans changes to the voters of the replicated log so that enough of them are live control hosts. It
// has no state: the membership and the heartbeats of the hosts are inputs.
package membershipplanner

import (
	"cmp"
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
	// Unresponsive is true if the host is a member that answers no messages of the log, for example because its disk hangs.
	Unresponsive bool
	// Lagging is true if the host is a member that lacks too many entries of the log to be promoted.
	Lagging bool
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

func newPlanner(members journaler.Membership, hosts []Host, o Options) *planner {
	p := &planner{options: o, members: members, hosts: make(map[string]Host, len(hosts))}
	for _, h := range hosts {
		p.hosts[h.ID] = h
	}
	return p
}

// Next returns the next change, or one with the action None. A voter with a lost data folder is removed first, because it counts
// towards the quorum but can never vote again. A voter that leaves or is silent is removed as soon as the target number of other
// voters is live: until then it may return with its data folder, and from then on it only makes the quorum larger. So it does at any time
// while there are more voters than the target number.
func Next(members journaler.Membership, hosts []Host, o Options) Change {
	p := newPlanner(members, hosts, o)
	for _, next := range []func() Change{p.removeLostFolder, p.removeVoter, p.promoteLearner, p.addHost, p.awaitLearner, p.removeLearner, p.addStandby} {
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

// isUsable reports whether a host is alive and, if it is a member, takes part in the log.
func (p *planner) isUsable(id string) bool {
	h, ok := p.alive(id)
	return ok && !h.Unresponsive
}

func (p *planner) countUsable() int {
	n := 0
	for id := range p.hosts {
		if p.isUsable(id) {
			n++
		}
	}
	return n
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

// removeVoter removes a voter that leaves or is silent if the target number of voters is live, or if there are more voters than that and
// the live ones are a majority of the others. The one that has left, or has been silent for longest, is the least likely to return.
func (p *planner) removeVoter() Change {
	live, voters := p.liveVoters(), p.members.Voters()
	surplus := voters > p.options.TargetVoters && live > (voters-1)/2
	if live < p.options.TargetVoters && !surplus {
		return Change{}
	}
	var absent []Host
	for _, m := range p.members {
		if h, ok := p.alive(m.ID); m.Voter && !ok {
			h.ID = m.ID
			absent = append(absent, h)
		}
	}
	if len(absent) == 0 {
		return Change{}
	}
	h := slices.MaxFunc(absent, func(a, b Host) int {
		switch {
		case a.Leaving && !b.Leaving:
			return 1
		case b.Leaving && !a.Leaving:
			return -1
		}
		return cmp.Compare(a.SinceHeartbeat, b.SinceHeartbeat)
	})
	return Change{Action: Remove, ID: h.ID, Reason: p.absence(h)}
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

// promoteLearner promotes a learner that has the log.
func (p *planner) promoteLearner() Change {
	return p.promote(func(h Host) bool { return !h.Lagging })
}

// awaitLearner promotes a learner that is still receiving the log, which is refused until it has it. Other hosts are added before, so
// that they receive the log at the same time.
func (p *planner) awaitLearner() Change {
	return p.promote(func(h Host) bool { return h.Lagging })
}

func (p *planner) promote(eligible func(Host) bool) Change {
	if p.liveVoters() >= p.options.TargetVoters {
		return Change{}
	}
	for _, m := range p.members {
		if h, ok := p.alive(m.ID); ok && !h.Unresponsive && !m.Voter && eligible(h) {
			return Change{Action: Promote, ID: m.ID, Reason: fmt.Sprintf("%d of %d voters are alive", p.liveVoters(), p.options.TargetVoters)}
		}
	}
	return Change{}
}

// addHost adds a host as a learner that is promoted next, unless there are enough learners already.
func (p *planner) addHost() Change {
	missing := p.options.TargetVoters - p.liveVoters()
	if missing <= 0 || p.liveLearners() >= missing+p.options.Standbys {
		return Change{}
	}
	return p.add(fmt.Sprintf("%d of %d voters are alive", p.liveVoters(), p.options.TargetVoters))
}

func (p *planner) liveLearners() int {
	n := 0
	for _, m := range p.members {
		if !m.Voter && p.isUsable(m.ID) {
			n++
		}
	}
	return n
}

// addStandby adds a host as a learner that replaces a voter later.
func (p *planner) addStandby() Change {
	standbys := p.liveLearners()
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
