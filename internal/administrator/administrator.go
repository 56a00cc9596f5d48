// Package administrator serves the HTTP interface for operators: configuration, members, status, health and metrics.
package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/controller/controllerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/marshaller"
)

const (
	// DefaultTimeout bounds one request of an operator.
	DefaultTimeout  = 10 * time.Second
	readTimeout     = 10 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = 5 * time.Second
	maxHeaderBytes  = 16 << 10
)

// Operator is a person or tool that is authorized to change the system.
type Operator struct {
	// Name is recorded as the author of changes.
	Name string
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal.
	TokenSHA256 string
}

// Control is a client of the control leader; *submitter.Client implements it.
type Control interface {
	Config(ctx context.Context) (uint64, []byte, error)
	PatchConfig(ctx context.Context, p marshaller.Patch) (marshaller.PatchResult, error)
	History(ctx context.Context, from uint64, limit int) ([]marshaller.Revision, error)
	Status(ctx context.Context) (*controllerpb.Status, error)
	ChangeVoters(ctx context.Context, action, id, addr string) error
}

// Administrator is the HTTP listener for operators. Set the exported fields before Listen or Run.
type Administrator struct {
	ListenAddr string
	Operators  []Operator
	Control    Control
	// Ready returns nil while the host accepts requests of callers, and otherwise the reason. A nil function means ready.
	Ready func() error
	// Timeout bounds one request of an operator; 0 means DefaultTimeout.
	Timeout time.Duration

	mu       sync.Mutex
	listener net.Listener
	hertz    *server.Hertz
	closed   bool
	done     chan struct{}
	digests  []operatorDigest
}

type operatorDigest struct {
	name   string
	digest []byte
}

// operatorKey is the key of the operator's name in the request context.
const operatorKey = "operator"

// Listen checks the operators and binds the address, so that Addr is known before Run.
func (a *Administrator) Listen() error {
	seen := map[string]bool{}
	for _, o := range a.Operators {
		digest, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(digest) != sha256.Size {
			return eris.Errorf("operator %q: the token's SHA-256 must have 64 hexadecimal digits", o.Name)
		}
		if o.Name == "" || seen[o.Name] {
			return eris.Errorf("operator name %q is empty or used twice", o.Name)
		}
		seen[o.Name] = true
		a.digests = append(a.digests, operatorDigest{name: o.Name, digest: digest})
	}
	l, err := net.Listen("tcp", a.ListenAddr)
	if err != nil {
		return eris.Wrapf(err, "listen for operators on %s", a.ListenAddr)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener, a.done = l, make(chan struct{})
	return nil
}

// Addr returns the bound address.
func (a *Administrator) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listener == nil {
		return a.ListenAddr
	}
	return a.listener.Addr().String()
}

// Run serves until ctx ends or Close is called, and then returns nil. It calls Listen when the address is not bound yet.
func (a *Administrator) Run(ctx context.Context) error {
	a.mu.Lock()
	bound := a.listener != nil
	a.mu.Unlock()
	if !bound {
		if err := a.Listen(); err != nil {
			return err
		}
	}
	hlog.SetLevel(hlog.LevelError)
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return nil
	}
	a.hertz = server.New(
		server.WithListener(a.listener), server.WithTransport(standard.NewTransporter),
		server.WithReadTimeout(readTimeout), server.WithIdleTimeout(idleTimeout), server.WithExitWaitTime(shutdownTimeout),
		server.WithMaxRequestBodySize(configurer.MaxDocumentBytes), server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithDisablePrintRoute(true), server.WithHandleMethodNotAllowed(true),
	)
	h := a.hertz
	a.mu.Unlock()
	defer close(a.done)
	a.registerRoutes(h)
	stop := context.AfterFunc(ctx, a.shutdown)
	defer stop()
	klog.Infof("administrator: serving operators addr=%s operators=%d", a.Addr(), len(a.digests))
	err := h.Run()
	a.mu.Lock()
	closed := a.closed
	a.mu.Unlock()
	if closed || ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrap(err, "serve operators")
}

func (a *Administrator) shutdown() {
	a.mu.Lock()
	a.closed = true
	h, l := a.hertz, a.listener
	a.mu.Unlock()
	if h != nil {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = h.Shutdown(ctx)
	}
	if l != nil {
		_ = l.Close()
	}
}

// Close closes the listener and waits until Run has ended. Requests in progress have up to shutdownTimeout to finish.
func (a *Administrator) Close() error {
	a.shutdown()
	a.mu.Lock()
	running := a.hertz != nil
	a.mu.Unlock()
	if running {
		<-a.done
	}
	return nil
}

func (a *Administrator) registerRoutes(h *server.Hertz) {
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(200, "ok\n") })
	h.GET("/readyz", a.readyz)
	h.GET("/debug/vars", serveVars)
	v1 := h.Group("/v1", a.authenticate)
	v1.GET("/config", a.getConfig)
	v1.PATCH("/config", a.patchConfig)
	v1.GET("/config/history", a.getHistory)
	v1.GET("/members", a.getMembers)
	v1.POST("/members", a.postMember)
	v1.DELETE("/members/:id", a.deleteMember)
	v1.GET("/status", a.getStatus)
	v1.POST("/drain/:endpoint", a.postDrain)
}

// authenticate requires a bearer token of an operator. Against timing attacks, it compares the digests of all operators, each in
// constant time.
func (a *Administrator) authenticate(ctx context.Context, c *app.RequestContext) {
	token, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	digest := sha256.Sum256([]byte(token))
	name := ""
	for _, o := range a.digests {
		if subtle.ConstantTimeCompare(o.digest, digest[:]) == 1 {
			name = o.name
		}
	}
	if !ok || token == "" || name == "" {
		klog.Warningf("administrator: operator authentication failed remote=%s path=%s", c.RemoteAddr(), c.Path())
		c.Header("WWW-Authenticate", "Bearer")
		writeError(c, 401, "unauthorized", "a bearer token of an operator is required", nil)
		c.Abort()
		return
	}
	c.Set(operatorKey, name)
	timeout := a.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.Next(ctx)
}

func (a *Administrator) readyz(_ context.Context, c *app.RequestContext) {
	if a.Ready != nil {
		if err := a.Ready(); err != nil {
			c.String(503, "not ready: %s\n", err)
			return
		}
	}
	c.String(200, "ready\n")
}

// serveVars writes the metrics as JSON. It omits the command line, which may contain keys.
func serveVars(_ context.Context, c *app.RequestContext) {
	var b strings.Builder
	b.WriteString("{")
	first := true
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key == "cmdline" {
			return
		}
		if !first {
			b.WriteString(",")
		}
		first = false
		fmt.Fprintf(&b, "\n%q: %s", kv.Key, kv.Value)
	})
	b.WriteString("\n}\n")
	c.Data(200, "application/json; charset=utf-8", []byte(b.String()))
}
