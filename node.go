// Package dragonflycroft schedules callers' requests on model engines and plain services. A Node is one entry host.
package dragonflycroft

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/administrator"
	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/committer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/dispatcher"
	"github.com/dragonflycroft/dragonflycroft/internal/executor"
	"github.com/dragonflycroft/dragonflycroft/internal/follower"
	"github.com/dragonflycroft/dragonflycroft/internal/holder"
	"github.com/dragonflycroft/dragonflycroft/internal/identifier"
	"github.com/dragonflycroft/dragonflycroft/internal/lister"
	"github.com/dragonflycroft/dragonflycroft/internal/resolver"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/server"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
	"github.com/dragonflycroft/dragonflycroft/internal/watcher"
)

// leaveTimeout limits each exchange with the control hosts during a stop.
const leaveTimeout = time.Second

// Control is the part of a node that keeps configuration, roles, members and orders consistent with the other hosts.
type Control interface {
	holder.Roles
	holder.Configuration
	holder.Shedder
	committer.Ledger
	follower.Hosts
	OnShed(fn func(closedBelow, permitTier int, permitFor time.Duration))
	// Register adds the control methods to the transport. Call it before the transport runs.
	Register()
	// Run runs the control part until ctx ends.
	Run(ctx context.Context) error
	// Joined returns a channel that is closed once this process has an incarnation.
	Joined() <-chan struct{}
	Incarnation() uint64
	// Owners returns the live processes of entry hosts, each as host id and incarnation.
	Owners() []string
	// HandOver releases the roles; Leave removes this process from the members.
	HandOver(ctx context.Context) error
	Leave(ctx context.Context) error
}

// CutOffError lists the requests that were in progress when a node was aborted.
type CutOffError struct{ Requests []string }

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("%d requests were cut off: %v", len(e.Requests), e.Requests)
}

// listWait limits the time that a new holder waits for the platform's first host list. It is below the 5 s after which a leaving
// endpoint must receive no new work, and above the timeouts of two polls.
const listWait = 3 * time.Second

// configVersion is the version of the configuration that this process uses.
var configVersion = expvar.NewInt("node_config_version")

// Node is one entry host. Set the exported fields before Run.
type Node struct {
	HostID string
	Zone   string
	// PeerAddr is the listen address for other hosts, CallerAddr that for callers.
	PeerAddr   string
	CallerAddr string
	// PeerAdvertise is the address at which other hosts connect; it defaults to PeerAddr.
	PeerAdvertise string
	// Key is shared by all hosts.
	Key []byte
	// NewControl builds the control part for this node's transport.
	NewControl func(t *transporter.Transport) (Control, error)
	// NewStepper builds the state machine that schedules a pool in an epoch; nil means the scheduler.
	NewStepper func(pool string, epoch uint64) holder.Stepper
	// HostList is the platform's list of live and leaving endpoints; it may be nil.
	HostList lister.Source
	// Operators serves operators; it may be nil.
	Operators *administrator.Administrator
	// Endpoint holds the timeouts of exchanges with endpoints.
	Endpoint connector.Timeouts
	// PollInterval is the time between two load reports of an endpoint.
	PollInterval time.Duration
	Times        executor.Timeouts
	// KeptBytes and KeptFor limit the size and age of the answers kept for fetches and repeated idempotency keys.
	KeptBytes int
	KeptFor   time.Duration
	// MaxBodyBytes, MaxHeaderBytes, BodyMemoryBytes and the timeouts are limits of the callers' listener.
	MaxBodyBytes    int
	MaxHeaderBytes  int
	BodyMemoryBytes int64
	ReadTimeout     time.Duration
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
	BodyTimeout     time.Duration
	// ClientMemoryBytes and MaxConns bound what all callers take together; see server.Server.
	ClientMemoryBytes int64
	MaxConns          int
	// BalancerDelay is the time for which a stopping node still accepts requests, until the load balancer has detected that it
	// is unready.
	BalancerDelay time.Duration
	// DrainTimeout limits the wait for requests in progress; 0 means no limit.
	DrainTimeout time.Duration

	setupOnce  sync.Once
	setupErr   error
	transport  *transporter.Transport
	control    Control
	resolver   *resolver.Resolver
	holders    *holder.Manager
	sessions   *sessionSet
	placement  *placementLeader
	dispatcher atomic.Pointer[dispatcher.Dispatcher]
	answers    *answerer.Store
	server     *server.Server
	draining   atomic.Bool
	rejecting  atomic.Bool
	refusedIDs atomic.Uint64
	aborted    chan struct{}
	abortOnce  sync.Once
}

// Listen binds the addresses, so that PeerAddress and CallerAddress are available before Run.
func (n *Node) Listen() error {
	n.setupOnce.Do(func() { n.setupErr = n.setup() })
	return n.setupErr
}

func (n *Node) setup() error {
	n.aborted = make(chan struct{})
	if n.HostID == "" || n.NewControl == nil || len(n.Key) == 0 {
		return eris.New("node: HostID, Key and NewControl must be set before Run")
	}
	n.transport = &transporter.Transport{
		HostID: n.HostID, Zone: n.Zone, ListenAddr: n.PeerAddr, AdvertiseAddr: n.PeerAdvertise, Key: n.Key,
	}
	if err := n.transport.Listen(); err != nil {
		return err
	}
	n.answers = &answerer.Store{MaxBytes: n.KeptBytes, Retention: n.KeptFor}
	n.server = &server.Server{
		ListenAddr: n.CallerAddr, Requests: n, UnreadyReason: n.Unready, RefusalReason: n.rejectReason,
		MaxBodyBytes: n.MaxBodyBytes, MaxHeaderBytes: n.MaxHeaderBytes, BodyMemoryBytes: n.BodyMemoryBytes,
		ReadTimeout: n.ReadTimeout, WriteTimeout: n.WriteTimeout, IdleTimeout: n.IdleTimeout, BodyTimeout: n.BodyTimeout,
		ClientMemoryBytes: n.ClientMemoryBytes, MaxConns: n.MaxConns,
	}
	if err := n.server.Listen(); err != nil {
		return errors.Join(err, n.transport.Close())
	}
	control, err := n.NewControl(n.transport)
	if err != nil {
		return errors.Join(err, n.transport.Close())
	}
	n.control = control
	if n.Operators != nil {
		n.Operators.Ready = n.ready
		if err := n.Operators.Listen(); err != nil {
			return errors.Join(err, n.transport.Close())
		}
	}
	n.server.Config = control.Config
	return nil
}

// PeerAddress returns the address at which other hosts connect. Call it after Listen.
func (n *Node) PeerAddress() string { return n.transport.Addr() }

// CallerAddress returns the address bound for callers. Call it after Listen.
func (n *Node) CallerAddress() string { return n.server.Addr() }

// Unready returns the reason why the load balancer should send no requests to this node, or an empty string if it is ready.
func (n *Node) Unready() string {
	if n.draining.Load() {
		return "it is stopping"
	}
	return n.rejectReason()
}

// rejectReason returns the reason why this node rejects new requests, or an empty string if it accepts them.
func (n *Node) rejectReason() string {
	if n.rejecting.Load() {
		return "it is stopping"
	}
	d := n.dispatcher.Load()
	if d == nil {
		return "it has not joined yet"
	}
	if d.Incarnation != n.control.Incarnation() {
		return "another process runs under its host id"
	}
	version, _, fresh := n.control.Config()
	switch {
	case version == 0:
		return "it holds no confirmed configuration"
	case !fresh:
		return "it cannot confirm its configuration"
	}
	return ""
}

func (n *Node) ready() error {
	if reason := n.Unready(); reason != "" {
		return errors.New(reason)
	}
	return nil
}

// Accept implements server.Requests.
func (n *Node) Accept(req describer.Request) (*answerer.Answer, *answerer.Reader, error) {
	d := n.dispatcher.Load()
	if d == nil {
		return nil, nil, eris.New("this entry host has not joined yet")
	}
	return d.Accept(req)
}

// Fetch implements server.Requests.
func (n *Node) Fetch(workspace, id string, from int) (*answerer.Answer, *answerer.Reader, error) {
	d := n.dispatcher.Load()
	if d == nil {
		return nil, nil, &dispatcher.NotFoundError{RequestID: id}
	}
	return d.Fetch(workspace, id, from)
}

// NewID implements server.Requests.
func (n *Node) NewID(workspace string) string {
	if d := n.dispatcher.Load(); d != nil {
		return d.NewID(workspace)
	}
	// No process has incarnation 0, so no run can have this id.
	return identifier.Owner(n.HostID, 0) + "." + strconv.FormatUint(n.refusedIDs.Add(1), 10)
}

// Run serves until ctx ends, and then stops gracefully: it becomes unready, waits for BalancerDelay, releases its roles and
// lets each accepted request finish. After Abort it returns a *CutOffError if requests were in progress.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Listen(); err != nil {
		return err
	}
	// All parts outlive ctx, since the graceful stop needs them.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.start(workCtx)
	group, groupCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return n.transport.Run(workCtx) })
	group.Go(func() error { return n.control.Run(workCtx) })
	group.Go(n.server.Run)
	if n.Operators != nil {
		group.Go(func() error { return n.Operators.Run(workCtx) })
	}
	group.Go(func() error { return n.join(groupCtx) })
	stopped := make(chan error, 1)
	go func() {
		select {
		case <-ctx.Done():
			stopped <- n.stop(workCtx, cancel)
		case <-n.aborted:
			stopped <- n.shutdown(cancel)
		case <-groupCtx.Done():
			stopped <- n.shutdown(cancel)
		}
	}()
	err := group.Wait()
	return errors.Join(err, <-stopped)
}

// Abort stops the node at once, without waiting for requests in progress.
func (n *Node) Abort() { n.abortOnce.Do(func() { close(n.aborted) }) }

func (n *Node) start(ctx context.Context) {
	n.resolver = &resolver.Resolver{Timeouts: n.endpointTimeouts()}
	n.control.Subscribe(func(version uint64, cfg *Config) {
		n.resolver.Apply(cfg)
		configVersion.Set(int64(version))
		klog.Infof("node: configuration in force host=%s version=%d endpoints=%d", n.HostID, version, len(cfg.Endpoints))
	})
	if _, cfg, _ := n.control.Config(); cfg != nil {
		n.resolver.Apply(cfg)
	}
	if n.NewStepper == nil {
		n.NewStepper = n.newScheduler
	}
	n.holders = &holder.Manager{
		Transport: n.transport, Roles: n.control, Configuration: n.control, Shedder: n.control,
		NewStepper: n.NewStepper, Watch: n.watch,
	}
	n.holders.Start(ctx)
	n.control.OnShed(n.holders.PostShedding)
	n.placement = &placementLeader{node: n, ctx: ctx}
	n.control.OnRole(n.placement.onRole)
	n.control.Register()
}

func (n *Node) endpointTimeouts() connector.Timeouts {
	t, d := n.Endpoint, connector.DefaultTimeouts()
	for _, f := range []struct {
		set *time.Duration
		def time.Duration
	}{{&t.Connect, d.Connect}, {&t.FirstByte, d.FirstByte}, {&t.Gap, d.Gap}} {
		if *f.set <= 0 {
			*f.set = f.def
		}
	}
	// The dispatcher limits the total time of a run and also cancels it at the endpoint.
	t.Total = 0
	return t
}

func (n *Node) newScheduler(pool string, epoch uint64) holder.Stepper {
	options := scheduler.Options{Pool: pool, Epoch: epoch, Seed: epoch, Hosts: n.control.Owners()}
	if n.HostList != nil {
		options.HostListTimeout = listWait
	}
	return scheduler.New(options)
}

func (n *Node) watch(ctx context.Context, h *holder.Holder) {
	w := &watcher.Watcher{Pool: h.Pool, Engines: n.resolver, Interval: n.PollInterval, List: n.HostList, Post: h.Post}
	w.Run(ctx)
}

// join starts the dispatcher once this process has an incarnation, which is part of the request ids.
func (n *Node) join(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.control.Joined():
	}
	d := &dispatcher.Dispatcher{
		HostID: n.HostID, Incarnation: n.control.Incarnation(), Zone: n.Zone, Transport: n.transport,
		Endpoints: n.resolver, Ledger: n.control, Hosts: n.control, Store: n.answers, Timeouts: n.Times,
	}
	n.sessions = newSessionSet(ctx, n, d.Owner())
	d.Session, d.Sessions = n.sessions.get, n.sessions.all
	d.Start(context.WithoutCancel(ctx))
	n.control.Subscribe(func(_ uint64, cfg *Config) { n.sessions.reconcile(cfg) })
	if _, cfg, _ := n.control.Config(); cfg != nil {
		n.sessions.reconcile(cfg)
	}
	n.dispatcher.Store(d)
	klog.Infof("node: joined host=%s zone=%s owner=%s peers=%s callers=%s", n.HostID, n.Zone, d.Owner(), n.PeerAddress(), n.CallerAddress())
	return nil
}

// stop stops the node gracefully.
func (n *Node) stop(workCtx context.Context, cancel context.CancelFunc) error {
	n.draining.Store(true)
	klog.Infof("node: stopping host=%s active=%d", n.HostID, n.answers.Active())
	if !n.sleep(n.BalancerDelay) {
		return n.shutdown(cancel)
	}
	n.rejecting.Store(true)
	n.callWithTimeout(workCtx, "roles not handed over", n.control.HandOver)
	drainCtx, cancelDrain := n.drainContext(workCtx)
	defer cancelDrain()
	if d := n.dispatcher.Load(); d != nil && d.Drain(drainCtx) != nil {
		return n.shutdown(cancel)
	}
	// The answers have been produced; the listener closes once they have been written.
	closeErr := n.server.Close(drainCtx)
	n.callWithTimeout(workCtx, "not removed from the members", n.control.Leave)
	err := n.shutdown(cancel)
	if closeErr != nil {
		err = errors.Join(err, &CutOffError{Requests: []string{"answers that were still being written"}})
	}
	return err
}

// drainContext returns a context that ends after DrainTimeout or on an abort.
func (n *Node) drainContext(workCtx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(workCtx)
	if n.DrainTimeout > 0 {
		ctx, cancel = context.WithTimeout(workCtx, n.DrainTimeout)
	}
	go func() {
		select {
		case <-n.aborted:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// callWithTimeout runs call, an exchange with the control hosts during a stop, and logs failure if it fails.
func (n *Node) callWithTimeout(workCtx context.Context, failure string, call func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(workCtx, leaveTimeout)
	defer cancel()
	if err := call(ctx); err != nil {
		klog.Warningf("node: %s host=%s reason=%q", failure, n.HostID, err)
	}
}

// sleep waits for d. It returns false if the node is aborted meanwhile.
func (n *Node) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.aborted:
		return false
	}
}

// shutdown stops all parts at once. It returns a *CutOffError if requests were in progress.
func (n *Node) shutdown(cancel context.CancelFunc) error {
	n.rejecting.Store(true)
	var interrupted []string
	if d := n.dispatcher.Load(); d != nil {
		interrupted = d.Close()
	}
	cancel()
	now, done := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer done()
	_ = n.server.Close(now)
	err := n.transport.Close()
	n.holders.Wait()
	n.placement.wait()
	if n.sessions != nil {
		n.sessions.wait()
	}
	if len(interrupted) > 0 {
		return errors.Join(err, &CutOffError{Requests: interrupted})
	}
	klog.Infof("node: stopped host=%s", n.HostID)
	return err
}
