// Package proxier sends requests to endpoints through other entry hosts while this host has no path to the endpoints, and serves
// the requests that other hosts send through this one.
package proxier

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/pathwatcher"
)

// Method opens the stream of one request through another host.
const Method = "proxier.send"

const (
	// maxPeers is the number of hosts that are asked to send one request.
	maxPeers = 4
	// openTimeout bounds the wait until a host accepts a request. It covers several round trips between availability zones.
	openTimeout = 250 * time.Millisecond
	// avoidTime is the time for which a host that did not accept a request is not asked again.
	avoidTime = time.Second
	// checkTimeout bounds one check of the paths, and checkStagger is the time after which it tries the next endpoint.
	checkTimeout = 400 * time.Millisecond
	checkStagger = 40 * time.Millisecond
)

var (
	pathChanges = expvar.NewMap("proxier_paths")
	sendCounts  = expvar.NewMap("proxier_sends")
)

// Stream is an ordered, bidirectional message stream.
type Stream interface {
	Send(m proto.Message) error
	Recv(m proto.Message) error
	Close() error
}

// Network opens streams to other hosts.
type Network interface {
	OpenStream(ctx context.Context, addr, method string) (Stream, error)
}

// Peer is another entry host.
type Peer struct{ ID, Zone, Addr string }

// NoPeerError reports that this host has no path to the endpoints and that no other host has accepted the request. It says nothing
// about the endpoint.
type NoPeerError struct {
	Tried  int
	Reason string
}

// Error implements error.
func (e *NoPeerError) Error() string {
	return fmt.Sprintf("no path to the endpoints, and none of %d other hosts accepted the request: %s", e.Tried, e.Reason)
}

// Sender sends requests to endpoints. Set the exported fields, then call Init before any other method.
type Sender struct {
	Zone    string
	Client  *exchanger.Client
	Network Network
	// Peers returns the other entry hosts.
	Peers func() []Peer
	// Endpoints returns all endpoints.
	Endpoints func() []balancer.Endpoint

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	paths map[string]*poolPaths
	// avoided holds the times until which hosts are not asked.
	avoided map[avoidKey]time.Time
}

// poolPaths is what is known about the paths to the endpoints of one pool.
type poolPaths struct {
	watcher pathwatcher.Watcher
	// checking is open while a check is in progress.
	checking chan struct{}
}

// avoidKey identifies a host that accepts no requests to the endpoints of a pool.
type avoidKey struct{ addr, pool string }

// Init prepares the state that the other methods use.
func (s *Sender) Init() {
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.paths, s.avoided = map[string]*poolPaths{}, map[avoidKey]time.Time{}
}

// Close ends the checks of the paths and waits for them.
func (s *Sender) Close() error {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

// PathLost reports whether this host has lost its paths to all endpoints of a pool, by what it knows already.
func (s *Sender) PathLost(pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.poolPaths(pool).watcher.Lost()
}

// poolPaths returns what is known about the paths to a pool. The caller holds the lock.
func (s *Sender) poolPaths(pool string) *poolPaths {
	p := s.paths[pool]
	if p == nil {
		p = &poolPaths{}
		s.paths[pool] = p
	}
	return p
}

// Do sends a request to an endpoint, and returns the host that it was sent through; empty if this host has sent it itself. Errors are of
// type *exchanger.NotSentError, which wraps a *NoPeerError if nothing is known about the endpoint, or *exchanger.InterruptedError.
// The caller must close the response.
func (s *Sender) Do(ctx context.Context, e balancer.Endpoint, req *exchanger.Request, id string) (response *exchanger.Response, via string, err error) {
	if !s.PathLost(e.Pool) {
		response, err = s.Client.Do(ctx, e.Addr, req)
		var unsent *exchanger.NotSentError
		if !errors.As(err, &unsent) || ctx.Err() != nil || !s.CheckPath(ctx, e.Pool) {
			return response, "", err
		}
	}
	return s.sendThroughPeer(ctx, e, req, id)
}

// CheckPath is called after a failed connect or a broken connection. It reports whether this host has lost its paths to all endpoints of a
// pool, after a check if there is no recent evidence.
func (s *Sender) CheckPath(ctx context.Context, pool string) (lost bool) {
	s.mu.Lock()
	p := s.poolPaths(pool)
	if p.checking == nil && p.watcher.NeedsCheck(time.Now()) && s.ctx.Err() == nil {
		s.startCheck(pool, p)
	}
	checking := p.checking
	s.mu.Unlock()
	if checking != nil {
		select {
		case <-checking:
		case <-ctx.Done():
		}
	}
	return s.PathLost(pool)
}

// startCheck starts a check of the paths to a pool. The caller holds the lock.
func (s *Sender) startCheck(pool string, p *poolPaths) {
	done := make(chan struct{})
	p.checking = done
	s.wg.Go(func() {
		addrs := s.addrs(pool)
		tried, reached := s.check(addrs)
		s.mu.Lock()
		defer s.mu.Unlock()
		defer close(done)
		p.checking = nil
		if s.applyCheck(pool, p, tried, reached) {
			// Idle connections may be dead without a sign.
			s.Client.CloseIdle(func(addr string) bool { return !slices.Contains(addrs, addr) })
		}
		if p.watcher.Lost() && s.ctx.Err() == nil {
			s.wg.Go(func() { s.recheck(pool, p) })
		}
	})
}

// applyCheck applies the result of a check. It returns true if the paths are lost from now on. The caller holds the lock.
func (s *Sender) applyCheck(pool string, p *poolPaths, tried, reached int) (lostNow bool) {
	now := time.Now()
	lasted := p.watcher.LostFor(now)
	if !p.watcher.RecordCheck(now, tried, reached) {
		return false
	}
	if p.watcher.Lost() {
		pathChanges.Add("lost", 1)
		klog.InfoS("proxier: paths to all endpoints of a pool lost, sending through other hosts", "pool", pool, "endpoints_tried", tried)
		return true
	}
	pathChanges.Add("restored", 1)
	klog.InfoS("proxier: paths to the endpoints of a pool restored", "pool", pool, "endpoints_tried", tried, "lost_for", lasted)
	return false
}

// recheck checks lost paths again after an interval.
func (s *Sender) recheck(pool string, p *poolPaths) {
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(pathwatcher.RecheckInterval):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.checking == nil && p.watcher.Lost() && s.ctx.Err() == nil {
		s.startCheck(pool, p)
	}
}

// addrs returns the addresses of the endpoints of a pool.
func (s *Sender) addrs(pool string) []string {
	var out []string
	for _, e := range s.Endpoints() {
		if e.Pool == pool {
			out = append(out, e.Addr)
		}
	}
	return out
}

// check tries to connect to some of the addresses, one after the other, and returns how many were tried and reached. It does not wait long for
// one before it tries the next, and ends with the first one that is reached.
func (s *Sender) check(addrs []string) (tried, reached int) {
	ctx, cancel := context.WithTimeout(s.ctx, checkTimeout)
	defer cancel()
	sample := pathwatcher.Sample(rand.New(rand.NewPCG(rand.Uint64(), 0)), addrs)
	results := make(chan error, len(sample))
	for pending := 0; tried < len(sample) || pending > 0; {
		var next <-chan time.Time
		if tried < len(sample) {
			addr := sample[tried]
			go func() { results <- s.Client.Probe(ctx, addr) }()
			tried, pending, next = tried+1, pending+1, time.After(checkStagger)
		}
		select {
		case err := <-results:
			if pending--; err == nil {
				return tried, 1
			}
		case <-next:
		}
	}
	return tried, 0
}

// sendThroughPeer sends a request through another host that accepts it.
func (s *Sender) sendThroughPeer(ctx context.Context, e balancer.Endpoint, req *exchanger.Request, id string) (*exchanger.Response, string, error) {
	none, tried := &NoPeerError{Reason: "no other host is known"}, map[string]bool{}
	for none.Tried < maxPeers && ctx.Err() == nil {
		p, found := s.choosePeer(e.Pool, tried)
		if !found {
			break
		}
		tried[p.Addr] = true
		none.Tried++
		x, err := s.open(ctx, p, e.ID, id)
		if err != nil {
			none.Reason = err.Error()
			sendCounts.Add("not_accepted", 1)
			klog.V(1).InfoS("proxier: host did not accept the request", "request", id, "endpoint", e.ID, "via", p.ID, "reason", err)
			s.avoid(p, e.Pool)
			continue
		}
		response, err := x.send(ctx, e.Addr, req)
		if errors.Is(err, errPeerWithoutPath) {
			none.Reason = err.Error()
			sendCounts.Add("not_accepted", 1)
			s.avoid(p, e.Pool)
			continue
		}
		outcome := "answered"
		if err != nil {
			outcome = "failed"
		}
		sendCounts.Add(outcome, 1)
		return response, p.ID, err
	}
	sendCounts.Add("no_peer", 1)
	return nil, "", &exchanger.NotSentError{Addr: e.Addr, Err: none}
}

// choosePeer returns the better of two hosts that were not tried, chosen at random: one in the availability zone of this host, if either is.
// If many hosts of a zone have lost their paths, the few others in the zone must not carry all of their requests. Hosts that have not
// accepted a request lately are chosen only if there are no others.
func (s *Sender) choosePeer(pool string, tried map[string]bool) (Peer, bool) {
	peers, now := s.Peers(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var usable, avoided []Peer
	for _, p := range peers {
		key := avoidKey{p.Addr, pool}
		switch until, known := s.avoided[key]; {
		case tried[p.Addr]:
		case known && now.Before(until):
			avoided = append(avoided, p)
		default:
			delete(s.avoided, key)
			usable = append(usable, p)
		}
	}
	if len(usable) == 0 {
		usable = avoided
	}
	if len(usable) == 0 {
		return Peer{}, false
	}
	p, other := usable[rand.N(len(usable))], usable[rand.N(len(usable))]
	if p.Zone != s.Zone && other.Zone == s.Zone {
		p = other
	}
	return p, true
}

func (s *Sender) avoid(p Peer, pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[avoidKey{p.Addr, pool}] = time.Now().Add(avoidTime)
}

// isClosed reports whether an error means that the other end has closed or reset a connection.
func isClosed(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}
