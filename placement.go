package dragonflycroft

import (
	"context"
	"sync"

	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/controller"
	"github.com/dragonflycroft/dragonflycroft/internal/loader"
)

// placementLeader runs the loader while this host is the placement leader.
type placementLeader struct {
	node *Node
	ctx  context.Context

	mu     sync.Mutex
	epoch  uint64
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (p *placementLeader) onRole(role string, epoch uint64, held bool) {
	if role != controller.RolePlacement {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil && epoch >= p.epoch {
		p.cancel()
		p.cancel = nil
	}
	if !held || p.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.epoch, p.cancel = epoch, cancel
	l := &loader.Loader{
		Epoch:      epoch,
		LeaseValid: func() bool { return p.node.control.RoleValid(role, epoch) },
		Config: func() *Config {
			_, cfg, _ := p.node.control.Config()
			return cfg
		},
		EngineOf: func(e Endpoint) loader.Engine {
			return connector.NewEngine(e.Name, e.Address, p.node.endpointTimeouts())
		},
	}
	p.wg.Go(func() {
		defer cancel()
		l.Run(ctx)
	})
}

func (p *placementLeader) wait() { p.wg.Wait() }
