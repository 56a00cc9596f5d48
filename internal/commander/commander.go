// Package commander sends the commands of operators to the operators' listener of a host.
package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Paths of the operators' listener.
const (
	PathConfig  = "/v1/config"
	PathHistory = "/v1/config/history"
	PathMembers = "/v1/members"
	PathStatus  = "/v1/status"
	PathDrain   = "/v1/drain/"
)

const (
	headerPatchID = "X-Dragonflycroft-Patch-Id"
	headerVersion = "Etag"
)

// exchangeTimeout allows for a leader election of the control hosts and a few retries by the host that serves the command.
const exchangeTimeout = 15 * time.Second

// Commander sends commands to the first host that responds. Set the exported fields before use.
type Commander struct {
	// Addrs are the addresses of the operators' listeners, which are tried in order.
	Addrs []string
	Token string
}

// RefusedError reports a response with an error status.
type RefusedError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, strings.TrimSpace(e.Body))
}

// UnreachableError reports that no host responded without a server error. The change may have been made.
type UnreachableError struct{ Err error }

// Error implements error.
func (e *UnreachableError) Error() string { return "no host answered: " + e.Err.Error() }

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error { return e.Err }

// do sends a call to the hosts in order until one responds without a server error. All commands are idempotent and can be sent
// again: patches have an id, and the other changes state the result that they request.
func (c *Commander) do(ctx context.Context, call connector.Call) (*connector.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if call.Header == nil {
		call.Header = make(map[string]string)
	}
	call.Header["Authorization"] = "Bearer " + c.Token
	lastErr := eris.New("no address is given")
	for _, addr := range c.Addrs {
		service := connector.NewService(addr, addr, connector.Timeouts{Connect: time.Second, FirstByte: exchangeTimeout, Gap: exchangeTimeout})
		response, err := service.Do(ctx, call, func() {})
		switch {
		case err != nil:
			lastErr = err
		case response.Status >= http.StatusInternalServerError:
			lastErr = &RefusedError{Status: response.Status, Body: string(response.Body)}
		case response.Status/100 != 2:
			return nil, &RefusedError{Status: response.Status, Body: string(response.Body)}
		default:
			return response, nil
		}
	}
	return nil, &UnreachableError{Err: lastErr}
}

func (c *Commander) responseBody(ctx context.Context, call connector.Call) ([]byte, error) {
	response, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

func (c *Commander) get(ctx context.Context, path string) ([]byte, error) {
	return c.responseBody(ctx, connector.Call{Method: http.MethodGet, Path: path})
}

func (c *Commander) sendJSON(ctx context.Context, method, path string, content any) ([]byte, error) {
	call := connector.Call{Method: method, Path: path}
	if content != nil {
		body, err := json.Marshal(content)
		if err != nil {
			return nil, eris.Wrap(err, "encode command")
		}
		call.Body, call.Header = body, map[string]string{"Content-Type": "application/json"}
	}
	return c.responseBody(ctx, call)
}

// Config returns the current configuration with its version.
func (c *Commander) Config(ctx context.Context) ([]byte, error) {
	response, err := c.do(ctx, connector.Call{Method: http.MethodGet, Path: PathConfig})
	if err != nil {
		return nil, err
	}
	version, err := strconv.ParseUint(strings.Trim(response.Header[headerVersion], `"`), 10, 64)
	if err != nil {
		return nil, eris.Wrap(err, "read the version of the configuration")
	}
	answer := struct {
		Version uint64          `json:"version"`
		Config  json.RawMessage `json:"config"`
	}{version, response.Body}
	data, err := json.Marshal(answer)
	return data, eris.Wrap(err, "decode configuration")
}

// History returns at most limit revisions, starting at version from.
func (c *Commander) History(ctx context.Context, from uint64, limit int) ([]byte, error) {
	return c.get(ctx, fmt.Sprintf("%s?from=%d&limit=%d", PathHistory, from, limit))
}

// Patch applies a JSON merge patch with an id that was written against version base.
func (c *Commander) Patch(ctx context.Context, id string, base uint64, patch []byte) ([]byte, error) {
	return c.responseBody(ctx, connector.Call{Method: http.MethodPatch, Path: PathConfig, Body: patch, Header: map[string]string{
		"Content-Type": "application/merge-patch+json",
		"If-Match":     strconv.Quote(strconv.FormatUint(base, 10)),
		headerPatchID:  id,
	}})
}

// Members lists the hosts.
func (c *Commander) Members(ctx context.Context) ([]byte, error) { return c.get(ctx, PathMembers) }

// AddMember adds a control host as a learner.
func (c *Commander) AddMember(ctx context.Context, id, addr string) ([]byte, error) {
	return c.sendJSON(ctx, http.MethodPost, PathMembers, map[string]string{"action": "add", "id": id, "addr": addr})
}

// PromoteMember makes a learner that has caught up a voter.
func (c *Commander) PromoteMember(ctx context.Context, id string) ([]byte, error) {
	return c.sendJSON(ctx, http.MethodPost, PathMembers, map[string]string{"action": "promote", "id": id})
}

// RemoveMember removes a control host.
func (c *Commander) RemoveMember(ctx context.Context, id string) ([]byte, error) {
	return c.sendJSON(ctx, http.MethodDelete, PathMembers+"/"+url.PathEscape(id), nil)
}

// Status returns the state of the system.
func (c *Commander) Status(ctx context.Context) ([]byte, error) { return c.get(ctx, PathStatus) }

// Drain stops new requests to an endpoint, or allows them again.
func (c *Commander) Drain(ctx context.Context, endpoint string, drain bool) ([]byte, error) {
	return c.sendJSON(ctx, http.MethodPost, PathDrain+url.PathEscape(endpoint), map[string]bool{"drain": drain})
}
