package proxier

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/exchanger"
	"github.com/dragonflycroft/dragonflycroft/internal/headvalidator"
	"github.com/dragonflycroft/dragonflycroft/internal/proxier/proxierpb"
)

// exchange is one request through another host.
type exchange struct {
	peer   Peer
	stream Stream
}

// open asks a host to send a request to an endpoint, within openTimeout. No byte of the request is sent before it has accepted.
func (s *Sender) open(ctx context.Context, p Peer, endpoint, id string) (*exchange, error) {
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	type result struct {
		x   *exchange
		err error
	}
	done := make(chan result)
	go func() {
		x, err := s.handshake(opening, p, endpoint, id)
		select {
		case done <- result{x, err}:
		case <-opening.Done():
			if x != nil {
				x.close()
			}
		}
	}()
	select {
	case r := <-done:
		return r.x, r.err
	case <-opening.Done():
		return nil, opening.Err()
	}
}

func (s *Sender) handshake(ctx context.Context, p Peer, endpoint, id string) (*exchange, error) {
	// The stream outlives the handshake.
	stream, err := s.Network.OpenStream(context.WithoutCancel(ctx), p.Addr, Method)
	if err != nil {
		return nil, err
	}
	x := &exchange{peer: p, stream: stream}
	stop := context.AfterFunc(ctx, x.close)
	opened := &proxierpb.Opened{}
	err = stream.Send(&proxierpb.Open{Endpoint: endpoint, Request: id})
	if err == nil {
		err = stream.Recv(opened)
	}
	if err == nil && !opened.GetAccepted() {
		err = eris.Errorf("not accepted: %s", opened.GetReason())
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		x.close()
		return nil, err
	}
	return x, nil
}

func (x *exchange) close() {
	if err := x.stream.Close(); err != nil {
		klog.V(1).Infof("proxier: stream not closed via=%s reason=%q", x.peer.ID, err)
	}
}

// send sends the request and waits for the head of the response. It returns errPeerWithoutPath if the host could not send it. Canceling ctx ends the exchange at the endpoint too.
func (x *exchange) send(ctx context.Context, addr string, req *exchanger.Request) (*exchanger.Response, error) {
	stop := context.AfterFunc(ctx, x.close)
	end := func() {
		stop()
		x.close()
	}
	reply := &proxierpb.Reply{}
	err := x.stream.Send(encodeRequest(ctx, req))
	if err == nil {
		err = x.stream.Recv(reply)
	}
	if f := reply.GetFailure(); err == nil && f != nil {
		end()
		return nil, decodeFailure(addr, f)
	}
	if err == nil {
		err = validateHead(reply.GetHead())
	}
	if err != nil {
		end()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &exchanger.InterruptedError{Addr: addr, Err: eris.Wrapf(err, "through %s", x.peer.ID)}
	}
	h := reply.GetHead()
	return exchanger.NewResponse(int(h.GetStatus()), decodeHeader(h.GetHeader()), &body{x: x, ctx: ctx}, h.GetLength(), h.GetFramed(), end), nil
}

// validateHead returns an error for a head that is missing or not valid HTTP. Hosts of earlier versions do not check the heads of endpoints.
func validateHead(h *proxierpb.Head) error {
	status := int(h.GetStatus())
	switch {
	case h == nil:
		return eris.New("the first part of the response is no head")
	case status < http.StatusOK:
		return &headvalidator.InvalidError{Part: headvalidator.Status, Value: strconv.Itoa(status)}
	}
	if err := headvalidator.ValidateStatus(status); err != nil {
		return err
	}
	return headvalidator.ValidateFields(decodeHeader(h.GetHeader()))
}

// body reads the body of a response.
type body struct {
	x    *exchange
	ctx  context.Context
	rest []byte
	err  error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		reply := &proxierpb.Reply{}
		err := b.x.stream.Recv(reply)
		switch {
		case err != nil && b.ctx.Err() != nil:
			b.err = b.ctx.Err()
		case errors.Is(err, io.EOF):
			b.err = io.ErrUnexpectedEOF
		case err != nil:
			b.err = eris.Wrapf(err, "through %s", b.x.peer.ID)
		case reply.GetFailure() != nil:
			b.err = failureCause(reply.GetFailure())
		case reply.GetComplete():
			b.rest, b.err = reply.GetData(), io.EOF
		default:
			b.rest = reply.GetData()
		}
	}
	if n := copy(p, b.rest); n > 0 {
		b.rest = b.rest[n:]
		return n, nil
	}
	return 0, b.err
}

func encodeRequest(ctx context.Context, req *exchanger.Request) *proxierpb.Request {
	p := &proxierpb.Request{
		Method: req.Method, Uri: req.URI, Host: req.Host, Header: encodeHeader(req.Header), Body: req.Body, EchoHeader: req.EchoHeader,
		MaxIdleMs: uint32(req.MaxIdleTime.Milliseconds()),
	}
	if end, limited := ctx.Deadline(); limited {
		p.LeftMs = uint32(max(1, time.Until(end).Milliseconds()))
	}
	return p
}

func encodeHeader(h http.Header) []*proxierpb.Header {
	out := make([]*proxierpb.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &proxierpb.Header{Name: name, Values: values})
	}
	return out
}

func decodeHeader(list []*proxierpb.Header) http.Header {
	h := make(http.Header, len(list))
	for _, e := range list {
		h[e.GetName()] = e.GetValues()
	}
	return h
}

// errPeerWithoutPath reports that the other host has lost its paths too. Nothing was sent.
var errPeerWithoutPath = eris.New("the other host has no path to the endpoints")

// decodeFailure returns the error of an exchange that ended before the head of its response.
func decodeFailure(addr string, f *proxierpb.Failure) error {
	switch {
	case f.GetNoPath():
		return errPeerWithoutPath
	case !f.GetSent():
		return &exchanger.NotSentError{Addr: addr, Err: failureCause(f)}
	}
	return &exchanger.InterruptedError{Addr: addr, Reused: f.GetReused(), ResponseStarted: f.GetResponseStarted(), Err: failureCause(f)}
}

func failureCause(f *proxierpb.Failure) error {
	if f.GetClosed() {
		return eris.Wrap(syscall.ECONNRESET, f.GetReason())
	}
	return eris.New(f.GetReason())
}
