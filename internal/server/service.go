package server

import (
	"fmt"
	"net/http"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/responder"
)

// serveService handles a call to a plain service. The caller receives the response of the service with its status.
func (s *Server) serveService(k *callerRequest) {
	req, f := k.serviceRequest()
	if f != nil {
		discard(k.c)
		s.writeFailure(k.c, f)
		return
	}
	body, release, f := s.readBody(k, req.Tier)
	if f != nil {
		s.writeFailure(k.c, f)
		return
	}
	req.Call.Body, req.Release = body, release
	req.Digest = digest(req.Workspace, req.Call.Method, req.Call.Path, body)
	answer, reader, err := s.Requests.Accept(*req)
	if err != nil {
		release()
		s.writeFailure(k.c, responder.FromError(err))
		return
	}
	defer reader.Close()
	s.respondService(k, answer)
}

// serviceRequest finds the route of a call and builds the request without its body. A call without a route is refused before its
// body is read.
func (k *callerRequest) serviceRequest() (*describer.Request, *responder.Failure) {
	name, path, method := k.c.Param("service"), "/"+k.c.Param("path"), string(k.c.Method())
	service := k.index.Service(name)
	if service == nil {
		return nil, &responder.Failure{
			Status: http.StatusNotFound, Reason: "unknown_service", Message: fmt.Sprintf("the service %q is not known; the call did not run", name),
		}
	}
	route := service.Route(method, path)
	if route == nil {
		return nil, &responder.Failure{
			Status: http.StatusNotFound, Reason: "unknown_route",
			Message: fmt.Sprintf("the service %q has no route for %s %s; the call did not run", name, method, path),
		}
	}
	req := &describer.Request{Kind: answerer.KindService, Pool: service.Pool, Idempotent: route.Idempotent, PromptTokens: 1}
	if f := k.readCommonHeaders(req); f != nil {
		return nil, f
	}
	if route.RequireKey && req.Key == "" {
		return nil, &responder.Failure{
			Status: http.StatusBadRequest, Reason: "key_required",
			Message: HeaderIdempotencyKey + " is required for this route; the call did not run",
		}
	}
	if query := string(k.c.URI().QueryString()); query != "" {
		path += "?" + query
	}
	req.Call = connector.Call{Method: method, Path: path, Header: k.forwardedHeaders()}
	return req, nil
}

func (s *Server) respondService(k *callerRequest, a *answerer.Answer) {
	_, end, err := a.WaitWhole(k.ctx)
	if err != nil {
		return
	}
	id := a.Meta().RequestID
	if !isDone(end) || end.Response == nil {
		s.writeFailure(k.c, responder.FromEnd(id, end))
		return
	}
	k.conn.bounded.BeginResponse()
	h := &k.c.Response.Header
	for name, value := range end.Response.Header {
		h.Set(name, value)
	}
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, string(end.Outcome))
	contentType := end.Response.Header["Content-Type"]
	if contentType == "" {
		contentType = "application/octet-stream"
	}
	k.c.Data(end.Response.Status, contentType, end.Response.Body)
}
