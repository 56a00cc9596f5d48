// Package exchanger sends HTTP/1.1 requests to endpoints over persistent connections.
//
// It never retries a request. The type of an error states whether a byte of the request may have reached the endpoint, so that
// the caller can decide whether a request that must run at most once may be sent to another endpoint.
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/headvalidator"
)

const (
	// defaultIdleTimeout applies to connections whose endpoint sends no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the keep-alive timeout of an endpoint, so that a request does not race with the
	// endpoint closing the connection.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxIdleConnsPerEndpoint bounds the idle connections to one endpoint.
	maxIdleConnsPerEndpoint = 16
	// inlineBodyBytes is the largest body that is written before the response is read. A larger body is written concurrently,
	// since the endpoint may respond before it has read all of it.
	inlineBodyBytes = 8 << 10
	// maxMismatchedResponses bounds the responses to earlier requests that are skipped before one response.
	maxMismatchedResponses = 2
	// maxInformationalResponses bounds the 1xx responses before the final response.
	maxInformationalResponses = 16
	// maxDiscardedBytes bounds the body of a skipped response.
	maxDiscardedBytes = 1 << 20
	// maxHeaderBytes bounds the bytes read until a response header is complete. A faulty endpoint may send an unlimited number
	// of bytes.
	maxHeaderBytes = 64 << 10
)

// HeaderTooLargeError reports a response header that exceeds the limit, or bytes that are no header.
type HeaderTooLargeError struct{ Limit int }

// Error implements error.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("no complete response header within %d bytes", e.Limit)
}

// NotSentError reports that no byte of a request was written, so the request did not run.
type NotSentError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing was sent to %s: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// InterruptedError reports an exchange that ended before the response header was complete. The request may have run.
type InterruptedError struct {
	Addr string
	// Reused is true if the connection had completed an exchange before.
	Reused bool
	// ResponseStarted is true if a byte of the response had arrived.
	ResponseStarted bool
	Err             error
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("exchange with %s interrupted (kept connection %t): %v", e.Addr, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Err }

// Request is a request to an endpoint.
type Request struct {
	Method string
	// URI is the request target (path and query) as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names the header whose value the endpoint copies to the response. A response with another value belongs to an
	// earlier request and is skipped; one without a value is not accepted on a reused connection. It may be empty.
	EchoHeader string
	// MaxIdleTime bounds the time since the last complete response on a reused connection; 0 means no bound but the idle
	// timeout.
	MaxIdleTime time.Duration
}

// Client sends requests and pools idle connections. Set the exported fields before use.
type Client struct {
	// DialTimeout bounds a connection attempt.
	DialTimeout time.Duration
	// OnDial is called before each connection attempt; it may be nil.
	OnDial func(addr string)
	// Dial opens a connection to an endpoint; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

type conn struct {
	net.Conn
	addr string
	// header bounds the bytes that are read while a response header is expected.
	header      *headerLimiter
	reader      *bufio.Reader
	reused      bool
	verifiedAt  time.Time
	idleTimeout time.Duration
}

// Len implements headvalidator.Source.
func (k *conn) Len() int { return k.reader.Buffered() }

// Peek implements headvalidator.Source. The buffer grows with the head.
func (k *conn) Peek(n int) ([]byte, error) {
	if n > k.reader.Size() {
		buffered, err := k.reader.Peek(k.reader.Buffered())
		if err != nil {
			return nil, err
		}
		k.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), k.header), 2*n)
	}
	return k.reader.Peek(n)
}

// headerLimiter is a reader that fails with a *HeaderTooLargeError while limited is set and remaining is used up.
type headerLimiter struct {
	io.Reader
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (l *headerLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(b)
	}
	if l.remaining <= 0 {
		return 0, &HeaderTooLargeError{Limit: maxHeaderBytes}
	}
	n, err := l.Reader.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// Response is a response whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF after a complete body and another error after a truncated body.
	Body io.Reader
	// Length is the length of the body, or -1 if it is unknown.
	Length int64

	framed   bool
	complete bool
	// close ends the exchange; complete is true if the whole body was read.
	close func(complete bool)
}

// NewResponse returns a response that arrived in another way than on a connection of a Client. Framed is true if the end of the body
// does not depend on the end of a connection; onClose is called when the response is closed.
func NewResponse(status int, header http.Header, body io.Reader, length int64, framed bool, onClose func()) *Response {
	return &Response{Status: status, Header: header, Body: body, Length: length, framed: framed, close: func(bool) { onClose() }}
}

// Do sends a request and returns the response once its header is complete. Canceling ctx closes the connection, so that the
// endpoint can abort the request. Errors are of type *NotSentError or *InterruptedError. The caller must close the response.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	k, err := c.connect(ctx, addr, req.MaxIdleTime)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	fail := func(err error) (*Response, error) {
		stop()
		_ = k.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &InterruptedError{Addr: addr, Reused: k.reused, ResponseStarted: k.header.limited && k.header.remaining < maxHeaderBytes, Err: err}
	}
	sent, err := startUpload(k.Conn, encodeRequest(req), req.Body)
	if err != nil {
		return fail(err)
	}
	resp, err := readResponse(k, req)
	if err != nil {
		return fail(err)
	}
	framed := resp.ContentLength >= 0 || isChunked(resp)
	var body io.Reader = &framedBody{resp}
	if !framed {
		body = &unframedBody{Reader: resp.Body, addr: addr, upload: sent}
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Body: body, Length: resp.ContentLength, framed: framed,
		close: func(complete bool) {
			stopped := stop()
			c.finish(k, resp, complete && stopped, sent)
		},
	}, nil
}

// errUnattributable reports a response that may belong to an earlier request on the connection.
var errUnattributable = eris.New("response without an ID on a reused connection")

// readResponse skips informational responses and responses to earlier requests.
func readResponse(k *conn, req *Request) (*http.Response, error) {
	for mismatched, informational := 0, 0; ; {
		k.header.limited, k.header.remaining = true, maxHeaderBytes
		if _, err := headvalidator.Await(k, maxHeaderBytes); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(k.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			if informational++; informational > maxInformationalResponses {
				return nil, eris.Errorf("more than %d informational responses", maxInformationalResponses)
			}
			continue
		}
		k.header.limited = false
		echo, id := resp.Header.Get(req.EchoHeader), req.Header.Get(req.EchoHeader)
		if req.EchoHeader != "" && echo == "" && id != "" && k.reused {
			return nil, errUnattributable
		}
		if req.EchoHeader == "" || echo == "" || echo == id {
			return resp, nil
		}
		if mismatched++; mismatched > maxMismatchedResponses {
			return nil, eris.New("the responses on this connection belong to other requests")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBytes)); err != nil || n == maxDiscardedBytes {
			return nil, eris.Errorf("skipped %d or more bytes of the response to another request: %v", n, err)
		}
	}
}

// Framed reports whether the response has a length or is chunked. The end of any other response is the end of its connection.
func (r *Response) Framed() bool { return r.framed }

// MarkComplete records that the complete body was read, so that the connection may be reused.
func (r *Response) MarkComplete() { r.complete = true }

// Close ends the exchange. It keeps the connection for reuse if request and response were complete and the endpoint did not ask
// to close it, and closes the connection otherwise.
func (r *Response) Close() { r.close(r.complete) }

// finish keeps the connection of an exchange for reuse, or closes it.
func (c *Client) finish(k *conn, resp *http.Response, keep bool, sent *upload) {
	keep = keep && !resp.Close && (resp.ContentLength >= 0 || isChunked(resp))
	// The endpoint may have responded before the request was written completely.
	ended, err := sent.result()
	keep = keep && ended && err == nil
	if !keep || k.reader.Buffered() > 0 {
		_ = k.Close()
		return
	}
	k.idleTimeout = keepAliveTimeout(resp.Header)
	k.reused, k.verifiedAt = true, time.Now()
	c.putIdle(k)
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) == 1 && r.TransferEncoding[0] == "chunked"
}

// keepAliveTimeout returns the idle timeout of a connection from the Keep-Alive header of a response.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
			}
		}
	}
	return defaultIdleTimeout
}

func encodeRequest(req *Request) []byte {
	var b strings.Builder
	b.Grow(1024)
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// connect returns an idle connection or opens a new one.
func (c *Client) connect(ctx context.Context, addr string, maxAge time.Duration) (*conn, error) {
	for {
		k := c.getIdle(addr, maxAge)
		if k == nil {
			break
		}
		if isOpenAndUnread(k.Conn) {
			return k, nil
		}
		_ = k.Close()
	}
	return c.dial(ctx, addr)
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	if c.OnDial != nil {
		c.OnDial(addr)
	}
	raw, err := c.open(ctx, addr)
	if err != nil {
		return nil, err
	}
	header := &headerLimiter{Reader: raw}
	return &conn{Conn: raw, addr: addr, header: header, reader: bufio.NewReader(header)}, nil
}

// open opens a connection to an endpoint within DialTimeout.
func (c *Client) open(ctx context.Context, addr string) (net.Conn, error) {
	if c.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
		defer cancel()
		return c.Dial(ctx, addr)
	}
	dialer := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1, Control: setSocketOptions}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Probe checks that a connection to addr can be opened, and keeps the connection for a later request. It returns a
// *NotSentError otherwise.
func (c *Client) Probe(ctx context.Context, addr string) error {
	k, err := c.dial(ctx, addr)
	if err != nil {
		return &NotSentError{Addr: addr, Err: err}
	}
	k.verifiedAt, k.idleTimeout = time.Now(), defaultIdleTimeout
	c.putIdle(k)
	return nil
}

func (c *Client) getIdle(addr string, maxAge time.Duration) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		k := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		age := now.Sub(k.verifiedAt)
		if age > k.idleTimeout {
			_ = k.Close()
			continue
		}
		if maxAge > 0 && age > maxAge {
			// All other connections have been idle for longer.
			c.idle[addr] = append(list, k)
			return nil
		}
		return k
	}
	return nil
}

func (c *Client) putIdle(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	if c.closed || k.idleTimeout <= 0 || len(c.idle[k.addr]) >= maxIdleConnsPerEndpoint {
		_ = k.Close()
		return
	}
	c.idle[k.addr] = append(c.idle[k.addr], k)
}

// CloseIdle closes idle connections that have exceeded their idle timeout or whose address is not wanted.
func (c *Client) CloseIdle(wanted func(addr string) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if wanted(addr) && now.Sub(k.verifiedAt) <= k.idleTimeout {
				kept = append(kept, k)
			} else {
				_ = k.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
}

// Close closes all idle connections. Connections in use are closed when their response is closed.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseIdle(func(string) bool { return false })
	return nil
}

// MaybeSent reports whether a byte of a request that failed with err may have reached the endpoint. It returns false for nil.
func MaybeSent(err error) bool {
	var notSent *NotSentError
	return err != nil && !errors.As(err, &notSent)
}
