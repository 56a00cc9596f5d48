package main

import (
	"time"
)

const (
	// darkTime is how long machines stay down that lose power and their disks; the site's own entries take 1 to 3 s.
	darkTime = time.Second
	// successorDelay is the time from the removal of a machine without SIGTERM to the start of its successor (kind replace_core, x = 1).
	successorDelay = time.Second
)

// prepare starts the machines, the provider's list, the runners and the operator, and waits for the first acknowledgement. It returns
// nil if the case could not run.
func prepare(c *cluster) (*provider, *operator) {
	c.build(6)
	p, err := startProvider(c, "wuno96b")
	if err != nil {
		c.rec.fail("provider: %v", err)
		return nil, nil
	}
	c.startAll()
	return p, newOperator(c)
}

// replacedCore replaces a core machine as planned: its successor has run for catch_up_s when the machine gets SIGTERM. Then two of the
// five core machines lose power right after one of them has acknowledged a configuration, and come back with empty disks.
//
// With TROUBLE=0 neither happens. TROUBLE=losses plays only the losses, and TROUBLE=replace only the replacement.
func replacedCore(c *cluster, trouble string) int {
	p, o := prepare(c)
	if p == nil {
		return notRun
	}
	defer p.close()
	core := c.of("core")
	if o.replace(core, 20*time.Second) == nil {
		c.rec.fail("the first configuration was not acknowledged")
		return notRun
	}
	q := startRequesters(o, c.of("frontend"), 100*time.Millisecond)
	defer q.close()
	time.Sleep(catchUp + time.Second)
	if trouble == "1" || trouble == "replace" {
		leaving := core[3]
		successor := c.add("core", 3, false)
		successor.start()
		time.Sleep(catchUp + 500*time.Millisecond)
		c.rec.event("core machine %s is removed with SIGTERM, %s is its successor", leaving.name, successor.name)
		leaving.remove()
		left := time.Now()
		leaving.wg.Wait()
		core = append(append([]*machine{}, core[:3]...), core[4], successor)
		// By now the removed machine counts no longer, also if the time is taken from its SIGTERM.
		time.Sleep(catchUp + 200*time.Millisecond - time.Since(left))
	}
	before := q.between(time.Now().Add(-time.Second), time.Now())
	acker := o.replace(core, ackBound)
	if acker == nil {
		c.rec.fail("the second configuration was not acknowledged")
		return notRun
	}
	if trouble == "1" || trouble == "losses" {
		lost := []*machine{acker}
		for _, m := range core {
			if m != acker && len(lost) < 2 && m.bootstrap {
				lost = append(lost, m)
			}
		}
		c.rec.event("core machines %s lose power and their disks", names(lost))
		for _, m := range lost {
			m.powerOff()
		}
		for _, m := range lost {
			m.wipe()
		}
		time.Sleep(darkTime)
		for _, m := range lost {
			m.start()
		}
	}
	time.Sleep(recovery)
	from := time.Now()
	version, known := o.read(core, 2*contact)
	time.Sleep(max(0, 5*time.Second-time.Since(from)))
	after := q.between(from, time.Now().Add(-2500*time.Millisecond))
	c.rec.event("acknowledged version %d; read back %d (%t); served before %d of %d, after the recovery %d of %d", o.acked, version, known,
		before.served, before.sent, after.served, after.sent)
	if before.served*4 < before.sent || before.sent == 0 {
		c.rec.fail("too few requests were served before")
		return notRun
	}
	if !known || version < o.acked || after.served*4 < after.sent {
		c.rec.event("broken: the acknowledged configuration is gone or too few requests are served")
		return broken
	}
	return held
}

// firstStart removes one of the three seeds for good right after all machines have started for the first time. Another machine with the
// same roles starts at another address.
//
// With TROUBLE=0 no machine is removed. With TROUBLE=restart the seed's process is killed instead, and is back after 0.3 s.
func firstStart(c *cluster, trouble string) int {
	p, o := prepare(c)
	if p == nil {
		return notRun
	}
	defer p.close()
	core := c.of("core")
	if trouble == "restart" {
		time.Sleep(150 * time.Millisecond)
		m := core[0]
		c.rec.event("the process of core machine %s is killed, and started again with bootstrap set to false", m.name)
		m.powerOff()
		m.wg.Wait()
		m.bootstrap = false
		m.start()
	} else if trouble != "0" {
		time.Sleep(150 * time.Millisecond)
		lost := core[0]
		c.rec.event("core machine %s is gone for good", lost.name)
		lost.powerOff()
		time.Sleep(successorDelay)
		successor := c.add("core", 0, false)
		successor.start()
		core = append(append([]*machine{}, core[1:]...), successor)
	}
	q := startRequesters(o, c.of("frontend"), 100*time.Millisecond)
	defer q.close()
	// The successor counts as lost for catch_up_s after its start; then all five core machines run.
	time.Sleep(catchUp)
	settled := time.Now()
	acker := o.replace(core, 3*recovery)
	c.rec.event("first configuration: acknowledged=%t after %v of five running core machines", acker != nil, time.Since(settled).Round(time.Millisecond))
	from := time.Now()
	time.Sleep(5 * time.Second)
	served := q.between(from, time.Now().Add(-2500*time.Millisecond))
	c.rec.event("served %d of %d", served.served, served.sent)
	if acker == nil || served.served == 0 {
		c.rec.event("broken: no configuration was acknowledged, or no request was served")
		return broken
	}
	return held
}

// firstAck takes the disks of two core machines, both seeds, right after the first configuration was acknowledged.
func firstAck(c *cluster, trouble string) int {
	p, o := prepare(c)
	if p == nil {
		return notRun
	}
	defer p.close()
	core := c.of("core")
	time.Sleep(300 * time.Millisecond)
	acker := o.race(core, 20*time.Second)
	if acker == nil {
		c.rec.fail("the first configuration was not acknowledged")
		return notRun
	}
	if trouble != "0" {
		lost := []*machine{c.seeds[0], c.seeds[1]}
		c.rec.event("core machines %s lose power and their disks", names(lost))
		for _, m := range lost {
			m.powerOff()
		}
		for _, m := range lost {
			m.wipe()
		}
		time.Sleep(darkTime)
		for _, m := range lost {
			m.start()
		}
	}
	time.Sleep(recovery)
	version, known := o.read(core, 2*contact)
	c.rec.event("acknowledged version %d; read back %d (%t)", o.acked, version, known)
	if !known || version < o.acked {
		return broken
	}
	return held
}
