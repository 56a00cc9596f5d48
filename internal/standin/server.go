// Package standin provides stand-in endpoints: model engines, plain services and the platform's host list.
//
// They implement the same protocols as real endpoints, record what they ran, and can inject the failures that the system must
// tolerate.
package standin

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rotisserie/eris"
)

func init() {
	hlog.SetLevel(hlog.LevelFatal)
}

// httpServer serves a hertz router on a listener that can inject faults.
type httpServer struct {
	mu             sync.Mutex
	addr           string
	listener       *faultListener
	hertz          *server.Hertz
	wg             sync.WaitGroup
	registerRoutes func(h *server.Hertz)
}

// listen binds addr and starts serving. After a stop it binds the same address again, whatever addr is.
func (s *httpServer) listen(addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr != "" {
		addr = s.addr
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", addr)
	}
	s.addr = l.Addr().String()
	s.listener = newFaultListener(l)
	s.hertz = server.New(
		server.WithListener(s.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(100*time.Millisecond),
		server.WithIdleTimeout(time.Minute),
	)
	s.registerRoutes(s.hertz)
	h := s.hertz
	s.wg.Go(func() { _ = h.Run() })
	return nil
}

func (s *httpServer) boundAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// stop closes the listener and resets every connection.
func (s *httpServer) stop() {
	s.mu.Lock()
	h, l := s.hertz, s.listener
	s.hertz = nil
	s.mu.Unlock()
	if h == nil {
		return
	}
	_ = l.Close()
	l.resetOpen()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = h.Shutdown(ctx)
	s.wg.Wait()
}

func (s *httpServer) withListener(f func(l *faultListener)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		f(s.listener)
	}
}

func writeError(c *app.RequestContext, status int, message string) {
	c.JSON(status, map[string]string{"error": message})
}
