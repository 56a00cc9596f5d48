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
func (f *Bootstrapper) RegisterHandler() { f.Network.Handle(formMethod, f.handle) }

// AwaitVoters waits until every initial voter is up. It is called on a host with an empty data folder. It reports whether
// the cluster has been formed before, and returns an error if ctx ends.
func (f *Bootstrapper) AwaitVoters(ctx context.Context) (formed bool, err error) {
	f.phase.Store(phaseEmpty)
	return f.awaitPhase(ctx, f.Voters, phaseEmpty)
}

// AwaitDataFolders waits until every voter has a data folder. It is called on a host whose data folder lists the voters. It
// returns an error if ctx ends.
func (f *Bootstrapper) AwaitDataFolders(ctx context.Context, voters map[string]string) error {
	f.phase.Store(phaseCreated)
	if _, err := f.awaitPhase(ctx, voters, phaseCreated); err != nil {
		return err
	}
	f.foldersConfirmed.Store(true)
	return nil
}

// Finish records that the host takes part in the cluster or waits to be added to it.
func (f *Bootstrapper) Finish() { f.phase.Store(phaseRunning) }

// Finished reports whether Finish was called.
func (f *Bootstrapper) Finished() bool { return f.phase.Load() == phaseRunning }

// awaitPhase polls all other voters until each has reached a phase or one reports that the cluster has been formed.
func (f *Bootstrapper) awaitPhase(ctx context.Context, voters map[string]string, phase int32) (bool, error) {
	for round := 0; ; round++ {
		formed, missing := f.queryPhases(ctx, voters, phase)
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if formed || len(missing) == 0 {
			return formed, nil
		}
		if round%logRounds == 0 {
			klog.Infof("sequencer: waiting to form the cluster host=%s missing=%v", f.HostID, missing)
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

func (f *Bootstrapper) queryPhases(ctx context.Context, voters map[string]string, phase int32) (formed bool, missing []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, addr := range voters {
		if id == f.HostID {
			continue
		}
		wg.Go(func() {
			got, isFormed := f.queryPhase(ctx, addr)
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

func (f *Bootstrapper) queryPhase(ctx context.Context, addr string) (phase int32, formed bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &bootstrapperpb.FormReply{}
	if err := f.Network.Call(ctx, addr, formMethod, &bootstrapperpb.FormRequest{From: f.HostID}, reply); err != nil {
		return phaseClosed, false
	}
	own := f.voterIDs()
	if int32(reply.GetPhase()) == phaseEmpty && !slices.Equal(own, reply.GetVoters()) {
		klog.Errorf("sequencer: initial voters differ between hosts host=%s voters=%v peer=%s peer_voters=%v",
			f.HostID, own, addr, reply.GetVoters())
		return phaseClosed, false
	}
	return int32(reply.GetPhase()), reply.GetFormed()
}

func (f *Bootstrapper) voterIDs() []string { return slices.Sorted(maps.Keys(f.Voters)) }

func (f *Bootstrapper) handle(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	if err := proto.Unmarshal(payload, &bootstrapperpb.FormRequest{}); err != nil {
		return nil, eris.Wrap(err, "decode form request")
	}
	phase := f.phase.Load()
	formed := phase == phaseRunning && (f.foldersConfirmed.Load() || f.Term() > 0)
	if phase == phaseRunning && !formed {
		phase = phaseClosed // a host that waits to be added has no state of the cluster
	}
	return proto.Marshal(&bootstrapperpb.FormReply{Phase: uint32(phase), Formed: formed, Voters: f.voterIDs()})
}
