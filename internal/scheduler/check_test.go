package scheduler

import "fmt"

// Check returns the first disagreement between the scheduler's running totals and its requests.
func (s *Scheduler) Check() error {
	type sums struct{ runs, tokens, pending, longs int }
	at := make(map[*endpoint]sums)
	var waits, wanted, longs int
	tierWaits, tierActive := make(map[*tier]int), make(map[*tier]int)
	wsWaits, wsRuns := make(map[string]int), make(map[string]int)
	for id, r := range s.requests {
		if id != r.id {
			return fmt.Errorf("request %s is filed under %s", r.id, id)
		}
		switch r.state {
		case waiting:
			waits++
			wanted += r.wanted
			tierWaits[r.tier]++
			wsWaits[r.d.Workspace]++
			if r.endpoint != nil || (r.entry == nil) != r.held {
				return fmt.Errorf("waiting request %s has an endpoint or no lane", id)
			}
		case granted, running:
			if r.endpoint == nil {
				return fmt.Errorf("request %s runs nowhere", id)
			}
			u := at[r.endpoint]
			u.runs++
			u.tokens += r.booked
			u.pending += r.uncached
			if r.long {
				u.longs++
				longs++
			}
			at[r.endpoint] = u
			tierActive[r.tier]++
			wsRuns[r.d.Workspace]++
		}
	}
	if waits != s.waiting || wanted != s.wanted || longs != s.placer.Longs {
		return fmt.Errorf("totals %d %d %d, requests give %d %d %d", s.waiting, s.wanted, s.placer.Longs, waits, wanted, longs)
	}
	for fp, p := range s.prints.All() {
		if p.Held() > 0 && len(p.Running()) == 0 {
			return fmt.Errorf("%d requests with fingerprint %s are held, and none runs", p.Held(), fp)
		}
	}
	alone := 0
	for _, t := range s.table.All() {
		e := s.endpoint(t.Name)
		runs, tokens := e.Limit.Used()
		if u := at[e]; u != (sums{runs, tokens, e.Pending, e.Longs}) || len(e.runs) != runs {
			return fmt.Errorf("endpoint %s books %d runs %d tokens %d pending %d longs, requests give %+v",
				e.Name, runs, tokens, e.Pending, e.Longs, u)
		}
		if e.Alone {
			alone++
		}
	}
	if alone != s.alone {
		return fmt.Errorf("%d endpoints kept alone, counted %d", alone, s.alone)
	}
	for _, t := range s.tiers {
		if t.waiting != tierWaits[t] || t.active != tierActive[t] || t.ages.Len() != t.waiting {
			return fmt.Errorf("tier %s counts %d waiting %d active, requests give %d %d", t.Name, t.waiting, t.active,
				tierWaits[t], tierActive[t])
		}
	}
	for name, w := range s.workspaces {
		if w.Waiting != wsWaits[name] || w.Running != wsRuns[name] {
			return fmt.Errorf("workspace %s counts %d waiting %d running, requests give %d %d", name, w.Waiting, w.Running,
				wsWaits[name], wsRuns[name])
		}
	}
	return nil
}
