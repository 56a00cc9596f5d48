package admitter

import "time"

// dispatch grants endpoints to waiting requests in queue order. A request that no endpoint can take does not block later ones
// that fit, such as those with a smaller prompt. The caller holds the lock.
func (a *Admitter) dispatch(now time.Time, pool string) {
	queue := a.queues[pool]
	if len(queue) == 0 {
		return
	}
	defer a.awaitPermit(now, pool)
	if !a.balancer.HasRoom(now, pool) {
		return
	}
	if now.Sub(a.lastScan[pool]) < scanInterval {
		a.scheduleDispatch(pool, scanInterval)
		return
	}
	remaining, failures := queue[:0], 0
	for i, w := range queue {
		choice, ok := a.balancer.Pick(now, pool, w.req.Work, w.req.excluded)
		if ok {
			a.grant(now, w, choice, len(remaining)+len(queue)-i-1)
		} else {
			remaining = append(remaining, w)
			failures++
		}
		if failures == maxScanFailures || ok && !a.balancer.HasRoom(now, pool) {
			remaining = append(remaining, queue[i+1:]...)
			break
		}
	}
	if len(remaining) == len(queue) {
		a.lastScan[pool] = now
	}
	clear(queue[len(remaining):])
	a.queues[pool] = remaining
}

// awaitPermit schedules a dispatch for the time at which the limit of an endpoint admits the next request, if requests wait. No
// other event may come until then. The caller holds the lock.
func (a *Admitter) awaitPermit(now time.Time, pool string) {
	if len(a.queues[pool]) == 0 {
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
