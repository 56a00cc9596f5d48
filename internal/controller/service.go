package controller

import (
	"context"
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/confirmer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
	"github.com/dragonflycroft/dragonflycroft/internal/failuredetector"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeatrequester"
	"github.com/dragonflycroft/dragonflycroft/internal/leaser"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/membershipplanner"
	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/submitter"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

const (
	// LeaseTTL is how long a host may act under a role after it sent the heartbeat that renewed the lease.
	LeaseTTL = time.Second
	// leaseMargin allows for clock rates that differ by up to 10%.
	leaseMargin = LeaseTTL / 10
	// initialGrantDelay lets every host send two heartbeats before the first roles of a new system are granted.
	initialGrantDelay = 2 * heartbeater.HeartbeatInterval
	// PermitTTL is how long a host may use a shed permit after it sent the heartbeat whose reply granted the permit.
	PermitTTL = time.Second
	// maxMissedHeartbeats is how many heartbeats a host may miss before it is no longer granted roles.
	maxMissedHeartbeats = 3
	// relayTimeout is how long after the announcement of a version the leader relies on the relay tree for hosts that have a parent
	// there. It covers a push through all levels. A parent may be cut off from the leader and still answer its children.
	relayTimeout = 300 * time.Millisecond
	// memberRemovalTimeout is the time without heartbeats after which a host is removed and its open orders become unknown. A
	// host that reconnects earlier can still conclude its orders.
	memberRemovalTimeout = 10 * time.Second
	// orderExpiryInterval is how often the ledger clock is advanced while the ledger contains orders.
	orderExpiryInterval = 10 * time.Second
	stepInterval        = 25 * time.Millisecond
	proposeTimeout      = 2 * time.Second
)

// Metrics of the control service.
var (
	heartbeatCounts = expvar.NewMap("controller_heartbeats")
	commandCounts   = expvar.NewMap("controller_commands")
	leadershipCount = expvar.NewInt("controller_leaderships")
	grantCount      = expvar.NewInt("controller_grants")
)

// Service handles heartbeats, commands and queries on a host that holds the replicated log. Only the leader serves them; the
// other hosts redirect to it. Set the exported fields before calling Register and Run.
type Service struct {
	HostID       string
	Network      Network
	Log          Log
	StateMachine *StateMachine
	// Voters is the number of voters that the leader maintains automatically; 0 leaves voter changes to operators.
	Voters int
	// WallClock returns the time that is recorded for display. No decision depends on it. It defaults to time.Now.
	WallClock func() time.Time

	origin             time.Time
	confirmer          confirmer.Confirmer
	heartbeatRequester heartbeatrequester.Requester
	stepNow            chan struct{}

	mu          sync.Mutex
	leadership  *leadership
	compressed  compressedDocument
	electedTerm uint64
	elected     bool
	cancel      context.CancelFunc
	done        chan struct{}
	wg          sync.WaitGroup
}

// leadership is the leader's state in one term that is not replicated.
type leadership struct {
	term             uint64
	leases           *leaser.Table
	detector         *failuredetector.Table
	permits          *permitter.Permitter
	inFlight         map[string]bool
	announcedVersion uint64
	// announcedAt is the time at which the leader notified its children of the version.
	announcedAt  time.Duration
	lastExpiryAt time.Duration
	voters       *membershipplanner.View
}

// Register adds the service's RPC handlers to the network. Call it before the network and the log run.
func (s *Service) Register() {
	s.origin = time.Now()
	s.confirmer.Log = s.Log
	s.heartbeatRequester.Network = s.Network
	s.stepNow = make(chan struct{}, 1)
	s.done = make(chan struct{})
	s.StateMachine.OnChange = s.requestStep
	s.Log.OnLeader(s.onLeader)
	s.Network.Handle(heartbeater.MethodHeartbeat, s.handleHeartbeat)
	s.Network.Handle(submitter.MethodSubmit, s.handleSubmit)
	s.Network.Handle(submitter.MethodQuery, s.handleQuery)
	s.Network.Handle(submitter.MethodVoters, s.handleVoters)
}

// requestStep makes Run execute its next step without waiting for the interval.
func (s *Service) requestStep() {
	select {
	case s.stepNow <- struct{}{}:
	default:
	}
}

func (s *Service) onLeader(term uint64, leader bool) {
	s.mu.Lock()
	s.elected, s.electedTerm = leader, term
	if s.leadership != nil && (!leader || s.leadership.term != term) {
		klog.Infof("controller: leadership ended host=%s term=%d", s.HostID, s.leadership.term)
		s.leadership = nil
	}
	s.mu.Unlock()
	s.requestStep()
}

// now returns the monotonic time since Register was called.
func (s *Service) now() time.Duration { return time.Since(s.origin) }

func (s *Service) wallClockMS() int64 {
	if s.WallClock != nil {
		return s.WallClock().UnixMilli()
	}
	return time.Now().UnixMilli()
}

// Run acts as leader whenever the log elects this host, until ctx ends or Close is called.
func (s *Service) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	s.confirmer.Start(ctx)
	defer s.shutDown()
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-s.stepNow:
		}
		s.beginLeadership(ctx)
		s.step(ctx)
	}
}

// shutDown ends the leadership and waits for proposals and requests in flight.
func (s *Service) shutDown() {
	s.mu.Lock()
	s.leadership, s.elected = nil, false
	s.mu.Unlock()
	s.confirmer.Stop()
	s.wg.Wait()
	s.heartbeatRequester.Wait()
	close(s.done)
}

// Close stops the service and waits until Run has finished.
func (s *Service) Close() error {
	s.mu.Lock()
	cancel := s.cancel
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		<-s.done
	}
	return nil
}

// beginLeadership starts a leadership after an election, once a quorum has confirmed it, so that the applied state includes
// everything that earlier leaders committed.
func (s *Service) beginLeadership(ctx context.Context) {
	s.mu.Lock()
	pending := s.elected && s.leadership == nil
	s.mu.Unlock()
	if !pending {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	term, _, err := s.Log.ConfirmLeader(ctx)
	if err != nil {
		return
	}
	begin := &controllerpb.Command{Term: term, Body: &controllerpb.Command_BeginTerm{BeginTerm: &controllerpb.BeginTerm{}}}
	result, err := s.propose(ctx, begin)
	if err == nil {
		err = marshaller.DecodeFailure(result.GetFailure())
	}
	if err != nil {
		klog.Warningf("controller: cannot begin leadership term=%d reason=%q", term, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.elected || s.electedTerm != term || s.leadership != nil {
		return
	}
	now := s.now()
	version, _, _ := s.StateMachine.Config()
	leadershipCount.Add(1)
	s.leadership = &leadership{
		term:     term,
		leases:   leaser.New(now, leaser.Options{TTL: LeaseTTL + leaseMargin, GrantDelay: initialGrantDelay}),
		detector: failuredetector.New(now, failuredetector.Options{MaxMissedHeartbeats: maxMissedHeartbeats, RemoveAfter: memberRemovalTimeout}),
		permits: permitter.New(now, permitter.Options{
			Term: term, PermitTTL: PermitTTL, Margin: leaseMargin, ReportTTL: LeaseTTL + leaseMargin,
		}),
		inFlight:         map[string]bool{},
		announcedVersion: version,
		announcedAt:      now,
		lastExpiryAt:     now,
		voters:           s.newView(now),
	}
	klog.Infof("controller: leadership started host=%s term=%d config_version=%d", s.HostID, term, version)
	// Live records each lease as renewed now, because the times of renewal are not replicated.
	for role, a := range s.StateMachine.Roles() {
		s.leadership.leases.Live(now, role, a)
	}
}

// step makes the leader's periodic decisions.
func (s *Service) step(ctx context.Context) {
	version, _, cfg := s.StateMachine.Config()
	members, _ := s.StateMachine.Members()
	roles := s.StateMachine.Roles()
	s.mu.Lock()
	defer s.mu.Unlock()
	lead := s.leadership
	if lead == nil {
		return
	}
	now := s.now()
	s.removeDeadMembers(ctx, lead, now, members)
	s.reconcileVoters(ctx, lead, now)
	s.grantRoles(ctx, lead, now, configuredRoles(cfg), roles, members)
	if s.updateShedLevel(lead, now, cfg, roles) {
		s.wakePoolHolders(ctx, members, roles)
	}
	if version > lead.announcedVersion {
		lead.announcedVersion, lead.announcedAt = version, now
		klog.Infof("controller: configuration accepted version=%d term=%d", version, lead.term)
		for _, m := range distributor.LeaderAndChildren(s.HostID, members) {
			s.heartbeatRequester.Request(ctx, m.Addr, "configuration")
		}
	}
	if orders, _ := s.StateMachine.Orders(); orders > 0 && now-lead.lastExpiryAt >= orderExpiryInterval {
		lead.lastExpiryAt = now
		s.proposeAsync(ctx, lead, "expire", &controllerpb.Command{
			Body: &controllerpb.Command_ExpireOrders{ExpireOrders: &controllerpb.ExpireOrders{}},
		}, nil)
	}
}

func (s *Service) removeDeadMembers(ctx context.Context, lead *leadership, now time.Duration, members []Member) {
	processes := make([]failuredetector.Process, 0, len(members))
	for _, m := range members {
		processes = append(processes, failuredetector.Process{Host: m.Host, Incarnation: m.Incarnation})
	}
	for _, p := range lead.detector.Dead(now, processes) {
		heartbeat, silence := lead.detector.LastHeartbeat(now, p)
		started := s.proposeAsync(ctx, lead, "member/"+p.Host, &controllerpb.Command{
			Body: &controllerpb.Command_RemoveMember{
				RemoveMember: &controllerpb.RemoveMember{Host: p.Host, Incarnation: p.Incarnation},
			},
		}, nil)
		if started {
			klog.Infof("controller: removing member host=%s incarnation=%d leaving=%t silent=%v", p.Host, p.Incarnation, heartbeat.Leaving, silence)
		}
	}
}

func (s *Service) grantRoles(ctx context.Context, lead *leadership, now time.Duration, configured []string, roles map[string]marshaller.Assignment, members []Member) {
	var hosts []leaser.Host
	for _, m := range members {
		if lead.detector.Eligible(now, failuredetector.Process{Host: m.Host, Incarnation: m.Incarnation}) {
			hosts = append(hosts, leaser.Host{ID: m.Host, Incarnation: m.Incarnation, Zone: m.Zone, Leader: m.Host == s.HostID})
		}
	}
	for _, g := range lead.leases.Plan(now, configured, roles, hosts) {
		started := s.proposeAsync(ctx, lead, "role/"+g.Role, &controllerpb.Command{
			Body: &controllerpb.Command_GrantRole{GrantRole: &controllerpb.GrantRole{
				Role: g.Role, Host: g.Host, Incarnation: g.Incarnation, PreviousEpoch: g.PreviousEpoch,
			}},
		}, func() {
			if m, ok := s.StateMachine.Member(g.Host); ok {
				s.heartbeatRequester.Request(ctx, m.Addr, "role")
			}
		})
		if started {
			grantCount.Add(1)
			klog.Infof("controller: granting role=%s host=%s previous_epoch=%d term=%d", g.Role, g.Host, g.PreviousEpoch, lead.term)
		}
	}
}

// updateShedLevel recomputes the shed level and reports whether it changed.
func (s *Service) updateShedLevel(lead *leadership, now time.Duration, cfg *configurer.Config, roles map[string]marshaller.Assignment) bool {
	if cfg == nil {
		return false
	}
	pools := make([]permitter.Role, 0, len(cfg.Pools))
	for _, p := range cfg.Pools {
		role := PoolRole(p.Name)
		a := roles[role]
		pools = append(pools, permitter.Role{Name: role, Epoch: a.Epoch, Live: lead.leases.Live(now, role, a)})
	}
	leastUrgent := 0
	for _, t := range cfg.Tiers {
		leastUrgent = max(leastUrgent, t.Order)
	}
	changed := lead.permits.Step(now, pools, leastUrgent)
	if changed {
		level, _ := lead.permits.Level()
		klog.Infof("controller: shed level closed_below=%d number=%d term=%d", level.ClosedBelow, level.Number, level.Term)
	}
	return changed
}

// wakePoolHolders asks the holders of pool roles to send a heartbeat at once.
func (s *Service) wakePoolHolders(ctx context.Context, members []Member, roles map[string]marshaller.Assignment) {
	holders := map[string]bool{}
	for role, a := range roles {
		if isPoolRole(role) {
			holders[a.Host] = true
		}
	}
	for _, m := range members {
		if holders[m.Host] {
			s.heartbeatRequester.Request(ctx, m.Addr, "shed level")
		}
	}
}

// configuredRoles returns the roles of a configuration. An imported configuration has none.
func configuredRoles(cfg *configurer.Config) []string {
	if cfg == nil || cfg.Import != nil {
		return nil
	}
	out := []string{RolePlacement}
	for _, p := range cfg.Pools {
		out = append(out, PoolRole(p.Name))
	}
	return out
}

func isPoolRole(role string) bool { return strings.HasPrefix(role, rolePoolPrefix) }

// propose stamps a command with the wall clock and the ledger clock, and commits it.
func (s *Service) propose(ctx context.Context, cmd *controllerpb.Command) (*controllerpb.Result, error) {
	cmd.UnixMs, cmd.ClockMs = s.wallClockMS(), s.StateMachine.ClockMS()
	raw, err := proto.Marshal(cmd)
	if err != nil {
		return nil, eris.Wrap(err, "encode command")
	}
	out, err := s.Log.Propose(ctx, raw)
	if err != nil {
		return nil, err
	}
	result := &controllerpb.Result{}
	return result, eris.Wrap(proto.Unmarshal(out, result), "decode result")
}

// proposeAsync proposes a command in the background and calls applied, if set, once it has been applied. It returns false if a
// proposal with the same name is already in flight. The caller holds s.mu.
func (s *Service) proposeAsync(ctx context.Context, lead *leadership, name string, cmd *controllerpb.Command, applied func()) bool {
	if lead.inFlight[name] {
		return false
	}
	lead.inFlight[name] = true
	cmd.Term = lead.term
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		result, err := s.propose(ctx, cmd)
		if err == nil {
			err = marshaller.DecodeFailure(result.GetFailure())
		}
		s.mu.Lock()
		delete(lead.inFlight, name)
		s.mu.Unlock()
		if err != nil {
			klog.Warningf("controller: proposal failed name=%s reason=%q", name, err)
			return
		}
		if applied != nil {
			applied()
		}
	})
	return true
}

// checkSender returns an error if host is not the host that sent the message.
func checkSender(peer transporter.Peer, host string) error {
	if peer.HostID != host {
		return eris.Errorf("host %q sent a heartbeat for %q", peer.HostID, host)
	}
	return nil
}
