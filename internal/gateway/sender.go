package gateway

import (
	"context"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
)

// Sender sends requests to endpoints.
type Sender interface {
	// Do sends a request with an ID to an endpoint and returns the host that it was sent through; empty if this host has sent it itself.
	// Its errors are those of exchanger.Client.
	Do(ctx context.Context, e balancer.Endpoint, req *exchanger.Request, id string) (response *exchanger.Response, via string, err error)
	// CheckPath reports, after a failed connect or a broken connection, whether this host has lost its paths to all endpoints of a pool.
	CheckPath(ctx context.Context, pool string) (lost bool)
	// DownForOthers reports whether other hosts do not reach an endpoint either.
	DownForOthers(ctx context.Context, e balancer.Endpoint) bool
}

// directSender is a Sender that knows no other host.
type directSender struct{ client *exchanger.Client }

// Do implements Sender.
func (s directSender) Do(ctx context.Context, e balancer.Endpoint, req *exchanger.Request, _ string) (*exchanger.Response, string, error) {
	response, err := s.client.Do(ctx, e.Addr, req)
	return response, "", err
}

// CheckPath implements Sender.
func (directSender) CheckPath(context.Context, string) bool { return false }

// DownForOthers implements Sender.
func (directSender) DownForOthers(context.Context, balancer.Endpoint) bool { return false }
