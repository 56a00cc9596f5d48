package scheduler

import "fmt"

// CheckInvariants returns an error for the first counter of the scheduler that does not match its requests.
func (s *Scheduler) CheckInvariants() error {
	type totals struct{ runs, tokens, pending, longs int }
	endpointTotals := make(map[*endpoint]totals)
	var waitingCount, waitingTokens, longPrefills int
	tierWaiting, tierActive := make(map[*tier]int), make(map[*tier]int)
	workspaceWaiting, workspaceRunning := make(map[string]int), make(map[string]int)
	for id, r := range s.requests {
		if id != r.id {
			return fmt.Errorf("request %s is stored under the key %s", r.id, id)
		}
		switch r.state {
		case waiting:
			waitingCount++
			waitingTokens += r.waitingTokens
			tierWaiting[r.tier]++
			workspaceWaiting[r.desc.Workspace]++
			if r.endpoint != nil || (r.queueEntry == nil) != r.held {
				return fmt.Errorf("waiting request %s has an endpoint, or is not in exactly one of lane and hold", id)
			}
		case granted, running:
			if r.endpoint == nil {
				return fmt.Errorf("granted or running request %s has no endpoint", id)
			}
			sum := endpointTotals[r.endpoint]
			sum.runs++
			sum.tokens += r.bookedTokens
			sum.pending += r.uncachedTokens
			if r.longPrefill {
				sum.longs++
				longPrefills++
			}
			endpointTotals[r.endpoint] = sum
			tierActive[r.tier]++
			workspaceRunning[r.desc.Workspace]++
		}
	}
	if waitingCount != s.waitingCount || waitingTokens != s.waitingTokens || longPrefills != s.placer.LongPrefills {
		return fmt.Errorf("counters: %d waiting, %d waiting tokens, %d long prefills; counted from requests: %d, %d, %d",
			s.waitingCount, s.waitingTokens, s.placer.LongPrefills, waitingCount, waitingTokens, longPrefills)
	}
	for fp, group := range s.fingerprints.All() {
		if group.HeldCount() > 0 && len(group.Running()) == 0 {
			return fmt.Errorf("%d requests with fingerprint %s are held although none is running", group.HeldCount(), fp)
		}
	}
	isolated := 0
	for _, t := range s.table.All() {
		e := s.ensureEndpoint(t.Name)
		runs, tokens := e.Limit.Used()
		if sum := endpointTotals[e]; sum != (totals{runs, tokens, e.PendingTokens, e.LongPrefills}) || len(e.runs) != runs {
			return fmt.Errorf("endpoint %s counts %d runs, %d tokens, %d pending tokens, %d long prefills; counted from requests: %+v",
				e.Name, runs, tokens, e.PendingTokens, e.LongPrefills, sum)
		}
		if e.Reserved {
			isolated++
		}
	}
	if isolated != s.isolatedCount {
		return fmt.Errorf("%d endpoints are isolated, counter is %d", isolated, s.isolatedCount)
	}
	for _, t := range s.tiers {
		if t.waiting != tierWaiting[t] || t.active != tierActive[t] || t.byArrival.Len() != t.waiting {
			return fmt.Errorf("tier %s counts %d waiting, %d active; counted from requests: %d, %d", t.Name, t.waiting, t.active,
				tierWaiting[t], tierActive[t])
		}
	}
	for name, w := range s.workspaces {
		if w.Waiting != workspaceWaiting[name] || w.Running != workspaceRunning[name] {
			return fmt.Errorf("workspace %s counts %d waiting, %d running; counted from requests: %d, %d", name, w.Waiting, w.Running,
				workspaceWaiting[name], workspaceRunning[name])
		}
	}
	return nil
}
