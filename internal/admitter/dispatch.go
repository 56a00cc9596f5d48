package admitter

import (
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/balancer"
)

// dispatch grants endpoints to waiting requests in queue order. A request that no endpoint can take does not block later ones
// that fit, such as those with a smaller prompt or of another version. The caller holds the lock.
func (a *Admitter) dispatch(now time.Time, pool string) {
	q := a.queues[pool]
	if q.len() == 0 {
		return
	}
	defer a.awaitPermit(now, pool)
	open, versions := a.balancer.HasRoom(now, pool, balancer.Work{}), a.openVersions(now, q)
	if !open && len(versions) == 0 {
		return
	}
	if now.Sub(a.lastScan[pool]) < scanInterval {
		a.scheduleDispatch(pool, scanInterval)
		return
	}
	kept := queue{unbound: q.unbound[:0], bound: q.bound[:0]}
	i, j, granted := 0, 0, false
	// The large requests that go first are the hardest to place; they must not use up the scan.
	var failures, underservedFailures int
	for open && i < len(q.unbound) || j < len(q.bound) {
		if j < len(q.bound) && (!open || i == len(q.unbound) || compareWaiters(q.bound[j], q.unbound[i]) < 0) {
			w := q.bound[j]
			j++
			if a.scanBound(now, w, versions, kept.len()+q.len()-i-j) {
				granted, open = true, open && a.balancer.HasRoom(now, pool, balancer.Work{})
			} else {
				kept.bound = append(kept.bound, w)
			}
			continue
		}
		w := q.unbound[i]
		i++
		if w.underserved && underservedFailures == maxScanFailures {
			kept.unbound = append(kept.unbound, w)
			continue
		}
		if choice, ok := a.balancer.Pick(now, pool, w.req.Work, w.req.excluded); ok {
			a.grant(now, w, choice, kept.len()+q.len()-i-j)
			granted, open = true, a.balancer.HasRoom(now, pool, balancer.Work{})
		} else {
			kept.unbound = append(kept.unbound, w)
			if w.underserved {
				underservedFailures++
				continue
			}
			failures++
			open = failures < maxScanFailures
		}
	}
	kept.unbound = append(kept.unbound, q.unbound[i:]...)
	if !granted {
		a.lastScan[pool] = now
	}
	clear(q.unbound[len(kept.unbound):])
	clear(q.bound[len(kept.bound):])
	*q = kept
}

// openVersions returns the versions of the bound requests of a queue that have room, with the number of requests that a scan may
// fail to place.
func (a *Admitter) openVersions(now time.Time, q *queue) map[string]int {
	if len(q.bound) == 0 {
		return nil
	}
	out, seen := map[string]int{}, map[string]bool{}
	for _, w := range q.bound {
		if version := w.req.Work.Version; !seen[version] {
			seen[version] = true
			if a.balancer.HasRoom(now, w.req.Pool, w.req.Work) {
				out[version] = maxScanFailures
			}
		}
	}
	return out
}

// scanBound grants an endpoint to a bound request if its version is open and an endpoint can take it.
func (a *Admitter) scanBound(now time.Time, w *waiter, versions map[string]int, queued int) bool {
	version := w.req.Work.Version
	if versions[version] == 0 {
		return false
	}
	choice, ok := a.balancer.Pick(now, w.req.Pool, w.req.Work, w.req.excluded)
	if ok {
		a.grant(now, w, choice, queued)
		return true
	}
	versions[version]--
	return false
}

// awaitPermit schedules a dispatch for the time at which the limit of an endpoint admits the next request, if requests wait. No
// other event may come until then. The caller holds the lock.
func (a *Admitter) awaitPermit(now time.Time, pool string) {
	if a.queues[pool].len() == 0 {
		return
	}
	if wait, limited := a.balancer.NextPermit(now, pool); limited {
		a.scheduleDispatch(pool, max(wait, scanInterval))
	}
}

// scheduleDispatch dispatches the queue of a pool after a delay unless that is already scheduled for an earlier time. The caller
// holds the lock.
func (a *Admitter) scheduleDispatch(pool string, delay time.Duration) {
	at := time.Now().Add(delay)
	if due, scheduled := a.scanDue[pool]; scheduled && !at.Before(due) {
		return
	}
	a.scanDue[pool] = at
	time.AfterFunc(delay, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.scanDue[pool].Equal(at) {
			delete(a.scanDue, pool)
			a.dispatch(time.Now(), pool)
		}
	})
}
