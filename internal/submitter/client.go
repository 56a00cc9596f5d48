// Package submitter is a client of the control service. It sends commands and queries to the control leader and retries them.
package submitter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
	"github.com/dragonflycroft/dragonflycroft/internal/observer"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

// importDurations is a histogram of the time until an import was committed or failed, by author.
var importDurations = observer.NewHistogram("submitter_import_ms")

// RPC methods of the control service.
const (
	MethodSubmit = "control.submit"
	MethodQuery  = "control.query"
	MethodVoters = "control.voters"
)

const (
	// DefaultRequestTimeout bounds one request to one control host, and so the delay that an unresponsive host can cause.
	DefaultRequestTimeout = time.Second
	// DefaultTimeout bounds a call whose context has no deadline. It is long enough for an election and a few retries.
	DefaultTimeout = 10 * time.Second
	minRetryDelay  = 20 * time.Millisecond
	maxRetryDelay  = 250 * time.Millisecond
)

// Caller sends one request to a host and waits for the reply; *transporter.Transport implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// UnavailableError reports that no control host returned a result in time. A command may have taken effect or may
// still do so.
type UnavailableError struct {
	Method string
	Err    error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: no control leader answered: %v", e.Method, e.Err)
}

// Unwrap returns the error of the last request.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Client sends commands and queries to the leader among the control hosts. Every command is idempotent by a key or id, so a
// command whose reply was lost is retried, possibly with another control host. A process must use one Client for all its
// orders, since attempts are numbered per Client.
type Client struct {
	Network Caller
	// The configured addresses of the control hosts.
	ControlHosts []string
	// Returns further addresses of control hosts, with the leader first; it may be nil.
	DiscoveredHosts func() []string
	// The timeout of one request; 0 means DefaultRequestTimeout.
	RequestTimeout time.Duration

	mu          sync.Mutex
	leader      string
	lastAttempt uint64
	attempts    map[attemptKey]uint64
}

type attemptKey struct {
	key   recorder.Key
	owner string
}

// reply is a reply that may redirect to another host as the leader.
type reply interface {
	proto.Message
	GetRedirect() *controllerpb.Redirect
}

// call sends a request to the control hosts in turn, with exponential backoff between rounds, until a leader answers or ctx
// ends. Without a deadline on ctx it gives up after DefaultTimeout.
func (c *Client) call(ctx context.Context, method string, req proto.Message, resp reply) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	delay := minRetryDelay
	var last error
	followedRedirect := false
	for {
		redirected := false
		for _, addr := range c.candidateAddrs() {
			err := c.callHost(ctx, addr, method, req, resp)
			if err == nil {
				return nil
			}
			last = err
			if ctx.Err() != nil {
				return &UnavailableError{Method: method, Err: last}
			}
			var redirect *redirectError
			if errors.As(err, &redirect) && redirect.addr != "" && redirect.addr != addr {
				redirected = true
				break
			}
		}
		if redirected && !followedRedirect {
			// Only one redirect in a row is followed without a delay: hosts that redirect to each other would otherwise cause a
			// tight loop.
			followedRedirect = true
			continue
		}
		followedRedirect = false
		if last == nil {
			return &UnavailableError{Method: method, Err: eris.New("no control host is known")}
		}
		klog.V(1).Infof("submitter: retrying method=%s delay=%v reason=%q", method, delay, last)
		select {
		case <-ctx.Done():
			return &UnavailableError{Method: method, Err: last}
		case <-time.After(delay/2 + rand.N(delay/2)):
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

type redirectError struct{ addr, reason string }

func (e *redirectError) Error() string { return "not the leader: " + e.reason }

// callHost sends a request to one host and updates the presumed leader.
func (c *Client) callHost(ctx context.Context, addr, method string, req proto.Message, resp reply) error {
	timeout := c.RequestTimeout
	if timeout == 0 {
		timeout = DefaultRequestTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	proto.Reset(resp)
	err := c.Network.Call(ctx, addr, method, req, resp)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if c.leader == addr {
			c.leader = ""
		}
		return err
	}
	if r := resp.GetRedirect(); r != nil {
		c.leader = r.GetAddr()
		return &redirectError{addr: r.GetAddr(), reason: r.GetReason()}
	}
	c.leader = addr
	return nil
}

// SetControlHosts replaces the configured addresses of the control hosts.
func (c *Client) SetControlHosts(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ControlHosts = addrs
}

// candidateAddrs returns the addresses to try, the presumed leader first.
func (c *Client) candidateAddrs() []string {
	c.mu.Lock()
	leader, controllers := c.leader, c.ControlHosts
	c.mu.Unlock()
	var all []string
	if leader != "" {
		all = append(all, leader)
	}
	if c.DiscoveredHosts != nil {
		all = append(all, c.DiscoveredHosts()...)
	}
	all = append(all, controllers...)
	seen := map[string]bool{"": true}
	out := all[:0]
	for _, addr := range all {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

func (c *Client) submit(ctx context.Context, cmd *controllerpb.Command) (*controllerpb.Result, error) {
	resp := &controllerpb.SubmitReply{}
	if err := c.call(ctx, MethodSubmit, &controllerpb.SubmitRequest{Command: cmd}, resp); err != nil {
		return nil, err
	}
	return resp.GetResult(), marshaller.DecodeFailure(resp.GetResult().GetFailure())
}

// PatchConfig applies a patch. If the patch is refused, the error is a *marshaller.StaleVersionError, a
// *marshaller.PatchIDError or a *configurer.InvalidError.
func (c *Client) PatchConfig(ctx context.Context, p marshaller.Patch) (marshaller.PatchResult, error) {
	if len(p.Body) > configurer.MaxPatchBytes {
		return marshaller.PatchResult{}, configurer.CheckPatch(p.Body)
	}
	result, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_PatchConfig{
		PatchConfig: &controllerpb.PatchConfig{Id: p.ID, Base: p.Base, Body: p.Body, Author: p.Author},
	}})
	if err != nil {
		return marshaller.PatchResult{}, err
	}
	return marshaller.PatchResult{Version: result.GetNumber()}, nil
}

// ImportConfig applies a document from an external operator interface, unless the current revision is equal or higher. It
// returns the resulting configuration version.
func (c *Client) ImportConfig(ctx context.Context, revision uint64, document []byte, author string) (uint64, error) {
	started := time.Now()
	defer func() { importDurations.Observe(author, time.Since(started)) }()
	result, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_ImportConfig{
		ImportConfig: &controllerpb.ImportConfig{Revision: revision, Document: document, Author: author},
	}})
	return result.GetNumber(), err
}

// Config returns the current configuration version with its document.
func (c *Client) Config(ctx context.Context) (uint64, []byte, error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_Config{Config: &controllerpb.ConfigQuery{}}}
	err := c.call(ctx, MethodQuery, req, resp)
	return resp.GetConfigVersion(), resp.GetDocument(), err
}

// SetRollout begins a rollout if its revision is 0, or takes it to the next step. The error may be a *marshaller.RolloutRunningError or a
// *marshaller.StaleRolloutError.
func (c *Client) SetRollout(ctx context.Context, r *controllerpb.SetRollout) error {
	_, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_SetRollout{SetRollout: r}})
	return err
}

// Rollouts returns the newest rollout of each pool, and the ledger clock in milliseconds.
func (c *Client) Rollouts(ctx context.Context) (rollouts []*controllerpb.Rollout, clockMS int64, err error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_Rollouts{Rollouts: &controllerpb.RolloutQuery{}}}
	err = c.call(ctx, MethodQuery, req, resp)
	return resp.GetRollouts(), resp.GetClockMs(), err
}

// History returns up to limit revisions with a version of at least from, in ascending order.
func (c *Client) History(ctx context.Context, from uint64, limit int) ([]marshaller.Revision, error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_History{
		History: &controllerpb.HistoryQuery{From: from, Limit: int32(limit)},
	}}
	if err := c.call(ctx, MethodQuery, req, resp); err != nil {
		return nil, err
	}
	out := make([]marshaller.Revision, 0, len(resp.GetRevisions()))
	for _, r := range resp.GetRevisions() {
		out = append(out, marshaller.RevisionFromProto(r))
	}
	return out, nil
}

// Status returns a summary of members, roles and the ledger.
func (c *Client) Status(ctx context.Context) (*controllerpb.Status, error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_Status{Status: &controllerpb.StatusQuery{}}}
	err := c.call(ctx, MethodQuery, req, resp)
	return resp.GetStatus(), err
}

// VoterError reports a voter change that the leader refused.
type VoterError struct{ Reason string }

// Error implements error.
func (e *VoterError) Error() string { return "cannot change the voters: " + e.Reason }

// ChangeVoters adds a learner ("add"), promotes it ("promote") or removes a voter ("remove").
func (c *Client) ChangeVoters(ctx context.Context, action, id, addr string) error {
	resp := &controllerpb.VoterReply{}
	if err := c.call(ctx, MethodVoters, &controllerpb.VoterRequest{Action: action, Id: id, Addr: addr}, resp); err != nil {
		return err
	}
	if resp.GetError() != "" {
		return &VoterError{Reason: resp.GetError()}
	}
	return nil
}
