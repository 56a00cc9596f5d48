package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// crashingRequests is the number of requests that crash runners, one after the other. Each comes again crashWaves times, every
	// waveGap, perMachine times at each entry machine.
	crashingRequests = 6
	crashWaves       = 3
	waveGap          = 5 * time.Second
	perMachine       = 2
)

// crashing sends a request that crashes each runner which begins to run it, the same one again and again, at all entry machines at the
// same moment; then another one.
//
// With TROUBLE=0 they crash no runner. With TROUBLE=single each comes at one entry machine at a time.
func crashing(c *cluster, trouble string) int {
	p, o := prepare(c)
	if p == nil {
		return notRun
	}
	defer p.close()
	p.harmless.Store(trouble == "0")
	fronts := c.of("frontend")
	if o.replace(c.of("core"), 20*time.Second) == nil {
		c.rec.fail("the first configuration was not acknowledged")
		return notRun
	}
	q := startRequesters(o, fronts, 100*time.Millisecond)
	defer q.close()
	time.Sleep(catchUp + contact)
	from, worst := time.Now(), 0
	for k := range crashingRequests {
		path := fmt.Sprintf("%s/%d", poisonPrefix, k+1)
		for wave := range crashWaves {
			c.rec.event("%s comes for the time %d", path, wave+1)
			if trouble == "single" {
				q.sendPoison(fronts[wave%len(fronts):][:1], path)
			} else {
				q.sendPoison(slices.Repeat(fronts, perMachine), path)
			}
			time.Sleep(waveGap)
		}
		all, late := p.reaches(path)
		worst = max(worst, late)
		c.rec.event("%s has reached runners %d times, %d of them later than contact_ms after the third crash", path, all, late)
	}
	sound := q.between(from, time.Now().Add(-2500*time.Millisecond))
	c.rec.event("sound requests: served %d of %d", sound.served, sound.sent)
	if worst > 3 {
		c.rec.event("broken: more than three retries of a request that crashes runners have reached runners")
		return broken
	}
	return held
}
