package membershipplanner

import (
	"fmt"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/journaler"
)

// View is what the leader of a term knows about the control hosts from their heartbeats. It is not safe for concurrent use.
type View struct {
	Options Options
	// StartedAt is the time at which the leadership began.
	StartedAt time.Duration
	// FirstReportTimeout is the time after StartedAt in which all members have sent a heartbeat if they can. A member that has not is
	// then taken as silent since long before.
	FirstReportTimeout time.Duration
	// HasLeft reports whether the last process of a host has left the cluster, under this leader or an earlier one.
	HasLeft func(id string) bool

	reports map[string]report
}

// Report is the content of a heartbeat that concerns the voters.
type Report struct {
	ID                string
	Addr              string
	FolderIncarnation uint64
	Leaving           bool
}

type report struct {
	Report
	receivedAt time.Duration
}

// Members are the members of the replicated log as its leader sees them.
type Members struct {
	journaler.Membership
	// Unresponsive are the members that answer no messages of the log.
	Unresponsive []string
	// Lagging are the members that lack too many entries to be promoted.
	Lagging []string
	// Committed is true if the membership is committed.
	Committed bool
}

// Record stores a heartbeat.
func (v *View) Record(now time.Duration, r Report) {
	if v.reports == nil {
		v.reports = map[string]report{}
	}
	v.reports[r.ID] = report{Report: r, receivedAt: now}
}

// HeardSince reports whether a host has sent a heartbeat at or after a time.
func (v *View) HeardSince(id string, at time.Duration) bool {
	r, ok := v.reports[id]
	return ok && r.receivedAt >= at
}

// Next returns the next change of the members. It returns false while a new leader waits for the first heartbeats of its term.
func (v *View) Next(now time.Duration, members Members) (change Change, known bool) {
	hosts, known := v.hosts(now, members)
	if !known {
		return Change{}, false
	}
	change = Next(members.Membership, hosts, v.Options)
	return change, v.complete(now, members) || change.Action != None
}

// hosts returns the state of all known hosts, or false while a member may still send the first heartbeat of the term.
func (v *View) hosts(now time.Duration, members Members) ([]Host, bool) {
	hosts := make([]Host, 0, len(v.reports))
	for _, r := range v.reports {
		hosts = append(hosts, Host{
			ID: r.ID, Addr: r.Addr, FolderIncarnation: r.FolderIncarnation, SinceHeartbeat: now - r.receivedAt, Leaving: r.Leaving,
			Unresponsive: slices.Contains(members.Unresponsive, r.ID), Lagging: slices.Contains(members.Lagging, r.ID),
		})
	}
	for _, m := range members.Membership {
		if _, reported := v.reports[m.ID]; reported {
			continue
		}
		left := v.HasLeft(m.ID)
		if now-v.StartedAt < v.FirstReportTimeout && !left {
			return nil, false
		}
		hosts = append(hosts, Host{
			ID: m.ID, Addr: m.Addr, FolderIncarnation: m.Incarnation, SinceHeartbeat: max(now-v.StartedAt, v.Options.HeartbeatTimeout+1), Leaving: left,
		})
	}
	return hosts, true
}

// complete reports whether all hosts are known. In a new cluster, those that are no initial voters are not before their first heartbeat.
func (v *View) complete(now time.Duration, members Members) bool {
	return members.Voters() >= v.Options.TargetVoters || now-v.StartedAt >= v.FirstReportTimeout
}

// UnknownHostsError is returned while a new leader waits for the first heartbeats of its term.
type UnknownHostsError struct{}

// Error implements error.
func (e *UnknownHostsError) Error() string {
	return "not all members have sent a heartbeat in this term"
}

// UncommittedMembershipError is returned while a change of the members is not committed.
type UncommittedMembershipError struct{}

// Error implements error.
func (e *UncommittedMembershipError) Error() string {
	return "a change of the members is not committed"
}

// TooFewVotersError is returned while the loss of data folders could leave the cluster without a quorum.
type TooFewVotersError struct {
	// Live is the number of voters that can vote with the data folder recorded in the membership.
	Live int
	// Losses is the number of live hosts that may lose their data folders at once.
	Losses int
	Quorum int
}

// Error implements error.
func (e *TooFewVotersError) Error() string {
	return fmt.Sprintf("%d live voters are too few for a quorum of %d after the loss of %d data folders", e.Live, e.Quorum, e.Losses)
}

// CheckAcknowledgement returns why an entry that was committed at a time must not be acknowledged yet, or nil. The invariant that it
// keeps is stated in docs/design/acknowledgements.md: the live voters can lose as many data folders as live hosts may lose at once, and
// still elect a leader.
//
// Where more hosts are live than the target number of voters, a voter may have been replaced for good without having been missed yet, so
// that only voters which have sent a heartbeat since the commit count.
func (v *View) CheckAcknowledgement(now, committedAt time.Duration, members Members) error {
	hosts, known := v.hosts(now, members)
	switch {
	case !known || !v.complete(now, members):
		return &UnknownHostsError{}
	case !members.Committed:
		return &UncommittedMembershipError{}
	}
	p := newPlanner(members.Membership, hosts, v.Options)
	live := p.countUsable()
	voters := 0
	for _, m := range members.Membership {
		confirmed := live <= v.Options.TargetVoters || v.HeardSince(m.ID, committedAt)
		if p.isLiveVoter(m) && p.isUsable(m.ID) && confirmed {
			voters++
		}
	}
	tolerated := v.Options.TargetVoters / 2
	losses := max(0, tolerated-max(0, v.Options.TargetVoters-live))
	if quorum := members.Quorum(); voters-losses < quorum {
		return &TooFewVotersError{Live: voters, Losses: losses, Quorum: quorum}
	}
	return nil
}
