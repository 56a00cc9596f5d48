package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
)

// Service is a stand-in plain service. Set the exported fields before Start.
type Service struct {
	Name       string
	ListenAddr string
	// Latency is the duration of one call.
	Latency time.Duration
	Records *Records

	server httpServer
	mu     sync.Mutex
	// dropReplies is the number of further calls after whose execution all open connections are reset in place of a response.
	dropReplies int
}

// Start binds the address and serves until Close.
func (s *Service) Start() error {
	s.server.registerRoutes = func(h *server.Hertz) { h.Any("/*path", s.serve) }
	return s.server.listen(s.ListenAddr)
}

// Addr returns the bound address.
func (s *Service) Addr() string { return s.server.boundAddr() }

// Close stops serving and waits until the server has ended.
func (s *Service) Close() error {
	s.server.stop()
	return nil
}

// Crash drops all connections and stops listening until Start is called again.
func (s *Service) Crash() { s.server.stop() }

// DropReplies makes the service execute the next n calls without sending a response; it resets its connections instead.
func (s *Service) DropReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReplies = n
}

// SetDropWrites sets whether the service drops every byte that it writes to its connections. It accepts connections in any case.
func (s *Service) SetDropWrites(drop bool) {
	s.server.withListener(func(l *faultListener) { l.dropWrites.Store(drop) })
}

// DropWritesOnOpen drops every further byte written to the connections that are open now; new connections work.
func (s *Service) DropWritesOnOpen() {
	s.server.withListener((*faultListener).dropWritesOnOpen)
}

func (s *Service) serve(_ context.Context, c *app.RequestContext) {
	requestID := string(c.GetHeader(connector.HeaderRequestID))
	key := string(c.GetHeader("Idempotency-Key"))
	if key == "" {
		key = requestID
	}
	body := c.Request.Body()
	s.Records.recordDispatch(s.Name, requestID)
	time.Sleep(s.Latency)
	s.Records.recordExecution(key)
	s.mu.Lock()
	drop := s.dropReplies > 0
	if drop {
		s.dropReplies--
	}
	s.mu.Unlock()
	if drop {
		s.server.withListener((*faultListener).resetOpen)
		return
	}
	s.Records.recordFinish(requestID)
	digest := sha256.Sum256(body)
	c.JSON(http.StatusOK, map[string]string{
		"endpoint":    s.Name,
		"method":      string(c.Method()),
		"path":        string(c.Path()),
		"request_id":  requestID,
		"body_sha256": hex.EncodeToString(digest[:]),
	})
}
