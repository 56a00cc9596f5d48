// Package bootstrapper coordinates the first start of a cluster.
//
// No host takes part in elections before every initial voter has created its data folder. If an initial voter with an empty
// data folder finds a host past this point, it has lost its data folder and must not vote again under its id.
package bootstrapper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/bootstrapper/bootstrapperpb"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Phases of the first start of a host, in order.
const (
	phaseClosed int32 = iota
	phaseEmpty
	phaseCreated
	phaseRunning
)

const (
	formMethod = "sequencer.form"
	// pollInterval is the delay between two rounds of queries; callTimeout bounds one query.
	pollInterval = 200 * time.Millisecond
	callTimeout  = time.Second
	// logRounds is the number of rounds between two log lines while a host waits.
	logRounds = 25
)

// Network sends and serves RPCs between hosts; *transporter.Transport implements it.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
	Handle(method string, h transporter.Handler)
}

// Bootstrapper coordinates the first start of a host with the other initial voters. Set the exported fields before registering
// the RPC handler.
type Bootstrapper struct {
	HostID string
	// Voters has the addresses of the initial voters by host id.
	Voters  map[string]string
	Network Network
	// Term returns the last term that this host has seen, or 0.
	Term func() uint64

	phase            atomic.Int32
	foldersConfirmed atomic.Bool // set once this initial voter has confirmed that all others have a data folder
}

// RegisterHandler registers the RPC handler that answers the queries of other hosts.
func (b *Bootstrapper) RegisterHandler() { b.Network.Handle(formMethod, b.handle) }

// AwaitVoters waits until every initial voter is up. It is called on a host with an empty data folder. It reports whether
// the cluster has been formed before, and returns an error if ctx ends.
func (b *Bootstrapper) AwaitVoters(ctx context.Context) (formed bool, err error) {
	b.phase.Store(phaseEmpty)
	return b.awaitPhase(ctx, b.Voters, phaseEmpty)
}

// AwaitDataFolders waits until every voter has a data folder. It is called on a host whose data folder lists the voters. It
// returns an error if ctx ends.
func (b *Bootstrapper) AwaitDataFolders(ctx context.Context, voters map[string]string) error {
	b.phase.Store(phaseCreated)
	if _, err := b.awaitPhase(ctx, voters, phaseCreated); err != nil {
		return err
	}
	b.foldersConfirmed.Store(true)
	return nil
}

// Finish records that the host takes part in the cluster or waits to be added to it.
func (b *Bootstrapper) Finish() { b.phase.Store(phaseRunning) }

// Finished reports whether Finish was called.
func (b *Bootstrapper) Finished() bool { return b.phase.Load() == phaseRunning }

// awaitPhase polls all other voters until each has reached a phase or one reports that the cluster has been formed.
func (b *Bootstrapper) awaitPhase(ctx context.Context, voters map[string]string, phase int32) (bool, error) {
	for round := 0; ; round++ {
		formed, missing := b.queryPhases(ctx, voters, phase)
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if formed || len(missing) == 0 {
			return formed, nil
		}
		if round%logRounds == 0 {
			klog.Infof("sequencer: waiting to form the cluster host=%s missing=%v", b.HostID, missing)
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (b *Bootstrapper) queryPhases(ctx context.Context, voters map[string]string, phase int32) (formed bool, missing []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, addr := range voters {
		if id == b.HostID {
			continue
		}
		wg.Go(func() {
			got, isFormed := b.queryPhase(ctx, addr)
			mu.Lock()
			defer mu.Unlock()
			formed = formed || isFormed
			if got < phase {
				missing = append(missing, id)
			}
		})
	}
	wg.Wait()
	slices.Sort(missing)
	return formed, missing
}

func (b *Bootstrapper) queryPhase(ctx context.Context, addr string) (phase int32, formed bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &bootstrapperpb.FormReply{}
	if err := b.Network.Call(ctx, addr, formMethod, &bootstrapperpb.FormRequest{From: b.HostID}, reply); err != nil {
		return phaseClosed, false
	}
	own := b.voterIDs()
	if int32(reply.GetPhase()) == phaseEmpty && !slices.Equal(own, reply.GetVoters()) {
		klog.Errorf("sequencer: initial voters differ between hosts host=%s voters=%v peer=%s peer_voters=%v",
			b.HostID, own, addr, reply.GetVoters())
		return phaseClosed, false
	}
	return int32(reply.GetPhase()), reply.GetFormed()
}

func (b *Bootstrapper) voterIDs() []string { return slices.Sorted(maps.Keys(b.Voters)) }

func (b *Bootstrapper) handle(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	if err := proto.Unmarshal(payload, &bootstrapperpb.FormRequest{}); err != nil {
		return nil, eris.Wrap(err, "decode form request")
	}
	phase := b.phase.Load()
	formed := phase == phaseRunning && (b.foldersConfirmed.Load() || b.Term() > 0)
	if phase == phaseRunning && !formed {
		phase = phaseClosed // a host that waits to be added has no state of the cluster
	}
	return proto.Marshal(&bootstrapperpb.FormReply{Phase: uint32(phase), Formed: formed, Voters: b.voterIDs()})
}
