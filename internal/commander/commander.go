// Package commander sends operators' commands to the operators' listener of a host.
package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Paths of the operators' listener.
const (
	PathConfig  = "/v1/config"
	PathHistory = "/v1/config/history"
	PathMembers = "/v1/members"
	PathStatus  = "/v1/status"
)

// exchangeTimeout covers an election of the control hosts and a few retries by the host that is asked.
const exchangeTimeout = 15 * time.Second

// Commander talks to one host. Set the exported fields before use.
type Commander struct {
	// Addrs are the operators' listeners to try in order.
	Addrs []string
	Token string
}

// RefusedError is an answer that refuses a command.
type RefusedError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, strings.TrimSpace(e.Body))
}

// UnreachableError reports that no host gave an answer. A change may have been made.
type UnreachableError struct{ Err error }

// Error implements error.
func (e *UnreachableError) Error() string { return "no host answered: " + e.Err.Error() }

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Err }

// do tries the hosts in order until one answers without a server error. All commands may be repeated: patches carry an id, and
// changes of members name their result.
func (c *Commander) do(ctx context.Context, call connector.Call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if call.Header == nil {
		call.Header = make(map[string]string)
	}
	call.Header["Authorization"] = "Bearer " + c.Token
	last := eris.New("no address is given")
	for _, addr := range c.Addrs {
		service := connector.NewService(addr, addr, connector.Timeouts{Connect: time.Second, FirstByte: exchangeTimeout, Gap: exchangeTimeout})
		response, err := service.Do(ctx, call, func() {})
		switch {
		case err != nil:
			last = err
		case response.Status >= http.StatusInternalServerError:
			last = &RefusedError{Status: response.Status, Body: string(response.Body)}
		case response.Status/100 != 2:
			return nil, &RefusedError{Status: response.Status, Body: string(response.Body)}
		default:
			return response.Body, nil
		}
	}
	return nil, &UnreachableError{Err: last}
}

func (c *Commander) get(ctx context.Context, path string) ([]byte, error) {
	return c.do(ctx, connector.Call{Method: http.MethodGet, Path: path})
}

// Config returns the current configuration with its version.
func (c *Commander) Config(ctx context.Context) ([]byte, error) { return c.get(ctx, PathConfig) }

// History returns revisions from a version on.
func (c *Commander) History(ctx context.Context, from uint64, limit int) ([]byte, error) {
	return c.get(ctx, fmt.Sprintf("%s?from=%d&limit=%d", PathHistory, from, limit))
}

// Patch applies a JSON merge patch that was written against version base.
func (c *Commander) Patch(ctx context.Context, id string, base uint64, patch []byte) ([]byte, error) {
	return c.do(ctx, connector.Call{Method: http.MethodPatch, Path: PathConfig, Body: patch, Header: map[string]string{
		"Content-Type": "application/merge-patch+json",
		"If-Match":     strconv.Quote(strconv.FormatUint(base, 10)),
		"X-Patch-Id":   id,
	}})
}

// Members lists the hosts.
func (c *Commander) Members(ctx context.Context) ([]byte, error) { return c.get(ctx, PathMembers) }

// AddMember adds a control host as a learner, or promotes it to a voter.
func (c *Commander) AddMember(ctx context.Context, id, addr, role string) ([]byte, error) {
	body, err := json.Marshal(map[string]string{"id": id, "addr": addr, "role": role})
	if err != nil {
		return nil, eris.Wrap(err, "encode member")
	}
	return c.do(ctx, connector.Call{
		Method: http.MethodPost, Path: PathMembers, Body: body, Header: map[string]string{"Content-Type": "application/json"},
	})
}

// RemoveMember removes a control host.
func (c *Commander) RemoveMember(ctx context.Context, id string) ([]byte, error) {
	return c.do(ctx, connector.Call{Method: http.MethodDelete, Path: PathMembers + "/" + url.PathEscape(id)})
}

// Status returns the state of the host that answers.
func (c *Commander) Status(ctx context.Context) ([]byte, error) { return c.get(ctx, PathStatus) }

// versioned is the answer to a look-up of the configuration.
type versioned struct {
	Version uint64            `json:"version"`
	Config  configurer.Config `json:"config"`
}

// UnknownEndpointsError reports endpoints that the configuration does not have.
type UnknownEndpointsError struct{ Names []string }

// Error implements error.
func (e *UnknownEndpointsError) Error() string {
	return "unknown endpoints: " + strings.Join(e.Names, ", ")
}

// Drain stops new work at endpoints, or allows it again, by a patch against the current version.
func (c *Commander) Drain(ctx context.Context, id string, names []string, drain bool) ([]byte, error) {
	data, err := c.Config(ctx)
	if err != nil {
		return nil, err
	}
	var current versioned
	if err := json.Unmarshal(data, &current); err != nil {
		return nil, eris.Wrap(err, "decode configuration")
	}
	unknown := slices.Clone(names)
	for i := range current.Config.Endpoints {
		e := &current.Config.Endpoints[i]
		if slices.Contains(names, e.Name) {
			e.Drain = drain
			unknown = slices.DeleteFunc(unknown, func(n string) bool { return n == e.Name })
		}
	}
	if len(unknown) > 0 {
		return nil, &UnknownEndpointsError{Names: unknown}
	}
	patch, err := json.Marshal(map[string]any{"endpoints": current.Config.Endpoints})
	if err != nil {
		return nil, eris.Wrap(err, "encode patch")
	}
	return c.Patch(ctx, id, current.Version, patch)
}
