// Package server implements the HTTP listener for callers.
package server

import (
	"context"
	"expvar"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	hertzserver "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/connlimiter"
	"github.com/dragonflycroft/dragonflycroft/internal/describer"
	"github.com/dragonflycroft/dragonflycroft/internal/drainer"
	"github.com/dragonflycroft/dragonflycroft/internal/inspector"
	"github.com/dragonflycroft/dragonflycroft/internal/reserver"
	"github.com/dragonflycroft/dragonflycroft/internal/responder"
)

func init() {
	// hertz logs every closed connection as an error.
	hlog.SetLevel(hlog.LevelFatal)
}

// Headers of requests and responses.
const (
	HeaderRequestID      = responder.HeaderRequestID
	HeaderOutcome        = responder.HeaderOutcome
	HeaderTier           = "X-Dragonflycroft-Tier"
	HeaderTimeoutMS      = "X-Dragonflycroft-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"

	// headerPrefix is the prefix of this system's headers, which are not forwarded to endpoints.
	headerPrefix = "x-dragonflycroft-"
	// outcomeStreaming is the value of the outcome header of a stream, whose final outcome is sent as an event at its end.
	outcomeStreaming = "streaming"
)

// Defaults of a Server.
const (
	DefaultMaxBodyBytes    = 8 << 20
	DefaultMaxHeaderBytes  = 64 << 10
	DefaultBodyMemoryBytes = 256 << 20
	DefaultReadTimeout     = 30 * time.Second
	DefaultWriteTimeout    = 30 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
	DefaultBodyTimeout     = time.Minute
	maxKeyBytes            = 256
	// clientMemoryFactor is the default of the memory for all that callers take, relative to that for bodies.
	clientMemoryFactor = 2
	shutdownTimeout    = 100 * time.Millisecond
	// closeRetryInterval is the time after which a hertz that was starting when it was shut down is closed again.
	closeRetryInterval = 10 * time.Millisecond
)

var (
	countRequests = expvar.NewMap("server_requests")
	bodyBytes     = expvar.NewInt("server_body_bytes")
)

// Requests accepts requests and returns their answers; *dispatcher.Dispatcher implements it.
type Requests interface {
	Accept(req describer.Request) (*answerer.Answer, *answerer.Reader, error)
	Fetch(workspace, id string, from int) (*answerer.Answer, *answerer.Reader, error)
	// NewID returns an id for a request that is refused before it is accepted.
	NewID(workspace string) string
}

// Server serves callers. Set ListenAddr and the bounds before Listen, and the other exported fields before Run.
type Server struct {
	ListenAddr string
	Requests   Requests
	// Config returns the configuration in force on this host.
	Config func() (version uint64, cfg *configurer.Config, fresh bool)
	// UnreadyReason returns an empty string, or the reason why the load balancer should send no more requests, which /readyz
	// returns.
	UnreadyReason func() string
	// RefusalReason returns an empty string, or the reason why new requests are refused. In a planned stop, a host still accepts
	// them for a while after it is no longer ready, since the load balancer detects the change with a delay.
	RefusalReason   func() string
	MaxBodyBytes    int
	MaxHeaderBytes  int
	BodyMemoryBytes int64
	ReadTimeout     time.Duration
	WriteTimeout    time.Duration
	IdleTimeout     time.Duration
	// BodyTimeout bounds the time to read a whole body, during which its memory is reserved.
	BodyTimeout time.Duration
	// ClientMemoryBytes bounds the memory that all connections, request heads and bodies take together; 0 means twice that for bodies.
	ClientMemoryBytes int64
	// MaxConns bounds the open connections; 0 means no bound.
	MaxConns int

	listener net.Listener
	clients  *connlimiter.Limiter
	hertz    *hertzserver.Hertz
	memory   *reserver.Memory
	inflight drainer.Drainer
	// mu guards the start against Close. ended is closed when Run ends; nil until it begins.
	mu      sync.Mutex
	closing atomic.Bool
	ended   chan struct{}
	index   atomic.Pointer[versionedIndex]
}

type versionedIndex struct {
	version uint64
	*configurer.Index
}

func orDefault[T int | int64 | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

func (s *Server) maxBody() int { return orDefault(s.MaxBodyBytes, DefaultMaxBodyBytes) }

// Listen binds the address, so that Addr is known before Run.
func (s *Server) Listen() error {
	l, err := net.Listen("tcp", s.ListenAddr)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", s.ListenAddr)
	}
	s.listener = l
	bodyMemory := orDefault(s.BodyMemoryBytes, DefaultBodyMemoryBytes)
	s.memory = reserver.New(bodyMemory, int64(s.maxBody()))
	s.clients = &connlimiter.Limiter{MaxBytes: orDefault(s.ClientMemoryBytes, clientMemoryFactor*bodyMemory), MaxConns: s.MaxConns}
	s.hertz = hertzserver.New(
		// hertz reads with the connection's Read, so that nothing is read before it is paid for. Its other transport reads ahead all
		// that a caller sends.
		hertzserver.WithTransport(standard.NewTransporter),
		hertzserver.WithListener(&listener{
			Listener: s.clients.Listen(l), readTimeout: orDefault(s.ReadTimeout, DefaultReadTimeout), writeTimeout: orDefault(s.WriteTimeout, DefaultWriteTimeout),
		}),
		hertzserver.WithOnAccept(connContext),
		hertzserver.WithStreamBody(true),
		hertzserver.WithDisablePrintRoute(true),
		hertzserver.WithDisablePreParseMultipartForm(true),
		hertzserver.WithUseRawPath(true),
		hertzserver.WithUnescapePathValues(false),
		hertzserver.WithRedirectTrailingSlash(false),
		// readBody checks the size; its error response states that the request did not run.
		hertzserver.WithMaxRequestBodySize(math.MaxInt32),
		hertzserver.WithMaxHeaderBytes(orDefault(s.MaxHeaderBytes, DefaultMaxHeaderBytes)),
		hertzserver.WithReadTimeout(orDefault(s.ReadTimeout, DefaultReadTimeout)),
		hertzserver.WithWriteTimeout(orDefault(s.WriteTimeout, DefaultWriteTimeout)),
		hertzserver.WithIdleTimeout(orDefault(s.IdleTimeout, DefaultIdleTimeout)),
		hertzserver.WithKeepAliveTimeout(orDefault(s.IdleTimeout, DefaultIdleTimeout)),
		// Close waits for responses itself; hertz would also wait for idle connections.
		hertzserver.WithExitWaitTime(shutdownTimeout),
	)
	s.hertz.Use(func(ctx context.Context, c *app.RequestContext) {
		bounded := connOf(ctx).bounded
		bounded.BeginRequest()
		defer bounded.EndRequest()
		c.Next(ctx)
	})
	s.hertz.Use(recovery.Recovery(recovery.WithRecoveryHandler(s.handlePanic)))
	s.routes()
	return nil
}

// handlePanic responds to a request whose handler panicked. The request may have run.
func (s *Server) handlePanic(_ context.Context, c *app.RequestContext, fault any, stack []byte) {
	klog.Errorf("server: handler failed path=%s fault=%v stack=%q", c.Path(), fault, stack)
	s.writeFailure(c, &responder.Failure{
		Status: http.StatusInternalServerError, Outcome: answerer.Unknown, Reason: "internal", Message: "the entry host failed to handle the request",
	})
	c.SetConnectionClose()
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until Close.
func (s *Server) Run() error {
	s.mu.Lock()
	if s.closing.Load() {
		s.mu.Unlock()
		return nil
	}
	s.ended = make(chan struct{})
	s.mu.Unlock()
	defer close(s.ended)
	defer func() {
		// If Close comes before hertz serves the listener, hertz panics because the listener is closed.
		if fault := recover(); fault != nil && !s.closing.Load() {
			panic(fault)
		}
	}()
	return s.hertz.Run()
}

// Close waits until every response in progress has been written or ctx has ended, closes the listener and all connections, and waits for Run.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closing.Store(true)
	ended := s.ended
	s.mu.Unlock()
	err := s.inflight.Wait(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	_ = s.hertz.Shutdown(ctx)
	_ = s.listener.Close()
	if ended == nil {
		return err
	}
	for {
		select {
		case <-ended:
			return err
		case <-time.After(closeRetryInterval):
			// A shutdown before hertz has set up its event loop is lost, and it would serve for ever.
			_ = s.hertz.Close()
		}
	}
}

func (s *Server) routes() {
	h := s.hertz
	healthz := func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") }
	readyz := func(_ context.Context, c *app.RequestContext) {
		if reason := s.UnreadyReason(); reason != "" {
			c.String(http.StatusServiceUnavailable, reason+"\n")
			return
		}
		c.String(http.StatusOK, "ok\n")
	}
	h.GET("/healthz", healthz)
	h.HEAD("/healthz", healthz)
	h.GET("/readyz", readyz)
	h.HEAD("/readyz", readyz)
	h.POST("/v1/chat/completions", s.guard("chat", true, s.serveChat))
	h.GET("/v1/models", s.guard("models", false, s.serveModels))
	h.GET("/v1/requests/:id", s.guard("fetch", false, s.serveFetch))
	h.Any("/v1/services/:service/*path", s.guard("service", true, s.serveService))
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		s.writeFailure(c, &responder.Failure{Status: http.StatusNotFound, Reason: "unknown_path", Message: "this path is not known"})
	})
}

// callerRequest is one authenticated request.
type callerRequest struct {
	// ctx ends when the caller has left; gone ends it.
	ctx      context.Context
	gone     context.CancelFunc
	c        *app.RequestContext
	conn     *callerConn
	index    *configurer.Index
	identity configurer.Identity
}

// guard authenticates the caller, and refuses new requests (isNew) while RefusalReason returns a reason. Answers of accepted
// requests can still be fetched then. Without a configuration, it refuses every request.
func (s *Server) guard(kind string, isNew bool, serve func(*callerRequest)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		countRequests.Add(kind, 1)
		defer s.inflight.Begin(c)()
		conn := connOf(ctx)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if s.closing.Load() {
			c.SetConnectionClose()
		}
		refuse := func(f *responder.Failure) {
			discard(c)
			s.writeFailure(c, f)
		}
		if inspector.AmbiguousLength(c.Request.Header.RawHeaders()) {
			// The bytes that hertz parsed as the body may contain another request (request smuggling), so nothing more is read
			// from this connection.
			c.SetConnectionClose()
			s.writeFailure(c, &responder.Failure{
				Status: http.StatusBadRequest, Outcome: answerer.NotRun, Reason: "ambiguous_length",
				Message: "the length of the body is stated more than once",
			})
			return
		}
		// The index is read after the check, so that it is at least as new as the configuration that the check found confirmed.
		reason := s.RefusalReason()
		index := s.currentIndex()
		if isNew && reason != "" || index == nil {
			if reason == "" {
				reason = "no configuration is known"
			}
			refuse(&responder.Failure{
				Status: http.StatusServiceUnavailable, Outcome: answerer.NotRun, Reason: "unready",
				Message: "this entry host takes no new requests: " + reason, RetryAfter: time.Second,
			})
			return
		}
		key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
		if !ok {
			refuse(&responder.Failure{
				Status: http.StatusUnauthorized, Reason: "no_key", Message: "an API key is required as a bearer token",
			})
			return
		}
		identity, ok := index.CallerByKey(key)
		if !ok {
			refuse(&responder.Failure{Status: http.StatusUnauthorized, Reason: "unknown_key", Message: "the API key is not known"})
			return
		}
		if c.Request.Header.ContentLength() == 0 {
			conn.watchEnd(cancel)
		}
		serve(&callerRequest{ctx: ctx, c: c, conn: conn, gone: cancel, index: index, identity: identity})
	}
}

// currentIndex returns the index of the current configuration, or nil without a configuration. It rebuilds the index when the
// version has changed.
func (s *Server) currentIndex() *configurer.Index {
	version, cfg, _ := s.Config()
	if cfg == nil {
		return nil
	}
	x := s.index.Load()
	if x == nil || x.version != version {
		x = &versionedIndex{version: version, Index: configurer.NewIndex(cfg)}
		s.index.Store(x)
	}
	return x.Index
}

func (s *Server) serveModels(k *callerRequest) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	models := []model{}
	for _, p := range k.index.Config().Pools {
		for _, m := range p.Models {
			models = append(models, model{ID: m, Object: "model", OwnedBy: "dragonflycroft"})
		}
	}
	k.c.Response.Header.Set(HeaderRequestID, s.Requests.NewID(k.identity.Workspace.Name))
	k.c.Response.Header.Set(HeaderOutcome, string(answerer.Done))
	k.c.JSON(http.StatusOK, map[string]any{"object": "list", "data": models})
}

// writeFailure responds with a failure. It assigns an id to a request that was refused before it was accepted.
func (s *Server) writeFailure(c *app.RequestContext, f *responder.Failure) {
	if f.RequestID == "" {
		f.RequestID = s.Requests.NewID("")
	}
	f.Write(c)
}
