package dispatcher

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/answerer"
	"github.com/dragonflycroft/dragonflycroft/internal/attacher"
	"github.com/dragonflycroft/dragonflycroft/internal/connector"
	"github.com/dragonflycroft/dragonflycroft/internal/granter"
	"github.com/dragonflycroft/dragonflycroft/internal/recorder"
)

const (
	// followAttempts bounds the attempts to reach the owner of a request; with their back-off they take about a second.
	followAttempts = 6
	// searchWidth bounds the engines asked at once for a run.
	searchWidth = 8
)

// claim ties the key to this request at the pool's scheduler. It returns true when the request has ended, be it by the answer
// of an earlier request with the same key.
func (r *run) claim() bool {
	if needsLedger(r.req) {
		// The ledger decides on orders; an index in memory must not stand before it.
		return false
	}
	c := granter.Claim{Workspace: r.req.Workspace, Key: r.req.Key, Digest: r.req.Digest, RequestID: r.id}
	for attempt := 0; ; attempt++ {
		l, err := r.session.Claim(r.ctx, c)
		if err == nil {
			if l.RequestID == r.id {
				return false
			}
			ended, again := r.attachClaim(l)
			if !again {
				return ended
			}
		}
		if ended := r.leave(attempt); ended {
			// The claim may have been recorded although its answer was lost.
			r.session.Cancelled(r.id)
			return true
		}
	}
}

// leave waits before the next attempt to claim, and ends the request when nobody waits for it any more.
func (r *run) leave(attempt int) bool {
	switch {
	case !r.pause(attempt):
		r.finish(triggerGiveUp, answerer.End{Outcome: answerer.NotRun, Reason: r.cancelReason(), Message: "the request did not run"})
	case r.answer.Readers() == 0:
		r.finish(triggerGiveUp, answerer.End{Outcome: answerer.NotRun, Reason: "caller_gone", Message: "the caller left while the request waited"})
	case !r.req.Deadline.IsZero() && !time.Now().Before(r.req.Deadline):
		r.finish(triggerGiveUp, answerer.End{Outcome: answerer.NotRun, Reason: "deadline", Message: "the caller's deadline passed while the request waited"})
	default:
		return false
	}
	return true
}

// attachClaim attaches to the request that holds the key. It returns again when the claim should be repeated because the
// other request is known not to have been dispatched and its host is lost.
func (r *run) attachClaim(l granter.Location) (ended, again bool) {
	if l.Digest != "" && l.Digest != r.req.Digest {
		r.answer.Settle()
		r.finish(triggerRefuse, keyReusedEnd(l.RequestID))
		return true, false
	}
	if l.HostLost && l.State == granter.StateWaiting {
		return false, true
	}
	host, owner, err := parseID(l.RequestID, r.req.Workspace)
	if err != nil {
		r.finish(triggerLose, unknownEnd())
		return true, false
	}
	r.follow(l.RequestID, host, owner)
	return true, false
}

func unknownEnd() answerer.End {
	return answerer.End{
		Outcome: answerer.Unknown, Reason: "run_not_found",
		Message: "the request may have run; its run cannot be found and it is not repeated",
	}
}

// follow ends the run with the answer of request id, which another host owns.
func (r *run) follow(id, host, owner string) {
	r.fire(triggerFollow)
	countFollowed.Add(1)
	for attempt := range followAttempts {
		if attempt > 0 && !r.pause(attempt) {
			break
		}
		addr, ok := r.d.Hosts.Addr(host)
		if !ok || owner == r.d.Owner() {
			break
		}
		err := attacher.Follow(r.ctx, r.d.Transport, addr, id, r.req.Workspace, r.answer)
		if err == nil {
			r.finishFollowed()
			return
		}
		var missing *attacher.NotFoundError
		if errors.As(err, &missing) || r.ctx.Err() != nil {
			break
		}
		klog.V(1).Infof("dispatcher: cannot follow request=%s owner=%s reason=%q", id, owner, err)
	}
	if r.ctx.Err() == nil && r.recover(id) {
		return
	}
	r.finish(triggerLose, unknownEnd())
}

// recover finds the answer of a request whose entry host is lost: orders in the ledger, runs at the engines.
func (r *run) recover(id string) bool {
	key := recorder.Key{Workspace: r.req.Workspace, Value: id}
	if r.req.Kind == answerer.KindService {
		key = r.ledgerKey()
	}
	if record, ok := r.lookUp(key); ok {
		return r.finishRecorded(record)
	}
	return r.req.Kind != answerer.KindService && r.adopt(id)
}

func (r *run) finishFollowed() {
	end := *r.answer.End()
	trig := triggerLose
	switch end.Outcome {
	case answerer.Done:
		trig = triggerDone
	case answerer.NotRun:
		trig = triggerGiveUp
	case answerer.Refused:
		trig = triggerRefuse
	}
	r.finish(trig, end)
}

// adopt finds the run of a request whose entry host is lost and copies the rest of its answer from the engine.
func (r *run) adopt(id string) bool {
	ctx, cancel := context.WithTimeout(r.ctx, r.d.Times.Search)
	defer cancel()
	endpoint, engine, stream := r.search(ctx, id)
	if engine == nil {
		return false
	}
	countAdopted.Add(1)
	klog.Infof("dispatcher: adopted request=%s endpoint=%s reason=%q", id, endpoint, "its entry host is lost")
	m := r.answer.Meta()
	if m.Kind == "" {
		r.answer.Follow(id, answerer.KindChat, m.Model, m.Created)
	} else {
		r.answer.Follow(id, m.Kind, m.Model, m.Created)
	}
	r.answer.Settle()
	s := source{run: r, engine: engine, endpoint: endpoint, id: id}
	s.finish(s.copy(stream, nil))
	return true
}

// search asks the schedulers where a run is, and the engines themselves when the schedulers do not know it, as after the loss
// of the host that was both owner and holder.
func (r *run) search(ctx context.Context, id string) (string, connector.Engine, connector.Stream) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		for _, pool := range r.d.Pools() {
			s, ok := r.d.Session(pool)
			if !ok {
				continue
			}
			l, err := s.Locate(ctx, id)
			if err != nil || l.Endpoint == "" || l.Workspace != r.req.Workspace {
				continue
			}
			if engine, stream := r.resumeAt(l.Endpoint, id); engine != nil {
				return l.Endpoint, engine, stream
			}
		}
		if endpoint, engine, stream, certain := r.searchEngines(id); engine != nil || certain {
			return endpoint, engine, stream
		}
		if !r.pause(attempt + 3) {
			break
		}
	}
	return "", nil, nil
}

func (r *run) resumeAt(endpoint, id string) (connector.Engine, connector.Stream) {
	engine, ok := r.d.Endpoints.Engine(endpoint)
	if !ok {
		return nil, nil
	}
	from, _ := r.answer.Len()
	stream, err := engine.Resume(r.ctx, id, from)
	if err != nil {
		return nil, nil
	}
	return engine, stream
}

// searchEngines asks every engine for the run. It returns certain when all have answered and none knows it.
func (r *run) searchEngines(id string) (endpoint string, engine connector.Engine, stream connector.Stream, certain bool) {
	type found struct {
		endpoint string
		engine   connector.Engine
		stream   connector.Stream
	}
	names := r.d.Endpoints.Engines()
	results := make(chan found, len(names))
	missing := make(chan struct{}, len(names))
	from, _ := r.answer.Len()
	var group errgroup.Group
	group.SetLimit(searchWidth)
	for _, name := range names {
		group.Go(func() error {
			e, ok := r.d.Endpoints.Engine(name)
			if !ok {
				return nil
			}
			s, err := e.Resume(r.ctx, id, from)
			var interrupted *connector.InterruptedError
			switch {
			case err == nil:
				results <- found{name, e, s}
			case errors.As(err, &interrupted) && interrupted.Cause == connector.CauseNotFound:
				missing <- struct{}{}
			}
			return nil
		})
	}
	_ = group.Wait()
	select {
	case f := <-results:
		return f.endpoint, f.engine, f.stream, false
	default:
		return "", nil, nil, len(missing) == len(names)
	}
}
