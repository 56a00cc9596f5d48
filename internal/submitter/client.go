// Package submitter sends commands and queries to the control leader and retries them.
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

// importTimes are the times until an import was durable or had failed, by author.
var importTimes = observer.NewHistogram("submitter_import_ms")

// Methods of the control service.
const (
	MethodSubmit = "control.submit"
	MethodQuery  = "control.query"
	MethodVoters = "control.voters"
)

const (
	// DefaultExchangeTimeout bounds one exchange with one control host, so that a silent host costs no more than this.
	DefaultExchangeTimeout = time.Second
	// DefaultTimeout bounds a call whose context has no deadline. It covers an election and a few retries.
	DefaultTimeout = 10 * time.Second
	minRetryDelay  = 20 * time.Millisecond
	maxRetryDelay  = 250 * time.Millisecond
)

// Caller performs one exchange with a host; *transporter.Transport implements it.
type Caller interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
}

// UnavailableError reports that no control host gave a result in time. The command may or may not take effect.
type UnavailableError struct {
	Method string
	Err    error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: no control leader answered: %v", e.Method, e.Err)
}

// Unwrap returns the last failure.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Client finds the leader among the control hosts. Every command it sends is idempotent by a key or id, so that a command
// with a lost answer is sent again, also to another control host. One process uses one Client for all its orders.
type Client struct {
	Network Caller
	// Controllers are the addresses of the control hosts from the settings.
	Controllers []string
	// Known returns further addresses of control hosts, with the leader first; it may be nil.
	Known func() []string
	// ExchangeTimeout bounds one exchange; 0 means DefaultExchangeTimeout.
	ExchangeTimeout time.Duration

	mu       sync.Mutex
	leader   string
	attempt  uint64
	attempts map[attemptKey]uint64
}

type attemptKey struct {
	key   recorder.Key
	owner string
}

// reply is an answer that may name another host as the leader.
type reply interface {
	proto.Message
	GetRedirect() *controllerpb.Redirect
}

// do repeats an exchange until a leader answers or ctx ends.
func (c *Client) do(ctx context.Context, method string, req proto.Message, resp reply) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	delay := minRetryDelay
	var last error
	followed := false
	for {
		redirected := false
		for _, addr := range c.targets() {
			err := c.exchange(ctx, addr, method, req, resp)
			if err == nil {
				return nil
			}
			last = err
			if ctx.Err() != nil {
				return &UnavailableError{Method: method, Err: last}
			}
			var moved *redirectError
			if errors.As(err, &moved) && moved.addr != "" && moved.addr != addr {
				redirected = true
				break
			}
		}
		if redirected && !followed {
			// One redirect is followed at once; hosts that name each other are not asked in a tight loop.
			followed = true
			continue
		}
		followed = false
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

func (c *Client) exchange(ctx context.Context, addr, method string, req proto.Message, resp reply) error {
	timeout := c.ExchangeTimeout
	if timeout == 0 {
		timeout = DefaultExchangeTimeout
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

// SetControllers replaces the addresses of the control hosts from the settings.
func (c *Client) SetControllers(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Controllers = addrs
}

// targets returns the addresses to try, the presumed leader first.
func (c *Client) targets() []string {
	c.mu.Lock()
	leader, controllers := c.leader, c.Controllers
	c.mu.Unlock()
	var all []string
	if leader != "" {
		all = append(all, leader)
	}
	if c.Known != nil {
		all = append(all, c.Known()...)
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
	if err := c.do(ctx, MethodSubmit, &controllerpb.SubmitRequest{Command: cmd}, resp); err != nil {
		return nil, err
	}
	return resp.GetResult(), marshaller.DecodeFailure(resp.GetResult().GetFailure())
}

// PatchConfig applies a patch. It returns *marshaller.StaleVersionError, *marshaller.PatchIDError or *configurer.InvalidError
// when the patch is refused.
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

// ImportConfig puts a document of an outside operator interface in force unless a revision as high is in force already. It
// returns the version of the configuration afterwards.
func (c *Client) ImportConfig(ctx context.Context, revision uint64, document []byte, author string) (uint64, error) {
	started := time.Now()
	defer func() { importTimes.Observe(author, time.Since(started)) }()
	result, err := c.submit(ctx, &controllerpb.Command{Body: &controllerpb.Command_ImportConfig{
		ImportConfig: &controllerpb.ImportConfig{Revision: revision, Document: document, Author: author},
	}})
	return result.GetNumber(), err
}

// Config returns the current configuration version with its document.
func (c *Client) Config(ctx context.Context) (uint64, []byte, error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_Config{Config: &controllerpb.ConfigQuery{}}}
	err := c.do(ctx, MethodQuery, req, resp)
	return resp.GetConfigVersion(), resp.GetDocument(), err
}

// History returns up to limit revisions from a version on, in ascending order.
func (c *Client) History(ctx context.Context, from uint64, limit int) ([]marshaller.Revision, error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_History{
		History: &controllerpb.HistoryQuery{From: from, Limit: int32(limit)},
	}}
	if err := c.do(ctx, MethodQuery, req, resp); err != nil {
		return nil, err
	}
	out := make([]marshaller.Revision, 0, len(resp.GetRevisions()))
	for _, r := range resp.GetRevisions() {
		out = append(out, marshaller.RevisionOf(r))
	}
	return out, nil
}

// Status returns a summary of members, roles and the ledger.
func (c *Client) Status(ctx context.Context) (*controllerpb.Status, error) {
	resp := &controllerpb.QueryReply{}
	req := &controllerpb.QueryRequest{Body: &controllerpb.QueryRequest_Status{Status: &controllerpb.StatusQuery{}}}
	err := c.do(ctx, MethodQuery, req, resp)
	return resp.GetStatus(), err
}

// VoterError reports a change of voters that the leader refused.
type VoterError struct{ Reason string }

// Error implements error.
func (e *VoterError) Error() string { return "cannot change the voters: " + e.Reason }

// ChangeVoters adds a learner ("add"), promotes it ("promote") or removes a voter ("remove").
func (c *Client) ChangeVoters(ctx context.Context, action, id, addr string) error {
	resp := &controllerpb.VoterReply{}
	if err := c.do(ctx, MethodVoters, &controllerpb.VoterRequest{Action: action, Id: id, Addr: addr}, resp); err != nil {
		return err
	}
	if resp.GetError() != "" {
		return &VoterError{Reason: resp.GetError()}
	}
	return nil
}
