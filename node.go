// Package dragonflycroft schedules requests of callers over model engines and plain services. A Node is one entry host.
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
	"github.com/dragonflycroft/dragonflycroft/internal/booker"
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

// leaveTimeout bounds the last exchanges of a stop with the control hosts.
const leaveTimeout = time.Second

// Control is the part of a node that agrees with the other hosts on configuration, roles, members and orders.
type Control interface {
	holder.Roles
	holder.Configuration
	holder.Shedder
	booker.Ledger
	follower.Hosts
	OnShed(fn func(closedBelow, permitTier int, permitFor time.Duration))
	// Register adds methods to the transport before it runs.
	Register()
	// Run takes part until ctx ends.
	Run(ctx context.Context) error
	// Joined is closed once this process has an incarnation.
	Joined() <-chan struct{}
	Incarnation() uint64
	// Owners names the live processes of entry hosts with their incarnations.
	Owners() []string
	// HandOver gives the roles up; Leave removes this process from the members.
	HandOver(ctx context.Context) error
	Leave(ctx context.Context) error
}

// CutOffError lists the requests that were in progress when a node was aborted.
type CutOffError struct{ Requests []string }

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("%d requests were cut off: %v", len(e.Requests), e.Requests)
}

// listWait bounds the wait of a new holder for the platform's first host list. It is below the 5 s after which a leaving
// endpoint must receive no new work, and above the time limits of two polls.
const listWait = 3 * time.Second

// versionInForce is the configuration version that this process acts on.
var versionInForce = expvar.NewInt("node_config_version")

// Node is one entry host. Set the exported fields before Run.
type Node struct {
	HostID string
	Zone   string
	// PeerAddr is where other hosts reach this one, CallerAddr where callers do.
	PeerAddr   string
	CallerAddr string
	// PeerAdvertise is the address that other hosts use; it defaults to PeerAddr.
	PeerAdvertise string
	// Key is shared by all hosts.
	Key []byte
	// NewControl builds the control part for this node's transport.
	NewControl func(t *transporter.Transport) (Control, error)
	// NewStepper builds the decision core of a pool for an epoch; nil means the scheduler.
	NewStepper func(pool string, epoch uint64) holder.Stepper
	// HostList is the platform's list of live and leaving endpoints; it may be nil.
	HostList lister.Source
	// Operators is the operators' listener; it may be nil.
	Operators *administrator.Administrator
	// Endpoint bounds the exchanges with endpoints.
	Endpoint connector.Timeouts
	// PollInterval is the time between two load reports of an endpoint.
	PollInterval time.Duration
	Times        executor.Times
	// KeptBytes and KeptFor bound the answers kept for fetches and repeated keys.
	KeptBytes int
	KeptFor   time.Duration
	// MaxBodyBytes, MaxHeaderBytes, BodyMemoryBytes and the timeouts concern the callers' listener.
	MaxBodyBytes    int
	MaxHeaderBytes  int
	BodyMemoryBytes int64
	ReadTimeout     time.Duration
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
	BodyTimeout     time.Duration
	// BalancerDelay is how long a stopping node still accepts requests while the balancer learns that it is not ready.
	BalancerDelay time.Duration
	// DrainTimeout bounds the wait for requests in progress; 0 means no bound.
	DrainTimeout time.Duration

	once      sync.Once
	setupErr  error
	transport *transporter.Transport
	control   Control
	resolver  *resolver.Resolver
	desk      *holder.Desk
	sessions  *sessionSet
	placement *placement
	requests  atomic.Pointer[dispatcher.Dispatcher]
	store     *answerer.Store
	server    *server.Server
	leaving   atomic.Bool
	stopping  atomic.Bool
	refused   atomic.Uint64
	aborted   chan struct{}
	abortOnce sync.Once
}

// Listen binds the addresses, so that they are known before Run.
func (n *Node) Listen() error {
	n.once.Do(func() { n.setupErr = n.setup() })
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
	n.store = &answerer.Store{MaxBytes: n.KeptBytes, Retention: n.KeptFor}
	n.server = &server.Server{
		ListenAddr: n.CallerAddr, Requests: n, Ready: n.Unready, Accepting: n.refusing,
		MaxBodyBytes: n.MaxBodyBytes, MaxHeaderBytes: n.MaxHeaderBytes, BodyMemoryBytes: n.BodyMemoryBytes,
		ReadTimeout: n.ReadTimeout, WriteTimeout: n.WriteTimeout, IdleTimeout: n.IdleTimeout, BodyTimeout: n.BodyTimeout,
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

// PeerAddress returns the bound address for other hosts.
func (n *Node) PeerAddress() string { return n.transport.Addr() }

// CallerAddress returns the bound address for callers.
func (n *Node) CallerAddress() string { return n.server.Addr() }

// Unready returns an empty text, or why the balancer should send this node no more requests.
func (n *Node) Unready() string {
	if n.leaving.Load() {
		return "it is stopping"
	}
	return n.refusing()
}

// refusing returns an empty text, or why this node refuses new requests.
func (n *Node) refusing() string {
	if n.stopping.Load() {
		return "it is stopping"
	}
	d := n.requests.Load()
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
	d := n.requests.Load()
	if d == nil {
		return nil, nil, eris.New("this entry host has not joined yet")
	}
	return d.Accept(req)
}

// Fetch implements server.Requests.
func (n *Node) Fetch(workspace, id string, from int) (*answerer.Answer, *answerer.Reader, error) {
	d := n.requests.Load()
	if d == nil {
		return nil, nil, &dispatcher.NotFoundError{RequestID: id}
	}
	return d.Fetch(workspace, id, from)
}

// NewID implements server.Requests.
func (n *Node) NewID(workspace string) string {
	if d := n.requests.Load(); d != nil {
		return d.NewID(workspace)
	}
	// Incarnation 0 names no process: nothing with this id can run.
	return identifier.Owner(n.HostID, 0) + "." + strconv.FormatUint(n.refused.Add(1), 10)
}

// Run serves until ctx ends, and then stops as planned: it becomes unready, waits for the balancer, hands its roles over and
// lets each accepted request finish. After Abort it returns a *CutOffError if requests were in progress.
func (n *Node) Run(ctx context.Context) error {
	if err := n.Listen(); err != nil {
		return err
	}
	// Everything but the planned stop outlives ctx.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.start(work)
	group, groupCtx := errgroup.WithContext(work)
	group.Go(func() error { return n.transport.Run(work) })
	group.Go(func() error { return n.control.Run(work) })
	group.Go(n.server.Run)
	if n.Operators != nil {
		group.Go(func() error { return n.Operators.Run(work) })
	}
	group.Go(func() error { return n.join(groupCtx) })
	stopped := make(chan error, 1)
	go func() {
		select {
		case <-ctx.Done():
			stopped <- n.stop(work, cancel)
		case <-n.aborted:
			stopped <- n.cutOff(cancel)
		case <-groupCtx.Done():
			stopped <- n.cutOff(cancel)
		}
	}()
	err := group.Wait()
	return errors.Join(err, <-stopped)
}

// Abort ends the node at once.
func (n *Node) Abort() { n.abortOnce.Do(func() { close(n.aborted) }) }

func (n *Node) start(ctx context.Context) {
	n.resolver = &resolver.Resolver{Timeouts: n.endpointTimeouts()}
	n.control.Subscribe(func(version uint64, cfg *Config) {
		n.resolver.Apply(cfg)
		versionInForce.Set(int64(version))
		klog.Infof("node: configuration in force host=%s version=%d endpoints=%d", n.HostID, version, len(cfg.Endpoints))
	})
	if _, cfg, _ := n.control.Config(); cfg != nil {
		n.resolver.Apply(cfg)
	}
	if n.NewStepper == nil {
		n.NewStepper = n.newScheduler
	}
	n.desk = &holder.Desk{
		Transport: n.transport, Roles: n.control, Configuration: n.control, Shedder: n.control,
		NewStepper: n.NewStepper, Watch: n.watch,
	}
	n.desk.Start(ctx)
	n.control.OnShed(n.desk.Shed)
	n.placement = &placement{node: n, ctx: ctx}
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
	// The total of a run is bounded by the dispatcher, which also cancels it at the endpoint.
	t.Total = 0
	return t
}

func (n *Node) newScheduler(pool string, epoch uint64) holder.Stepper {
	options := scheduler.Options{Pool: pool, Epoch: epoch, Seed: epoch, Hosts: n.control.Owners()}
	if n.HostList != nil {
		options.ListWait = listWait
	}
	return scheduler.New(options)
}

func (n *Node) watch(ctx context.Context, h *holder.Holder) {
	w := &watcher.Watcher{Pool: h.Pool, Engines: n.resolver, Interval: n.PollInterval, List: n.HostList, Post: h.Post}
	w.Run(ctx)
}

// join starts the dispatcher once this process has an incarnation, which is part of its request ids.
func (n *Node) join(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.control.Joined():
	}
	d := &dispatcher.Dispatcher{
		HostID: n.HostID, Incarnation: n.control.Incarnation(), Zone: n.Zone, Transport: n.transport,
		Endpoints: n.resolver, Ledger: n.control, Hosts: n.control, Store: n.store, Times: n.Times,
	}
	n.sessions = newSessionSet(ctx, n, d.Owner())
	d.Session, d.Sessions = n.sessions.get, n.sessions.all
	d.Start(context.WithoutCancel(ctx))
	n.control.Subscribe(func(_ uint64, cfg *Config) { n.sessions.match(cfg) })
	if _, cfg, _ := n.control.Config(); cfg != nil {
		n.sessions.match(cfg)
	}
	n.requests.Store(d)
	klog.Infof("node: joined host=%s zone=%s owner=%s peers=%s callers=%s", n.HostID, n.Zone, d.Owner(), n.PeerAddress(), n.CallerAddress())
	return nil
}

// stop ends the node as planned.
func (n *Node) stop(work context.Context, cancel context.CancelFunc) error {
	n.leaving.Store(true)
	klog.Infof("node: stopping host=%s active=%d", n.HostID, n.store.Active())
	if !n.wait(n.BalancerDelay) {
		return n.cutOff(cancel)
	}
	n.stopping.Store(true)
	n.bounded(work, "roles not handed over", n.control.HandOver)
	drain, undrain := n.drainContext(work)
	defer undrain()
	if d := n.requests.Load(); d != nil && d.Drain(drain) != nil {
		return n.cutOff(cancel)
	}
	// The answers have been produced; the listener closes once they have been written.
	written := n.server.Close(drain)
	n.bounded(work, "did not leave the members", n.control.Leave)
	err := n.cutOff(cancel)
	if written != nil {
		err = errors.Join(err, &CutOffError{Requests: []string{"answers that were still being written"}})
	}
	return err
}

// drainContext ends with the drain time and with an abort.
func (n *Node) drainContext(work context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(work)
	if n.DrainTimeout > 0 {
		ctx, cancel = context.WithTimeout(work, n.DrainTimeout)
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

// bounded runs one of the last exchanges with the control hosts.
func (n *Node) bounded(work context.Context, failed string, exchange func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(work, leaveTimeout)
	defer cancel()
	if err := exchange(ctx); err != nil {
		klog.Warningf("node: %s host=%s reason=%q", failed, n.HostID, err)
	}
}

// wait pauses. It returns false when the node was aborted.
func (n *Node) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-n.aborted:
		return false
	}
}

// cutOff ends all parts and reports the requests in progress.
func (n *Node) cutOff(cancel context.CancelFunc) error {
	n.stopping.Store(true)
	var cut []string
	if d := n.requests.Load(); d != nil {
		cut = d.Close()
	}
	cancel()
	now, done := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer done()
	_ = n.server.Close(now)
	err := n.transport.Close()
	n.desk.Wait()
	n.placement.wait()
	if n.sessions != nil {
		n.sessions.wait()
	}
	if len(cut) > 0 {
		return errors.Join(err, &CutOffError{Requests: cut})
	}
	klog.Infof("node: stopped host=%s", n.HostID)
	return err
}
