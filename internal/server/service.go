package server

import (
	"fmt"
	"net/http"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/responder"
)

// serveService routes a call of a plain service; the answer is passed on with its status.
func (s *Server) serveService(k *call) {
	req, f := k.serviceRequest()
	if f != nil {
		discard(k.c)
		s.fail(k.c, f)
		return
	}
	body, release, f := s.readBody(k, req.Tier)
	if f != nil {
		s.fail(k.c, f)
		return
	}
	req.Call.Body, req.Release = body, release
	req.Digest = digest(req.Workspace, req.Call.Method, req.Call.Path, body)
	answer, reader, err := s.Requests.Accept(*req)
	if err != nil {
		release()
		s.fail(k.c, responder.FromError(err))
		return
	}
	defer reader.Close()
	s.respondService(k, answer)
}

// serviceRequest finds the route of a call. A call without a route is refused before its body is read.
func (k *call) serviceRequest() (*describer.Request, *responder.Failure) {
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
	if f := k.common(req); f != nil {
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
	req.Call = connector.Call{Method: method, Path: path, Header: k.passed()}
	return req, nil
}

func (s *Server) respondService(k *call, a *answerer.Answer) {
	_, end, err := a.Whole(k.ctx)
	if err != nil {
		return
	}
	id := a.Meta().RequestID
	if !isDone(end) || end.Response == nil {
		s.fail(k.c, responder.FromEnd(id, end))
		return
	}
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
