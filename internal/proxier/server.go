package proxier

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier/proxierpb"
)

const (
	// maxServed bounds the requests of other hosts in progress, because they take memory and processor time from this host's own.
	maxServed = 128
	// readBytes is the size of the parts in which a body is sent on.
	readBytes = 16 << 10
)

// Server sends requests of other hosts to endpoints. Set the exported fields before use.
type Server struct {
	Sender *Sender
	// Unavailable returns why this host accepts no requests of others, or an empty string.
	Unavailable func() string
	// Admit returns an endpoint by ID, or false if it is not known or accepts nothing from this host.
	Admit func(id string) (balancer.Endpoint, bool)
	// Endpoint returns an endpoint by ID, or false if it is not known.
	Endpoint func(id string) (balancer.Endpoint, bool)
	// OnResponse is called with each response head of an endpoint.
	OnResponse func(id string, r *exchanger.Response)

	active atomic.Int64
}

// Active returns the number of requests of other hosts in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Serve sends the request of a stream from another host and returns once the response has been sent back.
func (s *Server) Serve(ctx context.Context, host string, stream Stream) error {
	defer s.active.Add(-1)
	active := s.active.Add(1)
	open := &proxierpb.Open{}
	if err := stream.Recv(open); err != nil {
		return err
	}
	if open.GetCheck() {
		return s.check(ctx, open.GetEndpoint(), stream)
	}
	e, admitted := s.Admit(open.GetEndpoint())
	reason := s.Unavailable()
	switch {
	case reason != "":
	case active > maxServed:
		reason = "too many requests of other hosts"
	case !admitted:
		reason = "the endpoint is not known or accepts nothing from this host"
	case s.Sender.PathLost(e.Pool):
		reason = errPeerWithoutPath.Error()
	}
	if err := stream.Send(&proxierpb.Opened{Accepted: reason == "", Reason: reason}); err != nil || reason != "" {
		return err
	}
	req := &proxierpb.Request{}
	if err := stream.Recv(req); err != nil {
		return err
	}
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if left := req.GetLeftMs(); left > 0 {
		timer := time.AfterFunc(time.Duration(left)*time.Millisecond, cancel)
		defer timer.Stop()
	}
	go func() {
		// The other host sends nothing more. The end of the stream means that its caller has left.
		_ = stream.Recv(&proxierpb.Request{})
		cancel()
	}()
	status, sent, err := s.exchange(ctx, e, req, stream)
	sendCounts.Add("served", 1)
	klog.InfoS("proxier: request of another host sent", "request", open.GetRequest(), "from", host, "endpoint", open.GetEndpoint(), "status", status,
		"sent", sent, "reason", err, "after", time.Since(began))
	return nil
}

// exchange performs the exchange and sends its parts to the other host.
func (s *Server) exchange(ctx context.Context, e balancer.Endpoint, p *proxierpb.Request, stream Stream) (status int, sent bool, err error) {
	response, err := s.Sender.Client.Do(ctx, e.Addr, &exchanger.Request{
		Method: p.GetMethod(), URI: p.GetUri(), Host: p.GetHost(), Header: decodeHeader(p.GetHeader()), Body: p.GetBody(), EchoHeader: p.GetEchoHeader(),
		MaxIdleTime: time.Duration(p.GetMaxIdleMs()) * time.Millisecond,
	})
	if err != nil {
		f := encodeFailure(err)
		// A failed connect says nothing about the endpoint if this host has no path itself.
		f.NoPath = !f.GetSent() && s.Sender.CheckPath(ctx, e.Pool)
		return 0, f.GetSent(), errors.Join(err, stream.Send(&proxierpb.Reply{Failure: f}))
	}
	defer response.Close()
	s.OnResponse(e.ID, response)
	head := &proxierpb.Head{Status: uint32(response.Status), Header: encodeHeader(response.Header), Length: response.Length, Framed: response.Framed()}
	if err := stream.Send(&proxierpb.Reply{Head: head}); err != nil {
		return response.Status, true, err
	}
	for buffer := make([]byte, readBytes); ; {
		n, err := response.Body.Read(buffer)
		reply := &proxierpb.Reply{Data: buffer[:n], Complete: errors.Is(err, io.EOF)}
		if reply.GetComplete() {
			response.MarkComplete()
		}
		if n > 0 || reply.GetComplete() {
			if sendErr := stream.Send(reply); sendErr != nil {
				return response.Status, true, sendErr
			}
		}
		if reply.GetComplete() {
			return response.Status, true, nil
		}
		if err != nil {
			return response.Status, true, errors.Join(err, stream.Send(&proxierpb.Reply{Failure: encodeFailure(err)}))
		}
	}
}

func encodeFailure(err error) *proxierpb.Failure {
	f := &proxierpb.Failure{Reason: err.Error(), Sent: exchanger.MaybeSent(err), Closed: isClosed(err) || errors.Is(err, io.ErrUnexpectedEOF)}
	var interrupted *exchanger.InterruptedError
	if errors.As(err, &interrupted) {
		f.Reused, f.ResponseStarted = interrupted.Reused, interrupted.ResponseStarted
	}
	return f
}
