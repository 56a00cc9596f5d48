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
	"github.com/dragonflycroft/dragonflycroft/internal/detector"
	"github.com/dragonflycroft/dragonflycroft/internal/distributor"
	"github.com/dragonflycroft/dragonflycroft/internal/heartbeater"
	"github.com/dragonflycroft/dragonflycroft/internal/leaser"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/permitter"
	"github.com/dragonflycroft/dragonflycroft/internal/submitter"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
	"github.com/dragonflycroft/dragonflycroft/internal/waker"
)

const (
	// LeaseTTL is how long a host may act under a role after it sent the heartbeat that renewed it.
	LeaseTTL = time.Second
	// leaseMargin covers clocks that run up to 10% apart.
	leaseMargin = LeaseTTL / 10
	// settleFor lets every host be heard twice before the first roles of an empty system are granted.
	settleFor = 2 * heartbeater.HeartbeatInterval
	// PermitTTL is how long a shed permit lasts.
	PermitTTL = time.Second
	// missedBeats is how many heartbeats a host may miss before it is given no more roles.
	missedBeats = 3
	// removeAfter is the silence after which a host's open orders become unknown. A host that returns earlier is a host whose
	// connection was interrupted; its orders can still be concluded.
	removeAfter = 10 * time.Second
	// expireInterval is how often the ledger clock is advanced while orders are held.
	expireInterval = 10 * time.Second
	stepInterval   = 25 * time.Millisecond
	proposeTimeout = 2 * time.Second
)

// Metrics of the control service.
var (
	countHeartbeats  = expvar.NewMap("controller_heartbeats")
	countCommands    = expvar.NewMap("controller_commands")
	countLeaderships = expvar.NewInt("controller_leaderships")
	countGrants      = expvar.NewInt("controller_grants")
)

// Service answers heartbeats, commands and queries on a host that holds the replicated log. Only the leader answers; the
// others name it. Set the exported fields before Run.
type Service struct {
	HostID  string
	Network Network
	Log     Log
	Machine *Machine
	// Voters is the number of voters that the leader keeps by itself; 0 leaves changes of the voters to operators.
	Voters int
	// Wall returns the time shown to people; it decides nothing. It defaults to time.Now.
	Wall func() time.Time

	origin  time.Time
	confirm confirmer.Confirmer
	waker   waker.Waker
	notify  chan struct{}

	mu         sync.Mutex
	lead       *leadership
	packed     packedDocument
	electedFor uint64
	elected    bool
	cancel     context.CancelFunc
	done       chan struct{}
	wg         sync.WaitGroup
}

// leadership is what a leader knows in its term and does not replicate.
type leadership struct {
	term        uint64
	leases      *leaser.Table
	detector    *detector.Table
	permits     *permitter.Permitter
	inFlight    map[string]bool
	toldVersion uint64
	expiredAt   time.Duration
	startedAt   time.Duration
	folders     map[string]folder
}

// Register adds the service's methods to the network. Call it before the network and the log run.
func (s *Service) Register() {
	s.origin = time.Now()
	s.confirm.Log = s.Log
	s.waker.Network = s.Network
	s.notify = make(chan struct{}, 1)
	s.done = make(chan struct{})
	s.Machine.OnChange = s.poke
	s.Log.OnLeader(s.onLeader)
	s.Network.Handle(heartbeater.MethodHeartbeat, s.handleHeartbeat)
	s.Network.Handle(submitter.MethodSubmit, s.handleSubmit)
	s.Network.Handle(submitter.MethodQuery, s.handleQuery)
	s.Network.Handle(submitter.MethodVoters, s.handleVoters)
}

// poke lets the loop run at once.
func (s *Service) poke() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *Service) onLeader(term uint64, leader bool) {
	s.mu.Lock()
	s.elected, s.electedFor = leader, term
	if s.lead != nil && (!leader || s.lead.term != term) {
		klog.Infof("controller: leadership ended host=%s term=%d", s.HostID, s.lead.term)
		s.lead = nil
	}
	s.mu.Unlock()
	s.poke()
}

// now returns the monotonic time since the service was created.
func (s *Service) now() time.Duration { return time.Since(s.origin) }

func (s *Service) wallMS() int64 {
	if s.Wall != nil {
		return s.Wall().UnixMilli()
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
	s.confirm.Start(ctx)
	defer s.stopped()
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-s.notify:
		}
		s.takeLead(ctx)
		s.step(ctx)
	}
}

// stopped ends the leadership and waits for what is in flight.
func (s *Service) stopped() {
	s.mu.Lock()
	s.lead, s.elected = nil, false
	s.mu.Unlock()
	s.confirm.Stop()
	s.wg.Wait()
	s.waker.Wait()
	close(s.done)
}

// Close stops the service and waits.
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

// takeLead starts a leadership once a quorum has confirmed it, so that the applied state holds all that earlier leaders
// committed.
func (s *Service) takeLead(ctx context.Context) {
	s.mu.Lock()
	wanted := s.elected && s.lead == nil
	s.mu.Unlock()
	if !wanted {
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
		klog.Warningf("controller: cannot begin term=%d reason=%q", term, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.elected || s.electedFor != term || s.lead != nil {
		return
	}
	now := s.now()
	version, _, _ := s.Machine.Config()
	countLeaderships.Add(1)
	s.lead = &leadership{
		term:     term,
		leases:   leaser.New(now, leaser.Options{TTL: LeaseTTL + leaseMargin, Settle: settleFor}),
		detector: detector.New(now, detector.Options{MissedBeats: missedBeats, RemoveAfter: removeAfter}),
		permits: permitter.New(now, permitter.Options{
			Term: term, PermitFor: PermitTTL, Margin: leaseMargin, ReportFor: LeaseTTL + leaseMargin,
		}),
		inFlight:    map[string]bool{},
		folders:     map[string]folder{},
		toldVersion: version,
		expiredAt:   now,
		startedAt:   now,
	}
	klog.Infof("controller: leadership started host=%s term=%d config_version=%d", s.HostID, term, version)
	// Every lease counts as renewed from this moment on.
	for role, a := range s.Machine.Roles() {
		s.lead.leases.Live(now, role, a)
	}
}

// step makes the leader's timed decisions.
func (s *Service) step(ctx context.Context) {
	version, _, cfg := s.Machine.Config()
	members, _ := s.Machine.Members()
	roles := s.Machine.Roles()
	s.mu.Lock()
	defer s.mu.Unlock()
	lead := s.lead
	if lead == nil {
		return
	}
	now := s.now()
	s.removeDead(ctx, lead, now, members)
	s.enroll(ctx, lead, now)
	s.grantRoles(ctx, lead, now, wantedRoles(cfg), roles, members)
	if s.stepPermits(lead, now, cfg, roles) {
		s.wakeHolders(ctx, members, roles)
	}
	if version > lead.toldVersion {
		lead.toldVersion = version
		klog.Infof("controller: configuration accepted version=%d term=%d", version, lead.term)
		for _, m := range distributor.Direct(s.HostID, members) {
			s.waker.Wake(ctx, m.Addr, "configuration")
		}
	}
	if orders, _ := s.Machine.Orders(); orders > 0 && now-lead.expiredAt >= expireInterval {
		lead.expiredAt = now
		s.proposeAsync(ctx, lead, "expire", &controllerpb.Command{
			Body: &controllerpb.Command_ExpireOrders{ExpireOrders: &controllerpb.ExpireOrders{}},
		}, nil)
	}
}

func (s *Service) removeDead(ctx context.Context, lead *leadership, now time.Duration, members []Member) {
	processes := make([]detector.Process, 0, len(members))
	for _, m := range members {
		processes = append(processes, detector.Process{Host: m.Host, Incarnation: m.Incarnation})
	}
	for _, p := range lead.detector.Dead(now, processes) {
		beat, silence := lead.detector.Last(now, p)
		started := s.proposeAsync(ctx, lead, "member/"+p.Host, &controllerpb.Command{
			Body: &controllerpb.Command_RemoveMember{
				RemoveMember: &controllerpb.RemoveMember{Host: p.Host, Incarnation: p.Incarnation},
			},
		}, nil)
		if started {
			klog.Infof("controller: removing member host=%s incarnation=%d leaving=%t silent=%v", p.Host, p.Incarnation, beat.Leaving, silence)
		}
	}
}

func (s *Service) grantRoles(ctx context.Context, lead *leadership, now time.Duration, wanted []string, roles map[string]marshaller.Assignment, members []Member) {
	var hosts []leaser.Host
	for _, m := range members {
		if lead.detector.Eligible(now, detector.Process{Host: m.Host, Incarnation: m.Incarnation}) {
			hosts = append(hosts, leaser.Host{ID: m.Host, Incarnation: m.Incarnation, Zone: m.Zone, Leader: m.Host == s.HostID})
		}
	}
	for _, g := range lead.leases.Plan(now, wanted, roles, hosts) {
		started := s.proposeAsync(ctx, lead, "role/"+g.Role, &controllerpb.Command{
			Body: &controllerpb.Command_GrantRole{GrantRole: &controllerpb.GrantRole{
				Role: g.Role, Host: g.Host, Incarnation: g.Incarnation, PreviousEpoch: g.Previous,
			}},
		}, func() {
			if m, ok := s.Machine.Member(g.Host); ok {
				s.waker.Wake(ctx, m.Addr, "role")
			}
		})
		if started {
			countGrants.Add(1)
			klog.Infof("controller: granting role=%s host=%s previous_epoch=%d term=%d", g.Role, g.Host, g.Previous, lead.term)
		}
	}
}

// stepPermits moves the shed level; it returns true when the level changed.
func (s *Service) stepPermits(lead *leadership, now time.Duration, cfg *configurer.Config, roles map[string]marshaller.Assignment) bool {
	if cfg == nil {
		return false
	}
	pools := make([]permitter.Role, 0, len(cfg.Pools))
	for _, p := range cfg.Pools {
		role := PoolRole(p.Name)
		a := roles[role]
		pools = append(pools, permitter.Role{Name: role, Epoch: a.Epoch, Live: lead.leases.Live(now, role, a)})
	}
	lowest := 0
	for _, t := range cfg.Tiers {
		lowest = max(lowest, t.Order)
	}
	changed := lead.permits.Step(now, pools, lowest)
	if changed {
		level, _ := lead.permits.Level()
		klog.Infof("controller: shed level closed_below=%d number=%d term=%d", level.ClosedBelow, level.Number, level.Term)
	}
	return changed
}

// wakeHolders wakes the holders of pool roles.
func (s *Service) wakeHolders(ctx context.Context, members []Member, roles map[string]marshaller.Assignment) {
	holders := map[string]bool{}
	for role, a := range roles {
		if isPoolRole(role) {
			holders[a.Host] = true
		}
	}
	for _, m := range members {
		if holders[m.Host] {
			s.waker.Wake(ctx, m.Addr, "shed level")
		}
	}
}

// wantedRoles are the roles of a configuration.
func wantedRoles(cfg *configurer.Config) []string {
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

// propose commits a command with the leader's stamps.
func (s *Service) propose(ctx context.Context, cmd *controllerpb.Command) (*controllerpb.Result, error) {
	cmd.UnixMs, cmd.ClockMs = s.wallMS(), s.Machine.ClockMS()
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

// proposeAsync proposes unless a proposal with the same name is in flight. The caller holds the lock.
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

// peerMatches refuses a message that names another host than the one whose transport sent it.
func peerMatches(peer transporter.Peer, host string) error {
	if peer.HostID != host {
		return eris.Errorf("host %q sent a heartbeat for %q", peer.HostID, host)
	}
	return nil
}
