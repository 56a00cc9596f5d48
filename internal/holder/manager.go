package holder

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/configurer"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/granter/granterpb"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/translator"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Roles reports which roles this host holds and whether their leases are still valid.
type Roles interface {
	granter.Locator
	OnRole(fn func(role string, epoch uint64, held bool))
	RoleValid(role string, epoch uint64) bool
}

// Configuration is the source of the confirmed configuration.
type Configuration interface {
	Config() (version uint64, cfg *configurer.Config, fresh bool)
	Subscribe(fn func(version uint64, cfg *configurer.Config))
}

// Manager starts a Holder for each pool role that this host is granted and stops it when the role is lost. Set the exported
// fields before Start.
type Manager struct {
	Transport     *transporter.Transport
	Roles         Roles
	Configuration Configuration
	Shedder       Shedder
	// NewStepper returns the scheduler of a pool for an epoch.
	NewStepper func(pool string, epoch uint64) Stepper
	// Watch polls load reports, cache events and the host list and posts them to the holder until ctx ends; it may be nil.
	Watch func(ctx context.Context, h *Holder)

	mu      sync.Mutex
	ctx     context.Context
	holders map[string]*runningHolder
	wg      sync.WaitGroup
}

type runningHolder struct {
	*Holder
	cancel context.CancelFunc
}

// Start registers the handlers. Call it before the transport runs. The holders stop when ctx ends.
func (m *Manager) Start(ctx context.Context) {
	m.ctx = ctx
	m.holders = make(map[string]*runningHolder)
	m.Transport.HandleStream(granter.MethodSession, m.serveSession)
	m.Transport.Handle(granter.MethodClaim, m.serveClaim)
	m.Transport.Handle(granter.MethodLocate, m.serveLocate)
	m.Roles.OnRole(m.onRole)
	m.Configuration.Subscribe(func(version uint64, cfg *configurer.Config) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, h := range m.holders {
			go h.Configure(ctx, version, cfg)
		}
	})
}

// Wait blocks until all holders have stopped.
func (m *Manager) Wait() { m.wg.Wait() }

// PostShedding posts a change of the shed level or a permit to all holders of this host. Tiers with an order of at least
// permitTier may be shed for permitFor; a negative permitTier permits nothing.
func (m *Manager) PostShedding(closedBelow, permitTier int, permitFor time.Duration) {
	m.mu.Lock()
	holders := make([]*runningHolder, 0, len(m.holders))
	for _, h := range m.holders {
		holders = append(holders, h)
	}
	m.mu.Unlock()
	var tiers []configurer.Tier
	if _, cfg, _ := m.Configuration.Config(); cfg != nil {
		tiers = cfg.Tiers
	}
	for _, h := range holders {
		h.Post(m.ctx, scheduler.TiersClosed{Below: closedBelow})
		for _, t := range tiers {
			if permitTier >= 0 && permitFor > 0 && t.Order >= permitTier {
				h.Post(m.ctx, scheduler.ShedPermitted{Tier: t.Order, Duration: permitFor})
			}
		}
	}
}

// Pools returns the pools whose holders run on this host, in no particular order.
func (m *Manager) Pools() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := make([]string, 0, len(m.holders))
	for p := range m.holders {
		pools = append(pools, p)
	}
	return pools
}

func (m *Manager) onRole(role string, epoch uint64, isHeld bool) {
	pool, ok := strings.CutPrefix(role, granter.RoleOf(""))
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.holders[pool]
	switch {
	case isHeld && (current == nil || current.Epoch < epoch) && m.ctx.Err() == nil:
		if current != nil {
			current.cancel()
		}
		m.startLocked(pool, epoch)
	case !isHeld && current != nil && current.Epoch <= epoch:
		current.cancel()
		delete(m.holders, pool)
	}
}

func (m *Manager) startLocked(pool string, epoch uint64) {
	ctx, cancel := context.WithCancel(m.ctx)
	role := granter.RoleOf(pool)
	h := &Holder{
		Pool:       pool,
		Epoch:      epoch,
		Scheduler:  m.NewStepper(pool, epoch),
		LeaseValid: func() bool { return m.Roles.RoleValid(role, epoch) },
		Shedder:    m.Shedder,
	}
	h.init()
	m.holders[pool] = &runningHolder{Holder: h, cancel: cancel}
	if version, cfg, _ := m.Configuration.Config(); cfg != nil {
		h.events <- input{event: scheduler.Configure{Version: version, Config: cfg}}
	}
	if m.Shedder != nil {
		h.events <- input{event: scheduler.TiersClosed{Below: m.Shedder.ShedLevel()}}
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer cancel()
		klog.Infof("holder: started pool=%s epoch=%d", pool, epoch)
		if m.Watch != nil {
			var watching sync.WaitGroup
			watching.Add(1)
			go func() {
				defer watching.Done()
				m.Watch(ctx, h)
			}()
			defer watching.Wait()
			defer cancel()
		}
		err := h.Run(ctx)
		klog.Infof("holder: stopped pool=%s epoch=%d reason=%v", pool, epoch, err)
		m.removeHolder(pool, h)
	}()
}

func (m *Manager) removeHolder(pool string, h *Holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.holders[pool]; c != nil && c.Holder == h {
		delete(m.holders, pool)
	}
}

// holderOf returns the running holder of a pool; epoch 0 matches any epoch.
func (m *Manager) holderOf(pool string, epoch uint64) (*Holder, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.holders[pool]
	if h == nil || epoch != 0 && h.Epoch != epoch {
		return nil, &granter.NoHolderError{Pool: pool}
	}
	return h.Holder, nil
}

func (m *Manager) serveSession(ctx context.Context, _ transporter.Peer, stream *transporter.Stream) error {
	stream.SetRecvTimeout(granter.DefaultReceiveTimeout)
	first := &granterpb.EntryMessage{}
	if err := stream.Recv(first); err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return eris.New("a session began without a hello")
	}
	h, err := m.holderOf(hello.GetPool(), hello.GetEpoch())
	if err != nil {
		return err
	}
	return h.serveSession(ctx, stream, hello)
}

func (m *Manager) serveClaim(ctx context.Context, peer transporter.Peer, payload []byte) ([]byte, error) {
	req := &granterpb.ClaimRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, eris.Wrapf(err, "decode claim of %s", peer.HostID)
	}
	h, err := m.holderOf(req.GetPool(), req.GetEpoch())
	if err != nil {
		return nil, err
	}
	l, err := h.Claim(ctx, req.GetHost(), translator.DecodeClaim(req.GetClaim()))
	if err != nil {
		return nil, err
	}
	return proto.Marshal(translator.EncodeLocation(l))
}

func (m *Manager) serveLocate(ctx context.Context, peer transporter.Peer, payload []byte) ([]byte, error) {
	req := &granterpb.LocateRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, eris.Wrapf(err, "decode locate of %s", peer.HostID)
	}
	h, err := m.holderOf(req.GetPool(), 0)
	if err != nil {
		return nil, err
	}
	l, err := h.Locate(ctx, req.GetRequestId())
	if err != nil {
		return nil, err
	}
	return proto.Marshal(translator.EncodeLocation(l))
}
