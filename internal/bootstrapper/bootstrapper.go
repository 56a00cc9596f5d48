// Package bootstrapper coordinates the first start of a cluster.
//
// No host takes part in elections before every initial voter has a data folder. So an initial voter with an empty folder
// that meets a host past this point has lost its folder, and must not vote again under its id.
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

// Phases of a start.
const (
	phaseClosed int32 = iota
	phaseEmpty
	phaseCreated
	phaseRunning
)

const (
	method = "sequencer.form"
	// interval is the pause between two rounds of questions; callTimeout bounds one question.
	interval    = 200 * time.Millisecond
	callTimeout = time.Second
	// logRounds is the number of rounds between two log lines of a host that waits.
	logRounds = 25
)

// Network carries exchanges between hosts; *transporter.Transport implements it.
type Network interface {
	Call(ctx context.Context, addr, method string, req, resp proto.Message) error
	Handle(method string, h transporter.Handler)
}

// Former is the first start of one host. Set the exported fields before Listen.
type Former struct {
	HostID string
	// Voters are the ids and addresses of the initial voters.
	Voters  map[string]string
	Network Network
	// Term returns the term this host knows of, or 0.
	Term func() uint64

	phase   atomic.Int32
	initial atomic.Bool // this initial voter saw that all others have a data folder
}

// Listen answers the questions of other hosts from now on.
func (f *Former) Listen() { f.Network.Handle(method, f.handle) }

// AwaitVoters waits, with an empty data folder, until every initial voter is up. It reports whether the cluster was formed
// before, and an error if ctx ends.
func (f *Former) AwaitVoters(ctx context.Context) (formed bool, err error) {
	f.phase.Store(phaseEmpty)
	return f.await(ctx, f.Voters, phaseEmpty)
}

// AwaitFolders waits, with a data folder that names the voters, until each of them has one.
func (f *Former) AwaitFolders(ctx context.Context, voters map[string]string) error {
	f.phase.Store(phaseCreated)
	if _, err := f.await(ctx, voters, phaseCreated); err != nil {
		return err
	}
	f.initial.Store(true)
	return nil
}

// Finish tells that the host takes part in the cluster, or waits to be added to it.
func (f *Former) Finish() { f.phase.Store(phaseRunning) }

// Finished reports whether Finish was called.
func (f *Former) Finished() bool { return f.phase.Load() == phaseRunning }

// await asks all other voters until each has reached a phase.
func (f *Former) await(ctx context.Context, voters map[string]string, phase int32) (bool, error) {
	for round := 0; ; round++ {
		formed, missing := f.askAll(ctx, voters, phase)
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
		case <-time.After(interval):
		}
	}
}

func (f *Former) askAll(ctx context.Context, voters map[string]string, phase int32) (formed bool, missing []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for id, addr := range voters {
		if id == f.HostID {
			continue
		}
		wg.Go(func() {
			got, isFormed := f.ask(ctx, addr)
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

func (f *Former) ask(ctx context.Context, addr string) (phase int32, formed bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &bootstrapperpb.FormReply{}
	if err := f.Network.Call(ctx, addr, method, &bootstrapperpb.FormRequest{From: f.HostID}, reply); err != nil {
		return phaseClosed, false
	}
	own := f.voterIDs()
	if int32(reply.GetPhase()) == phaseEmpty && !slices.Equal(own, reply.GetVoters()) {
		klog.Errorf("sequencer: hosts were started with different initial voters host=%s voters=%v peer=%s peer_voters=%v",
			f.HostID, own, addr, reply.GetVoters())
		return phaseClosed, false
	}
	return int32(reply.GetPhase()), reply.GetFormed()
}

func (f *Former) voterIDs() []string { return slices.Sorted(maps.Keys(f.Voters)) }

func (f *Former) handle(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	if err := proto.Unmarshal(payload, &bootstrapperpb.FormRequest{}); err != nil {
		return nil, eris.Wrap(err, "decode form request")
	}
	phase := f.phase.Load()
	formed := phase == phaseRunning && (f.initial.Load() || f.Term() > 0)
	if phase == phaseRunning && !formed {
		phase = phaseClosed // a host that waits to be added knows nothing of the cluster
	}
	return proto.Marshal(&bootstrapperpb.FormReply{Phase: uint32(phase), Formed: formed, Voters: f.voterIDs()})
}
