package sequencer

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// prepareFolder creates the data folder if it is empty. It returns nil early if ctx ends.
func (s *Sequencer) prepareFolder(ctx context.Context) error {
	empty, err := persister.IsEmpty(s.FileSystem, s.DataDir)
	if err != nil || !empty {
		return err
	}
	var members replicator.Membership
	if s.Bootstrap {
		formed, err := s.formation.AwaitVoters(ctx)
		if err != nil {
			return nil
		}
		if formed {
			klog.Warningf("sequencer: data folder is empty but the cluster has already formed; remove this member and add it as a learner host=%s", s.HostID)
		} else {
			members = replicator.NewMembership(s.Voters)
		}
	}
	if len(members) == 0 {
		klog.Infof("sequencer: creating data folder and waiting to be added as a learner host=%s", s.HostID)
	}
	return persister.Create(s.FileSystem, s.DataDir, s.HostID, members)
}

// awaitFormation blocks an initial voter that has never taken part in an election until all other initial voters have a data
// folder. It returns an error if ctx ends.
func (s *Sequencer) awaitFormation(ctx context.Context, c persister.Contents) error {
	if c.Identity.Incarnation != 0 || c.State.Term > 0 || c.Snapshot.Index > 0 {
		return nil
	}
	voters := map[string]string{}
	for _, m := range c.Snapshot.Members {
		voters[m.ID] = m.Addr
	}
	return s.formation.AwaitDataFolders(ctx, voters)
}
