package connector

import (
	"context"
	"strings"
)

// HTTPService implements Service over HTTP.
type HTTPService struct {
	name     string
	addr     string
	timeouts Timeouts
}

var _ Service = (*HTTPService)(nil)

// NewService returns the client of the service at addr. The name identifies the endpoint in errors.
func NewService(name, addr string, timeouts Timeouts) *HTTPService {
	return &HTTPService{name: name, addr: addr, timeouts: timeouts}
}

// Do sends one call and returns the complete response, whatever its status.
func (s *HTTPService) Do(ctx context.Context, call Call, beforeSend func()) (*Response, error) {
	x, err := open(ctx, s.name, s.addr, call, s.timeouts, beforeSend)
	if err != nil {
		return nil, err
	}
	response := &Response{Status: x.resp.StatusCode(), Header: make(map[string]string)}
	x.resp.Header.VisitAll(func(key, value []byte) {
		if !hopByHop(string(key)) {
			response.Header[string(key)] = string(value)
		}
	})
	response.Body, err = x.readAll()
	if err != nil {
		return nil, err
	}
	return response, nil
}

// hopByHop reports whether a header applies to a single connection and must not be forwarded.
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "content-length", "date", "server":
		return true
	}
	return false
}
