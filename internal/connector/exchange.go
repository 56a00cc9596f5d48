package connector

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/headvalidator"
)

// Timeouts bound the phases of an exchange with an endpoint.
type Timeouts struct {
	// Connect bounds the TCP connect.
	Connect time.Duration
	// FirstByte bounds the wait for the response header after the request was written.
	FirstByte time.Duration
	// Gap bounds the time between two reads of the response. Engines send SSE comments while they compute.
	Gap time.Duration
	// Total bounds the whole exchange; 0 means no bound.
	Total time.Duration
}

// DefaultTimeouts returns the timeouts of the serve command's default settings.
func DefaultTimeouts() Timeouts {
	return Timeouts{Connect: 500 * time.Millisecond, FirstByte: 5 * time.Second, Gap: 5 * time.Second}
}

// maxResponseBytes bounds the memory for the body of one response that isn't streamed.
const maxResponseBytes = 64 << 20

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the 1xx responses before the final response.
	maxInterimResponses = 16
)

// identityLength is hertz's length of a body that ends with its connection.
const identityLength = -2

// exchange is one request and its response on a new connection. Connections aren't pooled: a request written to a dead
// pooled connection may have run, so it could not be retried.
type exchange struct {
	endpoint string
	conn     *watchedConn
	resp     *protocol.Response
	stop     func() bool
	cancel   context.CancelFunc
	ctx      context.Context
	timeouts Timeouts
}

// open connects, calls beforeSend, writes the request and reads the response header.
func open(ctx context.Context, endpoint, addr string, call Call, timeouts Timeouts, beforeSend func()) (*exchange, error) {
	ctx, cancel := withTotalTimeout(ctx, timeouts.Total)
	conn, err := dial(ctx, addr, timeouts.Connect)
	if err != nil {
		cancel()
		return nil, &NotSentError{Endpoint: endpoint, Err: err}
	}
	e := &exchange{endpoint: endpoint, conn: conn, resp: &protocol.Response{}, cancel: cancel, ctx: ctx, timeouts: timeouts}
	e.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	request := newRequest(addr, call)
	beforeSend()
	_ = conn.SetWriteTimeout(timeouts.FirstByte)
	err = req.Write(request, conn)
	if err == nil {
		err = conn.Flush()
	}
	if err != nil {
		return nil, e.fail(err)
	}
	_ = conn.SetReadTimeout(timeouts.FirstByte)
	if err := skipInterimHeads(conn); err != nil {
		return nil, e.fail(err)
	}
	if err := resp.ReadHeaderBodyStream(e.resp, conn, maxResponseBytes, keepOpen); err != nil {
		return nil, e.fail(err)
	}
	_ = conn.SetReadTimeout(timeouts.Gap)
	return e, nil
}

// skipInterimHeads waits for the final head, and discards those of interim responses before it.
func skipInterimHeads(conn *watchedConn) error {
	for range maxInterimResponses {
		head, err := headvalidator.Await(conn, maxHeadBytes)
		switch {
		case err != nil:
			return err
		case head.Status >= http.StatusOK && head.Folded != "":
			// Hertz joins the lines within its buffer, and overwrites bytes of the body.
			return &headvalidator.InvalidError{Part: headvalidator.Field, Value: head.Folded}
		case head.Status >= http.StatusOK:
			return nil
		}
		if err := conn.Skip(head.Length); err != nil {
			return err
		}
	}
	return eris.Errorf("more than %d interim responses", maxInterimResponses)
}

func withTotalTimeout(ctx context.Context, total time.Duration) (context.Context, context.CancelFunc) {
	if total > 0 {
		return context.WithTimeout(ctx, total)
	}
	return context.WithCancel(ctx)
}

// dial connects within the timeout or until ctx ends, whichever is first.
func dial(ctx context.Context, addr string, timeout time.Duration) (*watchedConn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	conn, err := standard.NewDialer().DialConnection("tcp", addr, timeout, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", addr)
	}
	return &watchedConn{Conn: conn}, nil
}

func newRequest(addr string, call Call) *protocol.Request {
	r := &protocol.Request{}
	r.SetMethod(call.Method)
	r.SetRequestURI("http://" + addr + call.Path)
	for name, value := range call.Header {
		r.Header.Set(name, value)
	}
	if call.RequestID != "" {
		r.Header.Set(HeaderRequestID, call.RequestID)
	}
	r.Header.SetConnectionClose(true)
	// The body is not copied: it may be large, and its caller pays for it once.
	r.SetBodyRaw(call.Body)
	return r
}

// keepOpen is called by hertz at the end of a response. It refers to no exchange: hertz's finalizer of the response would otherwise be part
// of a cycle, and neither the response nor the request's body would ever be collected.
func keepOpen(bool) error { return nil }

// fail closes the exchange and returns err as an InterruptedError with its cause.
func (e *exchange) fail(err error) error {
	cause := CauseReset
	var timeout net.Error
	var invalid *headvalidator.InvalidError
	var tooLong *headvalidator.TooLongError
	// Hertz reports some read timeouts as its own errors, which don't wrap the cause.
	libraryTimeout := errors.Is(err, hertzerrors.ErrTimeout)
	switch {
	case e.ctx.Err() != nil && errors.Is(e.ctx.Err(), context.Canceled):
		cause = CauseCanceled
	case libraryTimeout, errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout(), e.ctx.Err() != nil:
		cause = CauseTimeout
	case errors.As(err, &invalid), errors.As(err, &tooLong):
		cause = CauseProtocol
	}
	e.close()
	return &InterruptedError{Endpoint: e.endpoint, Cause: cause, Err: err}
}

func (e *exchange) close() {
	e.stop()
	e.cancel()
	_ = e.conn.Close()
}

// readAll returns the whole response body and closes the exchange.
func (e *exchange) readAll() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(e.resp.BodyStream(), maxResponseBytes+1))
	if err == nil && e.endsWithConn() {
		err = e.conn.readErr
	}
	if err != nil {
		return nil, e.fail(err)
	}
	e.close()
	if len(body) > maxResponseBytes {
		return nil, &InterruptedError{
			Endpoint: e.endpoint, Cause: CauseProtocol, Status: e.resp.StatusCode(),
			Err: eris.Errorf("response is above %d bytes", maxResponseBytes),
		}
	}
	return body, nil
}

// endsWithConn reports whether the end of the response body is the end of the connection.
func (e *exchange) endsWithConn() bool {
	return e.resp.Header.ContentLength() == identityLength && !e.resp.MustSkipBody()
}

// rejection reads the body of an error status, closes the exchange and returns the status and body as an error.
func (e *exchange) rejection() error {
	status := e.resp.StatusCode()
	body, err := e.readAll()
	if err != nil {
		return err
	}
	cause := CauseRejected
	if status == statusNotFound {
		cause = CauseNotFound
	}
	return &InterruptedError{
		Endpoint: e.endpoint, Cause: cause, Status: status, Body: body, Err: eris.Errorf("status %d", status),
	}
}
