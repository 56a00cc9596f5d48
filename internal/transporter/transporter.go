// Package transporter implements calls and streams between the hosts of the system.
//
// A host keeps one yamux session over TCP to each address that it calls. Each exchange, which is a call or a stream, uses its own
// yamux stream and deadline. A session that has received nothing during a failed call is closed, and the next exchange dials a
// new one.
package transporter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/authenticator"
	"github.com/dragonflycroft/dragonflycroft/internal/framer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter/transporterpb"
)

// Defaults of a Transport.
const (
	DefaultMaxFrameBytes   = 16 << 20
	DefaultDialTimeout     = time.Second
	DefaultExchangeTimeout = 5 * time.Second
	DefaultKeepAlive       = time.Second
	minBackoff             = 20 * time.Millisecond
	maxBackoff             = time.Second
	maxStreamsPerSession   = 4096
)

// Peer is the authenticated other end of an exchange.
type Peer = authenticator.Peer

// Handler returns the reply to one call. Payload is the encoded request. An error is sent to the caller with its ErrorCode, or
// with CodeInternal.
type Handler func(ctx context.Context, peer Peer, payload []byte) ([]byte, error)

// StreamHandler serves one stream, which is closed when the handler returns.
type StreamHandler func(ctx context.Context, peer Peer, s *Stream) error

// RemoteError is an error that the handler or the transport of the called host returned.
type RemoteError struct {
	Method  string
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s: remote error %s: %s", e.Method, e.Code, e.Message)
}

// ErrorCoder is implemented by errors whose code is sent to the caller in RemoteError.Code.
type ErrorCoder interface {
	error
	ErrorCode() string
}

// Codes of remote errors that the transport itself sets.
const (
	CodeInternal      = "internal"
	CodeUnknownMethod = "unknown_method"
)

// Transport makes and serves exchanges with other hosts. Set the exported fields before Run.
type Transport struct {
	HostID     string
	Zone       string
	ListenAddr string
	// AdvertiseAddr is the address at which peers dial this host; it defaults to the bound address.
	AdvertiseAddr string
	// Key is the shared key that authenticates both hosts.
	Key             []byte
	MaxFrameBytes   int
	DialTimeout     time.Duration
	ExchangeTimeout time.Duration
	KeepAlive       time.Duration

	mu             sync.Mutex
	handlers       map[string]Handler
	streamHandlers map[string]StreamHandler
	outbound       map[string]*clientSession
	inbound        map[*yamux.Session]struct{}
	listener       net.Listener
	closed         bool
	wg             sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (t *Transport) dialTimeout() time.Duration { return orDefault(t.DialTimeout, DefaultDialTimeout) }

func (t *Transport) exchangeTimeout() time.Duration {
	return orDefault(t.ExchangeTimeout, DefaultExchangeTimeout)
}

func (t *Transport) maxFrameBytes() int { return orDefault(t.MaxFrameBytes, DefaultMaxFrameBytes) }

func (t *Transport) authenticator() *authenticator.Authenticator {
	return &authenticator.Authenticator{HostID: t.HostID, Zone: t.Zone, Addr: t.Addr(), Key: t.Key, Timeout: t.dialTimeout()}
}

func (t *Transport) yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = orDefault(t.KeepAlive, DefaultKeepAlive)
	c.ConnectionWriteTimeout = 2 * c.KeepAliveInterval
	c.AcceptBacklog = maxStreamsPerSession
	return c
}

// Handle registers the handler of a method. It must be called before Run.
func (t *Transport) Handle(method string, h Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.handlers == nil {
		t.handlers = make(map[string]Handler)
	}
	t.handlers[method] = h
}

// HandleStream registers the handler of a streaming method. It must be called before Run.
func (t *Transport) HandleStream(method string, h StreamHandler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streamHandlers == nil {
		t.streamHandlers = make(map[string]StreamHandler)
	}
	t.streamHandlers[method] = h
}

// Listen binds the listen address, so that Addr returns the bound address before Run.
func (t *Transport) Listen() error {
	l, err := net.Listen("tcp", t.ListenAddr)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %s", t.ListenAddr)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = l
	return nil
}

// Addr returns the address at which peers dial this host.
func (t *Transport) Addr() string {
	if t.AdvertiseAddr != "" {
		return t.AdvertiseAddr
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener != nil {
		return t.listener.Addr().String()
	}
	return t.ListenAddr
}

// Run accepts sessions until ctx is done or Close is called. It binds the listen address unless Listen was called.
func (t *Transport) Run(ctx context.Context) error {
	t.mu.Lock()
	bound := t.listener != nil
	t.mu.Unlock()
	if !bound {
		if err := t.Listen(); err != nil {
			return err
		}
	}
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	l, runCtx := t.listener, t.ctx
	t.mu.Unlock()
	stop := context.AfterFunc(runCtx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if runCtx.Err() != nil {
				return nil
			}
			var temporary interface{ Timeout() bool }
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			return eris.Wrap(err, "accept peer")
		}
		if !t.startGoroutine(func() { t.accept(runCtx, conn) }) {
			_ = conn.Close()
			return nil
		}
	}
}

// startGoroutine runs fn in a goroutine that Close waits for. It returns false without running fn if the transport is closed.
func (t *Transport) startGoroutine(fn func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		fn()
	}()
	return true
}

// Close closes all sessions and waits for their handlers.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	if t.cancel != nil {
		t.cancel()
	}
	if t.listener != nil {
		_ = t.listener.Close()
	}
	for s := range t.inbound {
		_ = s.Close()
	}
	sessions := make([]*clientSession, 0, len(t.outbound))
	for _, c := range t.outbound {
		sessions = append(sessions, c)
	}
	t.mu.Unlock()
	for _, c := range sessions {
		c.closeCurrent()
	}
	t.wg.Wait()
	return nil
}

func (t *Transport) accept(ctx context.Context, conn net.Conn) {
	peer, err := t.authenticator().Accept(conn)
	if err != nil {
		klog.Warningf("transporter: refused peer remote=%s reason=%q", conn.RemoteAddr(), err)
		_ = conn.Close()
		return
	}
	session, err := yamux.Server(conn, t.yamuxConfig())
	if err != nil {
		klog.Errorf("transporter: cannot start session peer=%s reason=%q", peer.HostID, err)
		_ = conn.Close()
		return
	}
	if !t.addInbound(session) {
		_ = session.Close()
		return
	}
	defer t.removeInbound(session)
	slots := make(chan struct{}, maxStreamsPerSession)
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			klog.Warningf("transporter: refused stream peer=%s reason=%q", peer.HostID, "too many streams")
			_ = raw.Close()
			continue
		}
		started := t.startGoroutine(func() {
			defer func() { <-slots }()
			t.serve(ctx, peer, raw)
		})
		if !started {
			_ = raw.Close()
			return
		}
	}
}

func (t *Transport) addInbound(s *yamux.Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	if t.inbound == nil {
		t.inbound = make(map[*yamux.Session]struct{})
	}
	t.inbound[s] = struct{}{}
	return true
}

func (t *Transport) removeInbound(s *yamux.Session) {
	_ = s.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inbound, s)
}

func (t *Transport) serve(ctx context.Context, peer Peer, raw *yamux.Stream) {
	defer func() { _ = raw.Close() }()
	_ = raw.SetReadDeadline(time.Now().Add(t.exchangeTimeout()))
	req := &transporterpb.Request{}
	if err := framer.Read(raw, req, t.maxFrameBytes()); err != nil {
		klog.Warningf("transporter: cannot read request peer=%s reason=%q", peer.HostID, err)
		return
	}
	t.mu.Lock()
	handler, unary := t.handlers[req.GetMethod()]
	stream, streaming := t.streamHandlers[req.GetMethod()]
	t.mu.Unlock()
	switch {
	case unary:
		t.serveCall(ctx, peer, raw, req, handler)
	case streaming:
		t.serveStream(ctx, peer, raw, req, stream)
	default:
		klog.Warningf("transporter: refused request peer=%s method=%s reason=%q", peer.HostID, req.GetMethod(), "unknown method")
		t.reply(raw, &transporterpb.Reply{ErrorCode: CodeUnknownMethod, ErrorMessage: "unknown method " + req.GetMethod()})
	}
}

func (t *Transport) serveCall(ctx context.Context, peer Peer, raw *yamux.Stream, req *transporterpb.Request, h Handler) {
	timeout := t.exchangeTimeout()
	if ms := req.GetTimeoutMs(); ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	payload, err := h(ctx, peer, req.GetPayload())
	reply := &transporterpb.Reply{Payload: payload}
	if err != nil {
		reply = &transporterpb.Reply{ErrorCode: errorCode(err), ErrorMessage: err.Error()}
	}
	t.reply(raw, reply)
}

func (t *Transport) reply(raw *yamux.Stream, reply *transporterpb.Reply) {
	_ = raw.SetWriteDeadline(time.Now().Add(t.exchangeTimeout()))
	if err := framer.Write(raw, reply, t.maxFrameBytes()); err != nil {
		klog.V(1).Infof("transporter: cannot send reply reason=%q", err)
	}
}

func (t *Transport) serveStream(ctx context.Context, peer Peer, raw *yamux.Stream, req *transporterpb.Request, h StreamHandler) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newStream(ctx, t, raw)
	defer func() { _ = s.Close() }()
	if err := h(ctx, peer, s); err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
		klog.V(1).Infof("transporter: stream failed peer=%s method=%s reason=%q", peer.HostID, req.GetMethod(), err)
	}
}

func errorCode(err error) string {
	var c ErrorCoder
	if errors.As(err, &c) {
		return c.ErrorCode()
	}
	return CodeInternal
}

// Call sends a request, waits for the reply and decodes it into resp. It takes at most the exchange timeout, or less if ctx has
// an earlier deadline. An error of the called host is returned as a *RemoteError.
func (t *Transport) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, t.exchangeTimeout())
	defer cancel()
	payload, err := proto.Marshal(req)
	if err != nil {
		return eris.Wrapf(err, "encode %s", method)
	}
	started := time.Now()
	raw, client, err := t.openStream(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = raw.Close() }()
	deadline, _ := ctx.Deadline()
	_ = raw.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	reply := &transporterpb.Reply{}
	request := &transporterpb.Request{Method: method, TimeoutMs: max(1, time.Until(deadline).Milliseconds()), Payload: payload}
	err = framer.Write(raw, request, t.maxFrameBytes())
	if err == nil {
		err = framer.Read(raw, reply, t.maxFrameBytes())
	}
	if err != nil {
		client.closeIfIdleSince(started)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return eris.Wrapf(err, "call %s at %s", method, addr)
	}
	if reply.GetErrorCode() != "" {
		return &RemoteError{Method: method, Code: reply.GetErrorCode(), Message: reply.GetErrorMessage()}
	}
	return eris.Wrapf(proto.Unmarshal(reply.GetPayload(), resp), "decode answer of %s", method)
}

// OpenStream starts a stream, which ends when ctx is done or either side closes it.
func (t *Transport) OpenStream(ctx context.Context, addr, method string) (*Stream, error) {
	dialCtx, cancel := context.WithTimeout(ctx, t.exchangeTimeout())
	defer cancel()
	raw, _, err := t.openStream(dialCtx, addr)
	if err != nil {
		return nil, err
	}
	_ = raw.SetWriteDeadline(time.Now().Add(t.exchangeTimeout()))
	if err := framer.Write(raw, &transporterpb.Request{Method: method}, t.maxFrameBytes()); err != nil {
		_ = raw.Close()
		return nil, eris.Wrapf(err, "open %s at %s", method, addr)
	}
	return newStream(ctx, t, raw), nil
}

// DropSession closes the session to addr, so that the next exchange dials a new one.
func (t *Transport) DropSession(addr string) {
	t.mu.Lock()
	c := t.outbound[addr]
	t.mu.Unlock()
	if c != nil {
		c.closeCurrent()
	}
}
