package dragonflycroft

import (
	"context"
	"slices"
	"sync"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/dispatcher"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
)

// Config is one version of the configuration of the whole system.
type Config = configurer.Config

// Endpoint is one model engine or plain service instance of the configuration.
type Endpoint = configurer.Endpoint

// sessionSet keeps a session with the holder of each pool of the configuration.
type sessionSet struct {
	ctx   context.Context
	node  *Node
	owner string

	mu      sync.Mutex
	current map[string]*granter.Session
	wg      sync.WaitGroup
}

func newSessionSet(ctx context.Context, n *Node, owner string) *sessionSet {
	return &sessionSet{ctx: ctx, node: n, owner: owner, current: make(map[string]*granter.Session)}
}

// match opens sessions for new pools. The session of a pool that left the configuration stays for its requests in progress.
func (s *sessionSet) match(cfg *Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range cfg.Pools {
		if s.current[p.Name] != nil || s.ctx.Err() != nil {
			continue
		}
		pool := p.Name
		session := &granter.Session{
			Pool: pool, Host: s.owner, Zone: s.node.Zone, Transport: s.node.transport, Locator: s.node.control,
			Kept: func() []granter.Claim { return s.kept(pool) },
		}
		s.current[pool] = session
		s.wg.Go(func() { _ = session.Run(s.ctx) })
	}
}

func (s *sessionSet) kept(pool string) []granter.Claim {
	metas := s.node.store.Keyed(pool)
	claims := make([]granter.Claim, 0, len(metas))
	for _, m := range metas {
		claims = append(claims, granter.Claim{Workspace: m.Workspace, Key: m.Key, Digest: m.Digest, RequestID: m.RequestID})
	}
	return claims
}

func (s *sessionSet) get(pool string) (dispatcher.Session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session, ok := s.current[pool]
	return session, ok
}

func (s *sessionSet) pools() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	pools := make([]string, 0, len(s.current))
	for p := range s.current {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	return pools
}

func (s *sessionSet) wait() { s.wg.Wait() }
