package dragonflycroft

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/executor"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/indexer"
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

	mu     sync.Mutex
	byPool map[string]*granter.Session
	wg     sync.WaitGroup
}

func newSessionSet(ctx context.Context, n *Node, owner string) *sessionSet {
	return &sessionSet{ctx: ctx, node: n, owner: owner, byPool: make(map[string]*granter.Session)}
}

// reconcile opens sessions for new pools. The session of a pool that was removed from the configuration remains for its runs.
func (s *sessionSet) reconcile(cfg *Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, session := range s.byPool {
		session.SetConfigured(slices.ContainsFunc(cfg.Pools, func(p configurer.Pool) bool { return p.Name == pool }))
	}
	for _, p := range cfg.Pools {
		if s.byPool[p.Name] != nil || s.ctx.Err() != nil {
			continue
		}
		pool := p.Name
		session := &granter.Session{
			Pool: pool, Host: s.owner, Zone: s.node.Zone, Transport: s.node.transport, Locator: s.node.control,
			FinishedClaims: func() []indexer.Claim { return s.keptClaims(pool) },
		}
		s.byPool[pool] = session
		s.wg.Go(func() { _ = session.Run(s.ctx) })
	}
}

func (s *sessionSet) keptClaims(pool string) []indexer.Claim {
	metas := s.node.answers.EndedByKey(pool)
	claims := make([]indexer.Claim, 0, len(metas))
	for _, m := range metas {
		claims = append(claims, indexer.Claim{Workspace: m.Workspace, Key: m.Key, Digest: m.Digest, RequestID: m.RequestID})
	}
	return claims
}

func (s *sessionSet) get(pool string) (executor.Session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	session, ok := s.byPool[pool]
	return session, ok
}

// all returns the sessions sorted by pool name.
func (s *sessionSet) all() []executor.Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]executor.Session, 0, len(s.byPool))
	for _, pool := range slices.Sorted(maps.Keys(s.byPool)) {
		sessions = append(sessions, s.byPool[pool])
	}
	return sessions
}

func (s *sessionSet) wait() { s.wg.Wait() }
