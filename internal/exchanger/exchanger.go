// Package exchanger performs HTTP/1.1 exchanges with endpoints over kept connections.
//
// It never sends a request twice. An error tells whether a byte of the request may have reached the endpoint, which is what
// decides whether a request that must not run twice may go elsewhere.
package exchanger

import (
	"bufio"
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
)

const (
	// defaultIdle bounds the reuse of a connection whose endpoint states no timeout of its own.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the timeout that an endpoint states, so that its close does not cross a request.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the kept connections to one endpoint.
	maxIdlePerEndpoint = 16
	// inlineBodyBytes is the largest body written before the answer is awaited. An endpoint may answer a longer one early.
	inlineBodyBytes = 8 << 10
	// maxStrayAnswers bounds the answers to earlier requests that are skipped on one connection.
	maxStrayAnswers = 2
	// maxInterimAnswers bounds the answers of the 1xx class before the final one.
	maxInterimAnswers = 16
	// maxStrayBytes bounds the body of an answer that is skipped.
	maxStrayBytes = 1 << 20
	// maxHeadBytes bounds what is read before the head of an answer is whole, with interim answers. An endpoint in trouble may
	// send bytes without end.
	maxHeadBytes = 64 << 10
)

// HeadTooLongError reports an endpoint that sent more bytes than any head of an answer has.
type HeadTooLongError struct{ Limit int }

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("no whole head of an answer within %d bytes", e.Limit)
}

// NotSentError reports that no byte of a request was written: it did not run.
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

// InterruptedError reports an exchange that ended without a whole answer: the request may have run.
type InterruptedError struct {
	Addr string
	// Kept is true if the connection had carried an exchange before.
	Kept bool
	// Begun is true if a byte of an answer had arrived.
	Begun bool
	Err   error
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("exchange with %s interrupted (kept connection %t): %v", e.Addr, e.Kept, e.Err)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Err }

// Request is what an endpoint receives.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names the header in which an answer repeats the request's value; an answer with another value belongs to an
	// earlier request and is skipped.
	EchoHeader string
	// ProvenWithin bounds the age of the last whole answer on a connection that is reused; 0 takes any kept connection.
	ProvenWithin time.Duration
}

// Client keeps connections to endpoints. Set the exported fields before use.
type Client struct {
	// DialTimeout bounds a connect.
	DialTimeout time.Duration
	// OnDial is called with each new connection; it may be nil.
	OnDial func(addr string)

	mu   sync.Mutex
	idle map[string][]*conn
	done bool
}

type conn struct {
	net.Conn
	addr string
	// head bounds the bytes that are read while a head is awaited.
	head     *headLimit
	reader   *bufio.Reader
	kept     bool
	provenAt time.Time
	idleFor  time.Duration
}

// headLimit passes bytes on and fails once more than left of them were read while limited.
type headLimit struct {
	io.Reader
	limited bool
	left    int
}

// Read implements io.Reader.
func (l *headLimit) Read(b []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(b)
	}
	if l.left <= 0 {
		return 0, &HeadTooLongError{Limit: maxHeadBytes}
	}
	n, err := l.Reader.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// Response is an answer whose body has not been read yet.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF after the last byte of a whole body and another error after a body that was cut off.
	Body io.Reader
	// Length is the length of the body or -1.
	Length int64

	client  *Client
	conn    *conn
	http    *http.Response
	written chan error
	stop    func() bool
	whole   bool
}

// Do sends a request and returns the head of its answer. Ending ctx closes the connection, which tells the endpoint that
// nobody waits any more. The caller closes the response.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	k, err := c.connect(ctx, addr, req.ProvenWithin)
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
		return nil, &InterruptedError{Addr: addr, Kept: k.kept, Begun: k.head.limited && k.head.left < maxHeadBytes, Err: err}
	}
	written := make(chan error, 1)
	raw := encode(req)
	if len(req.Body) <= inlineBodyBytes {
		_, err = k.Write(append(raw, req.Body...))
		written <- err
		if err != nil {
			return fail(err)
		}
	} else {
		go func() {
			buffers := net.Buffers{raw, req.Body}
			_, err := buffers.WriteTo(k.Conn)
			written <- err
		}()
	}
	answer, err := readAnswer(k, req)
	if err != nil {
		return fail(err)
	}
	return &Response{
		Status: answer.StatusCode, Header: answer.Header, Body: answer.Body, Length: answer.ContentLength,
		client: c, conn: k, http: answer, written: written, stop: stop,
	}, nil
}

// readAnswer reads heads until one belongs to the request.
func readAnswer(k *conn, req *Request) (*http.Response, error) {
	for stray, interim := 0, 0; ; {
		k.head.limited, k.head.left = true, maxHeadBytes
		answer, err := http.ReadResponse(k.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			if interim++; interim > maxInterimAnswers {
				return nil, eris.Errorf("more than %d interim answers", maxInterimAnswers)
			}
			continue
		}
		k.head.limited = false
		echo := answer.Header.Get(req.EchoHeader)
		if req.EchoHeader == "" || echo == "" || echo == req.Header.Get(req.EchoHeader) {
			return answer, nil
		}
		if stray++; stray > maxStrayAnswers {
			return nil, eris.New("the answers on this connection belong to other requests")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxStrayBytes)); err != nil || n == maxStrayBytes {
			return nil, eris.Errorf("answer to another request of %d bytes or more: %v", n, err)
		}
	}
}

// Finish reports that the whole body was read, so that the connection may be kept.
func (r *Response) Finish() { r.whole = true }

// Close ends the exchange. The connection is kept if the answer was whole and nothing else is due on it.
func (r *Response) Close() {
	stopped := r.stop()
	keep := r.whole && stopped && !r.http.Close && (r.Length >= 0 || isChunked(r.http))
	select {
	case err := <-r.written:
		keep = keep && err == nil
	default:
		// The endpoint answered before it had the whole body; the rest is still due on this connection.
		keep = false
	}
	if !keep || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.idleFor = idleTime(r.Header)
	r.conn.kept, r.conn.provenAt = true, time.Now()
	r.client.put(r.conn)
}

func isChunked(r *http.Response) bool {
	return len(r.TransferEncoding) == 1 && r.TransferEncoding[0] == "chunked"
}

// idleTime reads the Keep-Alive header of an answer.
func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return max(0, time.Duration(seconds)*time.Second-idleMargin)
			}
		}
	}
	return defaultIdle
}

func encode(req *Request) []byte {
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

// connect takes a kept connection or opens one.
func (c *Client) connect(ctx context.Context, addr string, proven time.Duration) (*conn, error) {
	for {
		k := c.take(addr, proven)
		if k == nil {
			break
		}
		if quiet(k.Conn) {
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
	dialer := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1, Control: control}
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	head := &headLimit{Reader: raw}
	return &conn{Conn: raw, addr: addr, head: head, reader: bufio.NewReader(head)}, nil
}

// Reachable opens a connection to an address and keeps it for a later exchange.
func (c *Client) Reachable(ctx context.Context, addr string) error {
	k, err := c.dial(ctx, addr)
	if err != nil {
		return &NotSentError{Addr: addr, Err: err}
	}
	k.provenAt, k.idleFor = time.Now(), defaultIdle
	c.put(k)
	return nil
}

func (c *Client) take(addr string, proven time.Duration) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for len(list) > 0 {
		k := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[addr] = list
		age := now.Sub(k.provenAt)
		if age > k.idleFor {
			_ = k.Close()
			continue
		}
		if proven > 0 && age > proven {
			// The others have been idle for longer.
			c.idle[addr] = append(list, k)
			return nil
		}
		return k
	}
	return nil
}

func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = map[string][]*conn{}
	}
	if c.done || k.idleFor <= 0 || len(c.idle[k.addr]) >= maxIdlePerEndpoint {
		_ = k.Close()
		return
	}
	c.idle[k.addr] = append(c.idle[k.addr], k)
}

// Sweep closes connections that have been idle for too long, and all those to addresses that are not wanted.
func (c *Client) Sweep(wanted func(addr string) bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if wanted(addr) && now.Sub(k.provenAt) <= k.idleFor {
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

// Close closes all kept connections.
func (c *Client) Close() error {
	c.mu.Lock()
	c.done = true
	c.mu.Unlock()
	c.Sweep(func(string) bool { return false })
	return nil
}

// Sent reports whether a request that failed with err may have reached an endpoint.
func Sent(err error) bool {
	var notSent *NotSentError
	return err != nil && !errors.As(err, &notSent)
}
