package sequencer

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/persister"
	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// prepareFolder creates the data folder of a new host. It returns early when ctx ends.
func (s *Sequencer) prepareFolder(ctx context.Context) error {
	empty, err := persister.Empty(s.Files, s.DataDir)
	if err != nil || !empty {
		return err
	}
	var members replicator.Membership
	if s.Bootstrap {
		formed, err := s.former.AwaitVoters(ctx)
		if err != nil {
			return nil
		}
		if formed {
			klog.Warningf("sequencer: the cluster is formed but the data folder is empty; remove the member and add it as a learner host=%s", s.HostID)
		} else {
			members = replicator.NewMembership(s.Voters)
		}
	}
	if len(members) == 0 {
		klog.Infof("sequencer: new data folder, waiting to be added as a learner host=%s", s.HostID)
	}
	return persister.Create(s.Files, s.DataDir, s.HostID, members)
}

// awaitFormed holds back an initial voter that never took part in an election until all others have a data folder.
func (s *Sequencer) awaitFormed(ctx context.Context, c persister.Contents) error {
	if c.Identity.Incarnation != 0 || c.State.Term > 0 || c.Snapshot.Index > 0 {
		return nil
	}
	voters := map[string]string{}
	for _, m := range c.Snapshot.Members {
		voters[m.ID] = m.Addr
	}
	return s.former.AwaitFolders(ctx, voters)
}
