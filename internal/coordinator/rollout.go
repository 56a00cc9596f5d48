package coordinator

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/admitter"
	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/rolloutplanner"
	"github.com/dragonflycroft/dragonflycroft/internal/sharder"
)

const (
	// rolloutInterval is the time between two reads of the rollouts while one is running, and idleRolloutInterval while none is. New endpoints
	// appear in the list later than that. rolloutTimeout bounds one read or one step.
	rolloutInterval     = 100 * time.Millisecond
	idleRolloutInterval = 500 * time.Millisecond
	rolloutTimeout      = 400 * time.Millisecond
	// recentOutcomes is the time over which outcomes count as recent.
	recentOutcomes = 500 * time.Millisecond
	// completedShareTime is the time for which a completed rollout keeps work from the other versions, whose endpoints stop at its end. The
	// list shows them for a while.
	completedShareTime = 10 * time.Second
	// rolloutOwner is the name whose first owner among the control hosts decides the steps.
	rolloutOwner = "rollouts"
)

// Rollout is the newest rollout of a pool, as the control hosts have agreed on it.
type Rollout struct {
	Pool, Version string
	Within        time.Duration
	// Revision is the number of changes of the pool's rollouts.
	Revision uint64
	State    rolloutplanner.State
	// Share is in thousandths.
	Share int
	// Age is the time since the rollout was ordered, and EndedFor the time since it has ended.
	Age, EndedFor time.Duration
}

// RolloutStore keeps the rollouts for all control hosts.
type RolloutStore interface {
	Rollouts(ctx context.Context) ([]Rollout, error)
	// Step takes a rollout to another state and share, unless its revision has changed.
	Step(ctx context.Context, r Rollout, next rolloutplanner.Step) error
}

// rollout is what this coordinator knows about the rollout of a pool.
type rollout struct {
	Rollout
	// since is the revision with which the rollout was seen first here, and kinds the outcomes of the requests placed here since then, by tier.
	since uint64
	kinds map[int]rolloutplanner.Comparison
	// reported are the newest outcomes of other coordinators, by host.
	reported map[string]*coordinatorpb.RolloutOutcomes
	// history are the sums over all coordinators in the time of recentOutcomes.
	history []timedOutcomes
}

type timedOutcomes struct {
	at    time.Time
	kinds map[int]rolloutplanner.Comparison
}

// placement is a request that was placed here, for the outcomes of rollouts.
type placement struct {
	pool, version string
	tier          int
	at            time.Time
	firstEventAt  time.Time
}

// runRollouts reads the rollouts until ctx ends. One of the coordinators decides their steps.
func (c *Coordinator) runRollouts(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		c.readRollouts(ctx)
		timer.Reset(c.nextRolloutRead())
		now := time.Now()
		if !c.decidesRollouts(now) {
			continue
		}
		for _, r := range c.plannedSteps(now) {
			c.takeStep(ctx, r.Rollout, r.next)
		}
	}
}

// nextRolloutRead returns the time until the rollouts are read again.
func (c *Coordinator) nextRolloutRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rollouts {
		if r.State == rolloutplanner.Running {
			return rolloutInterval
		}
	}
	if !c.rolloutsKnown {
		return rolloutInterval
	}
	return idleRolloutInterval
}

// decidesRollouts reports whether this coordinator is the first one among those that it reaches. While others have another view, two may
// decide; the log takes only one step on each revision.
func (c *Coordinator) decidesRollouts(now time.Time) bool {
	hosts := []sharder.Host{{ID: c.HostID}}
	peers := c.Peers()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range peers {
		if known := c.peers[p.ID]; known != nil && now.Sub(known.reachedAt) <= peerReachableFor {
			hosts = append(hosts, sharder.Host{ID: p.ID})
		}
	}
	return sharder.Owners(rolloutOwner, hosts)[0].ID == c.HostID
}

func (c *Coordinator) readRollouts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	list, err := c.Rollouts.Rollouts(ctx)
	if err != nil {
		klog.V(1).InfoS("coordinator: rollouts not read", "reason", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rolloutsKnown = true
	c.applyRollouts(list)
}

// applyRollouts applies the rollouts to the shards and sends the shares to the hosts, if they have changed. The caller holds c.mu.
func (c *Coordinator) applyRollouts(list []Rollout) {
	next := map[string]*rollout{}
	for _, r := range list {
		known := c.rollouts[r.Pool]
		if known == nil || known.Version != r.Version || r.Revision < known.Revision || known.State != rolloutplanner.Running && r.State == rolloutplanner.Running {
			known = &rollout{since: r.Revision, kinds: map[int]rolloutplanner.Comparison{}, reported: map[string]*coordinatorpb.RolloutOutcomes{}}
		}
		if known.Revision != r.Revision {
			klog.InfoS("coordinator: rollout", "pool", r.Pool, "version", r.Version, "state", r.State, "share", r.Share, "age", r.Age, "revision", r.Revision)
		}
		known.Rollout = r
		next[r.Pool] = known
	}
	c.rollouts = next
	shares := map[string]balancer.VersionShare{}
	for pool, r := range next {
		if share, limited := r.share(); limited {
			shares[pool] = balancer.VersionShare{Version: r.Version, Share: float64(share) / rolloutplanner.FullShare}
		}
	}
	if mapsEqual(shares, c.versionShares) {
		return
	}
	c.versionShares = shares
	for _, s := range c.shards {
		s.admitter.Update(func(b *balancer.Balancer) { b.SetVersionShares(shares) })
	}
	for _, s := range c.sessions {
		s.enqueue(func(o *coordinatorpb.Orders) { o.Versions = encodeShares(shares) })
	}
}

func mapsEqual(a, b map[string]balancer.VersionShare) bool {
	if len(a) != len(b) {
		return false
	}
	for pool, s := range a {
		if other, known := b[pool]; !known || other != s {
			return false
		}
	}
	return true
}

// share returns the share of the version in thousandths; limited is false if the rollout does not restrict versions any longer.
func (r *Rollout) share() (share int, limited bool) {
	switch r.State {
	case rolloutplanner.Completed:
		return rolloutplanner.FullShare, r.EndedFor < completedShareTime
	case rolloutplanner.RolledBack:
		return 0, true
	}
	return r.Share, true
}

func encodeShares(shares map[string]balancer.VersionShare) *coordinatorpb.VersionShares {
	out := &coordinatorpb.VersionShares{}
	for pool, s := range shares {
		out.Shares = append(out.Shares, &coordinatorpb.VersionShare{Pool: pool, Version: s.Version, Share: uint32(s.Share * rolloutplanner.FullShare)})
	}
	return out
}

// DecodeShares returns the shares for a host that places work beside others. A version whose share grows takes no such work, since the hosts
// do not know of each other's.
func DecodeShares(in *coordinatorpb.VersionShares) map[string]balancer.VersionShare {
	out := map[string]balancer.VersionShare{}
	for _, s := range in.GetShares() {
		share := 0.0
		if s.GetShare() >= rolloutplanner.FullShare {
			share = 1
		}
		out[s.GetPool()] = balancer.VersionShare{Version: s.GetVersion(), Share: share}
	}
	return out
}

// recordOutcome counts the end of a request that was placed here. The caller holds c.mu.
func (c *Coordinator) recordOutcome(now time.Time, p placement, outcome coordinatorpb.End_Outcome) {
	r := c.rollouts[p.pool]
	if r == nil || r.State != rolloutplanner.Running || outcome != coordinatorpb.End_ANSWERED && outcome != coordinatorpb.End_FAILED {
		return
	}
	o := rolloutplanner.Outcomes{Failed: 1}
	if outcome == coordinatorpb.End_ANSWERED {
		end := now
		if !p.firstEventAt.IsZero() {
			end = p.firstEventAt
		}
		o = rolloutplanner.Outcomes{Answered: 1, Time: end.Sub(p.at)}
	}
	k := r.kinds[p.tier]
	if p.version == r.Version {
		k.New.Add(o)
	} else {
		k.Others.Add(o)
	}
	r.kinds[p.tier] = k
}

// othersRunning returns the number of requests placed here that are in progress at other versions of a pool than that of its rollout. The
// caller holds c.mu.
func (c *Coordinator) othersRunning(r *rollout) int {
	n := 0
	for _, sessions := range []map[string]*session{c.sessions, c.disconnected} {
		for _, s := range sessions {
			s.mu.Lock()
			for _, p := range s.placements {
				if p.pool == r.Pool && p.version != r.Version {
					n++
				}
			}
			s.mu.Unlock()
		}
	}
	return n
}

// rolloutOutcomes returns the outcomes of the running rollouts for another coordinator. The caller holds c.mu.
func (c *Coordinator) rolloutOutcomes() []*coordinatorpb.RolloutOutcomes {
	var out []*coordinatorpb.RolloutOutcomes
	for _, r := range c.rollouts {
		if r.State != rolloutplanner.Running {
			continue
		}
		o := &coordinatorpb.RolloutOutcomes{Pool: r.Pool, Version: r.Version, Since: r.since, OthersRunning: uint32(c.othersRunning(r))}
		for tier, k := range r.kinds {
			o.Kinds = append(o.Kinds, &coordinatorpb.KindOutcomes{
				Tier: uint32(tier), Answered: uint32(k.New.Answered), Failed: uint32(k.New.Failed), TimeMs: uint64(k.New.Time.Milliseconds()),
				OthersAnswered: uint32(k.Others.Answered), OthersFailed: uint32(k.Others.Failed), OthersTimeMs: uint64(k.Others.Time.Milliseconds()),
			})
		}
		out = append(out, o)
	}
	return out
}

// mergeOutcomes records the outcomes of another coordinator. The caller holds c.mu.
func (c *Coordinator) mergeOutcomes(host string, list []*coordinatorpb.RolloutOutcomes) {
	for _, o := range list {
		if r := c.rollouts[o.GetPool()]; r != nil && r.Version == o.GetVersion() {
			r.reported[host] = o
		}
	}
}

// sum returns the outcomes over all coordinators, and the requests in progress at other versions.
func (c *Coordinator) sum(r *rollout) (kinds map[int]rolloutplanner.Comparison, othersRunning int) {
	kinds, othersRunning = map[int]rolloutplanner.Comparison{}, c.othersRunning(r)
	add := func(tier int, k rolloutplanner.Comparison) {
		all := kinds[tier]
		all.New.Add(k.New)
		all.Others.Add(k.Others)
		kinds[tier] = all
	}
	for tier, k := range r.kinds {
		add(tier, k)
	}
	for _, o := range r.reported {
		othersRunning += int(o.GetOthersRunning())
		for _, k := range o.GetKinds() {
			ms := func(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
			add(int(k.GetTier()), rolloutplanner.Comparison{
				New:    rolloutplanner.Outcomes{Answered: int(k.GetAnswered()), Failed: int(k.GetFailed()), Time: ms(k.GetTimeMs())},
				Others: rolloutplanner.Outcomes{Answered: int(k.GetOthersAnswered()), Failed: int(k.GetOthersFailed()), Time: ms(k.GetOthersTimeMs())},
			})
		}
	}
	return kinds, othersRunning
}

// recent returns the outcomes since the oldest sums in the history of a rollout, and adds the newest ones to it.
func (r *rollout) recent(now time.Time, kinds map[int]rolloutplanner.Comparison) map[int]rolloutplanner.Comparison {
	r.history = append(r.history, timedOutcomes{now, kinds})
	for len(r.history) > 1 && now.Sub(r.history[1].at) >= recentOutcomes {
		r.history = r.history[1:]
	}
	out := map[int]rolloutplanner.Comparison{}
	for tier, k := range kinds {
		before := r.history[0].kinds[tier]
		out[tier] = rolloutplanner.Comparison{New: difference(k.New, before.New), Others: difference(k.Others, before.Others)}
	}
	return out
}

// difference returns what was counted since before. A coordinator that has restarted counts anew.
func difference(now, before rolloutplanner.Outcomes) rolloutplanner.Outcomes {
	return rolloutplanner.Outcomes{
		Answered: max(0, now.Answered-before.Answered), Failed: max(0, now.Failed-before.Failed), Time: max(0, now.Time-before.Time),
	}
}

// plannedStep is a step that is due.
type plannedStep struct {
	Rollout
	next rolloutplanner.Step
}

// plannedSteps returns the steps that are due.
func (c *Coordinator) plannedSteps(now time.Time) []plannedStep {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []plannedStep
	for _, r := range c.rollouts {
		if r.State != rolloutplanner.Running {
			continue
		}
		kinds, othersRunning := c.sum(r)
		next := rolloutplanner.Next(rolloutplanner.Rollout{
			Within: r.Within, Elapsed: r.Age, Share: r.Share, Exposure: c.Exposure, Kinds: kinds, Recent: r.recent(now, kinds), OthersRunning: othersRunning,
		})
		if next.State != r.State || next.Share != r.Share {
			out = append(out, plannedStep{r.Rollout, next})
		}
	}
	return out
}

func (c *Coordinator) takeStep(ctx context.Context, r Rollout, next rolloutplanner.Step) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	err := c.Rollouts.Step(ctx, r, next)
	klog.InfoS("coordinator: rollout step", "pool", r.Pool, "version", r.Version, "age", r.Age, "share", r.Share, "next_share", next.Share,
		"next_state", next.State, "because", next.Reason, "reason", err)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	c.readRollouts(ctx)
}

// recordPlacement remembers a request that was placed here while its pool has a rollout. The caller holds s.mu.
func (s *session) recordPlacement(ticket uint64, tier int, g *admitter.Grant) {
	s.placements[ticket] = placement{pool: g.Choice.Endpoint.Pool, version: g.Choice.Endpoint.Version, tier: tier, at: time.Now()}
}

// endPlacement counts the end of a request that was placed here.
func (s *session) endPlacement(now time.Time, ticket uint64, outcome coordinatorpb.End_Outcome) {
	s.mu.Lock()
	p, known := s.placements[ticket]
	delete(s.placements, ticket)
	s.mu.Unlock()
	if !known {
		return
	}
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	s.c.recordOutcome(now, p, outcome)
}

// recordFirstEvent records the first event of a request that was placed here.
func (s *session) recordFirstEvent(now time.Time, ticket uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, known := s.placements[ticket]; known {
		p.firstEventAt = now
		s.placements[ticket] = p
	}
}
