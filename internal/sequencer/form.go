package sequencer

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
	"github.com/dragonflycroft/dragonflycroft/internal/sequencer/sequencerpb"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Phases of a start. No host takes part in elections before every initial voter has a data folder. So an initial voter
// with an empty folder that meets a host past this point has lost its folder, and must not vote again under its id.
const (
	phaseClosed int32 = iota
	phaseEmpty
	phaseCreated
	phaseRunning
)

const formInterval = 200 * time.Millisecond

// prepareFolder creates the data folder of a new host.
func (s *Sequencer) prepareFolder(ctx context.Context) error {
	empty, err := persister.Empty(s.Files, s.DataDir)
	if err != nil || !empty {
		return err
	}
	var members replicator.Membership
	if s.Bootstrap {
		s.phase.Store(phaseEmpty)
		formed, err := s.askVoters(ctx, s.Voters, phaseEmpty)
		if err != nil {
			return nil // ctx ended
		}
		if formed {
			klog.Warningf("sequencer: the cluster is formed but the data folder is empty; the host waits as a learner and needs a new membership host=%s", s.HostID)
		} else {
			members = replicator.NewMembership(s.Voters)
		}
	}
	if len(members) == 0 {
		klog.Infof("sequencer: new data folder, waiting to be added as a learner host=%s", s.HostID)
	}
	return persister.Create(s.Files, s.DataDir, s.HostID, members)
}

// awaitFormed holds back an initial voter until all others have a data folder.
func (s *Sequencer) awaitFormed(ctx context.Context, c persister.Contents) error {
	if c.Identity.Incarnation != 0 || c.State.Term > 0 || c.Snapshot.Index > 0 {
		return nil
	}
	s.phase.Store(phaseCreated)
	voters := map[string]string{}
	for _, m := range c.Snapshot.Members {
		voters[m.ID] = m.Addr
	}
	if _, err := s.askVoters(ctx, voters, phaseCreated); err != nil {
		return nil // ctx ended
	}
	s.initial.Store(true)
	return nil
}

// askVoters asks all other initial voters until each has reached a phase; it reports whether the cluster was formed before.
func (s *Sequencer) askVoters(ctx context.Context, voters map[string]string, phase int32) (formed bool, err error) {
	for round := 0; ; round++ {
		var mu sync.Mutex
		var wg sync.WaitGroup
		missing := ""
		for id, addr := range voters {
			if id == s.HostID {
				continue
			}
			wg.Go(func() {
				got, isFormed := s.askVoter(ctx, addr)
				mu.Lock()
				defer mu.Unlock()
				formed = formed || isFormed
				if got < phase {
					missing = id
				}
			})
		}
		wg.Wait()
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if formed || missing == "" {
			return formed, nil
		}
		if round%25 == 0 {
			klog.Infof("sequencer: waiting to form the cluster host=%s missing=%s", s.HostID, missing)
		}
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(formInterval):
		}
	}
}

func (s *Sequencer) askVoter(ctx context.Context, addr string) (phase int32, formed bool) {
	ctx, cancel := context.WithTimeout(ctx, 5*formInterval)
	defer cancel()
	reply := &sequencerpb.FormReply{}
	own := s.voterIDs()
	if err := s.Transport.Call(ctx, addr, methodForm, &sequencerpb.FormRequest{From: s.HostID}, reply); err != nil {
		return phaseClosed, false
	}
	if int32(reply.GetPhase()) == phaseEmpty && !slices.Equal(own, reply.GetVoters()) {
		klog.Errorf("sequencer: hosts were started with different initial voters host=%s voters=%v peer=%s peer_voters=%v",
			s.HostID, own, addr, reply.GetVoters())
		return phaseClosed, false
	}
	return int32(reply.GetPhase()), reply.GetFormed()
}

func (s *Sequencer) voterIDs() []string { return slices.Sorted(maps.Keys(s.Voters)) }

func (s *Sequencer) handleForm(_ context.Context, _ transporter.Peer, payload []byte) ([]byte, error) {
	if err := proto.Unmarshal(payload, &sequencerpb.FormRequest{}); err != nil {
		return nil, eris.Wrap(err, "decode form request")
	}
	phase := s.phase.Load()
	formed := phase == phaseRunning && (s.initial.Load() || s.view.Load().status.Term > 0)
	if phase == phaseRunning && !formed {
		phase = phaseClosed // a host that waits to be added knows nothing of the cluster
	}
	return proto.Marshal(&sequencerpb.FormReply{Phase: uint32(phase), Formed: formed, Voters: s.voterIDs()})
}
