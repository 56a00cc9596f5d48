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
	// Latency is how long one call takes.
	Latency time.Duration
	Records *Records

	server httpServer
	mu     sync.Mutex
	// dropReplies counts calls that are executed but whose connection is closed before the answer.
	dropReplies int
}

// Start binds the address and serves until Close.
func (s *Service) Start() error {
	s.server.routes = func(h *server.Hertz) { h.Any("/*path", s.serve) }
	return s.server.listen(s.ListenAddr)
}

// Addr returns the bound address.
func (s *Service) Addr() string { return s.server.boundAddr() }

// Close stops serving and waits.
func (s *Service) Close() error {
	s.server.stop()
	return nil
}

// Crash drops all connections and stops listening until Start is called again.
func (s *Service) Crash() { s.server.stop() }

// DropReplies makes the next n calls execute without an answer.
func (s *Service) DropReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropReplies = n
}

// SetSilent makes the service accept connections and answer nothing.
func (s *Service) SetSilent(silent bool) {
	s.server.withListener(func(l *faultListener) { l.muted.Store(silent) })
}

// MuteOpen makes the open connections silent for good; new ones work.
func (s *Service) MuteOpen() {
	s.server.withListener((*faultListener).muteOpen)
}

func (s *Service) serve(_ context.Context, c *app.RequestContext) {
	requestID := string(c.GetHeader(connector.HeaderRequestID))
	key := string(c.GetHeader("Idempotency-Key"))
	if key == "" {
		key = requestID
	}
	body := c.Request.Body()
	s.Records.dispatched(s.Name, requestID)
	time.Sleep(s.Latency)
	s.Records.execute(key)
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
	s.Records.finish(requestID)
	digest := sha256.Sum256(body)
	c.JSON(http.StatusOK, map[string]string{
		"endpoint":    s.Name,
		"method":      string(c.Method()),
		"path":        string(c.Path()),
		"request_id":  requestID,
		"body_sha256": hex.EncodeToString(digest[:]),
	})
}
